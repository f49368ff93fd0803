package launcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"golang.org/x/sync/singleflight"
)

const (
	// registryRetryInterval is the minimum time between two readings of the registry if the first has
	// failed.
	registryRetryInterval = 500 * time.Millisecond
)

// errMemberJoined means that the registry shows a member that wasn't queried.
var errMemberJoined = errors.New("a member has joined")

type (
	// registryReader reads the members' registrations for the proofs of all groups. Set the exported
	// fields before the first reading.
	registryReader struct {
		// Read reads the registrations and applies them. It returns an error if some may be missing.
		Read func(ctx context.Context) error
		// Available reports whether the store responds.
		Available func() bool
		Clock     func() tracker.Timestamp

		readings singleflight.Group
		mutex    sync.Mutex
		// failedAt is when a reading last failed, with failure.
		failedAt tracker.Timestamp
		failure  error
	}
)

// completeUntil reads the registrations and returns a time: every member that had acknowledged a
// commit by then has been applied. Concurrent calls share a reading.
func (r *registryReader) completeUntil(ctx context.Context) (tracker.Timestamp, error) {
	until, err, _ := r.readings.Do("", func() (any, error) {
		sentAt := r.Clock()
		if err := r.recentFailure(sentAt); err != nil {
			return tracker.Timestamp(0), err
		}
		ctx, cancel := context.WithTimeout(ctx, proofTimeout)
		defer cancel()
		err := r.Read(ctx)
		now := r.Clock()
		r.record(now, err)
		// A store that takes longer to answer also takes longer to register members.
		return sentAt - tracker.RegistrationDelay - (now - sentAt), err
	})
	return until.(tracker.Timestamp), err
}

// recentFailure returns the error of the last reading if it is too early for another one.
func (r *registryReader) recentFailure(now tracker.Timestamp) error {
	if !r.Available() {
		return storer.ErrUnavailable
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failure != nil && now-r.failedAt < registryRetryInterval {
		return r.failure
	}
	return nil
}

func (r *registryReader) record(now tracker.Timestamp, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failedAt, r.failure = now, err
}

// proveFromReplicas makes a freshness proof without the primary, which may be full of stale
// connections after all instances restart. An acknowledged commit was received by a
// replica, so once every replica has responded, the highest reported position covers every
// commit acknowledged before the query. The registry is read after the query, since a replica that
// isn't known may be the only one that holds a commit.
func (b *backend) proveFromReplicas(ctx context.Context) {
	ids, synchronous := b.commitHolders()
	if !synchronous || len(ids) < 2 || !b.registry.Available() {
		return
	}
	queriedAt := b.clock()
	position, ok := b.queryReplicas(ctx, ids)
	if !ok {
		return
	}
	completeUntil, err := b.registry.completeUntil(ctx)
	if err == nil && b.holderJoined(ids) {
		err = errMemberJoined
	}
	if err != nil {
		if b.proofRefusals.due(b.clock()) {
			b.log("event", "proof-by-replicas-refused", "group", b.Group.Name, "replicas", len(ids)-1, "cause", err)
		}
		return
	}
	floor, ok := b.replicaProofFloor()
	if !ok {
		return
	}
	p := tracker.FreshnessProof{At: min(queriedAt, completeUntil), Position: orderer.Max(floor, position), FromReplicas: true}
	b.log("event", "proved-by-replicas", "group", b.Group.Name, "position", p.Position, "replicas", len(ids)-1, "age-ms", (b.clock() - p.At).Milliseconds())
	b.Group.AddProof(p)
	b.Pool.MembersChanged()
}

// queryReplicas returns the furthest position that the members but the primary have received. It is
// false unless all of them respond.
func (b *backend) queryReplicas(ctx context.Context, ids []string) (orderer.Position, bool) {
	primary := b.Group.Primary()
	statuses := make([]messenger.Status, len(ids))
	answered := make([]bool, len(ids))
	var queries sync.WaitGroup
	for i, id := range ids {
		if id != primary {
			queries.Go(func() { statuses[i], answered[i] = b.statusOf(ctx, id) })
		}
	}
	queries.Wait()
	var furthest orderer.Position
	for i, id := range ids {
		if id == primary {
			continue
		}
		if !answered[i] {
			return orderer.Position{}, false
		}
		furthest = orderer.Max(furthest, statuses[i].Received)
	}
	return furthest, true
}

// holderJoined reports whether a member that isn't among those queried may hold acknowledged commits.
func (b *backend) holderJoined(queried []string) bool {
	ids, _ := b.commitHolders()
	return slices.ContainsFunc(ids, func(id string) bool { return !slices.Contains(queried, id) })
}

// replicaProofFloor returns the minimum position of a proof made from replicas. A restarted
// replica may have lost a commit that only it had acknowledged, so after a restart a proof by
// the primary must cover it; the result is false where there is none.
func (b *backend) replicaProofFloor() (orderer.Position, bool) {
	restarted := b.Group.LastRestart(b.clock())
	if restarted == 0 {
		return orderer.Position{}, true
	}
	p, ok := b.Group.NewestPrimaryProof()
	return p.Position, ok && restarted < p.At
}
