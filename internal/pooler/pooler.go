// Package pooler keeps this instance's connections to targets and lends each to
// one request at a time, within the instance's share of the group's budget.
package pooler

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const dialTimeout = 2 * time.Second

type (
	// Pool holds the connections of one instance to one group. Set the exported
	// fields before the first Borrow.
	Pool struct {
		Network     networker.Network
		Application string
		// Limit is how many connections the instance may hold to the group.
		Limit int

		mutex   sync.Mutex
		idle    []*Conn
		held    int
		changed chan struct{}
	}

	// Place is what a connection is good for.
	Place struct {
		Address string
		// Term binds the connection to a primary's term; 0 is for replicas.
		Term uint64
	}

	// Conn is one connection to a target.
	Conn struct {
		net.Conn
		Frontend *pgproto3.Frontend
		Place    Place
		// Statements are the prepared statements that the target knows.
		Statements map[string]bool
		// Settings are the statements that set up the session of the caller
		// that the connection was last lent to; empty for none.
		Settings string
		// Position is the newest that the target has reported.
		Position orderer.Position
		// PID and Secret are what a cancel request names.
		PID    uint32
		Secret []byte
		// Tainted connections hold state of their borrower that other callers
		// must not meet; they are destroyed once its transaction is over.
		Tainted bool
		// Broken connections are closed when they come back.
		Broken bool
	}
)

// ErrBusy means that no connection became free in time.
var ErrBusy = errors.New("all connections are busy")

// Borrow lends a connection to the place, a new one if the limit allows.
func (p *Pool) Borrow(ctx context.Context, place Place) (*Conn, error) {
	for {
		c, dial, wait := p.take(place)
		if c != nil {
			return c, nil
		}
		if dial {
			return p.dial(ctx, place)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Wrap(ErrBusy, ctx.Err().Error())
		}
	}
}

// take returns an idle connection, or the right to open one, or what to wait for.
func (p *Pool) take(place Place) (c *Conn, dial bool, wait chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].Place == place {
			c = p.idle[i]
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c, false, nil
		}
	}
	if p.held < p.Limit {
		p.held++
		return nil, true, nil
	}
	if len(p.idle) > 0 { // give up a connection to another place
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		return nil, true, nil
	}
	return nil, false, p.changed
}

func (p *Pool) dial(ctx context.Context, place Place) (*Conn, error) {
	c, err := Dial(ctx, p.Network, p.Application, place)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}

// Dial opens a connection to a place.
func Dial(ctx context.Context, n networker.Network, application string, place Place) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	parameters := map[string]string{"application_name": application}
	if place.Term != 0 {
		parameters["oriole.term"] = strconv.FormatUint(place.Term, 10)
	}
	pc, err := commander.Dial(ctx, n, place.Address, parameters)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "take over connection")
	}
	c := &Conn{
		Conn: h.Conn, Frontend: h.Frontend, Place: place, Statements: map[string]bool{},
		PID: h.PID, Secret: h.SecretKey,
	}
	c.Learn(h.ParameterStatuses["oriole.position"])
	return c, nil
}

// Learn takes in a position that the target reported.
func (c *Conn) Learn(text string) {
	if p, err := orderer.Parse(text); err == nil {
		c.Position = p
	}
}

// Return gives a connection back; a broken one is closed.
func (p *Pool) Return(c *Conn) {
	if c.Broken {
		_ = c.Close()
		p.release()
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = append(p.idle, c)
	p.wake()
}

func (p *Pool) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.held--
	p.wake()
}

func (p *Pool) wake() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// DropIdle closes the connections that are not lent. It is for the moment when
// one was found silent: whatever has lost track of it, a table of connections on
// the way, has probably lost the others too, and each would cost a request the
// time to find out.
func (p *Pool) DropIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.held -= len(p.idle)
	p.idle = nil
	p.wake()
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.held -= len(p.idle)
	p.idle = nil
}
