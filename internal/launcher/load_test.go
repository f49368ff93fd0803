package launcher_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/shoenig/test/must"
)

const smallCores, largeCores = 0.3, 0.8

// smallHolderNetwork returns addresses 10.5.N for which the small first instance of zone a is the first
// holder of the primary's connections.
func smallHolderNetwork(t *testing.T) string {
	for n := range 200 {
		network := fmt.Sprintf("10.5.%d", n)
		var candidates []concentrator.Candidate
		for i, cores := range map[int]float64{1: smallCores, 4: largeCores, 7: largeCores} {
			candidates = append(candidates, concentrator.Candidate{Name: fmt.Sprintf("entry-%s.%d", network, i), Millicores: int(1000 * cores)})
		}
		if concentrator.RankHolders("g-1", candidates)[0] == "entry-"+network+".1" {
			return network
		}
	}
	t.Fatal("no network found")
	return ""
}

// runLoadedFleet runs a scenario with 20 customers and three instances in each zone, which use a
// tenth of their processors. The first one is small and holds the primary's connections. setLoad sets
// the used part of its processor.
func runLoadedFleet(t *testing.T, scenario func(f *fleet, all []*instance, setLoad func(load float64))) {
	t.Helper()
	network := smallHolderNetwork(t)
	small := network + ".1"
	runFleet(t, func(f *fleet) {
		for n := range 20 {
			f.customers = append(f.customers, platformer.Customer{Name: fmt.Sprint("c", n), Keys: []string{customerKey(n)}, PerSecond: 1000, Burst: 1000})
		}
		f.configure()
		var mutex sync.Mutex
		type usage struct {
			load float64
			used time.Duration
			at   time.Time
		}
		processors := map[string]*usage{}
		f.cores = func(ip string) float64 {
			if ip == small {
				return smallCores
			}
			return largeCores
		}
		account := func(ip string) *usage {
			u, ok := processors[ip]
			if !ok {
				u = &usage{load: 0.1, at: time.Now()}
				processors[ip] = u
			}
			u.used += time.Duration(f.cores(ip) * u.load * float64(time.Since(u.at)))
			u.at = time.Now()
			return u
		}
		f.processorTime = func(ip string) time.Duration {
			mutex.Lock()
			defer mutex.Unlock()
			return account(ip).used
		}
		var all []*instance
		for n := range 9 {
			all = append(all, f.start(fmt.Sprintf("%s.%d", network, n+1), []string{"a", "b", "c"}[n%3]))
		}
		time.Sleep(8 * time.Second)
		scenario(f, all, func(load float64) {
			mutex.Lock()
			defer mutex.Unlock()
			account(small).load = load
		})
	})
}

// primaryHolder returns the address of the instance that holds the connections to the primary.
func (f *fleet) primaryHolder(all []*instance) (ip string) {
	for _, i := range all {
		if f.metric(i, "oriolegw_entry_connections") > 2 {
			ip = i.host.IP
		}
	}
	return ip
}

// A holder near its CPU limit must hand over its connections without failed statements, the new
// holder must reuse connections, and the first one must take them back when the new one dies.
func TestLoadedHolderHandsOver(t *testing.T) {
	runLoadedFleet(t, func(f *fleet, all []*instance, setLoad func(load float64)) {
		send := func(duration time.Duration) {
			var sending sync.WaitGroup
			for n := range 6 {
				sending.Go(func() {
					must.Eq(f.t, map[string]int{"I": int(duration.Seconds()) * 10}, f.sendWrites(all, n, 10, duration))
				})
			}
			sending.Wait()
		}
		send(4 * time.Second)
		holder := f.primaryHolder(all)
		must.Eq(f.t, all[0].host.IP, holder)
		setLoad(0.58)
		send(8 * time.Second)
		must.StrContains(f.t, f.log.String(), "event=connections-moved member=g-1 outcome=handed-over")
		next := f.primaryHolder(all)
		must.NotEq(f.t, holder, next)
		opened := f.group.AcceptedConnections("g-1")
		send(4 * time.Second)
		must.LessEq(f.t, 60, f.group.AcceptedConnections("g-1")-opened) // of 240 statements
		must.Eq(f.t, 1, strings.Count(f.log.String(), "event=connections-moved"))
		// The new holder dies.
		for _, i := range all {
			if i.host.IP == next {
				f.net.Kill(next)
				i.kill()
			}
		}
		time.Sleep(6 * time.Second)
		must.StrContains(f.t, f.log.String(), "event=connections-moved member=g-1 outcome=taken-back")
		must.Eq(f.t, "I", f.openSessionWithKey(all[1], "strict", customerKey(3))("PUT c3-x v"))
	})
}
