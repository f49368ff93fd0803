package elector

import (
	"context"
	"time"
)

// This file holds the methods that a keeper calls on an owned group.

// Holds reports whether the ownership is certain to last for the given time.
func (d *Duty) Holds(more time.Duration) bool {
	e := d.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.ownership(d.group).held && e.Clock()+more+leaseSafetyMargin < e.leaseExpiry
}

// Facts returns the group's last recorded state.
func (d *Duty) Facts() Facts {
	e := d.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := decodeOrEmpty(e.ownership(d.group).record.Value)
	return Facts{Members: r.Members, Open: r.Open, Lead: Lead{ID: r.Leader, Born: r.LeaderBorn, Term: r.Term}}
}

// Fence records the group's state and returns the record's new revision as the fencing token,
// which exceeds every token used before. If the store does not respond, the last token is
// reused unless an order sent with it is unanswered.
func (d *Duty) Fence(ctx context.Context, f Facts) (int64, error) {
	e := d.elector
	e.mutex.Lock()
	p, lease, unanswered := e.ownership(d.group).record, e.lease, e.ownership(d.group).promotionUnanswered
	e.mutex.Unlock()
	old := p.Revision
	r := decodeOrEmpty(p.Value)
	r.Members, r.Open = f.Members, f.Open
	r.Leader, r.LeaderBorn, r.Term = f.Lead.ID, f.Lead.Born, f.Lead.Term
	p.Value = e.encode(r, lease)
	now, ok, err := e.Store.Swap(ctx, p, lease)
	if err != nil {
		if unanswered || old == 0 || !d.Holds(0) {
			return 0, err
		}
		e.Log("event", "fence-reused", "group", d.group, "fence", old, "cause", err)
		return old, nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	o := e.ownership(d.group)
	if now.Revision > o.record.Revision {
		e.applyRecord(o, now)
	}
	if !ok && decodeOrEmpty(now.Value).Holder != e.Name {
		return 0, errNotOwner
	}
	o.promotionUnanswered = false
	return now.Revision, nil
}

// Spend notes that an order sent with the newest fencing token is unanswered.
func (d *Duty) Spend() {
	e := d.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ownership(d.group).promotionUnanswered = true
}
