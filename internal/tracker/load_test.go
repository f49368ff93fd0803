package tracker_test

import (
	"math"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/balancer"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

// groupWithLoad returns a group whose near replica q is overloaded, and its last placement.
func groupWithLoad(t *testing.T, busy float64) (*tracker.Group, *tracker.Placement) {
	t.Helper()
	g, last := newGroup(), &tracker.Placement{}
	g.NotePlacement = func(p tracker.Placement) { *last = p }
	for id, b := range map[string]float64{"p": 0, "q": busy, "r": 0} {
		must.NoError(t, g.AddRemoteLoad(at(0), tracker.MemberLoad{Member: id, Busy: b, Slots: 3, Service: 10 * time.Millisecond, At: at(0)}))
	}
	return g, last
}

// countFirst returns how often each member is the first candidate in 1,000 orders.
func countFirst(g *tracker.Group, now tracker.Timestamp) map[string]int {
	n := map[string]int{}
	for range 1000 {
		n[g.ReadCandidates(now, orderer.Position{})[0]]++
	}
	return n
}

// Guards against reads that stay at an overloaded member, and against a load that still counts when
// it is older than 2 s.
func TestReadCandidatesByLoad(t *testing.T) {
	g, last := groupWithLoad(t, 30)
	must.Between(t, 200, countFirst(g, at(100))["q"], 500)
	must.Eq(t, 1000, countFirst(g, at(2001))["q"])
	must.Eq(t, balancer.OutcomeUnknown, last.Outcome)
	must.Len(t, 3, g.Loads(at(100)))
	must.SliceEmpty(t, g.Loads(at(2001)))
}

// Guards against an order that changes on a quiet day, when the load doesn't matter.
func TestIdleGroupIsOrderedAsBefore(t *testing.T) {
	g, last := groupWithLoad(t, 0.3)
	must.Eq(t, 1000, countFirst(g, at(100))["q"])
	must.Eq(t, balancer.OutcomeIdle, last.Outcome)
	must.SliceEmpty(t, g.Loads(at(100)))
}

// Guards against a member that doesn't answer and makes the load of the others useless.
func TestFailedMemberNeedsNoLoad(t *testing.T) {
	g := newGroup()
	for id, busy := range map[string]float64{"q": 30, "r": 0} {
		must.NoError(t, g.AddRemoteLoad(at(0), tracker.MemberLoad{Member: id, Busy: busy, Slots: 3, At: at(0)}))
	}
	g.RecordFailure(at(90), "p", false)
	must.Between(t, 500, countFirst(g, at(100))["r"], 900)
	must.Eq(t, "p", g.ReadCandidates(at(100), orderer.Position{})[2])
}

// Guards against the load of a former incarnation of a member, which the new one doesn't have.
func TestRestartDiscardsLoad(t *testing.T) {
	g, _ := groupWithLoad(t, 30)
	members := func(start int64) []tracker.Member {
		return []tracker.Member{{ID: "p", Zone: "b", Slots: 3}, {ID: "q", Zone: "a", Slots: 3, StartTime: start}, {ID: "r", Zone: "c", Slots: 3}}
	}
	g.SetMembers(members(1))
	must.Less(t, 500, countFirst(g, at(10))["q"])
	g.SetMembers(members(2))
	must.Eq(t, 1000, countFirst(g, at(20))["q"])
	must.NoError(t, g.AddRemoteLoad(at(30), tracker.MemberLoad{Member: "q", Busy: 30, Slots: 3, At: at(15)})) // late
	must.Eq(t, 1000, countFirst(g, at(40))["q"])
}

// Guards against the load of a former supervisor, which arrives late by another way, in the place of
// the new one's.
func TestNewestLoadCounts(t *testing.T) {
	g, _ := groupWithLoad(t, 30)
	must.NoError(t, g.AddRemoteLoad(at(500), tracker.MemberLoad{Member: "q", Busy: 1, Slots: 3, At: at(400)}))
	must.NoError(t, g.AddRemoteLoad(at(510), tracker.MemberLoad{Member: "q", Busy: 30, Slots: 3, At: at(300)}))
	must.Eq(t, 1000, countFirst(g, at(600))["q"])
}

// Guards against loads of unknown members and impossible ones, which must change nothing.
func TestInvalidLoadIsRejected(t *testing.T) {
	g, _ := groupWithLoad(t, 1)
	for _, l := range []tracker.MemberLoad{
		{Member: "x", Busy: 9, Slots: 3, At: at(50)},
		{Member: "q", Busy: -1, Slots: 3, At: at(50)},
		{Member: "q", Busy: math.NaN(), Slots: 3, At: at(50)},
		{Member: "q", Busy: 4e6, Slots: 3, At: at(50)},
		{Member: "q", Busy: 9, At: at(50)},
		{Member: "q", Busy: 9, Slots: 3, Service: time.Minute, At: at(50)},
		{Member: "q", Busy: 9, Slots: 3, At: at(61)},
	} {
		must.Error(t, g.AddRemoteLoad(at(60), l))
	}
	must.Eq(t, at(0), g.Loads(at(60))[1].At)
}

// The supervisor's samples are averaged, and own responses give the service time without the wait in
// the member's queue.
func TestObservedLoad(t *testing.T) {
	g := newGroup()
	for ms := 0; ms <= 4000; ms += 200 {
		g.UpdateStatus(at(ms), "q", messenger.Status{Busy: 6})
		g.RecordSend("q")
		g.RecordResponse(at(ms+10), "q", 41*time.Millisecond, orderer.Position{})
	}
	g.UpdateStatus(at(4200), "q", messenger.Status{Busy: 12})
	l := g.Loads(at(4200))[0]
	must.Between(t, 6.5, l.Busy, 8)
	must.Eq(t, 20*time.Millisecond, l.Service)
}

// Guards against reads that have no other member while a partition separates this instance from the
// near one, whose load is still known.
func TestNearMemberMustRespond(t *testing.T) {
	g, _ := groupWithLoad(t, 1)
	candidates := func(ms int) int { return len(g.ReadCandidates(at(ms), orderer.Position{})) }
	must.Eq(t, 3, candidates(0))
	g.RecordSend("q")
	g.RecordResponse(at(10), "q", 10*time.Millisecond, orderer.Position{})
	must.Eq(t, 1, candidates(20))
	must.Eq(t, 3, candidates(310))
	g.RecordFailure(at(20), "q", false)
	must.Eq(t, 3, candidates(30))
}

// Guards against an instance that sends its reads to a member whose connections are all in use at the
// instance that holds them, and that counts such a wait for longer than 500 ms.
func TestWaitForConnectionCounts(t *testing.T) {
	g, _ := groupWithLoad(t, 1)
	g.RecordWait(at(0), "q", 200*time.Millisecond)
	must.Between(t, 200, countFirst(g, at(500))["q"], 500)
	must.Eq(t, 1000, countFirst(g, at(501))["q"])
}
