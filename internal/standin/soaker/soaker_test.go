package soaker_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/soaker"
)

var (
	seedCount        = flag.Int("seeds", 3, "number of seeds to run")
	instancesPerZone = flag.Int("per-zone", 0, "number of instances in each zone; 0 means 1")
	connectionBudget = flag.Int("connections", 0, "connection budget of the group; 0 means 60")
	firstSeed        = flag.Uint64("from", 1, "first seed")
)

// TestSoak injects random faults while clients write, increment counters, run
// transactions, read their own rows and reconnect, and checks the guarantees afterwards.
func TestSoak(t *testing.T) {
	violations := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
				defer cancel()
				r, err := (&soaker.Soak{Seed: seed, InstancesPerZone: *instancesPerZone, ConnectionBudget: *connectionBudget}).Run(ctx)
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				t.Log(r)
				for _, v := range r.Violations {
					violations[v.Guarantee]++
					t.Errorf("seed %d: %s: %s (repeat: make soak SEEDS=1 FROM=%d)", seed, v.Guarantee, v.Detail, seed)
				}
			})
		})
	}
	t.Logf("%d seeds from %d, violations by guarantee: %v", *seedCount, *firstSeed, violations)
}
