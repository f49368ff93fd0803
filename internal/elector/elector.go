package elector

import (
	"context"
	"maps"
	"math"
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
	// OwnershipPrefix is the store's key prefix of ownership records, StatePrefix that of the groups'
	// states.
	OwnershipPrefix = "oriolegw/duty/"
	StatePrefix     = "oriolegw/group/"
	// leaseTTL bounds how long a group lacks an owner after a crash. It allows for three
	// attempts to renew the lease.
	leaseTTL           = 2500 * time.Millisecond
	leaseRenewInterval = 700 * time.Millisecond
	// leaseSafetyMargin is kept at the end of the lease for requests in flight.
	leaseSafetyMargin = 200 * time.Millisecond
	// acquireStagger is the delay between the acquisition attempts of successive instances, so
	// that most learn of the new owner before they try.
	acquireStagger = 250 * time.Millisecond
	// acquireJitter is the random part of the delay. Groups due within it are acquired together.
	acquireJitter = acquireStagger / 4
	// staggeredInstances is the number of instances that wait acquireStagger after each other;
	// the others, which try only if all of these fail, follow at half of it with more jitter.
	staggeredInstances = 8
	// coldStartDelay is how long no instance acquires groups when the whole fleet starts, since
	// instances do not know each other yet. coldStartStagger then replaces acquireStagger.
	coldStartDelay   = 2 * time.Second
	coldStartStagger = 1500 * time.Millisecond
	// acquireRetryInterval is the minimum time between an instance's attempts to acquire a group.
	acquireRetryInterval = 500 * time.Millisecond
	// vacantTickInterval is the period of Run's loop while a group has no owner, ownerTickInterval
	// while this instance owns groups, and idleTickInterval otherwise.
	vacantTickInterval = 50 * time.Millisecond
	ownerTickInterval  = 200 * time.Millisecond
	idleTickInterval   = time.Second
	// revokeTimeout bounds the revocation of the lease at shutdown.
	revokeTimeout = 300 * time.Millisecond
)

type (
	// Elector acquires groups that have no owner, with one record per group in the store, all
	// under one lease. Set the exported fields, then call Run.
	Elector struct {
		Store storer.BatchStore
		Clock func() tracker.Timestamp
		// Name identifies this process; it is new after each restart.
		Name string
		// Instance is the name of this instance, which it keeps when it restarts.
		Instance string
		// ColdStart is set when the whole fleet starts for the first time.
		ColdStart bool
		// Groups lists the configured groups.
		Groups func() []string
		// AcquireRank, when set, returns how many instances try to acquire a group before this one.
		// last is the previous owner, "" if there was none.
		AcquireRank func(group, last string) int
		// StoreReachable, when set, reports whether the store responds.
		StoreReachable func() bool
		// DeniedAt, when set, returns when an instance was last asked who owns a group, and replied that it
		// knows of no later owner than this process.
		DeniedAt func(instance, group string) tracker.Timestamp
		// Supervise supervises a group until the context ends.
		Supervise func(ctx context.Context, group string, d *Ownership) error
		Log       func(fields ...any)

		mutex      sync.Mutex
		ownerships map[string]*groupOwnership
		// owned counts the ownerships that are held.
		owned int
		// vacated receives when a group's record needs a tick at once.
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
		// acquiredRevision is the revision of the record with which the group was acquired.
		acquiredRevision int64
	}

	// groupOwnership is this instance's state of one group's ownership.
	groupOwnership struct {
		record storer.Pair
		// state is the group's recorded state. If the stored value is invalid or absent, the value is
		// the last valid one.
		state storer.Pair
		// stateLost is set if the store does not hold the value of state.
		stateLost bool
		held      bool
		// acquiredRevision is the revision of the record with which this instance acquired the group,
		// watchedRevision that of the last record that the watch has shown. Changes are shown in
		// order, so once the watch has shown the acquisition, state holds what earlier owners
		// recorded. stateRead is set if it was read from the store since the acquisition.
		acquiredRevision, watchedRevision int64
		stateRead                         bool
		// invalid is set while the record cannot be parsed or names no owner. The group then counts
		// as vacant; otherwise no instance would ever acquire it.
		invalid bool
		// acquireAt is when this instance tries to acquire the group, 0 if not scheduled.
		acquireAt tracker.Timestamp
		leases    leaseGrants
		cancel    context.CancelFunc
		done      chan error
	}

	// State is the state of a group that an owner records for its successor. It outlives the owner's
	// lease.
	State struct {
		// Members maps each member whose log may hold acknowledged commits to its address.
		Members map[string]string
		// StartTimes are the start times of these members, as far as they are known. One that registers
		// with another has lost the log that it had.
		StartTimes map[string]int64
		// PromotionPending is set while a promotion order may still be executed; Ordered is the member
		// that the last one named, "" if unknown.
		PromotionPending bool
		Ordered          string
		// OrderedStartTime is the start time of that member when it was ordered, 0 if unknown.
		OrderedStartTime int64
		// Leader is the last known primary.
		Leader Leadership
		// LeasesSuspended is set while no instance may have a commit lease.
		LeasesSuspended bool
		// Candidates are the instances that may be the next owner.
		Candidates []string
	}

	// Leadership identifies a primary by member, incarnation and term.
	Leadership struct {
		ID        string
		StartTime int64
		Term      uint64
	}
)

// Run acquires and keeps groups until the context ends, then releases them.
func (e *Elector) Run(ctx context.Context) error {
	e.startedAt = e.Clock()
	vacated := e.vacatedChannel()
	for {
		interval := e.idleInterval()
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

// idleInterval returns the period of Run's loop while no group lacks an owner.
func (e *Elector) idleInterval() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.ownsAny() {
		return ownerTickInterval
	}
	return idleTickInterval
}

// vacatedChannel returns the channel that HandleRecord notifies when a group may have lost its
// owner, or this instance may have become it.
func (e *Elector) vacatedChannel() chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.vacated == nil {
		e.vacated = make(chan struct{}, 1)
	}
	return e.vacated
}

// HandleRecord processes a group's ownership record or state as read from the store.
func (e *Elector) HandleRecord(p storer.Pair) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if group, ok := strings.CutPrefix(p.Key, StatePrefix); ok {
		if o := e.ownership(group); p.Revision == 0 || p.Revision > o.state.Revision {
			e.applyState(o, p)
		}
		return
	}
	o := e.ownership(strings.TrimPrefix(p.Key, OwnershipPrefix))
	o.watchedRevision = max(o.watchedRevision, p.Revision)
	if p.Revision != 0 && p.Revision <= o.record.Revision {
		return
	}
	if p.Revision != 0 {
		o.leases.lapsedAt = 0
	}
	if p.Revision == 0 && o.held {
		// The key expires with the lease, so the ownership is lost.
		e.lose(p.Key, o, "record-gone")
	}
	// With a lease, the record may be that of an acquisition whose response was lost.
	if (p.Revision == 0 || e.lease != 0) && e.vacated != nil {
		select {
		case e.vacated <- struct{}{}:
		default:
		}
	}
	e.applyRecord(o, p)
}

// applyRecord stores a newer record; the mutex is held. The value of a deleted or invalid
// record is replaced by the last valid one, which keeps the name of the last owner.
func (e *Elector) applyRecord(o *groupOwnership, p storer.Pair) {
	o.invalid = false
	if _, err := parseOwnership(p.Value); p.Revision != 0 && err != nil {
		o.invalid = true
		e.Log("event", "duty-record-rejected", "duty", p.Key, "revision", p.Revision, "held", o.held, "cause", err)
	}
	if p.Revision == 0 || o.invalid {
		p.Value = o.record.Value
	}
	o.record = p
}

// applyState stores a group's state as read from the store; the mutex is held.
func (e *Elector) applyState(o *groupOwnership, p storer.Pair) {
	_, err := parseState(p.Value)
	o.stateLost = err != nil && (p.Revision != 0 || len(o.state.Value) > 0)
	if err != nil {
		if p.Revision != 0 {
			e.Log("event", "group-state-rejected", "key", p.Key, "revision", p.Revision, "held", o.held, "cause", err)
		}
		p.Value = o.state.Value
	}
	o.state = p
	o.leases.candidates = union(o.leases.candidates, stateOrEmpty(p.Value).Candidates)
}

// ownsRecord reports whether a record was written by this instance under its current lease, as
// after an acquisition whose response was lost.
func (e *Elector) ownsRecord(o *groupOwnership) bool {
	// Avoids decoding every record on instances without a lease.
	if o.record.Revision == 0 || e.lease == 0 {
		return false
	}
	r := ownershipOrEmpty(o.record.Value)
	return r.Owner == e.Name && r.Lease == int64(e.lease)
}

// RecordedMembers lists the members that a group's recorded state names.
func (e *Elector) RecordedMembers(group string) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Sorted(maps.Keys(stateOrEmpty(e.ownership(group).state.Value).Members))
}

// Owner returns the name of the process that owns a group, "" if the group is vacant.
func (e *Elector) Owner(group string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	o, ok := e.ownerships[group]
	if !ok || o.vacant() {
		return ""
	}
	return ownershipOrEmpty(o.record.Value).Owner
}

func (e *Elector) ownership(group string) *groupOwnership {
	if e.ownerships == nil {
		e.ownerships = map[string]*groupOwnership{}
	}
	o, ok := e.ownerships[group]
	if !ok {
		o = &groupOwnership{state: storer.Pair{Key: StatePrefix + group}}
		e.ownerships[group] = o
	}
	return o
}

// tick renews the lease and acquires vacant groups. It reports whether any group is vacant.
func (e *Elector) tick(ctx context.Context) (anyVacant bool) {
	e.renewLease(ctx)
	var due, soon []string
	e.mutex.Lock()
	for _, g := range e.Groups() {
		o := e.ownership(g)
		switch wait := e.acquireWait(g, o); {
		case wait <= 0:
			due = append(due, g)
		case wait <= acquireJitter:
			soon = append(soon, g)
		}
		anyVacant = anyVacant || o.vacant()
		if !o.held && e.ownsRecord(o) {
			e.startSupervisor(ctx, g, o)
		}
	}
	e.mutex.Unlock()
	if len(due) == 0 {
		return anyVacant
	}
	for batch := range slices.Chunk(append(due, soon...), storer.MaxSwaps) {
		e.acquire(ctx, batch)
	}
	return anyVacant
}

// vacant reports whether a group has no owner.
func (o *groupOwnership) vacant() bool { return !o.held && (o.record.Revision == 0 || o.invalid) }

// notDue is the result of acquireWait for a group that is not to be acquired.
const notDue = time.Duration(math.MaxInt64)

// acquireWait returns how long to wait before trying to acquire a group; the mutex is held.
// Attempts are staggered among instances to avoid a burst of store calls when an owner dies or
// the fleet starts.
func (e *Elector) acquireWait(group string, o *groupOwnership) time.Duration {
	now := e.Clock()
	if !o.vacant() || e.ColdStart && now-e.startedAt < coldStartDelay || e.StoreReachable != nil && !e.StoreReachable() {
		// A delay scheduled earlier has passed by the time the group can be acquired.
		o.acquireAt = 0
		return notDue
	}
	if o.acquireAt == 0 {
		o.acquireAt = now + e.acquireDelay(group, o)
	}
	return o.acquireAt - now
}

// acquireDelay returns how long to leave a vacant group to other instances; the mutex is held.
func (e *Elector) acquireDelay(group string, o *groupOwnership) time.Duration {
	stagger := acquireStagger
	if e.ColdStart && e.Clock()-e.startedAt < staggeredInstances*coldStartStagger {
		stagger = coldStartStagger
	}
	rank := 0
	if e.AcquireRank != nil {
		rank = e.AcquireRank(group, ownershipOrEmpty(o.record.Value).Owner)
	}
	if len(o.leases.candidates) > 0 && !slices.Contains(o.leases.candidates, e.Instance) {
		rank += candidateRankBonus
	}
	if rank >= staggeredInstances {
		later := time.Duration(rank-staggeredInstances) * stagger / 2
		return staggeredInstances*stagger + later + rand.N(stagger)
	}
	return time.Duration(rank)*stagger + rand.N(acquireJitter)
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
	return e.owned > 0
}

// lose ends the ownership of a group; the mutex is held.
func (e *Elector) lose(key string, o *groupOwnership, reason string) {
	// A process that was frozen notices late.
	o.held, o.acquireAt, o.leases.lapsedAt = false, 0, min(e.Clock(), e.leaseExpiry)
	e.owned--
	o.cancel()
	e.Log("event", "duty-lost", "duty", key, "why", reason, "fence", o.record.Revision)
}

// acquire tries to become the owner of vacant groups with one call. If another instance has
// acquired one of them, the others are tried again at the next tick.
func (e *Elector) acquire(ctx context.Context, groups []string) {
	lease, ok := e.ensureLease(ctx)
	if !ok {
		e.postpone(groups)
		return
	}
	swaps := make([]storer.Swap, len(groups))
	e.mutex.Lock()
	for n, g := range groups {
		o := e.ownership(g)
		o.acquireAt = e.Clock() + acquireRetryInterval
		swaps[n] = storer.Swap{Pair: storer.Pair{Key: OwnershipPrefix + g, Value: e.encodeOwnership(lease)}, Lease: lease}
		if o.invalid {
			swaps[n].Revision = o.record.Revision
		}
	}
	e.mutex.Unlock()
	now, ok, err := e.Store.Commit(ctx, swaps)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if errors.Is(err, storer.ErrLeaseExpired) {
		e.lease = 0
	}
	if err != nil {
		return
	}
	for n, g := range groups {
		o := e.ownership(g)
		if now[n].Revision > o.record.Revision {
			e.applyRecord(o, now[n])
		}
		switch {
		case o.held:
		// An earlier call whose response was lost may have acquired it.
		case ok || e.ownsRecord(o):
			e.startSupervisor(ctx, g, o)
		case now[n].Revision == swaps[n].Revision:
			o.acquireAt = e.Clock()
		}
	}
}

// postpone delays the next attempt to acquire groups.
func (e *Elector) postpone(groups []string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, g := range groups {
		e.ownership(g).acquireAt = e.Clock() + acquireRetryInterval
	}
}

// ensureLease returns the current lease, or a new one if there is none.
func (e *Elector) ensureLease(ctx context.Context) (storer.Lease, bool) {
	e.mutex.Lock()
	lease := e.lease
	e.mutex.Unlock()
	if lease != 0 {
		return lease, true
	}
	sentAt := e.Clock()
	lease, err := e.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lease, e.renewedAt, e.leaseExpiry = lease, sentAt, sentAt+leaseTTL
	return lease, true
}

// startSupervisor starts the group's supervisor; the mutex is held.
func (e *Elector) startSupervisor(ctx context.Context, group string, o *groupOwnership) {
	acquired := o.record.Revision
	o.held, o.acquiredRevision, o.stateRead = true, acquired, false
	e.owned++
	o.leases = leaseGrants{acquiredAt: e.Clock(), candidates: o.leases.candidates}
	state := stateOrEmpty(o.state.Value)
	e.Log("event", "duty-taken", "group", group, "fence", o.record.Revision, "state-revision", o.state.Revision,
		"members", len(state.Members), "order-open", state.PromotionPending)
	supervisorCtx, cancel := context.WithCancel(ctx)
	// The group may be acquired again before this supervisor has stopped.
	done := make(chan error, 1)
	o.cancel, o.done = cancel, done
	go func() {
		done <- e.Supervise(supervisorCtx, group, &Ownership{elector: e, group: group, acquiredRevision: acquired})
	}()
}

// shutdown stops the supervisors and revokes the lease, so that others can take over at once.
func (e *Elector) shutdown() {
	e.mutex.Lock()
	lease := e.lease
	e.lease, e.owned = 0, 0
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
