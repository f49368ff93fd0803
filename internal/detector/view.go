package detector

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/observer"
)

type (
	// MemberState is the state of one member as observed by this instance.
	MemberState struct {
		Status commander.Status
		// StatusAt is when the request that returned Status was sent; zero is never.
		StatusAt time.Time
		// Failures counts consecutive unanswered requests; the first of them was sent at
		// FailingSince.
		Failures     int
		FailingSince time.Time
		// Unreachable is set when the last failed request was refused, not timed out.
		Unreachable bool
	}

	// View is the observed state of one group.
	View struct {
		Service *configurer.Service
		Members []MemberState
	}

	// Views holds the groups of a configuration by service name.
	Views map[string]*View
)

// Apply returns the views of a newer configuration, and keeps the state of unchanged members.
func (vs Views) Apply(d *configurer.Document) Views {
	next := Views{}
	for i := range d.Services {
		s := &d.Services[i]
		v := &View{Service: s, Members: make([]MemberState, len(s.Members))}
		if old := vs[s.Name]; old != nil {
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

// Observe processes the result of a status request. It returns nil for unknown groups and
// members, and for observations of other instances, which neither show that this instance
// reaches the member nor include its replication state.
func (vs Views) Observe(e observer.Observed) *View {
	v := vs[e.Service]
	if v == nil || e.From != "" {
		return nil
	}
	i := v.Index(e.Member)
	if i < 0 {
		return nil
	}
	v.Members[i].update(e)
	return v
}

func (m *MemberState) update(e observer.Observed) {
	// Ignores responses received out of order, and requests that were not sent for lack of a
	// connection.
	if e.Started.Before(m.StatusAt) || errors.Is(e.Err, commander.ErrNoConnection) {
		return
	}
	if e.Err == nil {
		m.Status, m.StatusAt, m.Failures = e.Status, e.Started, 0
		return
	}
	if m.Failures == 0 {
		m.FailingSince = e.Started
	}
	m.Failures++
	m.Unreachable = errors.Is(e.Err, commander.ErrUnreachable)
}

// Index returns the index of a member in the configuration, or -1.
func (v *View) Index(member string) int {
	for i, m := range v.Service.Members {
		if m.Name == member {
			return i
		}
	}
	return -1
}

// Term returns the newest term of any member.
func (v *View) Term() uint64 {
	var term uint64
	for _, k := range v.Members {
		term = max(term, k.Status.Term)
	}
	return term
}

// Primary returns the index of the newest term's primary, or -1.
func (v *View) Primary() int {
	term := v.Term()
	for i, k := range v.Members {
		if k.Status.Role == commander.RolePrimary && k.Status.Term == term {
			return i
		}
	}
	return -1
}
