package promoter

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// The steps of an attempt. The process may die in any of them: either the old primary stays,
// or the members are left in a term without a primary, which the detector reports and the next
// promoter replaces.
const (
	// stepProbe requests the status of all members, since a fence without a majority would stop a
	// healthy group.
	stepProbe step = iota
	// stepIntent records the intent in the store if it responds.
	stepIntent
	// stepDrain lets open transactions end at the primary in a planned change.
	stepDrain
	// stepCatchUp waits until a replica holds everything that the primary received.
	stepCatchUp
	// stepFence moves the members to the new term.
	stepFence
	// stepPromote promotes the chosen member.
	stepPromote
)

// The timeouts of the steps.
const (
	probeTimeout       = time.Second
	intentTimeout      = time.Second
	drainAnswerTimeout = 1500 * time.Millisecond
	catchUpTimeout     = 400 * time.Millisecond
	fenceTimeout       = 1200 * time.Millisecond
	promoteTimeout     = 1500 * time.Millisecond
	// firstFenceTimeout bounds how long the first fence delays the others.
	firstFenceTimeout = 150 * time.Millisecond
	// drainTimeout bounds the wait for open transactions in a planned change. It is half of what a
	// planned change may take in total.
	drainTimeout = 100 * time.Millisecond
	// fenceGracePeriod is how long the remaining members may respond after a majority has: their
	// logs may be longer.
	fenceGracePeriod    = 30 * time.Millisecond
	catchUpPollInterval = 5 * time.Millisecond
)

type (
	step int

	// attempt is one attempt to replace a primary in a new term. It never orders a second member
	// to be promoted, because an unanswered promotion may have taken effect: that takes another
	// term.
	attempt struct {
		id            uint64
		startTerm     uint64 // the newest term at the start
		term          uint64
		planned       bool
		evidence      detector.Evidence
		oldPrimary    int // the replaced primary, or -1
		step          step
		startedAt     time.Time
		stepStartedAt time.Time

		responded       map[int]bool // members that responded to the probe
		catchUpPosition orderer.Position
		firstFenced     int  // the member fenced first, or -1
		fencingOthers   bool // set once the others have been ordered
		fenced          []candidate
		fenceFailures   int       // failed fence orders
		majorityAt      time.Time // when a quorum was fenced
		chosen          candidate
	}
)

func (g *group) startAttempt(now time.Time, planned bool, oldPrimary int) []controller.Action {
	g.slice.lastAttempt++
	a := &attempt{id: g.slice.lastAttempt, startTerm: g.view.Term(), planned: planned, oldPrimary: oldPrimary, startedAt: now, responded: map[int]bool{}}
	if g.agreedFailure != nil {
		a.evidence = g.agreedFailure.Evidence
	}
	g.attempt = a
	g.enterStep(now, stepProbe)
	return g.orderAll(OrderStatus)
}

func (g *group) enterStep(now time.Time, s step) { g.attempt.step, g.attempt.stepStartedAt = s, now }

// newOrder returns an order of the attempt for one member.
func (g *group) newOrder(kind OrderKind, i int) Order {
	m := g.view.Service.Members[i]
	return Order{
		Service: g.view.Service.Name, Attempt: g.attempt.id, Kind: kind, Member: m.Name, Address: m.Address,
		Term: g.attempt.term, Owner: g.slice.Owner,
	}
}

// orderAll returns an order of the attempt for each member.
func (g *group) orderAll(kind OrderKind) []controller.Action {
	var out []controller.Action
	for i := range g.view.Members {
		out = append(out, g.newOrder(kind, i))
	}
	return out
}

// abandon ends the attempt without effect and delays the next one.
func (g *group) abandon(now time.Time, reason AbandonReason, delay time.Duration) []controller.Action {
	a := g.attempt
	g.attempt = nil
	g.cooldownUntil = now.Add(delay)
	return []controller.Action{controller.Emit{Event: Abandoned{Service: g.view.Service.Name, Term: a.term, Reason: reason}}}
}

// checkProgress handles the timeouts of the current step.
func (g *group) checkProgress(now time.Time) []controller.Action {
	a := g.attempt
	elapsed := now.Sub(a.stepStartedAt)
	switch {
	case a.step == stepProbe && elapsed >= probeTimeout:
		return g.abandon(now, AbandonNoMajority, retryDelay)
	case a.step == stepIntent && elapsed >= intentTimeout:
		return g.fenceOrDrain(now)
	case a.step == stepDrain && elapsed >= drainAnswerTimeout:
		return g.abandon(now, AbandonNoAnswer, 0)
	case a.step == stepCatchUp && elapsed >= catchUpTimeout:
		return g.startFencing(now)
	case a.step == stepFence && elapsed >= fenceTimeout:
		return g.abandon(now, AbandonNoMajority, retryDelay)
	case a.step == stepFence && elapsed >= firstFenceTimeout && !a.fencingOthers:
		return g.fenceOthers()
	case a.step == stepFence:
		return g.promoteWhenReady(now)
	case a.step == stepPromote && elapsed >= promoteTimeout:
		return g.abandon(now, AbandonNoAnswer, 0)
	}
	return nil
}

// handleAnswer handles the result of an order of the attempt.
func (g *group) handleAnswer(now time.Time, e OrderResult) []controller.Action {
	i := g.view.Index(e.Order.Member)
	if i < 0 {
		return nil
	}
	switch a := g.attempt; {
	case a.step == stepProbe && e.Order.Kind == OrderStatus:
		return g.handleProbe(now, i, e)
	case a.step == stepDrain && e.Order.Kind == OrderDrain:
		return g.handleDrain(now, e)
	case a.step == stepCatchUp && e.Order.Kind == OrderStatus:
		return g.handleCatchUp(now, i, e)
	case a.step == stepFence && e.Order.Kind == OrderFence:
		return g.handleFence(now, i, e)
	case a.step == stepPromote && e.Order.Kind == OrderPromote:
		return g.handlePromote(now, i, e)
	}
	return nil
}

func (g *group) handleProbe(now time.Time, i int, e OrderResult) []controller.Action {
	a := g.attempt
	if e.Err != nil {
		if a.planned && i == a.oldPrimary {
			return g.abandon(now, AbandonNoAnswer, retryDelay)
		}
		return nil
	}
	if g.view.Term() > a.startTerm {
		return g.abandon(now, AbandonNewerTerm, retryDelay)
	}
	unreached := a.evidence == detector.EvidenceSilent || a.evidence == detector.EvidenceUnreachable
	if i == a.oldPrimary && unreached && e.Status.Role == commander.RolePrimary {
		return g.abandon(now, AbandonPrimaryAlive, retryDelay)
	}
	a.responded[i] = true
	if len(a.responded) < g.view.Service.Quorum() || (a.planned && !a.responded[a.oldPrimary]) {
		return nil
	}
	a.term = max(g.view.Term(), g.newestStoredTerm) + 1
	g.enterStep(now, stepIntent)
	return []controller.Action{controller.Emit{Event: g.startedEvent()}, RecordIntent{
		Service: g.view.Service.Name, Attempt: a.id, Record: Record{Term: a.term, Owner: g.slice.Owner},
	}}
}

// startedEvent returns the event for the start of the current attempt.
func (g *group) startedEvent() PromotionStarted {
	a := g.attempt
	b := PromotionStarted{Service: g.view.Service.Name, Term: a.term, Planned: a.planned, Evidence: a.evidence}
	if a.oldPrimary >= 0 {
		b.Member = g.view.Service.Members[a.oldPrimary].Name
	}
	return b
}

func (g *group) handleIntent(now time.Time, e IntentRecorded) []controller.Action {
	if g.attempt.step != stepIntent {
		return nil
	}
	if e.Outcome == IntentTaken {
		g.newestStoredTerm = max(g.newestStoredTerm, e.Found.Term)
		return g.abandon(now, AbandonIntentTaken, takenIntentDelay)
	}
	return g.fenceOrDrain(now)
}

// fenceOrDrain continues after the intent: a planned change first drains the old primary.
func (g *group) fenceOrDrain(now time.Time) []controller.Action {
	if !g.attempt.planned {
		return g.startFencing(now)
	}
	g.enterStep(now, stepDrain)
	o := g.newOrder(OrderDrain, g.attempt.oldPrimary)
	o.DrainTimeout = drainTimeout
	return []controller.Action{o}
}

func (g *group) handleDrain(now time.Time, e OrderResult) []controller.Action {
	a := g.attempt
	if e.Err != nil {
		return g.abandon(now, AbandonNoAnswer, 0)
	}
	a.catchUpPosition = e.Status.Received
	g.enterStep(now, stepCatchUp)
	var out []controller.Action
	for i := range g.view.Members {
		if i != a.oldPrimary {
			out = append(out, g.newOrder(OrderStatus, i))
		}
	}
	return out
}

// handleCatchUp starts fencing once a replica has caught up, and polls the replica again otherwise.
func (g *group) handleCatchUp(now time.Time, i int, e OrderResult) []controller.Action {
	a := g.attempt
	if e.Err == nil && !g.leaving[e.Order.Member] && e.Status.Received.AtLeast(a.catchUpPosition) {
		return g.startFencing(now)
	}
	o := g.newOrder(OrderStatus, i)
	o.Delay = catchUpPollInterval
	return []controller.Action{o}
}

// startFencing fences one member first, the same for all promoters with the same view, and the
// rest once it has granted the term. Otherwise competing promoters could each fence a
// minority.
func (g *group) startFencing(now time.Time) []controller.Action {
	a := g.attempt
	g.enterStep(now, stepFence)
	a.firstFenced = -1
	for i := range g.view.Members {
		if a.responded[i] && i != a.oldPrimary {
			a.firstFenced = i
			break
		}
	}
	if a.planned || a.firstFenced < 0 { // a planned change has already drained the primary
		return g.fenceOthers()
	}
	return []controller.Action{g.newOrder(OrderFence, a.firstFenced)}
}

// fenceOthers fences the members other than the first fenced one.
func (g *group) fenceOthers() []controller.Action {
	a := g.attempt
	if a.fencingOthers {
		return nil
	}
	a.fencingOthers = true
	var out []controller.Action
	for i := range g.view.Members {
		if i != a.firstFenced || a.planned {
			out = append(out, g.newOrder(OrderFence, i))
		}
	}
	return out
}

func (g *group) handleFence(now time.Time, i int, e OrderResult) []controller.Action {
	a := g.attempt
	switch {
	case isRefused(e.Err):
		return g.abandon(now, AbandonNewerTerm, retryDelay)
	case e.Err != nil:
		a.fenceFailures++
	default:
		avoided := i == a.oldPrimary || g.leaving[e.Order.Member]
		a.fenced = append(a.fenced, candidate{member: i, status: e.Status, avoided: avoided})
	}
	if a.majorityAt.IsZero() && len(a.fenced) >= g.view.Service.Quorum() {
		a.majorityAt = now
	}
	return append(g.fenceOthers(), g.promoteWhenReady(now)...)
}

// promoteWhenReady promotes one of the fenced members once enough have responded.
func (g *group) promoteWhenReady(now time.Time) []controller.Action {
	a := g.attempt
	complete := len(a.fenced)+a.fenceFailures == len(g.view.Members)
	if a.majorityAt.IsZero() || (!complete && now.Sub(a.majorityAt) < fenceGracePeriod) {
		return nil
	}
	a.chosen = chooseCandidate(a.fenced, g.view.Service.Quorum())
	g.enterStep(now, stepPromote)
	return []controller.Action{g.newOrder(OrderPromote, a.chosen.member)}
}

func (g *group) handlePromote(now time.Time, i int, e OrderResult) []controller.Action {
	a := g.attempt
	switch {
	case isRefused(e.Err):
		return g.abandon(now, AbandonNewerTerm, retryDelay)
	case e.Err != nil: // may have taken effect, so the same order is repeated
		return []controller.Action{g.newOrder(OrderPromote, a.chosen.member)}
	}
	return g.finishPromotion(now, i)
}

// finishPromotion ends the attempt after member i was promoted, and makes the others follow it.
func (g *group) finishPromotion(now time.Time, i int) []controller.Action {
	a := g.attempt
	g.attempt, g.agreedFailure, g.startAt = nil, nil, time.Time{}
	g.cooldownUntil = now.Add(g.cooldown(a.evidence))
	member := g.view.Service.Members[i]
	g.unpublished = Record{Term: a.term, Owner: g.slice.Owner, Primary: member.Name}
	g.nextPublishAt = time.Time{}
	out := []controller.Action{controller.Emit{Event: Promoted{
		Service: g.view.Service.Name, Member: member.Name, Term: a.term, Owner: g.slice.Owner, LogEnd: a.chosen.status.Received,
		Planned: a.planned, Evidence: a.evidence, Duration: now.Sub(a.startedAt),
	}}}
	for j := range g.view.Members {
		if j != i {
			out = append(out, g.followOrder(j, i, a.term))
		}
	}
	return append(out, g.publishPending(now)...)
}

// cooldown returns the minimum delay before the next change.
func (g *group) cooldown(e detector.Evidence) time.Duration {
	if e != detector.EvidenceStalled {
		return 0
	}
	g.stallChanges++
	return min(stallCooldown<<min(g.stallChanges-1, 5), maxStallCooldown)
}
