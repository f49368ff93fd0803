// Package watcher watches the platform's store for changes of the configuration, of the
// members' registrations and of the ownership records. It uses one watch for all of them, to
// limit the calls against the store.
package watcher

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/recorder"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// pollWaitFraction is the long-poll timeout as a fraction of MaxPropagationDelay. The rest is
	// left to detect a silent connection and to read a new snapshot. A silent connection is
	// detected 0.6 s after the long-poll timeout.
	pollWaitFraction = 0.65
	// minRetryDelay and maxRetryDelay bound the exponential backoff of failed calls.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// followerRetryFraction is the retry delay, as a fraction of MaxPropagationDelay, while peers
	// can report that the store is available again.
	followerRetryFraction = 0.5
	// registrationGrace is how long after an outage of the store members may take to
	// register again.
	registrationGrace = 2500 * time.Millisecond
	// missingRetention is how long a member without an entry is kept as leaving, so that another
	// member can be promoted if it is the primary. Nothing may be sent to it after 7 s.
	missingRetention = 5 * time.Second
	// disputeTimeout is how long a start time that is smaller than the known one must be the newest to
	// be accepted, repeatedDisputeTimeout if it is reported again. A member that had started later would
	// have reported several times.
	disputeTimeout, repeatedDisputeTimeout = 10 * time.Second, 3 * time.Second
	// leavingTimeout is how long after its announcement a leaving member may still receive
	// statements.
	leavingTimeout = 6 * time.Second
	// batchDelayFraction is the delay after a change, as a fraction of MaxPropagationDelay, that
	// lets one call return several consecutive changes, such as those of a failover. A new primary
	// may be learned this much later.
	batchDelayFraction = 0.1
	// startupBatchDelay replaces that delay for startupPeriod after the first start of the
	// fleet, when all members register.
	startupBatchDelay = time.Second
	startupPeriod     = 8 * time.Second
	// maxValueBytes bounds the values but the configuration. Those of members and of instances are far
	// smaller.
	maxValueBytes = 64 << 10
	// expiryCheckInterval is the time between two checks for expired entries. It is a tenth of the
	// shortest expiry time.
	expiryCheckInterval = 250 * time.Millisecond
)

// errNoStartTime rejects an entry that lacks the start time which an earlier one had.
var errNoStartTime = errors.New("start time of the member is missing")

type (
	// Source is the part of the store that this package uses.
	Source interface {
		Snapshot(ctx context.Context, prefix string) ([]storer.Pair, int64, error)
		WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Pair, int64, error)
	}

	// Watcher watches the store. Set the exported fields, then call Run, which never calls
	// the callbacks concurrently.
	Watcher struct {
		Source Source
		Clock  func() tracker.Timestamp
		// MaxPropagationDelay is the maximum time until a change must be in force.
		MaxPropagationDelay time.Duration
		// ColdStart is set when the whole fleet starts for the first time.
		ColdStart bool
		// ConfigurationKey is the key of the configuration; the others are the key prefixes
		// of members, ownership records and instances.
		ConfigurationKey, MemberPrefix, OwnershipPrefix, InstancePrefix string
		// StatePrefix, if set, is the key prefix of the groups' states.
		StatePrefix string

		DecodeConfiguration func(value []byte) (*tracker.Configuration, error)
		DecodeMember        func(key string, value []byte, revision int64) (tracker.Member, error)

		// OnConfiguration is called with each newer version of the configuration.
		OnConfiguration func(*tracker.Configuration)
		// OnMembers is called with the members of each group that has changed, in no order. A
		// group without members has an empty list.
		OnMembers func(groups map[string][]tracker.Member)
		// OnOwnership is called with each changed ownership record and state of a group; Revision 0 of
		// an ownership record means that the group has no owner.
		OnOwnership func(storer.Pair)
		// OnInstance, if set, is called with each changed instance record.
		OnInstance func(storer.Pair)
		// OnApplied, if set, is called after all other callbacks of an update.
		OnApplied func()
		// Log writes a log line of alternating keys and values.
		Log func(fields ...any)
		// RequestState, if set, requests the changes after a revision from peers. It is called while
		// the store is unavailable to this instance.
		RequestState func(ctx context.Context, revision int64) (StoreState, error)
		// FollowsPeers, if set, reports whether this instance leaves the watching of the store to
		// peers, as long as RequestState returns updates of one that watches it.
		FollowsPeers func() bool

		// NeedsProofs, if set, reports whether updates of peers bring freshness proofs that this
		// instance uses; it then requests them more often.
		NeedsProofs func() bool
		// ListInstances, if set, reads the instance records of this region. With stale set, it is
		// a cheap call whose result may be some seconds old; otherwise it may be limited to this
		// instance's zone. OnListed is called after OnInstance was called with them.
		ListInstances func(ctx context.Context, stale bool) ([]storer.Pair, error)
		OnListed      func()
		// InstanceKey is the key of this instance's record.
		InstanceKey string

		// storeDown is set while the store is unavailable.
		storeDown atomic.Bool
		// readerSeen is the time of the last update from a peer that watches the store,
		// peerSeen that of the last update from any peer.
		readerSeen, peerSeen atomic.Int64
		// state is the state published by State.
		state atomic.Pointer[KnownState]
		// records holds the watched keys of the store as of revision.
		records  *recorder.Recorder
		revision int64
		// peerUpdateAt is the age-adjusted time of the last update from a peer.
		peerUpdateAt tracker.Timestamp
		// configurationVersion is the version of the last applied configuration.
		configurationVersion int64
		entries              map[string]*entry
		// groups holds the entries by group, and changedGroups those to pass to OnMembers. ending
		// holds the entries that are missing or leaving.
		groups        map[string]map[string]*entry
		changedGroups map[string]bool
		ending        map[string]*entry
		// ownershipExists reports, by key, whether an ownership record or a state exists.
		ownershipExists map[string]bool
		// storeOutage is set while reads of the store fail, outageEndedAt is when the last outage
		// ended.
		storeOutage   bool
		outageEndedAt tracker.Timestamp
		// storeSeenAt is when the store last answered. changedSince is the earliest time at
		// which the changes of the current update may have happened.
		storeSeenAt, changedSince tracker.Timestamp
		// storeSeen is storeSeenAt for other goroutines; 0 before the first answer.
		storeSeen atomic.Int64

		refreshOnce sync.Once
		refreshes   chan update
	}

	// entry is the registration of a member with its shutdown state.
	entry struct {
		tracker.Member
		// missingSince is when the entry was deleted, leavingSince when the member announced
		// its shutdown; 0 if it did not happen.
		missingSince, leavingSince tracker.Timestamp
		// disputed is the newest registration if its start time is smaller than the known one, and
		// disputedSince since when there was no other while the store was reachable; 0 if none.
		disputed      tracker.Member
		disputedSince tracker.Timestamp
	}

	// update is the result of a read of the store, or of a request to a peer.
	update struct {
		err error
		// snapshot is set if pairs holds all keys rather than changes.
		snapshot bool
		pairs    []storer.Pair
		// revision is the store revision that pairs reflects.
		revision int64
		// refreshed is set if pairs holds the registrations of members only; it receives the result.
		refreshed chan error
		// isListing is set if pairs holds instance records only; applied is then closed once
		// they have been applied.
		isListing bool
		applied   chan struct{}
		// isPeerUpdate is set for an update from another instance, peer, which had read it
		// from the store age ago.
		isPeerUpdate bool
		peer         string
		age          time.Duration
	}

	// StoreState is the state of the store as a peer has sent it.
	StoreState struct {
		// Pairs holds all watched keys. If Partial is set, it holds only the changed ones, with
		// revision 0 for deleted keys.
		Pairs    []storer.Pair
		Partial  bool
		Revision int64
		// ConfirmedAt is when the store last answered, on the local clock.
		ConfirmedAt tracker.Timestamp
		// Sender is the name of the peer that sent the state.
		Sender string
		// SenderIsReader is set if the sender watches the store, itself or through other
		// instances, and the store is available.
		SenderIsReader bool
	}

	// KnownState is the state of the store as this instance knows it.
	KnownState struct {
		// Records holds the watched keys, at Revision or newer.
		Records  *recorder.Recorder
		Revision int64
		// ConfirmedAt is when the store last answered, on the local clock.
		ConfirmedAt tracker.Timestamp
	}
)

// Run watches the store until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.entries, w.ownershipExists, w.records = map[string]*entry{}, map[string]bool{}, &recorder.Recorder{}
	w.groups, w.changedGroups, w.ending = map[string]map[string]*entry{}, map[string]bool{}, map[string]*entry{}
	w.storeDown.Store(true)
	updates := make(chan update)
	ended := make(chan error, 2)
	go func() { ended <- w.poll(ctx, updates) }()
	go func() { ended <- w.pollPeers(ctx, updates) }()
	var check <-chan time.Time
	for {
		// Without an entry that may expire, there is nothing to wake up for.
		if check == nil && len(w.ending) > 0 {
			check = time.After(expiryCheckInterval)
		}
		select {
		case u := <-updates:
			w.apply(u)
		case u := <-w.refreshChannel():
			u.refreshed <- w.applyRegistrations(u)
		case <-check:
			check = nil
			w.expireMembers()
		case err := <-ended:
			<-ended
			return err
		}
	}
}

// poll reads from the store and sends the results to updates.
func (w *Watcher) poll(ctx context.Context, updates chan<- update) error {
	var revision int64
	snapshot := true
	delay := minRetryDelay
	startedAt := w.Clock()
	if err := w.awaitPeerState(ctx, updates); err != nil {
		return err
	}
	for {
		if w.followsReader() {
			if err := sleeper.Sleep(ctx, minPeerPollInterval); err != nil {
				return err
			}
			revision, snapshot = w.revisionOfState(), false
			continue
		}
		var u update
		var next int64
		if snapshot {
			u.snapshot = true
			u.pairs, next, u.err = w.Source.Snapshot(ctx, "")
		} else {
			u.pairs, next, u.err = w.Source.WaitForChanges(ctx, "", revision, time.Duration(pollWaitFraction*float64(w.MaxPropagationDelay)))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(u.err, storer.ErrCompacted) {
			snapshot = true
			continue
		}
		w.storeDown.Store(u.err != nil)
		u.revision = next
		select {
		case updates <- u:
		case <-ctx.Done():
			return ctx.Err()
		}
		if u.err != nil {
			// The history may have been dropped during the outage, so a watch could miss
			// changes.
			snapshot = true
			if w.followsPeer() {
				delay = max(delay, time.Duration(followerRetryFraction*float64(w.MaxPropagationDelay)))
			}
			if err := sleeper.Sleep(ctx, delay/2+rand.N(delay/2)); err != nil {
				return err
			}
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		if snapshot || len(u.pairs) > 0 {
			revision = next
			if err := sleeper.Sleep(ctx, w.batchDelay(startedAt)); err != nil {
				return err
			}
		}
		snapshot = false
	}
}

// batchDelay returns how long to wait for further changes before the next call.
func (w *Watcher) batchDelay(startedAt tracker.Timestamp) time.Duration {
	if w.ColdStart && w.Clock()-startedAt < startupPeriod {
		return min(startupBatchDelay, w.MaxPropagationDelay/4)
	}
	return time.Duration(batchDelayFraction * float64(w.MaxPropagationDelay))
}

// apply applies an update of the store or a peer and calls the callbacks.
func (w *Watcher) apply(u update) {
	if u.err != nil {
		if !w.storeOutage {
			w.storeOutage = true
			w.Log("event", "dependency-lost", "dependency", "store", "cause", u.err)
		}
		return
	}
	w.clearOversized(u.pairs)
	if u.isListing {
		for _, p := range u.pairs {
			w.applyPair(p)
		}
		w.OnListed()
		close(u.applied)
		return
	}
	// Changes in a snapshot or from a peer may date back to the last answer of the store, so
	// timeouts must run from then.
	now := w.Clock()
	w.changedSince = now
	if (u.snapshot || u.isPeerUpdate) && w.storeSeenAt != 0 {
		w.changedSince = w.storeSeenAt
	}
	w.storeSeenAt = max(w.storeSeenAt, now-u.age)
	w.storeSeen.Store(int64(w.storeSeenAt))
	if u.isPeerUpdate {
		w.peerUpdateAt = now - u.age
		if u.revision <= w.revision {
			return
		}
		w.Log("event", "told", "by", u.peer, "revision", u.revision, "known", w.revision, "age-ms", u.age.Milliseconds(), "items", len(u.pairs))
	} else if w.storeOutage {
		w.storeOutage = false
		w.outageEndedAt = now
		w.Log("event", "dependency-regained", "dependency", "store")
	}
	w.applyInOrder(u.pairs)
	if u.snapshot {
		w.applySnapshotDeletions(u.pairs)
	}
	w.notifyMembers()
	w.updateState(u)
	if w.OnApplied != nil {
		w.OnApplied()
	}
}

// clearOversized empties the values that only another writer can have added, and which are thus
// rejected. Peers could not receive a state that holds two of the largest ones.
func (w *Watcher) clearOversized(pairs []storer.Pair) {
	for n, p := range pairs {
		if len(p.Value) > maxValueBytes && p.Key != w.ConfigurationKey {
			w.Log("event", "value-too-large", "key", p.Key, "revision", p.Revision, "bytes", len(p.Value))
			pairs[n].Value = nil
		}
	}
}

// applyInOrder applies changes in the order in which a starting instance needs them: the
// configuration, the members, and then the ownership and instance records, of which a whole state
// has most. The states of groups precede the ownership records, as an owner's record shows that
// the states of earlier owners have been applied.
func (w *Watcher) applyInOrder(pairs []storer.Pair) {
	for _, phase := range []func(key string) bool{
		func(key string) bool { return key == w.ConfigurationKey },
		func(key string) bool { return strings.HasPrefix(key, w.MemberPrefix) },
		w.isState,
		func(string) bool { return true },
	} {
		rest := pairs[:0:0]
		for _, p := range pairs {
			if phase(p.Key) {
				w.applyPair(p)
			} else {
				rest = append(rest, p)
			}
		}
		pairs = rest
	}
}

// applyPair applies the change of one key.
func (w *Watcher) applyPair(p storer.Pair) {
	switch {
	case p.Key == w.ConfigurationKey:
		w.applyConfiguration(p)
	case strings.HasPrefix(p.Key, w.OwnershipPrefix), w.isState(p.Key):
		w.ownershipExists[p.Key] = p.Revision > 0
		w.OnOwnership(p)
	case strings.HasPrefix(p.Key, w.MemberPrefix):
		w.applyMember(p)
	case w.OnInstance != nil && strings.HasPrefix(p.Key, w.InstancePrefix):
		w.OnInstance(p)
	}
}

func (w *Watcher) applyConfiguration(p storer.Pair) {
	if p.Revision == 0 {
		return
	}
	c, err := w.DecodeConfiguration(p.Value)
	if err != nil {
		w.Log("event", "configuration-rejected", "revision", p.Revision, "cause", err)
		return
	}
	if c.Version <= w.configurationVersion {
		return
	}
	w.configurationVersion = c.Version
	w.Log("event", "configuration", "version", c.Version, "revision", p.Revision, "routes", len(c.Routes))
	w.OnConfiguration(c)
}
