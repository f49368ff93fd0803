package router

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

// group is a slice with one group of three, fed by hand.
type group struct {
	*Slice
	now time.Time
}

func newGroup() *group {
	s := &Slice{Published: &atomic.Pointer[Table]{}}
	g := &group{Slice: s, now: time.Unix(1000, 0)}
	d := &configurer.Document{Services: []configurer.Service{{Name: "jobs"}}}
	for i, zone := range []string{"a", "b", "c"} {
		d.Services[0].Members = append(d.Services[0].Members, configurer.Member{Name: zone, Address: fmt.Sprint(i), Zone: zone})
	}
	s.Step(g.now, configurer.Activated{Version: 1, Document: d})
	return g
}

// see gives an answer of member a, b or c, asked now.
func (g *group) see(member string, role string, term, offset uint64) {
	p := orderer.Position{Term: term, Offset: offset}
	g.Step(g.now, observer.Observed{Service: "jobs", Member: member, Started: g.now, Status: commander.Status{Role: role, Term: term, Received: p, Replayed: p}})
}

// round is what all three answer: a is the primary.
func (g *group) round(a, b, c uint64) {
	g.now = g.now.Add(100 * time.Millisecond)
	g.see("a", commander.RolePrimary, 1, a)
	g.see("b", commander.RoleReplica, 1, b)
	g.see("c", commander.RoleReplica, 1, c)
}

func (g *group) choose(r Request) Choice {
	return g.Published.Load().Group("jobs").Choose(g.now, r)
}

func at(offset uint64) orderer.Position { return orderer.Position{Term: 1, Offset: offset} }

func TestChoose(t *testing.T) {
	read := Request{Read: true, MaxAge: time.Second, Zone: "b"}
	withFloor := func(o uint64) Request { r := read; r.Floor = at(o); return r }
	cases := map[string]struct {
		feed    func(g *group)
		request Request
		member  int
		await   bool
		why     string
	}{
		"a write":                     {request: Request{}, member: 0, why: whyWrite},
		"a read that accepts no age":  {request: Request{Read: true}, member: 0, why: whyStrict},
		"a read, replica in its zone": {request: read, member: 1, why: whyReplica},
		"a read behind a floor":       {request: withFloor(11), member: 1, await: true, why: whyAwait},
		"the near replica lags": {
			feed:    func(g *group) { g.round(20, 5, 20) },
			request: withFloor(15), member: 2, why: whyReplica,
		},
		"all replicas lag": {
			feed: func(g *group) {
				for i := range uint64(12) {
					g.round(20+i, 10, 10)
				}
			},
			request: withFloor(31), member: 0, why: whyBehind,
		},
		"stated age reached by a lagging replica": {
			feed: func(g *group) {
				for i := range uint64(5) {
					g.round(20+i, 10, 20+i)
				}
			},
			request: Request{Read: true, MaxAge: time.Minute, Zone: "b"}, member: 1, why: whyReplica,
		},
		"no majority within the age": {
			feed:    func(g *group) { g.now = g.now.Add(2 * time.Second); g.see("b", commander.RoleReplica, 1, 10) },
			request: read, member: -1, why: whyNoWitness,
		},
		"floor of a newer term than the primary's": {
			request: Request{Floor: orderer.Position{Term: 2, Offset: 1}}, member: -1, why: whyOldPrimary,
		},
		"the near replica is leaving": {
			feed:    func(g *group) { g.Step(g.now, drainer.TargetLeaving{Service: "jobs", Member: "b", Leaving: true}) },
			request: read, member: 2, why: whyReplica,
		},
		"both replicas fail": {
			feed: func(g *group) {
				for _, m := range []string{"b", "c"} {
					g.Step(g.now, observer.Observed{Service: "jobs", Member: m, Err: errors.New("no answer")})
				}
			},
			request: read, member: 0, why: whyBehind,
		},
		"a replica that holds what the session has seen": {
			feed:    func(g *group) { g.round(20, 11, 20) },
			request: Request{Read: true, MaxAge: time.Minute, Zone: "b", Seen: at(15)}, member: 2, why: whyReplica,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGroup()
			g.round(10, 10, 10)
			if c.feed != nil {
				c.feed(g)
			}
			got := g.choose(c.request)
			must.Eq(t, c.member, got.Member, must.Sprint(got.Why))
			must.Eq(t, c.why, got.Why)
			must.Eq(t, c.await, got.Await > 0)
		})
	}
}

// A caller wishes for a watermark, and the questions go out at the same moment of
// the clock. Their answers are what it waits for.
func TestSince(t *testing.T) {
	g := newGroup()
	g.round(10, 10, 10)
	_, ok := g.groups["jobs"].Since(g.now)
	must.True(t, ok)
	_, ok = g.groups["jobs"].Since(g.now.Add(time.Nanosecond))
	must.False(t, ok)
}

// Two replicas are equal, and the instance has few connections. It keeps to one
// of them, so that no connection is given up for the other; instances with other
// names keep to other ones, so that together they use all.
func TestEqualReplicas(t *testing.T) {
	g := newGroup()
	g.round(10, 10, 10)
	used := map[int]bool{}
	for _, name := range []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"} {
		r := Request{Read: true, MaxAge: time.Minute, Zone: "none", Home: HomeOf(name)}
		first := g.choose(r).Member
		for i := range uint64(10) {
			r.Turn = i
			must.Eq(t, first, g.choose(r).Member)
		}
		used[first] = true
	}
	must.Eq(t, map[int]bool{1: true, 2: true}, used)
}

// A replica comes back after failures. It gets part of the reads at first, and
// its part grows; the others find another target all the while.
func TestSlowStart(t *testing.T) {
	g := newGroup()
	g.round(10, 10, 10)
	g.Step(g.now, observer.Observed{Service: "jobs", Member: "b", Err: errors.New("no answer")})
	share := func() int {
		n := 0
		for i := range uint64(100) {
			c := g.choose(Request{Read: true, MaxAge: time.Minute, Zone: "b", Turn: i})
			must.GreaterEq(t, 0, c.Member)
			if c.Member == 1 {
				n++
			}
		}
		return n
	}
	must.Eq(t, 0, share())
	var shares []int
	for range 3 {
		g.round(10, 10, 10)
		shares = append(shares, share())
		g.now = g.now.Add(5 * time.Second)
	}
	must.Eq(t, []int{10, 60, 100}, shares)
}

// A minute of rounds is kept in few watermarks, and each stated age still finds
// one that is not much younger.
func TestThin(t *testing.T) {
	g := newGroup()
	for i := range uint64(36000) {
		g.round(i, i, i)
	}
	w := g.Published.Load().Group("jobs")
	must.LessEq(t, maxWatermarks, len(w.Watermarks))
	for _, age := range []time.Duration{time.Second, 10 * time.Second, time.Minute, 30 * time.Minute} {
		p, ok := w.freshness(g.now, age)
		must.True(t, ok)
		found := time.Duration(35999-p.Offset) * 100 * time.Millisecond
		must.LessEq(t, age, found)
		must.GreaterEq(t, age*3/4, found)
	}
}

// Many callers want a watermark at once: their instance asks once, and again
// only after a pause.
func TestAsker(t *testing.T) {
	g := newGroup()
	count := func() (n int) {
		for range 100 {
			n += len(g.Step(g.now, Wanted{Service: "jobs"}))
		}
		return n
	}
	must.Eq(t, 3, count())
	g.now = g.now.Add(askPause - time.Millisecond)
	must.Eq(t, 0, count())
	g.now = g.now.Add(time.Millisecond)
	must.Eq(t, 3, len(g.Step(g.now, controller.Tick{})))
	must.Eq(t, 0, len(g.Step(g.now, controller.Tick{})))
}

func TestExplainer(t *testing.T) {
	e := &Explainer{}
	must.Eq(t, 0, len(e.Recent()))
	for i := range explained + 3 {
		e.Add(Decision{Member: i})
	}
	r := e.Recent()
	must.Eq(t, explained, len(r))
	must.Eq(t, explained+2, r[0].Member)
	must.Eq(t, 3, r[explained-1].Member)
}
