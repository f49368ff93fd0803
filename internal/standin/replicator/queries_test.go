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

func (b *bench) dial(i int) *pgconn.PgConn {
	c, err := commander.Dial(b.ctx, b.orders.Network, b.members[i].Address, nil)
	must.NoError(b.t, err)
	return c
}

// value runs a query of one value; empty when there is no row.
func (b *bench) value(c *pgconn.PgConn, sql string) string {
	rows, err := c.Exec(b.ctx, sql).ReadAll()
	must.NoError(b.t, err)
	if len(rows[0].Rows) == 0 {
		return ""
	}
	return string(rows[0].Rows[0][0])
}

// What a target must answer to the questions of instances (docs/TARGET.md).
func TestQuestions(t *testing.T) {
	const row = "SELECT value FROM ledger WHERE key = 'a'"
	tests := map[string]func(b *bench){
		"a position counts as replayed when reads show it": func(b *bench) {
			b.members[1].Faults.SetReplayLag(100 * time.Millisecond)
			_, err := b.write("a")
			must.NoError(b.t, err)
			p := b.members[0].Status().Received
			ask := "SELECT oriole_replayed(" + strconv.FormatUint(p.Term, 10) + ", " + strconv.FormatUint(p.Offset, 10) + ", "
			c := b.dial(1)
			defer c.Close(b.ctx)
			must.Eq(b.t, "f", b.value(c, ask+"10)"))
			must.Eq(b.t, "", b.value(c, row))
			must.Eq(b.t, "t", b.value(c, ask+"1000)"))
			must.Eq(b.t, "1", b.value(c, row))
		},
		"the position is reported when it has changed": func(b *bench) {
			c := b.dial(0)
			defer c.Close(b.ctx)
			b.value(c, row)
			before := c.ParameterStatus(replicator.ParameterPosition)
			_, err := b.write("a")
			must.NoError(b.t, err)
			b.value(c, row)
			must.NotEq(b.t, before, c.ParameterStatus(replicator.ParameterPosition))
		},
		"a session is active, idle or absent": func(b *bench) {
			c, other := b.dial(0), b.dial(0)
			defer other.Close(b.ctx)
			ask := "SELECT state FROM pg_stat_activity WHERE pid = " + strconv.FormatUint(uint64(c.PID()), 10)
			must.Eq(b.t, "idle", b.value(other, ask))
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = c.Exec(b.ctx, "SELECT pg_sleep(1)").ReadAll()
			}()
			time.Sleep(100 * time.Millisecond)
			must.Eq(b.t, "active", b.value(other, ask))
			<-done
			must.NoError(b.t, c.Close(b.ctx))
			time.Sleep(100 * time.Millisecond)
			must.Eq(b.t, "", b.value(other, ask))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { onBench(t, test) })
	}
}
