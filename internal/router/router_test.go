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

// fixture is a slice with one group of three members, whose events the test supplies.
type fixture struct {
	*Slice
	now time.Time
}

func newFixture() *fixture {
	s := &Slice{Published: &atomic.Pointer[Table]{}}
	f := &fixture{Slice: s, now: time.Unix(1000, 0)}
	d := &configurer.Document{Services: []configurer.Service{{Name: "jobs"}}}
	for i, zone := range []string{"a", "b", "c"} {
		d.Services[0].Members = append(d.Services[0].Members, configurer.Member{Name: zone, Address: fmt.Sprint(i), Zone: zone})
	}
	s.Step(f.now, configurer.Activated{Version: 1, Document: d})
	return f
}

// observeMember supplies a member's status, queried now.
func (f *fixture) observeMember(member string, role string, term, offset uint64) {
	p := orderer.Position{Term: term, Offset: offset}
	f.Step(f.now, observer.Observed{Service: "jobs", Member: member, Started: f.now, Status: commander.Status{Role: role, Term: term, Received: p, Replayed: p}})
}

// observeAll supplies the statuses of all three members; a is the primary.
func (f *fixture) observeAll(a, b, c uint64) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.observeMember("a", commander.RolePrimary, 1, a)
	f.observeMember("b", commander.RoleReplica, 1, b)
	f.observeMember("c", commander.RoleReplica, 1, c)
}

func (f *fixture) choose(r Request) Choice {
	return f.Published.Load().Group("jobs").Choose(f.now, r)
}

func position(offset uint64) orderer.Position { return orderer.Position{Term: 1, Offset: offset} }

func TestChoose(t *testing.T) {
	read := Request{Read: true, MaxAge: time.Second, Zone: "b"}
	withFloor := func(o uint64) Request { r := read; r.Floor = position(o); return r }
	cases := map[string]struct {
		observe func(f *fixture)
		request Request
		member  int
		catchUp bool
		reason  string
	}{
		"a write":                                         {request: Request{}, member: 0, reason: reasonWrite},
		"a read that accepts no staleness":                {request: Request{Read: true}, member: 0, reason: reasonNoStaleness},
		"a read, replica in its zone":                     {request: read, member: 1, reason: reasonReplica},
		"a read with a floor past the replicas' position": {request: withFloor(11), member: 1, catchUp: true, reason: reasonCatchUp},
		"the replica in the zone lags": {
			observe: func(f *fixture) { f.observeAll(20, 5, 20) },
			request: withFloor(15), member: 2, reason: reasonReplica,
		},
		"all replicas lag": {
			observe: func(f *fixture) {
				for i := range uint64(12) {
					f.observeAll(20+i, 10, 10)
				}
			},
			request: withFloor(31), member: 0, reason: reasonReplicasBehind,
		},
		"lagging replica within the staleness bound": {
			observe: func(f *fixture) {
				for i := range uint64(5) {
					f.observeAll(20+i, 10, 20+i)
				}
			},
			request: Request{Read: true, MaxAge: time.Minute, Zone: "b"}, member: 1, reason: reasonReplica,
		},
		"no majority within the staleness bound": {
			observe: func(f *fixture) {
				f.now = f.now.Add(2 * time.Second)
				f.observeMember("b", commander.RoleReplica, 1, 10)
			},
			request: read, member: -1, reason: reasonNoWatermark,
		},
		"floor of a newer term than the primary's": {
			request: Request{Floor: orderer.Position{Term: 2, Offset: 1}}, member: -1, reason: reasonOldPrimary,
		},
		"the replica in the zone is draining": {
			observe: func(f *fixture) { f.Step(f.now, drainer.TargetLeaving{Service: "jobs", Member: "b", Leaving: true}) },
			request: read, member: 2, reason: reasonReplica,
		},
		"both replicas are unresponsive": {
			observe: func(f *fixture) {
				for _, m := range []string{"b", "c"} {
					f.Step(f.now, observer.Observed{Service: "jobs", Member: m, Err: errors.New("no answer")})
				}
			},
			request: read, member: 0, reason: reasonReplicasBehind,
		},
		"a replica that holds the newest position read": {
			observe: func(f *fixture) { f.observeAll(20, 11, 20) },
			request: Request{Read: true, MaxAge: time.Minute, Zone: "b", LastRead: position(15)}, member: 2, reason: reasonReplica,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.observeAll(10, 10, 10)
			if c.observe != nil {
				c.observe(f)
			}
			got := f.choose(c.request)
			must.Eq(t, c.member, got.Member, must.Sprint(got.Reason))
			must.Eq(t, c.reason, got.Reason)
			must.Eq(t, c.catchUp, got.CatchUpTimeout > 0)
		})
	}
}

// A watermark whose queries were sent at the very time of the request satisfies it.
func TestWatermarkSinceIncludesExactTime(t *testing.T) {
	f := newFixture()
	f.observeAll(10, 10, 10)
	_, ok := f.groups["jobs"].WatermarkSince(f.now)
	must.True(t, ok)
	_, ok = f.groups["jobs"].WatermarkSince(f.now.Add(time.Nanosecond))
	must.False(t, ok)
}

// An instance keeps to one of two equal replicas, to reuse its connections, while instances
// together use both.
func TestInstanceKeepsToOneOfEqualReplicas(t *testing.T) {
	f := newFixture()
	f.observeAll(10, 10, 10)
	used := map[int]bool{}
	for _, name := range []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"} {
		r := Request{Read: true, MaxAge: time.Minute, Zone: "none", PreferenceSeed: PreferenceSeed(name)}
		first := f.choose(r).Member
		for i := range uint64(10) {
			r.Sequence = i
			must.Eq(t, first, f.choose(r).Member)
		}
		used[first] = true
	}
	must.Eq(t, map[int]bool{1: true, 2: true}, used)
}

// A recovered replica gets a growing fraction of the reads, and no read is left without a
// target.
func TestSlowStart(t *testing.T) {
	f := newFixture()
	f.observeAll(10, 10, 10)
	f.Step(f.now, observer.Observed{Service: "jobs", Member: "b", Err: errors.New("no answer")})
	share := func() int {
		n := 0
		for i := range uint64(100) {
			c := f.choose(Request{Read: true, MaxAge: time.Minute, Zone: "b", Sequence: i})
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
		f.observeAll(10, 10, 10)
		shares = append(shares, share())
		f.now = f.now.Add(5 * time.Second)
	}
	must.Eq(t, []int{10, 60, 100}, shares)
}

// An hour of watermarks is thinned to maxWatermarks, and each staleness bound still finds one
// that is not much younger.
func TestThinWatermarks(t *testing.T) {
	f := newFixture()
	for i := range uint64(36000) {
		f.observeAll(i, i, i)
	}
	w := f.Published.Load().Group("jobs")
	must.LessEq(t, maxWatermarks, len(w.Watermarks))
	for _, age := range []time.Duration{time.Second, 10 * time.Second, time.Minute, 30 * time.Minute} {
		p, ok := w.positionForAge(f.now, age)
		must.True(t, ok)
		found := time.Duration(35999-p.Offset) * 100 * time.Millisecond
		must.LessEq(t, age, found)
		must.GreaterEq(t, age*3/4, found)
	}
}

// Concurrent requests for a watermark share one query, repeated only after minQueryInterval.
func TestWatermarkQueriesAreRateLimited(t *testing.T) {
	f := newFixture()
	count := func() (n int) {
		for range 100 {
			n += len(f.Step(f.now, WatermarkWanted{Service: "jobs"}))
		}
		return n
	}
	must.Eq(t, 3, count())
	f.now = f.now.Add(minQueryInterval - time.Millisecond)
	must.Eq(t, 0, count())
	f.now = f.now.Add(time.Millisecond)
	must.Eq(t, 3, len(f.Step(f.now, controller.Tick{})))
	must.Eq(t, 0, len(f.Step(f.now, controller.Tick{})))
}

func TestDecisionLogKeepsNewestDecisions(t *testing.T) {
	e := &DecisionLog{}
	must.Eq(t, 0, len(e.Recent()))
	for i := range decisionLogCapacity + 3 {
		e.Add(Decision{Member: i})
	}
	r := e.Recent()
	must.Eq(t, decisionLogCapacity, len(r))
	must.Eq(t, decisionLogCapacity+2, r[0].Member)
	must.Eq(t, 3, r[decisionLogCapacity-1].Member)
}
