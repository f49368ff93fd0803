package elector_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/shoenig/test/must"
)

// testInstance is one instance that competes for the group.
type testInstance struct {
	elector   *elector.Elector
	ownership atomic.Pointer[elector.Ownership]
	cancel    context.CancelFunc
	done      chan error
}

func startInstance(ctx context.Context, m *storer.Memory, name string, clock func() tracker.Timestamp, rank func(group, last string) int) *testInstance {
	return startInstanceWithStoreCheck(ctx, m, name, clock, rank, nil)
}

func startInstanceWithStoreCheck(ctx context.Context, m *storer.Memory, name string, clock func() tracker.Timestamp, rank func(group, last string) int, storeReachable func() bool) *testInstance {
	ctx, cancel := context.WithCancel(ctx)
	i := &testInstance{cancel: cancel, done: make(chan error, 2)}
	i.elector = &elector.Elector{
		Store: m, Clock: clock, Name: name, Groups: func() []string { return []string{"g"} }, AcquireRank: rank, StoreReachable: storeReachable,
		Supervise: func(ctx context.Context, _ string, o *elector.Ownership) error {
			i.ownership.Store(o)
			<-ctx.Done()
			return ctx.Err()
		},
		Log: func(...any) {},
	}
	go func() { i.done <- i.elector.Run(ctx) }()
	w := &watcher.Watcher{
		Source: m, MaxPropagationDelay: 3 * time.Second, Clock: clock, OwnershipPrefix: elector.OwnershipPrefix, StatePrefix: elector.StatePrefix, ConfigurationKey: "configuration", MemberPrefix: "member/",
		OnMembers: func(map[string][]tracker.Member) {}, OnOwnership: i.elector.HandleRecord, Log: func(...any) {},
	}
	go func() { i.done <- w.Run(ctx) }()
	return i
}

func (i *testInstance) owns() bool {
	o := i.ownership.Load()
	return o != nil && o.Holds(0)
}

// runTwoInstances runs a scenario in virtual time with two instances that compete for the group.
func runTwoInstances(t *testing.T, scenario func(t *testing.T, m *storer.Memory, a, b *testInstance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		a, b := startInstance(ctx, m, "a", clock, nil), startInstance(ctx, m, "b", clock, nil)
		time.Sleep(3 * time.Second)
		defer func() {
			cancel()
			for _, i := range []*testInstance{a, b} {
				<-i.done
				<-i.done
			}
		}()
		scenario(t, m, a, b)
	})
}

// Of two instances, exactly one owns the group at any time.
func TestSingleOwner(t *testing.T) {
	runTwoInstances(t, func(t *testing.T, m *storer.Memory, a, b *testInstance) {
		for range 100 {
			must.NotEq(t, a.owns(), b.owns())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// When the owner shuts down, another instance takes over with a higher fencing token.
func TestOwnerShutsDown(t *testing.T) {
	runTwoInstances(t, func(t *testing.T, m *storer.Memory, a, b *testInstance) {
		first, other := a, b
		if b.owns() {
			first, other = b, a
		}
		before, err := first.ownership.Load().NextFencingToken(t.Context(), elector.State{})
		must.NoError(t, err)
		first.cancel()
		time.Sleep(500 * time.Millisecond)
		must.False(t, first.owns())
		must.True(t, other.owns())
		after, err := other.ownership.Load().NextFencingToken(t.Context(), elector.State{})
		must.NoError(t, err)
		must.Greater(t, before, after)
	})
}

// During a store outage the owner stops before its lease may have expired; afterwards one
// instance owns the group again.
func TestStoreOutageBeyondLease(t *testing.T) {
	runTwoInstances(t, func(t *testing.T, m *storer.Memory, a, b *testInstance) {
		m.SetFaults(func(f *storer.Faults) { f.Down = true })
		time.Sleep(2500 * time.Millisecond)
		must.False(t, a.owns())
		must.False(t, b.owns())
		m.SetFaults(func(f *storer.Faults) { f.Down = false })
		m.ExpireLeases()
		time.Sleep(3 * time.Second)
		must.NotEq(t, a.owns(), b.owns())
	})
}

// Guards against an order that the next owner doesn't know of: during a store outage there is no
// fencing token, and the known state stays.
func TestFencingTokenDuringStoreOutage(t *testing.T) {
	runTwoInstances(t, func(t *testing.T, m *storer.Memory, a, b *testInstance) {
		o := a.ownership.Load()
		if !a.owns() {
			o = b.ownership.Load()
		}
		leader := elector.Leadership{ID: "m", StartTime: 7, Term: 3}
		token, err := o.NextFencingToken(t.Context(), elector.State{Members: map[string]string{"m": "10.0.0.1:1"}, PromotionPending: true, Leader: leader})
		must.NoError(t, err)
		m.SetFaults(func(f *storer.Faults) { f.Down = true })
		_, err = o.NextFencingToken(t.Context(), elector.State{})
		must.Error(t, err)
		must.Eq(t, elector.State{Members: map[string]string{"m": "10.0.0.1:1"}, PromotionPending: true, Leader: leader}, o.State())
		m.SetFaults(func(f *storer.Faults) { f.Down = false })
		next, err := o.NextFencingToken(t.Context(), elector.State{PromotionPending: true})
		must.NoError(t, err)
		must.Greater(t, token, next)
	})
}

// Guards against a group without an owner after the response to a successful acquisition is
// lost.
func TestAcquireResponseLost(t *testing.T) {
	runTwoInstances(t, func(t *testing.T, m *storer.Memory, a, b *testInstance) {
		m.SetFaults(func(f *storer.Faults) { f.LoseResponses = 2 })
		m.ExpireLeases()
		time.Sleep(4 * time.Second)
		must.NotEq(t, a.owns(), b.owns())
	})
}

// countingStore counts lease renewals.
type countingStore struct {
	*storer.Memory
	renewals atomic.Int64
}

func (c *countingStore) KeepAlive(ctx context.Context, l storer.Lease) error {
	c.renewals.Add(1)
	return c.Memory.KeepAlive(ctx, l)
}

// Guards against renewals of leases that protect no ownership.
func TestOnlyOwnersRenewLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store, begin := &countingStore{Memory: storer.NewMemory()}, time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		var owners atomic.Int64
		done := make(chan error, 20)
		for i := range 20 {
			e := &elector.Elector{
				Store: store, Clock: clock, Name: string(rune('a' + i)), Groups: func() []string { return []string{"g"} }, Log: func(...any) {},
				Supervise: func(ctx context.Context, _ string, _ *elector.Ownership) error {
					owners.Add(1)
					defer owners.Add(-1)
					<-ctx.Done()
					return ctx.Err()
				},
			}
			// The instances do not watch the store, so each discovers the owner by its own attempt.
			go func() { done <- e.Run(ctx) }()
		}
		time.Sleep(20 * time.Second)
		must.Eq(t, 1, owners.Load())
		must.Less(t, 40, store.renewals.Load()) // the owner's renewals only
		cancel()
		for range 20 {
			<-done
		}
	})
}

// Guards against an owner that doesn't notice that the store lost the group's state to another writer.
func TestInvalidState(t *testing.T) {
	for _, value := range []string{"nonsense", "{}", `{"members": 7, "order-open": true}`, `{"order-open": true, "term": 1e999}`, strings.Repeat("[", 1<<16)} {
		t.Run(fmt.Sprintf("%.40s", value), func(t *testing.T) {
			runTwoInstances(t, func(t *testing.T, m *storer.Memory, a, b *testInstance) {
				owner := a
				if b.owns() {
					owner = b
				}
				o := owner.ownership.Load()
				must.True(t, o.StateStored())
				recorded := elector.State{Members: map[string]string{"g-1": "10.0.0.1:1"}, PromotionPending: true}
				_, err := o.NextFencingToken(t.Context(), recorded)
				must.NoError(t, err)
				must.True(t, o.StateStored())
				now, err := m.Get(t.Context(), elector.StatePrefix+"g")
				must.NoError(t, err)
				now.Value = []byte(value)
				_, ok, err := m.Swap(t.Context(), now, 0)
				must.NoError(t, err)
				must.True(t, ok)
				time.Sleep(time.Second)
				must.Eq(t, recorded, o.State())
				must.False(t, o.StateStored())
				_, err = o.NextFencingToken(t.Context(), o.State())
				must.NoError(t, err)
				must.True(t, o.StateStored())
			})
		})
	}
}

// Guards against losing the member list, or the group, to an invalid record.
func TestInvalidOwnershipRecord(t *testing.T) {
	for _, value := range []string{"nonsense", "{}", `{"holder": 7}`} {
		t.Run(value, func(t *testing.T) {
			runTwoInstances(t, func(t *testing.T, m *storer.Memory, a, b *testInstance) {
				owner, other := a, b
				if b.owns() {
					owner, other = b, a
				}
				_, err := owner.ownership.Load().NextFencingToken(t.Context(), elector.State{Members: map[string]string{"g-1": "10.0.0.1:1"}})
				must.NoError(t, err)
				now, err := m.Get(t.Context(), elector.OwnershipPrefix+"g")
				must.NoError(t, err)
				now.Value = []byte(value)
				_, ok, err := m.Swap(t.Context(), now, 0)
				must.NoError(t, err)
				must.True(t, ok)
				time.Sleep(time.Second)
				must.True(t, owner.owns())
				must.Eq(t, []string{"g-1"}, other.elector.RecordedMembers("g"))
				owner.cancel()
				time.Sleep(4 * time.Second)
				must.True(t, other.owns())
				must.Eq(t, map[string]string{"g-1": "10.0.0.1:1"}, other.ownership.Load().State().Members)
			})
		})
	}
}

// Guards against a burst of store calls when an owner dies, and against a slow takeover when
// its successors die as well.
func TestAcquisitionIsStaggered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 200
		ctx, cancel := context.WithCancel(context.Background())
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		var all []*testInstance
		for n := range instances {
			name := fmt.Sprint("h", n)
			all = append(all, startInstance(ctx, m, name, clock, func(_, last string) int {
				if last == name {
					return instances
				}
				return n
			}))
		}
		time.Sleep(3 * time.Second)
		owner := func() int { return slices.IndexFunc(all, (*testInstance).owns) }
		for _, others := range []int{0, 3} {
			failed := owner()
			before := m.Calls()
			for _, h := range all[failed : failed+1+others] {
				h.cancel()
			}
			time.Sleep(4 * time.Second)
			next := owner()
			must.Between(t, failed+others+1, next, failed+others+4)
			after := m.Calls()
			must.LessEq(t, 20, after["grant"]+after["swap"]-before["grant"]-before["swap"])
		}
		cancel()
		for _, h := range all {
			<-h.done
			<-h.done
		}
	})
}

// No instance calls the store during an outage; afterwards the staggered delays start anew.
func TestNoAcquisitionDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		var unreachable atomic.Bool
		unreachable.Store(true)
		h := startInstanceWithStoreCheck(ctx, m, "a", clock, func(string, string) int { return 2 }, func() bool { return !unreachable.Load() })
		time.Sleep(time.Minute)
		must.Eq(t, 0, m.Calls()["grant"])
		unreachable.Store(false)
		time.Sleep(400 * time.Millisecond)
		must.False(t, h.owns())
		time.Sleep(400 * time.Millisecond)
		must.True(t, h.owns())
		cancel()
		<-h.done
		<-h.done
	})
}

// Guards against a successor that knows nothing of a pending promotion, or of the members that may
// hold a commit, after all instances were gone for longer than the owner's lease.
func TestStateOutlivesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		stop := func(i *testInstance) {
			i.cancel()
			<-i.done
			<-i.done
		}
		recorded := elector.State{Members: map[string]string{"g-1": "10.0.0.1:1"}, PromotionPending: true, Leader: elector.Leadership{ID: "g-1", Term: 3}}
		first := startInstance(t.Context(), m, "a", clock, nil)
		time.Sleep(time.Second)
		before, err := first.ownership.Load().NextFencingToken(t.Context(), recorded)
		must.NoError(t, err)
		stop(first)
		time.Sleep(time.Minute)
		second := startInstance(t.Context(), m, "b", clock, nil)
		time.Sleep(time.Second)
		must.True(t, second.owns())
		must.Eq(t, recorded, second.ownership.Load().State())
		after, err := second.ownership.Load().NextFencingToken(t.Context(), recorded)
		must.NoError(t, err)
		must.Greater(t, before, after)
		stop(second)
	})
}

// Guards against an owner that takes an outdated state for the last one because its watch of the
// store is behind.
func TestStateUnconfirmedWhileWatchIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		recorded := elector.State{Members: map[string]string{"g-1": "10.0.0.1:1"}, PromotionPending: true}
		// These instances have no watch at all.
		start := func(name string) (owned func() *elector.Ownership, stop func()) {
			var ownership atomic.Pointer[elector.Ownership]
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			e := &elector.Elector{
				Store: m, Clock: clock, Name: name, Groups: func() []string { return []string{"g"} }, Log: func(...any) {},
				Supervise: func(ctx context.Context, _ string, o *elector.Ownership) error {
					ownership.Store(o)
					<-ctx.Done()
					return ctx.Err()
				},
			}
			go func() { done <- e.Run(ctx) }()
			return ownership.Load, func() {
				cancel()
				<-done
			}
		}
		owner, stopOwner := start("a")
		time.Sleep(time.Second)
		_, err := owner().NextFencingToken(t.Context(), recorded)
		must.NoError(t, err)
		successor, stopSuccessor := start("b")
		stopOwner()
		time.Sleep(5 * time.Second)
		deaf := successor()
		must.True(t, deaf.Holds(0))
		must.False(t, deaf.StateConfirmed())
		_, err = deaf.NextFencingToken(t.Context(), elector.State{})
		must.Error(t, err)
		changed, err := deaf.ReadState(t.Context())
		must.NoError(t, err)
		must.False(t, changed) // the rejected write has returned it
		must.True(t, deaf.StateConfirmed())
		must.Eq(t, recorded, deaf.State())
		stopSuccessor()
	})
}
