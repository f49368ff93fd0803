package launcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

// runThreeInstances runs a scenario with three instances, of which the first owns the group.
func runThreeInstances(t *testing.T, scenario func(f *fleet, all []*instance)) {
	t.Helper()
	runFleet(t, func(f *fleet) {
		all := []*instance{f.start("10.5.0.1", "a")}
		time.Sleep(3 * time.Second)
		all = append(all, f.start("10.5.0.2", "b"), f.start("10.5.0.3", "c"))
		time.Sleep(4 * time.Second)
		must.StrHasPrefix(f.t, "entry-10.5.0.1-", f.groupOwner())
		scenario(f, all)
	})
}

// mustWriteThrough writes through instances for a time. Each write must be acknowledged.
func mustWriteThrough(f *fleet, instances []*instance, during time.Duration) {
	f.t.Helper()
	begin := time.Now()
	for n := 0; time.Since(begin) < during; n++ {
		for i, x := range instances {
			must.Eq(f.t, "I", f.openSession(x, "strict")(fmt.Sprintf("PUT k%d v%d", i, n)), must.Sprintf("write %d through %d after %v", n, i, time.Since(begin)))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against refusing writes while the store is down for everybody: nobody can replace the primary
// then.
func TestWritesDuringStoreOutage(t *testing.T) {
	runThreeInstances(t, func(f *fleet, all []*instance) {
		mustWriteThrough(f, all, time.Second)
		f.store.SetFaults(func(x *storer.Faults) { x.Down = true })
		mustWriteThrough(f, all, 20*time.Second)
		f.store.SetFaults(func(x *storer.Faults) { x.Down = false })
		mustWriteThrough(f, all, 8*time.Second)
	})
}

// Guards against refusing writes when the group's owner has ended and before another instance takes over.
func TestWritesWithoutOwner(t *testing.T) {
	runThreeInstances(t, func(f *fleet, all []*instance) {
		mustWriteThrough(f, all, time.Second)
		f.net.Kill("10.5.0.1")
		all[0].kill()
		mustWriteThrough(f, all[1:], 8*time.Second)
		must.NotEq(f.t, "", f.groupOwner())
	})
}
