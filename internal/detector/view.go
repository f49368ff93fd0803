package detector

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/observer"
)

type (
	// Known is what this instance has seen of one member at first hand.
	Known struct {
		Status commander.Status
		// Seen is when the question was sent that gave Status; zero is never.
		Seen time.Time
		// Failures counts the questions in a row without answer; the first of
		// them was sent at FailingSince.
		Failures     int
		FailingSince time.Time
		// Unreachable tells that the last of them was refused, not unanswered.
		Unreachable bool
	}

	// View is what is known of one group.
	View struct {
		Service *configurer.Service
		Members []Known
	}

	// Views holds the groups of a configuration, by service.
	Views map[string]*View
)

// Apply returns the views of a newer configuration; what is known of members that
// stay is kept.
func (w Views) Apply(d *configurer.Document) Views {
	next := Views{}
	for i := range d.Services {
		s := &d.Services[i]
		v := &View{Service: s, Members: make([]Known, len(s.Members))}
		if old := w[s.Name]; old != nil {
			for j, m := range s.Members {
				if k := old.Index(m.Name); k >= 0 && old.Service.Members[k].Address == m.Address {
					v.Members[j] = old.Members[k]
				}
			}
		}
		next[s.Name] = v
	}
	return next
}

// Observe takes in an answer, or its absence. It returns nil for a group or a
// member that the configuration doesn't know, and for what another instance
// observed: that says nothing of whether this one reaches the member, and lacks
// what a status tells of replication.
func (w Views) Observe(e observer.Observed) *View {
	v := w[e.Service]
	if v == nil || e.From != "" {
		return nil
	}
	i := v.Index(e.Member)
	if i < 0 {
		return nil
	}
	v.Members[i].observe(e)
	return v
}

func (k *Known) observe(e observer.Observed) {
	// Answers may overtake one another: an older one must not undo a newer.
	// A question that was never sent, for want of a connection, tells nothing.
	if e.Started.Before(k.Seen) || errors.Is(e.Err, commander.ErrBusy) {
		return
	}
	if e.Err == nil {
		k.Status, k.Seen, k.Failures = e.Status, e.Started, 0
		return
	}
	if k.Failures == 0 {
		k.FailingSince = e.Started
	}
	k.Failures++
	k.Unreachable = errors.Is(e.Err, commander.ErrUnreachable)
}

// Index returns the place of a member in the configuration, or -1.
func (v *View) Index(member string) int {
	for i, m := range v.Service.Members {
		if m.Name == member {
			return i
		}
	}
	return -1
}

// Term returns the newest term that any member was seen to obey.
func (v *View) Term() uint64 {
	var term uint64
	for _, k := range v.Members {
		term = max(term, k.Status.Term)
	}
	return term
}

// Primary returns the place of the newest term's primary, or -1.
func (v *View) Primary() int {
	term := v.Term()
	for i, k := range v.Members {
		if k.Status.Role == commander.RolePrimary && k.Status.Term == term {
			return i
		}
	}
	return -1
}
