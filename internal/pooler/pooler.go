// Package pooler keeps this instance's connections to targets and checks each out to one
// request at a time, within the instance's share of the group's connection budget.
//
// A connection occupies a slot of the share from before it is dialed until the target is known
// to have ended the session (closing.go), so that the connections of all instances, counted at
// the targets, stay within the budget.
package pooler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/networker"
)

const (
	dialTimeout = 2 * time.Second
	// minIdleBeforeEviction is a few times the duration of a dial, so that evicting pays off.
	minIdleBeforeEviction = 100 * time.Millisecond
)

type (
	// Pool holds the connections of one instance to one group. Set the exported fields, then
	// call Run; the other methods are safe for concurrent use.
	Pool struct {
		Network networker.Network
		// OnCapacityChange is called, without locks held, when Capacity may have changed.
		OnCapacityChange func()
		// Count increments the named metric.
		Count func(name string)

		mutex          sync.Mutex
		share          Share
		revoked        bool
		idle           []*Conn
		checkedOut     map[*Conn]struct{}
		dialing        map[string]int // by address
		closing        map[*socket]struct{}
		waiters        int
		wanted         []Endpoint
		controlWaiters []*controlWaiter
		newlyClosing   []*socket // not yet awaited
		closingSignal  chan struct{}
		closed         bool
		changed        chan struct{}
	}

	// Share is the part of the budget that a pool may use.
	Share struct {
		// Connections is the maximum number of connections, in any state.
		Connections int
		// Application names new connections. Targets terminate and refuse connections by this
		// name.
		Application string
		// Version increases with each change.
		Version uint64
	}

	// Usage is the current use of a share.
	Usage struct {
		Share Share
		// Held counts all occupied slots; InUse counts connections that are checked out,
		// requested or closing.
		Held, InUse int
		// ControlStarved is set while a control statement waits for a target without any connection.
		ControlStarved bool
		// Revoked is set when a target refuses the application's connections.
		Revoked bool
	}

	// Endpoint identifies a target and the role for which a connection was opened.
	Endpoint struct {
		Address string
		// Term is the primary's term that the connection is bound to; 0 for replicas.
		Term uint64
	}
)

// ErrBusy means that no connection became free in time. It doesn't indicate a target failure.
var ErrBusy = commander.ErrNoConnection

// Borrow checks out a connection to the endpoint, or opens one if the share allows.
func (p *Pool) Borrow(ctx context.Context, endpoint Endpoint) (*Conn, error) {
	p.addWaiters(1)
	defer p.addWaiters(-1)
	probed := false
	for {
		o := p.tryCheckout(endpoint, probed)
		switch {
		case o.conn != nil:
			return o.conn, nil
		case o.dial:
			return p.dial(ctx, endpoint)
		case o.probe:
			if err := p.probe(ctx, endpoint.Address); err != nil {
				return nil, err
			}
			probed = true
			continue
		}
		select {
		case <-o.wait:
		case <-ctx.Done():
			return nil, errors.Wrap(ErrBusy, ctx.Err().Error())
		}
	}
}

func (p *Pool) addWaiters(n int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.initialize()
	p.waiters += n
}

func (p *Pool) initialize() {
	if p.checkedOut == nil {
		p.checkedOut, p.dialing, p.closing = map[*Conn]struct{}{}, map[string]int{}, map[*socket]struct{}{}
		p.changed, p.closingSignal = make(chan struct{}), make(chan struct{}, 1)
	}
}

// checkout is the outcome of an attempt to get a connection: an idle one, permission to dial, a
// target that has to be probed first, or a channel to wait on.
type checkout struct {
	conn  *Conn
	dial  bool
	probe bool
	wait  chan struct{}
}

// tryCheckout attempts to get a connection for a client request.
func (p *Pool) tryCheckout(endpoint Endpoint, probed bool) checkout {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.discardStale(endpoint)
	if c := p.takeIdle(func(c *Conn) bool { return c.Endpoint == endpoint }); c != nil {
		return checkout{conn: c}
	}
	if p.failoverWaiting() || !p.mayOpenAt(endpoint.Address) {
		return checkout{wait: p.changed}
	}
	if !probed && p.mayHang(endpoint.Address) {
		return checkout{probe: true}
	}
	if p.held() < p.share.Connections {
		p.dialing[endpoint.Address]++
		return checkout{dial: true}
	}
	p.evictIdleFor(endpoint)
	return checkout{wait: p.changed}
}

// takeIdle checks out the most recently used idle connection that matches.
func (p *Pool) takeIdle(match func(*Conn) bool) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; match(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			p.checkedOut[c] = struct{}{}
			return c
		}
	}
	return nil
}

// discardStale closes idle connections to a primary that are bound to an older term or to none.
// The primary refuses writes on them, and they would occupy slots.
func (p *Pool) discardStale(endpoint Endpoint) {
	if endpoint.Term == 0 {
		return
	}
	p.closeIdleIf(func(c *Conn) bool {
		return c.Endpoint.Address == endpoint.Address && c.Endpoint.Term < endpoint.Term
	})
}

// closeIdleIf closes the idle connections that match. The mutex is held.
func (p *Pool) closeIdleIf(match func(*Conn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if match(c) {
			p.closeIdle(c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// closeIdle closes a connection on which no request is running.
func (p *Pool) closeIdle(c *Conn) {
	c.socket.clean = true
	p.startClosing(c.socket)
}

// mayOpenAt reports whether another connection to the address is allowed. One slot of a share
// of two or more is reserved for other addresses, since a frozen target would otherwise occupy
// the whole share and block failover to another primary. The reserve is released if all
// connections to the address are in open transactions.
func (p *Pool) mayOpenAt(address string) bool {
	n, allInTransaction := p.countAt(address)
	return n < max(1, p.share.Connections-1) || allInTransaction
}

// countAt counts the connections to an address; allInTransaction is set if all of them are checked out
// by transactions.
func (p *Pool) countAt(address string) (n int, allInTransaction bool) {
	n = p.dialing[address]
	allInTransaction = n == 0
	for c := range p.checkedOut {
		if c.Endpoint.Address == address {
			n++
			allInTransaction = allInTransaction && c.InTransaction
		}
	}
	for s := range p.closing {
		if s.address == address {
			n++
			allInTransaction = false
		}
	}
	for _, c := range p.idle {
		if c.Endpoint.Address == address {
			n++
		}
	}
	return n, allInTransaction
}

// evictIdleFor closes the least recently used idle connection to another endpoint, to free a slot
// for this one. If a connection to the endpoint will be returned soon, only connections idle for
// minIdleBeforeEviction are closed; this avoids thrashing when requests alternate between
// members.
func (p *Pool) evictIdleFor(endpoint Endpoint) {
	if p.countClosingSoon() >= p.waiters {
		return // enough are closing already
	}
	canWait := p.hasShortUse(endpoint)
	for i, c := range p.idle {
		if c.Endpoint == endpoint || (canWait && time.Since(c.used) < minIdleBeforeEviction) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		p.closeIdle(c)
		return
	}
}

// hasShortUse reports whether a connection to the endpoint is being dialed, or is checked out
// outside a transaction.
func (p *Pool) hasShortUse(endpoint Endpoint) bool {
	for c := range p.checkedOut {
		if c.Endpoint == endpoint && !c.InTransaction {
			return true
		}
	}
	return p.dialing[endpoint.Address] > 0
}

// held returns the number of occupied slots. The mutex is held.
func (p *Pool) held() int {
	n := len(p.idle) + len(p.checkedOut) + len(p.closing)
	for _, k := range p.dialing {
		n += k
	}
	return n
}

func (p *Pool) dial(ctx context.Context, endpoint Endpoint) (*Conn, error) {
	p.count("connection.opened")
	p.mutex.Lock()
	application := p.share.Application
	p.mutex.Unlock()
	c, s, err := openConn(ctx, p.Network, application, endpoint)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dialDone(endpoint.Address)
	if s != nil {
		s.application = application
	}
	if err != nil {
		if s != nil {
			s.notEstablished = true
			p.startClosing(s)
		}
		var refused *pgconn.PgError
		if errors.As(err, &refused) && refused.Code == commander.CodeRevoked && application == p.share.Application {
			p.revoked = true
		}
		return nil, err
	}
	c.opened = time.Now()
	p.checkedOut[c] = struct{}{}
	return c, nil
}

func (p *Pool) dialDone(address string) {
	if p.dialing[address]--; p.dialing[address] == 0 {
		delete(p.dialing, address)
	}
	p.notifyChanged()
}

// MarkInTransaction marks a connection as checked out by a transaction, whose duration the
// client controls.
func (p *Pool) MarkInTransaction(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.InTransaction = true
	p.notifyChanged()
}

// Return returns a connection to the pool, which closes it if it is broken.
func (p *Pool) Return(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, ok := p.checkedOut[c]; !ok {
		return
	}
	delete(p.checkedOut, c)
	c.InTransaction = false
	if c.Broken || p.closed || p.held() >= p.share.Connections {
		c.socket.clean = !c.Broken
		p.startClosing(c.socket)
		return
	}
	c.used = time.Now()
	switch {
	case p.handToControl(c):
		return
	case p.failoverWaiting():
		p.closeIdle(c)
		return
	}
	p.idle = append(p.idle, c)
	p.notifyChanged()
}

func (p *Pool) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetShare sets the share. Excess connections are closed as they are returned. A share older
// than the current one is ignored.
func (p *Pool) SetShare(s Share) {
	p.mutex.Lock()
	p.initialize()
	if s.Version >= p.share.Version {
		if p.share.Application != s.Application {
			// The targets have terminated the connections of the old name.
			p.closeIdleIf(func(*Conn) bool { return true })
			p.revoked = false
		}
		p.share = s
		p.closeExcessIdle()
		p.notifyChanged()
	}
	p.mutex.Unlock()
	p.capacityChanged()
}

// DropIdle closes all idle connections.
func (p *Pool) DropIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle {
		p.startClosing(c.socket)
	}
	p.idle = nil
}

// closeExcessIdle closes the least recently used idle connections above the share.
func (p *Pool) closeExcessIdle() {
	for len(p.idle) > 0 && p.held()-len(p.closing) > p.share.Connections {
		p.closeIdle(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// Usage returns the current use of the share.
func (p *Pool) Usage() Usage {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Usage{Share: p.share, Held: p.held(), InUse: len(p.checkedOut) + len(p.closing) + p.waiters, ControlStarved: p.controlStarved(), Revoked: p.revoked}
}

// Capacity returns how many connections can be checked out at once.
func (p *Pool) Capacity() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return max(0, p.share.Connections-p.countStuck())
}

func (p *Pool) capacityChanged() {
	if p.OnCapacityChange != nil {
		p.OnCapacityChange()
	}
}

func (p *Pool) count(name string) {
	if p.Count != nil {
		p.Count(name)
	}
}
