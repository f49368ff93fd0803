package lender

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
)

// Idle connections of groups with customers, where each connection serves one customer: a member
// runs statements as the customer that the connection was opened for. Opening one for each
// statement would take more of the member's slots than the statements, so those of the most
// frequent customers are kept.

const (
	// customerIdleFraction is the fraction of an instance's share of a member's connections below
	// which idle ones are always kept for customers, roomPerSlot the number of connections for each
	// slot of the member that are left otherwise. They are for reconnects after a restart of all
	// instances, while the member still holds the old connections: with fewer than two for each slot,
	// customers wait for places.
	customerIdleFraction, roomPerSlot = 0.5, 2.5
	// soleHolderFraction is the fraction of a member's connections that an instance may open if it
	// holds them for all instances. The rest is for the failover controller and for instances that
	// can't reach the holder.
	soleHolderFraction = 0.9
	// statementsPerSlot is the number of single statements in flight per slot of a member. It
	// exceeds 1 because statements spend most of a loan's time on the network. It is constant
	// because a bound derived from loan times would fall with each distant borrower. A statement
	// occupies its slot for about a quarter of the loan.
	statementsPerSlot = 4
	// transactionFraction is the fraction of an instance's share of a member's connections that
	// one customer's transactions may hold while others wait. Transactions hold connections while
	// their callers are idle.
	transactionFraction = 0.4
	// maxIdleTime is how long a customer's idle connection is kept. It is shorter than the
	// members' idle timeout, one minute.
	maxIdleTime = 20 * time.Second
	// usageHalfLife is the half-life of a customer's usage count, long enough to distinguish
	// customers that send statements every few seconds from those that do every minute.
	usageHalfLife = 10 * time.Second
	// usageDecays is how many times in a half-life the counts decay.
	usageDecays = 4
)

type (
	// usage is a decaying count of connection uses. The zero value is empty.
	usage struct {
		decayedAt time.Time
		counts    map[usageKey]float64
	}

	// usageKey identifies a customer's n-th connection at a time: it is used when the customer has n
	// connections lent at once.
	usageKey struct {
		customer string
		n        int
	}
)

// minUsage is the decayed count below which an entry is deleted.
const minUsage = 0.05

// add counts a use of a customer's n-th connection.
func (u *usage) add(now time.Time, customer string, n int) {
	if u.counts == nil {
		u.counts = map[usageKey]float64{}
	}
	if elapsed := now.Sub(u.decayedAt); elapsed >= usageHalfLife/usageDecays {
		u.decayedAt = now
		factor := math.Exp2(-float64(elapsed) / float64(usageHalfLife))
		for k := range u.counts {
			u.counts[k] *= factor
		}
		maps.DeleteFunc(u.counts, func(_ usageKey, n float64) bool { return n < minUsage })
	}
	u.counts[usageKey{customer, n}]++
}

// evictionCandidate returns the index of the idle connection to evict: one of the customer whose last
// connection was used least, and among equals the least recently used. lent holds the numbers of
// lent connections by customer. It handles the load of more customers than a member accepts
// connections: a rule by uses per connection would keep the third connection of a frequent customer,
// which is rarely needed, and evict the only one of another.
func evictionCandidate(idle []*Conn, lent map[string]int, usage *usage) int {
	perCustomer := maps.Clone(lent)
	for _, c := range idle {
		addCount(&perCustomer, c.Customer, 1)
	}
	candidate := -1
	lastUsage := func(c *Conn) float64 { return usage.counts[usageKey{c.Customer, perCustomer[c.Customer]}] }
	for i, c := range idle {
		switch {
		case candidate < 0, lastUsage(c) < lastUsage(idle[candidate]):
			candidate = i
		case lastUsage(c) == lastUsage(idle[candidate]) && c.lastUsed.Before(idle[candidate].lastUsed):
			candidate = i
		}
	}
	return candidate
}

// evictIdle closes the member's eviction candidate and reports whether there was one.
func (p *Pool) evictIdle(m *memberPool) bool {
	if p.customers == nil || len(m.idle) == 0 {
		return false
	}
	p.endIdle(m, evictionCandidate(m.idle, m.lentByCustomer, &m.usage))
	return true
}

// endIdle closes idle connection i.
func (p *Pool) endIdle(m *memberPool, i int) {
	c := m.idle[i]
	m.idle = slices.Delete(m.idle, i, i+1)
	m.open--
	c.End()
}

// mayOpen reports whether one more connection to a member may be opened. It evicts an idle one if
// necessary.
func (p *Pool) mayOpen(m *memberPool) bool {
	open := m.open + m.opening
	if p.customers == nil {
		return p.instanceLimit == 0 || open < p.instanceLimit
	}
	limit := p.instanceLimit
	if p.holders(m.id) == 1 {
		limit = int(soleHolderFraction * float64(p.memberConnections))
	}
	return open < p.idleQuota(m.id) || p.evictIdle(m) || open < limit
}

// idleQuota returns how many connections to a member may stay open for customers.
func (p *Pool) idleQuota(member string) int {
	x, _ := p.Group.Member(member)
	return idleQuota(p.memberConnections, x.Slots, p.holders(member))
}

// idleQuota returns how many connections to a member an instance may keep open for customers, as one
// of the given number of holders, 0 if unknown: all but roomPerSlot for each slot, at least
// customerIdleFraction.
func idleQuota(connections, slots, holders int) int {
	kept := customerIdleFraction * float64(connections)
	if slots > 0 {
		kept = max(kept, float64(connections)-roomPerSlot*float64(slots))
	}
	return max(1, int(kept/float64(max(1, holders))))
}

// closeSpareByCustomer closes a member's idle connections that are broken, unused for maxIdleTime,
// or above the quota.
func (p *Pool) closeSpareByCustomer(m *memberPool, now time.Time, registered bool) {
	m.idle = slices.DeleteFunc(m.idle, func(c *Conn) bool {
		if !c.healthy() {
			p.discardBroken(m, c)
			return true
		}
		if registered && now.Sub(c.idleSince) < maxIdleTime {
			return false
		}
		m.open--
		c.End()
		return true
	})
	for len(m.idle) > 0 && m.open > p.idleQuota(m.id) {
		p.evictIdle(m)
	}
}

// dropUnknownCustomers closes the idle connections of customers that are no longer configured.
func (p *Pool) dropUnknownCustomers() {
	if p.customers == nil {
		return
	}
	maps.DeleteFunc(p.flows, func(k flowKey, _ *flow) bool { return !p.known(k.customer) })
	for _, m := range p.members {
		for i := len(m.idle) - 1; i >= 0; i-- {
			if !p.known(m.idle[i].Customer) {
				p.endIdle(m, i)
			}
		}
	}
}

// limited reports whether a customer has a rate limit.
func (p *Pool) limited(customer string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.customers.ByName(customer)
	return c != nil && c.Limit.Limited()
}

// known reports whether connections may be opened for a customer: a configured one, or an
// anonymous one.
func (p *Pool) known(customer string) bool {
	return customer == "" || customer == identifier.Anonymous || p.customers.ByName(customer) != nil
}

// addCount changes a count and deletes it when it reaches 0.
func addCount(counts *map[string]int, name string, by int) {
	if *counts == nil {
		*counts = map[string]int{}
	}
	(*counts)[name] += by
	if (*counts)[name] <= 0 {
		delete(*counts, name)
	}
}
