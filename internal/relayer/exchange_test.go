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

// A stray answer to a finished request must not be taken for the answer to the next client's
// request.
func TestStrayAnswer(t *testing.T) {
	for _, later := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			t.Run(later.String()+" "+mode.String(), func(t *testing.T) {
				runFleet(t, defaultPlan(), func(s *fleet) {
					a, b := s.open(0, nil), s.open(0, nil)
					s.exec(a, "INSERT INTO ledger VALUES ('a', '1')")
					time.Sleep(time.Second)
					for _, m := range s.Members {
						m.Faults.SendExtraResponse(later)
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

// A stray answer on an idle connection is detected before a request is sent on it.
func TestStrayAnswerOnIdleConnection(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		c := s.open(0, nil)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
		time.Sleep(time.Second)
		for _, m := range s.Members {
			m.Faults.SendExtraResponse(10 * time.Millisecond)
		}
		for range 6 {
			must.Eq(t, "1", s.get(c, "SELECT value FROM ledger WHERE key = 'a'"))
			time.Sleep(100 * time.Millisecond)
		}
		must.GreaterEq(t, int64(1), s.counter(0, "retry.not-quiet"))
	})
}

// After a connection loss in the middle of an answer, a read is retried only if no part of the
// answer has been sent to the client.
func TestInterruptedAnswer(t *testing.T) {
	const sql = "SELECT * FROM generate_series(1, 20000)"
	for rows, answered := range map[int]bool{3: true, 15000: false} {
		t.Run(strconv.Itoa(rows), func(t *testing.T) {
			runFleet(t, defaultPlan(), func(s *fleet) {
				c := s.open(0, nil)
				for _, m := range s.Members[1:] {
					m.Faults.TruncateNextResult(rows)
				}
				tag, err := c.Exec(s.ctx, sql, pgx.QueryExecModeSimpleProtocol)
				if answered {
					must.NoError(t, err)
					must.Eq(t, "SELECT 20000", tag.String())
					return
				}
				s.assertRefused(err, refuser.ReadLost)
			})
		})
	}
}

// Drivers describe a statement with Flush and wait for the description before they continue.
func TestFlush(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		w := s.open(0, nil)
		s.exec(w, "INSERT INTO ledger VALUES ('a', '1')")
		h, err := w.PgConn().Hijack()
		must.NoError(t, err)
		f := h.Frontend
		for range 2 { // the second time, the statement is already prepared
			f.Send(&pgproto3.Parse{Name: "s", Query: "SELECT value FROM ledger WHERE key = $1"})
			f.Send(&pgproto3.Describe{ObjectType: 'S', Name: "s"})
			f.Send(&pgproto3.Flush{})
			must.NoError(t, f.Flush())
			expectMessages(t, f, "*pgproto3.ParseComplete *pgproto3.ParameterDescription *pgproto3.RowDescription")
			f.Send(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("a")}})
			f.Send(&pgproto3.Execute{})
			f.Send(&pgproto3.Flush{})
			must.NoError(t, f.Flush())
			expectMessages(t, f, "*pgproto3.BindComplete *pgproto3.DataRow *pgproto3.CommandComplete")
			f.Send(&pgproto3.Close{ObjectType: 'S', Name: "s"})
			f.Send(&pgproto3.Sync{})
			must.NoError(t, f.Flush())
			expectMessages(t, f, "*pgproto3.CloseComplete *pgproto3.ReadyForQuery")
		}
		// After an error at a Flush, messages are skipped up to the Sync.
		f.Send(&pgproto3.Parse{Query: "nonsense"})
		f.Send(&pgproto3.Flush{})
		must.NoError(t, f.Flush())
		expectMessages(t, f, "*pgproto3.ErrorResponse")
		f.Send(&pgproto3.Bind{})
		f.Send(&pgproto3.Execute{})
		f.Send(&pgproto3.Sync{})
		must.NoError(t, f.Flush())
		expectMessages(t, f, "*pgproto3.ReadyForQuery")
		// The same after a refusal.
		f.Send(&pgproto3.Parse{Query: "LISTEN x"})
		f.Send(&pgproto3.Flush{})
		f.Send(&pgproto3.Bind{})
		f.Send(&pgproto3.Sync{})
		must.NoError(t, f.Flush())
		expectMessages(t, f, "*pgproto3.ErrorResponse *pgproto3.ReadyForQuery")
		f.Send(&pgproto3.FunctionCall{})
		must.NoError(t, f.Flush())
		expectMessages(t, f, "*pgproto3.ErrorResponse *pgproto3.ReadyForQuery")
		must.NoError(t, h.Conn.Close())
	})
}

// Pipelined requests, each with its Sync, get their own answers in order, also after errors.
func TestPipeline(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
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
			_, err := nextResult(t, p)
			must.Eq(t, wrong, err != nil)
			rows, err := nextResult(t, p)
			must.NoError(t, err)
			if !wrong {
				must.Eq(t, strconv.Itoa(i), string(rows[0][0]))
			}
		}
		must.NoError(t, p.Close())
	})
}

// nextResult reads one result of a pipeline and the following Sync.
func nextResult(t *testing.T, p *pgconn.Pipeline) (rows [][][]byte, err error) {
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

// expectMessages reads messages, except parameter reports, and compares their types.
func expectMessages(t *testing.T, f *pgproto3.Frontend, want string) {
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

// Results after a COMMIT in the same query must not be buffered without limit while the commit
// is unconfirmed.
func TestLargeAnswerAfterCommit(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		c := s.open(0, nil)
		const big = "SELECT * FROM generate_series(1, 100000)"
		_, err := c.Exec(s.ctx, "BEGIN; INSERT INTO ledger VALUES ('a', '1'); COMMIT; "+big, pgx.QueryExecModeSimpleProtocol)
		s.assertRefused(err, refuser.AnswerTooLarge)
		s.exec(c, "INSERT INTO ledger VALUES ('b', '1'); "+big, pgx.QueryExecModeSimpleProtocol)
	})
}
