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
	insert        = "INSERT INTO ledger (key, value) VALUES ($1, $2)"
	drainTimeout  = 20 * time.Second
	adminShutdown = "57P01"
)

// withFleet runs f with a small fleet whose instances have the drain timeout drainTimeout.
func withFleet(t *testing.T, f func(t *testing.T, ctx context.Context, s *stager.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // lets pgx close broken connections in the background
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cancel()
		s, err := stager.Start(ctx, stager.Plan{
			ZoneLatency: time.Millisecond, ClientLatency: 3 * time.Millisecond,
			Settings: func(l *loader.Settings) { l.Limits.DrainTimeout = drainTimeout },
		})
		must.NoError(t, err)
		defer s.Close()
		must.NoError(t, s.AwaitReady(ctx))
		f(t, ctx, s)
	})
}

func connect(t *testing.T, ctx context.Context, s *stager.Fleet, instance int) *pgx.Conn {
	t.Helper()
	c, err := s.Connect(ctx, s.Instances[instance], stager.DefaultService, nil)
	must.NoError(t, err)
	return c
}

// mustDrain drains the first instance, runs during, and returns the time until the instance ends.
func mustDrain(t *testing.T, s *stager.Fleet, during func()) time.Duration {
	t.Helper()
	start := time.Now()
	s.Instances[0].Events <- drainer.InstanceLeaving{}
	during()
	s.AwaitInstanceExit(s.Instances[0])
	return time.Since(start)
}

// mayReconnect reports whether an error lets a driver reconnect and retry: the SQLSTATE of a
// shutdown, or a connection that was closed before anything was sent.
func mayReconnect(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && p.Code == adminShutdown || pgconn.SafeToRetry(err)
}

func mustAllowReconnect(t *testing.T, err error) {
	t.Helper()
	must.True(t, mayReconnect(err), must.Sprint(err))
}

// Draining closes idle client connections at once with a shutdown error, and rejects new ones.
func TestDrainClosesIdleClients(t *testing.T) {
	withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		c := connect(t, ctx, s, 0)
		elapsed := mustDrain(t, s, func() {
			var p *pgconn.PgError
			_, err := c.WaitForNotification(ctx)
			must.True(t, errors.As(err, &p), must.Sprint(err))
			must.Eq(t, adminShutdown, p.Code)
		})
		must.Less(t, 3*time.Second, elapsed)
		_, err := s.Connect(ctx, s.Instances[0], stager.DefaultService, nil)
		must.Error(t, err)
	})
}

// Draining waits for an open transaction, which can still commit, before it closes the
// connection.
func TestDrainWaitsForTransactions(t *testing.T) {
	withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		c := connect(t, ctx, s, 0)
		tx, err := c.Begin(ctx)
		must.NoError(t, err)
		_, err = tx.Exec(ctx, insert, "locker-1", "open")
		must.NoError(t, err)
		mustDrain(t, s, func() {
			time.Sleep(10 * time.Second)
			_, err = s.Connect(ctx, s.Instances[0], stager.DefaultService, nil)
			must.Error(t, err, must.Sprint("a new client was accepted"))
			_, err = tx.Exec(ctx, insert, "locker-2", "open")
			must.NoError(t, err)
			must.NoError(t, tx.Commit(ctx))
		})
		_, err = c.Exec(ctx, "SELECT 1")
		mustAllowReconnect(t, err)
		b := connect(t, ctx, s, 1)
		defer b.Close(ctx)
		var v string
		must.NoError(t, b.QueryRow(ctx, "SELECT value FROM ledger WHERE key = $1", "locker-2").Scan(&v))
	})
}

// A transaction still open at the drain timeout is rolled back, and the instance ends.
func TestDrainTimeout(t *testing.T) {
	withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		c := connect(t, ctx, s, 0)
		tx, err := c.Begin(ctx)
		must.NoError(t, err)
		_, err = tx.Exec(ctx, insert, "locker-1", "open")
		must.NoError(t, err)
		elapsed := mustDrain(t, s, func() {})
		must.Between(t, drainTimeout, elapsed, drainTimeout+3*time.Second)
		must.Error(t, tx.Commit(ctx))
	})
}

// Draining under continuous writes interrupts no request: a refused write has not run and has
// the SQLSTATE of a shutdown, and each acknowledged write is stored exactly once.
func TestDrainUnderLoad(t *testing.T) {
	withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		const clients = 10
		// A client without pauses between its requests isn't disconnected until busyGrace
		// after the instance has stopped accepting.
		const unreadyDuration, busyGrace = 2 * time.Second, 3 * time.Second
		type result struct {
			written int
			refused time.Time
			err     error
		}
		stop, done := make(chan struct{}), make(chan result)
		for k := range clients {
			c := connect(t, ctx, s, 0)
			go func() {
				written, refused, err := writeUntil(ctx, s, c, k, stop)
				done <- result{written, refused, err}
			}()
		}
		time.Sleep(time.Second)
		start := time.Now()
		elapsed := mustDrain(t, s, func() {})
		must.Less(t, 10*time.Second, elapsed)
		time.Sleep(time.Second)
		close(stop)
		written := 0
		for range clients {
			r := <-done
			must.NoError(t, r.err)
			must.Between(t, unreadyDuration+busyGrace, r.refused.Sub(start), unreadyDuration+busyGrace+time.Second)
			written += r.written
		}
		c := connect(t, ctx, s, 1)
		defer c.Close(ctx)
		var count int
		must.NoError(t, c.QueryRow(ctx, "SELECT count(*) FROM ledger").Scan(&count))
		must.Eq(t, written, count)
	})
}

// writeUntil writes keys in sequence until stop closes. It reconnects to another instance and
// repeats a write only if the error guarantees that the write has not run. It returns the number
// of writes and the time of the last refusal.
func writeUntil(ctx context.Context, s *stager.Fleet, conn *pgx.Conn, client int, stop <-chan struct{}) (written int, refusedAt time.Time, err error) {
	defer func() { _ = conn.Close(ctx) }()
	for {
		select {
		case <-stop:
			return written, refusedAt, nil
		default:
		}
		_, err := conn.Exec(ctx, insert, fmt.Sprintf("key-%d-%d", client, written), "x")
		switch {
		case err == nil:
			written++
		case mayReconnect(err):
			refusedAt = time.Now()
			if conn, err = s.Connect(ctx, s.Instances[1], stager.DefaultService, nil); err != nil {
				return written, refusedAt, err
			}
		default:
			return written, refusedAt, err
		}
	}
}
