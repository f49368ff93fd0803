package lender

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/scheduler"
)

// enqueuePosition returns a request's position among the waiting ones: by the priority of the
// route, the priority of the customer, fair queuing of the customers, and arrival.
func (p *Pool) enqueuePosition(w *waiter) int {
	if p.customers != nil {
		w.customerPriority, w.virtualStart = p.schedule(w.Customer)
	}
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.customerPriority, b.customerPriority), cmp.Compare(a.virtualStart, b.virtualStart), a.arrived.Compare(b.arrived), -1)
	})
	return i
}

// schedule returns a customer's priority and the virtual start of a new request in the fair queue.
func (p *Pool) schedule(customer string) (priority int, start float64) {
	if p.flows == nil {
		p.flows = map[string]*scheduler.Flow{}
	}
	f, ok := p.flows[customer]
	if !ok {
		f = &scheduler.Flow{}
		p.flows[customer] = f
	}
	if c := p.customers.ByName(customer); c != nil {
		priority = c.Priority
	}
	return priority, p.fairQueue.Enqueue(f, 1, 1)
}

// wouldTimeOut reports whether a request's wait is expected to exceed its deadline, given the
// average loan. It is then rejected immediately, so that the caller can try another instance.
func (p *Pool) wouldTimeOut(w *waiter, ahead int) bool {
	open := 0
	for _, m := range p.members {
		open += m.open
	}
	if open == 0 || p.averageLoan == 0 {
		return false
	}
	wait := p.averageLoan * time.Duration(ahead) / time.Duration(open)
	return wait > w.Deadline.Sub(w.arrived)
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
