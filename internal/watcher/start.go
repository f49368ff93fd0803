package watcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/storer"
)

const (
	// firstListingDelay lets all instances register when the whole fleet starts for the first
	// time, before they select those that read the store. listingInterval is the time between
	// two listings, and maxFirstListings bounds them; the last one is not stale.
	firstListingDelay = 1500 * time.Millisecond
	listingInterval   = time.Second
	maxFirstListings  = 3
	// peerStatePatience is how long a starting instance waits for the state from its peers, which
	// may be starting as well, before it reads the store itself.
	peerStatePatience = 3 * time.Second
	// peerStateCheckInterval is the time between two checks for the state.
	peerStateCheckInterval = 50 * time.Millisecond
)

// awaitPeerState lets a starting instance get the state from peers. It reads the records of the
// instances of its region only, since a fleet that restarts would otherwise read its whole state
// from the store once for each instance.
func (w *Watcher) awaitPeerState(ctx context.Context, updates chan<- update) error {
	if w.ListInstances == nil {
		return nil
	}
	if w.ColdStart {
		w.OnListed()
		if err := sleeper.Sleep(ctx, firstListingDelay+rand.N(firstListingDelay/4)); err != nil {
			return err
		}
	}
	for n := 0; ; n++ {
		done, err := w.listInstances(ctx, updates, n+1 < maxFirstListings)
		if err != nil {
			return err
		}
		if done || !w.ColdStart || n+1 >= maxFirstListings {
			break
		}
		if err := sleeper.Sleep(ctx, listingInterval/2+rand.N(listingInterval/2)); err != nil {
			return err
		}
	}
	until := w.Clock() + peerStatePatience + rand.N(peerStatePatience/2)
	for w.followsPeersNow() && !w.followsReader() && w.Clock() < until {
		if err := sleeper.Sleep(ctx, peerStateCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// listInstances reads the instance records and passes them on. It reports whether there is no
// need to read them again: they include this instance's own, so they are not too old, or the store
// doesn't answer. The error is that of the context.
func (w *Watcher) listInstances(ctx context.Context, updates chan<- update, stale bool) (bool, error) {
	pairs, err := w.ListInstances(ctx, stale)
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	if err != nil {
		w.Log("event", "instances-not-listed", "cause", err)
		return true, nil
	}
	applied := make(chan struct{})
	select {
	case updates <- update{isListing: true, pairs: pairs, applied: applied}:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	select {
	case <-applied:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	includesOwn := slices.ContainsFunc(pairs, func(p storer.Pair) bool { return p.Key == w.InstanceKey })
	w.Log("event", "instances-listed", "instances", len(pairs), "own", includesOwn, "stale", stale)
	return includesOwn, nil
}

func (w *Watcher) followsPeersNow() bool { return w.FollowsPeers != nil && w.FollowsPeers() }
