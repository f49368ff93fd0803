package watcher

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// peerPollStartDelay gives the store time to answer first after a start.
	peerPollStartDelay = 60 * time.Millisecond
	// initialPeerPollInterval is the time between two requests to peers before the first
	// update. Afterwards it is MaxPropagationDelay times peerPollFraction within the bounds.
	// A change passes through a few instances, each of which adds up to an interval.
	initialPeerPollInterval = 60 * time.Millisecond
	minPeerPollInterval     = 500 * time.Millisecond
	maxPeerPollInterval     = time.Second
	peerPollFraction        = 0.125
	// missedPolls is how many poll intervals after the last update from a peer it no longer
	// counts as an answer of the store, and an instance resumes reading the store itself.
	missedPolls = 3
)

// pollPeers requests updates from peers while the store is unavailable, or while they watch
// it for this instance.
func (w *Watcher) pollPeers(ctx context.Context, updates chan<- update) error {
	delay := peerPollStartDelay
	for {
		if err := sleeper.Sleep(ctx, delay); err != nil {
			return err
		}
		delay = initialPeerPollInterval
		followsPeers := w.FollowsPeers != nil && w.FollowsPeers() && w.state.Load() != nil
		if !w.storeDown.Load() && !followsPeers || w.RequestState == nil {
			continue
		}
		if w.state.Load() != nil {
			delay = w.peerPollInterval()
		}
		n, err := w.RequestState(ctx, w.revisionOfState())
		if err != nil {
			continue // poll logs the loss of the store, and RequestState that of a peer
		}
		w.peerSeen.Store(int64(w.Clock()))
		if n.SenderIsReader {
			w.readerSeen.Store(int64(w.Clock()))
		}
		u := update{isPeerUpdate: true, snapshot: !n.Partial, peer: n.Sender, pairs: n.Pairs, revision: n.Revision, age: max(0, w.Clock()-n.ConfirmedAt)}
		select {
		case updates <- u:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// peerPollInterval returns the time between two requests to peers.
func (w *Watcher) peerPollInterval() time.Duration {
	if w.NeedsProofs == nil || w.NeedsProofs() {
		return minPeerPollInterval
	}
	return min(max(time.Duration(peerPollFraction*float64(w.MaxPropagationDelay)), minPeerPollInterval), maxPeerPollInterval)
}

// followsReader reports whether a peer currently watches the store for this instance, which
// saves calls against the store. It no longer does once updates of a peer that reaches the store
// are missing.
func (w *Watcher) followsReader() bool { return w.followsSince(&w.readerSeen) }

// followsPeer reports whether a peer can report that the store is available again, so that
// not every instance has to retry at the full rate.
func (w *Watcher) followsPeer() bool { return w.followsSince(&w.peerSeen) }

// followsSince reports whether this instance follows peers and the last update, at seen, is
// recent.
func (w *Watcher) followsSince(seen *atomic.Int64) bool {
	at := tracker.Timestamp(seen.Load())
	return w.FollowsPeers != nil && w.FollowsPeers() && at != 0 && w.Clock()-at < missedPolls*w.peerPollInterval()
}

// revisionOfState returns the store revision of the known state.
func (w *Watcher) revisionOfState() int64 {
	if n := w.state.Load(); n != nil {
		return n.Revision
	}
	return 0
}

// updateState publishes the state of the store for requests of peers.
func (w *Watcher) updateState(u update) {
	if u.revision < w.revision {
		return
	}
	watched := make([]storer.Pair, 0, len(u.pairs))
	for _, p := range u.pairs {
		if w.isWatchedKey(p.Key) {
			watched = append(watched, p)
		}
	}
	w.records.Apply(watched, u.revision, u.snapshot)
	w.revision = u.revision
	w.state.Store(&KnownState{Records: w.records, Revision: u.revision, ConfirmedAt: w.storeSeenAt})
}

func (w *Watcher) isWatchedKey(key string) bool {
	return key == w.ConfigurationKey || strings.HasPrefix(key, w.MemberPrefix) || strings.HasPrefix(key, w.OwnershipPrefix) ||
		w.isState(key) || w.OnInstance != nil && strings.HasPrefix(key, w.InstancePrefix)
}

// isState reports whether a key holds the state of a group.
func (w *Watcher) isState(key string) bool {
	return w.StatePrefix != "" && strings.HasPrefix(key, w.StatePrefix)
}

// FollowsReader reports whether a peer currently watches the store for this instance. It is safe
// for concurrent use.
func (w *Watcher) FollowsReader() bool { return w.followsReader() }

// IsReader reports whether this instance watches the store itself and the store is available.
func (w *Watcher) IsReader() bool { return !w.storeDown.Load() && !w.followsReader() }

// StoreAvailable reports whether the store is available to this instance or to a peer that watches
// it for this instance. It is safe for concurrent use.
func (w *Watcher) StoreAvailable() bool { return !w.storeDown.Load() || w.followsReader() }

// Current reports whether the known state was confirmed by the store within MaxPropagationDelay,
// directly or through a peer. It is safe for concurrent use.
func (w *Watcher) Current() bool {
	at := tracker.Timestamp(w.storeSeen.Load())
	return at != 0 && w.Clock()-at <= w.MaxPropagationDelay
}

// State returns the known state of the store, nil before the first read. It is safe for
// concurrent use.
func (w *Watcher) State() *KnownState { return w.state.Load() }
