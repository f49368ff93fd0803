// Package tracker tracks replication groups: the primary, the replication positions and
// the latencies of the members. It selects the members that may serve a statement. It
// does no I/O and reads no clock; callers pass observations and timestamps.
package tracker

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// Rule is the read consistency level of a route.
type Rule uint8

const (
	// RulePrimary requires reads to show all commits acknowledged before them.
	RulePrimary Rule = iota
	// RuleBounded allows reads to be stale by up to Route.Staleness.
	RuleBounded
	// RuleReadYourWrites is RuleBounded with read-your-writes consistency within a session.
	RuleReadYourWrites
)

// RegistrationDelay is how long a member may acknowledge commits before its registration is in a
// store that responds.
const RegistrationDelay = 500 * time.Millisecond

type (
	// Timestamp is a time on a clock that includes suspended time, relative to an arbitrary
	// origin. Timestamps of different machines are not comparable.
	Timestamp = time.Duration

	// Route maps a database name to a group.
	Route struct {
		Database string
		Group    string
		Rule     Rule
		// Staleness is the maximum staleness of a read.
		Staleness time.Duration
		// Timeout bounds one statement; LatencyObjective is the target duration of a whole
		// operation.
		Timeout, LatencyObjective time.Duration
		// Priority orders routes that compete for the same members; 0 is the highest.
		Priority int
		// Anonymous routes require no client key.
		Anonymous bool
	}

	// Configuration is one version of the operators' configuration.
	Configuration struct {
		Version int64
		Routes  map[string]Route
		Groups  map[string]GroupSettings
		// Customers holds the client accounts, nil if clients are not distinguished.
		Customers *identifier.Directory
		// AppliedAt is when this instance applied the version.
		AppliedAt Timestamp
		// TransactionIdleTimeout is the idle timeout of transactions.
		TransactionIdleTimeout time.Duration
	}

	// GroupSettings is the configuration of a group.
	GroupSettings struct {
		// Connections is the connection limit of each member, over all clients.
		Connections int
		// SyncReplicas is the number of replicas that must hold a commit before it is
		// acknowledged.
		SyncReplicas int
	}

	// Member is the registration of a group member.
	Member struct {
		ID, Group, Address, Zone string
		// Slots is the number of statements that the member runs concurrently.
		Slots int
		// Leaving members are shutting down and accept no new work.
		Leaving bool
		// Expired members exceeded their shutdown period. They receive no statements, but
		// may still replicate the log and acknowledge commits.
		Expired bool
		// Missing members lost their registration without announcing a shutdown.
		Missing bool
		// Primary reports whether the member registered as the primary.
		Primary bool
		// Revision is the store revision of the registration's last change.
		Revision int64
		// StartTime is the start time in Unix milliseconds, 0 if unknown. A member that restarts
		// under the same ID has a later one and has lost its connections and log.
		StartTime int64
		// DisputedStart is an earlier start time that the newest registration has, 0 if none. Either
		// that registration arrived late, or StartTime is not the member's.
		DisputedStart int64
	}

	// FreshnessProof establishes that a log which has reached Position contains all commits
	// acknowledged before At.
	FreshnessProof struct {
		At       Timestamp
		Position orderer.Position
		// FromReplicas is set if the proof was derived from the replicas' received positions,
		// without the primary.
		FromReplicas bool
	}

	// LastCommit is a session's last commit in a group, which its later reads there must show.
	LastCommit struct {
		Position orderer.Position
		// At is when the commit was acknowledged.
		At Timestamp
	}
)

// RestartedSince reports whether the member may have restarted since an earlier registration. A smaller
// start time counts as well, disputed or not: StartTime may have come from another writer, and the
// member may have restarted after that.
func (m Member) RestartedSince(earlier Member) bool {
	if m.StartTime == 0 || earlier.StartTime == 0 {
		return false
	}
	return m.StartTime != earlier.StartTime || m.DisputedStart != 0 && m.DisputedStart != earlier.DisputedStart
}
