package relayer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	codeFenced   = "OG001"
	codeReadOnly = "25006"
	// confirmTimeout is how long the answer to a write waits for a majority.
	confirmTimeout = 3 * time.Second
	// redoPause spaces the tries of a request that was not run.
	redoPause = 20 * time.Millisecond
)

// verdict is how one try of a request ended.
type verdict int

const (
	// answered: the answer is complete, in out or sent.
	answered verdict = iota
	// notRun: the target ran nothing of the request.
	notRun
	// lost: the connection broke after the request may have reached the target.
	lost
)

// attempt tries a request until it is answered, or must be refused.
func (s *Session) attempt(ctx context.Context, r *request) *refuser.Refusal {
	if s.pinned != nil {
		return s.continueTransaction(ctx, r)
	}
	var avoid []int
	read := r.read
	started := time.Now()
	for {
		t := s.Table()
		if t == nil || t.Groups[s.Service] == nil {
			return refuser.New(refuser.NoService, "service %q", s.Service)
		}
		g := t.Groups[s.Service]
		left := hold(g) - time.Since(started)
		if left <= 0 {
			return refuser.New(refuser.NoPrimary, "service %q: waited %v", s.Service, hold(g))
		}
		kind := r.kind
		age, _ := g.Service.MaxAge(kind)
		choice := g.Choose(time.Now(), router.Request{Read: read, Floor: s.Floor, MaxAge: age, Zone: s.Zone, Avoid: avoid})
		if choice.Member < 0 {
			avoid = nil
			s.wait(ctx, t, left)
			if ctx.Err() != nil {
				return refuser.New(refuser.NoPrimary, "the instance is stopping")
			}
			continue
		}
		c, err := s.borrow(ctx, g, choice, left)
		if errors.Is(err, pooler.ErrBusy) {
			return refuser.New(refuser.NoConnection, "service %q", s.Service)
		}
		if err != nil {
			s.Count("retry.connect")
			avoid = append(avoid, choice.Member)
			s.wait(ctx, t, redoPause)
			continue
		}
		v, refused := s.exchange(ctx, c, r)
		switch {
		case v == answered:
			return refused
		case v == notRun:
			s.Count("retry.not-run")
			if refused != nil { // a replica met a write
				read = false
				continue
			}
			avoid = append(avoid, choice.Member)
			s.wait(ctx, t, redoPause)
		case choice.Replica && !s.sent:
			s.Count("retry.read")
			avoid = append(avoid, choice.Member)
		case r.read:
			return refuser.New(refuser.ReadLost, "service %q", s.Service)
		default:
			return refuser.New(refuser.ConnectionLost, "service %q", s.Service)
		}
	}
}

func (s *Session) wait(ctx context.Context, t *router.Table, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.Replaced:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Session) borrow(ctx context.Context, g *router.Group, c router.Choice, left time.Duration) (*pooler.Conn, error) {
	place := pooler.Place{Address: g.Service.Members[c.Member].Address}
	if !c.Replica {
		place.Term = g.Members[c.Member].Status.Term
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return s.Pool.Borrow(ctx, place)
}

func (s *Session) continueTransaction(ctx context.Context, r *request) *refuser.Refusal {
	c := s.pinned
	s.pinned = nil
	v, refused := s.exchange(ctx, c, r)
	switch {
	case v == answered:
		return refused
	case r.ends && v == lost:
		return refuser.New(refuser.ConnectionLost, "COMMIT was sent")
	}
	return refuser.New(refuser.TransactionLost, "service %q", s.Service)
}

// exchange forwards a request over a connection and takes the answer. The
// connection is kept for an open transaction, or goes back to the pool.
func (s *Session) exchange(ctx context.Context, c *pooler.Conn, r *request) (verdict, *refuser.Refusal) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	defer stop()
	x := &exchange{session: s, conn: c}
	v, refused := x.run(r)
	switch {
	case v != answered || c.Broken:
		c.Broken = true
		s.Pool.Return(c)
	case x.status != 'I':
		s.pinned, s.status = c, x.status
	default:
		s.status = 'I'
		s.Pool.Return(c)
	}
	return v, refused
}

// exchange is one request on one connection.
type exchange struct {
	session  *Session
	conn     *pooler.Conn
	expected []byte // the answers still to come, by step kind
	// preparing are the statements sent to the target and not yet answered.
	preparing []string
	status    byte
	commit    orderer.Position
	held      bool // the answer's end is being held back
}

func (x *exchange) run(r *request) (verdict, *refuser.Refusal) {
	data := x.encode(r)
	if _, err := x.conn.Write(data); err != nil {
		// Part of the request may have got through.
		return lost, nil
	}
	for {
		m, err := x.conn.Frontend.Receive()
		if err != nil {
			return lost, nil
		}
		done, v, refused := x.take(m)
		if done {
			return v, refused
		}
	}
}

// encode writes the request in the target's names, with the statements that the
// target doesn't know yet.
func (x *exchange) encode(r *request) []byte {
	var out []byte
	for _, t := range r.steps {
		switch t.kind {
		case 'P':
			if x.conn.Statements[t.statement.name] {
				x.expected = append(x.expected, 'p')
				continue
			}
			x.prepare(t.statement)
			x.expected = append(x.expected, 'P')
			out = append(out, t.statement.parse()...)
		case 'B':
			out = x.know(out, t.statement)
			b := *t.bind
			if t.statement != nil {
				b.PreparedStatement = t.statement.name
			}
			x.expected = append(x.expected, 'B')
			out = append(out, encode(&b)...)
		case 'D':
			out = x.know(out, t.statement)
			x.expected = append(x.expected, 'D')
			out = append(out, t.data...)
		case 'c':
			x.expected = append(x.expected, 'c')
		case 'H':
			out = append(out, t.data...)
		default:
			x.expected = append(x.expected, t.kind)
			out = append(out, t.data...)
		}
	}
	return out
}

// know prepares a statement on this connection, out of the caller's sight.
func (x *exchange) know(out []byte, t *statement) []byte {
	if t == nil || x.conn.Statements[t.name] {
		return out
	}
	x.prepare(t)
	x.expected = append(x.expected, 'i')
	return append(out, t.parse()...)
}

func (x *exchange) prepare(t *statement) {
	x.conn.Statements[t.name] = true
	x.preparing = append(x.preparing, t.name)
}

// skipKnown answers in the caller's name what was not sent to the target.
func (x *exchange) skipKnown() {
	for len(x.expected) > 0 {
		switch x.expected[0] {
		case 'p':
			x.session.emit(&pgproto3.ParseComplete{})
		case 'c':
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

// take handles one message of the target; done ends the exchange.
func (x *exchange) take(m pgproto3.BackendMessage) (done bool, v verdict, refused *refuser.Refusal) {
	s := x.session
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		x.parameter(m)
		return false, 0, nil
	case *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		return false, 0, nil
	case *pgproto3.ErrorResponse:
		return x.failed(m)
	case *pgproto3.ReadyForQuery:
		x.skipKnown()
		return x.ready(m)
	}
	x.skipKnown()
	switch m.(type) {
	case *pgproto3.ParseComplete:
		if len(x.preparing) > 0 {
			x.preparing = x.preparing[1:]
		}
		if x.pop() == 'i' {
			return false, 0, nil
		}
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		if len(x.expected) > 0 && x.expected[0] != 'Q' {
			x.pop()
		}
		x.held = true
	case *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData:
		x.pop()
	case *pgproto3.RowDescription:
		if len(x.expected) > 0 && x.expected[0] == 'D' {
			x.pop()
		}
	}
	s.emit(m)
	if !x.held && len(s.out) >= flushSize {
		if s.flush() != nil {
			x.conn.Broken = true
			return true, answered, nil
		}
	}
	return false, 0, nil
}

func (x *exchange) parameter(m *pgproto3.ParameterStatus) {
	switch m.Name {
	case "oriole.position":
		x.conn.Learn(m.Value)
	case "oriole.commit":
		if p, err := orderer.Parse(m.Value); err == nil {
			x.commit = p
		}
	}
}

func (x *exchange) failed(m *pgproto3.ErrorResponse) (bool, verdict, *refuser.Refusal) {
	s := x.session
	// The next steps up to the Sync are not run; what they would have prepared
	// is not known to the target.
	if m.Code == codeFenced && !s.sent && s.pinned == nil && x.status == 0 {
		return true, notRun, nil
	}
	if m.Code == codeReadOnly && x.conn.Place.Term == 0 && !s.sent {
		x.conn.Broken = true
		return true, notRun, refuser.New(refuser.NoTarget, "a replica refused a write")
	}
	for _, n := range x.preparing {
		delete(x.conn.Statements, n)
	}
	x.preparing, x.expected = nil, nil
	s.emit(m)
	if strings.EqualFold(m.Severity, "FATAL") {
		return true, lost, nil
	}
	return false, 0, nil
}

// ready ends the exchange. A commit is confirmed before the caller hears of it.
func (x *exchange) ready(m *pgproto3.ReadyForQuery) (bool, verdict, *refuser.Refusal) {
	s := x.session
	x.status = m.TxStatus
	if x.commit.IsZero() {
		s.emit(m)
		return true, answered, nil
	}
	if !x.confirm() {
		x.conn.Broken = true
		return true, answered, refuser.New(refuser.NotConfirmed, "position %v", x.commit)
	}
	s.Floor = orderer.Max(s.Floor, x.commit)
	s.emit(&pgproto3.ParameterStatus{Name: ParameterToken, Value: s.Sealer.Seal(s.Service, s.Floor)})
	s.emit(m)
	return true, answered, nil
}

// confirm asks the primary whether a majority of the group holds the commit. The
// answer yes can't become wrong: see runAwait of the stand-in and docs/TARGET.md.
func (x *exchange) confirm() bool {
	q := fmt.Sprintf("SELECT oriole_await(%d, %d, %d)", x.commit.Term, x.commit.Offset, confirmTimeout.Milliseconds())
	_ = x.conn.SetReadDeadline(time.Now().Add(confirmTimeout + time.Second))
	defer func() { _ = x.conn.SetReadDeadline(time.Time{}) }()
	if _, err := x.conn.Write(encode(&pgproto3.Query{String: q})); err != nil {
		return false
	}
	held := false
	for {
		m, err := x.conn.Frontend.Receive()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			held = len(m.Values) == 1 && string(m.Values[0]) == "t"
		case *pgproto3.ParameterStatus:
			x.parameter(m)
		case *pgproto3.ErrorResponse:
			return false
		case *pgproto3.ReadyForQuery:
			return held
		}
	}
}

// classifyAll classifies a simple query, which may hold several statements.
func classifyAll(sql string) kindOfStatement {
	if strings.Contains(strings.TrimRight(sql, "; \n\t"), ";") {
		return statementWrite
	}
	return classify(sql)
}
