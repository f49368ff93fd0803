package lender

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// openTimeout bounds the opening of a connection, including the member's queue under load.
	// Without a queue, an opening takes up to 27 ms at the member and 24 ms on the network. A host
	// that has failed does not reply at all.
	openTimeout = 600 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a refused or failed opening. The pause
	// doubles and has jitter, so that instances don't retry in step.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxFullBackoff replaces maxBackoff if the member was full: it is alive, and connections are
	// released frequently.
	maxFullBackoff = 300 * time.Millisecond
	// maxConcurrentOpenings bounds the concurrent openings to a member that has an open
	// connection; the first connection is opened alone. Each opening occupies one of the member's
	// slots, and after a restart all instances open connections at once.
	maxConcurrentOpenings = 2
	// openAfterWait is how long a request waits for a lent connection before another one is
	// opened; a loan takes about as long as an opening. A loan takes 20 to 40 ms, an opening 12 to
	// 50 ms.
	openAfterWait = 25 * time.Millisecond
	// remoteRetryInterval is how often a waiting request checks whether its members are
	// unreachable: an opening that hangs shows only by its duration.
	remoteRetryInterval = 50 * time.Millisecond
)

// openFor opens a connection for a request to the first member that accepts one.
func (p *Pool) openFor(ids []string, r *Request) {
	for _, id := range ids {
		if p.hasCapacityFor(p.member(id), r) && p.startOpening(id, r.Customer, false) {
			return
		}
	}
}

// startOpening starts to open a connection if the limits allow it. With first set, it opens only
// the first one, also to a member that was full.
func (p *Pool) startOpening(id, customer string, first bool) bool {
	m := p.member(id)
	member, ok := p.Group.Member(id)
	now := time.Now()
	limit := concurrentOpenings(member.Slots, p.holders(id), p.customers != nil, now.Sub(p.startedAt) < startPeriod)
	if p.ctx == nil || p.closed || m.opening >= min(limit, m.open+1) || now.Before(m.retryAt) && !m.mayExchange(p.customers != nil) {
		return false
	}
	// While statements queue at the member, another connection serves none sooner, and its opening
	// occupies a slot.
	if m.throttler.Delay(time.Now()) > 0 || p.Group.IsQueueing(id) {
		return false
	}
	if first && m.open+m.opening > 0 {
		return false
	}
	if !ok || !p.makeRoom(m, now) {
		return false
	}
	if m.opening == 0 {
		m.openingSince = time.Now()
	}
	m.opening++
	addCount(&m.openingByCustomer, customer, 1)
	p.openedTotal++
	p.backgroundTasks.Go(func() { p.open(p.ctx, member, customer) })
	return true
}

// open opens a connection and adds it to the idle ones.
func (p *Pool) open(ctx context.Context, member tracker.Member, customer string) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	began := time.Now()
	c, err := Connect(ctx, p.Network, p.Codec, member, cmp.Or(customer, p.ClientName))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.member(member.ID)
	m.opening--
	addCount(&m.openingByCustomer, customer, -1)
	if p.NoteOpened != nil {
		p.NoteOpened(member.ID, err)
	}
	if err == nil {
		m.backoff, m.noResponse, m.timeouts, m.full = 0, false, 0, m.full && time.Now().Before(m.retryAt)
		m.noteReachable()
		m.open++
		c.Customer, c.lastUsed, c.neverLent = customer, time.Now(), true
		m.meter.setSlots(member.Slots)
		c.meter = m.meter
		p.addIdle(c)
		return
	}
	var refused *RefusedError
	maxDelay := maxBackoff
	if errors.As(err, &refused) && refused.Code == messenger.CodeTooManyConnections {
		m.lastFull, maxDelay = time.Now(), maxFullBackoff
		m.noteReachable()
		m.full, m.vacated = true, p.evictIdle(m)
	} else {
		p.Group.RecordFailure(p.Clock(), member.ID, false)
		p.recordFailure(m, began, time.Now())
		m.noResponse = !errors.Is(err, syscall.ECONNREFUSED) && refused == nil
	}
	m.backoff = min(max(2*m.backoff, minBackoff), maxDelay)
	m.retryAt = time.Now().Add(m.backoff/2 + rand.N(m.backoff/2))
	p.serveWaiting()
}

// mayReturnSoon reports whether a customer's connection to one of the members is lent or being
// opened.
func (p *Pool) mayReturnSoon(ids []string, customer string) bool {
	for _, id := range ids {
		if m := p.members[id]; m != nil && m.lentByCustomer[customer]+m.openingByCustomer[customer] > 0 {
			return true
		}
	}
	return false
}

// openForWaiter opens a connection for a request if it still waits.
func (p *Pool) openForWaiter(w *waiter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !slices.Contains(p.waiting, w) {
		return
	}
	if ids := p.choose(&w.Request); time.Since(w.arrived) >= p.openDelay(w) || !p.mayReturnSoon(ids, w.Customer) {
		p.openFor(ids, &w.Request)
	}
}
