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

// The balancer leads a caller's cancel to another instance than the one that
// serves the caller. It is passed on, and ends the statement.
func TestCancelThroughAnotherInstance(t *testing.T) {
	staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		c := connect(t, ctx, s, 0)
		time.Sleep(10 * time.Second) // the list is read
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(ctx, "SELECT pg_sleep(60)", pgx.QueryExecModeSimpleProtocol)
			done <- err
		}()
		time.Sleep(time.Second)
		began := time.Now()
		sendCancel(t, ctx, s, s.Instances[1], c.PgConn())
		var p *pgconn.PgError
		must.True(t, errors.As(<-done, &p))
		must.Eq(t, "57014", p.Code)
		must.Less(t, time.Second, time.Since(began))
		must.NoError(t, c.Close(ctx))
	})
}

func sendCancel(t *testing.T, ctx context.Context, s *stager.Fleet, to *stager.Entry, of *pgconn.PgConn) {
	t.Helper()
	conn, err := s.Net.Host("10.0.9.2", "callers").Dial(ctx, net.JoinHostPort(to.IP, "5432"))
	must.NoError(t, err)
	defer conn.Close()
	ask, err := (&pgproto3.CancelRequest{ProcessID: of.PID(), SecretKey: of.SecretKey()}).Encode(nil)
	must.NoError(t, err)
	_, err = conn.Write(ask)
	must.NoError(t, err)
	_, _ = conn.Read(make([]byte, 1))
}

// read asks for one row without pause until stop closes, each time on the next
// of the connections.
func read(ctx context.Context, all []*pgx.Conn, stop <-chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		default:
		}
		if _, err := all[i%len(all)].Exec(ctx, "SELECT value FROM ledger WHERE key = 'locker-1'"); err != nil {
			return err
		}
	}
}

// A target begins to leave while callers read on every instance. The sign comes
// from the platform's list, from the target, or from the operators' document. From 3 s on the
// target runs nothing new, no read is refused, and when the sign ends it serves
// again.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for name, mark := range map[string]func(t *testing.T, ctx context.Context, s *stager.Fleet, m *stager.Target, leaving bool){
		"list": func(_ *testing.T, _ context.Context, s *stager.Fleet, m *stager.Target, leaving bool) {
			row := lister.Instance{Name: m.Name, Kind: lister.KindTarget, Zone: m.Zone, State: lister.StateLive}
			if leaving {
				row.State = lister.StateLeaving
			}
			s.Platform.Register(row)
		},
		"target": func(_ *testing.T, _ context.Context, _ *stager.Fleet, m *stager.Target, leaving bool) {
			m.Faults.SetLeaving(leaving)
		},
		"operator": func(t *testing.T, ctx context.Context, s *stager.Fleet, m *stager.Target, leaving bool) {
			was, err := s.Store.Get(ctx, configurer.Key)
			must.NoError(t, err)
			d, err := configurer.Decode(was.Value)
			must.NoError(t, err)
			for i := range d.Services[0].Members {
				if n := &d.Services[0].Members[i]; n.Name == m.Name {
					n.Leaving = leaving
				}
			}
			_, ok, err := s.Store.Swap(ctx, storer.Pair{Key: configurer.Key, Value: configurer.Encode(d), Revision: was.Revision}, 0)
			must.NoError(t, err)
			must.True(t, ok)
		},
	} {
		t.Run(name, func(t *testing.T) {
			staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
				var all []*pgx.Conn
				for k := range s.Instances {
					c := connect(t, ctx, s, k)
					defer c.Close(ctx)
					all = append(all, c)
				}
				_, err := all[0].Exec(ctx, insert, "locker-1", "open")
				must.NoError(t, err)
				target := s.Target("2")
				stop, done := make(chan struct{}), make(chan error, 1)
				go func() { done <- read(ctx, all, stop) }()
				time.Sleep(5 * time.Second)
				must.Positive(t, reads(target, time.Now().Add(-time.Second)))
				mark(t, ctx, s, target, true)
				time.Sleep(3 * time.Second)
				from := time.Now()
				time.Sleep(5 * time.Second)
				must.Zero(t, reads(target, from))
				mark(t, ctx, s, target, false)
				time.Sleep(10 * time.Second)
				must.Positive(t, reads(target, time.Now().Add(-time.Second)))
				close(stop)
				must.NoError(t, <-done)
			})
		})
	}
}

// reads counts the callers' statements that a target ran since a moment.
func reads(t *stager.Target, since time.Time) int {
	n := 0
	for _, r := range t.Journal() {
		if r.At.After(since) && strings.Contains(r.Statement, "FROM ledger") {
			n++
		}
	}
	return n
}

// The platform's list shows that the primary's machine leaves, while callers
// write on every instance. Another member takes over as planned: no write is
// refused, and from 3 s on the old primary runs none.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		const callers = 3
		stop, done := make(chan struct{}), make(chan error)
		for k := range callers {
			c := connect(t, ctx, s, k)
			go func() {
				_, _, err := writeOn(ctx, s, c, k, stop)
				done <- err
			}()
		}
		time.Sleep(5 * time.Second)
		old := s.Target("1")
		must.Positive(t, writes(old, time.Now().Add(-time.Second)))
		s.Platform.Register(lister.Instance{Name: old.Name, Kind: lister.KindTarget, Zone: old.Zone, State: lister.StateLeaving})
		time.Sleep(3 * time.Second)
		from := time.Now()
		time.Sleep(3 * time.Second)
		must.Zero(t, writes(old, from))
		must.Positive(t, writes(s.Target("2"), from)+writes(s.Target("3"), from))
		close(stop)
		for range callers {
			must.NoError(t, <-done)
		}
	})
}

// writes counts the callers' statements that a target ran since a moment.
func writes(t *stager.Target, since time.Time) int {
	n := 0
	for _, r := range t.Journal() {
		if r.At.After(since) && strings.Contains(r.Statement, "INTO ledger") && r.Code == "" {
			n++
		}
	}
	return n
}
