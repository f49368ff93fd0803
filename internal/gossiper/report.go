// Package gossiper carries what instances tell each other: what they observed of
// targets, which configuration they hold, and what they suspect. Instances pull:
// each asks, at a pace that its budget of bytes sets, the few peers whose
// observations it needs. A peer that has news worth more than the pace announces
// it, and is then asked.
package gossiper

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/lister"
)

type (
	// Report is what one instance tells another.
	Report struct {
		Instance string
		Zone     string
		// Version is the configuration in force on the instance.
		Version int64
		Groups  []GroupReport
	}

	// GroupReport is what the instance knows of one group at first hand.
	GroupReport struct {
		Service string
		Members []MemberReport
	}

	// MemberReport is what it knows of one target.
	MemberReport struct {
		Member string
		// Status is the newest answer, without Followers.
		Status commander.Status
		// Age is how long ago, when the report was made, the question was sent
		// that gave Status. Ages are durations on the sender's clock, so no two
		// clocks are compared.
		Age time.Duration
		// Failures counts the questions in a row without answer.
		Failures int
		// Suspected is the sender's own suspicion, not one that it heard.
		Suspected bool
		Leaving   bool
	}

	// Heard is a report that arrived. It was made after Asked, on this
	// instance's clock: an observation in it is at most now - Asked + Age old.
	Heard struct {
		Report Report
		Asked  time.Time
	}

	// Suspicion is this instance's own suspicion of a member, for its peers.
	Suspicion struct {
		Service string
		Member  string
		On      bool
	}

	// Announced is a peer's news.
	Announced struct {
		Sender  lister.Instance
		Version int64
		Leaving []LeavingSign
		// Urgent asks for an exchange at once.
		Urgent bool
		// Gone says that the sender itself is leaving.
		Gone bool
	}

	// LeavingSign is a peer's sign that a target leaves, or no longer does.
	LeavingSign struct {
		Service string
		Member  string
		Leaving bool
		// Origin is the instance that has the sign at first hand, Run its life,
		// Number the number of the sign in that: the higher one counts.
		Origin string
		Run    uint32
		Number uint64
		// Age is how long ago the origin gave it.
		Age time.Duration
	}

	// Asked says that a peer has asked this instance.
	Asked struct {
		Sender  lister.Instance
		Version int64
	}

	// Greeted is what a seed answered to an instance that knew no peer.
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
