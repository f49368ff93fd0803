package launcher_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/shoenig/test/must"
)

// configureCustomers publishes a configuration with customers whose limits are high.
func (f *fleet) configureCustomers(n int) {
	for n := range n {
		f.customers = append(f.customers, platformer.Customer{Name: fmt.Sprint("c", n), Keys: []string{customerKey(n)}, PerSecond: 1000, Burst: 1000})
	}
	f.configure()
}

// replayRestart restarts 24 instances within 0.1 s, the first one only after late. In the 0.4 s after
// each one's start, callers connect to it at even intervals and send one write, which must succeed.
func replayRestart(t *testing.T, callersEach int, late time.Duration) {
	const instances = 24
	runFleet(t, func(f *fleet) {
		f.configureCustomers(16)
		start := func(n int) *instance { return f.start(fmt.Sprintf("10.5.0.%d", n+1), string(rune('a'+n%3))) }
		var all []*instance
		for n := range instances {
			all = append(all, start(n))
		}
		time.Sleep(8 * time.Second)
		for _, i := range all {
			f.net.Kill(i.host.IP)
			i.kill()
		}
		time.Sleep(time.Second)
		var mutex sync.Mutex
		var waits []time.Duration
		var callers sync.WaitGroup
		for n, i := range all {
			callers.Go(func() {
				time.Sleep(time.Duration(n*100/instances) * time.Millisecond)
				if n == 0 {
					time.Sleep(late)
				}
				f.net.Revive(i.host.IP)
				start(n)
				for k := range callersEach {
					time.Sleep(400 * time.Millisecond / time.Duration(callersEach))
					callers.Go(func() {
						begin := time.Now()
						must.Eq(f.t, "I", f.openSessionWithKey(i, "strict", customerKey((n+k)%16))("PUT k v"))
						mutex.Lock()
						defer mutex.Unlock()
						waits = append(waits, time.Since(begin))
					})
				}
			})
		}
		callers.Wait()
		slices.Sort(waits)
		f.t.Log("first statements:", len(waits), "served, median", waits[len(waits)/2], "longest", waits[len(waits)-1])
	})
}

// Sessions that arrive in the first 0.4 s after a restart of all instances must be served although
// no instance knows the configuration yet.
func TestSessionsDuringRestartOfAll(t *testing.T) { replayRestart(t, 8, 0) }

// An instance that holds connections for others, or reads the store for them, starts later than they
// do: their callers must be served nevertheless.
func TestSessionsWhileOneInstanceStartsLate(t *testing.T) { replayRestart(t, 8, 300*time.Millisecond) }

// More requests wait at a holder than it serves within one attempt of their instances: none must lose
// its place to later ones until its time is over.
func TestBacklogDuringRestartOfAll(t *testing.T) { replayRestart(t, 16, 0) }
