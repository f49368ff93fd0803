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
	must.SliceEmpty(t, g.Loads(at(2001)))
	g, last = groupWithLoad(t, 0.3)
	must.Eq(t, 1000, countFirst(g, at(100))["q"])
	must.Eq(t, balancer.OutcomeIdle, last.Outcome)
	g.RecordWait(at(100), "q", 200*time.Millisecond) // no connection is free
	must.Between(t, 200, countFirst(g, at(600))["q"], 500)
	must.Eq(t, 1000, countFirst(g, at(601))["q"])
}

// Guards against the load of a former incarnation of a member, which the new one doesn't have.
func TestRestartDiscardsLoad(t *testing.T) {
	g, _ := groupWithLoad(t, 30)
	for start := range int64(2) {
		must.Less(t, 500, countFirst(g, at(10))["q"])
		g.SetMembers([]tracker.Member{{ID: "p", Zone: "b", Slots: 3}, {ID: "q", Zone: "a", Slots: 3, StartTime: start + 1}, {ID: "r", Zone: "c", Slots: 3}})
	}
	must.Eq(t, 1000, countFirst(g, at(20))["q"])
	must.NoError(t, g.AddRemoteLoad(at(30), tracker.MemberLoad{Member: "q", Busy: 30, Slots: 3, At: at(15)})) // late
	must.Eq(t, 1000, countFirst(g, at(40))["q"])
}

// Guards against the load of a former supervisor that replaces the new one's, since it arrives later.
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
		{Member: "x", At: at(50)},
		{Member: "q", Busy: -1, At: at(50)},
		{Member: "q", Busy: math.NaN(), At: at(50)},
		{Member: "q", Busy: 4e6, At: at(50)},
		{Member: "q", Slots: -3, At: at(50)},
		{Member: "q", Service: time.Minute, At: at(50)},
		{Member: "q", At: at(61)},
	} {
		l.Slots += 3
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

// Guards against a load that becomes unknown with the loss of the supervisor, and against loans that
// count as load while status replies arrive.
func TestHolderObservesLoad(t *testing.T) {
	g, _ := groupWithLoad(t, 3)
	g.ObserveHeld(at(2000), "q", 9)
	must.Eq(t, 3, g.Loads(at(2000))[1].Busy)
	g.ObserveHeld(at(2001), "q", 6)
	g.ObserveHeld(at(2100), "q", 9)
	must.Between(t, 6.2, g.Loads(at(2100))[0].Busy, 6.4)
	must.NoError(t, g.AddRemoteLoad(at(2200), tracker.MemberLoad{Member: "q", Busy: 2, Slots: 3, At: at(1500)}))
	must.Eq(t, 2, g.Loads(at(2200))[0].Busy)
}

// Guards against reads that leave the region for an idle connection although the near member has room,
// and against those without another member while a partition separates this instance from it.
func TestNearMemberMustRespond(t *testing.T) {
	g, _ := groupWithLoad(t, 1)
	g.RecordSend("q")
	g.RecordResponse(at(10), "q", 10*time.Millisecond, orderer.Position{})
	must.Len(t, 1, g.ReadCandidates(at(20), orderer.Position{}))
	must.Len(t, 3, g.ReadCandidates(at(310), orderer.Position{}))
	g.RecordFailure(at(20), "q", false)
	must.Len(t, 3, g.ReadCandidates(at(30), orderer.Position{}))
	must.NotEq(t, "q", g.ReadCandidates(at(30), orderer.Position{})[0])
}
