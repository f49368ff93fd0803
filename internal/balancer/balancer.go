// Package balancer decides which member serves a read, from the load that all instances together
// cause at the members, and whether a borrower asks a holder of connections whose queue is long. It
// has no clock and no network.
//
// Without the load of all instances, each one ranks the members by its own few statements. All
// instances then prefer the same member, often the primary, although replicas are idle.
package balancer

import (
	"slices"
	"time"
)

const (
	// MaxLoadAge is the age from which the load of a member counts as unknown.
	MaxLoadAge = 2 * time.Second
	// IdleLoad is the number of statements per slot below which all members of a group are idle.
	// Their order then doesn't matter for the load.
	IdleLoad = 0.125
	// delayFactor relates the delay that one more statement causes to the others at a member to the
	// square of the statements per slot. In a queue of four slots with random arrivals, the factor is
	// 2 to 4 between half and nine tenths of the capacity.
	delayFactor = 3
	// maxPassedOn is the largest part of the reads that a preferred member passes on. With 1, members
	// whose load is known 1 s late pass their work to each other in turn.
	maxPassedOn = 0.8
)

// Outcome is the reason for the choice of a member.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown means that the load of a candidate is unknown, so that the order is that of the
	// instance's own samples.
	OutcomeUnknown Outcome = iota
	// OutcomeIdle means that all candidates are idle, so that the order is that of the instance's own
	// samples.
	OutcomeIdle
	// OutcomeNear means that a member in the region was chosen.
	OutcomeNear
	// OutcomeShared means that one of several equally near members was chosen.
	OutcomeShared
	// OutcomeSpread means that a member in the region passes the read on to another region.
	OutcomeSpread
	// OutcomeRelieved means that the primary in the region passes the read on to a replica.
	OutcomeRelieved
	// OutcomePrimary means that the primary is chosen although a replica is as near, since that
	// is faster for all requests together.
	OutcomePrimary
)

// Outcomes lists all outcomes with a description for operators.
var Outcomes = []struct {
	Outcome Outcome
	Text    string
}{
	{OutcomeUnknown, "The load of a candidate was unknown or older than 2 s; this instance's own latencies decided. Alert when it stays above a tenth of all outcomes for a minute on a day with load."},
	{OutcomeIdle, "All candidates were idle; this instance's own latencies decided."},
	{OutcomeNear, "A member in the region had room."},
	{OutcomeShared, "One of several members that are equally near was chosen by their load."},
	{OutcomeSpread, "A replica in the region was so loaded that a member of another region was chosen."},
	{OutcomeRelieved, "The primary in the region was so loaded that a replica of another region was chosen."},
	{OutcomePrimary, "The primary was chosen in the place of a replica, since that delays all requests together less."},
}

var outcomeNames = [...]string{
	OutcomeUnknown: "load-unknown", OutcomeIdle: "idle", OutcomeNear: "near", OutcomeShared: "shared",
	OutcomeSpread: "spread", OutcomeRelieved: "primary-relieved", OutcomePrimary: "primary-faster",
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Member is a candidate for a read.
type Member struct {
	ID string
	// Slots is the number of statements that the member runs at a time.
	Slots int
	// Busy is the number of statements of all instances at the member, running or queued.
	Busy float64
	// OwnExcess is the number of this instance's statements in flight that Busy doesn't include.
	OwnExcess float64
	// Network is the round-trip time to the member, Service the time that a statement occupies a
	// slot.
	Network, Service time.Duration
	// Wait is the expected wait for a connection at the instance that holds them, 0 if unknown.
	Wait time.Duration
	// Age is how long ago Busy was observed.
	Age time.Duration
	// Near is set if the member is in the region of this instance.
	Near    bool
	Primary bool
}

// statementsPerSlot returns the statements at the member per slot.
func (m Member) statementsPerSlot() float64 {
	return (max(0, m.Busy) + max(0, m.OwnExcess)) / float64(max(1, m.Slots))
}

// Completion returns the expected time from sending a read to its reply.
func (m Member) Completion() time.Duration {
	perSlot := m.statementsPerSlot() + 1/float64(max(1, m.Slots))
	return m.Network + m.Wait + time.Duration(perSlot*float64(m.Service))
}

// Cost returns the expected completion time of a read and, at the primary, the time by which it
// delays the other statements there: only the primary can run those.
func (m Member) Cost() time.Duration {
	cost := m.Completion()
	if m.Primary {
		perSlot := m.statementsPerSlot()
		cost += time.Duration(delayFactor * perSlot * perSlot * float64(m.Service))
	}
	return cost
}

// Idle reports whether all members are idle, and no request waits for a connection to one.
func Idle(list []Member) bool {
	return !slices.ContainsFunc(list, func(m Member) bool { return m.Wait > 0 || m.statementsPerSlot() >= IdleLoad })
}

// Order moves the candidate that a read goes to to the front and returns the reason. The others, which
// get the read if there is no connection to the first one, keep their order: connections to a member
// that is rarely the second one would be opened for nothing. random returns numbers in [0, 1).
//
// It handles reads of many instances that all have the same load information, which is about 1 s
// old. If each chose the member with the least load, all would choose the same one until the next
// information arrives. Two members are therefore picked at random, weighted by their slots, the first
// one in the region if there is any; the worse of the two is chosen with a probability that falls with
// its cost.
func Order(list []Member, random func() float64) Outcome {
	if len(list) == 0 {
		return OutcomeUnknown
	}
	chosen, outcome := choose(list, random)
	m := list[chosen]
	copy(list[1:chosen+1], list[:chosen])
	list[0] = m
	return outcome
}

// Trim returns the candidates, ordered by Order, without those that are worse than the first one: in
// another region while the first one is near, the primary that passes the read on, or a near
// member that is overloaded. Otherwise a read would use any idle connection to one of them while those to
// the first one are in use for a moment.
func Trim(list []Member) []Member {
	var kept []Member
	for i, m := range list {
		first := list[0]
		if i == 0 || m.Cost() < first.Cost() || m.Near == first.Near && m.Primary == first.Primary {
			kept = append(kept, m)
		}
	}
	return kept
}

// choose picks two members and returns the index of the chosen one.
func choose(list []Member, random func() float64) (int, Outcome) {
	first := pick(list, random, func(i int) bool { return list[i].Near })
	if first < 0 {
		first = pick(list, random, func(int) bool { return true })
	}
	second := pick(list, random, func(i int) bool { return i != first })
	if second < 0 {
		return first, outcomeOf(list[first], nil)
	}
	if prefersSecond(list[first], list[second]) {
		first, second = second, first
	}
	a, b := list[first], list[second]
	if random() < passOn(a, b) {
		return second, outcomeOf(b, &a)
	}
	return first, outcomeOf(a, nil)
}

// pick returns the index of a random eligible member, weighted by slots, or -1.
func pick(list []Member, random func() float64, eligible func(i int) bool) int {
	total := 0
	for i, m := range list {
		if eligible(i) {
			total += max(1, m.Slots)
		}
	}
	rest := random() * float64(total)
	picked := -1
	for i, m := range list {
		if !eligible(i) {
			continue
		}
		picked = i
		if rest -= float64(max(1, m.Slots)); rest < 0 {
			break
		}
	}
	return picked
}

// prefersSecond reports whether the second of two members is preferred at equal cost: the nearer
// one, and at the same distance a replica.
func prefersSecond(a, b Member) bool {
	if a.Near != b.Near {
		return b.Near
	}
	return a.Primary && !b.Primary
}

// passOn returns the part of the reads that go to the other of two members. Equally near replicas
// share in inverse proportion to their cost, so that one that is four times slower and equally
// occupied gets a quarter. Otherwise the preferred one keeps all until its cost is higher, and the
// part rises smoothly: a threshold would make all instances switch at once.
func passOn(preferred, other Member) float64 {
	p, o := float64(preferred.Cost()), float64(other.Cost())
	if preferred.Near == other.Near && preferred.Primary == other.Primary {
		if p+o <= 0 {
			return 0.5
		}
		return p / (p + o)
	}
	if p <= o {
		return 0
	}
	return maxPassedOn * (1 - o/p)
}

// outcomeOf returns the reason for a choice; instead is the preferred member that passed the read
// on, if any.
func outcomeOf(m Member, instead *Member) Outcome {
	switch {
	case instead == nil && m.Near:
		return OutcomeNear
	case instead == nil:
		return OutcomeShared
	case instead.Primary:
		return OutcomeRelieved
	case m.Primary:
		return OutcomePrimary
	case instead.Near == m.Near:
		return OutcomeShared
	default:
		return OutcomeSpread
	}
}
