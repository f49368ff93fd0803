package elector_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

// leaseOwner is an instance that owns the group "g" in a store, with the candidates that its state names.
type leaseOwner struct {
	*elector.Elector
	store *storer.Memory
	clock func() tracker.Timestamp
	// ownership is the group's ownership, once it is acquired.
	ownership chan *elector.Ownership

	mutex  sync.Mutex
	denied map[string]tracker.Timestamp
}

// runLeaseOwner runs a scenario with an instance "a" that has acquired the group.
func runLeaseOwner(t *testing.T, prepare func(t *testing.T, o *leaseOwner), scenario func(t *testing.T, o *leaseOwner, acquired *elector.Ownership)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		o := &leaseOwner{store: storer.NewMemory(), ownership: make(chan *elector.Ownership, 8), denied: map[string]tracker.Timestamp{}}
		o.clock = func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		o.Elector = &elector.Elector{
			Store: o.store, Clock: o.clock, Name: "a-1", Instance: "a", Groups: func() []string { return []string{"g"} }, Log: func(...any) {}, DeniedAt: o.deniedAt,
			Supervise: func(ctx context.Context, _ string, d *elector.Ownership) error {
				o.ownership <- d
				<-ctx.Done()
				return ctx.Err()
			},
		}
		prepare(t, o)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- o.Run(ctx) }()
		scenario(t, o, <-o.ownership)
		cancel()
		<-ended
	})
}

func (o *leaseOwner) deniedAt(instance, _ string) tracker.Timestamp {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.denied[instance]
}

// deny records that a candidate replies now that it doesn't own the group.
func (o *leaseOwner) deny(instance string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.denied[instance] = o.clock()
}

// mustRecord records a state that names candidates.
func mustRecord(t *testing.T, acquired *elector.Ownership, candidates ...string) {
	t.Helper()
	_, err := acquired.NextFencingToken(t.Context(), elector.State{Candidates: candidates})
	must.NoError(t, err)
}

func mustGrant(t *testing.T, o *leaseOwner, term uint64) {
	t.Helper()
	r := o.GrantLease("g")
	must.Eq(t, elector.LeaseGranted, r.Refusal)
	must.Eq(t, term, r.Term)
}

func mustRefuse(t *testing.T, o *leaseOwner, refusal elector.LeaseRefusal) {
	t.Helper()
	must.Eq(t, refusal, o.GrantLease("g").Refusal)
}

// Guards against leases for a primary that is about to be replaced, and against replacing it while
// leases that were granted before are valid.
func TestSuspendedLeases(t *testing.T) {
	runLeaseOwner(t, func(*testing.T, *leaseOwner) {}, func(t *testing.T, o *leaseOwner, acquired *elector.Ownership) {
		mustRefuse(t, o, elector.LeasePrimarySuspected)
		must.Eq(t, elector.LeaseNotOwner, o.GrantLease("other").Refusal)
		acquired.AllowLeases(4)
		// Those of an earlier owner have expired.
		time.Sleep(5 * time.Second)
		mustGrant(t, o, 4)
		grantedAt := o.clock()
		time.Sleep(100 * time.Millisecond)
		must.GreaterEq(t, grantedAt+elector.CommitLeaseTTL, acquired.SuspendLeases())
		mustRefuse(t, o, elector.LeasePrimarySuspected)
	})
}

// Guards against replacing a primary while leases of the previous owner may be valid: it grants them for
// a while after the last renewal of its ownership, even if its record is gone.
func TestLeasesOfPreviousOwner(t *testing.T) {
	for name, test := range map[string]struct {
		candidates  []string
		atLeast, at time.Duration
	}{
		"candidate":       {[]string{"a", "b"}, 1600 * time.Millisecond, 3 * time.Second},
		"not a candidate": {[]string{"b", "c"}, time.Minute, 62 * time.Second},
		"earlier version": {nil, 1600 * time.Millisecond, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			prepare := func(t *testing.T, o *leaseOwner) {
				before := &elector.Elector{
					Store: o.store, Clock: o.clock, Name: "b-1", Instance: "b", Groups: func() []string { return []string{"g"} }, Log: func(...any) {},
					Supervise: func(ctx context.Context, _ string, d *elector.Ownership) error {
						mustRecord(t, d, test.candidates...)
						<-ctx.Done()
						return ctx.Err()
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				_ = before.Run(ctx)
				state, err := o.store.Get(t.Context(), elector.StatePrefix+"g")
				must.NoError(t, err)
				o.HandleRecord(state)
			}
			runLeaseOwner(t, prepare, func(t *testing.T, o *leaseOwner, acquired *elector.Ownership) {
				expiry := acquired.SuspendLeases() - o.clock()
				must.Between(t, test.atLeast, expiry, test.at)
				// What this owner records must not change what the previous one may have granted.
				mustRecord(t, acquired, "a", "c")
				must.Between(t, test.atLeast, acquired.SuspendLeases()-o.clock(), test.at)
			})
		})
	}
}

// Guards against leases by an instance that may have lost the group: during an outage of the store it
// grants them only while every candidate replies that it doesn't own the group.
func TestLeasesDuringStoreOutage(t *testing.T) {
	outage := func(t *testing.T, candidates []string, scenario func(t *testing.T, o *leaseOwner)) {
		runLeaseOwner(t, func(*testing.T, *leaseOwner) {}, func(t *testing.T, o *leaseOwner, acquired *elector.Ownership) {
			acquired.AllowLeases(4)
			mustRecord(t, acquired, candidates...)
			o.store.SetFaults(func(f *storer.Faults) { f.Down = true })
			time.Sleep(4 * time.Second)
			scenario(t, o)
		})
	}
	t.Run("renewal is late", func(t *testing.T) {
		runLeaseOwner(t, func(*testing.T, *leaseOwner) {}, func(t *testing.T, o *leaseOwner, acquired *elector.Ownership) {
			acquired.AllowLeases(4)
			mustRecord(t, acquired, "a", "b")
			o.store.SetFaults(func(f *storer.Faults) { f.Down = true })
			time.Sleep(1100 * time.Millisecond)
			mustRefuse(t, o, elector.LeaseUncertain)
			must.MapContainsKey(t, o.UncertainGroups(), "g")
			o.deny("b")
			mustGrant(t, o, 4)
		})
	})
	t.Run("no reply", func(t *testing.T) {
		outage(t, []string{"a", "b", "c"}, func(t *testing.T, o *leaseOwner) { mustRefuse(t, o, elector.LeaseUncertain) })
	})
	t.Run("one candidate doesn't reply", func(t *testing.T) {
		outage(t, []string{"a", "b", "c"}, func(t *testing.T, o *leaseOwner) {
			o.deny("b")
			mustRefuse(t, o, elector.LeaseUncertain)
		})
	})
	t.Run("all candidates reply", func(t *testing.T) {
		outage(t, []string{"a", "b", "c"}, func(t *testing.T, o *leaseOwner) {
			o.deny("b")
			o.deny("c")
			mustGrant(t, o, 4)
			must.Eq(t, "a-1", o.GrantLease("g").Owner)
			time.Sleep(time.Second)
			mustRefuse(t, o, elector.LeaseUncertain)
		})
	})
	t.Run("no other candidate, until others would no longer wait", func(t *testing.T) {
		outage(t, []string{"a"}, func(t *testing.T, o *leaseOwner) {
			mustGrant(t, o, 4)
			time.Sleep(time.Minute)
			mustRefuse(t, o, elector.LeaseUncertain)
		})
	})
	t.Run("another owner", func(t *testing.T) {
		outage(t, []string{"a"}, func(t *testing.T, o *leaseOwner) {
			o.HandleRecord(storer.Pair{Key: elector.OwnershipPrefix + "g", Value: []byte(`{"holder": "b-1", "lease": 9}`), Revision: 1 << 20})
			mustRefuse(t, o, elector.LeaseNotOwner)
		})
	})
	t.Run("unanswered change of the candidates", func(t *testing.T) {
		runLeaseOwner(t, func(*testing.T, *leaseOwner) {}, func(t *testing.T, o *leaseOwner, acquired *elector.Ownership) {
			acquired.AllowLeases(4)
			mustRecord(t, acquired, "a", "b")
			o.store.SetFaults(func(f *storer.Faults) { f.Down = true })
			_, err := acquired.NextFencingToken(t.Context(), elector.State{Candidates: []string{"a", "c"}})
			must.Error(t, err)
			time.Sleep(4 * time.Second)
			o.deny("b")
			mustRefuse(t, o, elector.LeaseUncertain)
			o.deny("c")
			mustGrant(t, o, 4)
		})
	})
}

// Guards against leases from a recorded state that says that the primary may be replaced.
func TestLeaseFromState(t *testing.T) {
	leader := elector.Leadership{ID: "m", Term: 5}
	for name, test := range map[string]struct {
		state   elector.State
		refusal elector.LeaseRefusal
	}{
		"allowed":       {elector.State{Leader: leader}, elector.LeaseGranted},
		"suspended":     {elector.State{Leader: leader, LeasesSuspended: true}, elector.LeasePrimarySuspected},
		"order pending": {elector.State{Leader: leader, PromotionPending: true}, elector.LeasePrimarySuspected},
		"no primary":    {elector.State{}, elector.LeasePrimarySuspected},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaseOwner(t, func(*testing.T, *leaseOwner) {}, func(t *testing.T, o *leaseOwner, acquired *elector.Ownership) {
				_, err := acquired.NextFencingToken(t.Context(), test.state)
				must.NoError(t, err)
				p, err := o.store.Get(t.Context(), elector.StatePrefix+"g")
				must.NoError(t, err)
				term, refusal := elector.LeaseFromState(p.Value)
				must.Eq(t, test.refusal, refusal)
				if refusal == elector.LeaseGranted {
					must.Eq(t, 5, term)
				}
			})
		})
	}
	_, refusal := elector.LeaseFromState([]byte("nonsense"))
	must.Eq(t, elector.LeaseUncertain, refusal)
}
