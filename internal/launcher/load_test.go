package launcher_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// smallHolder is an instance with 0.3 cores in zone a that is the first holder of the connections to
// g-1, although the other two there have 0.8.
const smallHolder = "10.5.9.1"

// A holder near its CPU limit must hand over its connections without failed statements, the new
// holder must reuse connections, and the first one must take them back when the new one dies.
func TestLoadedHolderHandsOver(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.configureCustomers(20)
		f.cores = func(ip string) float64 {
			if ip == smallHolder {
				return 0.3
			}
			return 0.8
		}
		var used atomic.Int64 // by the small instance
		start := time.Now()
		f.processorTime = func(ip string) time.Duration {
			if ip == smallHolder {
				return time.Duration(used.Load())
			}
			return time.Since(start) / 10
		}
		var all []*instance
		for n := range 9 {
			all = append(all, f.start(fmt.Sprintf("10.5.9.%d", n+1), string(rune('a'+n%3))))
		}
		time.Sleep(8 * time.Second)
		send := func(seconds int, load float64) {
			var sending sync.WaitGroup
			for n := range 6 {
				sending.Go(func() {
					must.Eq(f.t, map[string]int{"I": seconds * 10}, f.sendWrites(all, n, 10, time.Duration(seconds)*time.Second))
				})
			}
			for range 20 * seconds {
				used.Add(int64(0.3 * load * float64(50*time.Millisecond)))
				time.Sleep(50 * time.Millisecond)
			}
			sending.Wait()
		}
		holder := func() (i *instance) {
			for _, x := range all {
				if f.metric(x, "oriolegw_entry_connections") > 2 {
					i = x
				}
			}
			return i
		}
		send(4, 0.1)
		must.Eq(f.t, smallHolder, holder().host.IP)
		send(8, 0.58)
		must.StrContains(f.t, f.log.String(), "event=connections-moved member=g-1 outcome=handed-over")
		next := holder()
		must.NotEq(f.t, smallHolder, next.host.IP)
		opened := f.group.AcceptedConnections("g-1")
		send(4, 0.3)
		must.LessEq(f.t, 60, f.group.AcceptedConnections("g-1")-opened) // of 240 statements
		must.Eq(f.t, 1, strings.Count(f.log.String(), "event=connections-moved"))
		f.net.Kill(next.host.IP)
		next.kill()
		time.Sleep(6 * time.Second)
		must.StrContains(f.t, f.log.String(), "event=connections-moved member=g-1 outcome=taken-back")
		must.Eq(f.t, "I", f.openSessionWithKey(all[1], "strict", customerKey(3))("PUT c3-x v"))
	})
}
