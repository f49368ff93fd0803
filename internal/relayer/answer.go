package relayer

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// SQLSTATE codes with which a target rejects a request before executing it.
const (
	codeFenced   = "OG001"
	codeReadOnly = "25006"
)

var (
	errFenced                = errors.New("the target is fenced by a newer term")
	errReadOnly              = errors.New("the replica rejected a write")
	errFatal                 = errors.New("the target terminated the connection")
	errUnexpectedMessage     = errors.New("the target sent an unexpected message")
	errInternalQueryRejected = errors.New("the target rejected a statement issued by the proxy")
	errAnswerTooLarge        = errors.New("the results after a COMMIT exceed the buffer limit")
	errTermSuperseded        = errors.New("a newer term began during the read")
	errReplicaBehind         = errors.New("the replica has not replayed the required position")
	errStaleConnection       = errors.New("the idle connection was closed or has unread data")
	errNoQuorum              = errors.New("no quorum confirmed the primary's term")
)

// handleMessage processes one message from the target; done ends the exchange.
func (x *exchange) handleMessage(ctx context.Context, m pgproto3.BackendMessage) (e result, done bool) {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		x.handleParameterStatus(m)
		return 0, false
	case *pgproto3.NotificationResponse:
		return 0, false
	case *pgproto3.NoticeResponse:
		if !x.awaitingInitialSync && !x.awaitingReplayCheck && !x.behind {
			x.session.emit(m)
		}
		return 0, false
	case *pgproto3.ErrorResponse:
		return x.handleError(m)
	case *pgproto3.ReadyForQuery:
		if x.awaitingInitialSync {
			x.awaitingInitialSync = false
			return 0, false
		}
		if x.awaitingReplayCheck {
			x.awaitingReplayCheck = false
			return 0, false
		}
		return x.handleReady(ctx, m)
	}
	if x.awaitingInitialSync {
		return x.connectionLost(errUnexpectedMessage), true
	}
	if x.awaitingReplayCheck {
		if row, ok := m.(*pgproto3.DataRow); ok {
			x.behind = len(row.Values) != 1 || string(row.Values[0]) != "t"
		}
		return 0, false
	}
	if x.behind {
		return 0, false
	}
	return x.forward(ctx, m)
}

// forward sends a message to the client in the expected order.
func (x *exchange) forward(ctx context.Context, m pgproto3.BackendMessage) (e result, done bool) {
	s := x.session
	x.emitSkippedAnswers()
	if !x.isExpected(m) {
		return x.connectionLost(errUnexpectedMessage), true
	}
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		x.unconfirmedParses = x.unconfirmedParses[min(1, len(x.unconfirmedParses)):]
		if x.popExpected() == answerInternalParse {
			return 0, false
		}
		x.unconfirmedNames = x.unconfirmedNames[min(1, len(x.unconfirmedNames)):]
	case *pgproto3.CloseComplete:
		if x.popExpected() == answerInternalClose {
			return 0, false
		}
	case *pgproto3.CommandComplete:
		x.handleCommandComplete(m.CommandTag)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.answered = true
		x.popExpectedUnless('Q')
	case *pgproto3.BindComplete, *pgproto3.NoData:
		x.popExpected()
	case *pgproto3.RowDescription:
		if len(x.expected) > 0 && x.expected[0] == 'D' {
			x.popExpected()
		}
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		x.refusal = refuser.New(refuser.SessionState, "COPY")
		return resultRefused, true
	}
	s.emit(m)
	x.emitSkippedAnswers()
	return x.flushIfFull(ctx)
}

// isExpected reports whether the message is valid as the next answer.
func (x *exchange) isExpected(m pgproto3.BackendMessage) bool {
	if len(x.expected) == 0 {
		return false
	}
	k := x.expected[0]
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return k == 'P' || k == answerInternalParse
	case *pgproto3.BindComplete:
		return k == 'B'
	case *pgproto3.CloseComplete:
		return k == 'C' || k == answerInternalClose
	case *pgproto3.ParameterDescription, *pgproto3.NoData:
		return k == 'D'
	case *pgproto3.RowDescription:
		return k == 'D' || k == 'Q'
	case *pgproto3.PortalSuspended:
		return k == 'E'
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return k == 'E' || k == 'Q'
	case *pgproto3.DataRow, *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return k == 'E' || k == 'Q'
	}
	return false
}

// handleCommandComplete updates the request state from a command tag.
func (x *exchange) handleCommandComplete(tag []byte) {
	x.answered = true
	x.popExpectedUnless('Q')
	x.holdAnswer = x.holdAnswer || !x.request.readOnly
	switch {
	case bytes.HasPrefix(tag, []byte("COMMIT")):
		x.state.committed = true
	case bytes.HasPrefix(tag, []byte("SET")), bytes.HasPrefix(tag, []byte("RESET")):
		x.setTagCount++
		x.tainted = x.tainted || x.setTagCount > x.request.expectedSetTags
	case leavesSessionState(tag):
		x.tainted = true
	}
}

// flushIfFull sends the buffered answer once it reaches its size limit, unless a commit in it
// is unconfirmed.
func (x *exchange) flushIfFull(ctx context.Context) (e result, done bool) {
	s := x.session
	limit := flushSize
	if x.holdAnswer {
		limit = maxHeldBytes
	}
	if len(s.out) < limit {
		return 0, false
	}
	if x.holdAnswer && x.state.committed {
		x.err, x.refusal = errAnswerTooLarge, refuser.New(refuser.AnswerTooLarge, "more than %d bytes", maxHeldBytes)
		return resultRefused, true
	}
	if x.needsTermCheck {
		if err := x.awaitTermCheck(ctx); err != nil {
			return x.connectionLost(err), true
		}
		x.needsTermCheck = false
	}
	// Without a commit, only the held ReadyForQuery acknowledges the statement.
	if s.flush() != nil {
		return x.connectionLost(errors.New("the client disconnected")), true
	}
	return 0, false
}

// emitSkippedAnswers emits the answers to steps that were not sent to the target.
func (x *exchange) emitSkippedAnswers() {
	for len(x.expected) > 0 {
		switch x.expected[0] {
		case answerSkippedParse:
			x.session.emit(&pgproto3.ParseComplete{})
			x.unconfirmedNames = x.unconfirmedNames[min(1, len(x.unconfirmedNames)):]
		case answerSkippedClose:
			x.session.emit(&pgproto3.CloseComplete{})
		default:
			return
		}
		x.expected = x.expected[1:]
	}
}

func (x *exchange) popExpected() byte {
	if len(x.expected) == 0 {
		return 0
	}
	k := x.expected[0]
	x.expected = x.expected[1:]
	return k
}

func (x *exchange) popExpectedUnless(k byte) {
	if len(x.expected) > 0 && x.expected[0] != k {
		x.popExpected()
	}
}

func (x *exchange) handleParameterStatus(m *pgproto3.ParameterStatus) {
	switch m.Name {
	case "oriole.position":
		x.conn.UpdatePosition(m.Value)
	case "oriole.commit":
		if p, err := orderer.Parse(m.Value); err == nil {
			x.commitPosition = p
		}
	default:
		// Drivers rely on reported values such as TimeZone. Other reports concern the shared
		// connection, not the client's session.
		if len(x.request.settingStatements) > 0 && !x.awaitingInitialSync && !x.applyingSettings {
			x.session.emit(m)
		}
	}
}

// handleError processes an ErrorResponse from the target.
func (x *exchange) handleError(m *pgproto3.ErrorResponse) (e result, done bool) {
	if x.awaitingInitialSync {
		return x.connectionLost(errors.Wrap(errUnexpectedMessage, m.Code+" "+m.Message)), true
	}
	if x.awaitingReplayCheck { // the replay position is unknown: assume it is behind
		x.behind = true
		return 0, false
	}
	if x.behind {
		return 0, false
	}
	switch {
	case m.Code == codeFenced:
		x.state.rejected = true
		return x.connectionLost(errFenced), true
	case m.Code == codeReadOnly && x.state.replica && !x.state.inTransaction:
		x.writeOnReplica = true
		return x.connectionLost(errReadOnly), true
	case strings.EqualFold(m.Severity, "FATAL"), strings.EqualFold(m.Severity, "PANIC"):
		return x.connectionLost(errors.Wrap(errFatal, m.Code+" "+m.Message)), true
	}
	x.emitSkippedAnswers()
	// The target skips all steps up to the Sync, so their statements remain undefined.
	for _, n := range x.unconfirmedParses {
		delete(x.conn.Statements, n)
	}
	for _, n := range x.unconfirmedNames {
		delete(x.session.statements, n)
	}
	x.unconfirmedParses, x.unconfirmedNames, x.expected = nil, nil, nil
	x.failed = true
	x.session.emit(m)
	return 0, false
}

// handleReady ends the exchange. A commit is confirmed by a majority before it is acknowledged.
func (x *exchange) handleReady(ctx context.Context, m *pgproto3.ReadyForQuery) (e result, done bool) {
	if x.behind {
		return resultBehind, true
	}
	x.emitSkippedAnswers()
	if len(x.expected) > 1 || (len(x.expected) == 1 && x.expected[0] == 'Q' && !x.answered) {
		return x.connectionLost(errUnexpectedMessage), true
	}
	x.status = m.TxStatus
	s := x.session
	switch {
	case !x.commitPosition.IsZero():
		if !x.confirmCommit(ctx) {
			x.refusal = refuser.New(refuser.NotConfirmed, "position %v", x.commitPosition)
			return resultRefused, true
		}
		s.Floor, s.floorKnown, s.outcomeUnknown = orderer.Max(s.Floor, x.commitPosition), true, false
		s.emit(&pgproto3.ParameterStatus{Name: ParameterToken, Value: s.Sealer.Seal(s.Service, s.Floor)})
	case x.needsTermCheck:
		if err := x.awaitTermCheck(ctx); err != nil {
			return x.connectionLost(err), true
		}
	}
	if x.state.replica {
		s.seenPosition = orderer.Max(s.seenPosition, x.conn.Position)
	}
	s.emit(&pgproto3.ReadyForQuery{TxStatus: x.status})
	return resultComplete, true
}

// awaitTermCheck waits until a majority, queried no earlier than termCheckFrom, has reported no
// newer term. Otherwise a replaced primary could return stale data as current. The query was
// sent together with the request.
func (x *exchange) awaitTermCheck(ctx context.Context) error {
	s := x.session
	limit := time.Now().Add(quorumTimeout)
	for {
		t := s.Table()
		g := t.Group(s.Service)
		if g == nil {
			return errNoQuorum
		}
		if g.Term > x.conn.Endpoint.Term {
			return errTermSuperseded
		}
		if w, ok := g.WatermarkSince(x.termCheckFrom); ok && w.Position.Term <= x.conn.Endpoint.Term {
			return nil
		}
		left := time.Until(limit)
		if left <= 0 || ctx.Err() != nil {
			return errNoQuorum
		}
		s.awaitTableChange(ctx, t, left)
	}
}

// confirmCommit asks the primary whether a majority of the group has the commit. A positive
// answer is final (docs/TARGET.md).
func (x *exchange) confirmCommit(ctx context.Context) bool {
	q := fmt.Sprintf("SELECT oriole_await(%d, %d, %d)", x.commitPosition.Term, x.commitPosition.Offset, confirmTimeout.Milliseconds())
	confirmed := false
	err := x.runInternalQuery(ctx, q, func(m pgproto3.BackendMessage) {
		if row, ok := m.(*pgproto3.DataRow); ok {
			confirmed = len(row.Values) == 1 && string(row.Values[0]) == "t"
		}
	})
	return err == nil && confirmed
}
