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
	bounded = tracker.Route{Rule: tracker.RuleBounded, Staleness: 1500 * time.Millisecond}
	own     = tracker.Route{Rule: tracker.RuleOwnWrites, Staleness: 2500 * time.Millisecond}
)

func at(ms int) tracker.Stamp { return time.Hour + time.Duration(ms)*time.Millisecond }

func place(term, offset uint64) orderer.Position { return orderer.Position{Term: term, Offset: offset} }

func group() *tracker.Group {
	g := &tracker.Group{Name: "g", Zone: "a", Near: func(zone string) bool { return zone == "a" }}
	g.Members([]tracker.Member{{ID: "p", Zone: "b", Slots: 3, Primary: true, Revision: 1}, {ID: "q", Zone: "a", Slots: 3}, {ID: "r", Zone: "c", Slots: 3}})
	return g
}

// proven has a proof each 100 ms, at the position of that moment.
func proven(until int) *tracker.Group {
	g := group()
	for ms := 0; ms <= until; ms += 100 {
		g.Prove(tracker.Proof{At: at(ms), Position: place(1, uint64(ms))})
	}
	return g
}

func mustNeed(t *testing.T, g *tracker.Group, arrived tracker.Stamp, r tracker.Route, f tracker.Floor, want orderer.Position) {
	t.Helper()
	got, ok := g.Need(arrived, r, f)
	must.True(t, ok)
	must.Eq(t, want, got)
}

// A read may be as old as its route says and no older: the oldest proof that is young
// enough is what the log must reach.
func TestNeed(t *testing.T) {
	g := proven(3000)
	mustNeed(t, g, at(3000), bounded, tracker.Floor{}, place(1, 1500))
	mustNeed(t, g, at(3050), bounded, tracker.Floor{}, place(1, 1600))
	mustNeed(t, g, at(3000), own, tracker.Floor{}, place(1, 500))
	_, ok := g.Need(at(4501), bounded, tracker.Floor{})
	must.False(t, ok)
	_, ok = group().Need(at(0), bounded, tracker.Floor{})
	must.False(t, ok)
}

// A session has written: its reads need its commit, unless a proof that is younger
// than the commit is needed anyway. A position that a promotion has rolled back, and
// that no log will reach, is not asked for once the new primary is proven.
func TestNeedOfOwnWrites(t *testing.T) {
	g := proven(3000)
	commit := tracker.Floor{Position: place(1, 2950), At: at(2960)}
	mustNeed(t, g, at(3000), own, commit, place(1, 2950))
	mustNeed(t, g, at(3000), bounded, commit, place(1, 1500))
	mustNeed(t, g, at(3000), own, tracker.Floor{Position: place(1, 300), At: at(310)}, place(1, 500))
	rolledBack := tracker.Floor{Position: place(1, 3100), At: at(3010)}
	g.Prove(tracker.Proof{At: at(3100), Position: place(1, 3020)})
	mustNeed(t, g, at(3200), own, rolledBack, place(1, 3020))
}

// The near replica is read first; one that lacked a position, that failed, that leaves
// or is slow comes later or not at all, and not for good.
func TestReaders(t *testing.T) {
	need := place(1, 10)
	t.Run("near first", func(t *testing.T) {
		must.Eq(t, "q", group().Readers(at(0), need)[0])
	})
	t.Run("behind", func(t *testing.T) {
		g := group()
		g.Behind(at(0), "q", need)
		must.SliceNotContains(t, g.Readers(at(10), need), "q")
		must.SliceContains(t, g.Readers(at(10), place(1, 5)), "q")
		must.SliceContains(t, g.Readers(at(100), need), "q")
	})
	t.Run("behind for long", func(t *testing.T) {
		g := group()
		asked := 0
		for ms := 0; ms < 5000; ms += 10 {
			if slices.Contains(g.Readers(at(ms), need), "q") {
				asked++
				g.Behind(at(ms), "q", need)
			}
		}
		must.LessEq(t, 15, asked) // one in 60 ms would be 84
		g.Answered(at(5000), "q", time.Millisecond, need)
		g.Behind(at(5000), "q", place(1, 20))
		must.SliceContains(t, g.Readers(at(5070), place(1, 20)), "q")
	})
	t.Run("failed", func(t *testing.T) {
		g := group()
		g.Unanswered(at(0), "q", false)
		must.Eq(t, "q", g.Readers(at(100), need)[2])
		must.Eq(t, "q", g.Readers(at(500), need)[0])
	})
	t.Run("leaving", func(t *testing.T) {
		g := group()
		g.Members([]tracker.Member{{ID: "p", Primary: true}, {ID: "q", Zone: "a", Leaving: true}, {ID: "r", Expired: true}})
		must.Eq(t, []string{"p"}, g.Readers(at(0), need))
	})
	t.Run("slow", func(t *testing.T) {
		g := group()
		for range 20 {
			g.Sent("q")
			g.Answered(at(0), "q", 200*time.Millisecond, orderer.Position{})
		}
		must.Eq(t, "q", g.Readers(at(0), need)[2])
		must.Eq(t, "q", g.Readers(at(10000), need)[0])
	})
}

// Who leads is what the newest claim says; a member that says it does not lead is not
// asked again, and an old term's primary is not believed.
func TestPrimary(t *testing.T) {
	g := group()
	must.Eq(t, "p", g.Primary())
	g.Lost("p")
	must.Eq(t, "", g.Primary())
	must.True(t, g.Saw(at(0), "q", messenger.Status{Primary: true, Term: 2, Received: place(2, 5)}))
	must.Eq(t, "q", g.Primary())
	must.False(t, g.Saw(at(1), "p", messenger.Status{Primary: true, Term: 1, Received: place(1, 9)}))
	must.Eq(t, "q", g.Primary())
	g.Members([]tracker.Member{{ID: "p", Primary: true, Revision: 1}, {ID: "q"}, {ID: "r", Primary: true, Revision: 7}})
	must.Eq(t, "r", g.Primary())
	g.Members([]tracker.Member{{ID: "p"}})
	must.Eq(t, "", g.Primary())
}

// A member answered in 30 ms, and now in 300 since statements wait there. While one of
// this instance's is under way, another connection would only be one more that waits;
// with none under way, the one that is open may be held by a transaction that rests.
func TestQueued(t *testing.T) {
	g := group()
	for range 20 {
		g.Sent("p")
		g.Answered(at(0), "p", 30*time.Millisecond, orderer.Position{})
	}
	g.Sent("p")
	must.False(t, g.Queued("p"))
	for range 20 {
		g.Sent("p")
		g.Answered(at(0), "p", 300*time.Millisecond, orderer.Position{})
	}
	must.True(t, g.Queued("p"))
	g.Answered(at(0), "p", 300*time.Millisecond, orderer.Position{})
	must.False(t, g.Queued("p"))
	must.False(t, g.Queued("unknown"))
}

// The primary starts again under its ID and has nothing of before. Callers' writes would
// be refused there, and their reads sent to a log that no longer holds what is believed
// of it: who leads, proofs, positions and slowness are forgotten. A replica that starts
// again takes nothing from the primary.
func TestMemberStartsAgain(t *testing.T) {
	members := func(primary, replica int64) []tracker.Member {
		return []tracker.Member{{ID: "p", Zone: "b", Primary: primary == 1, Born: primary, Revision: primary}, {ID: "q", Zone: "a", Born: replica}, {ID: "r", Zone: "c", Born: 1}}
	}
	start := func() *tracker.Group {
		g := group()
		g.Members(members(1, 1))
		g.Prove(tracker.Proof{At: at(0), Position: place(1, 7)})
		g.Behind(at(0), "q", place(1, 7))
		return g
	}
	t.Run("primary", func(t *testing.T) {
		g := start()
		must.Eq(t, "p", g.Primary())
		g.Members(members(2, 1))
		must.Eq(t, "", g.Primary())
		_, ok := g.Freshest()
		must.False(t, ok)
		must.Eq(t, at(20), g.Restarted(at(20)))
	})
	t.Run("replica", func(t *testing.T) {
		g := start()
		must.SliceNotContains(t, g.Readers(at(10), place(1, 7)), "q")
		g.Members(members(1, 2))
		must.Eq(t, "p", g.Primary())
		must.SliceContains(t, g.Readers(at(10), place(1, 7)), "q")
		must.Eq(t, at(20), g.Restarted(at(20)))
	})
}

// A group's proofs come from another instance that asks the primary for many.
func TestHear(t *testing.T) {
	route := tracker.Route{Rule: tracker.RuleBounded, Staleness: time.Second}
	members := func(primary int64) []tracker.Member {
		return []tracker.Member{{ID: "p", Zone: "b", Primary: true, Born: primary, Revision: primary}, {ID: "q", Zone: "a", Born: 1}}
	}
	start := func() *tracker.Group {
		g := group()
		g.Members(members(1))
		return g
	}
	t.Run("a read uses it as one of its own", func(t *testing.T) {
		g := start()
		must.True(t, g.Hear(at(500), tracker.Proof{At: at(400), Position: place(1, 7)}))
		need, ok := g.Need(at(600), route, tracker.Floor{})
		must.True(t, ok)
		must.Eq(t, place(1, 7), need)
		_, ok = g.Need(at(1500), route, tracker.Floor{})
		must.False(t, ok)
	})
	t.Run("an older one, or the same twice, changes nothing", func(t *testing.T) {
		g := start()
		g.Prove(tracker.Proof{At: at(400), Position: place(1, 7)})
		must.False(t, g.Hear(at(500), tracker.Proof{At: at(400), Position: place(1, 7)}))
		must.False(t, g.Hear(at(500), tracker.Proof{At: at(300), Position: place(1, 9)}))
		p, _ := g.Freshest()
		must.Eq(t, place(1, 7), p.Position)
	})
	t.Run("a moment still to come is none", func(t *testing.T) {
		must.False(t, start().Hear(at(500), tracker.Proof{At: at(501), Position: place(1, 7)}))
	})
	// The primary gives a proof, starts again with nothing and leads again in the same
	// term. The proof comes late, by way of another instance. A replica that follows the new
	// life reaches the position without the commits that it stood for: a read there would
	// miss what was acknowledged to its caller.
	t.Run("from before a member started again", func(t *testing.T) {
		g := start()
		g.Members(members(2))
		must.False(t, g.Hear(at(500), tracker.Proof{At: at(400), Position: place(1, 7)}))
		must.False(t, g.Hear(at(600), tracker.Proof{At: at(500), Position: place(1, 7)}))
		must.True(t, g.Hear(at(700), tracker.Proof{At: at(600), Position: place(1, 2)}))
	})
	t.Run("one made by the replicas is not the primary's", func(t *testing.T) {
		g := start()
		g.Prove(tracker.Proof{At: at(400), Position: place(1, 7)})
		g.Prove(tracker.Proof{At: at(500), Position: place(1, 8), ByReplicas: true})
		p, ok := g.FromPrimary()
		must.True(t, ok)
		must.Eq(t, at(400), p.At)
	})
}
