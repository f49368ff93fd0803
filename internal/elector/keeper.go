package elector

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/pauser"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// pollInterval is the period of polling the primary, and every member while the group is
	// unhealthy.
	pollInterval = 200 * time.Millisecond
	// healthyReplicaInterval is the period of polling replicas in a healthy group.
	healthyReplicaInterval = 800 * time.Millisecond
	// requestTimeout bounds a request to a member, and the dial for it.
	requestTimeout = 300 * time.Millisecond
	// retryDelay is the pause after a failed change.
	retryDelay = 200 * time.Millisecond
	// minRecordInterval is the minimum time between two writes of the group's record.
	minRecordInterval = time.Second
	// statusLogInterval is the period of logging member statuses.
	statusLogInterval = 2 * time.Second
	// incarnationSeparator separates a member's ID and its start time in the ID of a former
	// incarnation. Member IDs do not contain it.
	incarnationSeparator = "~"
)

type (
	// Keeper supervises one group while this instance owns it. Set the exported fields, then call
	// Run.
	Keeper struct {
		Group *tracker.Group
		Clock func() tracker.Stamp
		// Members returns all members, including those that are leaving.
		Members func() []tracker.Member
		// Connect opens a connection to a member.
		Connect func(ctx context.Context, m tracker.Member) (*lender.Conn, error)
		Codec   messenger.MemberCodec
		// Holds reports whether the ownership is certain to last for the given time.
		Holds func(d time.Duration) bool
		// Fence records the group's state and returns a fencing token above all earlier ones; Facts
		// returns the last recorded state.
		Fence func(ctx context.Context, f Facts) (int64, error)
		Facts func() Facts
		// Spend notes that an order sent with the newest fencing token is unanswered.
		Spend func()
		// Promote orders a promotion.
		Promote func(ctx context.Context, group, member string, fence int64) error
		// Refused reports whether an error of Promote is a refusal.
		Refused func(error) bool
		// Synchronous returns how many replicas hold a commit before it is acknowledged.
		Synchronous func() int
		// Connections returns a member's connection limit for all instances, 0 when unknown.
		Connections func() int
		// Booted is when this process started.
		Booted tracker.Stamp
		// Changed is called when the primary has changed.
		Changed func()
		Log     func(fields ...any)

		members         map[string]*memberState
		primary         string
		leaderlessSince tracker.Stamp
		orderedAt       tracker.Stamp
		// announcedLeave are the members that announced to leave, or whose address was reused. They
		// have departed once they are no longer registered.
		announcedLeave map[string]bool
		// formerIncarnations maps former incarnations that may hold the only copy of a commit to their
		// addresses; see incarnationID.
		formerIncarnations map[string]string
		// registered are the registered members.
		registered map[string]bool
		// excluded are departed members whose commits are all held by others.
		excluded map[string]bool
		// recordedAt is when the state was last recorded, reportedAt when statuses were last logged.
		recordedAt, reportedAt tracker.Stamp
		// recordOutdated is set when state other than the member list has to be recorded.
		recordOutdated bool
		// lastLeader is the last known primary.
		lastLeader Lead
		// promotionPending is set while a promotion order may still be executed late.
		promotionPending bool
		// rebalanceInterval is the minimum time between changes made only to balance load,
		// rebalancedAt the time of the last one.
		rebalanceInterval time.Duration
		rebalancedAt      tracker.Stamp
		// restoredAt is when a change last restored the old primary.
		restoredAt tracker.Stamp
		// fencedAt is when earlier promotion orders were last fenced off.
		fencedAt tracker.Stamp
		// resumePendingUntil is until when an unanswered resume command may take effect, by member.
		resumePendingUntil map[string]tracker.Stamp
	}
)

// Run supervises the group until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.members, k.resumePendingUntil = map[string]*memberState{}, map[string]tracker.Stamp{}
	k.announcedLeave, k.excluded, k.formerIncarnations = map[string]bool{}, map[string]bool{}, map[string]string{}
	recorded := k.Facts()
	k.promotionPending, k.lastLeader = recorded.Open, recorded.Lead
	defer k.closeConnections()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		v := k.pollMembers(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		k.logStatuses(v)
		k.act(ctx, v)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// logStatuses logs the members' statuses.
func (k *Keeper) logStatuses(v View) {
	if v.Now-k.reportedAt < statusLogInterval {
		return
	}
	k.reportedAt = v.Now
	for _, m := range v.Members {
		k.Log("event", "observed", "group", k.Group.Name, "member", m.ID, "answered", m.Answered, "primary", m.Status.Primary,
			"term", m.Status.Term, "position", m.Status.Received, "lag-ms", m.Status.LagMillis, "busy", m.Status.Busy, "connections", m.Status.Connections)
	}
}

// act carries out one decision of Decide per round.
func (k *Keeper) act(ctx context.Context, v View) {
	d := Decide(v)
	if d.Move != ReasonNone && v.Now-k.fencedAt < fencingDelay {
		k.Log("event", "move-waits", "group", k.Group.Name, "reason", d.Move, "for", "fencing of earlier promotion orders")
		return
	}
	if k.restoredAt != 0 && v.Now-k.restoredAt < restoreCooldown && d.Move.primaryAlive() {
		return
	}
	if d.Move != ReasonNone {
		k.updateRebalanceInterval(d.Move)
		start := k.Clock()
		k.Log("event", "move-begins", "group", k.Group.Name, "reason", d.Move, "primary", v.Primary)
		to, err := k.changePrimary(ctx, v, d.Move)
		k.Log("event", "move-ended", "group", k.Group.Name, "reason", d.Move, "from", v.Primary, "to", to,
			"outcome", outcome(err), "ms", (k.Clock() - start).Milliseconds())
		if err != nil {
			_ = pauser.Pause(ctx, retryDelay)
		}
		return
	}
	if k.promotionPending {
		k.fencePendingPromotion(ctx)
	}
	if !k.promotionPending {
		for _, id := range d.Resume {
			k.resume(ctx, id)
		}
	}
	k.saveState(ctx)
}

// updateRebalanceInterval backs off after a change made to balance load.
func (k *Keeper) updateRebalanceInterval(r Reason) {
	if r != ReasonOverloaded {
		return
	}
	now := k.Clock()
	if k.rebalancedAt != 0 && now-k.rebalancedAt < 2*k.rebalanceInterval {
		k.rebalanceInterval = min(4*k.rebalanceInterval, maxRebalanceInterval)
	} else {
		k.rebalanceInterval = minRebalanceInterval
	}
	k.rebalancedAt = now
}

// saveState records the member list for the next owner when it has changed: a missing member
// may hold the only copy of a commit.
func (k *Keeper) saveState(ctx context.Context) {
	now, addresses := k.Clock(), k.memberAddresses()
	if maps.Equal(addresses, k.Facts().Members) && !k.recordOutdated || now-k.recordedAt < minRecordInterval {
		return
	}
	k.recordedAt, k.recordOutdated = now, false
	_, err := k.Fence(ctx, Facts{Members: addresses, Open: k.promotionPending, Lead: k.lastLeader})
	k.Log("event", "roster", "group", k.Group.Name, "members", len(addresses), "outcome", outcome(err))
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// pollMembers polls all members that are due concurrently.
func (k *Keeper) pollMembers(ctx context.Context) View {
	k.refreshMembers()
	// Collected first, because the primary's response changes which members are due.
	var due []*memberState
	for _, l := range k.members {
		if k.shouldPoll(l) {
			due = append(due, l)
		}
	}
	var polls sync.WaitGroup
	for _, l := range due {
		polls.Go(func() { k.poll(ctx, l) })
	}
	polls.Wait()
	v := k.buildView()
	k.excludeDeparted()
	return v
}

// recordLeader stores a newly seen primary.
func (k *Keeper) recordLeader(l Lead) {
	if l != k.lastLeader && l.Term >= k.lastLeader.Term {
		k.lastLeader, k.recordOutdated = l, true
	}
}

// refreshMembers updates the members from the registry, and returns the new ones.
func (k *Keeper) refreshMembers() []*memberState {
	registered := k.Members()
	k.registered = map[string]bool{}
	for _, m := range registered {
		k.registered[m.ID] = true
	}
	members := k.withMissing(registered)
	k.pruneMembers(members)
	var joined []*memberState
	for _, m := range members {
		l := k.members[m.ID]
		if l != nil && m.Born > l.Born && l.Born != 0 {
			k.handleRestart(l)
			l = nil
		}
		if l == nil {
			l = &memberState{}
			k.members[m.ID] = l
			k.include(m.ID)
			joined = append(joined, l)
		}
		l.Member, l.maxConnections = m, k.Connections()
		if m.Leaving && !m.Missing {
			k.announcedLeave[m.ID] = true
		}
	}
	return joined
}

// shouldPoll reports whether a member is due. Replicas are polled less often while the primary
// is healthy.
func (k *Keeper) shouldPoll(l *memberState) bool {
	if isFormerIncarnation(l.ID) {
		return false
	}
	if l.ID == k.primary || !l.Answered || l.PausedSince != 0 {
		return true
	}
	p := k.members[k.primary]
	healthy := p != nil && p.Answered && p.Status.Primary && !p.Leaving && p.OverloadedSince == 0 && l.BehindSince == 0
	return !healthy || k.Clock()-l.polledAt >= healthyReplicaInterval
}

// pruneMembers drops members that are no longer listed.
func (k *Keeper) pruneMembers(members []tracker.Member) {
	for id, l := range k.members {
		if !slices.ContainsFunc(members, func(m tracker.Member) bool { return m.ID == id }) {
			l.close()
			delete(k.members, id)
		}
	}
}

// buildView determines the primary from the members' statuses and returns the group's view.
func (k *Keeper) buildView() View {
	now := k.Clock()
	v := View{Now: now, Ordered: k.orderedAt, Booted: k.Booted, MovePause: k.rebalanceInterval}
	if k.primary == "" {
		k.primary = k.Group.Primary()
	}
	previous := k.primary
	var term uint64
	for _, l := range k.members {
		if l.Answered && l.Status.Primary && l.Status.Term > term {
			term, k.primary = l.Status.Term, l.ID
			k.recordLeader(Lead{ID: l.ID, Born: l.Born, Term: l.Status.Term})
		}
	}
	p := k.members[k.primary]
	for _, l := range k.members {
		if k.primary != previous {
			// Stalls were relative to the previous primary.
			l.BehindSince = 0
		} else if p != nil {
			l.updateStall(p.Status.Received)
			l.updateCoverage(p)
		}
		v.Members = append(v.Members, l.Observation)
	}
	switch {
	case p != nil && (!p.Answered || p.Status.Primary):
		k.leaderlessSince = 0
	case k.leaderlessSince == 0:
		k.leaderlessSince = now
	}
	v.Primary, v.LeaderlessSince = k.primary, k.leaderlessSince
	return v
}
