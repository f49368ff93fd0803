// Package pooler keeps this instance's connections to targets and lends each to
// one request at a time, within the instance's share of the group's budget.
//
// A connection counts against the share from before it is dialled until the
// target is known to have ended it (linger.go), so that the sum over all
// instances, counted at the targets, stays within the budget.
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
	// restTime is several times what the slower of the two deployments takes for
	// a new connection, 30 ms.
	restTime = 100 * time.Millisecond
)

type (
	// Pool holds the connections of one instance to one group. Set the exported
	// fields, then call Run; the other methods may be called by anyone.
	Pool struct {
		Network networker.Network
		// Resized is called, without locks, when Lendable may have changed.
		Resized func()
		// Count counts an event by name, for the metrics.
		Count func(name string)

		mutex   sync.Mutex
		share   Share
		revoked bool
		idle    []*Conn
		lent    map[*Conn]struct{}
		dialing map[string]int // by address
		linger  map[*socket]struct{}
		waiting int
		wanted  []Place
		askers  []*asker
		fresh   []*socket // lingering, not yet waited for
		fresher chan struct{}
		closed  bool
		changed chan struct{}
	}

	// Share is what a pool may hold.
	Share struct {
		// Connections is how many, in whatever state.
		Connections int
		// Application names the connections that are opened from now on. The
		// targets end, and then refuse, connections by it (docs/TARGET.md).
		Application string
		// Number rises with each change.
		Number uint64
	}

	// Use is how a share is used.
	Use struct {
		Share Share
		// Held counts against the share, Used is lent, wanted or on its way out.
		Held, Used int
		// Starved is set while a control question waits for a connection.
		Starved bool
		// Revoked is set when a target refuses the application's connections.
		Revoked bool
	}

	// Place is what a connection is good for.
	Place struct {
		Address string
		// Term binds the connection to a primary's term; 0 is for replicas.
		Term uint64
	}
)

// ErrBusy means that no connection became free in time. It is no evidence
// against a target.
var ErrBusy = commander.ErrBusy

// Borrow lends a connection to the place, a new one if the share allows.
func (p *Pool) Borrow(ctx context.Context, place Place) (*Conn, error) {
	p.enter(1)
	defer p.enter(-1)
	proved := false // the target has shown a sign of life
	for {
		o := p.take(place, proved)
		switch {
		case o.conn != nil:
			return o.conn, nil
		case o.dial:
			return p.dial(ctx, place)
		case o.prove:
			if err := p.prove(ctx, place.Address); err != nil {
				return nil, err
			}
			proved = true
			continue
		}
		select {
		case <-o.wait:
		case <-ctx.Done():
			return nil, errors.Wrap(ErrBusy, ctx.Err().Error())
		}
	}
}

func (p *Pool) enter(n int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open()
	p.waiting += n
}

func (p *Pool) open() {
	if p.lent == nil {
		p.lent, p.dialing, p.linger = map[*Conn]struct{}{}, map[string]int{}, map[*socket]struct{}{}
		p.changed, p.fresher = make(chan struct{}), make(chan struct{}, 1)
	}
}

// offer is what a pool has for whoever wants a connection: an idle one, the right
// to open one, or something to wait for. With prove set, the target must show
// that it lives before a place of the share is spent on it.
type offer struct {
	conn  *Conn
	dial  bool
	prove bool
	wait  chan struct{}
}

// take returns an offer to traffic.
func (p *Pool) take(place Place, proved bool) offer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.discardOld(place)
	if c := p.takeIdle(func(c *Conn) bool { return c.Place == place }); c != nil {
		return offer{conn: c}
	}
	if p.pressed() || !p.mayAdd(place.Address) {
		return offer{wait: p.changed}
	}
	if !proved && p.risky(place.Address) {
		return offer{prove: true}
	}
	if p.held() < p.share.Connections {
		p.dialing[place.Address]++
		return offer{dial: true}
	}
	p.giveUpIdle(place)
	return offer{wait: p.changed}
}

// takeIdle takes the idle connection that was used last.
func (p *Pool) takeIdle(match func(*Conn) bool) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; match(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			p.lent[c] = struct{}{}
			return c
		}
	}
	return nil
}

// discardOld closes idle connections to a primary that can't bring it work: those
// bound to an older term, which it refuses, and those bound to none, over which
// control has asked it. They would stand in the way of the ones that can.
func (p *Pool) discardOld(place Place) {
	if place.Term == 0 {
		return
	}
	p.discard(func(c *Conn) bool {
		return c.Place.Address == place.Address && c.Place.Term < place.Term
	})
}

// discard closes the idle connections that match; the mutex is held.
func (p *Pool) discard(match func(*Conn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if match(c) {
			p.retire(c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// retire ends a connection that is between two requests.
func (p *Pool) retire(c *Conn) {
	c.socket.clean = true
	p.lingerOn(c.socket)
}

// mayAdd keeps one connection of the share away from the address, when the
// share has two or more. A target that freezes keeps the connections it has, for
// as long as it is frozen: if that were the whole share, the instance could not
// reach the primary that takes over. Work that meets only connections of open
// transactions may take the last one all the same, from a target that is seen to
// be alive: it would wait for a caller, and not for the target.
func (p *Pool) mayAdd(address string) bool {
	n, long := p.at(address)
	return n < max(1, p.share.Connections-1) || long
}

// at counts the connections at an address; long is set when all of them are
// lent to transactions.
func (p *Pool) at(address string) (n int, long bool) {
	n = p.dialing[address]
	long = n == 0
	for c := range p.lent {
		if c.Place.Address == address {
			n++
			long = long && c.Long
		}
	}
	for s := range p.linger {
		if s.address == address {
			n++
			long = false
		}
	}
	for _, c := range p.idle {
		if c.Place.Address == address {
			n++
		}
	}
	return n, long
}

// giveUpIdle closes an idle connection to another place, for the one that waits:
// so connections move to where the demand is. What was used last stays.
//
// While the place has a connection that will come back, only what has rested is
// given up. It answers requests that alternate between members faster than a
// connection opens: without it each would close the connection that the next one
// needs, and wait for the 10 or 30 ms that its own takes to open.
func (p *Pool) giveUpIdle(place Place) {
	if p.leaving() >= p.waiting {
		return // enough are on their way out
	}
	served := p.serves(place)
	for i, c := range p.idle {
		if c.Place == place || (served && time.Since(c.used) < restTime) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		p.retire(c)
		return
	}
}

// serves reports that a connection to the place is open and lent to short work,
// or about to be open.
func (p *Pool) serves(place Place) bool {
	for c := range p.lent {
		if c.Place == place && !c.Long {
			return true
		}
	}
	return p.dialing[place.Address] > 0
}

// held counts what counts against the share; the mutex is held.
func (p *Pool) held() int {
	n := len(p.idle) + len(p.lent) + len(p.linger)
	for _, k := range p.dialing {
		n += k
	}
	return n
}

func (p *Pool) dial(ctx context.Context, place Place) (*Conn, error) {
	p.count("connection.opened")
	p.mutex.Lock()
	application := p.share.Application
	p.mutex.Unlock()
	c, s, err := open(ctx, p.Network, application, place)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.undial(place.Address)
	if s != nil {
		s.application = application
	}
	if err != nil {
		if s != nil {
			s.failed = true
			p.lingerOn(s)
		}
		var refused *pgconn.PgError
		if errors.As(err, &refused) && refused.Code == commander.CodeRevoked && application == p.share.Application {
			p.revoked = true
		}
		return nil, err
	}
	c.opened = time.Now()
	p.lent[c] = struct{}{}
	return c, nil
}

func (p *Pool) undial(address string) {
	if p.dialing[address]--; p.dialing[address] == 0 {
		delete(p.dialing, address)
	}
	p.wake()
}

// Lengthen notes that a lent connection is held for as long as a caller likes.
func (p *Pool) Lengthen(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.Long = true
	p.wake()
}

// Return gives a connection back; a broken one is closed.
func (p *Pool) Return(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, ok := p.lent[c]; !ok {
		return
	}
	delete(p.lent, c)
	c.Long = false
	if c.Broken || p.closed || p.held() >= p.share.Connections {
		c.socket.clean = !c.Broken
		p.lingerOn(c.socket)
		return
	}
	c.used = time.Now()
	switch {
	case p.hand(c):
		return
	case p.pressed():
		p.retire(c)
		return
	}
	p.idle = append(p.idle, c)
	p.wake()
}

func (p *Pool) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetShare sets the share. Above it, connections are closed as they come back. A
// share that is older than the one in force is ignored.
func (p *Pool) SetShare(s Share) {
	p.mutex.Lock()
	p.open()
	if s.Number >= p.share.Number {
		if p.share.Application != s.Application {
			// The targets have ended the connections of the old name.
			p.discard(func(*Conn) bool { return true })
			p.revoked = false
		}
		p.share = s
		p.shed()
		p.wake()
	}
	p.mutex.Unlock()
	p.resized()
}

// DropIdle closes the connections that are not lent.
func (p *Pool) DropIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle {
		p.lingerOn(c.socket)
	}
	p.idle = nil
}

// shed closes idle connections above the share, the longest unused first.
func (p *Pool) shed() {
	for len(p.idle) > 0 && p.held()-len(p.linger) > p.share.Connections {
		p.retire(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// Use returns how the share is used at this moment.
func (p *Pool) Use() Use {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Use{Share: p.share, Held: p.held(), Used: len(p.lent) + len(p.linger) + p.waiting, Starved: p.starved(), Revoked: p.revoked}
}

// Lendable returns how many connections can be lent at once.
func (p *Pool) Lendable() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return max(0, p.share.Connections-p.stuck())
}

func (p *Pool) resized() {
	if p.Resized != nil {
		p.Resized()
	}
}

func (p *Pool) count(name string) {
	if p.Count != nil {
		p.Count(name)
	}
}
