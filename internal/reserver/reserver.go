// Package reserver orders the operations of customers at their rate limit on the instance that runs
// them. It has no clock and no network: the caller passes in every event and its time.
//
// An operation without a lease waits if its admission is expected before the latest time at which
// it is useful; otherwise it is refused at once. Waiting operations are admitted by class, then by
// arrival. A refusal names a retry time, for which capacity of the operation's class is reserved.
// A reservation is a count by customer, class and time slot, since a retry has another ID: the
// operations that arrive in the slot use it.
package reserver

import (
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
)

type (
	// Reserver decides on operations of customers with a limit. Set Meter before use; its methods
	// are safe for concurrent use.
	Reserver struct {
		Meter *limiter.Meter

		mutex  sync.Mutex
		queues map[string]*queue
		stats  Stats
	}

	// Stats counts decisions since the start.
	Stats struct {
		// Waited counts operations that had to wait for a lease, Reserved those that used a
		// reservation, RefusedAtOnce and RefusedAfterWait the refused ones, NotReserved those of
		// them for which the horizon was fully reserved.
		Waited, Reserved, RefusedAtOnce, RefusedAfterWait, NotReserved int64
	}

	// Operation describes a requested operation.
	Operation struct {
		// Class is its urgency class, 0 the most urgent.
		Class int
		// LatestStart is until when it is useful to admit it, 0 without a latency objective. It
		// then waits for at most limiter.LeaseWaitTimeout.
		LatestStart limiter.Timestamp
	}

	// Ticket is a requested operation.
	Ticket struct {
		Operation
		// Outcome is the decision; Waiting until there is one.
		Outcome Outcome
		Refusal Refusal
		// decided is closed when the operation is decided, nil if it never waited.
		decided           chan struct{}
		customer          string
		arrived, deadline limiter.Timestamp
		// reserved is set if it uses a reservation, estimated once its wait has been estimated.
		reserved, estimated bool
	}

	// Outcome is the decision on an operation.
	Outcome uint8

	// Refusal explains a refused operation.
	Refusal struct {
		RetryAfter time.Duration
		// Reserved is set if capacity is reserved for the retry.
		Reserved bool
		// Waited is how long the operation waited.
		Waited time.Duration
		// Known is set if an accountant has replied; Balance is valid then.
		Known   bool
		Balance limiter.InstanceBalance
	}
)

// The outcomes.
const (
	Waiting Outcome = iota
	Admitted
	Refused
)

// Request decides on a new operation. While the outcome is Waiting, the caller calls Advance after
// each reply of the accountant and at Deadline, and Cancel if the operation is abandoned.
func (r *Reserver) Request(now limiter.Timestamp, customer string, limit identifier.Limit, o Operation) *Ticket {
	o.Class = limiter.ClassOf(o.Class)
	t := &Ticket{Operation: o, customer: customer, arrived: now, deadline: o.LatestStart}
	if o.LatestStart == 0 {
		t.deadline = now + limiter.LeaseWaitTimeout
	}
	if !limit.Limited() {
		t.Outcome = Admitted
		return t
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	q := r.queues[customer]
	decision, retryAfter := limiter.RequestLease, time.Duration(0)
	if q == nil || len(q.waiting) == 0 {
		decision, retryAfter = r.Meter.DecideClass(now, customer, limit, o.Class, limiter.FirstAttempt)
	} else {
		r.Meter.CountDemand(now, customer, limit, o.Class)
	}
	if decision == limiter.Admit && q == nil {
		t.Outcome = Admitted
		return t
	}
	if q == nil {
		q = r.queue(customer)
	}
	q.limit = limit
	t.reserved = q.slots[o.Class].use(now)
	if t.reserved {
		r.stats.Reserved++
	}
	s := r.Meter.Supply(now, customer, limit)
	if !s.Throttled {
		// Below the limit, a lease takes one round trip, also for an operation that is late.
		t.deadline = max(t.deadline, now+limiter.LeaseWaitTimeout)
	}
	switch {
	case decision == limiter.Admit:
		t.Outcome = Admitted
		r.update(now, customer, q, s)
		return t
	case decision == limiter.Refuse && s.Rate <= 0:
		// The accountant runs an earlier version, or there is no fallback rate.
		t.Refusal.RetryAfter = retryAfter
		t.decide(Refused)
	case !q.mayWait(now, t, s) || t.deadline <= now:
		r.refuse(now, q, t, s)
		r.stats.RefusedAtOnce++
	default:
		t.estimated = s.Throttled
		t.decided = make(chan struct{})
		q.waiting = append(q.waiting, t)
		r.serve(now, customer, q)
		if t.Outcome == Waiting {
			r.stats.Waited++
		}
		return t
	}
	r.update(now, customer, q, s)
	return t
}

// Customer returns the operation's customer.
func (t *Ticket) Customer() string { return t.customer }

// Decided returns a channel that is closed when a waiting operation is decided.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Deadline returns until when the operation may wait.
func (t *Ticket) Deadline() limiter.Timestamp { return t.deadline }

// Advance decides on the waiting operations of all customers for which there is a decision now.
// limitOf returns a customer's current limit.
func (r *Reserver) Advance(now limiter.Timestamp, limitOf func(customer string) identifier.Limit) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for customer, q := range r.queues {
		q.limit = limitOf(customer)
		r.serve(now, customer, q)
		if q.unused(now) {
			delete(r.queues, customer)
		}
	}
}

// Cancel removes a waiting operation that its caller has abandoned. It returns the outcome if the
// operation was decided before.
func (r *Reserver) Cancel(now limiter.Timestamp, t *Ticket) Outcome {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	q := r.queues[t.customer]
	if t.Outcome == Waiting && q != nil {
		q.remove(t)
		r.update(now, t.customer, q, r.Meter.Supply(now, t.customer, q.limit))
	}
	return t.Outcome
}

// Stats returns the counts since the start.
func (r *Reserver) Stats() Stats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stats
}

func (r *Reserver) queue(customer string) *queue {
	if r.queues == nil {
		r.queues = map[string]*queue{}
	}
	q := &queue{}
	r.queues[customer] = q
	return q
}

// serve refuses waiting operations whose time has passed, admits the others in order while there
// are tokens, and refuses those that, once the customer is known to be at its limit, are not
// expected to be admitted in time.
func (r *Reserver) serve(now limiter.Timestamp, customer string, q *queue) {
	s := r.Meter.Supply(now, customer, q.limit)
	r.refuseIf(now, q, s, func(t *Ticket) bool { return t.deadline <= now })
	for {
		t := q.first(now, s)
		if t == nil {
			break
		}
		if decision, _ := r.Meter.DecideClass(now, customer, q.limit, t.Class, limiter.AfterReply); decision != limiter.Admit {
			break
		}
		q.admitted(now, t, s)
		t.decide(Admitted)
	}
	r.refuseIf(now, q, s, func(t *Ticket) bool {
		late := s.Throttled && !t.estimated && !q.mayWait(now, t, s)
		t.estimated = t.estimated || s.Throttled
		return late
	})
	q.startFloors(now, s)
	r.update(now, customer, q, s)
}

// refuseIf refuses the waiting operations that meet a condition.
func (r *Reserver) refuseIf(now limiter.Timestamp, q *queue, s limiter.Supply, condition func(t *Ticket) bool) {
	for i := 0; i < len(q.waiting); {
		t := q.waiting[i]
		if !condition(t) {
			i++
			continue
		}
		q.remove(t)
		r.refuse(now, q, t, s)
		r.stats.RefusedAfterWait++
	}
}

// update tells the Meter what waits and what is reserved.
func (r *Reserver) update(now limiter.Timestamp, customer string, q *queue, s limiter.Supply) {
	reserved := 0
	for k := range q.slots {
		reserved += q.slots[k].due(now, dueWithin)
	}
	r.Meter.SetWaiters(now, customer, q.counts(now, s), reserved)
}

// refuse refuses an operation and reserves capacity for its retry.
func (r *Reserver) refuse(now limiter.Timestamp, q *queue, t *Ticket, s limiter.Supply) {
	if s.Rate <= 0 {
		// No accountant has replied yet.
		_, t.Refusal.RetryAfter = r.Meter.DecideClass(now, t.customer, q.limit, t.Class, limiter.LastAttempt)
		t.Refusal.Waited = now - t.arrived
		t.decide(Refused)
		return
	}
	rate := limiter.DividePace(s.Rate, s.Demand)[t.Class]
	at, reserved := q.slots[t.Class].reserve(now, rate, s.Demand[t.Class], t.deadline-t.arrived)
	if !reserved {
		r.stats.NotReserved++
	}
	// Rounded up to what the caller is told: a moment earlier is in the slot before.
	after := (at - now + time.Millisecond - 1).Truncate(time.Millisecond)
	t.Refusal = Refusal{RetryAfter: after, Reserved: reserved, Waited: now - t.arrived, Known: true, Balance: s.Balance}
	t.decide(Refused)
}

func (t *Ticket) decide(o Outcome) {
	t.Outcome = o
	if t.decided != nil {
		close(t.decided)
	}
}
