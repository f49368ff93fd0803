package lender

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/fairer"
)

// This file decides whose work is next, and whose has no chance.

// queue gives a request its turn among those that wait, and returns its place: by priority, of
// the route and then of the customer; among customers fairly, so that one that sends many
// times its usual waits behind its own work and not others behind it; then as they came.
func (p *Pool) queue(w *waiter) int {
	if p.customers != nil {
		w.rank, w.start = p.turn(w.Customer)
	}
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.rank, b.rank), cmp.Compare(a.start, b.start), a.arrived.Compare(b.arrived), -1)
	})
	return i
}

// turn returns a customer's priority, and the turn of a new piece of its work.
func (p *Pool) turn(customer string) (rank int, start float64) {
	if p.flows == nil {
		p.flows = map[string]*fairer.Flow{}
	}
	f, ok := p.flows[customer]
	if !ok {
		f = &fairer.Flow{}
		p.flows[customer] = f
	}
	if c := p.customers.Customer(customer); c != nil {
		rank = c.Priority
	}
	return rank, p.turns.Queue(f, 1, 1)
}

// hopeless reports whether a request's turn can't come in its time, by how long
// loans usually last. It is rejected at once then: a caller that is told so can
// go to another instance while there is time.
func (p *Pool) hopeless(w *waiter, ahead int) bool {
	open := 0
	for _, m := range p.members {
		open += m.open
	}
	if open == 0 || p.usual == 0 {
		return false
	}
	wait := p.usual * time.Duration(ahead) / time.Duration(open)
	return wait > w.Until.Sub(w.arrived)
}

// fits reports whether a member has room for a request among those that this instance has
// there. Work beyond it waits here, in the order of turns, and not in the member's queue,
// where a customer that sends many times its usual is before all others.
func (p *Pool) fits(m *place, r *Request) bool {
	if p.customers == nil || r.Question {
		return true
	}
	if r.Long {
		part := int(longPart * float64(p.connections) / float64(max(1, p.sharers(m.id))))
		return m.long[r.Customer] < max(1, part) || !p.othersWait(r.Customer)
	}
	x, _ := p.Group.Member(m.id)
	return m.short+m.connecting < shortPerSlot*max(1, x.Slots)
}

// othersWait reports whether work of other customers than one waits.
func (p *Pool) othersWait(customer string) bool {
	return slices.ContainsFunc(p.waiting, func(w *waiter) bool { return w.Customer != customer })
}
