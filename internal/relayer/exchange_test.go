package relayer_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

// An answer too many comes for a request that is done, at once or when the next
// caller's request is already on the way. It must not pass for that one's.
func TestStrayAnswer(t *testing.T) {
	for _, later := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			t.Run(later.String()+" "+mode.String(), func(t *testing.T) {
				run(t, plan(), func(s *stage) {
					a, b := s.open(0, nil), s.open(0, nil)
					s.exec(a, "INSERT INTO ledger VALUES ('a', '1')")
					time.Sleep(time.Second)
					for _, m := range s.Members {
						m.Faults.StrayNext(later)
					}
					const sql = "SELECT value FROM ledger WHERE key = 'a'"
					for range 6 {
						must.Eq(t, "1", s.get(a, sql, mode))
						must.Eq(t, "1", s.get(b, sql, mode))
					}
				})
			})
		}
	}
}

// The same, long before the next request: it is seen before anything is sent. So
// the connections of a pool, whatever they wrap, can be looked at.
func TestStrayAnswerOnAnIdleConnection(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
		time.Sleep(time.Second)
		for _, m := range s.Members {
			m.Faults.StrayNext(10 * time.Millisecond)
		}
		for range 6 {
			must.Eq(t, "1", s.get(c, "SELECT value FROM ledger WHERE key = 'a'"))
			time.Sleep(100 * time.Millisecond)
		}
		must.GreaterEq(t, int64(1), s.counted(0, "retry.not-quiet"))
	})
}

// The connection breaks off in the middle of an answer. While none of it has
// gone to the caller, a read is answered from elsewhere; later the caller is
// told, and never gets two halves.
func TestCutAnswer(t *testing.T) {
	const sql = "SELECT * FROM generate_series(1, 20000)"
	for rows, answered := range map[int]bool{3: true, 15000: false} {
		t.Run(strconv.Itoa(rows), func(t *testing.T) {
			run(t, plan(), func(s *stage) {
				c := s.open(0, nil)
				for _, m := range s.Members[1:] {
					m.Faults.CutNext(rows)
				}
				tag, err := c.Exec(s.ctx, sql, pgx.QueryExecModeSimpleProtocol)
				if answered {
					must.NoError(t, err)
					must.Eq(t, "SELECT 20000", tag.String())
					return
				}
				s.refused(err, refuser.ReadLost)
			})
		})
	}
}

// A driver asks for a statement's description with Flush and waits for it before
// it sends the rest.
func TestFlush(t *testing.T) {
	run(t, plan(), func(s *stage) {
		w := s.open(0, nil)
		s.exec(w, "INSERT INTO ledger VALUES ('a', '1')")
		h, err := w.PgConn().Hijack()
		must.NoError(t, err)
		f := h.Frontend
		for range 2 { // the second time the target knows the statement
			f.Send(&pgproto3.Parse{Name: "s", Query: "SELECT value FROM ledger WHERE key = $1"})
			f.Send(&pgproto3.Describe{ObjectType: 'S', Name: "s"})
			f.Send(&pgproto3.Flush{})
			must.NoError(t, f.Flush())
			expect(t, f, "*pgproto3.ParseComplete *pgproto3.ParameterDescription *pgproto3.RowDescription")
			f.Send(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("a")}})
			f.Send(&pgproto3.Execute{})
			f.Send(&pgproto3.Flush{})
			must.NoError(t, f.Flush())
			expect(t, f, "*pgproto3.BindComplete *pgproto3.DataRow *pgproto3.CommandComplete")
			f.Send(&pgproto3.Close{ObjectType: 'S', Name: "s"})
			f.Send(&pgproto3.Sync{})
			must.NoError(t, f.Flush())
			expect(t, f, "*pgproto3.CloseComplete *pgproto3.ReadyForQuery")
		}
		// An error after a Flush: the rest is passed over up to the Sync.
		f.Send(&pgproto3.Parse{Query: "nonsense"})
		f.Send(&pgproto3.Flush{})
		must.NoError(t, f.Flush())
		expect(t, f, "*pgproto3.ErrorResponse")
		f.Send(&pgproto3.Bind{})
		f.Send(&pgproto3.Execute{})
		f.Send(&pgproto3.Sync{})
		must.NoError(t, f.Flush())
		expect(t, f, "*pgproto3.ReadyForQuery")
		// A refused one as well.
		f.Send(&pgproto3.Parse{Query: "LISTEN x"})
		f.Send(&pgproto3.Flush{})
		f.Send(&pgproto3.Bind{})
		f.Send(&pgproto3.Sync{})
		must.NoError(t, f.Flush())
		expect(t, f, "*pgproto3.ErrorResponse *pgproto3.ReadyForQuery")
		f.Send(&pgproto3.FunctionCall{})
		must.NoError(t, f.Flush())
		expect(t, f, "*pgproto3.ErrorResponse *pgproto3.ReadyForQuery")
		must.NoError(t, h.Conn.Close())
	})
}

// Requests are sent ahead, each with its Sync, one of them wrong. Each gets its
// own answer, in order.
func TestPipeline(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		p := c.PgConn().StartPipeline(s.ctx)
		for i := range 30 {
			sql := "INSERT INTO ledger VALUES ('k" + strconv.Itoa(i) + "', '" + strconv.Itoa(i) + "')"
			if i%10 == 7 {
				sql = "INSERT INTO ledger VALUES ('k0', '0')" // a duplicate
			}
			p.SendQueryParams(sql, nil, nil, nil, nil)
			must.NoError(t, p.Sync())
			p.SendQueryParams("SELECT value FROM ledger WHERE key = 'k"+strconv.Itoa(i)+"'", nil, nil, nil, nil)
			must.NoError(t, p.Sync())
		}
		must.NoError(t, p.Flush())
		for i := range 30 {
			wrong := i%10 == 7
			_, err := next(t, p)
			must.Eq(t, wrong, err != nil)
			rows, err := next(t, p)
			must.NoError(t, err)
			if !wrong {
				must.Eq(t, strconv.Itoa(i), string(rows[0][0]))
			}
		}
		must.NoError(t, p.Close())
	})
}

// next reads one result of a pipeline and the end of its request.
func next(t *testing.T, p *pgconn.Pipeline) (rows [][][]byte, err error) {
	t.Helper()
	r, err := p.GetResults()
	if reader, ok := r.(*pgconn.ResultReader); ok && err == nil {
		result := reader.Read()
		rows, err = result.Rows, result.Err
	}
	if _, ok := r.(*pgconn.PipelineSync); ok {
		return rows, err
	}
	_, syncErr := p.GetResults()
	var e *pgconn.PgError
	if syncErr != nil && !errors.As(syncErr, &e) {
		must.NoError(t, syncErr)
	}
	return rows, err
}

// expect reads messages up to the last of the wanted ones.
func expect(t *testing.T, f *pgproto3.Frontend, want string) {
	t.Helper()
	got := ""
	for len(got) < len(want) {
		m, err := f.Receive()
		must.NoError(t, err, must.Sprint(got))
		if _, ok := m.(*pgproto3.ParameterStatus); ok {
			continue
		}
		if got != "" {
			got += " "
		}
		got += fmt.Sprintf("%T", m)
	}
	must.Eq(t, want, got)
}

// A COMMIT is followed by more in the same query, beyond what can be held until
// it is confirmed. The instance does not buffer without end.
func TestAnswerBehindACommit(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		const big = "SELECT * FROM generate_series(1, 100000)"
		_, err := c.Exec(s.ctx, "BEGIN; INSERT INTO ledger VALUES ('a', '1'); COMMIT; "+big, pgx.QueryExecModeSimpleProtocol)
		s.refused(err, refuser.AnswerTooLarge)
		s.exec(c, "INSERT INTO ledger VALUES ('b', '1'); "+big, pgx.QueryExecModeSimpleProtocol)
	})
}
