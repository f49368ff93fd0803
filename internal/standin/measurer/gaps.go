package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/standin/failer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
)

type (
	// Failure is one way to make a primary fail.
	Failure struct {
		Name   string
		Inject func(f *stager.Fleet, primary *stager.Target)
		Heal   func(f *stager.Fleet, primary *stager.Target)
	}

	// FailoverResults accumulates the results of several runs of one failure.
	FailoverResults struct {
		Gaps             []time.Duration
		Baseline         []time.Duration
		NotRun           int
		Unknown          int
		MultipleTermRuns int // runs in which the term rose more than once
		Violations       []string
		RefusalCounts    map[string]int
	}
)

// Failures returns all failures.
func Failures() []Failure {
	return []Failure{
		{
			Name:   "crash",
			Inject: func(f *stager.Fleet, p *stager.Target) { f.KillTarget(p) },
			Heal:   func(f *stager.Fleet, p *stager.Target) { f.RestartTarget(p) },
		},
		{
			Name:   "freeze",
			Inject: func(_ *stager.Fleet, p *stager.Target) { p.Faults.Freeze() },
			Heal:   func(_ *stager.Fleet, p *stager.Target) { p.Faults.Unfreeze() },
		},
		{
			Name: "cut",
			Inject: func(f *stager.Fleet, p *stager.Target) {
				for _, z := range append([]string{"platform", "callers", agentZone}, f.Plan.Zones...) {
					f.Network.Partition(p.IP, z)
				}
			},
			Heal: func(f *stager.Fleet, _ *stager.Target) { f.Network.HealAll() },
		},
		{Name: "planned", Inject: sendTargetLeaving},
	}
}

// sendTargetLeaving marks the primary as leaving on every instance, as an operator's command
// would.
func sendTargetLeaving(f *stager.Fleet, p *stager.Target) {
	for _, e := range f.Instances {
		e.Events <- drainer.TargetLeaving{Service: p.Service, Member: p.Name, Leaving: true, Source: "operator"}
	}
}

// Run measures a failure and its baseline once each.
func (g *FailoverResults) Run(ctx context.Context, p stager.Plan, failure Failure, storeDown bool) error {
	p.Services = p.Services[:1]
	before := func(f *stager.Fleet) { f.Store.SetFaults(func(s *storer.Faults) { s.Down = storeDown }) }
	r, err := failer.Run(ctx, failer.Scenario{Plan: p, Prepare: before, Inject: failure.Inject, Heal: failure.Heal})
	if err != nil {
		return err
	}
	if g.RefusalCounts == nil {
		g.RefusalCounts = map[string]int{}
	}
	g.Gaps = append(g.Gaps, r.WriteGap)
	g.NotRun += r.NotRun
	g.Unknown += r.Unknown
	for c, n := range r.Refusals {
		g.RefusalCounts[c] += n
	}
	if r.TermIncrease > 1 {
		g.MultipleTermRuns++
	}
	for _, v := range r.Violations {
		g.Violations = append(g.Violations, fmt.Sprintf("seed %d: %s: %s", p.Seed, v.Guarantee, v.Detail))
	}
	baselineGap, err := measureBaselineGap(ctx, p, failure, storeDown)
	if err != nil {
		return err
	}
	g.Baseline = append(g.Baseline, baselineGap)
	return nil
}

// Figures returns the figures over all runs of a failure.
func (g *FailoverResults) Figures(deployment, failure, store string) []Figure {
	suffix := "/" + deployment + "/" + failure + "/store-" + store
	n := len(g.Gaps)
	out := []Figure{
		{"failover-gap-p50" + suffix, milliseconds(quantile(g.Gaps, 0.5)), "ms", milliseconds(quantile(g.Baseline, 0.5))},
		{"failover-gap-p99" + suffix, milliseconds(quantile(g.Gaps, 0.99)), "ms", milliseconds(quantile(g.Baseline, 0.99))},
		{"failover-gap-max" + suffix, milliseconds(quantile(g.Gaps, 1)), "ms", milliseconds(quantile(g.Baseline, 1))},
		{"unknown-outcomes-per-failover" + suffix, fmt.Sprintf("%.2f", float64(g.Unknown)/float64(n)), "requests", "-"},
		{"not-run-per-failover" + suffix, fmt.Sprintf("%.2f", float64(g.NotRun)/float64(n)), "requests", "-"},
		{"failovers-with-more-than-one-term" + suffix, fmt.Sprint(g.MultipleTermRuns), "of-" + fmt.Sprint(n), "-"},
		{"failover-violations" + suffix, fmt.Sprint(len(g.Violations)), "violations", "-"},
	}
	for c, k := range g.RefusalCounts {
		out = append(out, Figure{"failover-refusals" + suffix + "/" + c, fmt.Sprint(k), "requests", "-"})
	}
	return out
}
