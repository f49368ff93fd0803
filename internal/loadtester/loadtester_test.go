package loadtester_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/loadtester"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

// runOnFleet runs a load test on a simulated fleet. Each new connection first runs
// the statement tamper, if any, which the load test does not track.
func runOnFleet(t *testing.T, l loadtester.LoadTest, tamper string, check func(*testing.T, *loadtester.Report)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f, err := stager.Start(ctx, stager.Plan{ZoneLatency: time.Millisecond, ClientLatency: 3 * time.Millisecond})
		must.NoError(t, err)
		defer func() {
			f.Close()
			time.Sleep(20 * time.Second) // pgx closes abandoned connections in the background
		}()
		must.NoError(t, f.AwaitReady(ctx))
		entries := map[string]*stager.Instance{}
		for _, i := range f.Instances {
			l.Addresses = append(l.Addresses, i.Name)
			entries[i.Name] = i
		}
		l.Connect = func(ctx context.Context, address, token string) (*pgx.Conn, error) {
			parameters := map[string]string{}
			if token != "" {
				parameters["oriole.token"] = token
			}
			c, err := f.Connect(ctx, entries[address], stager.DefaultService, parameters)
			if err == nil && tamper != "" {
				_, err = c.Exec(ctx, tamper)
			}
			return c, err
		}
		r, err := l.Run(ctx)
		must.NoError(t, err)
		check(t, r)
	})
}

// Sessions that reconnect elsewhere with their token read their own writes, and
// every request is counted once.
func TestRoamingSessions(t *testing.T) {
	l := loadtester.LoadTest{Workers: 4, Count: 400, Writes: 0.3, OwnKeyReads: 1, Keys: 10, RoamProbability: 0.5, CarryToken: true, Seed: 7}
	runOnFleet(t, l, "", func(t *testing.T, r *loadtester.Report) {
		must.Eq(t, 400, r.Total("ok"))
		must.NoError(t, r.Err())
		must.Greater(t, 50, r.Classes["connect"].Outcomes["ok"])
	})
}

// Lost writes and writes that ran twice are reported.
func TestViolationsAreReported(t *testing.T) {
	for delta, want := range map[string]string{"-1": "missed", "1": "more often"} {
		t.Run(want, func(t *testing.T) {
			l := loadtester.LoadTest{Workers: 1, Count: 50, Writes: 0.3, OwnKeyReads: 1, Keys: 10, RoamProbability: 0.5, CarryToken: true, Seed: 9}
			tamper := "UPDATE ledger SET value = value + " + delta + " WHERE key = 'session-9-0'"
			runOnFleet(t, l, tamper, func(t *testing.T, r *loadtester.Report) {
				must.ErrorContains(t, r.Err(), want)
			})
		})
	}
}

// A rate limits the load, and each kind of read is reported separately.
func TestRate(t *testing.T) {
	l := loadtester.LoadTest{
		Workers: 8, Count: 500, Rate: 100, Keys: 10, Skew: 1.2, Seed: 3,
		Kinds: []loadtester.ReadKind{{Name: "past-sheets", Weight: 3}, {Name: "sign-off", Weight: 1}},
	}
	runOnFleet(t, l, "", func(t *testing.T, r *loadtester.Report) {
		must.Eq(t, 500, r.Total("ok"))
		must.Between(t, 4*time.Second, r.Elapsed, 6*time.Second)
		must.Greater(t, r.Classes["read-sign-off"].Outcomes["ok"], r.Classes["read-past-sheets"].Outcomes["ok"])
		var out strings.Builder
		r.Write(&out)
		must.StrContains(t, out.String(), "stale-reads 0 reads\n")
	})
}

func TestCheck(t *testing.T) {
	valid := loadtester.LoadTest{Addresses: []string{"a"}, Workers: 1, Count: 1, Keys: 1}
	must.NoError(t, valid.Check())
	for want, change := range map[string]func(*loadtester.LoadTest){
		"no addresses":      func(l *loadtester.LoadTest) { l.Addresses = nil },
		"workers":           func(l *loadtester.LoadTest) { l.Workers = 0 },
		"count or duration": func(l *loadtester.LoadTest) { l.Count = 0 },
		"from 0 to 1":       func(l *loadtester.LoadTest) { l.Writes = 2 },
		"skew":              func(l *loadtester.LoadTest) { l.Skew = 0.5 },
		`kind "a"`:          func(l *loadtester.LoadTest) { l.Kinds = []loadtester.ReadKind{{Name: "a"}} },
	} {
		t.Run(want, func(t *testing.T) {
			l := valid
			change(&l)
			must.ErrorContains(t, l.Check(), want)
		})
	}
}
