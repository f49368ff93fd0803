package measurer_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/measurer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

var (
	measureAll = flag.Bool("measure", false, "run all measurements (make measure)")
	seeds      = flag.Uint64("seeds", 12, "number of seeds per failover")
)

type deployment struct {
	name     string
	plan     func() stager.Plan
	workload measurer.Workload
}

var (
	deployments = []deployment{
		{"keyhold", stager.KeyholdPlan, measurer.KeyholdWorkload()},
		{"kellerman", stager.KellermanPlan, measurer.KellermanWorkload()},
	}

	printMutex sync.Mutex
)

func printFigures(figures []measurer.Figure) {
	printMutex.Lock()
	defer printMutex.Unlock()
	for _, f := range figures {
		fmt.Println("measure", f)
	}
}

// runInBubble runs f as a parallel subtest on virtual time.
func runInBubble(t *testing.T, name string, f func(t *testing.T, ctx context.Context)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			f(t, ctx)
		})
	})
}

// maxReadP99 is well below the 1 s wait of a read that blocks on its own session.
const maxReadP99 = 300 * time.Millisecond

// maxGap is the target failover gap by failure.
var maxGap = map[string]time.Duration{
	"crash": 2 * time.Second, "freeze": 4 * time.Second, "cut": 4 * time.Second, "planned": 200 * time.Millisecond,
}

// Checks the share of reads served by replicas for each lag model; without -measure, for
// the long-tailed one only.
func TestReadShares(t *testing.T) {
	for _, d := range deployments {
		for _, l := range measurer.LagModels() {
			if !*measureAll && l.Name != "long-tailed" {
				continue
			}
			runInBubble(t, d.name+"/"+l.Name, func(t *testing.T, ctx context.Context) {
				p := d.plan()
				p.Seed = 1
				s, err := measurer.MeasureReadShares(ctx, p, d.workload, l)
				must.NoError(t, err)
				printFigures(s.Figures(d.name, l.Name))
				if l.Name != "stuck" { // below the target: see docs/MEASURES.md
					must.GreaterEq(t, 95, 100*s.ServedByReplicas/s.StaleAllowed)
					must.GreaterEq(t, 85, 100*s.ServedByReplicas/s.Reads)
				}
				must.LessEq(t, maxReadP99, s.P99())
			})
		}
	}
}

// Checks failover gaps over failures, seeds and the store up or down.
func TestFailoverGaps(t *testing.T) {
	n := *seeds
	if !*measureAll {
		n = 1
	}
	for _, d := range deployments {
		for _, failure := range measurer.Failures() {
			for _, store := range []string{"up", "down"} {
				if !*measureAll && (store == "down" || d.name != "keyhold") {
					continue
				}
				runFailovers(t, d, failure, store, n)
			}
		}
	}
}

// runFailovers runs the seeds in sequence, each in its own synctest bubble.
func runFailovers(t *testing.T, d deployment, failure measurer.Failure, store string, n uint64) {
	t.Run(d.name+"/"+failure.Name+"/store-"+store, func(t *testing.T) {
		t.Parallel()
		g := &measurer.FailoverResults{}
		for seed := range n {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				p := d.plan()
				p.Seed = seed + 1
				must.NoError(t, g.Run(ctx, p, failure, store == "down"))
			})
		}
		printFigures(g.Figures(d.name, failure.Name, store))
		for _, gap := range g.Gaps {
			must.LessEq(t, maxGap[failure.Name], gap)
		}
		must.True(t, failure.Name != "planned" || g.NotRun+g.Unknown == 0)
		for _, v := range g.Violations {
			t.Error(v)
		}
	})
}
