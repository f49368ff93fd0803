package lender

import (
	"context"
	"maps"
	"net"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
)

// Connections through other instances. During a partition, some instances may be unable to reach a
// member that others reach. They borrow the others' connections, in the same queue as the others'
// own requests.

const (
	// unreachableTimeouts is the number of consecutive timeouts after which a member counts as
	// unreachable; single replies may be lost. If a fifth of all replies is lost, three in a row
	// are lost with a probability of 0.8%.
	unreachableTimeouts = 3
	// slowOpenTime is how long the opening of the first connection may take until the member
	// counts as unreachable. It is three times the usual duration, 51 ms.
	slowOpenTime = 150 * time.Millisecond
)

type (
	// SessionState is the session state on a connection: its values and prepared statements.
	SessionState struct {
		Values   Values
		Prepared map[Prepared]string
	}

	// LoanEnd describes the return of a connection that another instance has lent.
	LoanEnd struct {
		// Broken is set if the connection is unusable.
		Broken bool
		// Overloaded is set if the member refused a statement because of overload, Ran if it ran
		// one.
		Overloaded, Ran bool
		State           SessionState
	}
)

// NewRemoteConn wraps a connection that another instance lends. onReturn is called once, when it is
// returned.
func NewRemoteConn(n net.Conn, codec messenger.MemberCodec, member string, startTime int64, s SessionState, onReturn func(LoanEnd)) *Conn {
	return &Conn{
		Member: member, MemberStartTime: startTime, net: n, codec: codec, replies: codec.Replies(n),
		values: s.Values, prepared: s.Prepared, onReturn: onReturn,
	}
}

// NetConn returns the network connection to the member, for relaying bytes of another instance.
func (c *Conn) NetConn() net.Conn { return c.net }

// State returns a copy of the session state on the connection.
func (c *Conn) State() SessionState {
	return SessionState{Values: maps.Clone(c.values), Prepared: maps.Clone(c.prepared)}
}

// SetState sets the session state as left by a session of another instance.
func (c *Conn) SetState(s SessionState) { c.values, c.prepared = s.Values, s.Prepared }

// returnLoan returns a connection to the instance that has lent it.
func (c *Conn) returnLoan() {
	broken := c.broken || c.unreadReplies > 0
	c.onReturn(LoanEnd{Broken: broken, Overloaded: c.refusedBusy, Ran: c.ran, State: SessionState{Values: c.values, Prepared: c.prepared}})
}

// NoteTimeout records that a member did not reply to what was sent on a connection.
func (p *Pool) NoteTimeout(c *Conn) {
	if c.onReturn != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.member(c.Member)
	m.timeouts++
	now := time.Now()
	p.recordFailure(m, now, now)
	if m.timeouts < unreachableTimeouts {
		return
	}
	// Close the idle connections, which may be dead; new ones show whether the member is
	// reachable.
	for _, c := range m.idle {
		m.open--
		c.Close()
	}
	m.idle = nil
}

// unreachable reports whether the member seems to be unreachable from this instance.
func (m *memberPool) unreachable(now time.Time) bool {
	if m.timeouts >= unreachableTimeouts {
		return true
	}
	return m.open == 0 && (m.noResponse || m.opening > 0 && now.Sub(m.openingSince) > slowOpenTime)
}

// allUnreachable reports whether all members seem to be unreachable from this instance.
func (p *Pool) allUnreachable(ids []string) bool {
	now := time.Now()
	for _, id := range ids {
		if m := p.members[id]; m == nil || !m.unreachable(now) {
			return false
		}
	}
	return len(ids) > 0
}

// Reachable returns the members that seem to be reachable from this instance, in the given order.
func (p *Pool) Reachable(ids []string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reachable(ids)
}

// choose returns the eligible members of a request; the caller holds the mutex.
func (p *Pool) choose(r *Request) []string {
	if r.LocalOnly {
		return p.reachable(r.EligibleMembers())
	}
	return r.EligibleMembers()
}

// reachable is Reachable with the mutex held.
func (p *Pool) reachable(ids []string) []string {
	now := time.Now()
	var reachable []string
	for _, id := range ids {
		if _, ok := p.Group.Member(id); ok && !p.member(id).unreachable(now) {
			reachable = append(reachable, id)
		}
	}
	return reachable
}

// borrowRemote requests a connection through another instance for a waiting request whose members
// all seem to be unreachable. The result is sent to w.remote, or returned if the request no longer
// waits.
func (p *Pool) borrowRemote(ctx context.Context, w *waiter) {
	p.mutex.Lock()
	ids := p.choose(&w.Request)
	due := p.BorrowRemote != nil && !w.LocalOnly && !w.remotePending && p.allUnreachable(ids)
	if due {
		w.remotePending = true
		p.remoteLoans++
		p.backgroundTasks.Add(1)
	}
	p.mutex.Unlock()
	if !due {
		return
	}
	go func() {
		defer p.backgroundTasks.Done()
		began := time.Now()
		c, err := p.BorrowRemote(ctx, p.Group.Name, ids, w.Request)
		p.mutex.Lock()
		p.remoteLoans--
		p.noteRemoteLoan(ctx, began, err)
		abandoned := w.abandoned
		switch {
		case err != nil:
			w.remotePending = false // a retry may follow; at most one connection is pending
		case !abandoned:
			w.remote <- c
		}
		p.mutex.Unlock()
		if err == nil && abandoned {
			c.returnLoan()
		}
	}()
}

// abandon removes a request from the queue and returns connections that it didn't use.
func (p *Pool) abandon(w *waiter) {
	p.mutex.Lock()
	w.abandoned = true
	if p.dequeue(w) {
		p.correct(w.charge, 0)
	}
	p.mutex.Unlock()
	select {
	case c := <-w.local:
		p.Return(c)
	default:
	}
	select {
	case c := <-w.remote:
		c.returnLoan()
	default:
	}
}

// NoteResult records whether the member ran what was sent on a connection or refused it because of
// overload.
func (p *Pool) NoteResult(c *Conn, served bool) {
	switch {
	case c.onReturn != nil:
		c.refusedBusy, c.ran = c.refusedBusy || !served, c.ran || served
	case served:
		p.NoteServed(c.Member)
	default:
		p.NoteOverloaded(c.Member)
	}
}
