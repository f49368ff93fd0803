package failer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/failer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

var (
	pairSeedCount = flag.Int("pair-seeds", 4, "number of seeds of fault pairs to run")
	firstPairSeed = flag.Uint64("pair-from", 1, "first seed of fault pairs")
)

// faultKind is a fault with random parameters; revert ends it.
type faultKind struct {
	name   string
	inject func(f *stager.Fleet, r *rand.Rand) (revert func())
}

// randomTarget returns the primary with at least even odds.
func randomTarget(f *stager.Fleet, r *rand.Rand) *stager.Target {
	if p := failer.Primary(f); p != nil && r.IntN(2) == 0 {
		return p
	}
	return f.Members[r.IntN(len(f.Members))]
}

func randomInstance(f *stager.Fleet, r *rand.Rand) *stager.Instance {
	return f.Instances[r.IntN(len(f.Instances))]
}

// partition partitions two hosts or zones and returns the function that heals the partition.
func partition(f *stager.Fleet, a, b string) func() {
	f.Network.Partition(a, b)
	return func() { f.Network.Heal(a, b) }
}

var faultKinds = []faultKind{
	{"kill-target", func(f *stager.Fleet, r *rand.Rand) func() {
		t := randomTarget(f, r)
		f.KillTarget(t)
		return func() { f.RestartTarget(t) }
	}},
	{"freeze-target", func(f *stager.Fleet, r *rand.Rand) func() {
		t := randomTarget(f, r)
		t.Faults.Freeze()
		return t.Faults.Unfreeze
	}},
	{"silence-target", func(f *stager.Fleet, r *rand.Rand) func() {
		randomTarget(f, r).BlackholeConnections()
		return func() {}
	}},
	{"lag-target", func(f *stager.Fleet, r *rand.Rand) func() {
		t := randomTarget(f, r)
		t.Faults.SetStreamLag(time.Duration(r.IntN(300)) * time.Millisecond)
		return func() { t.Faults.SetStreamLag(0) }
	}},
	{"lose-answer", func(f *stager.Fleet, r *rand.Rand) func() {
		randomTarget(f, r).Faults.DropNextResponse()
		return func() {}
	}},
	{"kill-instance", func(f *stager.Fleet, r *rand.Rand) func() {
		e := randomInstance(f, r)
		f.KillInstance(e)
		return func() { f.StartInstance(e) }
	}},
	{"cut-targets", func(f *stager.Fleet, r *rand.Rand) func() {
		i := r.IntN(len(f.Members))
		return partition(f, f.Members[i].IP, f.Members[(i+1)%len(f.Members)].IP)
	}},
	{"cut-target-from-instance", func(f *stager.Fleet, r *rand.Rand) func() {
		return partition(f, randomTarget(f, r).IP, randomInstance(f, r).IP)
	}},
	{"cut-one-way", func(f *stager.Fleet, r *rand.Rand) func() {
		a, b := randomTarget(f, r).IP, randomInstance(f, r).IP
		f.Network.PartitionOneWay(a, b)
		return func() { f.Network.Heal(a, b) }
	}},
	{"cut-zone", func(f *stager.Fleet, r *rand.Rand) func() {
		z := f.Plan.Zones[r.IntN(len(f.Plan.Zones))]
		var reverts []func()
		for _, o := range append([]string{"platform"}, f.Plan.Zones...) {
			if o != z {
				reverts = append(reverts, partition(f, z, o))
			}
		}
		return func() {
			for _, revert := range reverts {
				revert()
			}
		}
	}},
	{"store-down", func(f *stager.Fleet, _ *rand.Rand) func() {
		f.Store.SetFaults(func(s *storer.Faults) { s.Down = true })
		return func() { f.Store.SetFaults(func(s *storer.Faults) { s.Down = false }) }
	}},
	{"store-slow", func(f *stager.Fleet, r *rand.Rand) func() {
		d := time.Duration(r.IntN(2000)) * time.Millisecond
		f.Store.SetFaults(func(s *storer.Faults) { s.Latency = d })
		return func() { f.Store.SetFaults(func(s *storer.Faults) { s.Latency = 0 }) }
	}},
	{"store-loses-answers", func(f *stager.Fleet, _ *rand.Rand) func() {
		f.Store.SetFaults(func(s *storer.Faults) { s.LoseResponses = 3 })
		return func() {}
	}},
	{"primary-leaves", func(f *stager.Fleet, _ *rand.Rand) func() {
		if p := failer.Primary(f); p != nil {
			failer.AnnounceLeaving(f, p)
		}
		return func() {}
	}},
}

// TestFaultPairs verifies the guarantees and the recovery of the group after two random
// faults, of which the second starts during the first or right after it.
func TestFaultPairs(t *testing.T) {
	for n := range *pairSeedCount {
		seed := *firstPairSeed + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			var names []string
			var reverts []func()
			fault := func(f *stager.Fleet, _ *stager.Target) {
				for range 2 {
					kind := faultKinds[r.IntN(len(faultKinds))]
					names = append(names, kind.name)
					revert := kind.inject(f, r)
					wait := time.Duration(r.IntN(5000)) * time.Millisecond
					if r.IntN(2) == 0 {
						time.Sleep(wait)
						revert()
						continue
					}
					reverts = append(reverts, revert)
					time.Sleep(wait)
				}
			}
			heal := func(f *stager.Fleet, _ *stager.Target) {
				for _, revert := range reverts {
					revert()
				}
			}
			report := runScenario(t, failer.Scenario{Plan: stager.Plan{Seed: seed}, Inject: fault, Heal: heal, LoadAfterFault: 6 * time.Second, ClientsPerInstance: 2})
			t.Log(strings.Join(names, " + "))
			must.Positive(t, report.Acknowledged)
		})
	}
}
