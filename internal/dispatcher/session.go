package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

type (
	// session is one caller's connection.
	session struct {
		server     *Server
		net        net.Conn
		statements messenger.Statements
		database   string
		// key is the digest of what the caller presented, where it did.
		key      identifier.Key
		hasKey   bool
		values   lender.Values
		prepared map[string]lender.Prepared
		floor    tracker.LastCommit
		state    messenger.State
		tx       *transaction
		buffer   []byte
		// last is the ID of the caller's last statement.
		last string
	}

	// transaction is what is open on behalf of the caller. It takes a connection
	// with its first statement, so that a caller who pauses after opening it holds
	// none.
	transaction struct {
		access
		readOnly bool
		// keyLost is when the caller's key turned out not to be the customer's any more; 0
		// while it is.
		keyLost tracker.Timestamp
		arrived tracker.Timestamp
		conn    *lender.Conn
		wrote   bool
	}
)

// run serves the caller until it leaves or the server does.
func (s *session) run(ctx context.Context) {
	defer s.leave()
	if !s.open() {
		return
	}
	for {
		q, ok := s.next()
		if !ok {
			return
		}
		s.last = q.ID
		reply := s.handle(ctx, q)
		s.buffer = s.server.Codec.AppendReply(s.buffer[:0], reply)
		_ = s.net.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if _, err := s.net.Write(s.buffer); err != nil {
			s.server.decide("statement", "id", q.ID, "outcome", "answer-not-delivered", "code", reply.Code, "database", s.database, "cause", err)
			return
		}
	}
}

// open answers the caller's first message.
func (s *session) open() bool {
	_ = s.net.SetDeadline(time.Now().Add(startTimeout))
	start, err := s.statements.Start()
	if err != nil {
		s.server.count(CountMalformed)
		s.answerStart(s.refuse("session", "", messenger.CodeMalformed, reasonOfCode(messenger.CodeMalformed), "want a start message"))
		return false
	}
	s.database, s.key, s.hasKey = start.Database, start.Key, start.HasKey
	c := s.server.Configuration()
	if c == nil {
		// Nothing was known for as long as the instance runs, so it may take as long again.
		again := min(max(time.Since(s.server.started), shortestComeBack), longestComeBack)
		s.answerStart(s.refuse("session", "", messenger.CodeBusy, ReasonNoConfiguration, retryText(ReasonNoConfiguration, again)))
		return false
	}
	if _, reply, ok := s.access("session", ""); !ok {
		s.answerStart(reply)
		return false
	}
	return s.answerStart(messenger.Reply{})
}

func (s *session) answerStart(r messenger.Reply) bool {
	_, err := s.net.Write(s.server.Codec.AppendStarted(nil, r))
	return err == nil
}

// refuse answers what is rejected here and reaches no member: it counts the reason and
// writes a line, so that each refusal a caller has seen can be found.
func (s *session) refuse(part, id string, code messenger.Code, reason Reason, detail string, fields ...any) messenger.Reply {
	s.server.refused(reason)
	s.server.decide(part, append([]any{"id", id, "outcome", "refused", "reason", reason, "database", s.database, "caller", s.net.RemoteAddr(), "detail", detail}, fields...)...)
	return s.reply(code, detail)
}

// malformed answers a statement that is not understood, or not in this state.
func (s *session) malformed(q messenger.Statement, detail string) messenger.Reply {
	return s.refuse("statement", q.ID, messenger.CodeMalformed, reasonOfCode(messenger.CodeMalformed), detail)
}

// retryText tells a caller that nothing has run, and when to come back.
func retryText(reason Reason, again time.Duration) string {
	return fmt.Sprintf("%s, not run, retry in %d ms", reason, again.Milliseconds())
}

// next reads the next statement. It is false when the session ends: the caller
// left, or the server is leaving and no transaction is open.
func (s *session) next() (messenger.Statement, bool) {
	for {
		if s.server.mayEnd() && s.state == messenger.StateIdle && !s.statements.Buffered() {
			return messenger.Statement{}, false
		}
		_ = s.net.SetReadDeadline(s.readDeadline())
		q, err := s.statements.Statement()
		if err == nil {
			return q, true
		}
		if !lender.IsTimeout(err) {
			s.noteEnd(err)
			return messenger.Statement{}, false
		}
		if s.server.mustEnd() && !s.statements.Buffered() {
			return messenger.Statement{}, false
		}
		s.expire()
	}
}

// noteEnd tells how a caller left, unless it closed between transactions. A connection that
// broke may have been cut on the way: which requests that hit, and in which state, must be
// found afterwards.
func (s *session) noteEnd(err error) {
	cut := !errors.Is(err, io.EOF)
	if !cut && s.state == messenger.StateIdle {
		return
	}
	outcome := "caller-left-in-transaction"
	if cut {
		outcome = "caller-cut"
		s.server.count(CountCut)
	}
	member := ""
	if s.tx != nil && s.tx.conn != nil {
		member = s.tx.conn.Member
	}
	s.server.decide("session", "id", s.last, "outcome", outcome, "database", s.database, "caller", s.net.RemoteAddr(),
		"in-transaction", s.state != messenger.StateIdle, "member", member, "cause", err)
}

// readDeadline bounds the wait for the caller inside a transaction, whose
// connection others wait for. Server.wake moves it when the server leaves.
func (s *session) readDeadline() time.Time {
	if s.server.mayEnd() {
		return time.Now().Add(endInterval)
	}
	if s.tx != nil && s.tx.conn != nil {
		return time.Now().Add(s.server.transactionIdle())
	}
	return time.Time{}
}

// expire rolls back a transaction that has rested for too long. The caller learns
// it with its next statement: a message between statements would be taken for the
// answer to one.
func (s *session) expire() {
	if s.tx == nil || s.tx.conn == nil || s.server.mayEnd() && !s.server.mustEnd() {
		return
	}
	s.server.refused(ReasonRestedTooLong)
	s.server.decide("transaction", "outcome", "aborted", "reason", ReasonRestedTooLong, "database", s.database, "member", s.tx.conn.Member)
	s.fail()
}

// leave frees what the session holds.
func (s *session) leave() {
	s.endTransaction()
	_ = s.net.Close()
}

// endTransaction rolls back and gives the connection back, without the caller
// waiting for it.
func (s *session) endTransaction() {
	t := s.tx
	s.tx = nil
	if t == nil || t.conn == nil {
		return
	}
	s.server.rollBack(t.backend, t.conn)
}

// fail leaves the caller in a transaction that can only be rolled back.
func (s *session) fail() {
	s.endTransaction()
	s.state = messenger.StateFailed
}

// handle answers one statement.
func (s *session) handle(ctx context.Context, q messenger.Statement) messenger.Reply {
	s.server.count(CountStatements)
	if q.Kind == messenger.KindUnknown {
		return s.malformed(q, "statement not understood")
	}
	if s.state == messenger.StateFailed {
		return s.handleFailed(q)
	}
	switch q.Kind {
	case messenger.KindSet:
		s.values[q.Name] = q.Rest
		return s.reply(messenger.CodeNone, "")
	case messenger.KindPrepareRead, messenger.KindPrepareWrite:
		s.prepared[q.Name] = lender.Prepared{Writes: q.Kind == messenger.KindPrepareWrite, Shape: q.Rest}
		return s.reply(messenger.CodeNone, "")
	case messenger.KindDeallocate:
		delete(s.prepared, q.Name)
		return s.reply(messenger.CodeNone, "")
	case messenger.KindBegin, messenger.KindBeginReadOnly:
		return s.begin(q)
	case messenger.KindRollback:
		s.endTransaction()
		s.state = messenger.StateIdle
		return s.reply(messenger.CodeNone, "")
	case messenger.KindCommit:
		if s.tx == nil {
			return s.malformed(q, "no transaction is open")
		}
		return s.commit(ctx, q)
	default:
		return s.work(ctx, q)
	}
}

// handleFailed answers inside a transaction that has failed: only its end is
// possible, and the end is a rollback.
func (s *session) handleFailed(q messenger.Statement) messenger.Reply {
	switch q.Kind {
	case messenger.KindRollback:
		s.state = messenger.StateIdle
		return s.reply(messenger.CodeNone, "")
	case messenger.KindCommit:
		s.state = messenger.StateIdle
		return s.refuse("transaction", q.ID, messenger.CodeAborted, ReasonFailedBefore, "the transaction had failed")
	default:
		return s.refuse("statement", q.ID, messenger.CodeMalformed, ReasonFailedBefore, "the transaction has failed; roll it back")
	}
}

func (s *session) reply(c messenger.Code, detail string) messenger.Reply {
	return messenger.Reply{Code: c, Detail: detail, State: s.state}
}

func (s *session) begin(q messenger.Statement) messenger.Reply {
	if s.tx != nil {
		return s.malformed(q, "a transaction is open")
	}
	a, reply, ok := s.access("statement", q.ID)
	if !ok {
		return reply
	}
	s.tx = &transaction{access: a, arrived: s.server.Clock(), readOnly: q.Kind == messenger.KindBeginReadOnly}
	s.state = messenger.StateOpen
	return s.reply(messenger.CodeNone, "")
}

// work runs a read or a write, alone or in the open transaction.
func (s *session) work(ctx context.Context, q messenger.Statement) messenger.Reply {
	x := &exchange{session: s, statement: q, arrived: s.server.Clock(), start: time.Now()}
	x.command = messenger.Command{ID: q.ID, Kind: q.Kind, Text: q.Text}
	x.writes = q.Kind == messenger.KindWrite
	if q.Kind == messenger.KindExecute {
		p, ok := s.prepared[q.Name]
		if !ok {
			return s.malformed(q, "no prepared statement of that name")
		}
		x.prepared, x.writes = &p, p.Writes
		x.command.Text, x.command.Rest = "", q.Rest
	}
	if s.tx != nil {
		x.access = s.tx.access
		return x.inTransaction(ctx)
	}
	a, reply, ok := s.access("statement", q.ID)
	if !ok {
		return reply
	}
	x.access = a
	if x.writes {
		return x.write(ctx)
	}
	return x.read(ctx)
}

func (s *session) commit(ctx context.Context, q messenger.Statement) messenger.Reply {
	x := &exchange{session: s, statement: q, arrived: s.server.Clock(), start: time.Now()}
	x.command = messenger.Command{ID: q.ID, Kind: q.Kind, Text: q.Text}
	x.access = s.tx.access
	return x.commit(ctx)
}
