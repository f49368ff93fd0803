package elector_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/standin/liner"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// stage is a group under load with a keeper that holds its duty.
type stage struct {
	group *liner.Group
	net   *wirer.Net
	duty  *fakeDuty
	clock func() tracker.Stamp
	// synchronous is how many replicas the keeper is told to hold each commit.
	synchronous int
	// tracked is what the keeper tells of the group.
	tracked *tracker.Group

	ctx   context.Context
	stop  context.CancelFunc
	ended chan error

	mutex  sync.Mutex
	events []string
	onLog  func(event string)
}

// fakeDuty is a duty that is never lost.
type fakeDuty struct {
	// slow is how long the store takes to give a fence.
	slow  time.Duration
	mutex sync.Mutex
	fence int64
	facts elector.Facts
}

func (d *fakeDuty) Fence(_ context.Context, f elector.Facts) (int64, error) {
	d.mutex.Lock()
	slow := d.slow
	d.mutex.Unlock()
	time.Sleep(slow)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fence++
	d.facts = f
	return d.fence, nil
}

// set changes the duty while a keeper has it.
func (d *fakeDuty) set(change func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	change()
}

func (d *fakeDuty) Facts() elector.Facts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.facts
}

func (s *stage) log(fields ...any) {
	event := fmt.Sprint(fields[1])
	s.mutex.Lock()
	s.events = append(s.events, fmt.Sprintln(fields...))
	f := s.onLog
	s.mutex.Unlock()
	if f != nil {
		f(event)
	}
}

func (s *stage) keeper(host *wirer.Host, clock func() tracker.Stamp) *elector.Keeper {
	s.tracked = &tracker.Group{Name: s.group.Name, Zone: "a", Near: func(string) bool { return false }}
	s.tracked.Members(s.group.Registered())
	return &elector.Keeper{
		Group: s.tracked,
		Clock: clock, Codec: platform.Lines{}, Members: s.group.Registered,
		Connect: func(ctx context.Context, m tracker.Member) (*lender.Conn, error) {
			return lender.Connect(ctx, host, platform.Lines{}, m, "keeper")
		},
		Holds: func(time.Duration) bool { return true },
		Fence: s.duty.Fence, Facts: s.duty.Facts, Spend: func() {},
		Promote:     func(_ context.Context, _, id string, _ int64) error { return s.group.Promote(id) },
		Refused:     func(error) bool { return true },
		Synchronous: func() int { return s.synchronous }, Connections: func() int { return s.group.Connections }, Changed: func() {}, Log: s.log,
	}
}

// on returns a channel that receives whenever the keeper logs an event.
func (s *stage) on(event string) <-chan struct{} {
	seen := make(chan struct{}, 8)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.onLog = func(logged string) {
		if logged == event {
			seen <- struct{}{}
		}
	}
	return seen
}

// startKeeper has a keeper run.
func (s *stage) startKeeper(ctx context.Context) {
	keeping, stop := context.WithCancel(ctx)
	k, ended := s.keeper(s.net.Host("10.8.1.1", "a"), s.clock), make(chan error, 1)
	s.ctx, s.stop, s.ended = ctx, stop, ended
	go func() { ended <- k.Run(keeping) }()
}

// replaceKeeper has another holder take over, who knows what was recorded.
func (s *stage) replaceKeeper() {
	s.stop()
	<-s.ended
	s.startKeeper(s.ctx)
}

// play runs a group with a writer and a keeper, and what happens to them.
func play(t *testing.T, happens func(t *testing.T, s *stage)) {
	t.Helper()
	playGroup(t, &liner.Group{Connections: 20, Work: time.Millisecond}, happens)
}

// playGroup is play with members as given.
func playGroup(t *testing.T, group *liner.Group, happens func(t *testing.T, s *stage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := wirer.New(1)
		net.Latency = func(_, _ *wirer.Host) time.Duration { return time.Millisecond }
		s := &stage{net: net, synchronous: 1, duty: &fakeDuty{}, group: group}
		group.Name, group.Net, group.Travel, group.Promotion = "g", net, 12*time.Millisecond, 600*time.Millisecond
		s.group.Start(ctx, "a", "b", "c")
		begin := time.Now()
		clock := func() tracker.Stamp { return time.Since(begin) }
		s.clock = clock
		var running sync.WaitGroup
		for i := range 3 {
			h := net.Host(fmt.Sprintf("10.8.0.%d", i+1), "a")
			running.Go(func() { write(ctx, s.group, h) })
		}
		s.startKeeper(ctx)
		defer func() {
			cancel()
			<-s.ended
			running.Wait()
			s.group.Wait()
			if t.Failed() {
				t.Log(strings.Join(s.events, "\n"))
			}
		}()
		happens(t, s)
		must.SliceEmpty(t, s.group.Violations())
		must.Greater(t, 100, s.group.Acknowledged())
	})
}

// write commits at whoever leads until the context ends.
func write(ctx context.Context, g *liner.Group, h *wirer.Host) {
	for n := 0; ctx.Err() == nil; {
		id, _ := g.Leader()
		c := connect(ctx, g, h, id)
		if c == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for ; ctx.Err() == nil; n++ {
			put := messenger.Command{ID: fmt.Sprintf("%s-%d", h.IP, n), Kind: messenger.KindWrite, Text: fmt.Sprintf("PUT k%d v", n)}
			replies, _, err := c.Exchange([]messenger.Command{put}, time.Now().Add(200*time.Millisecond))
			if err != nil || replies[0].Code != messenger.CodeNone {
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		c.Close()
	}
}

func connect(ctx context.Context, g *liner.Group, h *wirer.Host, id string) *lender.Conn {
	for _, m := range g.Registered() {
		if m.ID == id {
			dial, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			if c, err := lender.Connect(dial, h, platform.Lines{}, m, "writer"); err == nil {
				return c
			}
		}
	}
	return nil
}

func (s *stage) leader() string {
	id, _ := s.group.Leader()
	return id
}

// A primary says that it leaves. Callers see their writes wait for a part of a
// promotion's time; the lead is elsewhere before the primary ends.
func TestPrimaryLeaves(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Leave("g-1")
		time.Sleep(3 * time.Second)
		must.NotEq(t, "g-1", s.leader())
	})
}

// A primary dies. Callers see writes without answer; then the member with the
// furthest log leads, and every write that was acknowledged is there.
func TestPrimaryCrashes(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Crash("g-1")
		time.Sleep(3 * time.Second)
		must.NotEq(t, "g-1", s.leader())
		must.NotEq(t, "", s.leader())
	})
}

// While the lead moves, a new replica joins that is nearer to the old primary than
// the candidate. It acknowledges a commit that is still on its way to the candidate,
// which then leads without it: the caller's write is gone. The old primary steps down
// before the order, so that nothing more is acknowledged.
func TestReplicaJoinsDuringChange(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 560 * time.Millisecond, 590 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			play(t, func(t *testing.T, s *stage) {
				time.Sleep(2 * time.Second)
				ordered := s.on("promotion-ordered")
				s.group.Leave("g-1")
				<-ordered
				time.Sleep(after)
				s.group.Join("g-4", "a", "10.9.1.4")
				s.group.Near("g-4", time.Millisecond)
				time.Sleep(3 * time.Second)
				must.NotEq(t, "g-1", s.leader())
			})
		})
	}
}

// The primary is cut off from two replicas and goes on with the third, which says it
// leaves and is gone after eight seconds. Callers see their writes acknowledged all
// the while. When the primary leaves as well, only it and the third have held those
// writes: a member that stood still must not lead.
func TestOnlyReceiverLeaves(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Leave("g-3")
		s.group.Isolate("g-2", "g-1")
		time.Sleep(8 * time.Second)
		s.group.Gone("g-3")
		time.Sleep(time.Second)
		s.group.Leave("g-1")
		time.Sleep(4 * time.Second)
		s.group.Rejoin("g-2")
		time.Sleep(4 * time.Second)
		must.Eq(t, "g-2", s.leader())
	})
}

// A replica is lost for good without a word, then the primary is to leave. Callers
// would see it end with nobody to lead, since the lost replica's log can't be read;
// the primary steps down and the member that reaches its log leads.
func TestPrimaryLeavesWithReplicaLost(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Crash("g-3")
		time.Sleep(time.Second)
		s.group.Leave("g-1")
		time.Sleep(4 * time.Second)
		must.Eq(t, "g-2", s.leader())
	})
}

// The holder before left an order open. The new one closes it by naming the primary,
// which takes effect after a promotion's time; a change in between would be undone by
// it, its replicas resumed, and a caller's write lost.
func TestChangeRightAfterClosing(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		s.duty.set(func() { s.duty.facts.Open = true })
		time.Sleep(300 * time.Millisecond)
		s.group.Leave("g-1")
		time.Sleep(5 * time.Second)
		_, term := s.group.Leader()
		must.Eq(t, 2, term)
		must.NotEq(t, "g-1", s.leader())
	})
}

// One replica applies the log seconds late, so all reads go to the other and to the
// primary, whose queue grows. The late one takes the lead: as the primary it needs
// nobody's log, and the old primary answers reads instead. With the lead at the replica
// that is not late, callers are left with one member for their reads.
func TestLateReplicaRelievesPrimary(t *testing.T) {
	playGroup(t, &liner.Group{Connections: 60, Work: 20 * time.Millisecond, Slots: 3, Queue: 48}, func(t *testing.T, s *stage) {
		ctx, cancel := context.WithCancel(t.Context())
		var reading sync.WaitGroup
		s.group.Late("g-2", 10*time.Millisecond)
		s.group.Late("g-3", 10*time.Second)
		time.Sleep(time.Second)
		for i := range 20 {
			h := s.net.Host(fmt.Sprintf("10.8.2.%d", i+1), "a")
			reading.Go(func() { read(ctx, s.group, h) })
		}
		time.Sleep(3 * time.Second)
		must.Eq(t, "g-3", s.leader())
		cancel()
		reading.Wait()
	})
}

// Transactions rest on nearly all connections of the primary and one replica is late:
// reads find no place, though the primary's slots are free. The late replica takes the
// lead, and the old primary answers reads.
func TestCrowdedPrimaryIsRelieved(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(time.Second)
		s.group.Late("g-2", 10*time.Millisecond)
		s.group.Late("g-3", 10*time.Second)
		h := s.net.Host("10.8.2.1", "a")
		for range 14 { // with three writers and the keeper 18 of 20
			c := connect(t.Context(), s.group, h, "g-1")
			must.NotNil(t, c)
			defer c.Close()
		}
		time.Sleep(3 * time.Second)
		must.Eq(t, "g-3", s.leader())
	})
}

// read asks the first member for one row after the other.
func read(ctx context.Context, g *liner.Group, h *wirer.Host) {
	for _, m := range g.Registered() {
		if m.ID != "g-1" {
			continue
		}
		c, err := lender.Connect(ctx, h, platform.Lines{}, m, "reader")
		if err != nil {
			return
		}
		defer c.Close()
		for ctx.Err() == nil {
			if _, _, err := c.Exchange([]messenger.Command{{ID: "x", Kind: messenger.KindRead, Text: "FETCH k"}}, time.Now().Add(time.Second)); err != nil {
				return
			}
		}
	}
}

// The primary has no slot for questions while callers write on. What it said before is
// no proof of where its log is now: a caller that reads its own write would be sent to a
// replica that lacks it.
func TestBusyIsNoProof(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Busy("g-1", true)
		time.Sleep(50 * time.Millisecond)
		since := s.clock()
		time.Sleep(500 * time.Millisecond)
		p, ok := s.tracked.Freshest()
		must.True(t, ok)
		must.Less(t, since, p.At)
		s.group.Busy("g-1", false)
		time.Sleep(time.Second)
		p, _ = s.tracked.Freshest()
		must.Greater(t, since, p.At)
	})
}

// The group acknowledges without a replica, and the primary that is to leave is cut off
// from all of them. Only its own log has what callers were told last: after it has
// stepped down and nobody reached its log, it leads again.
func TestUnsynchronousPrimaryIsNotLeftBehind(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.synchronous = 0
		s.group.Isolate("g-2", "g-1")
		s.group.Isolate("g-3", "g-1")
		s.group.Leave("g-1")
		time.Sleep(3 * time.Second)
		must.Eq(t, "g-1", s.leader())
		s.group.Rejoin("g-2")
		s.group.Rejoin("g-3")
		time.Sleep(4 * time.Second)
		must.NotEq(t, "g-1", s.leader())
	})
}

// The only replica that received dies, and then the primary. The one that is left lacks
// what callers were told last, so it must not lead, however long nobody does; when the
// other is back, that one leads.
func TestOnlyReceiverIsGoneWithPrimary(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Isolate("g-2", "g-1")
		time.Sleep(time.Second)
		s.group.Crash("g-3")
		s.group.Crash("g-1")
		time.Sleep(5 * time.Second)
		must.NotEq(t, "g-2", s.leader())
		s.group.Return("g-3")
		time.Sleep(4 * time.Second)
		must.Eq(t, "g-3", s.leader())
	})
}

// Callers see a write acknowledged that only the primary and one replica have. The
// replica starts again under its ID, with nothing of before, and the primary dies: the
// write is on no member that runs. The other replica must not lead without it; when the
// primary is back with its log, callers find the write.
func TestOnlyReceiverStartsAgain(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Isolate("g-2", "g-1")
		time.Sleep(time.Second)
		s.group.Isolate("g-3", "g-1")
		s.group.Restart("g-3")
		s.group.Crash("g-1")
		time.Sleep(5 * time.Second)
		must.Eq(t, "g-1", s.leader())
		s.group.Rejoin("g-2")
		s.group.Rejoin("g-3")
		s.group.Return("g-1")
		time.Sleep(4 * time.Second)
		must.NotEq(t, "", s.leader())
	})
}

// A replica is lost, and counted out once the others hold all that it may have
// acknowledged. It comes back, and acknowledges what the other replica doesn't receive.
// When the primary dies, the one that came back must count again: the other one lacks
// what callers were told.
func TestCountedOutMemberComesBack(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Leave("g-3")
		time.Sleep(500 * time.Millisecond)
		s.group.Gone("g-3")
		time.Sleep(2 * time.Second)
		s.group.Back("g-3")
		time.Sleep(2 * time.Second)
		s.group.Isolate("g-2", "g-1")
		time.Sleep(time.Second)
		s.group.Crash("g-1")
		time.Sleep(5 * time.Second)
		must.Eq(t, "g-3", s.leader())
	})
}

// The primary is dead to the keeper, but replicas and callers still reach it. A paused
// replica starts again after the order to promote: it knows nothing of its pause, receives
// sooner than the candidate, and acknowledges writes that the candidate lacks. It is paused
// again as soon as its new life shows, or callers lose what they were told last.
func TestPausedReplicaStartsAgain(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		ordered := s.on("promotion-ordered")
		s.net.Cut("10.8.1.1", "10.9.1.1")
		<-ordered
		id := s.group.Paused()[0]
		s.group.Restart(id)
		s.group.Near(id, time.Millisecond)
		time.Sleep(6 * time.Second)
		must.NotEq(t, "g-1", s.leader())
	})
}

// The primary is cut from its replicas and has stepped down; the member that was to lead
// starts again with nothing before it does. Its earlier life may have acknowledged
// commits, but the old primary answers and has them all: it leads again, instead of
// nobody for good. So it does when another holder has taken over meanwhile.
func TestCandidateStartsAgain(t *testing.T) {
	for _, taken := range []bool{false, true} {
		t.Run(fmt.Sprint("another holder: ", taken), func(t *testing.T) {
			play(t, func(t *testing.T, s *stage) {
				time.Sleep(2 * time.Second)
				ordered := s.on("promotion-ordered")
				s.group.Isolate("g-2", "g-1")
				s.group.Isolate("g-3", "g-1")
				<-ordered
				paused := s.group.Paused()
				id := "g-2"
				if slices.Contains(paused, id) {
					id = "g-3"
				}
				s.group.Restart(id)
				if taken {
					time.Sleep(time.Second)
					s.replaceKeeper()
				}
				time.Sleep(8 * time.Second)
				must.NotEq(t, "", s.leader())
				s.group.Rejoin("g-2")
				s.group.Rejoin("g-3")
			})
		})
	}
}

// Guards against replicas without a slot for questions counting as standing still, from one
// answer that showed a commit on its way.
func TestBusyReplicasAreNoStandstill(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.group.Busy("g-2", true)
		s.group.Busy("g-3", true)
		time.Sleep(4 * time.Second)
		s.unmoved(t)
	})
}

// unmoved asserts that the first primary leads in the first term.
func (s *stage) unmoved(t *testing.T) {
	t.Helper()
	id, term := s.group.Leader()
	must.Eq(t, "g-1", id)
	must.Eq(t, 1, term)
}

// Guards against a change that goes on after its reason has ended, while the store is slow.
func TestReasonEndsBeforeFence(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		s.duty.set(func() { s.duty.slow = time.Second })
		begins := s.on("move-begins")
		s.group.Crash("g-1")
		<-begins
		s.group.Return("g-1")
		time.Sleep(4 * time.Second)
		s.unmoved(t)
	})
}

// Guards against a group without a primary after a change that fails once the primary has
// stepped down.
func TestChangeFailsAfterStepDown(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		stepped := s.on("stepped-down")
		s.group.Busy("g-2", true)
		s.group.Busy("g-3", true)
		s.group.Leave("g-1")
		<-stepped
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, "g-1", s.leader())
	})
}
