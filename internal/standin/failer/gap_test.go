package failer_test

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/failer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

var gapSeeds = flag.Int("gap-seeds", 1, "how many seeds to measure the failover gap on")

// measure returns the reports of one kind of failure over the seeds.
func measure(t *testing.T, p stager.Plan, fault, end func(*stager.Fleet, *stager.Target), down bool) []*failer.Report {
	t.Helper()
	var out []*failer.Report
	for seed := range *gapSeeds {
		p.Seed = uint64(seed) + 1
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
			defer cancel()
			r, err := failer.Run(ctx, failer.Scenario{
				Plan: p, Fault: fault, After: 5 * time.Second,
				// The fault strikes at another moment of the observers' rhythm.
				WarmUp: time.Second + time.Duration(seed*37%100)*time.Millisecond,
				Before: store(func(s *storer.Faults) { s.Down = down }),
				Heal:   end,
			})
			must.NoError(t, err)
			must.SliceEmpty(t, r.Violations)
			must.Eq(t, 1, r.Terms)
			out = append(out, r)
		})
	}
	return out
}

// The time between the last acknowledged write before a failure and the next one,
// on the latencies and connect times of both deployments. One line per figure.
func TestFailoverGap(t *testing.T) {
	deployments := []struct {
		name string
		plan stager.Plan
	}{
		{"keyhold", stager.Plan{PerZone: 3, ZoneLatency: 1500 * time.Microsecond, ConnectTime: 10 * time.Millisecond, Slots: 3}},
		{"kellerman", stager.Plan{PerZone: 3, ZoneLatency: time.Millisecond, ConnectTime: 30 * time.Millisecond, Slots: 5}},
	}
	faults := []struct {
		name   string
		strike func(*stager.Fleet, *stager.Target)
		end    func(*stager.Fleet, *stager.Target)
		most   time.Duration
	}{
		{"crash", failer.Crash, restart, 2 * time.Second},
		{"freeze", failer.Freeze, thaw, 4 * time.Second},
		{"cut", failer.Cut, heal, 4 * time.Second},
		{"planned", failer.Leave, nil, 200 * time.Millisecond},
	}
	for _, d := range deployments {
		d.plan.CallerLatency, d.plan.Jitter = 3*time.Millisecond, time.Millisecond
		for _, x := range faults {
			for _, down := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s/store-%s", d.name, x.name, map[bool]string{false: "up", true: "down"}[down])
				t.Run(name, func(t *testing.T) {
					reports := measure(t, d.plan, x.strike, x.end, down)
					sort.Slice(reports, func(i, j int) bool { return reports[i].Gap < reports[j].Gap })
					n := len(reports)
					unknown, notRun := 0, 0
					for _, r := range reports {
						unknown += r.Unknown
						notRun += r.NotRun
					}
					t.Logf("failover-gap %s p50 %v p99 %v max %v unknown %.1f not-run %.1f per failover, seeds %d", name,
						reports[n/2].Gap.Round(time.Millisecond), reports[n*99/100].Gap.Round(time.Millisecond),
						reports[n-1].Gap.Round(time.Millisecond), float64(unknown)/float64(n), float64(notRun)/float64(n), n)
					must.LessEq(t, x.most, reports[n*99/100].Gap)
				})
			}
		}
	}
}
