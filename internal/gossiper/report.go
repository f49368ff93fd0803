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

	// Heard is a received report. It was made after Asked on this instance's clock, so an
	// observation in it is at most now - Asked + Age old.
	Heard struct {
		Report Report
		Asked  time.Time
	}

	// Suspicion is this instance's own suspicion of a member, to be reported to its peers.
	Suspicion struct {
		Service string
		Member  string
		On      bool
	}

	// Announced is an announcement received from a peer.
	Announced struct {
		Sender  lister.Instance
		Version int64
		Leaving []LeavingSign
		// Urgent requests an immediate exchange.
		Urgent bool
		// Gone means that the sender itself is leaving.
		Gone bool
	}

	// LeavingSign is a notice that a target is leaving, or no longer is.
	LeavingSign struct {
		Service string
		Member  string
		Leaving bool
		// Origin is the instance that issued the notice, Run its run and Number the sequence
		// number within the run; a higher one supersedes a lower one.
		Origin string
		Run    uint32
		Number uint64
		// Age is the time since the origin issued the notice.
		Age time.Duration
	}

	// Asked is an exchange request received from a peer.
	Asked struct {
		Sender  lister.Instance
		Version int64
	}

	// Greeted is a seed's reply to an instance that knows no peers.
	Greeted struct {
		Peers   []lister.Instance
		Offered configurer.Offered
	}
)

// EventName implements controller.Event.
func (Heard) EventName() string { return "report-heard" }

// EventName implements controller.Event.
func (Suspicion) EventName() string { return "own-suspicion" }

// EventName implements controller.Event.
func (Asked) EventName() string { return "peer-asked" }

// EventName implements controller.Event.
func (Greeted) EventName() string { return "seed-answered" }

// EventName implements controller.Event.
func (Announced) EventName() string { return "news-announced" }
