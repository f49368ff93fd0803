package lender

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/forecaster"
)

// enqueue adds a request to the waiting ones, or returns why it is refused.
func (p *Pool) enqueue(w *waiter, ids []string) error {
	if !w.StatusQuery {
		p.classes |= 1 << min(max(w.Priority, 0), 63)
	}
	p.schedule(w)
	i := p.position(w)
	d := p.forecast(w, ids, p.waiting[:i])
	switch d.Verdict {
	case forecaster.Refuse:
		p.correct(w.charge, 0)
		return p.refusal(w, len(ids) == 0, d)
	case forecaster.Probe:
		w.probe = true
	case forecaster.KeepLate:
		p.markLate(w)
		i = p.position(w)
	}
	p.waiting = slices.Insert(p.waiting, i, w)
	p.setMembers(w, ids)
	return nil
}

// position returns a request's position among the waiting ones: by the priority of the route,
// without customers those that can meet their objective first, the priority of the customer, fair
// queuing of the customers, and arrival.
func (p *Pool) position(w *waiter) int {
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority), compareBool(a.late, b.late), cmp.Compare(a.customerPriority, b.customerPriority),
			cmp.Compare(a.virtualStart, b.virtualStart), a.arrived.Compare(b.arrived), -1,
		)
	})
	return i
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// dequeue removes a request from the waiting ones and reports whether it was among them.
func (p *Pool) dequeue(w *waiter) bool {
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return false
	}
	p.removeAt(i)
	return true
}

// removeAt removes the waiting request at a position.
func (p *Pool) removeAt(i int) {
	w := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	p.setMembers(w, nil)
}

// setMembers records the members that a waiting request waits for.
func (p *Pool) setMembers(w *waiter, ids []string) {
	if slices.Equal(w.members, ids) {
		return
	}
	for _, id := range w.members {
		p.member(id).addQueued(w, -1)
	}
	w.members = slices.Clone(ids)
	for _, id := range ids {
		p.member(id).addQueued(w, 1)
	}
}

// addQueued changes the number of requests that wait for the member.
func (m *memberPool) addQueued(w *waiter, by int) {
	m.queued += by
	m.drain.SetWaiting(time.Now(), m.queued)
	class := w.class()
	if class == unmeasuredClass {
		return
	}
	if m.queuedByClass == nil {
		m.queuedByClass = map[int]int{}
	}
	m.queuedByClass[class] += by
	m.classDrain(class).SetWaiting(time.Now(), m.queuedByClass[class])
	if m.queuedByClass[class] <= 0 {
		delete(m.queuedByClass, class)
	}
}

// markLate moves a request that can't meet its objective behind the others of its class, or those of
// its customer: a customer's late request must not wait for all of another's. Where all requests have
// the same class and no customer, the order is that of arrival.
func (p *Pool) markLate(w *waiter) {
	switch {
	case p.customers != nil:
		_, start := p.nextStart(&w.Request)
		w.virtualStart = max(w.virtualStart, start)
	case p.severalClasses():
		w.late = true
	}
}

// severalClasses reports whether requests of several classes have waited.
func (p *Pool) severalClasses() bool { return bits.OnesCount64(p.classes) > 1 }

// schedule charges a new request to the fair queue of its class, and sets its customer's priority and
// its virtual start there.
func (p *Pool) schedule(w *waiter) {
	w.charge = p.newCharge(&w.Request)
	if w.charge.flow == nil {
		return
	}
	w.customerPriority, w.virtualStart = p.nextStart(&w.Request)
	p.fairQueue(w.charge.class).Enqueue(&w.charge.flow.Flow, w.charge.estimate.Seconds(), 1)
}

// nextStart returns the priority of a request's customer and the virtual start of its next request.
func (p *Pool) nextStart(r *Request) (priority int, start float64) {
	if c := p.customers.ByName(r.Customer); c != nil {
		priority = c.Priority
	}
	return priority, p.fairQueue(r.class()).NextStart(&p.flow(r.class(), r.Customer).Flow)
}

// wouldTimeOut reports whether a request's wait is expected to exceed its deadline, given the
// average loan. It is then rejected immediately, so that the caller can try another instance.
func (p *Pool) wouldTimeOut(w *waiter, ahead int) bool {
	wait := p.loansWait(ahead)
	return wait > 0 && wait > w.Deadline.Sub(w.arrived)
}

// loansWait returns the time until as many connections are returned, given the average loan, 0 if
// it is unknown.
func (p *Pool) loansWait(loans int) time.Duration {
	open := 0
	for _, m := range p.members {
		open += m.open
	}
	if open == 0 || p.averageLoan == 0 {
		return 0
	}
	return p.averageLoan * time.Duration(loans) / time.Duration(open)
}

// hasCapacityFor reports whether this instance's quota at a member allows a request. Excess work
// waits here in fair order instead of in the member's FIFO queue.
func (p *Pool) hasCapacityFor(m *memberPool, r *Request) bool {
	if p.customers == nil || r.StatusQuery {
		return true
	}
	if r.Transaction {
		maxTransactions := int(transactionFraction * float64(p.memberConnections) / float64(max(1, p.holders(m.id))))
		return m.longLoansByCustomer[r.Customer] < max(1, maxTransactions) || !p.othersWait(r.Customer)
	}
	x, _ := p.Group.Member(m.id)
	return m.shortLoans+m.opening < statementsPerSlot*max(1, x.Slots)
}

// othersWait reports whether requests of other customers wait.
func (p *Pool) othersWait(customer string) bool {
	return slices.ContainsFunc(p.waiting, func(w *waiter) bool { return w.Customer != customer })
}
