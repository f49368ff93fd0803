package runner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

const (
	insert       = "INSERT INTO ledger (key, value) VALUES ($1, $2)"
	drainLimit   = 20 * time.Second
	adminIsGoing = "57P01"
)

// staged runs f on a small fleet whose instances drain for drainLimit.
func staged(t *testing.T, f func(t *testing.T, ctx context.Context, s *stager.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // pgx says goodbye to broken connections by itself
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cancel()
		s, err := stager.Start(ctx, stager.Plan{
			ZoneLatency: time.Millisecond, CallerLatency: 3 * time.Millisecond,
			Settings: func(l *loader.Settings) { l.Limits.Drain = drainLimit },
		})
		must.NoError(t, err)
		defer s.Close()
		must.NoError(t, s.Ready(ctx))
		f(t, ctx, s)
	})
}

func connect(t *testing.T, ctx context.Context, s *stager.Fleet, instance int) *pgx.Conn {
	t.Helper()
	c, err := s.Connect(ctx, s.Instances[instance], stager.DefaultService, nil)
	must.NoError(t, err)
	return c
}

// mustLeave has the first instance leave and returns how long it took to end.
func mustLeave(t *testing.T, s *stager.Fleet, during func()) time.Duration {
	t.Helper()
	began := time.Now()
	s.Instances[0].Events <- drainer.InstanceLeaving{}
	during()
	s.AwaitInstance(s.Instances[0])
	return time.Since(began)
}

// told reports whether an error is the one on which a driver connects anew: the
// code of a shutdown, or a connection found closed before anything was sent.
func told(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && p.Code == adminIsGoing || pgconn.SafeToRetry(err)
}

func mustBeTold(t *testing.T, err error) {
	t.Helper()
	must.True(t, told(err), must.Sprint(err))
}

// A caller is connected and asks nothing. It is told to connect anew, the
// instance ends at once, and no caller gets in any more.
func TestLeavingEndsIdleCallers(t *testing.T) {
	staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		c := connect(t, ctx, s, 0)
		took := mustLeave(t, s, func() {
			var p *pgconn.PgError
			_, err := c.WaitForNotification(ctx)
			must.True(t, errors.As(err, &p), must.Sprint(err))
			must.Eq(t, adminIsGoing, p.Code)
		})
		must.Less(t, 3*time.Second, took)
		_, err := s.Connect(ctx, s.Instances[0], stager.DefaultService, nil)
		must.Error(t, err)
	})
}

// A caller is in a transaction when the instance begins to leave, and takes
// longer over it than the instance would need otherwise. It commits, and only
// then is told to leave; the commit is there.
func TestLeavingWaitsForTransactions(t *testing.T) {
	staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		c := connect(t, ctx, s, 0)
		tx, err := c.Begin(ctx)
		must.NoError(t, err)
		_, err = tx.Exec(ctx, insert, "locker-1", "open")
		must.NoError(t, err)
		mustLeave(t, s, func() {
			time.Sleep(10 * time.Second)
			_, err = s.Connect(ctx, s.Instances[0], stager.DefaultService, nil)
			must.Error(t, err, must.Sprint("a new caller was taken"))
			_, err = tx.Exec(ctx, insert, "locker-2", "open")
			must.NoError(t, err)
			must.NoError(t, tx.Commit(ctx))
		})
		_, err = c.Exec(ctx, "SELECT 1")
		mustBeTold(t, err)
		b := connect(t, ctx, s, 1)
		defer b.Close(ctx)
		var v string
		must.NoError(t, b.QueryRow(ctx, "SELECT value FROM ledger WHERE key = $1", "locker-2").Scan(&v))
	})
}

// A caller leaves its transaction open for good. The instance ends at its limit
// all the same, and the transaction is rolled back.
func TestLeavingEndsAtTheLimit(t *testing.T) {
	staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		c := connect(t, ctx, s, 0)
		tx, err := c.Begin(ctx)
		must.NoError(t, err)
		_, err = tx.Exec(ctx, insert, "locker-1", "open")
		must.NoError(t, err)
		took := mustLeave(t, s, func() {})
		must.Between(t, drainLimit, took, drainLimit+3*time.Second)
		must.Error(t, tx.Commit(ctx))
	})
}

// Callers write without a pause while their instance leaves. Each moves to
// another instance when it is told to. No request is cut: what is refused is
// refused as not run, with the code of a shutdown, and what was acknowledged is
// there, once.
func TestLeavingUnderLoad(t *testing.T) {
	staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		const callers = 10
		// While a caller's requests follow each other this closely, it is not
		// interrupted for busyFor after the instance has stopped accepting.
		const unreadyFor, busyFor = 2 * time.Second, 3 * time.Second
		type result struct {
			written int
			told    time.Time
			err     error
		}
		stop, done := make(chan struct{}), make(chan result)
		for k := range callers {
			c := connect(t, ctx, s, 0)
			go func() {
				n, at, err := writeOn(ctx, s, c, k, stop)
				done <- result{n, at, err}
			}()
		}
		time.Sleep(time.Second)
		began := time.Now()
		took := mustLeave(t, s, func() {})
		must.Less(t, 10*time.Second, took)
		time.Sleep(time.Second)
		close(stop)
		written := 0
		for range callers {
			r := <-done
			must.NoError(t, r.err)
			must.Between(t, unreadyFor+busyFor, r.told.Sub(began), unreadyFor+busyFor+time.Second)
			written += r.written
		}
		c := connect(t, ctx, s, 1)
		defer c.Close(ctx)
		var count int
		must.NoError(t, c.QueryRow(ctx, "SELECT count(*) FROM ledger").Scan(&count))
		must.Eq(t, written, count)
	})
}

// writeOn writes a key after the other, each once, and again on another instance
// only when it was told that it was not run.
func writeOn(ctx context.Context, s *stager.Fleet, c *pgx.Conn, k int, stop <-chan struct{}) (written int, at time.Time, err error) {
	defer func() { _ = c.Close(ctx) }()
	for {
		select {
		case <-stop:
			return written, at, nil
		default:
		}
		_, err := c.Exec(ctx, insert, fmt.Sprintf("key-%d-%d", k, written), "x")
		switch {
		case err == nil:
			written++
		case told(err):
			at = time.Now()
			if c, err = s.Connect(ctx, s.Instances[1], stager.DefaultService, nil); err != nil {
				return written, at, err
			}
		default:
			return written, at, err
		}
	}
}
