// Package router decides which target serves a request. The control loop maintains a table
// of each group's state; the request path reads immutable copies of it.
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
	// Table holds the known state of all groups. It is immutable once published.
	Table struct {
		Version  int64
		Document *configurer.Document
		// Replaced is closed when a newer table is published.
		Replaced chan struct{}

		// shards hold the groups, so that a change copies the map of one shard only. With a single
		// map, each observation would copy the entries of all groups.
		shards [observer.ShardCount]map[string]*Group
	}

	// Group is the known state of one group.
	Group struct {
		Service *configurer.Service
		// Term is the newest term seen; Primary is the index of its primary in
		// Service.Members, or -1.
		Term    uint64
		Primary int
		Members []Member
		// Watermarks bound staleness, oldest first.
		Watermarks []Watermark
	}

	// Member is the known state of one target.
	Member struct {
		Status commander.Status
		// LastQueried is when the query that returned Status was sent; zero if there was none.
		LastQueried time.Time
		// Failures counts consecutive unanswered queries.
		Failures int
		// RecoveredAt is when the member responded again after failures; zero if it never failed.
		RecoveredAt time.Time
		// Draining is set while the member is drained: it gets no reads.
		Draining bool
	}

	// Watermark states that every write acknowledged before Taken is at or before Position.
	Watermark struct {
		Taken    time.Time
		Position orderer.Position
	}

	// Slice is the part of the control loop that maintains the table.
	Slice struct {
		// Published is the table that the request path reads.
		Published *atomic.Pointer[Table]

		version  int64
		document *configurer.Document
		groups   map[string]*Group
		querier  WatermarkQuerier
	}
)

// maxWatermarks bounds the watermarks kept of a group; thinWatermarks spaces them.
const maxWatermarks = 64

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.Activated:
		s.applyConfiguration(now, e)
		s.swapTable(NewTable(s.version, s.document, s.groups))
	case observer.Observed:
		if s.observe(now, e) {
			s.publish(e.Service)
		}
	case drainer.TargetLeaving:
		if s.setLeaving(e) {
			s.publish(e.Service)
		}
	case WatermarkWanted:
		s.querier.request(e.Service)
	case controller.Tick:
	default:
		return nil
	}
	return s.pendingQueries(now)
}

// pendingQueries returns the queries that callers wait for.
func (s *Slice) pendingQueries(now time.Time) []controller.Action {
	var out []controller.Action
	for service := range s.querier.groups {
		if g := s.groups[service]; g != nil {
			out = append(out, s.querier.dueQueries(now, g)...)
		}
	}
	return out
}

func (s *Slice) setLeaving(e drainer.TargetLeaving) bool {
	g := s.groups[e.Service]
	if g == nil {
		return false
	}
	for i, m := range g.Service.Members {
		if m.Name == e.Member && g.Members[i].Draining != e.Leaving {
			next := g.clone()
			next.Members[i].Draining = e.Leaving
			s.groups[e.Service] = next
			return true
		}
	}
	return false
}

func (s *Slice) applyConfiguration(now time.Time, e configurer.Activated) {
	s.version, s.document = e.Version, e.Document
	old := s.groups
	s.groups = map[string]*Group{}
	for i := range e.Document.Services {
		v := &e.Document.Services[i]
		g := &Group{Service: v, Primary: -1, Members: make([]Member, len(v.Members))}
		if o := old[v.Name]; o != nil {
			// Watermarks stay valid when the members change.
			g.Term, g.Watermarks = o.Term, o.Watermarks
			for j, m := range v.Members {
				for k, n := range o.Service.Members {
					if m.Name == n.Name && m.Address == n.Address {
						g.Members[j] = o.Members[k]
					}
				}
			}
		}
		g.deriveState(now)
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
		if errors.Is(e.Err, commander.ErrNoConnection) {
			return false // the query was never sent
		}
		if e.Err != nil {
			n.Failures++
		} else {
			if n.Failures > 0 {
				n.RecoveredAt = now
			}
			n.Failures = 0
			if !e.Started.Before(n.LastQueried) { // ignore an answer older than the known status
				n.Status, n.LastQueried = e.Status, e.Started
			}
		}
		next.deriveState(now)
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

// deriveState updates the term, the primary of that term, and the watermarks.
func (g *Group) deriveState(now time.Time) {
	g.Primary = -1
	for _, m := range g.Members {
		g.Term = max(g.Term, m.Status.Term)
	}
	for i, m := range g.Members {
		if m.Status.Role == commander.RolePrimary && m.Status.Term == g.Term {
			g.Primary = i
		}
	}
	if w, ok := g.majorityWatermark(); ok {
		if n := len(g.Watermarks); n == 0 || g.Watermarks[n-1].Taken.Before(w.Taken) {
			g.Watermarks = append(slices.Clip(g.Watermarks), w)
		}
		g.Watermarks = thinWatermarks(now, g.Watermarks)
	}
}

// thinWatermarks drops one watermark when there are too many: the one whose neighbours are
// closest together relative to their age. Spacing then grows with age, so that large and
// small staleness bounds both find a suitable one.
func thinWatermarks(now time.Time, w []Watermark) []Watermark {
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

// majorityWatermark derives a watermark from the most recently queried majority. An
// acknowledged write is held by a majority, so any majority queried later has a member that
// holds it, and the largest position among them is at or past it. This needs neither
// synchronized clocks nor the primary, so a former primary can't make replicas look fresh.
func (g *Group) majorityWatermark() (Watermark, bool) {
	var w Watermark
	need := g.Service.Quorum()
	for taken := range g.byRecency() {
		m := g.Members[taken]
		if m.LastQueried.IsZero() {
			return w, false
		}
		w.Position = orderer.Max(w.Position, m.Status.Received)
		w.Taken = m.LastQueried
		if need--; need == 0 {
			return w, true
		}
	}
	return w, false
}

// byRecency yields member indexes, the most recently queried first.
func (g *Group) byRecency() func(func(int) bool) {
	return func(yield func(int) bool) {
		used := make([]bool, len(g.Members))
		for range g.Members {
			best := -1
			for i, m := range g.Members {
				if !used[i] && (best < 0 || m.LastQueried.After(g.Members[best].LastQueried)) {
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

// Group returns a group's state, or nil if there is no such group.
func (t *Table) Group(service string) *Group {
	return t.shards[observer.Shard(service)][service]
}

// NewTable returns a table of the groups, keyed by service.
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

// publish publishes a table with one group's current state.
func (s *Slice) publish(service string) {
	t := &Table{Version: s.version, Document: s.document, Replaced: make(chan struct{}), shards: s.Published.Load().shards}
	h := &t.shards[observer.Shard(service)]
	*h = maps.Clone(*h)
	(*h)[service] = s.groups[service]
	s.swapTable(t)
}

func (s *Slice) swapTable(t *Table) {
	if old := s.Published.Swap(t); old != nil {
		close(old.Replaced)
	}
}
