package elector

import (
	"context"
	"time"
)

// This file is what a keeper may do with the duty that its elector holds.

// Holds reports whether the duty is surely held for that much longer.
func (d *Duty) Holds(more time.Duration) bool {
	e := d.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.duty(d.group).held && e.Clock()+more+leaseMargin < e.until
}

// Facts returns what was recorded last.
func (d *Duty) Facts() Facts {
	e := d.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := decode(e.duty(d.group).record.Value)
	return Facts{Members: r.Members, Open: r.Open, Lead: Lead{ID: r.Leader, Born: r.LeaderBorn, Term: r.Term}}
}

// Fence records facts and returns the record's new revision, which is above every
// fence used before: by other holders, and by this one in a call that may still be
// carried out. While the store doesn't answer, the fence of the last record serves, if
// no call under it is open.
func (d *Duty) Fence(ctx context.Context, f Facts) (int64, error) {
	e := d.elector
	e.mutex.Lock()
	p, lease, spent := e.duty(d.group).record, e.lease, e.duty(d.group).spent
	e.mutex.Unlock()
	old := p.Revision
	r := decode(p.Value)
	r.Members, r.Open = f.Members, f.Open
	r.Leader, r.LeaderBorn, r.Term = f.Lead.ID, f.Lead.Born, f.Lead.Term
	p.Value = e.encode(r, lease)
	now, ok, err := e.Store.Swap(ctx, p, lease)
	if err != nil {
		if spent || old == 0 || !d.Holds(0) {
			return 0, err
		}
		e.Log("event", "fence-reused", "group", d.group, "fence", old, "cause", err)
		return old, nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	x := e.duty(d.group)
	if now.Revision > x.record.Revision {
		e.learn(x, now)
	}
	if !ok && decode(now.Value).Holder != e.Name {
		return 0, errNotHeld
	}
	x.spent = false
	return now.Revision, nil
}

// Spend notes that an order under the newest fence got no answer.
func (d *Duty) Spend() {
	e := d.elector
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.duty(d.group).spent = true
}
