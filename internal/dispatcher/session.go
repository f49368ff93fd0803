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
	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

type (
	// session is one caller's connection.
	session struct {
		server *Server
		net    net.Conn
		// accepted is when the caller connected.
		accepted   time.Time
		statements messenger.StatementReader
		database   string
		// key is the digest of the key that the caller presented, if hasKey is set.
		key      identifier.Key
		hasKey   bool
		values   lender.Values
		prepared map[string]lender.Prepared
		// lastCommits holds the last commit in each group, by the group's name: the route may move to
		// another group and back, and positions of different groups can't be compared.
		lastCommits map[string]tracker.LastCommit
		state       messenger.State
		tx          *transaction
		writeBuffer []byte
		// lastID is the ID of the caller's latest statement.
		lastID string
	}

	// transaction is a caller's open transaction. It takes a connection only with its first
	// statement, so that a caller that is idle after BEGIN holds none.
	transaction struct {
		access
		readOnly bool
		// keyRevokedAt is when the caller's key was found to be revoked; 0 while it is valid.
		keyRevokedAt tracker.Timestamp
		arrived      tracker.Timestamp
		conn         *lender.Conn
		wrote        bool
	}
)

// run serves the caller until it disconnects or the server shuts down.
func (s *session) run(ctx context.Context) {
	defer s.close()
	if !s.handshake(ctx) {
		return
	}
	for {
		q, ok := s.nextStatement()
		if !ok {
			return
		}
		s.lastID = q.ID
		reply := s.handle(ctx, q)
		s.writeBuffer = s.server.Codec.AppendReply(s.writeBuffer[:0], reply)
		_ = s.net.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if _, err := s.net.Write(s.writeBuffer); err != nil {
			s.server.logDecision("statement", "id", q.ID, "outcome", "answer-not-delivered", "code", reply.Code, "database", s.database, "cause", err)
			return
		}
	}
}

// handshake answers the caller's first message.
func (s *session) handshake(ctx context.Context) bool {
	_ = s.net.SetDeadline(time.Now().Add(startTimeout))
	start, err := s.statements.Start()
	if err != nil {
		s.server.count(CountMalformed)
		s.replyStart(s.refuse("session", "", messenger.CodeMalformed, reasonForCode(messenger.CodeMalformed), "want a start message"))
		return false
	}
	s.database, s.key, s.hasKey = start.Database, start.Key, start.HasKey
	s.awaitConfiguration(ctx)
	c := s.server.Configuration()
	if c == nil {
		// The time without a configuration so far is the estimate of how long it will last.
		retryAfter := min(max(time.Since(s.server.started), minRetryAfter), maxRetryAfter)
		s.replyStart(s.refuse("session", "", messenger.CodeBusy, ReasonNoConfiguration, retryDetail(ReasonNoConfiguration, retryAfter)))
		return false
	}
	if _, reply, ok := s.authorize("session", ""); !ok {
		s.replyStart(reply)
		return false
	}
	return s.replyStart(messenger.Reply{})
}

func (s *session) replyStart(r messenger.Reply) bool {
	_, err := s.net.Write(s.server.Codec.AppendStarted(nil, r))
	return err == nil
}

// refuse answers a request that is rejected without asking a member. It counts and logs the
// refusal.
func (s *session) refuse(part, id string, code messenger.Code, reason Reason, detail string, fields ...any) messenger.Reply {
	s.server.countRefused(reason)
	s.server.recordAffected(tabulator.Key{Class: tabulator.ClassUnknown, Kind: tabulator.Refused, Cause: refusedCause(reason, "")})
	s.server.logDecision(part, append([]any{"id", id, "outcome", "refused", "reason", reason, "database", s.database, "caller", s.net.RemoteAddr(), "detail", detail}, fields...)...)
	return s.reply(code, detail)
}

// refuseMalformed answers a statement that can't be parsed or isn't allowed in this state.
func (s *session) refuseMalformed(q messenger.Statement, detail string) messenger.Reply {
	return s.refuse("statement", q.ID, messenger.CodeMalformed, reasonForCode(messenger.CodeMalformed), detail)
}

// retryDetail returns the text of a refusal: nothing has run, and when to retry.
func retryDetail(reason Reason, retryAfter time.Duration) string {
	return fmt.Sprintf("%s, not run, retry in %d ms", reason, retryAfter.Milliseconds())
}

// nextStatement reads the next statement. It is false when the session ends: the caller
// disconnected, or the server is shutting down and no transaction is open.
func (s *session) nextStatement() (messenger.Statement, bool) {
	for {
		if s.server.closesIdle() && s.state == messenger.StateIdle && !s.statements.Buffered() {
			return messenger.Statement{}, false
		}
		_ = s.net.SetReadDeadline(s.readDeadline())
		q, err := s.statements.Statement()
		if err == nil {
			return q, true
		}
		if !lender.IsTimeout(err) {
			s.logDisconnect(err)
			return messenger.Statement{}, false
		}
		if s.server.closesAll() && !s.statements.Buffered() {
			return messenger.Statement{}, false
		}
		s.expireIdleTransaction()
	}
}

// logDisconnect logs how a caller disconnected, except for a regular close outside a
// transaction.
func (s *session) logDisconnect(err error) {
	broken := !errors.Is(err, io.EOF)
	if !broken && s.state == messenger.StateIdle {
		return
	}
	outcome := "caller-left-in-transaction"
	if broken {
		outcome = "caller-cut"
		s.server.count(CountDisconnected)
	}
	member := ""
	if s.tx != nil && s.tx.conn != nil {
		member = s.tx.conn.Member
	}
	s.server.logDecision("session", "id", s.lastID, "outcome", outcome, "database", s.database, "caller", s.net.RemoteAddr(),
		"in-transaction", s.state != messenger.StateIdle, "member", member, "cause", err)
}

// readDeadline bounds the wait for the caller inside a transaction, which holds a
// connection. Server.CloseSessions moves it at shutdown.
func (s *session) readDeadline() time.Time {
	if s.server.closesIdle() {
		return time.Now().Add(shutdownPollInterval)
	}
	if s.tx != nil && s.tx.conn != nil {
		return time.Now().Add(s.server.transactionIdleTimeout())
	}
	return time.Time{}
}

// expireIdleTransaction rolls back a transaction that was idle for too long. The caller is
// informed by the reply to its next statement: the caller would mistake an unrequested message
// for a reply.
func (s *session) expireIdleTransaction() {
	if s.tx == nil || s.tx.conn == nil || s.server.closesIdle() && !s.server.closesAll() {
		return
	}
	s.server.countRefused(ReasonIdleInTransaction)
	s.server.recordAffected(tabulator.Key{Customer: s.tx.customer, Class: s.tx.route.Priority, Kind: tabulator.Refused, Cause: refusedCause(ReasonIdleInTransaction, "")})
	s.server.logDecision("transaction", "outcome", "aborted", "reason", ReasonIdleInTransaction, "database", s.database, "member", s.tx.conn.Member)
	s.failTransaction()
}

func (s *session) close() {
	s.endTransaction()
	_ = s.net.Close()
}

// endTransaction rolls the transaction back in the background.
func (s *session) endTransaction() {
	t := s.tx
	if t == nil {
		return
	}
	s.clearTransaction()
	if t.conn == nil {
		return
	}
	s.server.rollBack(t.backend, t.conn)
}

// clearTransaction forgets the open transaction.
func (s *session) clearTransaction() {
	s.tx.backend.transactions.Add(-1)
	s.tx = nil
}

// failTransaction ends the transaction at the member; the caller can only roll it back.
func (s *session) failTransaction() {
	s.endTransaction()
	s.state = messenger.StateFailed
}

// handle answers one statement.
func (s *session) handle(ctx context.Context, q messenger.Statement) messenger.Reply {
	s.server.count(CountStatements)
	if q.Kind == messenger.KindUnknown {
		return s.refuseMalformed(q, "statement not understood")
	}
	if s.state == messenger.StateFailed {
		return s.handleInFailedTransaction(q)
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
			return s.refuseMalformed(q, "no transaction is open")
		}
		return s.commit(ctx, q)
	default:
		return s.execute(ctx, q)
	}
}

// handleInFailedTransaction answers a statement in a failed transaction, which only a
// rollback or commit ends; both roll back.
func (s *session) handleInFailedTransaction(q messenger.Statement) messenger.Reply {
	switch q.Kind {
	case messenger.KindRollback:
		s.state = messenger.StateIdle
		return s.reply(messenger.CodeNone, "")
	case messenger.KindCommit:
		s.state = messenger.StateIdle
		return s.refuse("transaction", q.ID, messenger.CodeAborted, ReasonTransactionFailed, "the transaction had failed")
	default:
		return s.refuse("statement", q.ID, messenger.CodeMalformed, ReasonTransactionFailed, "the transaction has failed; roll it back")
	}
}

func (s *session) reply(c messenger.Code, detail string) messenger.Reply {
	return messenger.Reply{Code: c, Detail: detail, State: s.state}
}

func (s *session) begin(q messenger.Statement) messenger.Reply {
	if s.tx != nil {
		return s.refuseMalformed(q, "a transaction is open")
	}
	a, reply, ok := s.authorize("statement", q.ID)
	if !ok {
		return reply
	}
	a.backend.transactions.Add(1)
	s.tx = &transaction{access: a, arrived: s.server.Clock(), readOnly: q.Kind == messenger.KindBeginReadOnly}
	s.state = messenger.StateOpen
	return s.reply(messenger.CodeNone, "")
}

// execute runs a read or a write, alone or in the open transaction.
func (s *session) execute(ctx context.Context, q messenger.Statement) messenger.Reply {
	x := &execution{session: s, statement: q, arrived: s.server.Clock(), start: time.Now()}
	x.command = messenger.Command{ID: q.ID, Kind: q.Kind, Text: q.Text}
	x.writes = q.Kind == messenger.KindWrite
	if q.Kind == messenger.KindExecute {
		p, ok := s.prepared[q.Name]
		if !ok {
			return s.refuseMalformed(q, "no prepared statement of that name")
		}
		x.prepared, x.writes = &p, p.Writes
		x.command.Text, x.command.Rest = "", q.Rest
	}
	if s.tx != nil {
		x.access = s.tx.access
		return x.runInTransaction(ctx)
	}
	a, reply, ok := s.authorize("statement", q.ID)
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
	x := &execution{session: s, statement: q, arrived: s.server.Clock(), start: time.Now()}
	x.command = messenger.Command{ID: q.ID, Kind: q.Kind, Text: q.Text}
	x.access = s.tx.access
	return x.commit(ctx)
}
