package drainer

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
)

const (
	// unreadyDuration is how long a leaving instance still accepts clients while it
	// reports not ready, so that the load balancer stops sending new ones first.
	unreadyDuration = 2 * time.Second
	// countInterval is how often the connected clients are counted while draining.
	countInterval = 100 * time.Millisecond
)

type (
	// InstanceDrainer drains this instance: it reports not ready, then stops accepting clients,
	// then stops the process once they have disconnected or Limit has passed. Set the
	// exported field before use.
	InstanceDrainer struct {
		// Limit bounds the wait for clients to disconnect after the instance stopped
		// accepting.
		Limit time.Duration

		phase      phase
		phaseStart time.Time
		lastCount  time.Time
		remaining  int
	}

	phase int

	// StopAccepting refuses new clients and ends connected ones between transactions.
	StopAccepting struct{}

	// CountCallers requests the number of connected clients.
	CountCallers struct{}

	// CallersLeft reports the number of connected clients.
	CallersLeft struct{ Callers int }

	// Stop ends the process. Disconnected is the number of clients still connected at the limit.
	Stop struct{ Disconnected int }

	// Stopping reports to the other slices that the process stops.
	Stopping struct{ Disconnected int }
)

const (
	phaseServing phase = iota
	phaseUnready
	phaseDraining
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
func (d *InstanceDrainer) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case InstanceLeaving:
		if d.phase == phaseServing {
			d.phase, d.phaseStart = phaseUnready, now
		}
	case CallersLeft:
		d.remaining = e.Callers
		if d.phase == phaseDraining && e.Callers == 0 {
			return d.stop()
		}
	case controller.Tick:
		return d.tick(now)
	}
	return nil
}

func (d *InstanceDrainer) tick(now time.Time) []controller.Action {
	switch {
	case d.phase == phaseUnready && now.Sub(d.phaseStart) >= unreadyDuration:
		d.phase, d.phaseStart = phaseDraining, now
		return []controller.Action{StopAccepting{}}
	case d.phase == phaseDraining && now.Sub(d.phaseStart) >= d.Limit:
		return d.stop()
	case d.phase == phaseDraining && now.Sub(d.lastCount) >= countInterval:
		d.lastCount = now
		return []controller.Action{CountCallers{}}
	}
	return nil
}

func (d *InstanceDrainer) stop() []controller.Action {
	d.phase = phaseStopped
	return []controller.Action{controller.Emit{Event: Stopping{Disconnected: d.remaining}}, Stop{Disconnected: d.remaining}}
}
