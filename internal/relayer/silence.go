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

// silenceWatch tracks how long a target has sent nothing.
type silenceWatch struct {
	messages        int // received from the target
	checked         int // value of messages at the last check
	since           time.Time
	nextProbe       time.Duration // duration of silence before the next probe
	probeState      prober.State
	idleProbes      int
	unansweredSince time.Time // start of the current run of failed probes
}

var errNoResponse = errors.New("the target's connection stopped responding")

// startSilenceWatch starts the silence detection for an answer.
func (x *exchange) startSilenceWatch(now time.Time) {
	x.silence = silenceWatch{since: now, nextProbe: prober.FirstProbeDelay}
	if x.suspectSilent {
		x.silence.nextProbe = prober.CheckInterval
	}
	_ = x.conn.SetReadDeadline(now.Add(prober.CheckInterval))
}

// receive returns the target's next message and checks for silence at each read timeout. The
// codec keeps partially read messages across timeouts.
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
		if !x.checkSilence(ctx) {
			return nil, errNoResponse
		}
		_ = x.conn.SetReadDeadline(time.Now().Add(prober.CheckInterval))
	}
}

// checkSilence reports whether to keep waiting for an answer.
func (x *exchange) checkSilence(ctx context.Context) bool {
	q, now := &x.silence, time.Now()
	if q.messages > q.checked {
		*q = silenceWatch{messages: q.messages, checked: q.messages, since: now, nextProbe: prober.FirstProbeDelay}
		return true
	}
	switch prober.Decide(x.observeSilence(now)) {
	case prober.GiveUp:
		x.session.Count("given-up.silent")
		return false
	case prober.Probe:
		x.probe(ctx)
	}
	return true
}

func (x *exchange) observeSilence(now time.Time) prober.RequestStatus {
	q := &x.silence
	l := prober.RequestStatus{
		SilentFor: now.Sub(q.since), State: q.probeState, IdleReplies: q.idleProbes, NextProbe: q.nextProbe, MaxWait: defaultHoldTimeout,
		Retryable: !x.session.partlySent && !x.state.inTransaction && x.state.outcome() == refuser.NotRun,
	}
	if !q.unansweredSince.IsZero() {
		l.ProbesFailingFor = now.Sub(q.unansweredSince)
	}
	g := x.session.Table().Group(x.session.Service)
	if g == nil {
		return l
	}
	l.MaxWait = holdTimeout(g)
	for i, m := range g.Service.Members {
		if m.Address == x.conn.Endpoint.Address {
			l.TargetUnresponsive = g.Members[i].Failures > 0
			l.Superseded = x.conn.Endpoint.Term != 0 && g.Members[i].Status.Term > x.conn.Endpoint.Term
		}
	}
	if p := g.Primary; p >= 0 && x.conn.Endpoint.Term != 0 {
		l.Superseded = l.Superseded || g.Members[p].Status.Term > x.conn.Endpoint.Term
	}
	return l
}

// probe queries the session's state at the target over a new connection.
func (x *exchange) probe(ctx context.Context) {
	q := &x.silence
	state := prober.Unknown
	if p := x.session.Prober; p != nil {
		x.session.Count("probe")
		var err error
		state, err = p.SessionState(ctx, x.conn.Endpoint.Address, x.conn.PID)
		if err != nil && q.unansweredSince.IsZero() {
			q.unansweredSince = time.Now()
		}
		if err == nil {
			q.unansweredSince = time.Time{}
		}
	}
	q.probeState = state
	q.idleProbes++
	if state != prober.Idle && state != prober.Absent {
		q.idleProbes = 0
	}
	q.nextProbe = prober.NextProbe(time.Since(q.since), state)
}
