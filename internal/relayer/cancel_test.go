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

// execAsync runs a statement in a goroutine; the channel receives its error.
func (s *fleet) execAsync(c *pgx.Conn, sql string) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(s.ctx, sql, pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	time.Sleep(100 * time.Millisecond)
	return done
}

func (s *fleet) cancelRequest(c *pgx.Conn) {
	s.Helper()
	must.NoError(s.T, c.PgConn().CancelRequest(s.ctx))
}

// A cancel request ends the client's statement at the target.
func TestCancel(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		c := s.open(0, nil)
		done := s.execAsync(c, "SELECT pg_sleep(60)")
		s.cancelRequest(c)
		var e *pgconn.PgError
		must.True(t, errors.As(<-done, &e))
		must.Eq(t, "57014", e.Code)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
	})
}

// A cancel request sent to another instance is forwarded to the one that serves the client.
func TestCancelOnOtherInstance(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		c := s.open(0, nil)
		time.Sleep(2 * time.Second) // until the instances have discovered each other
		done := s.execAsync(c, "SELECT pg_sleep(60)")
		conn, err := s.Network.Host("10.0.9.1", "callers").Dial(s.ctx, s.Instances[1].IP+":5432")
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

// A request that waits for a primary can be cancelled, and has not run. Without a majority no
// primary can be elected.
func TestCancelWaitingRequest(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		c := s.open(0, nil)
		s.KillTarget(s.Target("1"))
		s.KillTarget(s.Target("2"))
		time.Sleep(time.Second)
		done := s.execAsync(c, "INSERT INTO ledger VALUES ('a', '1')")
		s.cancelRequest(c)
		s.assertRefused(<-done, refuser.Cancelled)
	})
}

// A cancel request that arrives after its statement has ended must not cancel the statement of
// the connection's next borrower.
func TestLateCancel(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		a, b := s.open(0, nil), s.open(0, nil)
		done := s.execAsync(a, "/* kind=strict */ SELECT pg_sleep(1)")
		time.Sleep(890 * time.Millisecond) // just before the statement ends
		// Delays the delivery of the cancel request.
		s.Target("1").Faults.SetAcceptDelay(30 * time.Millisecond)
		cancelled := make(chan error, 1)
		go func() { cancelled <- a.PgConn().CancelRequest(s.ctx) }()
		<-done
		other := s.execAsync(b, "/* kind=strict */ SELECT pg_sleep(2)")
		must.NoError(t, <-cancelled)
		must.NoError(t, <-other)
	})
}
