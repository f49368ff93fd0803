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

var gapSeeds = flag.Int("gap-seeds", 1, "number of seeds of the failover gap")

// runSeeds runs one fault with each seed and returns the reports.
func runSeeds(t *testing.T, p stager.Plan, fault, heal func(*stager.Fleet, *stager.Target), storeDown bool) []*failer.Report {
	t.Helper()
	var out []*failer.Report
	for seed := range *gapSeeds {
		p.Seed = uint64(seed) + 1
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
			defer cancel()
			r, err := failer.Run(ctx, failer.Scenario{
				Plan: p, Inject: fault, LoadAfterFault: 5 * time.Second,
				// Each seed injects the fault at a different phase of the health checks.
				WarmUp:  time.Second + time.Duration(seed*37%100)*time.Millisecond,
				Prepare: withStoreFaults(func(s *storer.Faults) { s.Down = storeDown }),
				Heal:    heal,
			})
			must.NoError(t, err)
			must.SliceEmpty(t, r.Violations)
			must.Eq(t, 1, r.TermIncrease)
			out = append(out, r)
		})
	}
	return out
}

// TestFailoverGap bounds the time without acknowledged writes after a fault, with the
// latencies and connect times of both deployments, and logs its percentiles.
func TestFailoverGap(t *testing.T) {
	deployments := []struct {
		name string
		plan stager.Plan
	}{
		{"keyhold", stager.Plan{InstancesPerZone: 3, ZoneLatency: 1500 * time.Microsecond, ConnectTime: 10 * time.Millisecond, Slots: 3}},
		{"kellerman", stager.Plan{InstancesPerZone: 3, ZoneLatency: time.Millisecond, ConnectTime: 30 * time.Millisecond, Slots: 5}},
	}
	faults := []struct {
		name   string
		inject func(*stager.Fleet, *stager.Target)
		heal   func(*stager.Fleet, *stager.Target)
		maxGap time.Duration
	}{
		{"crash", failer.Crash, restart, 2 * time.Second},
		{"freeze", failer.Freeze, unfreeze, 4 * time.Second},
		{"cut", failer.PartitionFromAll, heal, 4 * time.Second},
		{"planned", failer.AnnounceLeaving, nil, 200 * time.Millisecond},
	}
	for _, d := range deployments {
		d.plan.ClientLatency, d.plan.Jitter = 3*time.Millisecond, time.Millisecond
		for _, fault := range faults {
			for _, storeDown := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s/store-%s", d.name, fault.name, map[bool]string{false: "up", true: "down"}[storeDown])
				t.Run(name, func(t *testing.T) {
					reports := runSeeds(t, d.plan, fault.inject, fault.heal, storeDown)
					sort.Slice(reports, func(i, j int) bool { return reports[i].WriteGap < reports[j].WriteGap })
					n := len(reports)
					unknown, notRun := 0, 0
					for _, r := range reports {
						unknown += r.Unknown
						notRun += r.NotRun
					}
					t.Logf("failover-gap %s p50 %v p99 %v max %v unknown %.1f not-run %.1f per failover, seeds %d", name,
						reports[n/2].WriteGap.Round(time.Millisecond), reports[n*99/100].WriteGap.Round(time.Millisecond),
						reports[n-1].WriteGap.Round(time.Millisecond), float64(unknown)/float64(n), float64(notRun)/float64(n), n)
					must.LessEq(t, fault.maxGap, reports[n*99/100].WriteGap)
				})
			}
		}
	}
}
