package pooler

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/commander"
)

// Control statements share the connections of client requests: separate ones would exceed small
// budgets.

// probeReserve is the part of a control statement's timeout that is kept for probing the target
// when no connection was free.
const probeReserve = 200 * time.Millisecond

// QueryControl runs a control statement at an address and returns its rows. The priority decides
// whether it may open a connection or evict an idle one. ErrBusy means that no connection was free
// in time although the target responds to a probe; without the probe, a dead target whose
// connections all hang would be reported as busy.
func (p *Pool) QueryControl(ctx context.Context, address, sql string, priority commander.Priority) ([][][]byte, error) {
	rows, err := p.queryWithReserve(ctx, address, sql, priority)
	if errors.Is(err, ErrBusy) {
		if probeErr := p.probe(ctx, address); probeErr != nil {
			return nil, probeErr
		}
	}
	return rows, err
}

func (p *Pool) queryWithReserve(ctx context.Context, address, sql string, priority commander.Priority) ([][][]byte, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-probeReserve))
		defer cancel()
	}
	c, err := p.checkoutControl(ctx, address, priority)
	if err != nil {
		return nil, err
	}
	rows, err := p.queryOn(ctx, c, sql, !c.used.IsZero())
	if err == nil || !c.Broken {
		return rows, err
	}
	// The connection may have gone silent or be bound to an old term while the target is
	// healthy, so the statement is retried on another one.
	retry, err := p.checkoutControl(ctx, address, priority)
	if err != nil {
		return nil, err
	}
	used := !retry.used.IsZero()
	rows, err = p.queryOn(ctx, retry, sql, false)
	if err != nil && retry.Broken && used {
		// Both connections were old, which is no evidence against the target.
		return nil, errors.Wrap(ErrBusy, err.Error())
	}
	return rows, err
}

// queryOn runs a statement on a connection and returns the connection. The first of two
// attempts gets half of the remaining time.
func (p *Pool) queryOn(ctx context.Context, c *Conn, sql string, first bool) ([][][]byte, error) {
	if deadline, ok := ctx.Deadline(); ok && first {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	rows, err := c.Query(ctx, sql)
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Severity == "FATAL" {
		c.Broken = true
	}
	p.Return(c)
	return rows, err
}

// checkoutControl checks out a connection for a control statement. A target is probed before a
// slot is used for it: failover statements go to all members, and a frozen one would keep the
// slot. A waiter keeps its queue position until served.
func (p *Pool) checkoutControl(ctx context.Context, address string, priority commander.Priority) (*Conn, error) {
	a := &controlWaiter{address: address, isFailover: priority == commander.Failover, handoff: make(chan *Conn, 1)}
	p.addControlWaiter(a)
	defer p.removeControlWaiter(a)
	probed := false
	for {
		o := p.tryCheckoutControl(a, priority, probed)
		switch {
		case o.conn != nil:
			return o.conn, nil
		case o.dial:
			return p.dial(ctx, Endpoint{Address: address})
		case o.probe:
			if err := p.probe(ctx, address); err != nil {
				return nil, err
			}
			probed = true
			continue
		}
		select {
		case c := <-a.handoff:
			return c, nil
		case <-o.wait:
		case <-ctx.Done():
			return nil, errors.Wrap(ErrBusy, ctx.Err().Error())
		}
	}
}

// tryCheckoutControl attempts to get a connection for a control statement.
func (p *Pool) tryCheckoutControl(a *controlWaiter, priority commander.Priority, probed bool) checkout {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a.waiting = false
	select {
	case c := <-a.handoff:
		return checkout{conn: c}
	default:
	}
	if c := p.takeIdle(func(c *Conn) bool { return c.Endpoint.Address == a.address }); c != nil {
		return checkout{conn: c}
	}
	a.waiting = true
	if !a.isFailover && (p.countReturning(a.address) > 0 || p.failoverWaiting()) {
		return checkout{wait: p.changed}
	}
	if !probed {
		a.waiting = false
		return checkout{probe: true}
	}
	if p.held() < p.share.Connections {
		p.dialing[a.address]++
		a.waiting = false
		return checkout{dial: true}
	}
	p.evictOneIdle(func(c *Conn) bool {
		return priority >= commander.ClientWaiting || !slices.Contains(p.wanted, c.Endpoint)
	})
	return checkout{wait: p.changed}
}

func (p *Pool) addControlWaiter(a *controlWaiter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.initialize()
	p.controlWaiters = append(p.controlWaiters, a)
}

// removeControlWaiter ends a wait; a connection handed over too late is returned.
func (p *Pool) removeControlWaiter(a *controlWaiter) {
	p.mutex.Lock()
	p.controlWaiters = slices.DeleteFunc(p.controlWaiters, func(b *controlWaiter) bool { return a == b })
	p.notifyChanged()
	p.mutex.Unlock()
	select {
	case c := <-a.handoff:
		p.Return(c)
	default:
	}
}

// countReturning counts the connections to an address that are not closing.
func (p *Pool) countReturning(address string) int {
	n, _ := p.countAt(address)
	for s := range p.closing {
		if s.address == address {
			n--
		}
	}
	return n
}

// handToControl passes a returned connection to a control statement that waits for its target.
// Otherwise control statements would starve while all connections are busy, and replica
// positions would become stale.
func (p *Pool) handToControl(c *Conn) bool {
	for i, a := range p.controlWaiters {
		if a.waiting && a.address == c.Endpoint.Address {
			p.controlWaiters = slices.Delete(p.controlWaiters, i, i+1)
			p.checkedOut[c] = struct{}{}
			a.handoff <- c
			return true
		}
	}
	return false
}

// failoverWaiting reports whether a failover statement waits for a slot. Client requests then
// leave slots to it, so that a failover doesn't queue behind them.
func (p *Pool) failoverWaiting() bool {
	return slices.ContainsFunc(p.controlWaiters, func(a *controlWaiter) bool { return a.isFailover && a.waiting })
}

// controlStarved reports whether a control statement waits for a target without any connection.
func (p *Pool) controlStarved() bool {
	return slices.ContainsFunc(p.controlWaiters, func(a *controlWaiter) bool { return a.waiting && p.countReturning(a.address) == 0 })
}

// probe returns nil if a target answers on a new connection.
func (p *Pool) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, stuckAfter)
	defer cancel()
	return commander.Ping(ctx, p.Network, address)
}
