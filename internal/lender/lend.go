package lender

import (
	"slices"
	"time"
)

// takeIdle takes an idle connection to the first member that has one and accepts the request. The
// caller holds the mutex.
func (p *Pool) takeIdle(ids []string, r *Request) *Conn {
	for _, id := range ids {
		m := p.members[id]
		if m == nil || !r.StatusQuery && m.throttler.Delay(time.Now()) > 0 || !p.hasCapacityFor(m, r) {
			continue
		}
		for i := len(m.idle) - 1; i >= 0; i-- {
			c := m.idle[i]
			if !c.usableFor(r) {
				continue
			}
			m.idle = slices.Delete(m.idle, i, i+1)
			if c.healthy() {
				m.markLent(c, r, p.NoteLent)
				return c
			}
			p.discardBroken(m, c)
		}
	}
	return nil
}

// usableFor reports whether a request may use the connection. A status query may use any.
func (c *Conn) usableFor(r *Request) bool { return r.StatusQuery || c.Customer == r.Customer }

// discardBroken closes an idle connection that the member or the network has closed.
func (p *Pool) discardBroken(m *memberPool, c *Conn) {
	m.open--
	c.Close()
	if p.NoteBroken != nil {
		p.NoteBroken(c.Member, time.Since(c.idleSince))
	}
}

// Return returns a connection to the pool. A broken one is closed.
func (p *Pool) Return(c *Conn) {
	if c.onReturn != nil {
		c.returnLoan()
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !c.lentAt.IsZero() {
		loanTime := time.Since(c.lentAt)
		if p.averageLoan == 0 {
			p.averageLoan = loanTime
		}
		p.averageLoan += time.Duration(loanTimeWeight * float64(loanTime-p.averageLoan))
		p.settle(c)
		p.member(c.Member).markReturned(c)
	}
	p.addIdle(c)
}

// addIdle lends a connection to a waiting request or keeps it idle. An unusable one is closed.
func (p *Pool) addIdle(c *Conn) {
	m := p.member(c.Member)
	if c.broken || c.unreadReplies > 0 || p.closed || c.MemberStartTime != m.startTime {
		m.open--
		c.Close()
		p.serveWaiting()
		return
	}
	if p.customers != nil {
		// serveWaiting lends in queue order, and may evict an idle connection of another customer.
		c.idleSince = time.Now()
		m.idle = append(m.idle, c)
		p.serveWaiting()
		return
	}
	if class, ok := m.shares.Preferred(m.waitingClasses()); ok && p.lendReturned(m, c, func(w *waiter) bool { return w.class() == class }) {
		return
	}
	if p.lendReturned(m, c, func(*waiter) bool { return true }) {
		return
	}
	c.idleSince = time.Now()
	m.idle = append(m.idle, c)
}

// lendReturned lends a connection to the first of the waiting requests for which filter is true.
func (p *Pool) lendReturned(m *memberPool, c *Conn, filter func(*waiter) bool) bool {
	capacity := m.throttler.Delay(time.Now()) == 0
	for i, w := range p.waiting {
		if filter(w) && (capacity || w.StatusQuery) && c.usableFor(&w.Request) && slices.Contains(p.choose(&w.Request), c.Member) {
			m.markLent(c, &w.Request, p.NoteLent)
			p.lendTo(i, c)
			return true
		}
	}
	return false
}

// markLent records that a connection is lent.
func (m *memberPool) markLent(c *Conn, r *Request, noteLent func(opened bool)) {
	c.lentAt = time.Now()
	m.lastUsed = c.lentAt
	addCount(&m.lentByCustomer, c.Customer, 1)
	c.forTransaction, c.forStatement = r.Transaction, !r.Transaction && !r.StatusQuery
	switch {
	case c.forTransaction:
		addCount(&m.longLoansByCustomer, c.Customer, 1)
	case c.forStatement:
		m.shortLoans++
	}
	if !r.StatusQuery {
		m.drain.RecordStart(c.lentAt)
		if noteLent != nil {
			noteLent(c.neverLent)
		}
		c.neverLent = false
		c.lastUsed = c.lentAt
		m.usage.add(c.lentAt, c.Customer, m.lentByCustomer[c.Customer])
		m.throttler.RecordSend(c.lentAt)
	}
}

// markReturned records that a connection is returned.
func (m *memberPool) markReturned(c *Conn) {
	addCount(&m.lentByCustomer, c.Customer, -1)
	switch {
	case c.forTransaction:
		addCount(&m.longLoansByCustomer, c.Customer, -1)
	case c.forStatement:
		m.shortLoans--
	}
	c.forTransaction, c.forStatement = false, false
}

// serveWaiting lends idle connections to waiting requests and opens more for the rest.
func (p *Pool) serveWaiting() {
	p.servePreferred()
	if p.customers != nil {
		p.serveByCustomer()
		return
	}
	for i := 0; i < len(p.waiting); {
		w := p.waiting[i]
		ids := p.choose(&w.Request)
		p.setMembers(w, ids)
		if c := p.takeIdle(ids, &w.Request); c != nil {
			p.lendTo(i, c)
			continue
		}
		if time.Since(w.arrived) >= openAfterWait || !p.mayReturnSoon(ids, w.Customer) {
			p.openFor(ids, &w.Request)
		}
		i++
	}
}
