package reserver

import (
	"math"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
)

const (
	// horizon is how far ahead capacity is reserved.
	horizon = 5 * time.Second
	// minHorizon bounds it when a class starts to be refused. It grows with the time since, because
	// the demand of the other classes is not known yet.
	minHorizon = time.Second
	// slotFraction is the width of a time slot as a fraction of the time that a request of the class
	// may wait. Requests that were told the start of a slot arrive close together, so that few
	// others take their reservations; the last of them is admitted by the end of the slot.
	slotFraction           = 0.8
	minSlotTime            = 50 * time.Millisecond
	maxSlotTime, dueWithin = time.Second, time.Second
	// reservableFraction is the fraction of a class's rate that is reserved: the rate follows the
	// demand, and may be lower when the reservations are due.
	reservableFraction = 0.65
	// retryDelay is how late after the start of a slot its retries arrive. Other requests that
	// arrive until then take some of their reservations, so as many more are made, up to
	// maxExtraFraction of them.
	retryDelay       = 15 * time.Millisecond
	maxExtraFraction = 0.45
	// rounding allows for a pace that was rounded down on the wire.
	rounding = 1.01
	// minFloorFraction is the fraction of the rate at which a less urgent class is admitted before
	// more urgent ones. It exceeds the 0.05 that the class must get, because each of these admissions
	// still waits for the next token.
	minFloorFraction = 0.06
	// probeTime is the time whose share of the pace may always wait, and at least one operation of
	// each class: so tokens are used although an estimate is wrong, or those with reservations don't
	// return, and each class uses its floor.
	probeTime = 100 * time.Millisecond
)

type (
	// queue holds one customer's waiting requests and reservations on one instance.
	queue struct {
		limit identifier.Limit
		// waiting is in order of arrival.
		waiting []*Ticket
		slots   [limiter.Classes]slots
		// floorAt is when a less urgent class may go before more urgent ones, 0 before it first waits.
		floorAt [limiter.Classes]limiter.Timestamp
	}

	// slots are the reservations of one class by time slot.
	slots struct {
		// phase is the start of slot 0, width the width of a slot, 0 before the first reservation.
		phase limiter.Timestamp
		width time.Duration
		// next is from when on capacity is not reserved.
		next   limiter.Timestamp
		counts map[int64]int
		// extra is the part of an additional reservation that is due.
		extra float64
	}
)

// mayWait reports whether a request should wait. Handles demand above the limit: a request that
// can't be admitted by its deadline is refused at once, not after a wait.
func (q *queue) mayWait(now limiter.Timestamp, t *Ticket, s limiter.Supply) bool {
	if !s.Throttled || t.reserved {
		return true
	}
	if s.Rate > 0 && suffices(s, t.Class) {
		// All instances admit the class before less urgent ones.
		return true
	}
	ahead, same := 0, 0
	for _, w := range q.waiting {
		if w != t && w.Class == t.Class {
			same++
		}
		if w != t && (w.Class <= t.Class || w.reserved && t.Class > 0) {
			ahead++
		}
	}
	if same == 0 || ahead < int(s.Rate*probeTime.Seconds()) {
		return true
	}
	divided, rate := limiter.DividePace(s.Rate, s.Demand), s.Rate
	for k, d := range divided {
		if k != t.Class {
			rate -= d
		}
	}
	rate = max(rate, divided[t.Class])
	return rate > 0 && float64(ahead+1)/rate <= (t.deadline-now).Seconds()
}

// first returns the waiting request that is admitted next, nil without one: by limiter.WaiterIndex,
// then by arrival. A class that has not been admitted for long goes after the most urgent one, or
// before it if the pace doesn't suffice for that.
func (q *queue) first(now limiter.Timestamp, s limiter.Supply) *Ticket {
	var first *Ticket
	best := math.MaxInt
	for _, t := range q.waiting {
		if rank := q.rank(now, t, s); rank < best {
			first, best = t, rank
		}
	}
	return first
}

// The ranks of waiting requests. Those with a reservation and the others follow rankNext.
const (
	rankBeforeUrgent = iota
	rankUrgent
	rankAfterUrgent
	rankNext
)

func (q *queue) rank(now limiter.Timestamp, t *Ticket, s limiter.Supply) int {
	switch {
	case t.Class == 0:
		return rankUrgent
	case !q.overdue(now, t):
		return rankNext + limiter.WaiterIndex(t.Class, t.reserved)
	case suffices(s, 0):
		return rankAfterUrgent
	default:
		return rankBeforeUrgent
	}
}

// overdue reports whether a request's class has not been admitted for long. Of its requests, those
// with a reservation go first.
func (q *queue) overdue(now limiter.Timestamp, t *Ticket) bool {
	if q.floorAt[t.Class] == 0 || now < q.floorAt[t.Class] {
		return false
	}
	return t.reserved || !slices.ContainsFunc(q.waiting, func(w *Ticket) bool { return w.Class == t.Class && w.reserved })
}

// suffices reports whether the pace suffices for a class and all more urgent ones.
func suffices(s limiter.Supply, class int) bool {
	var demand float64
	for _, d := range s.Demand[:class+1] {
		demand += d
	}
	return demand <= rounding*s.Rate
}

// counts returns the waiting requests in the order in which the accountant should serve them.
func (q *queue) counts(now limiter.Timestamp, s limiter.Supply) (c limiter.Counts) {
	for _, t := range q.waiting {
		switch q.rank(now, t, s) {
		case rankBeforeUrgent:
			c[limiter.WaiterIndex(0, true)]++
		case rankAfterUrgent:
			c[limiter.WaiterIndex(1, true)]++
		default:
			c[limiter.WaiterIndex(t.Class, t.reserved)]++
		}
	}
	return c
}

// startFloors starts the time after which the classes that wait go before more urgent ones.
func (q *queue) startFloors(now limiter.Timestamp, s limiter.Supply) {
	for _, t := range q.waiting {
		if q.floorAt[t.Class] == 0 && s.Rate > 0 {
			q.floorAt[t.Class] = now + interval(minFloorFraction*s.Rate)
		}
	}
}

// admitted removes an admitted request and moves the floor of its class by one operation.
func (q *queue) admitted(now limiter.Timestamp, t *Ticket, s limiter.Supply) {
	q.remove(t)
	if every := interval(minFloorFraction * s.Rate); s.Rate > 0 {
		q.floorAt[t.Class] = min(now, max(q.floorAt[t.Class], now-every)) + every
	}
}

func (q *queue) remove(t *Ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// unused reports whether the queue can be dropped: nothing waits and no capacity is reserved.
func (q *queue) unused(now limiter.Timestamp) bool {
	for k := range q.slots {
		if q.slots[k].next > now || q.slots[k].due(now, horizon) > 0 {
			return false
		}
	}
	return len(q.waiting) == 0
}

// reserve reserves capacity for a refused request of a class with a rate and a demand per second.
// It returns the start of the time slot, or the end of the horizon if all until then is reserved.
// wait is how long requests of the class may wait. Handles demand above the limit: callers that
// retry when they are told find capacity, and don't all return at once.
func (x *slots) reserve(now limiter.Timestamp, rate, demand float64, wait time.Duration) (at limiter.Timestamp, reserved bool) {
	if x.width == 0 {
		x.phase, x.width = now, min(max(time.Duration(slotFraction*float64(wait)), minSlotTime), maxSlotTime)
		x.counts = map[int64]int{}
	}
	if rate <= 0 {
		return now + horizon, false
	}
	if x.next <= now {
		// Not at once: where each of many instances has little of the rate, all of them would
		// reserve an operation at the same time.
		x.next = max(x.start(x.slot(now)+1), now+interval(reservableFraction*rate)/2)
	}
	if x.next-now > min(horizon, max(minHorizon, now-x.phase)) {
		return now + horizon, false
	}
	at = x.start(x.slot(x.next))
	x.counts[x.slot(x.next)]++
	x.extra += min(maxExtraFraction, demand*retryDelay.Seconds()/max(1, reservableFraction*rate*x.width.Seconds()))
	for ; x.extra >= 1; x.extra-- {
		x.counts[x.slot(x.next)]++
	}
	x.next += interval(reservableFraction * rate)
	return at, true
}

// use uses a reservation of the current slot, if there is one, and drops expired ones.
func (x *slots) use(now limiter.Timestamp) bool {
	if x.width == 0 {
		return false
	}
	current := x.slot(now)
	for slot := range x.counts {
		if slot < current {
			delete(x.counts, slot)
		}
	}
	if x.counts[current] == 0 {
		return false
	}
	x.counts[current]--
	return true
}

// due returns the number of reservations that can be used now or within a time.
func (x *slots) due(now limiter.Timestamp, within time.Duration) (n int) {
	if x.width == 0 {
		return 0
	}
	for slot, count := range x.counts {
		if slot >= x.slot(now) && x.start(slot) <= now+within {
			n += count
		}
	}
	return n
}

func (x *slots) slot(at limiter.Timestamp) int64 {
	return int64(math.Floor(float64(at-x.phase) / float64(x.width)))
}

func (x *slots) start(slot int64) limiter.Timestamp {
	return x.phase + time.Duration(slot)*x.width
}

// interval returns the time between two operations at a rate per second, at most an hour.
func interval(rate float64) time.Duration {
	return time.Duration(min(time.Hour.Seconds(), 1/rate) * float64(time.Second))
}
