package elector

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// This file holds the methods that a supervisor calls on an owned group.

// errRecordChanged means that the stored record or state was not the one that this instance knew,
// as after an earlier write whose response was lost. Nothing was recorded.
var errRecordChanged = errors.New("record of the group has changed")

// Holds reports whether the ownership is certain to last for the given time.
func (o *Ownership) Holds(d time.Duration) bool {
	e := o.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.ownership(o.group).held && e.Clock()+d+leaseSafetyMargin < e.leaseExpiry
}

// State returns the group's last recorded state.
func (o *Ownership) State() State {
	e := o.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return stateOrEmpty(e.ownership(o.group).state.Value)
}

// StateStored reports whether the store holds State. Otherwise another writer has replaced it, and an
// instance that starts would know nothing of it.
func (o *Ownership) StateStored() bool {
	e := o.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return !e.ownership(o.group).stateLost
}

// StateConfirmed reports whether State includes everything that earlier owners have recorded. It
// may lack their last records for as long as the watch of the store is behind.
func (o *Ownership) StateConfirmed() bool {
	e := o.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.ownership(o.group).stateConfirmed()
}

func (g *groupOwnership) stateConfirmed() bool {
	return g.stateRead || g.watchedRevision >= g.acquiredRevision
}

// ReadState reads the state from the store, and reports whether it differs from the one known.
func (o *Ownership) ReadState(ctx context.Context) (changed bool, err error) {
	e := o.elector
	p, err := e.Store.Get(ctx, StatePrefix+o.group)
	if err != nil {
		return false, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	g := e.ownership(o.group)
	changed = p.Revision != g.state.Revision
	if changed {
		e.applyState(g, p)
	}
	g.stateRead = true
	return changed, nil
}

// NextFencingToken records the group's state and returns the revision of the record as the
// fencing token, which exceeds every token used before. There is none if the store does not respond:
// an order that isn't recorded could be executed after its owner's lease has ended, and the next owner
// would not fence it off.
func (o *Ownership) NextFencingToken(ctx context.Context, s State) (int64, error) {
	e := o.elector
	e.mutex.Lock()
	g := e.ownership(o.group)
	record, state, lease := g.record, g.state, e.lease
	g.resolveListed(e.Instance)
	g.leases.listedKnown = true
	// Without a response it isn't known whether the store holds the new candidates or the old ones. If the
	// old state names none, any instance may count itself as one.
	if len(g.leases.candidates) > 0 {
		g.leases.candidates = union(g.leases.candidates, s.Candidates)
	}
	e.mutex.Unlock()
	record.Value, state.Value = e.encodeOwnership(lease), encodeState(s)
	now, ok, err := e.Store.Commit(ctx, []storer.Swap{{Pair: record, Lease: lease}, {Pair: state}})
	if err != nil {
		return 0, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now[0].Revision > g.record.Revision {
		e.applyRecord(g, now[0])
	}
	if now[1].Revision > g.state.Revision || !ok && now[1].Revision != g.state.Revision {
		e.applyState(g, now[1])
	}
	switch {
	case ok:
		g.leases.candidates = s.Candidates
		return now[0].Revision, nil
	case ownershipOrEmpty(now[0].Value).Owner != e.Name:
		return 0, errNotOwner
	}
	return 0, errRecordChanged
}

// union returns the names that are in either list, sorted.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
