package failer_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/failer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

// The primary dies. One replica has received all of its log and is far behind in
// replaying it, which it must make up for before it takes writes; the other is up
// to date. Callers wait for whichever is promoted. They are held up for a moment
// before the crash, so that both replicas have received the same: of two that
// differ the newer one must be taken, whatever it has to replay.
func TestReplayBacklog(t *testing.T) {
	r := play(t, failer.Scenario{
		Plan:   stager.Plan{PerZone: 3},
		Before: func(f *stager.Fleet) { f.Members[1].Faults.SetReplayLag(900 * time.Millisecond) },
		Fault: func(f *stager.Fleet, p *stager.Target) {
			for _, z := range f.Plan.Zones {
				f.Net.Cut("callers", z)
			}
			time.Sleep(50 * time.Millisecond)
			f.Net.HealAll()
			failer.Crash(f, p)
		},
		Heal:    restart,
		Callers: 2,
	})
	must.Eq(t, 1, r.Terms)
	must.LessEq(t, 600*time.Millisecond, r.Gap)
}
