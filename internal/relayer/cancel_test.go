package relayer_test

import (
	"io"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

// start runs a statement in a goroutine; the channel takes its error.
func (s *stage) start(c *pgx.Conn, sql string) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(s.ctx, sql, pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	time.Sleep(100 * time.Millisecond)
	return done
}

func (s *stage) cancel(c *pgx.Conn) {
	s.Helper()
	must.NoError(s.T, c.PgConn().CancelRequest(s.ctx))
}

// A caller cancels a long statement, and the target ends it.
func TestCancel(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		done := s.start(c, "SELECT pg_sleep(60)")
		s.cancel(c)
		var e *pgconn.PgError
		must.True(t, errors.As(<-done, &e))
		must.Eq(t, "57014", e.Code)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
	})
}

// The balancer sends the cancel to another instance than the one that serves the
// caller. It is passed on to the one that the key names.
func TestCancelElsewhere(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		time.Sleep(2 * time.Second) // the instances have met
		done := s.start(c, "SELECT pg_sleep(60)")
		conn, err := s.Net.Host("10.0.9.1", "callers").Dial(s.ctx, s.Instances[1].IP+":5432")
		must.NoError(t, err)
		m, err := (&pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: c.PgConn().SecretKey()}).Encode(nil)
		must.NoError(t, err)
		_, err = conn.Write(m)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		must.NoError(t, err)
		var e *pgconn.PgError
		must.True(t, errors.As(<-done, &e))
		must.Eq(t, "57014", e.Code)
	})
}

// Two of three members are gone, so that nobody can be promoted. The request
// still waits for a primary when it is cancelled: it has not run.
func TestCancelWhileHeld(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		s.KillTarget(s.Target("1"))
		s.KillTarget(s.Target("2"))
		time.Sleep(time.Second)
		done := s.start(c, "INSERT INTO ledger VALUES ('a', '1')")
		s.cancel(c)
		s.refused(<-done, refuser.Cancelled)
	})
}

// The caller's statement ends while its cancel is on the way to the target. The
// connection goes to another caller next; the cancel must not end that one's
// statement. So the connection is lent on only when the cancel's own has closed.
func TestLateCancel(t *testing.T) {
	run(t, plan(), func(s *stage) {
		a, b := s.open(0, nil), s.open(0, nil)
		done := s.start(a, "/* kind=strict */ SELECT pg_sleep(1)")
		time.Sleep(890 * time.Millisecond) // 3 ms to the instance, 0 to the target
		// The target takes new connections 30 ms late from now on.
		s.Target("1").Faults.SetAcceptLag(30 * time.Millisecond)
		cancelled := make(chan error, 1)
		go func() { cancelled <- a.PgConn().CancelRequest(s.ctx) }()
		<-done
		other := s.start(b, "/* kind=strict */ SELECT pg_sleep(2)")
		must.NoError(t, <-cancelled)
		must.NoError(t, <-other)
	})
}
