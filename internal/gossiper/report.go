// Package gossiper exchanges state between instances: observations of targets, configuration
// versions and suspicions. Instances pull reports from the few peers whose observations they
// need, at a rate limited by a byte budget. Urgent changes are announced, which triggers an
// immediate exchange.
package gossiper

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/lister"
)

type (
	// Report is the state of one instance as reported to another.
	Report struct {
		Instance string
		Zone     string
		// Version is the configuration version in force on the instance.
		Version int64
		Groups  []GroupReport
	}

	// GroupReport is the instance's own observations of one group.
	GroupReport struct {
		Service string
		Members []MemberReport
	}

	// MemberReport is the instance's own observation of one target.
	MemberReport struct {
		Member string
		// Status is the latest answer, without Followers.
		Status commander.Status
		// Age is the time since the query that returned Status was sent, measured on the
		// sender's clock, so that clocks are never compared.
		Age time.Duration
		// Failures counts consecutive unanswered queries.
		Failures int
		// Suspected is the sender's own suspicion, not one received from peers.
		Suspected bool
		Leaving   bool
	}

	// ReportReceived is a received report. It was made after RequestedAt on this instance's clock,
	// so an observation in it is at most now - RequestedAt + Age old.
	ReportReceived struct {
		Report      Report
		RequestedAt time.Time
	}

	// Suspicion is this instance's own suspicion of a member, to be reported to its peers.
	Suspicion struct {
		Service string
		Member  string
		On      bool
	}

	// AnnouncementReceived is an announcement received from a peer.
	AnnouncementReceived struct {
		Sender  lister.Instance
		Version int64
		Leaving []LeavingNotice
		// Urgent requests an immediate exchange.
		Urgent bool
		// SenderLeaving means that the sender itself is leaving.
		SenderLeaving bool
	}

	// LeavingNotice is a notice that a target is leaving, or no longer is.
	LeavingNotice struct {
		Service string
		Member  string
		Leaving bool
		// Origin is the instance that issued the notice, Run its incarnation and Sequence the sequence
		// number within the incarnation; a higher one supersedes a lower one.
		Origin      string
		Incarnation uint32
		Sequence    uint64
		// Age is the time since the origin issued the notice.
		Age time.Duration
	}

	// ExchangeRequested is an exchange request received from a peer.
	ExchangeRequested struct {
		Sender  lister.Instance
		Version int64
	}

	// SeedReplied is a seed's reply to an instance that knows no peers.
	SeedReplied struct {
		Peers  []lister.Instance
		Result configurer.ReadResult
	}
)

// EventName implements controller.Event.
func (ReportReceived) EventName() string { return "report-heard" }

// EventName implements controller.Event.
func (Suspicion) EventName() string { return "own-suspicion" }

// EventName implements controller.Event.
func (ExchangeRequested) EventName() string { return "peer-asked" }

// EventName implements controller.Event.
func (SeedReplied) EventName() string { return "seed-answered" }

// EventName implements controller.Event.
func (AnnouncementReceived) EventName() string { return "news-announced" }
