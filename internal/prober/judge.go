// Package prober finds connections that have gone silent for good while new
// ones to the same target work: something between the two ends has lost track
// of them. The kernel notices that after many minutes; until then a caller
// waits, and a connection of the group's small budget is lost.
package prober

import "time"

type (
	// State is what the target says, over a fresh connection, of the old one's
	// session.
	State int

	// Look is what is known of an exchange whose answer has not come.
	Look struct {
		// Silent is how long no byte has come.
		Silent time.Duration
		// Replaced: the target obeys a newer term than that of the connection,
		// or a newer term has a primary.
		Replaced bool
		// Failing: the target does not answer the observer's questions.
		Failing bool
		// Repeatable: the request can be tried on another target.
		Repeatable bool
		// State is the newest answer to a probe; Idle counts how many in a row
		// said that the session has nothing to do.
		State State
		Idle  int
		// Unanswered is how long probes have had no answer either.
		Unanswered time.Duration
		// Hold is how long a request may wait for a primary.
		Hold time.Duration
		// NextProbe is the silence at which the next probe is due.
		NextProbe time.Duration
	}

	// Advice is what to do about it.
	Advice int
)

// The answers to a probe.
const (
	// Unknown: the target has not been asked, or did not answer.
	Unknown State = iota
	// Running: the session works on a statement.
	Running
	// Idle: the session has nothing to do, so it has answered, or never got the
	// request.
	Idle
	// Absent: the target knows no such session.
	Absent
)

// The advices.
const (
	Wait Advice = iota
	Probe
	GiveUp
)

const (
	// Interval is how often a silent exchange is looked at. A look reads memory
	// only, so it bounds how late a change of primary is noticed, at no cost.
	Interval = 200 * time.Millisecond
	// FirstProbe is the silence after which the target is asked. Statements of
	// the two users take milliseconds; one second keeps probes rare and finds a
	// silent connection before a person gives up.
	FirstProbe = time.Second
	// maxProbeInterval bounds the pause between two probes of a long statement.
	maxProbeInterval = 10 * time.Second
	// minIdleReplies is how many answers in a row must say that the session has
	// nothing to do: after one, the answer may still be on its way.
	minIdleReplies = 2
)

// Judge decides about an exchange that is silent.
func Judge(l Look) Advice {
	switch {
	case l.Replaced:
		// A majority obeys the newer term: the answer could not be used.
		return GiveUp
	case l.Failing && l.Repeatable:
		return GiveUp
	case l.Idle >= minIdleReplies:
		return GiveUp
	case l.Unanswered > 0 && l.Unanswered >= l.Hold:
		// Neither the target nor a new primary has come for as long as any
		// request may wait.
		return GiveUp
	case l.Silent >= l.NextProbe:
		return Probe
	}
	return Wait
}

// Next returns the silence at which the following probe is due. While sessions
// run, probes become rarer; a session that seems idle is asked again at once.
func Next(silent time.Duration, s State) time.Duration {
	switch s {
	case Idle, Absent:
		return silent + Interval
	case Running:
		return silent + min(silent, maxProbeInterval)
	}
	return silent + FirstProbe
}
