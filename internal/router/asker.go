package router

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/observer"
)

type (
	// Wanted says that a caller needs a watermark taken from now on: its floor
	// is unknown, or it accepts no age.
	Wanted struct{ Service string }

	// Asker asks a group's members when a watermark is wanted, beside the
	// questions that the observer asks at its own pace. It answers bursts of
	// connects and of strict reads: all that come while a question is open, or
	// shortly after one, share the next. Without it each would wait for half an
	// observer's interval; asking once for each would let the callers of one
	// instance overrun the targets.
	Asker struct {
		groups map[string]*asking
	}

	asking struct {
		wanted bool
		next   time.Time
	}
)

// askPause is the least time between two questions to a group. At 9 instances a
// member answers at most 9 / 20 ms = 450 of them a second; a caller waits for
// at most this much more than a round trip.
const askPause = 20 * time.Millisecond

// EventName implements controller.Event.
func (Wanted) EventName() string { return "watermark-wanted" }

// want notes a wish for a fresh watermark of a group.
func (a *Asker) want(service string) {
	if a.groups == nil {
		a.groups = map[string]*asking{}
	}
	if a.groups[service] == nil {
		a.groups[service] = &asking{}
	}
	a.groups[service].wanted = true
}

// due returns the questions that may be asked now. Members that don't answer
// are left to the observer: a watermark needs a majority only.
func (a *Asker) due(now time.Time, g *Group) []controller.Action {
	q := a.groups[g.Service.Name]
	if q == nil || !q.wanted || now.Before(q.next) {
		return nil
	}
	q.wanted, q.next = false, now.Add(askPause)
	var out []controller.Action
	for i, m := range g.Service.Members {
		if g.Members[i].Failures == 0 {
			out = append(out, observer.Ask{Service: g.Service.Name, Member: m, Wanted: true})
		}
	}
	return out
}
