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
	// promotionTimeout bounds the wait for a promoted member to report itself as primary.
	promotionTimeout = 4 * time.Second
	// promotionPollInterval is the delay between status polls of the promoted member.
	promotionPollInterval = 40 * time.Millisecond
	// minRemainingLease is the lease time that must remain to begin a change of the primary.
	minRemainingLease = time.Second
	// lateCommandWindow is how long a member may still execute a command that went unanswered.
	lateCommandWindow = 13 * time.Second
	// catchUpTimeout bounds the wait for a candidate to reach the log of the demoted primary. No
	// writes are accepted meanwhile.
	catchUpTimeout = 300 * time.Millisecond
	// fencingDelay is the wait after a promotion order for the current primary. The platform
	// executes that order late; if the primary has been demoted by then, it is promoted again and
	// commits of its successor are lost.
	fencingDelay = 1500 * time.Millisecond
	// restoreCooldown is the wait after a failed planned change, because each attempt interrupts
	// writes.
	restoreCooldown = 3 * time.Second
	// maxPauseRounds bounds the rounds of pausing replicas that join during a change.
	maxPauseRounds = 5
)

var (
	errReplicaUnreachable = errors.New("not every replica responds: an acknowledged commit might be lost")
	// errOnlyPrimaryComplete applies with asynchronous replication.
	errOnlyPrimaryComplete = errors.New("only the primary is certain to have every acknowledged commit")
	errNoCandidate         = errors.New("no member to promote")
	errNotOwner            = errors.New("ownership of the group is not certain")
	errPromotionTimeout    = errors.New("the promoted member did not become primary in time")
	errResumePending       = errors.New("an earlier resume command may still take effect on a replica")
	errMembersJoining      = errors.New("members kept joining during the change")
	errMemberRestarted     = errors.New("a member has restarted")
	errReasonCleared       = errors.New("the reason for the change no longer applies")
)

// primaryChange is a change of the primary in progress.
type primaryChange struct {
	// oldPrimary is nil when the current primary does not respond.
	oldPrimary *memberState
	candidate  *memberState
	// replicas are the members to promote or pause, the best candidate first.
	replicas []*memberState
	// dataLossRisk is why the replicas might lack an acknowledged commit, nil when they do not.
	dataLossRisk error
	// term is the term of the new primary.
	term  uint64
	fence int64
}

// changePrimary promotes a member that holds every acknowledged commit.
//
// A responsive primary is demoted first, so that nothing more is acknowledged and a caught-up
// replica is complete. Otherwise every replica is read, and the one with the furthest log is
// promoted.
func (k *Keeper) changePrimary(ctx context.Context, v View, reason Reason) (string, error) {
	c, err := k.plan(v, reason)
	if err != nil {
		return "", err
	}
	fence, err := k.Fence(ctx, Facts{Members: k.memberAddresses(), Open: true, Lead: k.lastLeader})
	if err != nil {
		return "", errors.Wrap(err, "fence")
	}
	if k.Clock()-v.Now > pollInterval {
		if c, err = k.replan(ctx); err != nil {
			// The recorded state announces an order, but none was sent.
			k.recordOutdated = true
			return "", err
		}
	}
	c.fence = fence
	if err := k.selectCandidate(ctx, c); err != nil {
		return "", err
	}
	return c.candidate.ID, k.promoteAndWait(ctx, c)
}

// plan selects the replicas and the term of a change.
func (k *Keeper) plan(v View, reason Reason) (*primaryChange, error) {
	if !k.Holds(minRemainingLease) {
		return nil, errNotOwner
	}
	c := &primaryChange{}
	if p := k.members[v.Primary]; p != nil && p.Answered && p.Status.Primary {
		c.oldPrimary = p
	}
	replicas, term := k.rankReplicas(v, c.oldPrimary != nil, reason)
	if len(replicas) == 0 {
		return nil, errNoCandidate
	}
	c.replicas, c.candidate, c.term = replicas, replicas[0], term+1
	c.dataLossRisk = k.checkReplicas(replicas)
	if c.dataLossRisk == nil && k.Synchronous() == 0 && c.oldPrimary != nil {
		c.dataLossRisk = errOnlyPrimaryComplete
	}
	if c.dataLossRisk != nil && (c.oldPrimary == nil || !slices.ContainsFunc(replicas, k.eligible)) {
		return nil, c.dataLossRisk
	}
	return c, nil
}

// replan polls again after a slow store call, and cancels the change if its reason has
// cleared. After this step the change must end with a primary.
func (k *Keeper) replan(ctx context.Context) (*primaryChange, error) {
	v := k.pollMembers(ctx)
	d := Decide(v)
	if d.Move == ReasonNone {
		return nil, errReasonCleared
	}
	return k.plan(v, d.Move)
}

// eligible reports whether a member could catch up with a demoted primary.
func (k *Keeper) eligible(l *memberState) bool {
	return l.Answered && !l.Leaving && l.PausedSince == 0 && !l.stalled(k.Clock())
}

// selectCandidate picks a member that holds every acknowledged commit.
func (k *Keeper) selectCandidate(ctx context.Context, c *primaryChange) error {
	if c.oldPrimary == nil {
		return k.selectFurthest(ctx, c)
	}
	if err := k.stepDown(ctx, c); err != nil {
		return err
	}
	reached, err := k.waitForCatchUp(ctx, c)
	switch {
	case err != nil || reached:
		return err
	case c.dataLossRisk != nil:
		k.restoreOldPrimary(c, c.dataLossRisk)
		return nil
	}
	if err := k.selectFurthest(ctx, c); err != nil {
		k.restoreOldPrimary(c, err)
	}
	return ctx.Err()
}

// restoreOldPrimary makes the demoted primary the candidate again: it holds every acknowledged
// commit.
func (k *Keeper) restoreOldPrimary(c *primaryChange, cause error) {
	k.Log("event", "nobody-caught-up", "group", k.Group.Name, "need", c.oldPrimary.Status.Received, "cause", cause)
	c.candidate, k.restoredAt = c.oldPrimary, k.Clock()
}

// waitForCatchUp waits until a candidate reaches the log of the demoted primary.
func (k *Keeper) waitForCatchUp(ctx context.Context, c *primaryChange) (bool, error) {
	i := slices.IndexFunc(c.replicas, k.eligible)
	if i < 0 {
		return false, nil
	}
	c.candidate = c.replicas[i]
	deadline := time.Now().Add(catchUpTimeout)
	for !c.candidate.Status.Received.AtLeast(c.oldPrimary.Status.Received) {
		if time.Now().After(deadline) {
			return false, nil
		}
		if err := pauser.Pause(ctx, promotionPollInterval); err != nil {
			return false, err
		}
		k.poll(ctx, c.candidate)
	}
	return true, nil
}

// stepDown demotes the old primary.
func (k *Keeper) stepDown(ctx context.Context, c *primaryChange) error {
	s, err := k.command(ctx, c.oldPrimary, messenger.Command{Kind: messenger.KindStepDown, Term: c.term})
	if err != nil {
		return errors.Wrap(err, "step down")
	}
	c.oldPrimary.applyStatus(k.Clock(), s)
	k.Log("event", "stepped-down", "group", k.Group.Name, "member", c.oldPrimary.ID, "term", c.term, "position", s.Received, "primary", s.Primary)
	if s.Primary {
		return errors.Errorf("%s did not step down", c.oldPrimary.ID)
	}
	return nil
}

// rankReplicas returns the members to promote or pause, the best candidate first, and the
// newest term seen. With a live primary, replicas rank by replication lag, otherwise by log
// position. For an overloaded primary a lagging replica ranks first: it cannot serve reads,
// and the old primary can once demoted.
func (k *Keeper) rankReplicas(v View, alive bool, reason Reason) ([]*memberState, uint64) {
	var term uint64
	var list []*memberState
	for _, m := range v.Members {
		term = max(term, m.Status.Term, m.Status.Received.Term)
		l := k.members[m.ID]
		// A demoted primary is a replica like the others.
		if (m.ID != v.Primary || m.Answered && !m.Status.Primary) && !k.excluded[m.ID] {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *memberState) int {
		if a.Leaving != b.Leaving {
			if a.Leaving {
				return 1
			}
			return -1
		}
		if now := k.Clock(); alive && !a.stalled(now) && !b.stalled(now) {
			if a.lagging() != b.lagging() && reason == ReasonOverloaded {
				return cmp.Compare(b.Status.LagMillis, a.Status.LagMillis)
			}
			return int(a.Status.LagMillis - b.Status.LagMillis)
		}
		return b.Status.Received.Compare(a.Status.Received)
	})
	return list, term
}

// checkReplicas returns an error unless every replica that may hold an acknowledged commit
// responds.
func (k *Keeper) checkReplicas(replicas []*memberState) error {
	if k.Synchronous() == 0 {
		return nil
	}
	for _, l := range replicas {
		if !l.Answered {
			return errors.Wrapf(errReplicaUnreachable, "%s", l.ID)
		}
		if k.Clock() < k.resumePendingUntil[l.ID] {
			return errors.Wrapf(errResumePending, "%s", l.ID)
		}
	}
	return nil
}

// memberAddresses maps the members that are not excluded to their addresses.
func (k *Keeper) memberAddresses() map[string]string {
	all := map[string]string{}
	for id, l := range k.members {
		if !k.excluded[id] {
			all[id] = l.Address
		}
	}
	return all
}

// promoteAndWait orders the promotion and waits for it to take effect.
func (k *Keeper) promoteAndWait(ctx context.Context, c *primaryChange) error {
	deadline := time.Now().Add(promotionTimeout)
	ordered := false
	for time.Now().Before(deadline) {
		if !k.Holds(requestTimeout) {
			return errNotOwner
		}
		k.pauseJoined(ctx, c)
		if err := checkNotRestarted([]*memberState{c.candidate}); err != nil {
			return err
		}
		if !ordered {
			err := k.sendPromotion(ctx, c)
			if err != nil && k.Refused(err) {
				return err
			}
			ordered = err == nil
		}
		k.poll(ctx, c.candidate)
		if c.candidate.Answered && c.candidate.Status.Primary && c.candidate.Status.Term >= c.term {
			k.recordPromotion(c, ordered)
			return nil
		}
		if err := pauser.Pause(ctx, promotionPollInterval); err != nil {
			return err
		}
	}
	return errPromotionTimeout
}

// sendPromotion sends the promotion order.
func (k *Keeper) sendPromotion(ctx context.Context, c *primaryChange) error {
	k.orderedAt, k.promotionPending = k.Clock(), true
	err := k.Promote(ctx, k.Group.Name, c.candidate.ID, c.fence)
	k.Log("event", "promotion-ordered", "group", k.Group.Name, "member", c.candidate.ID, "term", c.term, "fence", c.fence, "outcome", outcome(err))
	if err != nil && !k.Refused(err) {
		k.Spend()
	}
	return err
}

// pauseJoined pauses members that have joined since the others were paused.
func (k *Keeper) pauseJoined(ctx context.Context, c *primaryChange) {
	joined := k.refreshMembers()
	if len(joined) == 0 {
		return
	}
	if err := k.pauseAll(ctx, joined, c.term); err != nil {
		k.Log("event", "joined-not-paused", "group", k.Group.Name, "cause", err)
	}
}

// recordPromotion updates the state after a successful promotion.
func (k *Keeper) recordPromotion(c *primaryChange, ordered bool) {
	k.primary = c.candidate.ID
	for _, l := range k.members {
		l.BehindSince = 0
	}
	if ordered {
		k.promotionPending, k.recordOutdated = false, true
	}
}

// fencePendingPromotion prevents late execution of an earlier promotion order, by naming the
// current primary under a new fencing token. The token takes effect even if the platform
// refuses the order.
func (k *Keeper) fencePendingPromotion(ctx context.Context) {
	p := k.members[k.primary]
	if p == nil || !p.Answered || !p.Status.Primary || !k.Holds(minRemainingLease) {
		return
	}
	fence, err := k.Fence(ctx, Facts{Members: k.memberAddresses(), Open: true, Lead: k.lastLeader})
	if err != nil {
		k.Log("event", "order-not-closed", "group", k.Group.Name, "cause", err)
		return
	}
	k.fencedAt = k.Clock()
	err = k.Promote(ctx, k.Group.Name, p.ID, fence)
	k.Log("event", "order-closed", "group", k.Group.Name, "primary", p.ID, "fence", fence, "outcome", outcome(err))
	if err == nil || k.Refused(err) {
		k.promotionPending, k.recordOutdated = false, true
		return
	}
	k.Spend()
}

// resume makes a paused replica receive the log again. An unanswered command may take effect
// during a later change, so changes are deferred until that is ruled out.
func (k *Keeper) resume(ctx context.Context, id string) {
	l := k.members[id]
	if l == nil || !k.Holds(minRemainingLease) {
		return
	}
	s, err := k.commandOnNewConnection(ctx, l, messenger.Command{Kind: messenger.KindResume})
	k.Log("event", "resumed", "group", k.Group.Name, "member", id, "outcome", outcome(err))
	if err != nil {
		k.resumePendingUntil[id] = k.Clock() + lateCommandWindow
		return
	}
	l.applyStatus(k.Clock(), s)
}
