package drainer

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
)

const (
	// unreadyFor is how long an instance that is leaving still accepts callers
	// while its readiness page says no: the time in which the balancer, which
	// asks each second or so, stops sending callers that would be refused.
	unreadyFor = 2 * time.Second
	// countEvery is how often the callers are counted that are left.
	countEvery = 100 * time.Millisecond
)

type (
	// Leaver decides how this instance leaves. The order answers what goes wrong
	// in any other: callers that are refused while the balancer still sends them,
	// transactions cut, callers kept for ever by one that never ends. Set the
	// exported field before use.
	Leaver struct {
		// Limit is how long callers may take to end, from when the instance
		// stops accepting.
		Limit time.Duration

		phase phase
		since time.Time
		count time.Time
		left  int
	}

	phase int

	// StopAccepting refuses new callers, and asks those that are connected to
	// leave between their transactions.
	StopAccepting struct{}

	// CountCallers asks how many callers are left.
	CountCallers struct{}

	// CallersLeft is how many callers are left.
	CallersLeft struct{ Callers int }

	// Stop ends the process. Cut is how many callers it cuts off: those that
	// were in a transaction for longer than the limit.
	Stop struct{ Cut int }

	// Stopping says the same to the other slices.
	Stopping struct{ Cut int }
)

const (
	phaseServing phase = iota
	phaseUnready
	phaseEmptying
	phaseStopped
)

// ActionName implements controller.Action.
func (StopAccepting) ActionName() string { return "stop-accepting" }

// ActionName implements controller.Action.
func (CountCallers) ActionName() string { return "count-callers" }

// ActionName implements controller.Action.
func (Stop) ActionName() string { return "stop" }

// EventName implements controller.Event.
func (CallersLeft) EventName() string { return "callers-left" }

// EventName implements controller.Event.
func (Stopping) EventName() string { return "instance-stopping" }

// Step implements controller.Slice.
func (l *Leaver) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case InstanceLeaving:
		if l.phase == phaseServing {
			l.phase, l.since = phaseUnready, now
		}
	case CallersLeft:
		l.left = e.Callers
		if l.phase == phaseEmptying && e.Callers == 0 {
			return l.stop()
		}
	case controller.Tick:
		return l.tick(now)
	}
	return nil
}

func (l *Leaver) tick(now time.Time) []controller.Action {
	switch {
	case l.phase == phaseUnready && now.Sub(l.since) >= unreadyFor:
		l.phase, l.since = phaseEmptying, now
		return []controller.Action{StopAccepting{}}
	case l.phase == phaseEmptying && now.Sub(l.since) >= l.Limit:
		return l.stop()
	case l.phase == phaseEmptying && now.Sub(l.count) >= countEvery:
		l.count = now
		return []controller.Action{CountCallers{}}
	}
	return nil
}

func (l *Leaver) stop() []controller.Action {
	l.phase = phaseStopped
	return []controller.Action{controller.Emit{Event: Stopping{Cut: l.left}}, Stop{Cut: l.left}}
}
