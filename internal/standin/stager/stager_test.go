package stager_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

// TestReadYourWritesAcrossInstances reads a write through another instance, with the
// session token of the write, which a replica may serve only if it has replayed it.
func TestReadYourWritesAcrossInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f, err := stager.Start(ctx, stager.Plan{ZoneLatency: time.Millisecond, ClientLatency: 3 * time.Millisecond})
		must.NoError(t, err)
		defer f.Close()
		must.NoError(t, f.AwaitReady(ctx))
		a, err := f.Connect(ctx, f.Instances[0], stager.DefaultService, nil)
		must.NoError(t, err)
		defer a.Close(ctx)
		_, err = a.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", "locker-1", "open")
		must.NoError(t, err)
		b, err := f.Connect(ctx, f.Instances[1], stager.DefaultService, map[string]string{"oriole.token": a.PgConn().ParameterStatus("oriole.token")})
		must.NoError(t, err)
		defer b.Close(ctx)
		var v string
		must.NoError(t, b.QueryRow(ctx, "SELECT value FROM ledger WHERE key = $1", "locker-1").Scan(&v))
		must.Eq(t, "open", v)
	})
}
