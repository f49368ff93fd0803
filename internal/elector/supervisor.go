package elector

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// pollInterval is the period of polling the primary, and every member while the group is
	// unhealthy. Each poll occupies a slot for a moment.
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
	// registryReadInterval is the period of reading the registry while replication is stalled.
	registryReadInterval = time.Second
	// incarnationSeparator separates a member's ID and its start time in the ID of a former
	// incarnation. Member IDs do not contain it.
	incarnationSeparator = "~"
)

type (
	// Supervisor supervises one group while this instance owns it. Set the exported fields, then
	// call Run.
	Supervisor struct {
		Group *tracker.Group
		Clock func() tracker.Timestamp
		// Members returns all members, including those that are leaving.
		Members func() []tracker.Member
		// ReadRegistry reads the members' registrations from the store. Members then returns all that
		// had registered when it was called. It returns an error if some may be missing.
		ReadRegistry func(ctx context.Context) error
		// Connect opens a connection to a member.
		Connect func(ctx context.Context, m tracker.Member) (*lender.Conn, error)
		Codec   messenger.MemberCodec
		// SendPooled, when set, sends a command to a member on a connection of this instance's pool or of
		// another instance.
		SendPooled func(ctx context.Context, member string, c messenger.Command) (messenger.Reply, error)
		// Holds reports whether the ownership is certain to last for the given time.
		Holds func(d time.Duration) bool
		// NextFencingToken records the group's state and returns a fencing token above all earlier
		// ones; State returns the last recorded state.
		NextFencingToken func(ctx context.Context, f State) (int64, error)
		State            func() State
		// StateStored reports whether the store holds the last recorded state, as far as is known.
		StateStored func() bool
		// StateConfirmed reports whether State includes everything that earlier owners recorded;
		// ReadState reads it from the store and reports whether it has changed.
		StateConfirmed func() bool
		ReadState      func(ctx context.Context) (changed bool, err error)
		// AllowLeases lets instances have commit leases for the term of the primary. SuspendLeases ends
		// that and returns when those granted so far have expired, also by earlier owners.
		AllowLeases   func(term uint64)
		SuspendLeases func() tracker.Timestamp
		// Candidates returns the instances that may be the group's next owner.
		Candidates func() []string
		// Promote orders a promotion.
		Promote func(ctx context.Context, group, member string, fencingToken int64) error
		// Refused reports whether an error of Promote is a refusal.
		Refused func(error) bool
		// SynchronousReplicas returns how many replicas hold a commit before it is acknowledged.
		SynchronousReplicas func() int
		// ConnectionLimit returns a member's connection limit for all instances, 0 when unknown.
		ConnectionLimit func() int
		// ProcessStart is when this process started.
		ProcessStart tracker.Timestamp
		// PrimaryChanged is called when the primary has changed.
		PrimaryChanged func()
		Log            func(fields ...any)

		members            map[string]*memberState
		primary            string
		leaderlessSince    tracker.Timestamp
		promotionOrderedAt tracker.Timestamp
		// announcedLeave are the members that announced to leave, or whose address was reused. They
		// have departed once they are no longer registered.
		announcedLeave map[string]bool
		// formerIncarnations maps former incarnations that may hold the only copy of a commit to
		// their addresses; see incarnationID.
		formerIncarnations map[string]string
		// startTimes are the last known start times of the members whose logs count, also of those that
		// earlier owners knew.
		startTimes map[string]int64
		// registered are the registered members.
		registered map[string]bool
		// excluded are departed members whose commits are all held by others.
		excluded map[string]bool
		// recordedAt is when the state was last recorded, reportedAt when statuses were last logged.
		recordedAt, reportedAt tracker.Timestamp
		// stateConfirmed is set once the state includes everything that earlier owners recorded.
		stateConfirmed bool
		// lastLeader is the last known primary.
		lastLeader Leadership
		// promotionPending is set while a promotion order may still be executed late; orderedMember is
		// the member that the last one named.
		promotionPending bool
		orderedMember    string
		// orderedStartTime is the start time of orderedMember when it was ordered, 0 if unknown.
		orderedStartTime int64
		// mayLeadUntil is until when an order that names a member may make it lead.
		mayLeadUntil map[string]tracker.Timestamp
		// rebalanceInterval is the minimum time between changes made only to balance load,
		// rebalancedAt the time of the last one.
		rebalanceInterval time.Duration
		rebalancedAt      tracker.Timestamp
		// registryReadAt is when the registry was last read because replication had stalled.
		registryReadAt tracker.Timestamp
		// registryConfirmedAt is when the last successful reading of the registry was requested.
		registryConfirmedAt tracker.Timestamp
		// restoredAt is when a change last restored the old primary.
		restoredAt tracker.Timestamp
		// fencedAt is when earlier promotion orders were last fenced off.
		fencedAt tracker.Timestamp
		// leasesAllowed is set while instances may have commit leases; suspensionRecordedAt is when the
		// group's state has said since that they may not, 0 if it doesn't; suspensionTriedAt is when that
		// was last tried.
		leasesAllowed                           bool
		suspensionRecordedAt, suspensionTriedAt tracker.Timestamp
		// resumePendingUntil is until when an unanswered resume command may take effect, by member.
		resumePendingUntil map[string]tracker.Timestamp
	}
)

// Run supervises the group until the context ends.
func (sv *Supervisor) Run(ctx context.Context) error {
	sv.members, sv.resumePendingUntil = map[string]*memberState{}, map[string]tracker.Timestamp{}
	sv.announcedLeave, sv.excluded, sv.formerIncarnations = map[string]bool{}, map[string]bool{}, map[string]string{}
	sv.startTimes, sv.mayLeadUntil = map[string]int64{}, map[string]tracker.Timestamp{}
	sv.adoptState()
	defer sv.closeConnections()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if !sv.stateConfirmed && sv.StateConfirmed() {
			sv.adoptState()
			sv.stateConfirmed = true
		}
		v := sv.pollMembers(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sv.logStatuses(v)
		sv.act(ctx, v)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// adoptState takes over what earlier owners recorded.
func (sv *Supervisor) adoptState() {
	recorded := sv.State()
	if recorded.PromotionPending && !sv.promotionPending {
		sv.promotionPending, sv.orderedMember, sv.orderedStartTime = true, recorded.Ordered, recorded.OrderedStartTime
		// The state doesn't say which members the orders that were to fence it off have named.
		sv.orderSent(recorded.Ordered)
		sv.orderSent(unknownMember)
	}
	if recorded.Leader.Term > sv.lastLeader.Term {
		sv.lastLeader = recorded.Leader
	}
	for id, startTime := range recorded.StartTimes {
		earlier := tracker.Member{ID: id, Address: recorded.Members[id], StartTime: startTime}
		if m := sv.members[id]; m == nil {
			sv.startTimes[id] = startTime
		} else if m.RestartedSince(earlier) {
			sv.handleRestart(&memberState{Observation: Observation{Member: earlier}})
		}
	}
}

// confirmState reports whether the state includes everything that earlier owners recorded. It reads
// the state from the store if a decision needs it before the watch has shown it, and then lets the
// next round decide.
func (sv *Supervisor) confirmState(ctx context.Context, d Decision) bool {
	if sv.stateConfirmed || d.Reason == ReasonNone && len(d.Resume) == 0 {
		return sv.stateConfirmed
	}
	changed, err := sv.ReadState(ctx)
	sv.Log("event", "state-read", "group", sv.Group.Name, "changed", changed, "outcome", outcomeText(err))
	if err != nil {
		return false
	}
	sv.adoptState()
	sv.stateConfirmed = true
	return !changed
}

// logStatuses logs the members' statuses.
func (sv *Supervisor) logStatuses(v View) {
	if v.Now-sv.reportedAt < statusLogInterval {
		return
	}
	sv.reportedAt = v.Now
	for _, m := range v.Members {
		sv.Log("event", "observed", "group", sv.Group.Name, "member", m.ID, "answered", m.Answered, "primary", m.Status.Primary,
			"term", m.Status.Term, "position", m.Status.Received, "lag-ms", m.Status.LagMillis, "busy", m.Status.Busy, "connections", m.Status.Connections)
	}
}

// act carries out one decision of Decide per round.
func (sv *Supervisor) act(ctx context.Context, v View) {
	d := Decide(v)
	if !sv.confirmState(ctx, d) {
		return
	}
	if sv.fenceBeforeChange(ctx, d) || sv.fenceRestarted(ctx) {
		return
	}
	if d.Reason != ReasonNone && d.Reason != ReasonReplicationStalled && v.Now-sv.fencedAt < fencingDelay {
		sv.Log("event", "move-waits", "group", sv.Group.Name, "reason", d.Reason, "for", "fencing of earlier promotion orders")
		return
	}
	if d.Reason == ReasonReplicationStalled {
		sv.findFollower(ctx)
		d.Reason = ReasonNone
	}
	leads, _ := sv.leads(sv.members[sv.primary])
	if sv.restoredAt != 0 && v.Now-sv.restoredAt < restoreCooldown && (leads || d.Reason.primaryAlive()) {
		return
	}
	if d.Reason != ReasonNone && !leads && sv.leasesOutstanding(v, d.Reason) {
		return
	}
	if d.Reason != ReasonNone {
		sv.updateRebalanceInterval(d.Reason)
		start := sv.Clock()
		sv.Log("event", "move-begins", "group", sv.Group.Name, "reason", d.Reason, "primary", v.Primary)
		to, err := sv.changePrimary(ctx, v, d.Reason)
		sv.Log("event", "move-ended", "group", sv.Group.Name, "reason", d.Reason, "from", v.Primary, "to", to,
			"outcome", outcomeText(err), "ms", (sv.Clock() - start).Milliseconds())
		if err != nil {
			sv.refreshMembers()
			sv.fenceRestarted(ctx)
			_ = sleeper.Sleep(ctx, retryDelay)
		}
		return
	}
	if sv.promotionPending {
		sv.fencePendingPromotion(ctx)
	}
	if !sv.promotionPending {
		for _, id := range d.Resume {
			sv.resume(ctx, id)
		}
	}
	sv.saveState(ctx)
}

// fenceBeforeChange fences off earlier promotion orders before a responsive primary is demoted, and
// reports whether that was due. An order executed after the demotion would let the member that it
// names lead and acknowledge commits until the candidate is promoted, which may lack them.
func (sv *Supervisor) fenceBeforeChange(ctx context.Context, d Decision) bool {
	leads, _ := sv.leads(sv.members[sv.primary])
	if !sv.promotionPending || !leads || d.Reason == ReasonNone || d.Reason == ReasonReplicationStalled {
		return false
	}
	sv.fencePendingPromotion(ctx)
	return true
}

// fenceRestarted fences off an earlier promotion order whose member has restarted, and reports whether
// that was due. It doesn't wait for a primary that leads.
func (sv *Supervisor) fenceRestarted(ctx context.Context) bool {
	if !sv.orderedRestarted() {
		return false
	}
	sv.fencePendingPromotion(ctx)
	return true
}

// findFollower looks for a replica that the watch of the store has not shown yet, while none of the
// known ones follows the primary. A change would only interrupt reads: no known replica can be
// promoted, as it lacks commits that an unknown one may have acknowledged.
func (sv *Supervisor) findFollower(ctx context.Context) {
	if now := sv.Clock(); sv.registryReadAt == 0 || now-sv.registryReadAt >= registryReadInterval {
		sv.registryReadAt = now
		sv.Log("event", "replication-stalled", "group", sv.Group.Name, "primary", sv.primary, "members", len(sv.members))
		_ = sv.readRegistry(ctx)
	}
}

// updateRebalanceInterval backs off after a change made to balance load.
func (sv *Supervisor) updateRebalanceInterval(r Reason) {
	if r != ReasonOverloaded {
		return
	}
	now := sv.Clock()
	if sv.rebalancedAt != 0 && now-sv.rebalancedAt < 2*sv.rebalanceInterval {
		sv.rebalanceInterval = min(4*sv.rebalanceInterval, maxRebalanceInterval)
	} else {
		sv.rebalanceInterval = minRebalanceInterval
	}
	sv.rebalancedAt = now
}

// saveState records the state for the next owner when it has changed: a missing member may hold
// the only copy of a commit.
func (sv *Supervisor) saveState(ctx context.Context) {
	now, state := sv.Clock(), sv.stateToRecord()
	if state.equal(sv.State()) && sv.StateStored() || now-sv.recordedAt < minRecordInterval {
		return
	}
	sv.recordedAt = now
	_, err := sv.NextFencingToken(ctx, state)
	sv.Log("event", "roster", "group", sv.Group.Name, "members", len(state.Members), "order-open", state.PromotionPending, "outcome", outcomeText(err))
}

// stateToRecord returns the state for the next owner.
func (sv *Supervisor) stateToRecord() State {
	if sv.promotionPending {
		s := sv.stateWithOrder(sv.orderedMember)
		s.OrderedStartTime = sv.orderedStartTime
		return s
	}
	return State{Members: sv.memberAddresses(), StartTimes: sv.countedStartTimes(), Leader: sv.lastLeader, LeasesSuspended: !sv.leasesAllowed, Candidates: sv.Candidates()}
}

// stateWithOrder returns the state for the next owner while an order that names a member is pending.
func (sv *Supervisor) stateWithOrder(member string) State {
	return State{
		Members: sv.memberAddresses(), StartTimes: sv.countedStartTimes(), PromotionPending: true, Ordered: member, OrderedStartTime: sv.startTimeOf(member), Leader: sv.lastLeader,
		LeasesSuspended: !sv.leasesAllowed, Candidates: sv.Candidates(),
	}
}

// startTimeOf returns the start time of a member, 0 if it is unknown.
func (sv *Supervisor) startTimeOf(id string) int64 {
	if m := sv.members[id]; m != nil {
		return m.StartTime
	}
	return 0
}

// equal reports whether two states are the same.
func (s State) equal(o State) bool {
	return maps.Equal(s.Members, o.Members) && maps.Equal(s.StartTimes, o.StartTimes) && s.PromotionPending == o.PromotionPending && s.Ordered == o.Ordered && s.OrderedStartTime == o.OrderedStartTime && s.Leader == o.Leader &&
		s.LeasesSuspended == o.LeasesSuspended && slices.Equal(s.Candidates, o.Candidates)
}

// outcomeText returns the "outcome" of a log line: the error, or "done".
func outcomeText(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// pollMembers polls all members that are due concurrently.
func (sv *Supervisor) pollMembers(ctx context.Context) View {
	sv.refreshMembers()
	// Collected first, because the primary's response changes which members are due.
	var due []*memberState
	for _, m := range sv.members {
		if sv.shouldPoll(m) {
			due = append(due, m)
		}
	}
	applyPooled := sv.pollPooled(ctx)
	sv.pollAll(ctx, due)
	applyPooled()
	v := sv.buildView()
	sv.updateLeases(ctx)
	sv.excludeDeparted()
	return v
}

// pollAll polls members concurrently.
func (sv *Supervisor) pollAll(ctx context.Context, members []*memberState) {
	var polls sync.WaitGroup
	for _, m := range members {
		polls.Go(func() { sv.poll(ctx, m) })
	}
	polls.Wait()
}

// recordLeader stores a newly seen primary.
func (sv *Supervisor) recordLeader(l Leadership) {
	if l.Term >= sv.lastLeader.Term {
		sv.lastLeader = l
	}
}

// refreshMembers updates the members from the registry, and returns the new ones.
func (sv *Supervisor) refreshMembers() []*memberState {
	registered := sv.Members()
	sv.registered = map[string]bool{}
	for _, m := range registered {
		sv.registered[m.ID] = true
	}
	members := sv.withMissing(registered)
	sv.pruneMembers(members)
	var joined []*memberState
	for _, m := range members {
		state := sv.members[m.ID]
		if state != nil && m.RestartedSince(state.Member) {
			sv.handleRestart(state)
			state = nil
		}
		earlier := tracker.Member{ID: m.ID, Address: m.Address, StartTime: sv.startTimes[m.ID]}
		if state == nil && earlier.StartTime != 0 && m.RestartedSince(earlier) {
			sv.handleRestart(&memberState{Observation: Observation{Member: earlier}})
		}
		if m.StartTime != 0 {
			sv.startTimes[m.ID] = m.StartTime
		}
		if state == nil {
			state = &memberState{}
			sv.members[m.ID] = state
			sv.include(m.ID)
			joined = append(joined, state)
		}
		state.Member, state.maxConnections = m, sv.ConnectionLimit()
		if m.Leaving && !m.Missing {
			sv.announcedLeave[m.ID] = true
		}
	}
	return joined
}

// shouldPoll reports whether a member is due. Replicas are polled less often while the primary
// is healthy.
func (sv *Supervisor) shouldPoll(m *memberState) bool {
	if isFormerIncarnation(m.ID) {
		return false
	}
	if m.ID == sv.primary || !m.Answered || m.PausedSince != 0 {
		return true
	}
	p := sv.members[sv.primary]
	healthy := p != nil && p.Answered && p.Status.Primary && !p.Leaving && p.OverloadedSince == 0 && m.StalledSince == 0
	return !healthy || sv.Clock()-m.polledAt >= healthyReplicaInterval
}

// pruneMembers drops members that are no longer listed.
func (sv *Supervisor) pruneMembers(members []tracker.Member) {
	for id, state := range sv.members {
		if !slices.ContainsFunc(members, func(m tracker.Member) bool { return m.ID == id }) {
			state.close()
			delete(sv.members, id)
		}
	}
}

// buildView determines the primary from the members' statuses and returns the group's view.
func (sv *Supervisor) buildView() View {
	now := sv.Clock()
	v := View{Now: now, PromotionOrderedAt: sv.promotionOrderedAt, ProcessStart: sv.ProcessStart, RebalanceInterval: sv.rebalanceInterval}
	if sv.primary == "" {
		sv.primary = sv.Group.Primary()
	}
	previous := sv.primary
	var term uint64
	for _, m := range sv.members {
		if m.Answered && m.Status.Primary && m.Status.Term > term {
			term, sv.primary = m.Status.Term, m.ID
			sv.recordLeader(Leadership{ID: m.ID, StartTime: m.StartTime, Term: m.Status.Term})
		}
	}
	p := sv.members[sv.primary]
	for _, m := range sv.members {
		if sv.primary != previous {
			// Stalls were relative to the previous primary.
			m.StalledSince = 0
		} else if p != nil {
			m.updateStall(p.Status.Received)
			m.updateCoverage(p)
		}
		v.Members = append(v.Members, m.Observation)
	}
	switch {
	case p != nil && (!p.Answered || p.Status.Primary):
		sv.leaderlessSince = 0
	case sv.leaderlessSince == 0:
		sv.leaderlessSince = now
	}
	v.Primary, v.LeaderlessSince = sv.primary, sv.leaderlessSince
	return v
}
