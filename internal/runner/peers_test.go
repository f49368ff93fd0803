package runner_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

// A cancel request that reaches another instance than the client's is forwarded and cancels
// the statement.
func TestCancelForwarding(t *testing.T) {
	withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		c := connect(t, ctx, s, 0)
		time.Sleep(10 * time.Second) // until the instance list has been read
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(ctx, "SELECT pg_sleep(60)", pgx.QueryExecModeSimpleProtocol)
			done <- err
		}()
		time.Sleep(time.Second)
		start := time.Now()
		sendCancel(t, ctx, s, s.Instances[1], c.PgConn())
		var p *pgconn.PgError
		must.True(t, errors.As(<-done, &p))
		must.Eq(t, "57014", p.Code)
		must.Less(t, time.Second, time.Since(start))
		must.NoError(t, c.Close(ctx))
	})
}

func sendCancel(t *testing.T, ctx context.Context, s *stager.Fleet, instance *stager.Instance, target *pgconn.PgConn) {
	t.Helper()
	conn, err := s.Network.Host("10.0.9.2", "callers").Dial(ctx, net.JoinHostPort(instance.IP, "5432"))
	must.NoError(t, err)
	defer conn.Close()
	request, err := (&pgproto3.CancelRequest{ProcessID: target.PID(), SecretKey: target.SecretKey()}).Encode(nil)
	must.NoError(t, err)
	_, err = conn.Write(request)
	must.NoError(t, err)
	_, _ = conn.Read(make([]byte, 1))
}

// readUntil reads a row repeatedly until stop closes, rotating over the connections.
func readUntil(ctx context.Context, conns []*pgx.Conn, stop <-chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		default:
		}
		if _, err := conns[i%len(conns)].Exec(ctx, "SELECT value FROM ledger WHERE key = 'locker-1'"); err != nil {
			return err
		}
	}
}

// A target marked as draining by the platform's list, by itself or by the configuration gets
// no new reads after 3 s, and serves reads again once unmarked. No read fails.
func TestDrainingTargetGetsNoReads(t *testing.T) {
	for name, setDraining := range map[string]func(t *testing.T, ctx context.Context, s *stager.Fleet, target *stager.Target, draining bool){
		"list": func(_ *testing.T, _ context.Context, s *stager.Fleet, target *stager.Target, draining bool) {
			instance := lister.Instance{Name: target.Name, Kind: lister.KindTarget, Zone: target.Zone, State: lister.StateLive}
			if draining {
				instance.State = lister.StateLeaving
			}
			s.Platform.Register(instance)
		},
		"target": func(_ *testing.T, _ context.Context, _ *stager.Fleet, target *stager.Target, draining bool) {
			target.Faults.SetShuttingDown(draining)
		},
		"operator": func(t *testing.T, ctx context.Context, s *stager.Fleet, target *stager.Target, draining bool) {
			previous, err := s.Store.Get(ctx, configurer.Key)
			must.NoError(t, err)
			document, err := configurer.Decode(previous.Value)
			must.NoError(t, err)
			for i := range document.Services[0].Members {
				if member := &document.Services[0].Members[i]; member.Name == target.Name {
					member.Leaving = draining
				}
			}
			_, ok, err := s.Store.Swap(ctx, storer.Pair{Key: configurer.Key, Value: configurer.Encode(document), Revision: previous.Revision}, 0)
			must.NoError(t, err)
			must.True(t, ok)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
				var conns []*pgx.Conn
				for k := range s.Instances {
					c := connect(t, ctx, s, k)
					defer c.Close(ctx)
					conns = append(conns, c)
				}
				_, err := conns[0].Exec(ctx, insert, "locker-1", "open")
				must.NoError(t, err)
				target := s.Target("2")
				stop, done := make(chan struct{}), make(chan error, 1)
				go func() { done <- readUntil(ctx, conns, stop) }()
				time.Sleep(5 * time.Second)
				must.Positive(t, reads(target, time.Now().Add(-time.Second)))
				setDraining(t, ctx, s, target, true)
				time.Sleep(3 * time.Second)
				since := time.Now()
				time.Sleep(5 * time.Second)
				must.Zero(t, reads(target, since))
				setDraining(t, ctx, s, target, false)
				time.Sleep(10 * time.Second)
				must.Positive(t, reads(target, time.Now().Add(-time.Second)))
				close(stop)
				must.NoError(t, <-done)
			})
		})
	}
}

// reads returns the number of client reads that a target has run since a time.
func reads(t *stager.Target, since time.Time) int {
	n := 0
	for _, r := range t.Journal() {
		if r.At.After(since) && strings.Contains(r.Statement, "FROM ledger") {
			n++
		}
	}
	return n
}

// A primary marked as draining is replaced by a planned promotion within 3 s, without a
// failed write.
func TestDrainingPrimaryIsReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		const clients = 3
		stop, done := make(chan struct{}), make(chan error)
		for k := range clients {
			c := connect(t, ctx, s, k)
			go func() {
				_, _, err := writeUntil(ctx, s, c, k, stop)
				done <- err
			}()
		}
		time.Sleep(5 * time.Second)
		oldPrimary := s.Target("1")
		must.Positive(t, writes(oldPrimary, time.Now().Add(-time.Second)))
		s.Platform.Register(lister.Instance{Name: oldPrimary.Name, Kind: lister.KindTarget, Zone: oldPrimary.Zone, State: lister.StateLeaving})
		time.Sleep(3 * time.Second)
		since := time.Now()
		time.Sleep(3 * time.Second)
		must.Zero(t, writes(oldPrimary, since))
		must.Positive(t, writes(s.Target("2"), since)+writes(s.Target("3"), since))
		close(stop)
		for range clients {
			must.NoError(t, <-done)
		}
	})
}

// writes returns the number of successful client writes that a target has run since a time.
func writes(t *stager.Target, since time.Time) int {
	n := 0
	for _, r := range t.Journal() {
		if r.At.After(since) && strings.Contains(r.Statement, "INTO ledger") && r.Code == "" {
			n++
		}
	}
	return n
}
