package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

const service = stager.DefaultService

// fleet is a fleet of instances and targets in one process.
type fleet struct {
	*testing.T
	*stager.Fleet
	ctx context.Context
}

// runFleet starts a fleet under a virtual clock.
func runFleet(t *testing.T, p stager.Plan, test func(s *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		f, err := stager.Start(ctx, p)
		must.NoError(t, err)
		defer func() {
			// Wait for pgx to close failed connections in the background.
			f.Network.HealAll()
			f.Close()
			time.Sleep(16 * time.Second)
		}()
		must.NoError(t, f.AwaitReady(ctx))
		// Reads go to the primary until each instance has polled all members and has its share
		// of the connections.
		time.Sleep(settleTime)
		test(&fleet{T: t, Fleet: f, ctx: ctx})
	})
}

// settleTime covers several polls of the targets.
const settleTime = time.Second

func defaultPlan() stager.Plan {
	return stager.Plan{
		ZoneLatency: 1500 * time.Microsecond, ClientLatency: 3 * time.Millisecond,
		Services: []configurer.Service{{
			Name: service, Connections: 60, Slots: 4,
			Rules: []configurer.ReaderRule{{Kind: configurer.DefaultKind, MaxAge: 10 * time.Second}, {Kind: "strict"}},
		}},
	}
}

// open connects a client to instance i.
func (s *fleet) open(i int, parameters map[string]string) *pgx.Conn {
	s.Helper()
	c, err := s.Connect(s.ctx, s.Instances[i], service, parameters)
	must.NoError(s.T, err)
	return c
}

func (s *fleet) exec(c *pgx.Conn, sql string, a ...any) {
	s.Helper()
	_, err := c.Exec(s.ctx, sql, a...)
	must.NoError(s.T, err, must.Sprint(sql))
}

func (s *fleet) get(c *pgx.Conn, sql string, a ...any) string {
	s.Helper()
	var v string
	must.NoError(s.T, c.QueryRow(s.ctx, sql, a...).Scan(&v), must.Sprint(sql))
	return v
}

// assertRefused asserts the reason of a refusal and of its hint.
func (s *fleet) assertRefused(err error, r *refuser.Reason) {
	s.Helper()
	var e *pgconn.PgError
	must.True(s.T, errors.As(err, &e), must.Sprintf("want a refusal, got %v", err))
	code, outcome, _ := refuser.Parse(e.Hint)
	must.Eq(s.T, r.Code, code, must.Sprint(e.Message, " ", e.Detail))
	must.Eq(s.T, r.Outcome, outcome)
	must.Eq(s.T, r.SQLState, e.Code)
}

// counter returns the value of a counter of instance i.
func (s *fleet) counter(i int, name string) int64 {
	for _, c := range s.Instances[i].Metrics.Snapshot().Counters() {
		if c.Name() == name {
			return c.Value()
		}
	}
	return 0
}

// executions counts the executions of a statement on all targets.
func (s *fleet) executions(sql string) int {
	n := 0
	for i := range s.Members {
		n += s.executionsOn(i, sql)
	}
	return n
}

func (s *fleet) executionsOn(member int, sql string) int {
	n := 0
	for _, r := range s.Members[member].Journal() {
		if r.Statement == sql && r.Code == "" {
			n++
		}
	}
	return n
}
