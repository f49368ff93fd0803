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
	seeds = flag.Int("seeds", 3, "how many seeds to run")
	zone  = flag.Int("per-zone", 0, "how many instances each zone has; 0 is one")
	conns = flag.Int("connections", 0, "the group's budget; 0 is 60")
	from  = flag.Uint64("from", 1, "the first seed")
)

// Any two faults at once, or the same one twice, chosen by the seed, under
// callers that write, count, run transactions, read their own rows and roam.
// Afterwards the targets' records are compared with what callers were told.
func TestSoak(t *testing.T) {
	broken := map[string]int{}
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
				defer cancel()
				r, err := (&soaker.Soak{Seed: seed, PerZone: *zone, Connections: *conns}).Run(ctx)
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				t.Log(r)
				for _, v := range r.Violations {
					broken[v.Promise]++
					t.Errorf("seed %d: %s: %s (repeat: make soak SEEDS=1 FROM=%d)", seed, v.Promise, v.Detail, seed)
				}
			})
		})
	}
	t.Logf("%d seeds from %d, violations by promise: %v", *seeds, *from, broken)
}
