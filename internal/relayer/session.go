// Package relayer serves one caller: it collects a request, has it routed,
// borrows a connection, forwards, and answers. It holds back the answer to a
// write until a majority of the group has confirmed it.
package relayer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/oriolegw/oriolegw/pkg/sealer"
)

// The parameters that callers and instances exchange.
const (
	// ParameterToken carries the session token.
	ParameterToken = "oriole.token"
	// ParameterKind names the kind of the session's requests.
	ParameterKind = "oriole.kind"
)

type (
	// Session is one caller. Set the exported fields, then call Run.
	Session struct {
		Conn    net.Conn
		Backend *pgproto3.Backend
		Service string
		User    string
		Zone    string
		// Kind is the kind of requests that name none.
		Kind string
		// Floor is the session's newest acknowledged write.
		Floor  orderer.Position
		Table  func() *router.Table
		Pool   *pooler.Pool
		Sealer *sealer.Sealer
		Log    log.Logger
		// Count counts an event by name, for the metrics.
		Count func(name string)

		statements map[string]*statement
		pinned     *pooler.Conn // the connection of an open transaction
		status     byte         // of the caller's transaction: I, T or E
		out        []byte       // answer not yet sent to the caller
		sent       bool         // part of the answer has been sent
	}
)

const flushSize = 32 << 10

// Run serves the caller until it leaves or the context ends.
func (s *Session) Run(ctx context.Context) error {
	s.statements, s.status = map[string]*statement{}, 'I'
	stop := context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	defer stop()
	defer s.drop()
	for {
		r, err := s.collect()
		if err != nil || r == nil {
			return err
		}
		if err := s.serve(ctx, r); err != nil {
			return err
		}
	}
}

// drop destroys the connection of a transaction that its caller left open: the
// target rolls it back, and no other caller can meet its remains.
func (s *Session) drop() {
	if s.pinned != nil {
		s.pinned.Broken = true
		s.Pool.Return(s.pinned)
		s.pinned = nil
	}
}

// collect reads the caller's messages up to a Query or a Sync; nil means that
// the caller has left.
func (s *Session) collect() (*request, error) {
	r := &request{read: true, kind: s.Kind}
	for {
		m, err := s.Backend.Receive()
		if err != nil {
			return nil, errors.Wrap(err, "receive from caller")
		}
		switch m := m.(type) {
		case *pgproto3.Terminate:
			return nil, nil
		case *pgproto3.Query:
			r.simple = true
			r.note(m.String, classifyAll(m.String))
			r.steps = append(r.steps, step{kind: 'Q', data: encode(m)})
			return r, nil
		case *pgproto3.Sync:
			r.steps = append(r.steps, step{kind: 'S', data: encode(m)})
			return r, nil
		case *pgproto3.Parse:
			t := newStatement(m)
			s.statements[m.Name] = t
			r.note(t.sql, t.kind)
			r.steps = append(r.steps, step{kind: 'P', statement: t})
		case *pgproto3.Bind:
			t := s.statements[m.PreparedStatement]
			if t != nil {
				r.note(t.sql, t.kind)
			}
			r.steps = append(r.steps, step{kind: 'B', statement: t, bind: copyBind(m)})
		case *pgproto3.Describe:
			st := step{kind: 'D', data: encode(m)}
			if m.ObjectType == 'S' {
				if st.statement = s.statements[m.Name]; st.statement != nil {
					st.data = encode(&pgproto3.Describe{ObjectType: 'S', Name: st.statement.name})
				}
			}
			r.steps = append(r.steps, st)
		case *pgproto3.Execute:
			r.steps = append(r.steps, step{kind: 'E', data: encode(m)})
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				delete(s.statements, m.Name)
				r.steps = append(r.steps, step{kind: 'c'})
				continue
			}
			r.steps = append(r.steps, step{kind: 'C', data: encode(m)})
		case *pgproto3.Flush:
			r.steps = append(r.steps, step{kind: 'H', data: encode(m)})
		default:
			return nil, errors.Errorf("message %T is not supported", m)
		}
	}
}

func encode(m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		panic(err) // it was decoded from a message of the same size
	}
	return b
}

// serve answers one request.
func (s *Session) serve(ctx context.Context, r *request) error {
	s.out, s.sent = s.out[:0], false
	refusal := s.attempt(ctx, r)
	if refusal != nil {
		s.Count("refused." + refusal.Reason.Name)
		s.out = s.out[:0]
		s.refuse(refusal)
	}
	return s.flush()
}

func (s *Session) refuse(f *refuser.Refusal) {
	severity := "ERROR"
	if f.Reason.Fatal {
		severity = "FATAL"
	}
	s.emit(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.Reason.SQLState,
		Message: f.Reason.Code + " " + f.Reason.Title, Detail: f.Detail, Hint: f.Hint(),
	})
	if s.status != 'I' && s.pinned == nil {
		s.status = 'I'
	}
	s.emit(&pgproto3.ReadyForQuery{TxStatus: s.status})
}

func (s *Session) emit(m pgproto3.BackendMessage) {
	var err error
	if s.out, err = m.Encode(s.out); err != nil {
		panic(err) // messages of ours, or decoded from the same size
	}
}

func (s *Session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_, err := s.Conn.Write(s.out)
	s.out, s.sent = s.out[:0], true
	if err != nil {
		return errors.Wrap(err, "answer caller")
	}
	return nil
}

// hold is how long a request that was not run waits for a way to run it.
func hold(g *router.Group) time.Duration {
	if g.Service.Hold > 0 {
		return g.Service.Hold
	}
	return defaultHold
}

const defaultHold = 10 * time.Second
