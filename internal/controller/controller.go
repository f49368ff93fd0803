// Package controller runs the control state of an instance: one goroutine, one
// queue of events, and the slices that decide. A slice has no clock, no network
// and no goroutine of its own: it is given the time and an event, and returns
// actions. Performers carry the actions out, each in a goroutine, and answer
// with further events. The same slices therefore run in a process, under a
// virtual clock, and many times over in one test.
package controller

import (
	"context"
	"time"
)

type (
	// Event is something that happened. Its name stands in logs and metrics.
	Event interface{ EventName() string }

	// Action is something that a slice wants done.
	Action interface{ ActionName() string }

	// Slice is the state and the decisions of one duty.
	Slice interface {
		Step(now time.Time, e Event) []Action
	}

	// Performer carries out the actions it knows. It returns nil for no event,
	// and ok false for an action that is not its own.
	Performer interface {
		Perform(ctx context.Context, a Action) (e Event, ok bool)
	}

	// Emit hands an event to all slices, in the same turn.
	Emit struct{ Event Event }

	// Tick is the passing of time; it comes every Interval.
	Tick struct{}

	// Controller owns the slices. Set the exported fields, then call Run.
	Controller struct {
		Slices     []Slice
		Performers []Performer
		// Interval is the time between ticks; 0 means DefaultInterval.
		Interval time.Duration
		// Unknown is told about an action that no performer took: a broken
		// invariant of the program.
		Unknown func(Action)

		events chan Event
	}
)

const (
	// DefaultInterval is the time between ticks. Decisions that wait for time
	// to pass are late by at most this much.
	DefaultInterval = 50 * time.Millisecond

	queueLength = 1024
)

// ActionName implements Action.
func (Emit) ActionName() string { return "emit" }

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// Open makes the queue, so that events can be posted before Run.
func (c *Controller) Open() { c.events = make(chan Event, queueLength) }

// Post queues an event; it gives up when the context ends.
func (c *Controller) Post(ctx context.Context, e Event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// Run decides until the context ends, and then waits for the performers.
func (c *Controller) Run(ctx context.Context) error {
	interval := c.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	ended := make(chan struct{}, queueLength)
	running := 0
	for {
		var e Event
		select {
		case e = <-c.events:
		case <-t.C:
			e = Tick{}
		case <-ended:
			running--
			continue
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ended
			}
			return ctx.Err()
		}
		for _, a := range Turn(c.Slices, time.Now(), e) {
			running++
			go func() {
				c.perform(ctx, a)
				ended <- struct{}{}
			}()
		}
	}
}

// Turn gives one event to all slices, and the events that they emit, and returns
// the actions that are left to perform.
func Turn(slices []Slice, now time.Time, e Event) []Action {
	var out []Action
	for queue := []Event{e}; len(queue) > 0; queue = queue[1:] {
		for _, s := range slices {
			for _, a := range s.Step(now, queue[0]) {
				if m, ok := a.(Emit); ok {
					queue = append(queue, m.Event)
					continue
				}
				out = append(out, a)
			}
		}
	}
	return out
}

func (c *Controller) perform(ctx context.Context, a Action) {
	for _, p := range c.Performers {
		e, ok := p.Perform(ctx, a)
		if !ok {
			continue
		}
		if e != nil {
			c.Post(ctx, e)
		}
		return
	}
	if c.Unknown != nil {
		c.Unknown(a)
	}
}
