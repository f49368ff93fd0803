package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	// holdPart is the part of a statement's timeout for which it may wait to be sent.
	// The rest is for the member's work.
	holdPart = 0.6
	// patiencePart is the part of a read's timeout after which it is asked of another
	// member as well. Reads take at most a third of it on a calm day.
	patiencePart = 0.35
	// busyPause is how long a member that had no room is left alone by the statement
	// that it refused: about the time until one of its slots is free.
	busyPause = 10 * time.Millisecond
	// beginTimeout bounds the opening of a transaction at a member. It takes no slot,
	// so it is answered in a round trip, at most 24 ms.
	beginTimeout = 250 * time.Millisecond
	// leftoverTimeout is how long a member's late answer is waited for before its
	// connection is given up.
	leftoverTimeout = 3 * time.Second
)

// exchange is one statement on its way to a member.
type exchange struct {
	session   *session
	statement messenger.Statement
	command   messenger.Command
	prepared  *lender.Prepared
	writes    bool
	route     tracker.Route
	backend   *Backend
	// arrived and start are the moment the statement was read, on both clocks.
	arrived tracker.Stamp
	start   time.Time
	// tried are the members that did not serve it.
	tried []string
	// need is the position that the read's log must hold, zero on the primary.
	need  orderer.Position
	tries int
	// waited is how long it waited for connections, over all tries.
	waited time.Duration
}

func (x *exchange) deadline() time.Time { return x.start.Add(x.route.Timeout) }

func (x *exchange) holdUntil() time.Time {
	return x.start.Add(time.Duration(holdPart * float64(x.route.Timeout)))
}

// primary chooses the primary, if one is known.
func (x *exchange) primary() []string {
	if id := x.backend.Group.Primary(); id != "" {
		return []string{id}
	}
	return nil
}

// readers chooses among the members that may hold what the read needs: those that
// have not failed it yet first. When none does, the primary is asked.
func (x *exchange) readers() []string {
	ids := x.backend.Group.Readers(x.session.server.Clock(), x.need)
	fresh := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(x.tried, id) })
	if len(fresh) > 0 {
		return fresh
	}
	if len(ids) > 0 {
		return ids
	}
	return x.primary()
}

func (x *exchange) borrow(ctx context.Context, choose func() []string) (*lender.Conn, error) {
	begin := time.Now()
	defer func() { x.waited += time.Since(begin) }()
	return x.backend.Pool.Borrow(ctx, lender.Request{Choose: choose, Priority: x.route.Priority, Until: x.holdUntil()})
}

// refuse answers that the statement has not run, and when to come back.
func (x *exchange) refuse(reason Reason) messenger.Reply {
	s := x.session
	s.server.refused(reason)
	s.server.decide("statement", "id", x.statement.ID, "outcome", "refused", "reason", reason,
		"group", x.route.Group, "primary", x.backend.Group.Primary(), "tries", x.tries, "waited-ms", x.waited.Milliseconds(), "ms", x.elapsed())
	if s.tx != nil {
		s.fail()
	}
	return s.reply(messenger.CodeBusy, fmt.Sprintf("%s, not run, retry in %d ms", reason, x.backend.comeBack().Milliseconds()))
}

// abort answers that the transaction was rolled back.
func (x *exchange) abort(reason Reason) messenger.Reply {
	s := x.session
	s.server.refused(reason)
	member := ""
	if s.tx != nil && s.tx.conn != nil {
		member = s.tx.conn.Member
	}
	s.server.decide("transaction", "id", x.statement.ID, "outcome", "aborted", "reason", reason, "group", x.route.Group, "member", member, "ms", x.elapsed())
	s.fail()
	return s.reply(messenger.CodeAborted, string(reason))
}

// unknown answers that the statement may have taken effect.
func (x *exchange) unknown(member string, cause error) messenger.Reply {
	s := x.session
	s.server.refused(ReasonOutcomeUnknown)
	s.server.decide("statement", "id", x.statement.ID, "outcome", "unknown", "reason", ReasonOutcomeUnknown, "group", x.route.Group, "member", member, "cause", cause, "ms", x.elapsed())
	return s.reply(messenger.CodeOutcomeUnknown, "no answer from the primary")
}

func (x *exchange) elapsed() int64 { return time.Since(x.start).Milliseconds() }

// done passes a member's answer on.
func (x *exchange) done(member string, r messenger.Reply) messenger.Reply {
	s := x.session
	s.server.served(x.route, time.Since(x.start))
	s.server.Trace("id", x.statement.ID, "group", x.route.Group, "member", member, "need", x.need, "tries", x.tries,
		"outcome", r.Code, "waited-ms", x.waited.Milliseconds(), "ms", x.elapsed())
	r.State = s.state
	return r
}

// retry notes a try that failed and reports whether there is time for another.
func (x *exchange) retry(member string, reason Reason) bool {
	x.tries++
	x.tried = append(x.tried, member)
	x.session.server.retried(reason)
	x.session.server.decide("statement", "id", x.statement.ID, "outcome", "tried", "reason", reason, "group", x.route.Group,
		"member", member, "need", x.need, "ms", x.elapsed())
	return time.Now().Before(x.holdUntil())
}

// commands are what has to be sent for the statement on a connection: the session's
// values and prepared statement first. lead is how many come before the statement.
func (x *exchange) commands(c *lender.Conn, before, after []messenger.Command) (all []messenger.Command, lead int) {
	t := x.session.tx
	fit, name := c.Fit(x.session.values, x.prepared, t != nil && t.conn == c)
	own := x.command
	if x.prepared != nil {
		own.Name = name
	}
	all = append(all, fit...)
	all = append(all, before...)
	lead = len(all)
	all = append(all, own)
	return append(all, after...), lead
}

// send exchanges commands with a member and tells the group what came of it.
func (x *exchange) send(c *lender.Conn, commands []messenger.Command, deadline time.Time) ([]messenger.Reply, bool, error) {
	g, now := x.backend.Group, time.Now()
	g.Sent(c.Member)
	replies, sent, err := c.Exchange(commands, deadline)
	stamp := x.session.server.Clock()
	if err != nil {
		g.Unanswered(stamp, c.Member, true)
		return replies, sent, err
	}
	g.Answered(stamp, c.Member, time.Since(now), replies[len(replies)-1].Position)
	return replies, sent, nil
}

// giveUp leaves a connection whose answer is late to itself: the member goes on
// working undisturbed, and the connection comes back when it is done.
func (x *exchange) giveUp(c *lender.Conn, err error) {
	if lender.IsTimeout(err) {
		x.session.server.finish(x.backend, c)
		return
	}
	x.backend.Pool.Return(c)
}

// read answers a read outside a transaction. While it waits for a connection, a proof
// may come or grow too old; so what it may do is settled when it has one.
func (x *exchange) read(ctx context.Context) messenger.Reply {
	for {
		c, err := x.borrow(ctx, x.freshest)
		if err != nil {
			return x.refuse(reasonOf(err))
		}
		var reply messenger.Reply
		again := true
		switch {
		case x.fresh():
			reply, again = x.readAfter(c)
		case c.Member == x.backend.Group.Primary():
			reply, again = x.readPrimary(c)
		default:
			x.backend.Pool.Return(c)
		}
		if !again {
			return reply
		}
	}
}

// fresh finds out which position a log must hold to answer. It is false when only the
// primary itself can tell.
func (x *exchange) fresh() bool {
	x.need = orderer.Position{}
	if x.route.Rule == tracker.RulePrimary {
		return false
	}
	need, ok := x.backend.Group.Need(x.arrived, x.route, x.session.floor)
	x.need = need
	return ok
}

// freshest chooses among the members that may answer a read now.
func (x *exchange) freshest() []string {
	if x.fresh() {
		return x.readers()
	}
	return x.primary()
}

// readPrimary reads inside a transaction of its own. A member that has lost the
// lead refuses every statement of a transaction that may write, so an answer shows
// that the member led when it ran the read: without that, an old primary that was
// cut off from its replicas would answer with what others have overwritten.
func (x *exchange) readPrimary(c *lender.Conn) (messenger.Reply, bool) {
	commands, lead := x.commands(c,
		[]messenger.Command{{Kind: messenger.KindBegin}}, []messenger.Command{{Kind: messenger.KindRollback}})
	asked := x.session.server.Clock()
	replies, _, err := x.send(c, commands, x.patience())
	if err != nil {
		return x.unanswered(c, err)
	}
	begun, r := replies[lead-1], replies[lead]
	if begun.Code == messenger.CodeNone {
		x.backend.Group.Prove(tracker.Proof{At: asked, Position: begun.Position})
	} else if r.Code == messenger.CodeNone {
		r = begun
	}
	return x.settleRead(c, r)
}

// readAfter reads at a member whose log holds what the read needs; the member itself
// checks that it does.
func (x *exchange) readAfter(c *lender.Conn) (messenger.Reply, bool) {
	commands, lead := x.commands(c, nil, nil)
	commands[lead].After = x.need
	replies, _, err := x.send(c, commands, x.patience())
	if err != nil {
		return x.unanswered(c, err)
	}
	return x.settleRead(c, replies[lead])
}

// unanswered deals with a read that got no answer in the time of this try.
func (x *exchange) unanswered(c *lender.Conn, err error) (messenger.Reply, bool) {
	member := c.Member
	x.giveUp(c, err)
	x.backend.suspect(member)
	return x.lateRead(x.retry(member, ReasonNoAnswer))
}

// patience is how long this try of a read waits for its answer.
func (x *exchange) patience() time.Time {
	if x.tries > 1 {
		return x.deadline()
	}
	p := time.Now().Add(time.Duration(patiencePart * float64(x.route.Timeout)))
	if p.After(x.deadline()) {
		return x.deadline()
	}
	return p
}

// lateRead answers a read that got no answer, unless there is time to try again.
// Nothing of a read is kept, so the caller may be told to come back.
func (x *exchange) lateRead(again bool) (messenger.Reply, bool) {
	if again {
		return messenger.Reply{}, true
	}
	return x.refuse(ReasonNoAnswer), false
}

// settleRead takes a member's answer to a read: passes it on, or reports that
// another member has to be asked.
func (x *exchange) settleRead(c *lender.Conn, r messenger.Reply) (messenger.Reply, bool) {
	member := c.Member
	stamp := x.session.server.Clock()
	switch r.Code {
	case messenger.CodeNone:
		x.backend.Pool.Return(c)
		return x.done(member, r), false
	case messenger.CodeBehind:
		x.backend.Group.Behind(stamp, member, x.need)
	case messenger.CodeNotPrimary:
		x.backend.lost(member)
	case messenger.CodeUnknownStatement:
		c.Forget()
	case messenger.CodeBusy:
		x.backend.Pool.Return(c)
		time.Sleep(busyPause)
		return x.lateRead(x.retry(member, reasonOfCode(r.Code)))
	}
	x.backend.Pool.Return(c)
	if x.retry(member, reasonOfCode(r.Code)) {
		return messenger.Reply{}, true
	}
	if r.Code == messenger.CodeFailed || r.Code == messenger.CodeTimeout {
		return x.done(member, r), false
	}
	return x.refuse(reasonOfCode(r.Code)), false
}

// write runs a write outside a transaction. Once it was sent it is never sent
// again, unless the member says that it has not run it.
func (x *exchange) write(ctx context.Context) messenger.Reply {
	for {
		c, err := x.borrow(ctx, x.primary)
		if err != nil {
			return x.refuse(reasonOf(err))
		}
		commands, lead := x.commands(c, nil, nil)
		asked := x.session.server.Clock()
		replies, sent, err := x.send(c, commands, x.deadline())
		if err != nil {
			member := c.Member
			if lender.IsTimeout(err) {
				c.Close()
			}
			x.backend.Pool.Return(c)
			x.backend.suspect(member)
			if sent {
				return x.unknown(member, err)
			}
			if !x.retry(member, ReasonNotSent) {
				return x.refuse(ReasonNoAnswer)
			}
			continue
		}
		r := replies[lead]
		if r.Code.NotRun() {
			if x.again(c, r) {
				continue
			}
			return x.refuse(reasonOfCode(r.Code))
		}
		x.backend.Pool.Return(c)
		if r.Code == messenger.CodeNone {
			x.committed(asked, r)
		}
		return x.done(c.Member, r)
	}
}

// committed takes in that a commit was acknowledged.
func (x *exchange) committed(asked tracker.Stamp, r messenger.Reply) {
	x.session.floor = tracker.Floor{Position: r.Position, At: x.session.server.Clock()}
	x.backend.Group.Prove(tracker.Proof{At: asked, Position: r.Position})
}

// again returns the connection of a statement that the primary has not run, and
// reports whether there is time to try once more.
func (x *exchange) again(c *lender.Conn, r messenger.Reply) bool {
	member := c.Member
	switch r.Code {
	case messenger.CodeNotPrimary:
		x.backend.lost(member)
	case messenger.CodeUnknownStatement:
		c.Forget()
	}
	x.backend.Pool.Return(c)
	if r.Code == messenger.CodeBusy {
		time.Sleep(busyPause)
	}
	return x.retry(member, reasonOfCode(r.Code))
}

// inTransaction runs a statement of the open transaction.
func (x *exchange) inTransaction(ctx context.Context) messenger.Reply {
	t := x.session.tx
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
			return x.refuse(reasonOf(err)), false
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
			x.backend.Group.Behind(x.session.server.Clock(), c.Member, x.need)
		}
		if !x.again(c, r) {
			return x.refuse(reasonOfCode(r.Code)), false
		}
	}
}

// open opens a transaction on a connection. Without an answer the connection is gone.
func (x *exchange) open(c *lender.Conn, open messenger.Command) (messenger.Reply, error) {
	fit, _ := c.Fit(x.session.values, x.prepared, false)
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
		x.backend.Group.Prove(tracker.Proof{At: asked, Position: r.Position})
	}
	return r, nil
}

// commit ends the open transaction. Without an answer its outcome is unknown, unless
// it wrote nothing.
func (x *exchange) commit(ctx context.Context) messenger.Reply {
	s, t := x.session, x.session.tx
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

// sendCommit sends the commit, again while the member has no room for it.
func (x *exchange) sendCommit(t *transaction) (messenger.Reply, error) {
	for {
		replies, _, err := x.send(t.conn, []messenger.Command{x.command}, x.deadline())
		if err != nil {
			return messenger.Reply{}, err
		}
		r := replies[0]
		if r.Code != messenger.CodeBusy || r.State != messenger.StateOpen || !x.retry(t.conn.Member, reasonOfCode(r.Code)) {
			return r, nil
		}
		time.Sleep(busyPause)
	}
}

// ended closes the transaction whatever became of it.
func (s *session) ended(r messenger.Reply) messenger.Reply {
	s.endTransaction()
	s.state = messenger.StateIdle
	r.State = s.state
	return r
}
