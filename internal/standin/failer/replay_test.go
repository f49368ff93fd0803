package failer_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/failer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

// TestReplayBacklog verifies that of two replicas with the same log the one without replay
// lag is promoted. Clients are partitioned before the crash so that both replicas
// receive the whole log.
func TestReplayBacklog(t *testing.T) {
	r := runScenario(t, failer.Scenario{
		Plan:    stager.Plan{InstancesPerZone: 3},
		Prepare: func(f *stager.Fleet) { f.Members[1].Faults.SetReplayLag(900 * time.Millisecond) },
		Inject: func(f *stager.Fleet, p *stager.Target) {
			for _, z := range f.Plan.Zones {
				f.Network.Partition("callers", z)
			}
			time.Sleep(50 * time.Millisecond)
			f.Network.HealAll()
			failer.Crash(f, p)
		},
		Heal:               restart,
		ClientsPerInstance: 2,
	})
	must.Eq(t, 1, r.TermIncrease)
	must.LessEq(t, 600*time.Millisecond, r.WriteGap)
}
