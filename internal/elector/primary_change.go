package elector

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	// promotionTimeout bounds the wait for a promoted member to report itself as primary. It
	// is several times that of a promotion.
	promotionTimeout = 4 * time.Second
	// promotionPollInterval is the delay between status polls of the promoted member.
	promotionPollInterval = 40 * time.Millisecond
	// minRemainingLease is the lease time that must remain to begin a change of the primary. It
	// covers the status requests and the first order of the change.
	minRemainingLease = time.Second
	// lateCommandWindow is how long a member may still execute a command that went unanswered. It
	// exceeds the longest delay with which members execute commands.
	lateCommandWindow = 13 * time.Second
	// catchUpTimeout bounds the wait for a candidate to reach the log of the demoted primary. No
	// writes are accepted meanwhile. Catching up takes a few network trips.
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
	// errOnlyPrimaryComplete is the data loss risk of asynchronous replication.
	errOnlyPrimaryComplete = errors.New("only the primary is certain to have every acknowledged commit")
	errNoCandidate         = errors.New("no member to promote")
	errNotOwner            = errors.New("ownership of the group is not certain")
	errPromotionTimeout    = errors.New("the promoted member did not become primary in time")
	errResumePending       = errors.New("an earlier resume command may still take effect on a replica")
	errMembersJoining      = errors.New("members kept joining during the change")
	errMemberRestarted     = errors.New("a member has restarted")
	errNoneCaughtUp        = errors.New("no member holds everything that the demoted primary holds")
	errReasonCleared       = errors.New("the reason for the change no longer applies")
	errLeasesOutstanding   = errors.New("the primary may still acknowledge commits through instances that hold leases")
	errPromotionPending    = errors.New("an earlier promotion order may still be executed")
)

// primaryChange is a change of the primary in progress.
type primaryChange struct {
	// oldPrimary is nil when the current primary does not respond. pooled is set if it responds only
	// through the instance's pool, demotedAt is when it was demoted.
	oldPrimary *memberState
	pooled     bool
	demotedAt  tracker.Timestamp
	candidate  *memberState
	// replicas are the members to promote or pause, the best candidate first.
	replicas []*memberState
	// dataLossRisk is why the replicas might lack an acknowledged commit, nil when they do not.
	dataLossRisk error
	// term is the term of the new primary.
	term         uint64
	fencingToken int64
	// unanswered is set once an order of this change got no answer. It may be executed late even if a
	// later one with the same token is answered.
	unanswered bool
}

// changePrimary promotes a member that holds every acknowledged commit.
//
// A responsive primary is demoted first, so that nothing more is acknowledged and a caught-up
// replica is complete; if there is none, it leads again. Otherwise every replica is read, and the
// one with the furthest log is promoted.
//
// A commit is acknowledged once a replica has received it, so all acknowledged commits are on the
// replica with the furthest log once none receives any more. Pausing all replicas but the candidate
// while the primary continues would not interrupt writes, but a replica that joins meanwhile could
// acknowledge a commit that has not reached the candidate, and the commit would be lost.
func (sv *Supervisor) changePrimary(ctx context.Context, v View, reason Reason) (string, error) {
	c, err := sv.plan(v, reason)
	if err != nil {
		return "", err
	}
	recorded := c.candidate.ID
	token, err := sv.NextFencingToken(ctx, sv.stateWithOrder(recorded))
	if err != nil {
		return "", errors.Wrap(err, "fence")
	}
	planned := c
	if c.oldPrimary == nil {
		if sv.suspensionRecordedAt == 0 {
			sv.suspensionRecordedAt = sv.Clock()
		}
		if planned, err = sv.awaitLeaseExpiry(ctx, c, reason); err != nil {
			return "", err
		}
	}
	if planned == c && sv.Clock()-v.Now > pollInterval {
		if planned, err = sv.replan(ctx); err != nil {
			return "", err
		}
	}
	c = planned
	if c.oldPrimary == nil && sv.leaseWait() > 0 {
		return "", errLeasesOutstanding
	}
	c.fencingToken = token
	if c.pooled {
		// Without the registry the change would have to restore the primary.
		if err := sv.readRegistry(ctx); err != nil {
			return "", errors.Wrap(err, "read registry")
		}
		c.oldPrimary.pooled = true
		defer func() { c.oldPrimary.pooled = false }()
	}
	if err := sv.selectCandidate(ctx, c); err != nil {
		return "", err
	}
	if c.candidate.ID != recorded {
		// A failure leaves the order recorded without the right member, which is better than no primary.
		if token, err := sv.NextFencingToken(ctx, sv.stateWithOrder(c.candidate.ID)); err == nil {
			c.fencingToken = token
		}
	}
	return c.candidate.ID, sv.promoteAndWait(ctx, c)
}

// plan selects the replicas and the term of a change.
func (sv *Supervisor) plan(v View, reason Reason) (*primaryChange, error) {
	if !sv.Holds(minRemainingLease) {
		return nil, errNotOwner
	}
	c := &primaryChange{}
	p := sv.members[v.Primary]
	if leads, pooled := sv.leads(p); leads {
		if sv.promotionPending {
			return nil, errPromotionPending
		}
		c.oldPrimary, c.pooled = p, pooled
	}
	replicas, term := sv.rankReplicas(v, c.oldPrimary != nil, reason)
	if len(replicas) == 0 {
		return nil, errNoCandidate
	}
	c.replicas, c.candidate, c.term = replicas, replicas[0], term+1
	if i := slices.IndexFunc(replicas, sv.eligible); c.oldPrimary != nil && i >= 0 {
		c.candidate = replicas[i]
	}
	c.dataLossRisk = sv.checkReplicas(replicas)
	if c.dataLossRisk == nil && sv.SynchronousReplicas() == 0 && c.oldPrimary != nil {
		c.dataLossRisk = errOnlyPrimaryComplete
	}
	if c.dataLossRisk != nil && (c.oldPrimary == nil || !slices.ContainsFunc(replicas, sv.eligible)) {
		return nil, c.dataLossRisk
	}
	return c, nil
}

// replan polls again after a slow store call, and cancels the change if its reason has
// cleared. After this step the change must end with a primary.
func (sv *Supervisor) replan(ctx context.Context) (*primaryChange, error) {
	v := sv.pollMembers(ctx)
	d := Decide(v)
	if d.Reason == ReasonNone {
		return nil, errReasonCleared
	}
	return sv.plan(v, d.Reason)
}

// eligible reports whether a member could catch up with a demoted primary.
func (sv *Supervisor) eligible(m *memberState) bool {
	return m.Answered && !m.Leaving && m.PausedSince == 0 && !m.stalled(sv.Clock())
}

// selectCandidate picks a member that holds every acknowledged commit.
func (sv *Supervisor) selectCandidate(ctx context.Context, c *primaryChange) error {
	if c.oldPrimary == nil {
		return sv.selectFurthest(ctx, c)
	}
	if err := sv.stepDown(ctx, c); err != nil {
		return err
	}
	reached, err := sv.waitForCatchUp(ctx, c)
	switch {
	case err != nil || reached:
		return err
	case c.dataLossRisk != nil:
		sv.restoreOldPrimary(c, c.dataLossRisk)
		return nil
	}
	err = sv.findCaughtUp(ctx, c)
	if err != nil && c.pooled {
		err = sv.selectFurthestAfterDemotion(ctx, c)
	}
	if err != nil {
		sv.restoreOldPrimary(c, err)
	}
	return ctx.Err()
}

// findCaughtUp picks any member whose log has reached that of the demoted primary, among those that
// the watch of the store has not shown yet as well. A replica that is behind is not promoted even if
// all known replicas respond: a member acknowledges commits before its registration shows, so
// what the replica lacks may have been acknowledged.
func (sv *Supervisor) findCaughtUp(ctx context.Context, c *primaryChange) error {
	if err := sv.readRegistry(ctx); err != nil {
		return errors.Wrap(err, "read registry")
	}
	c.replicas = append(c.replicas, sv.refreshMembers()...)
	sv.pollAll(ctx, c.replicas)
	for _, m := range c.replicas {
		if m.Answered && !m.Leaving && m.Status.Received.AtLeast(c.oldPrimary.Status.Received) {
			c.candidate = m
			return nil
		}
	}
	return errNoneCaughtUp
}

// restoreOldPrimary makes the demoted primary the candidate again: it holds every acknowledged
// commit. Otherwise the group would lack a primary until that is detected.
func (sv *Supervisor) restoreOldPrimary(c *primaryChange, cause error) {
	sv.Log("event", "nobody-caught-up", "group", sv.Group.Name, "need", c.oldPrimary.Status.Received, "cause", cause)
	c.candidate, sv.restoredAt = c.oldPrimary, sv.Clock()
}

// waitForCatchUp waits until a candidate reaches the log of the demoted primary.
func (sv *Supervisor) waitForCatchUp(ctx context.Context, c *primaryChange) (bool, error) {
	i := slices.IndexFunc(c.replicas, sv.eligible)
	if i < 0 {
		return false, nil
	}
	c.candidate = c.replicas[i]
	deadline := time.Now().Add(catchUpTimeout)
	for !c.candidate.Status.Received.AtLeast(c.oldPrimary.Status.Received) {
		if time.Now().After(deadline) {
			return false, nil
		}
		if err := sleeper.Sleep(ctx, promotionPollInterval); err != nil {
			return false, err
		}
		sv.poll(ctx, c.candidate)
	}
	return true, nil
}

// stepDown demotes the old primary.
func (sv *Supervisor) stepDown(ctx context.Context, c *primaryChange) error {
	s, err := sv.command(ctx, c.oldPrimary, messenger.Command{Kind: messenger.KindStepDown, Term: c.term})
	if err != nil {
		return errors.Wrap(err, "step down")
	}
	c.demotedAt = sv.Clock()
	c.oldPrimary.applyStatus(c.demotedAt, s)
	sv.Log("event", "stepped-down", "group", sv.Group.Name, "member", c.oldPrimary.ID, "term", c.term, "position", s.Received, "primary", s.Primary)
	if s.Primary {
		return errors.Errorf("%s did not step down", c.oldPrimary.ID)
	}
	return nil
}

// rankReplicas returns the members to promote or pause, the best candidate first, and the
// newest term seen. With a live primary, replicas rank by replication lag, otherwise by log
// position. For an overloaded primary a lagging replica ranks first: it cannot serve reads,
// and the old primary can once demoted.
func (sv *Supervisor) rankReplicas(v View, alive bool, reason Reason) ([]*memberState, uint64) {
	var term uint64
	var list []*memberState
	for _, m := range v.Members {
		term = max(term, m.Status.Term, m.Status.Received.Term)
		state := sv.members[m.ID]
		// A demoted primary is a replica like the others.
		if (m.ID != v.Primary || m.Answered && !m.Status.Primary) && !sv.excluded[m.ID] {
			list = append(list, state)
		}
	}
	slices.SortFunc(list, func(a, b *memberState) int {
		if a.Leaving != b.Leaving {
			if a.Leaving {
				return 1
			}
			return -1
		}
		if now := sv.Clock(); alive && !a.stalled(now) && !b.stalled(now) {
			if a.lagging() != b.lagging() && reason == ReasonOverloaded {
				return cmp.Compare(b.Status.LagMillis, a.Status.LagMillis)
			}
			return int(a.Status.LagMillis - b.Status.LagMillis)
		}
		if d := b.Status.Received.Compare(a.Status.Received); d != 0 {
			return d
		}
		return sv.compareOrdered(a.ID, b.ID)
	})
	return list, term
}

// compareOrdered ranks members with the same log: first the one that a pending order names, which may
// lead at any moment and acknowledge commits that another candidate would lack, then by ID, so that
// another owner ranks them alike.
func (sv *Supervisor) compareOrdered(a, b string) int {
	switch {
	case !sv.promotionPending || a == b:
	case a == sv.orderedMember:
		return -1
	case b == sv.orderedMember:
		return 1
	}
	return cmp.Compare(a, b)
}

// checkReplicas returns an error unless every replica that may hold an acknowledged commit
// responds.
func (sv *Supervisor) checkReplicas(replicas []*memberState) error {
	if sv.SynchronousReplicas() == 0 {
		return nil
	}
	for _, m := range replicas {
		if !m.Answered {
			return errors.Wrapf(errReplicaUnreachable, "%s", m.ID)
		}
		if sv.Clock() < sv.resumePendingUntil[m.ID] {
			return errors.Wrapf(errResumePending, "%s", m.ID)
		}
	}
	return nil
}

// memberAddresses maps the members that are not excluded to their addresses.
func (sv *Supervisor) memberAddresses() map[string]string {
	all := map[string]string{}
	for id, m := range sv.members {
		if !sv.excluded[id] {
			all[id] = m.Address
		}
	}
	return all
}

// promoteAndWait orders the promotion and waits for it to take effect.
func (sv *Supervisor) promoteAndWait(ctx context.Context, c *primaryChange) error {
	deadline := time.Now().Add(promotionTimeout)
	ordered := false
	for time.Now().Before(deadline) {
		if !sv.Holds(requestTimeout) {
			return errNotOwner
		}
		joined, err := sv.pauseJoined(ctx, c)
		if !ordered {
			if err := checkJoined(c, joined, err); err != nil {
				return err
			}
		} else {
			sv.logAhead(c, joined)
		}
		if err := checkNotRestarted([]*memberState{c.candidate}); err != nil {
			return err
		}
		if !ordered {
			err := sv.sendPromotion(ctx, c)
			if err != nil && sv.Refused(err) {
				return err
			}
			ordered = err == nil
		}
		sv.poll(ctx, c.candidate)
		if c.candidate.Answered && c.candidate.Status.Primary && c.candidate.Status.Term >= c.term {
			sv.recordPromotion(c)
			return nil
		}
		if err := sleeper.Sleep(ctx, promotionPollInterval); err != nil {
			return err
		}
	}
	return errPromotionTimeout
}

// sendPromotion sends the promotion order.
func (sv *Supervisor) sendPromotion(ctx context.Context, c *primaryChange) error {
	sv.orderSent(c.candidate.ID)
	sv.promotionOrderedAt, sv.promotionPending, sv.orderedMember, sv.orderedStartTime = sv.Clock(), true, c.candidate.ID, c.candidate.StartTime
	err := sv.Promote(ctx, sv.Group.Name, c.candidate.ID, c.fencingToken)
	sv.Log("event", "promotion-ordered", "group", sv.Group.Name, "member", c.candidate.ID, "term", c.term, "fence", c.fencingToken, "outcome", outcomeText(err),
		"position", c.candidate.Status.Received, "furthest", sv.furthestKnown(), "registry-age-ms", (sv.promotionOrderedAt - sv.registryConfirmedAt).Milliseconds())
	if err != nil && !sv.Refused(err) {
		c.unanswered = true
		return err
	}
	sv.orderAnswered()
	if c.unanswered {
		// An earlier attempt with the same token may still be executed.
		sv.orderSent(c.candidate.ID)
	}
	return err
}

// furthestKnown returns the furthest log position that a member has reported.
func (sv *Supervisor) furthestKnown() orderer.Position {
	var furthest orderer.Position
	for _, m := range sv.members {
		furthest = orderer.Max(furthest, m.Status.Received)
	}
	return furthest
}

// logAhead logs the members whose logs are ahead of that of the candidate whose promotion has been
// ordered already. What they hold beyond it is lost if it was acknowledged.
func (sv *Supervisor) logAhead(c *primaryChange, joined []*memberState) {
	for _, m := range joined {
		if m.Status.Received.Compare(c.candidate.Status.Received) > 0 {
			sv.Log("event", "ahead-of-ordered-member", "group", sv.Group.Name, "member", m.ID, "position", m.Status.Received,
				"ordered", c.candidate.ID, "ordered-position", c.candidate.Status.Received, "after-ms", (sv.Clock() - sv.promotionOrderedAt).Milliseconds())
		}
	}
}

// pauseJoined pauses members that have joined since the others were paused, and returns them.
func (sv *Supervisor) pauseJoined(ctx context.Context, c *primaryChange) ([]*memberState, error) {
	joined := sv.refreshMembers()
	if len(joined) == 0 {
		return nil, nil
	}
	err := sv.pauseAll(ctx, joined, c.term)
	if err != nil {
		sv.Log("event", "joined-not-paused", "group", sv.Group.Name, "cause", err)
	}
	return joined, err
}

// checkJoined returns an error if members that joined before the promotion is ordered may have
// acknowledged something that the candidate lacks; pauseErr is set if they could not all be paused.
func checkJoined(c *primaryChange, joined []*memberState, pauseErr error) error {
	if len(joined) == 0 || c.oldPrimary != nil && c.candidate.Status.Received.AtLeast(c.oldPrimary.Status.Received) {
		return nil
	}
	ahead := slices.ContainsFunc(joined, func(m *memberState) bool { return m.Status.Received.Compare(c.candidate.Status.Received) > 0 })
	if pauseErr != nil || ahead {
		return errMembersJoining
	}
	return nil
}

// recordPromotion updates the state after a successful promotion.
func (sv *Supervisor) recordPromotion(c *primaryChange) {
	sv.primary = c.candidate.ID
	for _, m := range sv.members {
		m.StalledSince = 0
	}
	sv.promotionPending = c.unanswered
	if !sv.otherMayLead() {
		sv.allowLeases(c.candidate.Status.Term)
	}
}

// orderedRestarted reports whether the member that a pending order names has restarted since. It would
// lead with an empty log.
func (sv *Supervisor) orderedRestarted() bool {
	m := sv.members[sv.orderedMember]
	return sv.promotionPending && m != nil && sv.orderedStartTime != 0 && m.StartTime != 0 && m.StartTime != sv.orderedStartTime
}

// fencePendingPromotion prevents late execution of an earlier promotion order, by naming the
// current primary under a new fencing token. The token takes effect even if the platform
// refuses the order. Otherwise the earlier order could be executed seconds later, when the replicas
// have continued without the member that it names.
func (sv *Supervisor) fencePendingPromotion(ctx context.Context) {
	p := sv.members[sv.primary]
	if p == nil || !sv.Holds(minRemainingLease) {
		return
	}
	// An order for a member that isn't the latest primary would promote it.
	leads, _ := sv.leads(p)
	if !leads && (!sv.orderedRestarted() || p.ID != sv.lastLeader.ID || p.StartTime != sv.lastLeader.StartTime) {
		return
	}
	token, err := sv.NextFencingToken(ctx, sv.stateToRecord())
	if err != nil {
		sv.Log("event", "order-not-closed", "group", sv.Group.Name, "cause", err)
		return
	}
	sv.fencedAt = sv.Clock()
	sv.orderSent(p.ID)
	err = sv.Promote(ctx, sv.Group.Name, p.ID, token)
	sv.Log("event", "order-closed", "group", sv.Group.Name, "primary", p.ID, "fence", token, "outcome", outcomeText(err))
	if err == nil || sv.Refused(err) {
		sv.promotionPending = false
		sv.orderAnswered()
	}
}

// resume makes a paused replica receive the log again. An unanswered command may take effect
// during a later change, so changes are deferred until that is ruled out.
func (sv *Supervisor) resume(ctx context.Context, id string) {
	m := sv.members[id]
	if m == nil || !sv.Holds(minRemainingLease) {
		return
	}
	s, err := sv.commandOnNewConnection(ctx, m, messenger.Command{Kind: messenger.KindResume})
	sv.Log("event", "resumed", "group", sv.Group.Name, "member", id, "outcome", outcomeText(err))
	if err != nil {
		sv.resumePendingUntil[id] = sv.Clock() + lateCommandWindow
		return
	}
	m.applyStatus(sv.Clock(), s)
}
