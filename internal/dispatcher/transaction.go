package dispatcher

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// inTransaction runs a statement of the open transaction.
func (x *exchange) inTransaction(ctx context.Context) messenger.Reply {
	t := x.session.tx
	if reply, ok := x.keyHeld(); !ok {
		return reply
	}
	if t.conn == nil {
		if reply, ok := x.bind(ctx); !ok {
			return reply
		}
	}
	commands, lead := x.commands(t.conn, nil, nil)
	replies, _, err := x.send(t.conn, commands, x.deadline())
	if err != nil {
		t.conn.Close()
		x.backend.suspect(t.conn.Member)
		return x.abort(ReasonNoAnswer)
	}
	r := replies[lead]
	if r.Code != messenger.CodeNone || r.State != messenger.StateOpen {
		if r.Code == messenger.CodeNotPrimary {
			x.backend.lost(t.conn.Member)
		}
		return x.abort(reasonOfCode(r.Code))
	}
	t.wrote = t.wrote || x.writes
	return x.done(t.conn.Member, r)
}

// bind gives the transaction its connection and opens it there. The opening has its
// own round trip: were the statement sent with it and the opening refused, a write
// could run by itself and be committed.
func (x *exchange) bind(ctx context.Context) (messenger.Reply, bool) {
	t := x.session.tx
	x.arrived = t.arrived
	for {
		choose := x.primary
		if t.readOnly {
			choose = x.freshest
		}
		c, err := x.borrow(ctx, choose)
		if err != nil {
			return x.refuseLent(err), false
		}
		open := messenger.Command{Kind: messenger.KindBegin}
		switch {
		case t.readOnly && x.fresh():
			open = messenger.Command{Kind: messenger.KindBeginReadOnly, After: x.need}
		case c.Member != x.backend.Group.Primary():
			x.backend.Pool.Return(c)
			continue
		}
		r, err := x.open(c, open)
		if err != nil {
			if x.retry(c.Member, ReasonNoAnswer) {
				continue
			}
			return x.refuse(ReasonNoAnswer), false
		}
		if r.Code == messenger.CodeNone && r.State == messenger.StateOpen {
			t.conn = c
			return messenger.Reply{}, true
		}
		if r.Code == messenger.CodeBehind {
			x.backend.Group.RecordLag(x.session.server.Clock(), c.Member, x.need)
		}
		if !x.again(c, r) {
			return x.refuse(reasonOfCode(r.Code)), false
		}
	}
}

// open opens a transaction on a connection. Without an answer the connection is gone.
func (x *exchange) open(c *lender.Conn, open messenger.Command) (messenger.Reply, error) {
	fit, _ := c.SessionCommands(x.session.values, x.prepared, false)
	asked := x.session.server.Clock()
	replies, _, err := x.send(c, append(fit, open), time.Now().Add(beginTimeout))
	if err != nil {
		c.Close()
		x.backend.Pool.Return(c)
		x.backend.suspect(c.Member)
		return messenger.Reply{}, err
	}
	r := replies[len(fit)]
	if r.Code == messenger.CodeNone && open.Kind == messenger.KindBegin {
		x.backend.Group.AddProof(tracker.FreshnessProof{At: asked, Position: r.Position})
	}
	return r, nil
}

// commit ends the open transaction. Without an answer its outcome is unknown, unless
// it wrote nothing.
func (x *exchange) commit(ctx context.Context) messenger.Reply {
	s, t := x.session, x.session.tx
	if reply, ok := x.keyHeld(); !ok {
		return s.ended(reply)
	}
	if t.conn == nil {
		if reply, ok := x.bind(ctx); !ok {
			return s.ended(reply)
		}
	}
	asked := s.server.Clock()
	r, err := x.sendCommit(t)
	if err != nil {
		member := t.conn.Member
		t.conn.Close()
		x.backend.suspect(member)
		if !t.wrote {
			return s.ended(x.abort(ReasonNoAnswer))
		}
		return s.ended(x.unknown(member, err))
	}
	switch {
	case r.Code == messenger.CodeNone:
		if t.wrote {
			x.committed(asked, r)
		}
	case r.Code == messenger.CodeNotPrimary:
		x.backend.lost(t.conn.Member)
		return s.ended(x.abort(reasonOfCode(r.Code)))
	case r.Code.NotRun() || r.Code == messenger.CodeAborted:
		return s.ended(x.abort(reasonOfCode(r.Code)))
	}
	member, idle := t.conn.Member, r.State == messenger.StateIdle
	if idle {
		s.tx = nil
		x.backend.Pool.Return(t.conn)
	}
	return s.ended(x.done(member, r))
}

// sendCommit sends the commit, again while the member has no room for it: it is the
// last that the transaction asks for, and frees its connection. Any other statement that
// finds no room ends the transaction. Tried again as well, it keeps work at a member that
// is overloaded: on 83 instances, with crashes and late replicas, the urgent requests then
// had a p99 of 2,415 instead of 1,970 ms.
func (x *exchange) sendCommit(t *transaction) (messenger.Reply, error) {
	var pause roomPause
	for {
		replies, _, err := x.send(t.conn, []messenger.Command{x.command}, x.deadline())
		if err != nil {
			return messenger.Reply{}, err
		}
		r := replies[0]
		if r.Code != messenger.CodeBusy || r.State != messenger.StateOpen || !x.retry(t.conn.Member, reasonOfCode(r.Code)) {
			return r, nil
		}
		pause.wait()
	}
}

// ended closes the transaction whatever became of it.
func (s *session) ended(r messenger.Reply) messenger.Reply {
	s.endTransaction()
	s.state = messenger.StateIdle
	r.State = s.state
	return r
}
