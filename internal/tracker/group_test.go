package tracker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

var (
	bounded        = tracker.Route{Rule: tracker.RuleBounded, Staleness: 1500 * time.Millisecond}
	readYourWrites = tracker.Route{Rule: tracker.RuleReadYourWrites, Staleness: 2500 * time.Millisecond}
)

func at(ms int) tracker.Timestamp { return time.Hour + time.Duration(ms)*time.Millisecond }

func pos(term, offset uint64) orderer.Position { return orderer.Position{Term: term, Offset: offset} }

func newGroup() *tracker.Group {
	g := &tracker.Group{Name: "g", Zone: "a", SameRegion: func(zone string) bool { return zone == "a" }}
	g.SetMembers([]tracker.Member{{ID: "p", Zone: "b", Slots: 3, Primary: true, Revision: 1}, {ID: "q", Zone: "a", Slots: 3}, {ID: "r", Zone: "c", Slots: 3}})
	return g
}

// groupWithProofs returns a group with a proof every 100 ms, whose offset is its time in
// milliseconds.
func groupWithProofs(until int) *tracker.Group {
	g := newGroup()
	for ms := 0; ms <= until; ms += 100 {
		g.AddProof(tracker.FreshnessProof{At: at(ms), Position: pos(1, uint64(ms))})
	}
	return g
}

func mustRequirePosition(t *testing.T, g *tracker.Group, arrived tracker.Timestamp, r tracker.Route, f tracker.LastCommit, want orderer.Position) {
	t.Helper()
	got, ok := g.RequiredPosition(arrived, r, f)
	must.True(t, ok)
	must.Eq(t, want, got)
}

// The required position is that of the oldest proof within the staleness bound.
func TestRequiredPosition(t *testing.T) {
	g := groupWithProofs(3000)
	mustRequirePosition(t, g, at(3000), bounded, tracker.LastCommit{}, pos(1, 1500))
	mustRequirePosition(t, g, at(3050), bounded, tracker.LastCommit{}, pos(1, 1600))
	mustRequirePosition(t, g, at(3000), readYourWrites, tracker.LastCommit{}, pos(1, 500))
	_, ok := g.RequiredPosition(at(4501), bounded, tracker.LastCommit{})
	must.False(t, ok)
	_, ok = newGroup().RequiredPosition(at(0), bounded, tracker.LastCommit{})
	must.False(t, ok)
}

// A session's reads require its last commit, unless a newer proof covers it. A position
// that a failover rolled back is not required once the new primary has a proof.
func TestRequiredPositionReadYourWrites(t *testing.T) {
	g := groupWithProofs(3000)
	commit := tracker.LastCommit{Position: pos(1, 2950), At: at(2960)}
	mustRequirePosition(t, g, at(3000), readYourWrites, commit, pos(1, 2950))
	mustRequirePosition(t, g, at(3000), bounded, commit, pos(1, 1500))
	mustRequirePosition(t, g, at(3000), readYourWrites, tracker.LastCommit{Position: pos(1, 300), At: at(310)}, pos(1, 500))
	rolledBack := tracker.LastCommit{Position: pos(1, 3100), At: at(3010)}
	g.AddProof(tracker.FreshnessProof{At: at(3100), Position: pos(1, 3020)})
	mustRequirePosition(t, g, at(3200), readYourWrites, rolledBack, pos(1, 3020))
}

// The nearest replica is preferred. Lagging, failed, draining and slow members are ranked
// lower or omitted, and are tried again later.
func TestReadCandidates(t *testing.T) {
	need := pos(1, 10)
	t.Run("nearest first", func(t *testing.T) {
		must.Eq(t, "q", newGroup().ReadCandidates(at(0), need)[0])
	})
	t.Run("lagging", func(t *testing.T) {
		g := newGroup()
		g.RecordLag(at(0), "q", need)
		must.SliceNotContains(t, g.ReadCandidates(at(10), need), "q")
		must.SliceContains(t, g.ReadCandidates(at(10), pos(1, 5)), "q")
		must.SliceContains(t, g.ReadCandidates(at(100), need), "q")
	})
	t.Run("backoff of a lagging replica", func(t *testing.T) {
		g := newGroup()
		tries := 0
		for ms := 0; ms < 5000; ms += 10 {
			if slices.Contains(g.ReadCandidates(at(ms), need), "q") {
				tries++
				g.RecordLag(at(ms), "q", need)
			}
		}
		must.LessEq(t, 15, tries) // far fewer than without backoff
		g.RecordResponse(at(5000), "q", time.Millisecond, need)
		g.RecordLag(at(5000), "q", pos(1, 20))
		must.SliceContains(t, g.ReadCandidates(at(5070), pos(1, 20)), "q")
	})
	t.Run("failed", func(t *testing.T) {
		g := newGroup()
		g.RecordFailure(at(0), "q", false)
		must.Eq(t, "q", g.ReadCandidates(at(100), need)[2])
		must.Eq(t, "q", g.ReadCandidates(at(500), need)[0])
	})
	t.Run("leaving", func(t *testing.T) {
		g := newGroup()
		g.SetMembers([]tracker.Member{{ID: "p", Primary: true}, {ID: "q", Zone: "a", Leaving: true}, {ID: "r", Expired: true}})
		must.Eq(t, []string{"p"}, g.ReadCandidates(at(0), need))
	})
	t.Run("slow", func(t *testing.T) {
		g := newGroup()
		for range 20 {
			g.RecordSend("q")
			g.RecordResponse(at(0), "q", 200*time.Millisecond, orderer.Position{})
		}
		must.Eq(t, "q", g.ReadCandidates(at(0), need)[2])
		must.Eq(t, "q", g.ReadCandidates(at(10000), need)[0])
	})
}

// The primary follows the newest registration or status; one with an outdated term is
// ignored.
func TestPrimary(t *testing.T) {
	g := newGroup()
	must.Eq(t, "p", g.Primary())
	g.ClearPrimary("p")
	must.Eq(t, "", g.Primary())
	must.True(t, g.UpdateStatus(at(0), "q", messenger.Status{Primary: true, Term: 2, Received: pos(2, 5)}))
	must.Eq(t, "q", g.Primary())
	must.False(t, g.UpdateStatus(at(1), "p", messenger.Status{Primary: true, Term: 1, Received: pos(1, 9)}))
	must.Eq(t, "q", g.Primary())
	g.SetMembers([]tracker.Member{{ID: "p", Primary: true, Revision: 1}, {ID: "q"}, {ID: "r", Primary: true, Revision: 7}})
	must.Eq(t, "r", g.Primary())
	g.SetMembers([]tracker.Member{{ID: "p"}})
	must.Eq(t, "", g.Primary())
}

// A member whose latency rises from 30 to 300 ms counts as queueing only while this
// instance has a statement in flight there.
func TestIsQueueing(t *testing.T) {
	g := newGroup()
	for range 20 {
		g.RecordSend("p")
		g.RecordResponse(at(0), "p", 30*time.Millisecond, orderer.Position{})
	}
	g.RecordSend("p")
	must.False(t, g.IsQueueing("p"))
	for range 20 {
		g.RecordSend("p")
		g.RecordResponse(at(0), "p", 300*time.Millisecond, orderer.Position{})
	}
	must.True(t, g.IsQueueing("p"))
	g.RecordResponse(at(0), "p", 300*time.Millisecond, orderer.Position{})
	must.False(t, g.IsQueueing("p"))
	must.False(t, g.IsQueueing("unknown"))
}

// A restarted primary loses its role, its proofs and its recorded state, or writes would be
// rejected and reads miss commits. A restarted replica does not affect the primary.
func TestMemberRestart(t *testing.T) {
	members := func(primary, replica int64) []tracker.Member {
		return []tracker.Member{{ID: "p", Zone: "b", Primary: primary == 1, StartTime: primary, Revision: primary}, {ID: "q", Zone: "a", StartTime: replica}, {ID: "r", Zone: "c", StartTime: 1}}
	}
	newTestGroup := func() *tracker.Group {
		g := newGroup()
		g.SetMembers(members(1, 1))
		g.AddProof(tracker.FreshnessProof{At: at(0), Position: pos(1, 7)})
		g.RecordLag(at(0), "q", pos(1, 7))
		return g
	}
	t.Run("primary", func(t *testing.T) {
		g := newTestGroup()
		must.Eq(t, "p", g.Primary())
		g.SetMembers(members(2, 1))
		must.Eq(t, "", g.Primary())
		_, ok := g.NewestProof()
		must.False(t, ok)
		must.Eq(t, at(20), g.LastRestart(at(20)))
	})
	t.Run("replica", func(t *testing.T) {
		g := newTestGroup()
		must.SliceNotContains(t, g.ReadCandidates(at(10), pos(1, 7)), "q")
		g.SetMembers(members(1, 2))
		must.Eq(t, "p", g.Primary())
		must.SliceContains(t, g.ReadCandidates(at(10), pos(1, 7)), "q")
		must.Eq(t, at(20), g.LastRestart(at(20)))
	})
}

// Guards against stale reads while another writer's start time is known: a smaller one may be that of a
// restarted member. It counts once.
func TestDisputedStart(t *testing.T) {
	members := func(start, disputed int64) []tracker.Member {
		return []tracker.Member{{ID: "p", Zone: "b", Primary: true, StartTime: start, DisputedStart: disputed, Revision: 1}, {ID: "q", Zone: "a", StartTime: 1}}
	}
	g := newGroup()
	g.SetMembers(members(100, 0))
	restarts := func(now int, start, disputed int64) bool {
		g.UpdateStatus(at(now), "p", messenger.Status{Primary: true, Term: 1, Received: pos(1, 7)})
		g.SetMembers(members(start, disputed))
		_, proved := g.NewestProof()
		must.Eq(t, proved, g.LastRestart(at(now)) != at(now))
		return !proved
	}
	must.True(t, restarts(10, 100, 20))
	must.False(t, restarts(20, 100, 20))
	must.True(t, restarts(30, 100, 30))
	must.True(t, restarts(40, 30, 0))
	must.False(t, restarts(50, 30, 0))
}

// Guards against proofs of other instances that are outdated, in the future or from before
// a member restart.
func TestAddRemoteProof(t *testing.T) {
	route := tracker.Route{Rule: tracker.RuleBounded, Staleness: time.Second}
	members := func(primary int64) []tracker.Member {
		return []tracker.Member{{ID: "p", Zone: "b", Primary: true, StartTime: primary, Revision: primary}, {ID: "q", Zone: "a", StartTime: 1}}
	}
	newTestGroup := func() *tracker.Group {
		g := newGroup()
		g.SetMembers(members(1))
		return g
	}
	t.Run("read uses a remote proof", func(t *testing.T) {
		g := newTestGroup()
		must.True(t, g.AddRemoteProof(at(500), tracker.FreshnessProof{At: at(400), Position: pos(1, 7)}))
		need, ok := g.RequiredPosition(at(600), route, tracker.LastCommit{})
		must.True(t, ok)
		must.Eq(t, pos(1, 7), need)
		_, ok = g.RequiredPosition(at(1500), route, tracker.LastCommit{})
		must.False(t, ok)
	})
	t.Run("older or duplicate proof is ignored", func(t *testing.T) {
		g := newTestGroup()
		g.AddProof(tracker.FreshnessProof{At: at(400), Position: pos(1, 7)})
		must.False(t, g.AddRemoteProof(at(500), tracker.FreshnessProof{At: at(400), Position: pos(1, 7)}))
		must.False(t, g.AddRemoteProof(at(500), tracker.FreshnessProof{At: at(300), Position: pos(1, 9)}))
		p, _ := g.NewestProof()
		must.Eq(t, pos(1, 7), p.Position)
	})
	t.Run("proof from the future is ignored", func(t *testing.T) {
		must.False(t, newTestGroup().AddRemoteProof(at(500), tracker.FreshnessProof{At: at(501), Position: pos(1, 7)}))
	})
	// The primary restarts with an empty log in the same term, and a proof from before
	// arrives late. A replica could reach its position without the acknowledged commits.
	t.Run("proof from before a member restart is ignored", func(t *testing.T) {
		g := newTestGroup()
		g.SetMembers(members(2))
		must.False(t, g.AddRemoteProof(at(500), tracker.FreshnessProof{At: at(400), Position: pos(1, 7)}))
		must.False(t, g.AddRemoteProof(at(600), tracker.FreshnessProof{At: at(500), Position: pos(1, 7)}))
		must.True(t, g.AddRemoteProof(at(700), tracker.FreshnessProof{At: at(600), Position: pos(1, 2)}))
	})
	t.Run("proof derived from replicas is not the primary's", func(t *testing.T) {
		g := newTestGroup()
		g.AddProof(tracker.FreshnessProof{At: at(400), Position: pos(1, 7)})
		g.AddProof(tracker.FreshnessProof{At: at(500), Position: pos(1, 8), FromReplicas: true})
		p, ok := g.NewestPrimaryProof()
		must.True(t, ok)
		must.Eq(t, at(400), p.At)
	})
}
