package lender_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// testGroup is a group and the pools of the instances that use it.
type testGroup struct {
	net   *netsimulator.Net
	group *groupsimulator.Group
	pools []*lender.Pool
	// refused counts the openings that the members refused or did not answer.
	refused atomic.Int64
}

// runPools runs a test with a group whose members accept few connections, and n pools.
func runPools(t *testing.T, connections, n int, test func(t *testing.T, s *testGroup)) {
	t.Helper()
	runPoolsWith(t, &groupsimulator.Group{MaxConnections: connections}, n, test)
}

// runPoolsWith is runPools with the given group.
func runPoolsWith(t *testing.T, group *groupsimulator.Group, n int, test func(t *testing.T, s *testGroup)) {
	t.Helper()
	runSharedPools(t, group, n, 0, test)
}

// runSharedPools is runPoolsWith with the number of instances that share a member's connections, 0
// if unknown.
func runSharedPools(t *testing.T, group *groupsimulator.Group, n, holders int, test func(t *testing.T, s *testGroup)) {
	t.Helper()
	connections := group.MaxConnections
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &testGroup{net: netsimulator.New(1)}
		s.net.Latency = func(_, _ *netsimulator.Host) time.Duration { return time.Millisecond }
		s.group = group
		s.group.Name, s.group.Net, s.group.ReplicationDelay, s.group.PromotionDelay, s.group.StatementTime = "g", s.net, time.Millisecond, time.Second, 20*time.Millisecond
		s.group.Start(ctx, "a", "b", "c")
		var running sync.WaitGroup
		begin := time.Now()
		for i := range n {
			g := &tracker.Group{Name: "g", Zone: "a", SameRegion: func(zone string) bool { return zone == "a" }}
			g.SetMembers(s.group.Registrations())
			p := &lender.Pool{
				Group: g, Network: s.net.Host(fmt.Sprintf("10.8.0.%d", i+1), "a"), Codec: platform.LineCodec{},
				ClientName: "test", Clock: func() tracker.Timestamp { return time.Since(begin) + time.Hour },
				NoteOpened: func(_ string, err error) {
					if err != nil {
						s.refused.Add(1)
					}
				},
			}
			if holders > 0 {
				p.HolderCount = func(string, string) int { return holders }
			}
			p.Configure(connections, nil)
			s.pools = append(s.pools, p)
			running.Go(func() { _ = p.Run(ctx) })
		}
		defer func() {
			cancel()
			running.Wait()
			s.group.Wait()
		}()
		time.Sleep(time.Second)
		test(t, s)
	})
}

var errOverloaded = errors.New("overloaded")

func primary() []string { return []string{"g-1"} }

// runStatement borrows a connection to the primary, runs a statement on it and returns it.
func runStatement(ctx context.Context, p *lender.Pool, priority int, timeout time.Duration) error {
	c, err := p.Borrow(ctx, lender.Request{EligibleMembers: primary, Priority: priority, Deadline: time.Now().Add(timeout)})
	if err != nil {
		return err
	}
	p.Group.RecordSend(c.Member)
	sent := time.Now()
	replies, _, err := c.Exchange([]messenger.Command{{ID: "x", Kind: messenger.KindRead, Text: "FETCH k"}}, sent.Add(time.Second))
	if err == nil {
		p.Group.RecordResponse(p.Clock(), c.Member, time.Since(sent), replies[0].Position)
		if replies[0].Code == messenger.CodeBusy {
			p.NoteOverloaded(c.Member)
			err = errOverloaded
		} else {
			p.NoteServed(c.Member)
		}
	}
	p.Return(c)
	return err
}

// runCallers runs concurrent callers on one pool and counts their statements.
func runCallers(t *testing.T, p *lender.Pool, callers int, timeout, duration time.Duration) (served, refused int) {
	t.Helper()
	var mutex sync.Mutex
	var running sync.WaitGroup
	until := time.Now().Add(duration)
	for range callers {
		running.Go(func() {
			for time.Now().Before(until) {
				err := runStatement(t.Context(), p, 1, timeout)
				mutex.Lock()
				if err == nil {
					served++
				} else {
					refused++
				}
				mutex.Unlock()
				if err != nil {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	running.Wait()
	return served, refused
}

// Guards against holding requests that can't be served in time, and against idle connections while
// requests wait.
func TestSaturation(t *testing.T) {
	runPools(t, 6, 1, func(t *testing.T, s *testGroup) {
		served, refused := runCallers(t, s.pools[0], 40, 100*time.Millisecond, 5*time.Second)
		must.Greater(t, 600, served) // close to the maximum for the connection limit
		must.Greater(t, 0, refused)
		begin := time.Now()
		var waiting sync.WaitGroup
		for range 60 {
			waiting.Go(func() { _ = runStatement(t.Context(), s.pools[0], 1, time.Second) })
		}
		synctest.Wait()
		must.ErrorIs(t, runStatement(t.Context(), s.pools[0], 1, 50*time.Millisecond), lender.ErrNoConnection)
		must.Eq(t, 0, time.Since(begin))
		waiting.Wait()
	})
}

// Guards against equal shares of connections when one instance has most of the load, and against
// the others losing theirs.
func TestSharesFollowDemand(t *testing.T) {
	runPools(t, 12, 3, func(t *testing.T, s *testGroup) {
		var busy sync.WaitGroup
		busy.Go(func() { runCallers(t, s.pools[0], 20, time.Second, 3*time.Second) })
		time.Sleep(time.Second)
		open, _, _, _ := s.pools[0].Stats()
		must.Greater(t, 4, open) // an equal share of the primary's connections
		must.NoError(t, runStatement(t.Context(), s.pools[1], 1, 100*time.Millisecond))
		must.NoError(t, runStatement(t.Context(), s.pools[2], 1, 100*time.Millisecond))
		busy.Wait()
		time.Sleep(time.Second)
		for _, p := range s.pools {
			open, idle, _, _ := p.Stats()
			must.LessEq(t, 3, open)
			must.Eq(t, open, idle)
		}
	})
}

// Guards against opening a connection for each request when one is about to be returned.
func TestShortLoansOpenNoConnections(t *testing.T) {
	runPools(t, 20, 1, func(t *testing.T, s *testGroup) {
		must.NoError(t, runStatement(t.Context(), s.pools[0], 1, time.Second))
		_, _, _, before := s.pools[0].Stats()
		runCallers(t, s.pools[0], 2, time.Second, 2*time.Second)
		_, _, _, after := s.pools[0].Stats()
		must.Eq(t, before, after)
	})
}

// Guards against opening more connections while statements queue at the member: they serve none
// sooner, and their openings occupy its slots.
func TestNoOpeningsWhileMemberQueues(t *testing.T) {
	runPoolsWith(t, &groupsimulator.Group{MaxConnections: 200, Slots: 3, MaxQueued: 48, HandshakeTime: 27 * time.Millisecond}, 30, func(t *testing.T, s *testGroup) {
		for _, p := range s.pools {
			must.NoError(t, runStatement(t.Context(), p, 1, time.Second))
		}
		before := s.group.AcceptedConnections("g-1")
		var mutex sync.Mutex
		var running sync.WaitGroup
		served := 0
		for _, p := range s.pools {
			running.Go(func() {
				n, _ := runCallers(t, p, 4, 300*time.Millisecond, 5*time.Second)
				mutex.Lock()
				defer mutex.Unlock()
				served += n
			})
		}
		running.Wait()
		t.Logf("served %d, opened %d", served, s.group.AcceptedConnections("g-1")-before)
		must.Less(t, 150, s.group.AcceptedConnections("g-1")-before)
		must.Greater(t, 600, served)
	})
}

// Guards against opening several connections at once to a member that has just restarted.
func TestFirstConnectionOpensAlone(t *testing.T) {
	runPoolsWith(t, &groupsimulator.Group{MaxConnections: 20, Slots: 3, MaxQueued: 48, HandshakeTime: 300 * time.Millisecond}, 1, func(t *testing.T, s *testGroup) {
		p := s.pools[0]
		time.Sleep(time.Second)
		s.group.Crash("g-1")
		must.Error(t, runStatement(t.Context(), p, 1, 50*time.Millisecond))
		time.Sleep(time.Second)
		s.group.Recover("g-1")
		before := s.group.AcceptedConnections("g-1")
		var waiting sync.WaitGroup
		for range 5 {
			waiting.Go(func() { _ = runStatement(t.Context(), p, 1, 2*time.Second) })
		}
		time.Sleep(250 * time.Millisecond)
		must.LessEq(t, before+1, s.group.AcceptedConnections("g-1"))
		waiting.Wait()
	})
}

// Guards against waiting requests being served out of priority order.
func TestPriority(t *testing.T) {
	runPools(t, 2, 1, func(t *testing.T, s *testGroup) {
		must.NoError(t, runStatement(t.Context(), s.pools[0], 1, time.Second))
		var order []int
		var mutex sync.Mutex
		var running sync.WaitGroup
		for _, priority := range []int{2, 2, 2, 0} {
			running.Go(func() {
				must.NoError(t, runStatement(t.Context(), s.pools[0], priority, 5*time.Second))
				mutex.Lock()
				defer mutex.Unlock()
				order = append(order, priority)
			})
			time.Sleep(time.Millisecond)
		}
		running.Wait()
		must.Eq(t, []int{2, 0, 2, 2}, order)
	})
}

// Guards against openings without backoff to a member that is full.
func TestBackoffAtFullMember(t *testing.T) {
	runPools(t, 2, 3, func(t *testing.T, s *testGroup) {
		_, _, _, before := s.pools[0].Stats()
		runCallers(t, s.pools[0], 20, 200*time.Millisecond, 5*time.Second)
		_, _, _, after := s.pools[0].Stats()
		must.Less(t, 40, after-before)
	})
}

// Guards against instances keeping idle connections when there are fewer connections than
// instances.
func TestMoreInstancesThanConnections(t *testing.T) {
	runPools(t, 4, 8, func(t *testing.T, s *testGroup) {
		time.Sleep(4 * time.Second)
		for range 3 {
			for i, p := range s.pools {
				must.NoError(t, runStatement(t.Context(), p, 1, time.Second), must.Sprint(i))
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
}

// Guards against closing idle connections of rare callers while the member has capacity.
func TestIdleConnectionKeptBelowCapacity(t *testing.T) {
	runPools(t, 20, 3, func(t *testing.T, s *testGroup) {
		_, _, _, before := s.pools[0].Stats()
		for range 4 {
			time.Sleep(5 * time.Second)
			must.NoError(t, runStatement(t.Context(), s.pools[0], 1, time.Second))
		}
		_, _, _, after := s.pools[0].Stats()
		must.Eq(t, before, after)
	})
}

// Guards against keeping idle connections when other instances need the member's capacity.
func TestIdleConnectionClosedNearCapacity(t *testing.T) {
	runPools(t, 4, 3, func(t *testing.T, s *testGroup) {
		time.Sleep(2 * time.Second)
		for _, p := range s.pools {
			open, _, _, _ := p.Stats()
			must.Less(t, 3, open) // one to each of three members when there is capacity
		}
	})
}

// Guards against an error of a closed connection being lost. The in-memory network can't detect
// unread input, so the exchange fails.
func TestClosedConnection(t *testing.T) {
	runPools(t, 20, 1, func(t *testing.T, s *testGroup) {
		s.group.Crash("g-1")
		err := runStatement(t.Context(), s.pools[0], 1, 100*time.Millisecond)
		must.Error(t, err)
	})
}

// Guards against lending connections to a member's previous incarnation: a write on one would have
// an unknown outcome although it never ran.
func TestMemberRestart(t *testing.T) {
	runPools(t, 20, 1, func(t *testing.T, s *testGroup) {
		p := s.pools[0]
		for range 5 {
			must.NoError(t, runStatement(t.Context(), p, 1, time.Second))
		}
		borrow := func() *lender.Conn {
			c, err := p.Borrow(t.Context(), lender.Request{EligibleMembers: primary, Deadline: time.Now().Add(time.Second)})
			must.NoError(t, err)
			return c
		}
		lent, spare := borrow(), borrow()
		p.Return(spare)
		s.net.Partition("10.8.0.1", "10.9.1.1")
		s.group.Restart("g-1")
		s.net.HealAll()
		p.Group.SetMembers(s.group.Registrations())
		p.MembersChanged()
		p.Return(lent)
		open, idle, _, _ := p.Stats()
		must.Eq(t, 2, idle) // to the replicas
		must.Eq(t, 2, open)
		must.NoError(t, runStatement(t.Context(), p, 1, time.Second))
	})
}

// Guards against a member that is lost to a pool because a later start time of another writer was known:
// connections to the member as registered again must be kept.
func TestStartTimeDecreases(t *testing.T) {
	runPools(t, 20, 1, func(t *testing.T, s *testGroup) {
		p := s.pools[0]
		setStartTime := func(ahead int64) {
			list := s.group.Registrations()
			for n := range list {
				list[n].StartTime += ahead
			}
			p.Group.SetMembers(list)
			p.MembersChanged()
		}
		setStartTime(1e12)
		must.NoError(t, runStatement(t.Context(), p, 1, time.Second))
		s.group.Restart("g-1")
		setStartTime(0)
		for range 5 {
			must.NoError(t, runStatement(t.Context(), p, 1, time.Second))
		}
		_, _, _, opened := p.Stats()
		for range 5 {
			must.NoError(t, runStatement(t.Context(), p, 1, time.Second))
		}
		_, _, _, now := p.Stats()
		must.Eq(t, opened, now)
	})
}

// Guards against closing and reopening spare connections between overlapping statements, and
// against keeping them where the instance's share is small.
func TestSpareConnectionsOutliveOverlap(t *testing.T) {
	overlap := func(t *testing.T, connections, holders int) (opened, idle int) {
		runSharedPools(t, &groupsimulator.Group{MaxConnections: connections}, 1, holders, func(t *testing.T, s *testGroup) {
			p := s.pools[0]
			time.Sleep(time.Second)
			_, _, _, before := p.Stats()
			for range 20 {
				var lent []*lender.Conn
				for range 3 {
					c, err := p.Borrow(t.Context(), lender.Request{EligibleMembers: primary, Deadline: time.Now().Add(time.Second)})
					must.NoError(t, err)
					lent = append(lent, c)
				}
				for _, c := range lent {
					p.Return(c)
				}
				time.Sleep(500 * time.Millisecond)
			}
			_, _, _, after := p.Stats()
			opened = after - before
			time.Sleep(200 * time.Millisecond)
			_, idle, _, _ = p.Stats()
		})
		return opened, idle
	}
	opened, _ := overlap(t, 140, 6)
	must.LessEq(t, 3, opened)
	_, idle := overlap(t, 22, 9)
	must.LessEq(t, 3, idle) // one to each of three members
}

// Guards against a capacity check after each use.
func TestCapacityChecksAreRare(t *testing.T) {
	runPools(t, 140, 1, func(t *testing.T, s *testGroup) {
		p := s.pools[0]
		time.Sleep(time.Second)
		before := len(s.group.Executed("g-1"))
		for range 20 {
			c, err := p.Borrow(t.Context(), lender.Request{EligibleMembers: primary, Deadline: time.Now().Add(time.Second)})
			must.NoError(t, err)
			p.Return(c)
			time.Sleep(time.Second)
		}
		must.LessEq(t, 5, len(s.group.Executed("g-1"))-before) // only status queries ran
	})
}
