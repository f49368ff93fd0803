package elector

import (
	"context"
	"time"
)

// This file holds the methods that a supervisor calls on an owned group.

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
	r := decodeOrEmpty(e.ownership(o.group).record.Value)
	return State{Members: r.Members, PromotionPending: r.PromotionPending, Leader: Leadership{ID: r.Leader, StartTime: r.LeaderStartTime, Term: r.Term}}
}

// NextFencingToken records the group's state and returns the record's new revision as the
// fencing token, which exceeds every token used before. If the store does not respond, the
// last token is reused unless an order sent with it is unanswered.
func (o *Ownership) NextFencingToken(ctx context.Context, s State) (int64, error) {
	e := o.elector
	e.mutex.Lock()
	p, lease, unanswered := e.ownership(o.group).record, e.lease, e.ownership(o.group).promotionUnanswered
	e.mutex.Unlock()
	old := p.Revision
	r := decodeOrEmpty(p.Value)
	r.Members, r.PromotionPending = s.Members, s.PromotionPending
	r.Leader, r.LeaderStartTime, r.Term = s.Leader.ID, s.Leader.StartTime, s.Leader.Term
	p.Value = e.encode(r, lease)
	now, ok, err := e.Store.Swap(ctx, p, lease)
	if err != nil {
		if unanswered || old == 0 || !o.Holds(0) {
			return 0, err
		}
		e.Log("event", "fence-reused", "group", o.group, "fence", old, "cause", err)
		return old, nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	g := e.ownership(o.group)
	if now.Revision > g.record.Revision {
		e.applyRecord(g, now)
	}
	if !ok && decodeOrEmpty(now.Value).Owner != e.Name {
		return 0, errNotOwner
	}
	g.promotionUnanswered = false
	return now.Revision, nil
}

// MarkPromotionUnanswered notes that an order sent with the newest fencing token is unanswered.
func (o *Ownership) MarkPromotionUnanswered() {
	e := o.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ownership(o.group).promotionUnanswered = true
}
