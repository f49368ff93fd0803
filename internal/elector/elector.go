package elector

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// OwnershipPrefix is the store's key prefix of ownership records.
	OwnershipPrefix = "oriolegw/duty/"
	// leaseTTL bounds how long a group lacks an owner after a crash. It allows for several
	// renewals.
	leaseTTL           = 2500 * time.Millisecond
	leaseRenewInterval = 700 * time.Millisecond
	// leaseSafetyMargin is kept at the end of the lease for requests in flight.
	leaseSafetyMargin = 200 * time.Millisecond
	// acquireStagger is the delay between the acquisition attempts of successive instances, so
	// that most learn of the new owner before they try.
	acquireStagger = 250 * time.Millisecond
	// staggeredInstances is the number of instances with an individual delay; all others pick a
	// random, longer one.
	staggeredInstances = 8
	// coldStartDelay is how long no instance acquires groups when the whole fleet starts, since
	// instances do not know each other yet. coldStartStagger then replaces acquireStagger.
	coldStartDelay   = 2 * time.Second
	coldStartStagger = 1500 * time.Millisecond
	// acquireRetryInterval is the minimum time between an instance's attempts to acquire a group.
	acquireRetryInterval = 500 * time.Millisecond
	// vacantTickInterval is the period of Run's loop while a group has no owner, idleTickInterval
	// otherwise.
	vacantTickInterval = 50 * time.Millisecond
	idleTickInterval   = 200 * time.Millisecond
	// revokeTimeout bounds the revocation of the lease at shutdown.
	revokeTimeout = 300 * time.Millisecond
)

type (
	// Elector acquires groups that have no owner, with one record per group in the store, all
	// under one lease. Set the exported fields, then call Run.
	Elector struct {
		Store storer.Store
		Clock func() tracker.Timestamp
		// Name identifies this process; it is new after each restart.
		Name string
		// ColdStart is set when the whole fleet starts for the first time.
		ColdStart bool
		// Groups lists the configured groups.
		Groups func() []string
		// AcquireRank, when set, returns how many instances try to acquire a group before this one.
		// last is the previous owner, "" if there was none.
		AcquireRank func(group, last string) int
		// StoreReachable, when set, reports whether the store responds.
		StoreReachable func() bool
		// Supervise supervises a group until the context ends.
		Supervise func(ctx context.Context, group string, d *Ownership) error
		Log       func(fields ...any)

		mutex      sync.Mutex
		ownerships map[string]*groupOwnership
		// vacated receives when a group has lost its owner since the last tick.
		vacated   chan struct{}
		startedAt tracker.Timestamp
		lease     storer.Lease
		// leaseExpiry is when the lease may expire; renewedAt is when it was last renewed.
		leaseExpiry, renewedAt tracker.Timestamp
	}

	// Ownership is the ownership of one group, as used by its supervisor.
	Ownership struct {
		elector *Elector
		group   string
	}

	// groupOwnership is this instance's state of one group's ownership.
	groupOwnership struct {
		record storer.Pair
		held   bool
		// invalid is set while the record cannot be parsed or names no owner. The group then counts
		// as vacant.
		invalid bool
		// promotionUnanswered is set while a promotion sent with the newest fencing token may still
		// be executed.
		promotionUnanswered bool
		// acquireAt is when this instance tries to acquire the group, 0 if not scheduled.
		acquireAt tracker.Timestamp
		cancel    context.CancelFunc
		done      chan error
	}

	// State is the state of a group that an owner records for its successor.
	State struct {
		// Members maps each member whose log may hold acknowledged commits to its address.
		Members map[string]string
		// PromotionPending is set while a promotion order may still be executed.
		PromotionPending bool
		// Leader is the last known primary.
		Leader Leadership
	}

	// Leadership identifies a primary by member, incarnation and term.
	Leadership struct {
		ID        string
		StartTime int64
		Term      uint64
	}

	// record is the value stored for a group.
	record struct {
		Owner string `json:"holder"`
		// Lease is the lease that the record is bound to.
		Lease            int64             `json:"lease"`
		Members          map[string]string `json:"members"`
		PromotionPending bool              `json:"order-open"`
		Leader           string            `json:"leader"`
		LeaderStartTime  int64             `json:"leader-born"`
		Term             uint64            `json:"term"`
	}
)

// Run acquires and keeps groups until the context ends, then releases them.
func (e *Elector) Run(ctx context.Context) error {
	e.startedAt = e.Clock()
	vacated := e.vacatedChannel()
	for {
		interval := idleTickInterval
		if e.tick(ctx) {
			interval = vacantTickInterval
		}
		select {
		case <-ctx.Done():
			e.shutdown()
			return ctx.Err()
		case <-time.After(interval):
		case <-vacated:
		}
	}
}

// vacatedChannel returns the channel that HandleRecord notifies when a group has lost its owner.
func (e *Elector) vacatedChannel() chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.vacated == nil {
		e.vacated = make(chan struct{}, 1)
	}
	return e.vacated
}

// HandleRecord processes a group's record as read from the store.
func (e *Elector) HandleRecord(p storer.Pair) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	o := e.ownership(strings.TrimPrefix(p.Key, OwnershipPrefix))
	if p.Revision != 0 && p.Revision <= o.record.Revision {
		return
	}
	if p.Revision == 0 && o.held {
		// The key expires with the lease, so the ownership is lost.
		e.lose(p.Key, o, "record-gone")
	}
	if p.Revision == 0 && e.vacated != nil {
		select {
		case e.vacated <- struct{}{}:
		default:
		}
	}
	e.applyRecord(o, p)
}

// applyRecord stores a newer record; the mutex is held. The value of a deleted or invalid
// record is replaced by the last valid one, which keeps the member list.
func (e *Elector) applyRecord(o *groupOwnership, p storer.Pair) {
	o.invalid = false
	if _, err := parseRecord(p.Value); p.Revision != 0 && err != nil {
		o.invalid = true
		e.Log("event", "duty-record-rejected", "duty", p.Key, "revision", p.Revision, "held", o.held, "cause", err)
	}
	if p.Revision == 0 || o.invalid {
		p.Value = o.record.Value
	}
	o.record = p
}

// ownsRecord reports whether a record was written by this instance under its current lease, as
// after an acquisition whose response was lost.
func (e *Elector) ownsRecord(o *groupOwnership) bool {
	// Avoids decoding every record on instances without a lease.
	if o.record.Revision == 0 || e.lease == 0 {
		return false
	}
	r := decodeOrEmpty(o.record.Value)
	return r.Owner == e.Name && r.Lease == int64(e.lease)
}

// RecordedMembers lists the members that a group's record names.
func (e *Elector) RecordedMembers(group string) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Sorted(maps.Keys(decodeOrEmpty(e.ownership(group).record.Value).Members))
}

func (e *Elector) ownership(group string) *groupOwnership {
	if e.ownerships == nil {
		e.ownerships = map[string]*groupOwnership{}
	}
	o, ok := e.ownerships[group]
	if !ok {
		o = &groupOwnership{}
		e.ownerships[group] = o
	}
	return o
}

// tick renews the lease and acquires vacant groups. It reports whether any group is vacant.
func (e *Elector) tick(ctx context.Context) (anyVacant bool) {
	e.renewLease(ctx)
	for _, g := range e.Groups() {
		e.mutex.Lock()
		o := e.ownership(g)
		due := e.shouldAcquire(g, o)
		anyVacant = anyVacant || o.vacant()
		if !o.held && e.ownsRecord(o) {
			e.startSupervisor(ctx, g, o)
		}
		e.mutex.Unlock()
		if due {
			e.acquire(ctx, g, o)
		}
	}
	return anyVacant
}

// vacant reports whether a group has no owner.
func (o *groupOwnership) vacant() bool { return !o.held && (o.record.Revision == 0 || o.invalid) }

// shouldAcquire reports whether to try to acquire a group now; the mutex is held. Attempts are
// staggered among instances to avoid a burst of store calls when an owner dies or the fleet
// starts.
func (e *Elector) shouldAcquire(group string, o *groupOwnership) bool {
	now := e.Clock()
	if !o.vacant() || e.ColdStart && now-e.startedAt < coldStartDelay || e.StoreReachable != nil && !e.StoreReachable() {
		// A delay scheduled earlier has passed by the time the group can be acquired.
		o.acquireAt = 0
		return false
	}
	if o.acquireAt == 0 {
		o.acquireAt = now + e.acquireDelay(group, o)
	}
	return now >= o.acquireAt
}

// acquireDelay returns how long to leave a vacant group to other instances; the mutex is held.
func (e *Elector) acquireDelay(group string, o *groupOwnership) time.Duration {
	stagger := acquireStagger
	if e.ColdStart && e.Clock()-e.startedAt < staggeredInstances*coldStartStagger {
		stagger = coldStartStagger
	}
	rank := 0
	if e.AcquireRank != nil {
		rank = e.AcquireRank(group, decodeOrEmpty(o.record.Value).Owner)
	}
	if rank >= staggeredInstances {
		return staggeredInstances*stagger + rand.N(staggeredInstances*stagger)
	}
	return time.Duration(rank)*stagger + rand.N(stagger/4)
}

// renewLease renews the lease while this instance owns a group.
func (e *Elector) renewLease(ctx context.Context) {
	e.mutex.Lock()
	if !e.ownsAny() && e.Clock() > e.leaseExpiry {
		e.lease = 0
	}
	lease, due := e.lease, e.Clock()-e.renewedAt >= leaseRenewInterval
	due = due && e.ownsAny()
	e.mutex.Unlock()
	if lease == 0 || !due {
		return
	}
	// The store counts from the arrival of the call, which is later than this.
	sentAt := e.Clock()
	err := e.Store.KeepAlive(ctx, lease)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.renewedAt = sentAt
	switch {
	case err == nil:
		e.leaseExpiry = sentAt + leaseTTL
	case errors.Is(err, storer.ErrLeaseExpired) || e.Clock() > e.leaseExpiry:
		e.lease = 0
		for g, o := range e.ownerships {
			if o.held {
				e.lose(OwnershipPrefix+g, o, "lease-lost")
			}
		}
	}
}

// ownsAny reports whether this instance owns a group; the mutex is held. An unused lease is
// left to expire, which saves renewals by instances that own nothing.
func (e *Elector) ownsAny() bool {
	for _, o := range e.ownerships {
		if o.held {
			return true
		}
	}
	return false
}

// lose ends the ownership of a group; the mutex is held.
func (e *Elector) lose(key string, o *groupOwnership, reason string) {
	o.held, o.acquireAt = false, 0
	o.cancel()
	e.Log("event", "duty-lost", "duty", key, "why", reason, "fence", o.record.Revision)
}

// acquire tries to become the owner of a vacant group.
func (e *Elector) acquire(ctx context.Context, group string, o *groupOwnership) {
	e.mutex.Lock()
	o.acquireAt = e.Clock() + acquireRetryInterval
	lease, old := e.lease, o.record
	if !o.invalid {
		old.Revision = 0
	}
	e.mutex.Unlock()
	if lease == 0 {
		sentAt := e.Clock()
		l, err := e.Store.Grant(ctx, leaseTTL)
		if err != nil {
			return
		}
		e.mutex.Lock()
		e.lease, e.renewedAt, e.leaseExpiry = l, sentAt, sentAt+leaseTTL
		lease = l
		e.mutex.Unlock()
	}
	value := e.encode(decodeOrEmpty(old.Value), lease)
	now, ok, err := e.Store.Swap(ctx, storer.Pair{Key: OwnershipPrefix + group, Value: value, Revision: old.Revision}, lease)
	if errors.Is(err, storer.ErrLeaseExpired) {
		e.mutex.Lock()
		e.lease = 0
		e.mutex.Unlock()
		return
	}
	if err != nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Revision > o.record.Revision {
		e.applyRecord(o, now)
	}
	// An earlier call whose response was lost may have acquired it.
	if (!ok && !e.ownsRecord(o)) || o.held {
		return
	}
	e.startSupervisor(ctx, group, o)
}

// startSupervisor starts the group's supervisor; the mutex is held.
func (e *Elector) startSupervisor(ctx context.Context, group string, o *groupOwnership) {
	o.held = true
	e.Log("event", "duty-taken", "group", group, "fence", o.record.Revision)
	supervisorCtx, cancel := context.WithCancel(ctx)
	// The group may be acquired again before this supervisor has stopped.
	done := make(chan error, 1)
	o.cancel, o.done = cancel, done
	go func() { done <- e.Supervise(supervisorCtx, group, &Ownership{elector: e, group: group}) }()
}

// shutdown stops the supervisors and revokes the lease, so that others can take over at once.
func (e *Elector) shutdown() {
	e.mutex.Lock()
	lease := e.lease
	e.lease = 0
	var done []chan error
	for _, o := range e.ownerships {
		if o.held {
			o.held = false
			o.cancel()
			done = append(done, o.done)
		}
	}
	e.mutex.Unlock()
	for _, c := range done {
		<-c
	}
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := e.Store.Revoke(ctx, lease); err != nil {
		e.Log("event", "lease-kept", "cause", err)
	}
}
