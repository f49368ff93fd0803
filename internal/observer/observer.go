// Package observer decides which targets this instance asks for their state, and
// when, and passes on what they answer.
package observer

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
)

// interval is how often a target is asked. Half of it is the mean age of what
// is known of a replica, which every read with a stated age pays.
const interval = 100 * time.Millisecond

type (
	// Slice holds which questions are open.
	Slice struct {
		services []configurer.Service
		asked    map[string]*question
	}

	question struct {
		open bool
		next time.Time
	}

	// Ask asks a target for its state.
	Ask struct {
		Service string
		Member  configurer.Member
	}

	// Observed is what a target answered, or that it did not.
	Observed struct {
		Service string
		Member  string
		// Started is when the question was sent: what is observed is no older.
		Started time.Time
		Status  commander.Status
		Err     error
	}

	// Asker performs Ask.
	Asker struct {
		Commander commander.Commander
	}
)

// ActionName implements controller.Action.
func (Ask) ActionName() string { return "ask-target" }

// EventName implements controller.Event.
func (Observed) EventName() string { return "target-observed" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.InForce:
		s.services, s.asked = e.Document.Services, map[string]*question{}
	case Observed:
		if q := s.asked[e.Service+"/"+e.Member]; q != nil {
			q.open = false
		}
	case controller.Tick:
		return s.due(now)
	}
	return nil
}

func (s *Slice) due(now time.Time) []controller.Action {
	var out []controller.Action
	for _, v := range s.services {
		for _, m := range v.Members {
			q := s.asked[v.Name+"/"+m.Name]
			if q == nil {
				q = &question{}
				s.asked[v.Name+"/"+m.Name] = q
			}
			if q.open || now.Before(q.next) {
				continue
			}
			q.open, q.next = true, now.Add(interval)
			out = append(out, Ask{Service: v.Name, Member: m})
		}
	}
	return out
}

// Perform implements controller.Performer.
func (k *Asker) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	q, ok := a.(Ask)
	if !ok {
		return nil, false
	}
	o := Observed{Service: q.Service, Member: q.Member.Name, Started: time.Now()}
	o.Status, o.Err = k.Commander.Status(ctx, q.Member.Address)
	return o, true
}
