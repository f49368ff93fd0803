package elector

import (
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file grants commit leases. An instance acknowledges a group's commits to its callers only under
// a lease for the primary's term. The owner doesn't replace a primary that it can't demote before all
// leases for that term have expired: the primary may still be reached by instances that the owner and
// the store don't reach, and a replica that joins lets it acknowledge commits to them.
//
// Leases come from the owner or, if it doesn't respond, from the group's recorded state, which says when
// they are suspended.

const (
	// CommitLeaseTTL is how long a lease lasts, from when it was requested.
	CommitLeaseTTL = 500 * time.Millisecond
	// commitLeaseMargin is left after a lease's end for acknowledgements that are being sent.
	commitLeaseMargin = 100 * time.Millisecond
	// certaintyPeriod is for how long after a renewal of the ownership's lease an owner grants leases on its
	// own. It allows for a late renewal; the lease itself lasts longer, but a new owner waits for the end
	// of this period, since the record of the ownership may be removed early.
	certaintyPeriod = 1100 * time.Millisecond
	// renewalGrace is how late a renewal may be before the candidates are asked.
	renewalGrace = 100 * time.Millisecond
	// denialMaxAge is how long a candidate's reply that it knows of no later owner is used.
	denialMaxAge = 600 * time.Millisecond
	// lapsedLeaseLimit is how long an instance that lost a group because the store didn't respond grants
	// leases for it, as long as no candidate owns it. An instance that isn't among the candidates waits
	// as long before it replaces a primary that it can't demote.
	lapsedLeaseLimit = time.Minute
	// candidateRankBonus is by how many ranks candidates come before other instances in acquiring a
	// group, since these wait longer before they replace a primary that they can't demote.
	candidateRankBonus = 8
)

// LeaseRefusal is why no lease is granted.
type LeaseRefusal uint8

const (
	LeaseGranted LeaseRefusal = iota
	// LeaseNotOwner means that the instance doesn't own the group.
	LeaseNotOwner
	// LeaseUncertain means that the instance may have lost the group.
	LeaseUncertain
	// LeasePrimarySuspected means that the primary may be about to be replaced, or that there is none.
	LeasePrimarySuspected
)

// LeaseReply is the reply to a request for a commit lease.
type LeaseReply struct {
	Refusal LeaseRefusal
	// Term is that of the primary, if the lease is granted.
	Term uint64
	// Owner is the name of the process that owns the group or was the last to own it, as far as the
	// instance knows; "" if it doesn't know any.
	Owner string
}

// leaseGrants is what an instance has granted for a group.
type leaseGrants struct {
	// term is that of the primary, 0 while leases are suspended.
	term uint64
	// grantedAt is when a lease was last granted, acquiredAt when the group was acquired.
	grantedAt, acquiredAt tracker.Timestamp
	// listed is set if the state of the previous owner names this instance as a candidate, or none;
	// listedKnown is set once that is known.
	listed, listedKnown bool
	// lapsedAt is when this instance lost the group, 0 if another one has acquired it since.
	lapsedAt tracker.Timestamp
	// candidates are the instances that the recorded state may name as the next owners, this one
	// included; states of earlier versions name none.
	candidates []string
}

// GrantLease grants a commit lease for a group.
func (e *Elector) GrantLease(group string) LeaseReply {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	o, ok := e.ownerships[group]
	if !ok {
		return LeaseReply{Refusal: LeaseNotOwner}
	}
	r := LeaseReply{Owner: ownershipOrEmpty(o.record.Value).Owner}
	now := e.Clock()
	switch {
	case !o.held && o.leases.lapsedAt == 0:
		r.Refusal = LeaseNotOwner
	case !e.certain(o, now) && !e.unclaimed(group, o, now):
		r.Refusal = LeaseUncertain
	case o.leases.term == 0:
		r.Refusal = LeasePrimarySuspected
	default:
		r.Term, o.leases.grantedAt = o.leases.term, now
	}
	return r
}

// certain reports whether the ownership's lease was renewed recently enough for leases to be granted
// without asking the candidates; the mutex is held.
func (e *Elector) certain(o *groupOwnership, now tracker.Timestamp) bool {
	return o.held && now-(e.leaseExpiry-leaseTTL) < certaintyPeriod
}

// unclaimed reports whether every candidate has recently replied that it knows of no later owner. The
// group then has none that replaces a primary without demoting it, since a new owner waits until the
// leases of its predecessor have expired. The mutex is held.
func (e *Elector) unclaimed(group string, o *groupOwnership, now tracker.Timestamp) bool {
	lapsedAt := o.leases.lapsedAt
	if o.held {
		lapsedAt = e.leaseExpiry
	}
	if e.DeniedAt == nil || len(o.leases.candidates) == 0 || now-lapsedAt > lapsedLeaseLimit {
		return false
	}
	for _, name := range o.leases.candidates {
		if name != e.Instance && now-e.DeniedAt(name, group) > denialMaxAge {
			return false
		}
	}
	return true
}

// UncertainGroups returns the groups for which this instance may grant leases only while the candidates
// reply that they don't own them, with these candidates.
func (e *Elector) UncertainGroups() map[string][]string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock()
	// Asked in time for the replies to be there when the leases need them.
	soon := now + certaintyPeriod - leaseRenewInterval - renewalGrace
	groups := map[string][]string{}
	for g, o := range e.ownerships {
		if o.held && !e.certain(o, soon) || o.leases.lapsedAt != 0 && now-o.leases.lapsedAt <= lapsedLeaseLimit {
			groups[g] = slices.Clone(o.leases.candidates)
		}
	}
	return groups
}

// LastOwner returns the name of the process that owns a group or was the last to own it, "" if unknown.
func (e *Elector) LastOwner(group string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	o, ok := e.ownerships[group]
	if !ok {
		return ""
	}
	return ownershipOrEmpty(o.record.Value).Owner
}

// LeaseFromState returns the term for which a group's state, as read from the store, allows leases.
func LeaseFromState(value []byte) (term uint64, refusal LeaseRefusal) {
	s, err := parseState(value)
	if err != nil {
		return 0, LeaseUncertain
	}
	if s.LeasesSuspended || s.PromotionPending || s.Leader.Term == 0 {
		return 0, LeasePrimarySuspected
	}
	return s.Leader.Term, LeaseGranted
}

// inheritedUntil returns when the leases of earlier owners have expired; the mutex is held.
func (o *groupOwnership) inheritedUntil(instance string) tracker.Timestamp {
	o.resolveListed(instance)
	if !o.leases.listed {
		return o.leases.acquiredAt + lapsedLeaseLimit + CommitLeaseTTL + commitLeaseMargin
	}
	return o.leases.acquiredAt + certaintyPeriod + CommitLeaseTTL + commitLeaseMargin
}

// resolveListed determines whether the previous owner's state names an instance as a candidate, as long
// as this one hasn't recorded its own; the mutex is held.
func (o *groupOwnership) resolveListed(instance string) {
	if o.leases.listedKnown {
		return
	}
	candidates := stateOrEmpty(o.state.Value).Candidates
	o.leases.listed = len(candidates) == 0 || slices.Contains(candidates, instance)
	o.leases.listedKnown = o.stateConfirmed()
}

// AllowLeases lets instances have leases for the term of the primary.
func (o *Ownership) AllowLeases(term uint64) {
	o.update(func(g *groupOwnership) { g.leases.term = term })
}

// SuspendLeases ends the granting of leases and returns when all granted so far have expired.
func (o *Ownership) SuspendLeases() (expiry tracker.Timestamp) {
	o.update(func(g *groupOwnership) {
		g.leases.term = 0
		expiry = g.inheritedUntil(o.elector.Instance)
		if g.leases.grantedAt != 0 {
			expiry = max(expiry, g.leases.grantedAt+CommitLeaseTTL+commitLeaseMargin)
		}
	})
	return expiry
}

// update changes the state of the ownership unless it has ended and the group was acquired again.
func (o *Ownership) update(change func(*groupOwnership)) {
	e := o.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if g := e.ownership(o.group); g.acquiredRevision == o.acquiredRevision {
		change(g)
	}
}
