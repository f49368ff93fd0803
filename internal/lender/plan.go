package lender

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxOvertakeTime is how long a waiting request may be overtaken by later ones of customers that
	// have an idle connection. Closing such a connection for the request that is first would cost an
	// opening for each statement while more customers wait than a member accepts connections.
	maxOvertakeTime = 40 * time.Millisecond
	// openingSlotFraction is the fraction of a member's slots that the openings of all holders may
	// occupy; the rest runs statements on the connections already open.
	openingSlotFraction = 0.5
	// maxLoansAwaited is how many average loans a request waits for a lent connection of its customer,
	// awaitedSlackFraction the fraction of the time until its latest start that this may take.
	maxLoansAwaited, awaitedSlackFraction = 2.0, 0.25
	// maxOpenDelay bounds this wait where transactions make loans long.
	maxOpenDelay = 100 * time.Millisecond
	// startPeriod is how long after its start a pool without customers counts on the other holders to
	// open connections at the same time.
	startPeriod = 2 * time.Second
)

// openingDemand describes a waiting request for the order of openings.
type openingDemand struct {
	// class is the priority of the request's route, 0 the most urgent.
	class int
	// waiting is the number of the customer's waiting requests, connections that of its connections,
	// idle, lent or being opened.
	waiting, connections int
}

// compareDemands orders openings: by class, customers without a connection first, then by waiting
// requests per connection. Equal ones keep their order in the queue. It handles the load after a
// restart of all instances, when most customers wait and none has a connection.
func compareDemands(a, b openingDemand) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(min(a.connections, 1), min(b.connections, 1)),
		cmp.Compare(b.waiting*max(1, a.connections), a.waiting*max(1, b.connections)),
	)
}

// concurrentOpenings returns how many connections to a member an instance may open at a time. Each
// opening occupies one of the member's slots; after a restart of all instances, all holders open
// connections at once. holders is the number of instances that hold connections to the member, 0 if
// unknown.
func concurrentOpenings(slots, holders int, perCustomer, starting bool) int {
	switch {
	case slots <= 0 || holders <= 0 || !perCustomer && !starting:
		return maxConcurrentOpenings
	case perCustomer:
		return max(1, int(math.Ceil(openingSlotFraction*float64(slots)))/holders)
	case slots < holders:
		// An opening occupies a slot for a part of its duration only, most of which is network
		// latency. One at a time would delay the holders' first connections.
		return maxConcurrentOpenings
	default:
		return min(maxConcurrentOpenings, slots/holders)
	}
}

// serveByCustomer lends idle connections to waiting requests of their customers and then opens
// connections for the rest. Requests that waited for maxOvertakeTime are not overtaken.
func (p *Pool) serveByCustomer() {
	now := time.Now()
	for i := 0; i < len(p.waiting); {
		w := p.waiting[i]
		ids := p.choose(&w.Request)
		p.setMembers(w, ids)
		if c := p.takeIdle(ids, &w.Request); c != nil {
			p.lendTo(i, c)
			continue
		}
		if now.Sub(w.arrived) >= maxOvertakeTime && !p.beingOpened(ids, w.Customer) {
			p.openFor(ids, &w.Request)
		}
		i++
	}
	for _, w := range p.openingOrder() {
		ids := p.choose(&w.Request)
		if now.Sub(w.arrived) >= p.openDelay(w) || !p.mayReturnSoon(ids, w.Customer) {
			p.openFor(ids, &w.Request)
		}
	}
}

// openingOrder returns the waiting requests in the order in which connections are opened for them,
// without those for which enough are being opened.
func (p *Pool) openingOrder() []*waiter {
	if len(p.waiting) == 0 {
		return nil
	}
	waiting := map[string]int{}
	for _, w := range p.waiting {
		waiting[w.Customer]++
	}
	connections, opening := map[string]int{}, map[string]int{}
	for _, m := range p.members {
		for _, c := range m.idle {
			connections[c.Customer]++
		}
		for customer, n := range m.lentByCustomer {
			connections[customer] += n
		}
		for customer, n := range m.openingByCustomer {
			connections[customer] += n
			opening[customer] += n
		}
	}
	demand := map[*waiter]openingDemand{}
	var order []*waiter
	for _, w := range p.waiting {
		if opening[w.Customer] > 0 {
			opening[w.Customer]--
			continue
		}
		demand[w] = openingDemand{class: w.Priority, waiting: waiting[w.Customer], connections: connections[w.Customer]}
		order = append(order, w)
	}
	slices.SortStableFunc(order, func(a, b *waiter) int { return compareDemands(demand[a], demand[b]) })
	return order
}

// beingOpened reports whether a connection of a customer to one of the members is being opened.
func (p *Pool) beingOpened(ids []string, customer string) bool {
	return slices.ContainsFunc(ids, func(id string) bool {
		m := p.members[id]
		return m != nil && m.openingByCustomer[customer] > 0
	})
}

// mayExchange reports whether a connection may be opened in place of an idle one although the member
// was full: it frees the place of a connection that is closed. After a power loss, a member holds
// dead connections for some seconds; without an exchange, the customers that have none of the few
// remaining places would wait for the end of each back-off.
func (m *memberPool) mayExchange(perCustomer bool) bool {
	return perCustomer && m.full && (m.vacated || len(m.idle) > 0)
}

// makeRoom reports whether a connection may be opened, and evicts an idle one if necessary.
func (p *Pool) makeRoom(m *memberPool, now time.Time) bool {
	if !now.Before(m.retryAt) {
		return p.mayOpen(m)
	}
	if m.vacated {
		m.vacated = false
		return true
	}
	return p.evictIdle(m)
}

// openDelay returns how long a waiting request waits for a lent connection of its customer before
// another one is opened, given the average loan and the time until the request's latest start,
// negative without one. It handles the load of more customers than a member accepts connections:
// another connection of a frequent customer takes the place of the only one of another.
func openDelay(perCustomer bool, averageLoan, untilLatestStart time.Duration) time.Duration {
	if !perCustomer {
		return openAfterWait
	}
	delay := min(maxOpenDelay, time.Duration(maxLoansAwaited*float64(averageLoan)))
	if untilLatestStart >= 0 {
		delay = min(delay, time.Duration(awaitedSlackFraction*float64(untilLatestStart)))
	}
	return max(openAfterWait, delay)
}

// openDelay returns the openDelay of a waiting request.
func (p *Pool) openDelay(w *waiter) time.Duration {
	untilLatestStart := time.Duration(-1)
	if !w.LatestStart.IsZero() {
		untilLatestStart = max(0, w.LatestStart.Sub(w.arrived))
	}
	return openDelay(p.customers != nil, p.averageLoan, untilLatestStart)
}
