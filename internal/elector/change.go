package elector

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/pauser"
)

const (
	// leadTimeout is how long a promotion may take to show: the users' members take
	// 600 to 1,000 ms.
	leadTimeout = 4 * time.Second
	// leadInterval is how often the promoted member is asked meanwhile.
	leadInterval = 40 * time.Millisecond
	// changeTime is how long the duty must still be held when a change begins: for its
	// questions and the first order.
	changeTime = time.Second
	// lateOrders is how long an order without an answer may still be carried out:
	// members do it up to 12 s later.
	lateOrders = 13 * time.Second
	// catchUpTime is how long a candidate may take to reach the log of a primary that
	// has stepped down: a few network trips. Nobody writes meanwhile.
	catchUpTime = 300 * time.Millisecond
	// closeTime is how long no change begins after an order that named the present
	// primary. The platform carries it out when a promotion's time has passed, and then
	// it does promote if the member leads no more: a change that had its primary step
	// down in between was undone, its replicas resumed, and a commit was lost.
	closeTime = 1500 * time.Millisecond
	// moveBackPause is how long a primary that nobody could follow keeps the lead: each
	// try costs its callers a promotion's time without writes.
	moveBackPause = 3 * time.Second
	// pauseRounds bounds how often members that have joined meanwhile are paused.
	pauseRounds = 5
)

var (
	errNoProof = errors.New("not every replica answers: an acknowledged commit might be lost")
	// errOnlyPrimary holds where commits are acknowledged without a replica.
	errOnlyPrimary = errors.New("only the primary surely has every acknowledged commit")
	errNoMember    = errors.New("no member to promote")
	errNotHeld     = errors.New("duty is not surely held")
	errNotLead     = errors.New("the promoted member does not lead")
	errUncertain   = errors.New("a replica may be resumed by an order sent before")
	errJoining     = errors.New("members keep joining")
	errRestarted   = errors.New("a member has started again")
	errReasonEnded = errors.New("the reason has ended")
)

// move is one change of the lead under way.
type move struct {
	// old is the primary if it answers, nil otherwise.
	old *link
	to  *link
	// replicas are those that can be promoted or must be paused, the best candidate first.
	replicas []*link
	// unproved is why the replicas might lack an acknowledged commit, nil when they don't.
	unproved error
	// term is the one that the new primary will lead.
	term  uint64
	fence int64
}

// change moves the lead to the member that holds every acknowledged commit.
//
// A commit is acknowledged once a replica has received it. An old primary that
// answers steps down first. Then nothing more is acknowledged, and a member whose log
// reaches the old primary's holds everything. Moving the lead without it, with all
// replicas but the candidate paused, has no gap for writers, but a replica that joins
// meanwhile can acknowledge a commit which is still on its way to the candidate, and
// callers lose it.
//
// When no member reaches the old primary's log, or it doesn't answer, all replicas
// have to be read: what was acknowledged is on one of them, so it is on the one with
// the furthest log once none receives any more.
func (k *Keeper) change(ctx context.Context, v View, why Reason) (string, error) {
	m, err := k.plan(v, why)
	if err != nil {
		return "", err
	}
	fence, err := k.Fence(ctx, Facts{Members: k.roster(), Open: true, Lead: k.led})
	if err != nil {
		return "", errors.Wrap(err, "fence")
	}
	if k.Clock()-v.Now > observeInterval {
		if m, err = k.replan(ctx); err != nil {
			// The record says that an order may come, and none was sent.
			k.unrecorded = true
			return "", err
		}
	}
	m.fence = fence
	if err := k.choose(ctx, m); err != nil {
		return "", err
	}
	return m.to.ID, k.lead(ctx, m)
}

// plan says how the lead would move.
func (k *Keeper) plan(v View, why Reason) (*move, error) {
	if !k.Holds(changeTime) {
		return nil, errNotHeld
	}
	m := &move{}
	if p := k.links[v.Primary]; p != nil && p.Answered && p.Status.Primary {
		m.old = p
	}
	replicas, term := k.replicas(v, m.old != nil, why)
	if len(replicas) == 0 {
		return nil, errNoMember
	}
	m.replicas, m.to, m.term = replicas, replicas[0], term+1
	m.unproved = k.accounted(replicas)
	if m.unproved == nil && k.Synchronous() == 0 && m.old != nil {
		m.unproved = errOnlyPrimary
	}
	if m.unproved != nil && (m.old == nil || !slices.ContainsFunc(replicas, k.candidate)) {
		return nil, m.unproved
	}
	return m, nil
}

// replan looks again after a store that was slow: a primary that has come back, or moved
// on, is left in place. From the next step on the change must end in a primary.
func (k *Keeper) replan(ctx context.Context) (*move, error) {
	v := k.observe(ctx)
	d := Decide(v)
	if d.Move == ReasonNone {
		return nil, errReasonEnded
	}
	return k.plan(v, d.Move)
}

// candidate reports whether a member could reach the log of a primary that steps down.
func (k *Keeper) candidate(l *link) bool {
	return l.Answered && !l.Leaving && l.PausedSince == 0 && !l.standsStill(k.Clock())
}

// choose sees to it that the member to promote holds every acknowledged commit.
func (k *Keeper) choose(ctx context.Context, m *move) error {
	if m.old == nil {
		return k.gather(ctx, m)
	}
	if err := k.stepDown(ctx, m); err != nil {
		return err
	}
	reached, err := k.catchUp(ctx, m)
	switch {
	case err != nil || reached:
		return err
	case m.unproved != nil:
		k.moveBack(m, m.unproved)
		return nil
	}
	if err := k.gather(ctx, m); err != nil {
		k.moveBack(m, err)
	}
	return ctx.Err()
}

// moveBack has a primary that has stepped down lead again: it holds every acknowledged
// commit. Without it, the group would have no primary until that is noticed.
func (k *Keeper) moveBack(m *move, cause error) {
	k.Log("event", "nobody-caught-up", "group", k.Group.Name, "need", m.old.Status.Received, "cause", cause)
	m.to, k.movedBack = m.old, k.Clock()
}

// catchUp waits for a candidate to reach the log of the old primary.
func (k *Keeper) catchUp(ctx context.Context, m *move) (bool, error) {
	i := slices.IndexFunc(m.replicas, k.candidate)
	if i < 0 {
		return false, nil
	}
	m.to = m.replicas[i]
	until := time.Now().Add(catchUpTime)
	for !m.to.Status.Received.AtLeast(m.old.Status.Received) {
		if time.Now().After(until) {
			return false, nil
		}
		if err := pauser.Pause(ctx, leadInterval); err != nil {
			return false, err
		}
		k.ask(ctx, m.to)
	}
	return true, nil
}

// stepDown has the old primary lead no more.
func (k *Keeper) stepDown(ctx context.Context, m *move) error {
	s, err := k.command(ctx, m.old, messenger.Command{Kind: messenger.KindStepDown, Term: m.term})
	if err != nil {
		return errors.Wrap(err, "step down")
	}
	m.old.noted(k.Clock(), s)
	k.Log("event", "stepped-down", "group", k.Group.Name, "member", m.old.ID, "term", m.term, "position", s.Received, "primary", s.Primary)
	if s.Primary {
		return errors.Errorf("%s did not step down", m.old.ID)
	}
	return nil
}

// replicas returns the members that can be promoted or must be paused, the best
// candidate first, and the newest term seen. While the primary lives, every replica
// that receives is as good as another, and the least late one is best; else the one
// with the furthest log is. An overloaded primary is best relieved by a replica that is
// too late to answer reads: leading, it needs no log of another's, and the old primary
// answers reads in its place.
func (k *Keeper) replicas(v View, alive bool, why Reason) ([]*link, uint64) {
	var term uint64
	var list []*link
	for _, m := range v.Members {
		term = max(term, m.Status.Term, m.Status.Received.Term)
		l := k.links[m.ID]
		// A primary that has stepped down is a replica like the others.
		if (m.ID != v.Primary || m.Answered && !m.Status.Primary) && !k.countedOut[m.ID] {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *link) int {
		if a.Leaving != b.Leaving {
			if a.Leaving {
				return 1
			}
			return -1
		}
		if now := k.Clock(); alive && !a.standsStill(now) && !b.standsStill(now) {
			if a.late() != b.late() && why == ReasonOverloaded {
				return cmp.Compare(b.Status.LagMillis, a.Status.LagMillis)
			}
			return int(a.Status.LagMillis - b.Status.LagMillis)
		}
		return b.Status.Received.Compare(a.Status.Received)
	})
	return list, term
}

// accounted reports whether every replica that may hold an acknowledged commit
// answers.
func (k *Keeper) accounted(replicas []*link) error {
	if k.Synchronous() == 0 {
		return nil
	}
	for _, l := range replicas {
		if !l.Answered {
			return errors.Wrapf(errNoProof, "%s", l.ID)
		}
		if k.Clock() < k.uncertain[l.ID] {
			return errors.Wrapf(errUncertain, "%s", l.ID)
		}
	}
	return nil
}

// roster lists the members whose logs count, with their addresses.
func (k *Keeper) roster() map[string]string {
	all := map[string]string{}
	for id, l := range k.links {
		if !k.countedOut[id] {
			all[id] = l.Address
		}
	}
	return all
}

// lead orders the promotion and waits until it shows.
func (k *Keeper) lead(ctx context.Context, m *move) error {
	until := time.Now().Add(leadTimeout)
	ordered := false
	for time.Now().Before(until) {
		if !k.Holds(askTimeout) {
			return errNotHeld
		}
		k.stopJoining(ctx, m)
		if err := restartedAmong([]*link{m.to}); err != nil {
			return err
		}
		if !ordered {
			err := k.order(ctx, m)
			if err != nil && k.Refused(err) {
				return err
			}
			ordered = err == nil
		}
		k.ask(ctx, m.to)
		if m.to.Answered && m.to.Status.Primary && m.to.Status.Term >= m.term {
			k.promoted(m, ordered)
			return nil
		}
		if err := pauser.Pause(ctx, leadInterval); err != nil {
			return err
		}
	}
	return errNotLead
}

// order sends the order to promote.
func (k *Keeper) order(ctx context.Context, m *move) error {
	k.ordered, k.open = k.Clock(), true
	err := k.Promote(ctx, k.Group.Name, m.to.ID, m.fence)
	k.Log("event", "promotion-ordered", "group", k.Group.Name, "member", m.to.ID, "term", m.term, "fence", m.fence, "outcome", outcome(err))
	if err != nil && !k.Refused(err) {
		k.Spend()
	}
	return err
}

// stopJoining pauses members that have joined since the others were paused.
func (k *Keeper) stopJoining(ctx context.Context, m *move) {
	joined := k.list()
	if len(joined) == 0 {
		return
	}
	if err := k.pause(ctx, joined, m.term); err != nil {
		k.Log("event", "joined-not-paused", "group", k.Group.Name, "cause", err)
	}
}

// promoted takes in that the promoted member leads.
func (k *Keeper) promoted(m *move, ordered bool) {
	k.primary = m.to.ID
	for _, l := range k.links {
		l.BehindSince = 0
	}
	if ordered {
		k.open, k.unrecorded = false, true
	}
}

// closeOrder makes sure that no earlier order to promote is carried out any more. It
// could come seconds later, when replicas have gone on without the member that it
// names. Naming the present primary under a new fence changes nothing but the fence,
// also when the platform refuses it.
func (k *Keeper) closeOrder(ctx context.Context) {
	p := k.links[k.primary]
	if p == nil || !p.Answered || !p.Status.Primary || !k.Holds(changeTime) {
		return
	}
	fence, err := k.Fence(ctx, Facts{Members: k.roster(), Open: true, Lead: k.led})
	if err != nil {
		k.Log("event", "order-not-closed", "group", k.Group.Name, "cause", err)
		return
	}
	k.closed = k.Clock()
	err = k.Promote(ctx, k.Group.Name, p.ID, fence)
	k.Log("event", "order-closed", "group", k.Group.Name, "primary", p.ID, "fence", fence, "outcome", outcome(err))
	if err == nil || k.Refused(err) {
		k.open, k.unrecorded = false, true
		return
	}
	k.Spend()
}

// resume has a replica receive again after a change that came to nothing. Without an
// answer the order may take effect later, in the middle of another change, where the
// replica's standstill is relied upon: so no change begins until that is past.
func (k *Keeper) resume(ctx context.Context, id string) {
	l := k.links[id]
	if l == nil || !k.Holds(changeTime) {
		return
	}
	s, err := k.commandOnce(ctx, l, messenger.Command{Kind: messenger.KindResume})
	k.Log("event", "resumed", "group", k.Group.Name, "member", id, "outcome", outcome(err))
	if err != nil {
		k.uncertain[id] = k.Clock() + lateOrders
		return
	}
	l.noted(k.Clock(), s)
}
