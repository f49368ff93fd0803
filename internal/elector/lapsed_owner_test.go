package elector_test

import (
	"context"
	"sync"
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

// cutStore is the store as seen by an instance that can be cut off from it.
type cutStore struct {
	*storer.Memory
	down atomic.Bool
	// watchDelay delays what the watch shows.
	watchDelay atomic.Int64
	// keepAliveDelay delays renewals, as for a process that is frozen.
	keepAliveDelay atomic.Int64
}

func (c *cutStore) err() error {
	if c.down.Load() {
		return storer.ErrUnavailable
	}
	return nil
}

func (c *cutStore) KeepAlive(ctx context.Context, l storer.Lease) error {
	time.Sleep(time.Duration(c.keepAliveDelay.Load()))
	if err := c.err(); err != nil {
		return err
	}
	return c.Memory.KeepAlive(ctx, l)
}

func (c *cutStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	if err := c.err(); err != nil {
		return 0, err
	}
	return c.Memory.Grant(ctx, ttl)
}

func (c *cutStore) Commit(ctx context.Context, swaps []storer.Swap) ([]storer.Pair, bool, error) {
	if err := c.err(); err != nil {
		return nil, false, err
	}
	return c.Memory.Commit(ctx, swaps)
}

func (c *cutStore) Snapshot(ctx context.Context, prefix string) ([]storer.Pair, int64, error) {
	if err := c.err(); err != nil {
		return nil, 0, err
	}
	return c.Memory.Snapshot(ctx, prefix)
}

func (c *cutStore) WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Pair, int64, error) {
	if err := c.err(); err != nil {
		return nil, 0, err
	}
	p, r, err := c.Memory.WaitForChanges(ctx, prefix, after, wait)
	time.Sleep(time.Duration(c.watchDelay.Load()))
	if err := c.err(); err != nil {
		return nil, 0, err
	}
	return p, r, err
}

// leaseInstance is an instance that competes for the group and grants leases.
type leaseInstance struct {
	*testInstance
	store *cutStore
}

func startLeaseInstance(ctx context.Context, m *storer.Memory, name string, clock func() tracker.Timestamp, rank int, deniedAt func(instance, group string) tracker.Timestamp) *leaseInstance {
	ctx, cancel := context.WithCancel(ctx)
	s := &cutStore{Memory: m}
	i := &leaseInstance{testInstance: &testInstance{cancel: cancel, done: make(chan error, 2)}, store: s}
	var w *watcher.Watcher
	i.elector = &elector.Elector{
		Store: s, Clock: clock, Name: name, Instance: name, DeniedAt: deniedAt,
		Groups: func() []string { return []string{"g"} }, AcquireRank: func(string, string) int { return rank },
		StoreReachable: func() bool { return !s.down.Load() },
		Supervise: func(ctx context.Context, _ string, o *elector.Ownership) error {
			i.ownership.Store(o)
			<-ctx.Done()
			return ctx.Err()
		},
		Log: func(...any) {},
	}
	w = &watcher.Watcher{
		Source: s, MaxPropagationDelay: 3 * time.Second, Clock: clock, OwnershipPrefix: elector.OwnershipPrefix, StatePrefix: elector.StatePrefix, ConfigurationKey: "configuration", MemberPrefix: "member/",
		OnMembers: func(map[string][]tracker.Member) {}, OnOwnership: i.elector.HandleRecord, Log: func(...any) {},
	}
	go func() { i.done <- i.elector.Run(ctx) }()
	go func() { i.done <- w.Run(ctx) }()
	return i
}

// runLeaseInstances runs instance a, which owns the group and has recorded itself and b as candidates, and b.
func runLeaseInstances(t *testing.T, scenario func(t *testing.T, m *storer.Memory, clock func() tracker.Timestamp, a, b *leaseInstance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		var deniedAt atomic.Int64
		var asking sync.WaitGroup
		a := startLeaseInstance(ctx, m, "a", clock, 0, func(instance, _ string) tracker.Timestamp {
			if instance != "b" {
				return clock()
			}
			return tracker.Timestamp(deniedAt.Load())
		})
		b := startLeaseInstance(ctx, m, "b", clock, 4, nil)
		defer func() {
			cancel()
			asking.Wait()
			for _, i := range []*leaseInstance{a, b} {
				<-i.done
				<-i.done
			}
		}()
		time.Sleep(time.Second)
		must.True(t, a.owns())
		// a asks b all the time whether it owns the group.
		asking.Go(func() {
			for ctx.Err() == nil {
				if b.elector.GrantLease("g").Owner == "a" {
					deniedAt.Store(int64(clock()))
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		_, err := a.ownership.Load().NextFencingToken(ctx, elector.State{Leader: elector.Leadership{ID: "m", Term: 1}, Candidates: []string{"a", "b"}})
		must.NoError(t, err)
		a.ownership.Load().AllowLeases(1)
		must.Eq(t, elector.LeaseGranted, a.elector.GrantLease("g").Refusal)
		time.Sleep(500 * time.Millisecond)
		scenario(t, m, clock, a, b)
	})
}

// A candidate that has owned the group, and ordered a promotion that may take effect yet, denies after it
// has lost the group that it owns it. Its predecessor, cut off from the store, must not grant leases again.
func TestLapsedOwnerAfterSuccessor(t *testing.T) {
	runLeaseInstances(t, func(t *testing.T, m *storer.Memory, clock func() tracker.Timestamp, a, b *leaseInstance) {
		a.store.down.Store(true)
		time.Sleep(6 * time.Second)
		must.False(t, a.owns())
		must.True(t, b.owns())
		must.NotEq(t, elector.LeaseGranted, a.elector.GrantLease("g").Refusal)
		// b waits until a's leases have expired, and orders the promotion of another member.
		o := b.ownership.Load()
		time.Sleep(o.SuspendLeases() - clock())
		_, err := o.NextFencingToken(t.Context(), elector.State{PromotionPending: true, Ordered: "n", Leader: elector.Leadership{ID: "m", Term: 1}, Candidates: []string{"a", "b"}})
		must.NoError(t, err)
		// The order takes effect within a second, without an answer even later. b stops before.
		b.cancel()
		time.Sleep(300 * time.Millisecond)
		must.False(t, b.owns())
		must.NotEq(t, elector.LeaseGranted, a.elector.GrantLease("g").Refusal)
	})
}

// An owner that loses the group and acquires it again isn't among the candidates that it has recorded
// itself. It must not wait for a minute before it may replace a silent primary.
func TestOwnerAcquiresAgain(t *testing.T) {
	runLeaseInstances(t, func(t *testing.T, m *storer.Memory, clock func() tracker.Timestamp, a, b *leaseInstance) {
		b.store.down.Store(true)
		m.ExpireLeases()
		time.Sleep(6 * time.Second)
		must.True(t, a.owns())
		wait := a.ownership.Load().SuspendLeases() - clock()
		must.LessEq(t, 3*time.Second, wait)
	})
}

// An unanswered write of the first candidates leaves none in the store, so that any instance counts as a
// candidate and waits for a few seconds only. The owner must not rely on the candidates that it meant to
// record.
func TestCandidatesNotRecorded(t *testing.T) {
	runLeaseInstances(t, func(t *testing.T, m *storer.Memory, clock func() tracker.Timestamp, a, b *leaseInstance) {
		o := a.ownership.Load()
		_, err := o.NextFencingToken(t.Context(), elector.State{Leader: elector.Leadership{ID: "m", Term: 1}})
		must.NoError(t, err)
		a.store.down.Store(true)
		_, err = o.NextFencingToken(t.Context(), elector.State{Leader: elector.Leadership{ID: "m", Term: 1}, Candidates: []string{"x"}})
		must.Error(t, err)
		time.Sleep(7 * time.Second)
		must.True(t, b.owns())
		time.Sleep(b.ownership.Load().SuspendLeases() - clock())
		must.NotEq(t, elector.LeaseGranted, a.elector.GrantLease("g").Refusal)
	})
}

// An owner that is frozen notices late that it has lost the group. It must not grant leases for longer than
// an instance that isn't among the candidates waits.
func TestLapsedOwnerFrozen(t *testing.T) {
	runLeaseInstances(t, func(t *testing.T, m *storer.Memory, clock func() tracker.Timestamp, a, b *leaseInstance) {
		o := a.ownership.Load()
		_, err := o.NextFencingToken(t.Context(), elector.State{Leader: elector.Leadership{ID: "m", Term: 1}, Candidates: []string{"x"}})
		must.NoError(t, err)
		a.store.keepAliveDelay.Store(int64(20 * time.Second))
		a.store.down.Store(true)
		time.Sleep(10 * time.Second)
		must.True(t, b.owns())
		time.Sleep(b.ownership.Load().SuspendLeases() - clock())
		must.NotEq(t, elector.LeaseGranted, a.elector.GrantLease("g").Refusal)
	})
}

// The ownership key is removed while the lease lasts, and the owner's watch is late. The owner renews its
// lease and takes the group for its own. It must not grant leases for longer than its successor waits.
func TestOwnershipKeyRemovedWatchLate(t *testing.T) {
	runLeaseInstances(t, func(t *testing.T, m *storer.Memory, clock func() tracker.Timestamp, a, b *leaseInstance) {
		a.store.watchDelay.Store(int64(8 * time.Second))
		key, err := m.Get(t.Context(), elector.OwnershipPrefix+"g")
		must.NoError(t, err)
		_, err = m.Delete(t.Context(), key)
		must.NoError(t, err)
		time.Sleep(3 * time.Second)
		must.True(t, b.owns())
		time.Sleep(b.ownership.Load().SuspendLeases() - clock())
		must.NotEq(t, elector.LeaseGranted, a.elector.GrantLease("g").Refusal)
	})
}
