package promoter

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// The steps of an attempt. Each can be the last one of this process: a promoter
// that dies leaves either the old primary in place, or members that obey a term
// without primary, which the detector reports and the next promoter replaces by a
// newer term.
const (
	// stepProbe asks all members. A fence that gets no majority would stop a
	// healthy primary's group for nothing.
	stepProbe step = iota
	// stepIntent records the intent in the store, if it answers.
	stepIntent
	// stepDrain, of a planned change, lets open transactions end at the primary.
	stepDrain
	// stepCatchUp waits until a replica holds all that the primary took.
	stepCatchUp
	// stepFence makes the members obey the new term.
	stepFence
	// stepPromote makes the choice the primary.
	stepPromote
)

// How long each step may take; an order waits 1 s for its answer.
const (
	probeBound   = time.Second
	intentWait   = time.Second
	drainWait    = 1500 * time.Millisecond
	catchUpBound = 400 * time.Millisecond
	fenceBound   = 1200 * time.Millisecond
	promoteBound = 1500 * time.Millisecond
	// firstBound is how long the first fence may keep the others waiting.
	firstBound = 150 * time.Millisecond
	// drainBound is how long a planned change waits for open transactions: half
	// of what a planned change may take in all.
	drainBound = 100 * time.Millisecond
	// fenceSettle is how long the remaining members get to answer once a majority
	// has: their logs may be newer.
	fenceSettle  = 30 * time.Millisecond
	catchUpPause = 5 * time.Millisecond
)

type (
	step int

	// attempt is one try to replace a primary in one new term. A promotion that
	// was ordered may have taken effect without an answer, so an attempt never
	// orders a second member to be promoted: that takes another term.
	attempt struct {
		id       uint64
		base     uint64 // the newest term when it began
		term     uint64
		planned  bool
		evidence detector.Evidence
		old      int // the primary that is replaced, or -1
		step     step
		began    time.Time
		entered  time.Time // when the step began

		seen     map[int]bool // members that answered the probe
		target   orderer.Position
		first    int  // the member that is fenced first, or -1
		rest     bool // the others have been ordered as well
		fenced   []candidate
		failed   int
		majority time.Time // when enough members were fenced
		choice   candidate
	}
)

func (g *group) begin(now time.Time, planned bool, old int) []controller.Action {
	g.slice.attempts++
	a := &attempt{id: g.slice.attempts, base: g.view.Term(), planned: planned, old: old, began: now, seen: map[int]bool{}}
	if g.agreed != nil {
		a.evidence = g.agreed.Evidence
	}
	g.attempt = a
	g.enter(now, stepProbe)
	return g.all(OrderStatus)
}

func (g *group) enter(now time.Time, s step) { g.attempt.step, g.attempt.entered = s, now }

// order addresses one member in the name of the attempt.
func (g *group) order(kind OrderKind, i int) Order {
	m := g.view.Service.Members[i]
	return Order{
		Service: g.view.Service.Name, Attempt: g.attempt.id, Kind: kind, Member: m.Name, Address: m.Address,
		Term: g.attempt.term, Owner: g.slice.Owner,
	}
}

func (g *group) all(kind OrderKind) []controller.Action {
	var out []controller.Action
	for i := range g.view.Members {
		out = append(out, g.order(kind, i))
	}
	return out
}

// abandon ends the attempt without effect.
func (g *group) abandon(now time.Time, reason AbandonReason, pause time.Duration) []controller.Action {
	a := g.attempt
	g.attempt = nil
	g.notBefore = now.Add(pause)
	return []controller.Action{controller.Emit{Event: Abandoned{Service: g.view.Service.Name, Term: a.term, Reason: reason}}}
}

// advance notices that time has passed.
func (g *group) advance(now time.Time) []controller.Action {
	a := g.attempt
	in := now.Sub(a.entered)
	switch {
	case a.step == stepProbe && in >= probeBound:
		return g.abandon(now, AbandonNoMajority, retryPause)
	case a.step == stepIntent && in >= intentWait:
		return g.fenceOrDrain(now)
	case a.step == stepDrain && in >= drainWait:
		return g.abandon(now, AbandonNoAnswer, 0)
	case a.step == stepCatchUp && in >= catchUpBound:
		return g.fence(now)
	case a.step == stepFence && in >= fenceBound:
		return g.abandon(now, AbandonNoMajority, retryPause)
	case a.step == stepFence && in >= firstBound && !a.rest:
		return g.fenceRest()
	case a.step == stepFence:
		return g.promote(now)
	case a.step == stepPromote && in >= promoteBound:
		return g.abandon(now, AbandonNoAnswer, 0)
	}
	return nil
}

// answered takes in the answer to an order of the attempt.
func (g *group) answered(now time.Time, e Ordered) []controller.Action {
	i := g.view.Index(e.Order.Member)
	if i < 0 {
		return nil
	}
	switch a := g.attempt; {
	case a.step == stepProbe && e.Order.Kind == OrderStatus:
		return g.probed(now, i, e)
	case a.step == stepDrain && e.Order.Kind == OrderDrain:
		return g.drained(now, e)
	case a.step == stepCatchUp && e.Order.Kind == OrderStatus:
		return g.caughtUp(now, i, e)
	case a.step == stepFence && e.Order.Kind == OrderFence:
		return g.granted(now, i, e)
	case a.step == stepPromote && e.Order.Kind == OrderPromote:
		return g.promoted(now, i, e)
	}
	return nil
}

func (g *group) probed(now time.Time, i int, e Ordered) []controller.Action {
	a := g.attempt
	if e.Err != nil {
		if a.planned && i == a.old {
			return g.abandon(now, AbandonNoAnswer, retryPause)
		}
		return nil
	}
	if g.view.Term() > a.base {
		return g.abandon(now, AbandonNewerTerm, retryPause)
	}
	unreached := a.evidence == detector.EvidenceSilent || a.evidence == detector.EvidenceUnreachable
	if i == a.old && unreached && e.Status.Role == commander.RolePrimary {
		return g.abandon(now, AbandonAlive, retryPause)
	}
	a.seen[i] = true
	if len(a.seen) < g.view.Service.Quorum() || (a.planned && !a.seen[a.old]) {
		return nil
	}
	a.term = max(g.view.Term(), g.floor) + 1
	g.enter(now, stepIntent)
	return []controller.Action{controller.Emit{Event: g.began()}, Intend{
		Service: g.view.Service.Name, Attempt: a.id, Record: Record{Term: a.term, Owner: g.slice.Owner},
	}}
}

func (g *group) began() Began {
	a := g.attempt
	b := Began{Service: g.view.Service.Name, Term: a.term, Planned: a.planned, Evidence: a.evidence}
	if a.old >= 0 {
		b.Member = g.view.Service.Members[a.old].Name
	}
	return b
}

func (g *group) intended(now time.Time, e Intended) []controller.Action {
	if g.attempt.step != stepIntent {
		return nil
	}
	if e.Outcome == IntentTaken {
		g.floor = max(g.floor, e.Found.Term)
		return g.abandon(now, AbandonTaken, takenPause)
	}
	return g.fenceOrDrain(now)
}

func (g *group) fenceOrDrain(now time.Time) []controller.Action {
	if !g.attempt.planned {
		return g.fence(now)
	}
	g.enter(now, stepDrain)
	o := g.order(OrderDrain, g.attempt.old)
	o.Bound = drainBound
	return []controller.Action{o}
}

func (g *group) drained(now time.Time, e Ordered) []controller.Action {
	a := g.attempt
	if e.Err != nil {
		return g.abandon(now, AbandonNoAnswer, 0)
	}
	a.target = e.Status.Received
	g.enter(now, stepCatchUp)
	var out []controller.Action
	for i := range g.view.Members {
		if i != a.old {
			out = append(out, g.order(OrderStatus, i))
		}
	}
	return out
}

func (g *group) caughtUp(now time.Time, i int, e Ordered) []controller.Action {
	a := g.attempt
	if e.Err == nil && !g.leaving[e.Order.Member] && e.Status.Received.AtLeast(a.target) {
		return g.fence(now)
	}
	o := g.order(OrderStatus, i)
	o.After = catchUpPause
	return []controller.Action{o}
}

// fence orders one member first, the same for all promoters that see the same
// members, and the rest once it has granted the term. With one member dead and
// two left, promoters that fence both at once each get one and none a majority;
// the one that is refused by the first leaves the rest alone.
func (g *group) fence(now time.Time) []controller.Action {
	a := g.attempt
	g.enter(now, stepFence)
	a.first = -1
	for i := range g.view.Members {
		if a.seen[i] && i != a.old {
			a.first = i
			break
		}
	}
	if a.planned || a.first < 0 { // the drain of the primary came first
		return g.fenceRest()
	}
	return []controller.Action{g.order(OrderFence, a.first)}
}

func (g *group) fenceRest() []controller.Action {
	a := g.attempt
	if a.rest {
		return nil
	}
	a.rest = true
	var out []controller.Action
	for i := range g.view.Members {
		if i != a.first || a.planned {
			out = append(out, g.order(OrderFence, i))
		}
	}
	return out
}

func (g *group) granted(now time.Time, i int, e Ordered) []controller.Action {
	a := g.attempt
	switch {
	case refused(e.Err):
		return g.abandon(now, AbandonNewerTerm, retryPause)
	case e.Err != nil:
		a.failed++
	default:
		avoided := i == a.old || g.leaving[e.Order.Member]
		a.fenced = append(a.fenced, candidate{member: i, status: e.Status, avoided: avoided})
	}
	if a.majority.IsZero() && len(a.fenced) >= g.view.Service.Quorum() {
		a.majority = now
	}
	return append(g.fenceRest(), g.promote(now)...)
}

// promote chooses among the fenced members, once enough have answered.
func (g *group) promote(now time.Time) []controller.Action {
	a := g.attempt
	complete := len(a.fenced)+a.failed == len(g.view.Members)
	if a.majority.IsZero() || (!complete && now.Sub(a.majority) < fenceSettle) {
		return nil
	}
	a.choice = choose(a.fenced, g.view.Service.Quorum())
	g.enter(now, stepPromote)
	return []controller.Action{g.order(OrderPromote, a.choice.member)}
}

func (g *group) promoted(now time.Time, i int, e Ordered) []controller.Action {
	a := g.attempt
	switch {
	case refused(e.Err):
		return g.abandon(now, AbandonNewerTerm, retryPause)
	case e.Err != nil: // it may have taken effect: the same order again
		return []controller.Action{g.order(OrderPromote, a.choice.member)}
	}
	return g.finish(now, i)
}

func (g *group) finish(now time.Time, i int) []controller.Action {
	a := g.attempt
	g.attempt, g.agreed, g.due = nil, nil, time.Time{}
	g.notBefore = now.Add(g.pause(a.evidence))
	member := g.view.Service.Members[i]
	g.unpublished = Record{Term: a.term, Owner: g.slice.Owner, Primary: member.Name}
	g.publishNext = time.Time{}
	out := []controller.Action{controller.Emit{Event: Promoted{
		Service: g.view.Service.Name, Member: member.Name, Term: a.term, Owner: g.slice.Owner, At: a.choice.status.Received,
		Planned: a.planned, Evidence: a.evidence, Took: now.Sub(a.began),
	}}}
	for j := range g.view.Members {
		if j != i {
			out = append(out, g.follow(j, i, a.term))
		}
	}
	return append(out, g.publish(now)...)
}

// pause is how long the next change must wait after this one.
func (g *group) pause(e detector.Evidence) time.Duration {
	if e != detector.EvidenceStalled {
		return 0
	}
	g.stalls++
	return min(stallPause<<min(g.stalls-1, 5), stallPauseMost)
}
