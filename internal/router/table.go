// Package router decides which target may serve a request. Control keeps a
// table of what is known of each group; traffic reads immutable copies of it.
package router

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Table is what is known of all groups. It is never changed once published.
	Table struct {
		Version  int64
		Document *configurer.Document
		// Replaced is closed when a newer table has been published.
		Replaced chan struct{}

		// shards hold the groups. A change copies the map of one shard only:
		// with one map, each of some hundred observations a second copied all
		// of 2,300 groups, which took a quarter of a core.
		shards [observer.Shards]map[string]*Group
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
		// Since is when the member answered again after failures; zero if it
		// never failed.
		Since time.Time
		// Leaving members get no reads.
		Leaving bool
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
		asker    Asker
	}
)

// maxWatermarks bounds what is kept of a group. With the spacing of thin it
// reaches back for hours.
const maxWatermarks = 64

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.Activated:
		s.apply(now, e)
		s.replace(NewTable(s.version, s.document, s.groups))
	case observer.Observed:
		if s.observe(now, e) {
			s.publish(e.Service)
		}
	case drainer.TargetLeaving:
		if s.leave(e) {
			s.publish(e.Service)
		}
	case Wanted:
		s.asker.want(e.Service)
	case controller.Tick:
	default:
		return nil
	}
	return s.ask(now)
}

// ask returns the questions for which callers wait.
func (s *Slice) ask(now time.Time) []controller.Action {
	var out []controller.Action
	for service := range s.asker.groups {
		if g := s.groups[service]; g != nil {
			out = append(out, s.asker.due(now, g)...)
		}
	}
	return out
}

func (s *Slice) leave(e drainer.TargetLeaving) bool {
	g := s.groups[e.Service]
	if g == nil {
		return false
	}
	for i, m := range g.Service.Members {
		if m.Name == e.Member && g.Members[i].Leaving != e.Leaving {
			next := g.clone()
			next.Members[i].Leaving = e.Leaving
			s.groups[e.Service] = next
			return true
		}
	}
	return false
}

func (s *Slice) apply(now time.Time, e configurer.Activated) {
	s.version, s.document = e.Version, e.Document
	old := s.groups
	s.groups = map[string]*Group{}
	for i := range e.Document.Services {
		v := &e.Document.Services[i]
		g := &Group{Service: v, Primary: -1, Members: make([]Member, len(v.Members))}
		if o := old[v.Name]; o != nil {
			// What a watermark says of the past stays true whoever the members are.
			g.Term, g.Watermarks = o.Term, o.Watermarks
			for j, m := range v.Members {
				for k, n := range o.Service.Members {
					if m.Name == n.Name && m.Address == n.Address {
						g.Members[j] = o.Members[k]
					}
				}
			}
		}
		g.derive(now)
		s.groups[v.Name] = g
	}
}

func (s *Slice) observe(now time.Time, e observer.Observed) bool {
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
		if errors.Is(e.Err, commander.ErrBusy) {
			return false // the question was never sent
		}
		if e.Err != nil {
			n.Failures++
		} else {
			if n.Failures > 0 {
				n.Since = now
			}
			n.Failures = 0
			if !e.Started.Before(n.Seen) { // not an answer that was overtaken
				n.Status, n.Seen = e.Status, e.Started
			}
		}
		next.derive(now)
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
func (g *Group) derive(now time.Time) {
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
			g.Watermarks = append(slices.Clip(g.Watermarks), w)
		}
		g.Watermarks = thin(now, g.Watermarks)
	}
}

// thin drops one watermark when there are too many: the one whose neighbours are
// closest together for their age. A stated age of half an hour then still finds
// one that is little younger, where the newest 64 would reach back for seconds
// and count every replica that lags more as too old.
func thin(now time.Time, w []Watermark) []Watermark {
	if len(w) <= maxWatermarks {
		return w
	}
	drop, least := 0, math.Inf(1)
	for i := 1; i < len(w)-1; i++ {
		gap, age := w[i+1].Taken.Sub(w[i-1].Taken), now.Sub(w[i+1].Taken)
		if r := float64(gap) / float64(age+time.Second/10); r < least {
			drop, least = i, r
		}
	}
	return slices.Delete(slices.Clone(w), drop, drop+1)
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

// Group returns what is known of a group; nil when there is none of the name.
func (t *Table) Group(service string) *Group {
	return t.shards[observer.Shard(service)][service]
}

// NewTable makes a table of groups, by service.
func NewTable(version int64, document *configurer.Document, groups map[string]*Group) *Table {
	t := &Table{Version: version, Document: document, Replaced: make(chan struct{})}
	for n, g := range groups {
		h := &t.shards[observer.Shard(n)]
		if *h == nil {
			*h = map[string]*Group{}
		}
		(*h)[n] = g
	}
	return t
}

// publish makes the table that has what is now known of one group.
func (s *Slice) publish(service string) {
	t := &Table{Version: s.version, Document: s.document, Replaced: make(chan struct{}), shards: s.Published.Load().shards}
	h := &t.shards[observer.Shard(service)]
	*h = maps.Clone(*h)
	(*h)[service] = s.groups[service]
	s.replace(t)
}

func (s *Slice) replace(t *Table) {
	if old := s.Published.Swap(t); old != nil {
		close(old.Replaced)
	}
}
