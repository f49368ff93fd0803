package relayer

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	// maxRequestBytes limits the size of one request, which is buffered whole so that it can be
	// retried on another target.
	maxRequestBytes = 16 << 20
	// maxStatements limits a client's prepared statements.
	maxStatements = 2000
)

// collect reads messages up to a Query, Sync or Flush; nil means that the client has
// disconnected.
func (s *Session) collect() (*request, error) {
	r := &request{readOnly: true, pure: true, kind: s.Kind}
	for {
		m, err := s.Backend.Receive()
		if err != nil {
			return nil, errors.Wrap(err, "receive from client")
		}
		switch m := m.(type) {
		case *pgproto3.Terminate:
			return nil, nil
		case *pgproto3.Query:
			if s.skipToSync {
				continue
			}
			c := classify(m.String)
			r.recordStatement(m.String, c)
			r.recordExecution(m.String, c)
			r.addStep(step{kind: 'Q', data: encode(m), name: m.String})
			return r, nil
		case *pgproto3.Sync:
			r.addStep(step{kind: 'S', data: encode(m)})
			return r, nil
		case *pgproto3.FunctionCall:
			if s.skipToSync {
				continue
			}
			r.refuse(refuser.New(refuser.Unsupported, "function call message"))
			return r, nil
		case *pgproto3.Flush:
			if len(r.steps) == 0 || s.skipToSync {
				continue
			}
			if r.mayCommit {
				// The target reports the commit position with ReadyForQuery only, so the commit
				// could not be confirmed before the Flush is answered.
				r.refuse(refuser.New(refuser.Unsupported, "Flush after COMMIT; use Sync"))
			}
			r.flush = true
			r.addStep(step{kind: 'H', data: encode(m)})
			return r, nil
		default:
			if !s.skipToSync {
				s.collectStep(r, m)
			}
		}
		if r.size > maxRequestBytes {
			r.refuse(refuser.New(refuser.RequestTooLarge, "more than %d bytes up to one Sync", maxRequestBytes))
			r.steps, r.size = nil, 0
		}
	}
}

func (s *Session) collectStep(r *request, m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.collectParse(r, m)
	case *pgproto3.Bind:
		b := copyBind(m)
		t := s.statements[m.PreparedStatement]
		s.portals[m.DestinationPortal] = t
		r.addStep(step{kind: 'B', name: m.DestinationPortal, statement: t, bind: b})
		r.remote = r.remote || t == nil
		r.size += bindSize(b)
	case *pgproto3.Describe:
		st := step{kind: 'D', name: m.Name, data: encode(m)}
		if m.ObjectType == 'S' {
			st.statement = s.statements[m.Name]
			name := unknownStatementPrefix + m.Name
			if st.statement != nil {
				name = st.statement.name
			}
			st.data = encode(&pgproto3.Describe{ObjectType: 'S', Name: name})
			st.kind = 'd'
		} else {
			st.statement = s.portals[m.Name]
		}
		r.addStep(st)
		r.remote = r.remote || st.statement == nil
	case *pgproto3.Execute:
		t := s.portals[m.Portal]
		r.addStep(step{kind: 'E', name: m.Portal, data: encode(m), statement: t})
		if t == nil {
			r.markUnknownPortal()
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
			r.addStep(step{kind: 'c'})
			return
		}
		delete(s.portals, m.Name)
		r.addStep(step{kind: 'C', data: encode(m)})
		r.remote = r.remote || s.pinned != nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Ignored, as PostgreSQL does outside COPY: the remaining messages of a refused COPY.
	default:
		r.refuse(refuser.New(refuser.Unsupported, "message %T", m))
	}
}

func (s *Session) collectParse(r *request, m *pgproto3.Parse) {
	if len(s.statements) >= maxStatements && s.statements[m.Name] == nil {
		r.refuse(refuser.New(refuser.RequestTooLarge, "more than %d prepared statements", maxStatements))
		return
	}
	t := newStatement(m)
	s.statements[m.Name] = t
	r.addStep(step{kind: 'P', name: m.Name, statement: t})
	r.size += len(t.sql)
}

func bindSize(b *pgproto3.Bind) int {
	n := len(b.PreparedStatement) + len(b.DestinationPortal)
	for _, p := range b.Parameters {
		n += len(p)
	}
	return n
}
