package relayer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/prober"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// silence is what an exchange knows of the target's silence.
type silence struct {
	messages   int // taken from the target so far
	counted    int // of them, at the last look
	since      time.Time
	next       time.Duration // the silence at which the next probe is due
	state      prober.State
	idle       int
	unanswered time.Time // the first of the probes in a row without answer
}

var errSilent = errors.New("the connection to the target has gone silent")

// listen begins the watch over an answer.
func (x *exchange) listen(now time.Time) {
	x.silence = silence{since: now, next: prober.FirstProbe}
	if x.alert {
		x.silence.next = prober.Interval
	}
	_ = x.conn.SetReadDeadline(now.Add(prober.Interval))
}

// receive takes the target's next message. While none comes, it looks every
// interval whether waiting on still makes sense. A read that ran into its
// deadline loses nothing: the codec keeps what it had read of a message.
func (x *exchange) receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	for {
		m, err := x.conn.Frontend.Receive()
		if err == nil {
			x.silence.messages++
			return m, nil
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if !x.look(ctx) {
			return nil, errSilent
		}
		_ = x.conn.SetReadDeadline(time.Now().Add(prober.Interval))
	}
}

// look decides whether to wait on for an answer.
func (x *exchange) look(ctx context.Context) bool {
	q, now := &x.silence, time.Now()
	if q.messages > q.counted {
		*q = silence{messages: q.messages, counted: q.messages, since: now, next: prober.FirstProbe}
		return true
	}
	switch prober.Judge(x.lookAt(now)) {
	case prober.GiveUp:
		x.session.Count("given-up.silent")
		return false
	case prober.Probe:
		x.probe(ctx)
	}
	return true
}

func (x *exchange) lookAt(now time.Time) prober.Look {
	q := &x.silence
	l := prober.Look{
		Silent: now.Sub(q.since), State: q.state, Idle: q.idle, NextProbe: q.next, Hold: defaultHold,
		Repeatable: !x.session.sent && !x.facts.inTransaction && x.facts.outcome() == refuser.NotRun,
	}
	if !q.unanswered.IsZero() {
		l.Unanswered = now.Sub(q.unanswered)
	}
	g := x.session.Table().Group(x.session.Service)
	if g == nil {
		return l
	}
	l.Hold = hold(g)
	for i, m := range g.Service.Members {
		if m.Address == x.conn.Place.Address {
			l.Failing = g.Members[i].Failures > 0
			l.Replaced = x.conn.Place.Term != 0 && g.Members[i].Status.Term > x.conn.Place.Term
		}
	}
	if p := g.Primary; p >= 0 && x.conn.Place.Term != 0 {
		l.Replaced = l.Replaced || g.Members[p].Status.Term > x.conn.Place.Term
	}
	return l
}

// probe asks the target over a fresh connection what the session does.
func (x *exchange) probe(ctx context.Context) {
	q := &x.silence
	state := prober.Unknown
	if p := x.session.Prober; p != nil {
		x.session.Count("probe")
		var err error
		state, err = p.Ask(ctx, x.conn.Place.Address, x.conn.PID)
		if err != nil && q.unanswered.IsZero() {
			q.unanswered = time.Now()
		}
		if err == nil {
			q.unanswered = time.Time{}
		}
	}
	q.state = state
	q.idle++
	if state != prober.Idle && state != prober.Absent {
		q.idle = 0
	}
	q.next = prober.Next(time.Since(q.since), state)
}
