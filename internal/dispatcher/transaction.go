package dispatcher

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// runInTransaction runs a statement of the open transaction.
func (x *execution) runInTransaction(ctx context.Context) messenger.Reply {
	t := x.session.tx
	if reply, ok := x.checkKey(); !ok {
		return reply
	}
	if x.writes {
		if err := x.backend.checkLease(); err != nil {
			return x.abort(ReasonNoLease)
		}
	}
	if t.conn == nil {
		if reply, ok := x.bindConnection(ctx); !ok {
			return reply
		}
	}
	commands, index := x.commands(t.conn, nil, nil)
	replies, _, err := x.send(t.conn, commands, x.deadline())
	if err != nil {
		t.conn.Close()
		x.backend.suspect(t.conn.Member)
		return x.abort(ReasonNoAnswer)
	}
	r := replies[index]
	if r.Code != messenger.CodeNone || r.State != messenger.StateOpen {
		if r.Code == messenger.CodeNotPrimary {
			x.backend.handleNotPrimary(t.conn.Member)
		}
		return x.abort(reasonForCode(r.Code))
	}
	t.wrote = t.wrote || x.writes
	return x.complete(t.conn.Member, r)
}

// bindConnection assigns a connection to the transaction and opens the transaction there.
// BEGIN takes a round trip of its own: sent together with a write and refused, it would
// leave the write to be committed by itself.
func (x *execution) bindConnection(ctx context.Context) (messenger.Reply, bool) {
	t := x.session.tx
	x.arrived = t.arrived
	if t.readOnly {
		x.recordRead()
	}
	for {
		candidates := x.primaryCandidates
		if t.readOnly {
			candidates = x.readCandidates
		}
		c, err := x.checkout(ctx, candidates)
		if err != nil {
			return x.refuseCheckout(err), false
		}
		begin := messenger.Command{Kind: messenger.KindBegin}
		switch {
		case t.readOnly && x.resolveMinPosition():
			begin = messenger.Command{Kind: messenger.KindBeginReadOnly, After: x.minPosition}
		case c.Member != x.backend.Group.Primary():
			x.backend.Pool.Return(c)
			continue
		}
		r, err := x.sendBegin(c, begin)
		if err != nil {
			if x.recordFailedAttempt(c.Member, ReasonNoAnswer) {
				continue
			}
			return x.refuse(ReasonNoAnswer), false
		}
		if r.Code == messenger.CodeNone && r.State == messenger.StateOpen {
			t.conn = c
			return messenger.Reply{}, true
		}
		if r.Code == messenger.CodeBehind {
			x.backend.Group.RecordLag(x.session.server.Clock(), c.Member, x.minPosition)
		}
		if !x.releaseForRetry(c, r) {
			return x.refuse(reasonForCode(r.Code)), false
		}
	}
}

// sendBegin opens a transaction on a connection, and closes the connection without an answer.
func (x *execution) sendBegin(c *lender.Conn, begin messenger.Command) (messenger.Reply, error) {
	setup, _ := c.SessionCommands(x.session.values, x.prepared, false)
	sentAt := x.session.server.Clock()
	replies, _, err := x.send(c, append(setup, begin), time.Now().Add(beginTimeout))
	if err != nil {
		c.Close()
		x.backend.Pool.Return(c)
		x.backend.suspect(c.Member)
		return messenger.Reply{}, err
	}
	r := replies[len(setup)]
	if r.Code == messenger.CodeNone && begin.Kind == messenger.KindBegin {
		x.backend.Group.AddProof(tracker.FreshnessProof{At: sentAt, Position: r.Position})
	}
	return r, nil
}

// commit ends the open transaction. Without an answer the outcome is unknown, unless the
// transaction wrote nothing.
func (x *execution) commit(ctx context.Context) messenger.Reply {
	s, t := x.session, x.session.tx
	if reply, ok := x.checkKey(); !ok {
		return s.finishTransaction(reply)
	}
	if t.conn == nil {
		if reply, ok := x.bindConnection(ctx); !ok {
			return s.finishTransaction(reply)
		}
	}
	if t.wrote {
		if err := x.backend.checkLease(); err != nil {
			return s.finishTransaction(x.abort(ReasonNoLease))
		}
	}
	sentAt := s.server.Clock()
	r, err := x.sendCommit(t)
	if err != nil {
		member := t.conn.Member
		t.conn.Close()
		x.backend.suspect(member)
		if !t.wrote {
			return s.finishTransaction(x.abort(ReasonNoAnswer))
		}
		return s.finishTransaction(x.outcomeUnknown(member, err))
	}
	switch {
	case r.Code == messenger.CodeNone:
		member := t.conn.Member
		if r.State == messenger.StateIdle {
			x.backend.Pool.Return(t.conn)
			s.clearTransaction()
		}
		if t.wrote {
			if err := x.confirmCommit(ctx, r); err != nil {
				return s.finishTransaction(x.outcomeUnknown(member, err))
			}
			x.recordCommit(sentAt, r)
		}
		return s.finishTransaction(x.complete(member, r))
	case r.Code == messenger.CodeNotPrimary:
		x.backend.handleNotPrimary(t.conn.Member)
		return s.finishTransaction(x.abort(reasonForCode(r.Code)))
	case r.Code.NotRun() || r.Code == messenger.CodeAborted:
		return s.finishTransaction(x.abort(reasonForCode(r.Code)))
	}
	member, idle := t.conn.Member, r.State == messenger.StateIdle
	if idle {
		s.clearTransaction()
		x.backend.Pool.Return(t.conn)
	}
	return s.finishTransaction(x.complete(member, r))
}

// sendCommit sends the commit, and again while the member is busy: it is the transaction's
// last statement and frees its connection. Other statements of a transaction are not
// retried, which would keep load on an overloaded member.
func (x *execution) sendCommit(t *transaction) (messenger.Reply, error) {
	var backoff busyBackoff
	for {
		replies, _, err := x.send(t.conn, []messenger.Command{x.command}, x.deadline())
		if err != nil {
			return messenger.Reply{}, err
		}
		r := replies[0]
		if r.Code != messenger.CodeBusy || r.State != messenger.StateOpen || !x.recordFailedAttempt(t.conn.Member, reasonForCode(r.Code)) {
			return r, nil
		}
		backoff.wait()
	}
}

// finishTransaction closes the transaction, regardless of its outcome.
func (s *session) finishTransaction(r messenger.Reply) messenger.Reply {
	s.endTransaction()
	s.state = messenger.StateIdle
	r.State = s.state
	return r
}
