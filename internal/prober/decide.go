// Package prober detects dead target connections, as left by a network device that lost
// their state, much sooner than TCP timeouts do. Until then a client waits and the
// connection is unavailable to the pool.
package prober

import "time"

type (
	// State is the state of a connection's session, as the target reports it over a
	// new connection.
	State int

	// RequestStatus is the status of a request whose response is outstanding.
	RequestStatus struct {
		// SilentFor is the time since the last byte was received.
		SilentFor time.Duration
		// Superseded is set when the target accepted a newer term than the connection's,
		// or a newer term has a primary.
		Superseded bool
		// TargetUnresponsive is set when the target does not respond to status requests.
		TargetUnresponsive bool
		// Retryable is set when the request can be retried on another target.
		Retryable bool
		// State is the latest probe result; IdleReplies counts the consecutive results that
		// found the session idle or absent.
		State       State
		IdleReplies int
		// ProbesFailingFor is how long probes have failed.
		ProbesFailingFor time.Duration
		// MaxWait is the longest time that a request may wait for a primary.
		MaxWait time.Duration
		// NextProbe is the value of SilentFor at which the next probe is due.
		NextProbe time.Duration
	}

	// Decision is the decision about an outstanding request.
	Decision int
)

// The results of a probe.
const (
	// Unknown means that the target was not probed or did not respond.
	Unknown State = iota
	// Running means that the session runs a statement.
	Running
	// Idle means that the session waits for a statement: it has responded already, or
	// never received the request.
	Idle
	// Absent means that the target has no such session.
	Absent
)

// The decisions.
const (
	Wait Decision = iota
	Probe
	GiveUp
)

const (
	// CheckInterval is how often an outstanding request is checked. It bounds the delay
	// after which a change of primary is noticed.
	CheckInterval = 200 * time.Millisecond
	// FirstProbeDelay is how long a connection must be silent before its first probe. It
	// exceeds the duration of usual statements, so that probes are rare.
	FirstProbeDelay = time.Second
	// maxProbeInterval bounds the time between probes of a long statement.
	maxProbeInterval = 10 * time.Second
	// minIdleReplies is how many consecutive probes must find the session idle, since a
	// response may still be in flight after the first.
	minIdleReplies = 2
)

// Decide decides whether to keep waiting for a response, probe the target, or give up.
func Decide(s RequestStatus) Decision {
	switch {
	case s.Superseded:
		// A majority accepted the newer term, so a response could not be used.
		return GiveUp
	case s.TargetUnresponsive && s.Retryable:
		return GiveUp
	case s.IdleReplies >= minIdleReplies:
		return GiveUp
	case s.ProbesFailingFor > 0 && s.ProbesFailingFor >= s.MaxWait:
		// The target did not respond and no new primary appeared within the hold time.
		return GiveUp
	case s.SilentFor >= s.NextProbe:
		return Probe
	}
	return Wait
}

// NextProbe returns the value of SilentFor at which the next probe is due. The interval grows
// while the session runs a statement; an idle or absent session is probed again soon.
func NextProbe(silent time.Duration, s State) time.Duration {
	switch s {
	case Idle, Absent:
		return silent + CheckInterval
	case Running:
		return silent + min(silent, maxProbeInterval)
	}
	return silent + FirstProbeDelay
}
