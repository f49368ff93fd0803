// Package router decides which target may serve a request. Control keeps a
// table of what is known of each group; traffic reads immutable copies of it.
package router

import (
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Table is what is known of all groups. It is never changed once published.
	Table struct {
		Version  int64
		Document *configurer.Document
		Groups   map[string]*Group
		// Replaced is closed when a newer table has been published.
		Replaced chan struct{}
	}

	// Group is what is known of one group.
	Group struct {
		Service *configurer.Service
		// Term is the newest term seen, Primary the index of its primary in
		// Service.Members, or -1.
		Term    uint64
		Primary int
		Members []Member
		// Watermarks bound staleness, oldest first.
		Watermarks []Watermark
	}

	// Member is what is known of one target.
	Member struct {
		Status commander.Status
		// Seen is when the question was sent that gave Status; zero is never.
		Seen time.Time
		// Failures counts the questions in a row without answer.
		Failures int
	}

	// Watermark says that every write acknowledged before Taken stands at or
	// before Position.
	Watermark struct {
		Taken    time.Time
		Position orderer.Position
	}

	// Slice keeps the table.
	Slice struct {
		// Published is where traffic reads the table.
		Published *atomic.Pointer[Table]

		version  int64
		document *configurer.Document
		groups   map[string]*Group
	}
)

const maxWatermarks = 64

// Step implements controller.Slice.
func (s *Slice) Step(_ time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.InForce:
		s.apply(e)
	case observer.Observed:
		if !s.observe(e) {
			return nil
		}
	default:
		return nil
	}
	s.publish()
	return nil
}

func (s *Slice) apply(e configurer.InForce) {
	s.version, s.document = e.Version, e.Document
	old := s.groups
	s.groups = map[string]*Group{}
	for i := range e.Document.Services {
		v := &e.Document.Services[i]
		g := &Group{Service: v, Primary: -1, Members: make([]Member, len(v.Members))}
		if o := old[v.Name]; o != nil {
			g.Term = o.Term
			for j, m := range v.Members {
				for k, n := range o.Service.Members {
					if m == n {
						g.Members[j] = o.Members[k]
					}
				}
			}
		}
		s.groups[v.Name] = g
	}
}

func (s *Slice) observe(e observer.Observed) bool {
	g := s.groups[e.Service]
	if g == nil {
		return false
	}
	for i, m := range g.Service.Members {
		if m.Name != e.Member {
			continue
		}
		next := g.clone()
		n := &next.Members[i]
		if e.Err != nil {
			n.Failures++
		} else {
			n.Status, n.Seen, n.Failures = e.Status, e.Started, 0
		}
		next.derive()
		s.groups[e.Service] = next
		return true
	}
	return false
}

func (g *Group) clone() *Group {
	n := *g
	n.Members = append([]Member(nil), g.Members...)
	n.Watermarks = append([]Watermark(nil), g.Watermarks...)
	return &n
}

// derive finds the primary of the newest term, and the newest watermark.
func (g *Group) derive() {
	g.Primary = -1
	for _, m := range g.Members {
		g.Term = max(g.Term, m.Status.Term)
	}
	for i, m := range g.Members {
		if m.Status.Role == commander.RolePrimary && m.Status.Term == g.Term {
			g.Primary = i
		}
	}
	if w, ok := g.watermark(); ok {
		if n := len(g.Watermarks); n == 0 || g.Watermarks[n-1].Taken.Before(w.Taken) {
			g.Watermarks = append(g.Watermarks, w)
		}
		if n := len(g.Watermarks); n > maxWatermarks {
			g.Watermarks = append([]Watermark(nil), g.Watermarks[n-maxWatermarks:]...)
		}
	}
}

// watermark reads the newest answers of a majority. An acknowledged write is
// held by a majority, so any other majority, asked after the acknowledgement,
// has a member that holds it: the largest position among them is at or past
// it. No clocks of two machines are compared, and the primary is not needed,
// so an old primary that believes in itself can't make replicas look fresh.
func (g *Group) watermark() (Watermark, bool) {
	var w Watermark
	need := g.Service.Quorum()
	for taken := range g.byAge() {
		m := g.Members[taken]
		if m.Seen.IsZero() {
			return w, false
		}
		w.Position = orderer.Max(w.Position, m.Status.Received)
		w.Taken = m.Seen
		if need--; need == 0 {
			return w, true
		}
	}
	return w, false
}

// byAge yields member indexes, the most recently asked first.
func (g *Group) byAge() func(func(int) bool) {
	return func(yield func(int) bool) {
		used := make([]bool, len(g.Members))
		for range g.Members {
			best := -1
			for i, m := range g.Members {
				if !used[i] && (best < 0 || m.Seen.After(g.Members[best].Seen)) {
					best = i
				}
			}
			used[best] = true
			if !yield(best) {
				return
			}
		}
	}
}

func (s *Slice) publish() {
	t := &Table{Version: s.version, Document: s.document, Groups: map[string]*Group{}, Replaced: make(chan struct{})}
	for n, g := range s.groups {
		t.Groups[n] = g
	}
	if old := s.Published.Swap(t); old != nil {
		close(old.Replaced)
	}
}
