package relayer

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	// maxRequest bounds what one caller makes the instance hold: a request is
	// kept whole, so that it can be tried on another target.
	maxRequest = 16 << 20
	// maxStatements bounds the prepared statements of one caller.
	maxStatements = 2000
)

// collect reads the caller's messages up to a Query, a Sync or a Flush; nil
// means that the caller has left.
func (s *Session) collect() (*request, error) {
	r := &request{read: true, pure: true, kind: s.Kind}
	for {
		m, err := s.Backend.Receive()
		if err != nil {
			return nil, errors.Wrap(err, "receive from caller")
		}
		switch m := m.(type) {
		case *pgproto3.Terminate:
			return nil, nil
		case *pgproto3.Query:
			if s.skip {
				continue
			}
			c := classify(m.String)
			r.note(m.String, c)
			r.runs(m.String, c)
			r.add(step{kind: 'Q', data: encode(m), name: m.String})
			return r, nil
		case *pgproto3.Sync:
			r.add(step{kind: 'S', data: encode(m)})
			return r, nil
		case *pgproto3.FunctionCall:
			if s.skip {
				continue
			}
			r.refuse(refuser.New(refuser.Unsupported, "function call message"))
			return r, nil
		case *pgproto3.Flush:
			if len(r.steps) == 0 || s.skip {
				continue
			}
			if r.mayCommit {
				// The target reports a commit's position with ReadyForQuery, so
				// its answer can't be confirmed, nor given out, before.
				r.refuse(refuser.New(refuser.Unsupported, "Flush after COMMIT; use Sync"))
			}
			r.flush = true
			r.add(step{kind: 'H', data: encode(m)})
			return r, nil
		default:
			if !s.skip {
				s.collectStep(r, m)
			}
		}
		if r.bytes > maxRequest {
			r.refuse(refuser.New(refuser.RequestTooLarge, "more than %d bytes up to one Sync", maxRequest))
			r.steps, r.bytes = nil, 0
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
		r.add(step{kind: 'B', name: m.DestinationPortal, statement: t, bind: b})
		r.remote = r.remote || t == nil
		r.bytes += bindSize(b)
	case *pgproto3.Describe:
		st := step{kind: 'D', name: m.Name, data: encode(m)}
		if m.ObjectType == 'S' {
			st.statement = s.statements[m.Name]
			name := missingPrefix + m.Name
			if st.statement != nil {
				name = st.statement.name
			}
			st.data = encode(&pgproto3.Describe{ObjectType: 'S', Name: name})
			st.kind = 'd'
		} else {
			st.statement = s.portals[m.Name]
		}
		r.add(st)
		r.remote = r.remote || st.statement == nil
	case *pgproto3.Execute:
		t := s.portals[m.Portal]
		r.add(step{kind: 'E', name: m.Portal, data: encode(m), statement: t})
		if t == nil {
			r.unknownPortal()
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
			r.add(step{kind: 'c'})
			return
		}
		delete(s.portals, m.Name)
		r.add(step{kind: 'C', data: encode(m)})
		r.remote = r.remote || s.pinned != nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// As PostgreSQL does outside COPY: what a caller still sends after a
		// refused COPY is passed over.
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
	r.add(step{kind: 'P', name: m.Name, statement: t})
	r.bytes += len(t.sql)
}

func bindSize(b *pgproto3.Bind) int {
	n := len(b.PreparedStatement) + len(b.DestinationPortal)
	for _, p := range b.Parameters {
		n += len(p)
	}
	return n
}
