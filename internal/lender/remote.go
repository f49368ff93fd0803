package lender

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
)

// This file borrows connections through other instances.
//
// Load pattern: a cut leaves some instances without a way to a member that others reach; if
// it leads the group, all their callers' writes and most reads wait for it in vain. What
// the others hold is shared with them instead, in the same order as their own work.

const (
	// silentLimit is how many exchanges in a row must have got no answer until a member
	// counts as cut off: where a fifth of all answers is lost, three in a row are 0.8%.
	silentLimit = 3
	// slowOpening is how long the opening of the first connection takes when the member
	// may be cut off: three times what it usually takes, 51 ms.
	slowOpening = 150 * time.Millisecond
)

type (
	// State is what a session has left on a connection: its values and prepared
	// statements.
	State struct {
		Values   Values
		Prepared map[Prepared]string
	}

	// LoanEnd says how a connection that another instance has lent is given back.
	LoanEnd struct {
		// Broken connections are of no more use.
		Broken bool
		// NoRoom is set when the member refused a statement for want of room, Ran when
		// it ran one.
		NoRoom, Ran bool
		State       State
	}
)

// Carried makes a connection of what another instance lends; giveBack is called once, when
// it is returned.
func Carried(n net.Conn, codec messenger.MemberCodec, member string, born int64, s State, giveBack func(LoanEnd)) *Conn {
	return &Conn{
		Member: member, Born: born, net: n, codec: codec, replies: codec.Replies(n),
		values: s.Values, prepared: s.Prepared, giveBack: giveBack,
	}
}

// Raw is the connection to the member, for bytes that another instance exchanges on it.
func (c *Conn) Raw() net.Conn { return c.net }

// State returns what sessions have left on the connection.
func (c *Conn) State() State {
	return State{Values: maps.Clone(c.values), Prepared: maps.Clone(c.prepared)}
}

// SetState takes in what a session of another instance has left on the connection.
func (c *Conn) SetState(s State) { c.values, c.prepared = s.Values, s.Prepared }

// returnLoan gives a connection back to the instance that has lent it.
func (c *Conn) returnLoan() {
	broken := c.broken || c.owed > 0
	c.giveBack(LoanEnd{Broken: broken, NoRoom: c.noRoom, Ran: c.ran, State: State{Values: c.values, Prepared: c.prepared}})
}

// Silent takes in that a member did not answer what was sent on a connection.
func (p *Pool) Silent(c *Conn) {
	if c.giveBack != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.place(c.Member)
	m.silent++
	if m.silent < silentLimit {
		return
	}
	// New connections show whether the member is reached; these may be silent for good.
	for _, c := range m.idle {
		m.open--
		c.Close()
	}
	m.idle = nil
}

// cutOff reports whether the member seems not to be reached from here.
func (m *place) cutOff(now time.Time) bool {
	if m.silent >= silentLimit {
		return true
	}
	return m.open == 0 && (m.unreached || m.connecting > 0 && now.Sub(m.connectingSince) > slowOpening)
}

// allCutOff reports whether none of the members seems to be reached from here.
func (p *Pool) allCutOff(ids []string) bool {
	now := time.Now()
	for _, id := range ids {
		if m := p.members[id]; m == nil || !m.cutOff(now) {
			return false
		}
	}
	return len(ids) > 0
}

// Reached returns those of the members that seem to be reached from here, in their order.
func (p *Pool) Reached(ids []string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reached(ids)
}

// choose asks a request for the members that fit; the mutex is held.
func (p *Pool) choose(r *Request) []string {
	if r.Own {
		return p.reached(r.Choose())
	}
	return r.Choose()
}

func (p *Pool) reached(ids []string) []string {
	now := time.Now()
	var reached []string
	for _, id := range ids {
		if _, ok := p.Group.Member(id); ok && !p.place(id).cutOff(now) {
			reached = append(reached, id)
		}
	}
	return reached
}

// carry borrows a connection through another instance for a request that waits, if its
// members seem not to be reached from here. The result comes on the channel; a connection
// that nobody waits for any more is given back.
func (p *Pool) carry(ctx context.Context, w *waiter) {
	p.mutex.Lock()
	ids := p.choose(&w.Request)
	due := p.Carry != nil && !w.Own && !w.carrying && p.allCutOff(ids)
	if due {
		w.carrying = true
		p.working.Add(1)
	}
	p.mutex.Unlock()
	if !due {
		return
	}
	go func() {
		defer p.working.Done()
		c, err := p.Carry(ctx, p.Group.Name, ids, w.Request)
		p.mutex.Lock()
		late := w.left
		switch {
		case err != nil:
			w.carrying = false // another try may follow, one connection at most
		case !late:
			w.carried <- c
		}
		p.mutex.Unlock()
		if err == nil && late {
			c.returnLoan()
		}
	}()
}

// leave ends a request's wait: what comes for it from now on, or has come unused, is given
// back.
func (p *Pool) leave(w *waiter) {
	p.mutex.Lock()
	w.left = true
	p.waiting = slices.DeleteFunc(p.waiting, func(x *waiter) bool { return x == w })
	p.mutex.Unlock()
	select {
	case c := <-w.lent:
		p.Return(c)
	default:
	}
	select {
	case c := <-w.carried:
		c.returnLoan()
	default:
	}
}

// Ran takes in whether the member had room for what was sent on a connection.
func (p *Pool) Ran(c *Conn, room bool) {
	switch {
	case c.giveBack != nil:
		c.noRoom, c.ran = c.noRoom || !room, c.ran || room
	case room:
		p.Room(c.Member)
	default:
		p.NoRoom(c.Member)
	}
}
