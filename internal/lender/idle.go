package lender

import (
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/throttler"
)

const (
	// spareIdleTime is how long a connection beyond the kept ones may idle. Idle connections count
	// against the member's limit: after a restart of all instances, members still hold the old
	// connections for some seconds.
	spareIdleTime = 150 * time.Millisecond
	// sharedIdleFraction is the fraction of an instance's share of a member's connections that may
	// idle for sharedIdleTime instead of spareIdleTime, for overlapping statements. The rest is
	// for reconnects after a restart of all instances. A connection closed between such statements
	// would be opened again each time, which occupies one of the member's slots.
	sharedIdleFraction = 0.5
	sharedIdleTime     = 3 * time.Second
	// fullMemberSpareIdleTime replaces spareIdleTime at a member that was full recently. It is not
	// 0, which would require a new connection for each statement.
	fullMemberSpareIdleTime = 40 * time.Millisecond
	// recheckAfterIdle is how long a kept connection may idle before the member's number of
	// connections is checked: idle connections must not permanently exclude other instances.
	recheckAfterIdle = 600 * time.Millisecond
	// capacityCheckInterval is how long a positive capacity check is valid. Checks occupy a slot,
	// though for less time than an opening. A check takes 0.5 ms of a slot, an opening 12 to 27 ms.
	capacityCheckInterval = 5 * time.Second
	// capacityCheckTimeout bounds a capacity check.
	capacityCheckTimeout = 300 * time.Millisecond
	// capacityFraction is the fraction of a member's connections below which idle ones are kept.
	// The rest is for reconnects after a restart of all instances.
	capacityFraction = 0.6
	// fullMemberPeriod is how long a member counts as full after it refused a connection.
	// Meanwhile no idle connections are kept there, since there may be more instances than
	// connections. If some instances kept one each, the requests of the others would be refused.
	fullMemberPeriod = 5 * time.Second
)

// Maintain closes spare idle connections and opens the first connection to each member, unless
// OpensOnDemand forbids it.
func (p *Pool) Maintain(now time.Time) {
	ids := p.Group.IDs()
	own := slices.DeleteFunc(slices.Clone(ids), p.heldElsewhere)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.observePrimary(now)
	if p.ctx == nil || p.closed || len(own) == 0 && len(p.members) == 0 && len(p.waiting) == 0 {
		return
	}
	for id, m := range p.members {
		p.closeSpare(m, now, slices.Contains(own, id))
		if m.open+m.opening+m.queued == 0 && !slices.Contains(ids, id) {
			delete(p.members, id)
		}
	}
	if p.OpensOnDemand != nil && p.OpensOnDemand() {
		own = nil
	}
	for _, id := range own {
		if m := p.member(id); p.customers == nil && !m.recentlyFull(now) && m.inUse(now) {
			p.startOpening(id, "", true)
		}
	}
	p.serveWaiting()
}

// Active reports whether the pool has connections or waiting requests.
func (p *Pool) Active() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.waiting) > 0 {
		return true
	}
	for _, m := range p.members {
		if m.open+m.opening > 0 {
			return true
		}
	}
	return false
}

// InUse reports whether requests wait or use connections of the pool.
func (p *Pool) InUse() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.waiting) > 0 {
		return true
	}
	for _, m := range p.members {
		if m.opening > 0 || m.open > len(m.idle) {
			return true
		}
	}
	return false
}

// recentlyFull reports whether the member refused a connection recently because it had too many.
func (m *memberPool) recentlyFull(now time.Time) bool { return now.Sub(m.lastFull) < fullMemberPeriod }

// inUse reports whether an idle connection to the member is kept without another capacity check:
// it was used or had capacity recently, or it is new.
func (m *memberPool) inUse(now time.Time) bool {
	if m.lastUsed.IsZero() {
		m.lastUsed = now
	}
	return now.Sub(m.lastUsed) < recheckAfterIdle || now.Sub(m.capacityCheckedAt) < capacityCheckInterval
}

// resetMember drops the state of a member's previous incarnation. Its connections may be dead
// without an error, and a write on one would have an unknown outcome although it never ran.
func (p *Pool) resetMember(m *memberPool, startTime int64) {
	for _, c := range m.idle {
		m.open--
		c.Close()
	}
	m.idle = nil
	m.meter = &slotMeter{}
	m.startTime, m.throttler, m.lastFull = startTime, throttler.Throttler{}, time.Time{}
	m.backoff, m.retryAt, m.lastUsed, m.capacityCheckedAt = 0, time.Time{}, time.Time{}, time.Time{}
	m.noResponse, m.timeouts = false, 0
	m.noteReachable()
}

// ConnectionsScarce reports whether a member refused a connection recently because it had too many,
// or another instance holds its connections.
func (p *Pool) ConnectionsScarce(member string) bool {
	if p.heldElsewhere(member) {
		return true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, ok := p.members[member]
	return ok && m.recentlyFull(time.Now())
}

// closeSpare closes a member's idle connections that are broken or spare, and rechecks the
// capacity for the others if the member has not been used recently.
func (p *Pool) closeSpare(m *memberPool, now time.Time, registered bool) {
	if p.customers != nil {
		p.closeSpareByCustomer(m, now, registered)
		return
	}
	kept, shared, spareTime := 1, p.sharedIdleQuota(m.id), spareIdleTime
	if m.recentlyFull(now) {
		kept, shared, spareTime = 0, 0, fullMemberSpareIdleTime
	}
	if !registered {
		kept, shared = 0, 0
	}
	inUse := m.inUse(now)
	m.idle = slices.DeleteFunc(m.idle, func(c *Conn) bool {
		idle := now.Sub(c.idleSince)
		spare := m.open > kept && idle > sharedIdleTime || m.open > max(kept, shared) && idle > spareTime
		if !c.healthy() {
			p.discardBroken(m, c)
			return true
		}
		if !spare {
			if !inUse {
				p.backgroundTasks.Go(func() { p.keepOrClose(c) })
			}
			return !inUse
		}
		m.open--
		c.End()
		return true
	})
}

// sharedIdleQuota returns how many connections to a member may idle for sharedIdleTime.
func (p *Pool) sharedIdleQuota(member string) int {
	n := p.holders(member)
	if n == 0 {
		return 0
	}
	return int(sharedIdleFraction * float64(p.memberConnections) / float64(n))
}

// keepOrClose keeps an idle connection if its member has free connections, and closes it
// otherwise.
func (p *Pool) keepOrClose(c *Conn) {
	capacity := p.hasCapacity(c)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.member(c.Member)
	if !capacity {
		m.open--
		c.End()
		return
	}
	m.capacityCheckedAt = time.Now()
	p.addIdle(c)
}

// hasCapacity reports whether the connection's member has free connections. It returns false if
// the member doesn't reply, so that a dead connection is closed before it is lent.
func (p *Pool) hasCapacity(c *Conn) bool {
	replies, _, err := c.Exchange([]messenger.Command{{Kind: messenger.KindStatus}}, time.Now().Add(capacityCheckTimeout))
	if err != nil {
		c.Close()
		return false
	}
	s, err := p.Codec.Status(replies[0])
	if err != nil {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return float64(s.Connections) <= capacityFraction*float64(p.memberConnections)
}
