package pooler

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/commander"
)

// Control statements share the connections of traffic, since connections of
// their own would take most of a small budget: 9 instances with one to each of 3
// members are 27, and Keyhold's budget is 20.

// proofTime is kept of a question's time for finding out whether a target lives
// that there was no connection to ask.
const proofTime = 200 * time.Millisecond

// Ask runs a control statement at an address and returns its rows. It uses an
// idle connection, or one between two requests, or a free place of the share, or
// the place of an idle connection, as far as the urgency goes.
//
// ErrBusy says that there was none in time and that the target lives. Without
// the second part, an instance whose few connections to a target all hang would
// report that it is busy, while it has the best evidence of all.
func (p *Pool) Ask(ctx context.Context, address, sql string, u commander.Urgency) ([][][]byte, error) {
	rows, err := p.askInTime(ctx, address, sql, u)
	if errors.Is(err, ErrBusy) {
		if dead := p.prove(ctx, address); dead != nil {
			return nil, dead
		}
	}
	return rows, err
}

func (p *Pool) askInTime(ctx context.Context, address, sql string, u commander.Urgency) ([][][]byte, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-proofTime))
		defer cancel()
	}
	c, err := p.lend(ctx, address, u)
	if err != nil {
		return nil, err
	}
	rows, err := p.askOver(ctx, c, sql, !c.used.IsZero())
	if err == nil || !c.Broken {
		return rows, err
	}
	// A connection that worked before may have gone silent, or be bound to a
	// term that has passed, while the target is well: only a new one can tell.
	again, err := p.lend(ctx, address, u)
	if err != nil {
		return nil, err
	}
	used := !again.used.IsZero()
	rows, err = p.askOver(ctx, again, sql, false)
	if err != nil && again.Broken && used {
		// Another old one: silent connections come in numbers.
		return nil, errors.Wrap(ErrBusy, err.Error())
	}
	return rows, err
}

// askOver asks over a lent connection and gives it back. The first of two tries
// has half of the time.
func (p *Pool) askOver(ctx context.Context, c *Conn, sql string, first bool) ([][][]byte, error) {
	if deadline, ok := ctx.Deadline(); ok && first {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	rows, err := c.Ask(ctx, sql)
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Severity == "FATAL" {
		c.Broken = true
	}
	p.Return(c)
	return rows, err
}

// lend lends a connection for control. Before it spends a place of the share on
// a new connection, the target must show that it lives: orders go to all members
// of a group, and the one that is frozen would keep the place from the others.
//
// Who waits keeps its place in the line until it is served. If it left at each
// change and came again, the place that a connection has just made for an order
// would go to whichever question looks first.
func (p *Pool) lend(ctx context.Context, address string, u commander.Urgency) (*Conn, error) {
	a := &asker{address: address, order: u == commander.Order, given: make(chan *Conn, 1)}
	p.join(a)
	defer p.quit(a)
	proved := false
	for {
		o := p.offerControl(a, u, proved)
		switch {
		case o.conn != nil:
			return o.conn, nil
		case o.dial:
			return p.dial(ctx, Place{Address: address})
		case o.prove:
			if err := p.prove(ctx, address); err != nil {
				return nil, err
			}
			proved = true
			continue
		}
		select {
		case c := <-a.given:
			return c, nil
		case <-o.wait:
		case <-ctx.Done():
			return nil, errors.Wrap(ErrBusy, ctx.Err().Error())
		}
	}
}

// offerControl returns an offer to control.
func (p *Pool) offerControl(a *asker, u commander.Urgency, proved bool) offer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a.waits = false
	select {
	case c := <-a.given:
		return offer{conn: c}
	default:
	}
	if c := p.takeIdle(func(c *Conn) bool { return c.Place.Address == a.address }); c != nil {
		return offer{conn: c}
	}
	a.waits = true
	if !a.order && (p.usable(a.address) > 0 || p.pressed()) {
		return offer{wait: p.changed}
	}
	if !proved {
		a.waits = false
		return offer{prove: true}
	}
	if p.held() < p.share.Connections {
		p.dialing[a.address]++
		a.waits = false
		return offer{dial: true}
	}
	p.discardOne(func(c *Conn) bool { return u >= commander.Wanted || !slices.Contains(p.wanted, c.Place) })
	return offer{wait: p.changed}
}

func (p *Pool) join(a *asker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open()
	p.askers = append(p.askers, a)
}

// quit ends an asker's wait; a connection that it was given too late goes back.
func (p *Pool) quit(a *asker) {
	p.mutex.Lock()
	p.askers = slices.DeleteFunc(p.askers, func(b *asker) bool { return a == b })
	p.wake()
	p.mutex.Unlock()
	select {
	case c := <-a.given:
		p.Return(c)
	default:
	}
}

// usable counts the connections to an address that will come back from whoever
// has them.
func (p *Pool) usable(address string) int {
	n, _ := p.at(address)
	for s := range p.linger {
		if s.address == address {
			n--
		}
	}
	return n
}

// hand gives a connection that comes back to whoever waits to ask its target a
// control question. Without it, saturation would silence control: idle
// connections never exist then, replicas' positions grow stale, and the reads
// that replicas may no longer serve add to the primary's load. An answer takes a
// round trip, and a target is asked a few dozen times a second at most.
func (p *Pool) hand(c *Conn) bool {
	for i, a := range p.askers {
		if a.waits && a.address == c.Place.Address {
			p.askers = slices.Delete(p.askers, i, i+1)
			p.lent[c] = struct{}{}
			a.given <- c
			return true
		}
	}
	return false
}

// pressed reports that an order needs a place of the share: a connection
// that comes back makes room for it, and traffic does not take that room. Without
// it the orders that replace a dead primary would queue behind the traffic that
// the replicas still serve.
func (p *Pool) pressed() bool {
	return slices.ContainsFunc(p.askers, func(a *asker) bool { return a.order && a.waits })
}

// starved reports that a question waits for a target to which there is no
// connection that could come back.
func (p *Pool) starved() bool {
	return slices.ContainsFunc(p.askers, func(a *asker) bool { return a.waits && p.usable(a.address) == 0 })
}

// prove returns nil when a target answers on a fresh connection.
func (p *Pool) prove(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, stuckAfter)
	defer cancel()
	return commander.Prove(ctx, p.Network, address)
}
