// Package gossiper carries what instances tell each other: what they observed of
// targets, which configuration they hold, and what they suspect.
package gossiper

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
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
)

// EventName implements controller.Event.
func (Heard) EventName() string { return "report-heard" }
