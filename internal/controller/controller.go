// Package controller runs the control loop of an instance: one goroutine passes events from a
// queue to slices, which decide. A slice is a deterministic state machine without clock,
// network or goroutines: it gets the time and an event and returns actions. Performers
// execute the actions concurrently and return further events. Tests can therefore run the same
// slices on virtual time.
package controller

import (
	"context"
	"time"
)

type (
	// Event is an input of the slices. Its name appears in logs and metrics.
	Event interface{ EventName() string }

	// Action is an operation that a slice requests.
	Action interface{ ActionName() string }

	// Slice is the state machine of one control task.
	Slice interface {
		Step(now time.Time, e Event) []Action
	}

	// Performer executes the actions that it supports. It returns a nil event if there is
	// none, and ok false for an unsupported action.
	Performer interface {
		Perform(ctx context.Context, a Action) (e Event, ok bool)
	}

	// Emit passes an event to all slices before the next queued event.
	Emit struct{ Event Event }

	// Tick is the event sent every Interval.
	Tick struct{}

	// Controller runs the slices. Set the exported fields, then call Open and Run.
	Controller struct {
		Slices     []Slice
		Performers []Performer
		// Interval is the time between ticks; 0 means DefaultInterval.
		Interval time.Duration
		// OnUnknownAction is called with an action that no performer supports, which is a bug.
		OnUnknownAction func(Action)

		events chan Event
	}
)

const (
	// DefaultInterval is the default time between ticks, which bounds the delay of
	// time-based decisions.
	DefaultInterval = 50 * time.Millisecond

	queueLength = 1024
)

// ActionName implements Action.
func (Emit) ActionName() string { return "emit" }

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// Open creates the event queue, so that events can be posted before Run.
func (c *Controller) Open() { c.events = make(chan Event, queueLength) }

// Post queues an event, unless the context ends first.
func (c *Controller) Post(ctx context.Context, e Event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// Run processes events until the context ends, then waits for the running performers.
func (c *Controller) Run(ctx context.Context) error {
	interval := c.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	done := make(chan struct{}, queueLength)
	running := 0
	for {
		var e Event
		select {
		case e = <-c.events:
		case <-t.C:
			e = Tick{}
		case <-done:
			running--
			continue
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-done
			}
			return ctx.Err()
		}
		for _, a := range Dispatch(c.Slices, time.Now(), e) {
			running++
			go func() {
				c.perform(ctx, a)
				done <- struct{}{}
			}()
		}
	}
}

// Dispatch passes an event, and the events emitted in response, to all slices. It returns the
// other actions.
func Dispatch(slices []Slice, now time.Time, e Event) []Action {
	var out []Action
	for queue := []Event{e}; len(queue) > 0; queue = queue[1:] {
		for _, s := range slices {
			for _, a := range s.Step(now, queue[0]) {
				if emit, ok := a.(Emit); ok {
					queue = append(queue, emit.Event)
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
	if c.OnUnknownAction != nil {
		c.OnUnknownAction(a)
	}
}
