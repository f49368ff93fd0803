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

// Codes with which a target says that it ran nothing of a request.
const (
	codeFenced   = "OG001"
	codeReadOnly = "25006"
)

var (
	errFenced    = errors.New("the target obeys a newer term")
	errReadOnly  = errors.New("a replica refused a write")
	errFatal     = errors.New("the target ended the connection")
	errCrossed   = errors.New("the target sent an answer that belongs to no request")
	errRefused   = errors.New("the target refused a statement of the instance's own")
	errTooLarge  = errors.New("the answer behind a COMMIT is too large to hold")
	errOutdated  = errors.New("a newer term began while a read was answered")
	errBehind    = errors.New("the replica does not hold what the answer must show")
	errNotQuiet  = errors.New("the idle connection has ended, or brought an answer that nobody asked for")
	errNoWitness = errors.New("no majority confirmed that the answer is the newest")
)

// take handles one message of the target; done ends the exchange.
func (x *exchange) take(ctx context.Context, m pgproto3.BackendMessage) (e end, done bool) {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		x.parameter(m)
		return 0, false
	case *pgproto3.NotificationResponse:
		return 0, false
	case *pgproto3.NoticeResponse:
		if !x.opening && !x.awaiting && !x.behind {
			x.session.emit(m)
		}
		return 0, false
	case *pgproto3.ErrorResponse:
		return x.fail(m)
	case *pgproto3.ReadyForQuery:
		if x.opening {
			x.opening = false
			return 0, false
		}
		if x.awaiting {
			x.awaiting = false
			return 0, false
		}
		return x.ready(ctx, m)
	}
	if x.opening {
		return x.lost(errCrossed), true
	}
	if x.awaiting {
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

// forward passes a message on to the caller, in its place among the answers.
func (x *exchange) forward(ctx context.Context, m pgproto3.BackendMessage) (e end, done bool) {
	s := x.session
	x.skipKnown()
	if !x.fits(m) {
		return x.lost(errCrossed), true
	}
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		x.preparing = x.preparing[min(1, len(x.preparing)):]
		if x.pop() == answerHiddenParse {
			return 0, false
		}
		x.defining = x.defining[min(1, len(x.defining)):]
	case *pgproto3.CloseComplete:
		if x.pop() == answerHiddenClose {
			return 0, false
		}
	case *pgproto3.CommandComplete:
		x.completed(m.CommandTag)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.answered = true
		x.popUnless('Q')
	case *pgproto3.BindComplete, *pgproto3.NoData:
		x.pop()
	case *pgproto3.RowDescription:
		if len(x.expected) > 0 && x.expected[0] == 'D' {
			x.pop()
		}
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		x.refusal = refuser.New(refuser.SessionState, "COPY")
		return endRefused, true
	}
	s.emit(m)
	x.skipKnown()
	return x.relieve(ctx)
}

// fits reports whether a message may come now.
func (x *exchange) fits(m pgproto3.BackendMessage) bool {
	if len(x.expected) == 0 {
		return false
	}
	k := x.expected[0]
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return k == 'P' || k == answerHiddenParse
	case *pgproto3.BindComplete:
		return k == 'B'
	case *pgproto3.CloseComplete:
		return k == 'C' || k == answerHiddenClose
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

// completed notes what the tag of a finished statement tells.
func (x *exchange) completed(tag []byte) {
	x.answered = true
	x.popUnless('Q')
	x.held = x.held || !x.request.read
	switch {
	case bytes.HasPrefix(tag, []byte("COMMIT")):
		x.facts.committed = true
	case bytes.HasPrefix(tag, []byte("SET")), bytes.HasPrefix(tag, []byte("RESET")):
		x.setTags++
		x.tainted = x.tainted || x.setTags > x.request.expectedSets
	case leavesState(tag):
		x.tainted = true
	}
}

// relieve sends on what has gathered, unless it is held back for a commit.
func (x *exchange) relieve(ctx context.Context) (e end, done bool) {
	s := x.session
	limit := flushSize
	if x.held {
		limit = maxHeld
	}
	if len(s.out) < limit {
		return 0, false
	}
	if x.held && x.facts.committed {
		x.err, x.refusal = errTooLarge, refuser.New(refuser.AnswerTooLarge, "more than %d bytes", maxHeld)
		return endRefused, true
	}
	if x.strict {
		if err := x.witness(ctx); err != nil {
			return x.lost(err), true
		}
		x.strict = false
	}
	// The end of a statement that has not committed yet acknowledges nothing:
	// the ReadyForQuery does, and that is still held.
	if s.flush() != nil {
		return x.lost(errors.New("the caller has left")), true
	}
	return 0, false
}

// skipKnown answers in the caller's name what was not sent to the target.
func (x *exchange) skipKnown() {
	for len(x.expected) > 0 {
		switch x.expected[0] {
		case answerKnownParse:
			x.session.emit(&pgproto3.ParseComplete{})
			x.defining = x.defining[min(1, len(x.defining)):]
		case answerKnownClose:
			x.session.emit(&pgproto3.CloseComplete{})
		default:
			return
		}
		x.expected = x.expected[1:]
	}
}

func (x *exchange) pop() byte {
	if len(x.expected) == 0 {
		return 0
	}
	k := x.expected[0]
	x.expected = x.expected[1:]
	return k
}

func (x *exchange) popUnless(k byte) {
	if len(x.expected) > 0 && x.expected[0] != k {
		x.pop()
	}
}

func (x *exchange) parameter(m *pgproto3.ParameterStatus) {
	switch m.Name {
	case "oriole.position":
		x.conn.UpdatePosition(m.Value)
	case "oriole.commit":
		if p, err := orderer.Parse(m.Value); err == nil {
			x.commit = p
		}
	default:
		// A driver reads dates by the TimeZone that it was told of. Other
		// reports are about the connection, not about the caller's session.
		if len(x.request.sets) > 0 && !x.opening && !x.settingUp {
			x.session.emit(m)
		}
	}
}

// fail handles an error of the target.
func (x *exchange) fail(m *pgproto3.ErrorResponse) (e end, done bool) {
	if x.opening {
		return x.lost(errors.Wrap(errCrossed, m.Code+" "+m.Message)), true
	}
	if x.awaiting { // the target can't tell: it may be behind
		x.behind = true
		return 0, false
	}
	if x.behind {
		return 0, false
	}
	switch {
	case m.Code == codeFenced:
		x.facts.refused = true
		return x.lost(errFenced), true
	case m.Code == codeReadOnly && x.facts.replica && !x.facts.inTransaction:
		x.writeMet = true
		return x.lost(errReadOnly), true
	case strings.EqualFold(m.Severity, "FATAL"), strings.EqualFold(m.Severity, "PANIC"):
		return x.lost(errors.Wrap(errFatal, m.Code+" "+m.Message)), true
	}
	x.skipKnown()
	// The steps up to the Sync are not run; what they would have prepared is
	// known to neither side.
	for _, n := range x.preparing {
		delete(x.conn.Statements, n)
	}
	for _, n := range x.defining {
		delete(x.session.statements, n)
	}
	x.preparing, x.defining, x.expected = nil, nil, nil
	x.failed = true
	x.session.emit(m)
	return 0, false
}

// ready ends the exchange. A commit is confirmed before the caller hears of it.
func (x *exchange) ready(ctx context.Context, m *pgproto3.ReadyForQuery) (e end, done bool) {
	if x.behind {
		return endBehind, true
	}
	x.skipKnown()
	if len(x.expected) > 1 || (len(x.expected) == 1 && x.expected[0] == 'Q' && !x.answered) {
		return x.lost(errCrossed), true
	}
	x.status = m.TxStatus
	s := x.session
	switch {
	case !x.commit.IsZero():
		if !x.confirm(ctx) {
			x.refusal = refuser.New(refuser.NotConfirmed, "position %v", x.commit)
			return endRefused, true
		}
		s.Floor, s.floorKnown, s.uncertain = orderer.Max(s.Floor, x.commit), true, false
		s.emit(&pgproto3.ParameterStatus{Name: ParameterToken, Value: s.Sealer.Seal(s.Service, s.Floor)})
	case x.strict:
		if err := x.witness(ctx); err != nil {
			return x.lost(err), true
		}
	}
	if x.facts.replica {
		s.seen = orderer.Max(s.seen, x.conn.Position)
	}
	s.emit(&pgproto3.ReadyForQuery{TxStatus: x.status})
	return endAnswered, true
}

// witness waits until a majority, asked late enough, has named no
// newer term. Without it a primary that was replaced, and does not know yet,
// would show old data as the newest. The question was sent together with the
// request, so this rarely waits for more than its own round trip.
func (x *exchange) witness(ctx context.Context) error {
	s := x.session
	limit := time.Now().Add(floorWait)
	for {
		t := s.Table()
		g := t.Group(s.Service)
		if g == nil {
			return errNoWitness
		}
		if g.Term > x.conn.Endpoint.Term {
			return errOutdated
		}
		if w, ok := g.WatermarkSince(x.witnessed); ok && w.Position.Term <= x.conn.Endpoint.Term {
			return nil
		}
		left := time.Until(limit)
		if left <= 0 || ctx.Err() != nil {
			return errNoWitness
		}
		s.wait(ctx, t, left)
	}
}

// confirm asks the primary whether a majority of the group holds the commit. The
// answer yes can't become wrong: see runAwait of the stand-in and docs/TARGET.md.
func (x *exchange) confirm(ctx context.Context) bool {
	q := fmt.Sprintf("SELECT oriole_await(%d, %d, %d)", x.commit.Term, x.commit.Offset, confirmTimeout.Milliseconds())
	held := false
	err := x.hidden(ctx, q, func(m pgproto3.BackendMessage) {
		if row, ok := m.(*pgproto3.DataRow); ok {
			held = len(row.Values) == 1 && string(row.Values[0]) == "t"
		}
	})
	return err == nil && held
}
