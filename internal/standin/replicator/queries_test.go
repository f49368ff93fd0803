package replicator_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/shoenig/test/must"
)

func (g *testGroup) dial(i int) *pgconn.PgConn {
	c, err := commander.Dial(g.ctx, g.control.Network, g.members[i].Address, nil)
	must.NoError(g.t, err)
	return c
}

// value returns the value of a query, or an empty string without a row.
func (g *testGroup) value(c *pgconn.PgConn, sql string) string {
	rows, err := c.Exec(g.ctx, sql).ReadAll()
	must.NoError(g.t, err)
	if len(rows[0].Rows) == 0 {
		return ""
	}
	return string(rows[0].Rows[0][0])
}

// Queries of instances are answered as specified in docs/TARGET.md.
func TestInstanceQueries(t *testing.T) {
	const row = "SELECT value FROM ledger WHERE key = 'a'"
	tests := map[string]func(g *testGroup){
		"a position is replayed when reads return its rows": func(g *testGroup) {
			g.members[1].Faults.SetReplayLag(100 * time.Millisecond)
			_, err := g.write("a")
			must.NoError(g.t, err)
			p := g.members[0].Status().Received
			query := "SELECT oriole_replayed(" + strconv.FormatUint(p.Term, 10) + ", " + strconv.FormatUint(p.Offset, 10) + ", "
			c := g.dial(1)
			defer c.Close(g.ctx)
			must.Eq(g.t, "f", g.value(c, query+"10)"))
			must.Eq(g.t, "", g.value(c, row))
			must.Eq(g.t, "t", g.value(c, query+"1000)"))
			must.Eq(g.t, "1", g.value(c, row))
		},
		"a changed position is reported": func(g *testGroup) {
			c := g.dial(0)
			defer c.Close(g.ctx)
			g.value(c, row)
			before := c.ParameterStatus(replicator.ParameterPosition)
			_, err := g.write("a")
			must.NoError(g.t, err)
			g.value(c, row)
			must.NotEq(g.t, before, c.ParameterStatus(replicator.ParameterPosition))
		},
		"a session is active, idle or absent": func(g *testGroup) {
			c, other := g.dial(0), g.dial(0)
			defer other.Close(g.ctx)
			query := "SELECT state FROM pg_stat_activity WHERE pid = " + strconv.FormatUint(uint64(c.PID()), 10)
			must.Eq(g.t, "idle", g.value(other, query))
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = c.Exec(g.ctx, "SELECT pg_sleep(1)").ReadAll()
			}()
			time.Sleep(100 * time.Millisecond)
			must.Eq(g.t, "active", g.value(other, query))
			<-done
			must.NoError(g.t, c.Close(g.ctx))
			time.Sleep(100 * time.Millisecond)
			must.Eq(g.t, "", g.value(other, query))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { runWithGroup(t, test) })
	}
}
