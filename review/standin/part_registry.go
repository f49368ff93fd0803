package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// The case "part-registry": after all instances were killed while the store was down, an owner
// promotes the one replica that it knows of, which has received nothing for seconds.
//
// What a caller sees: writes that were acknowledged are gone. A replica receives nothing for a
// while, so that only the other one acknowledges commits. All instances are killed and start again
// while the store is down and the members' entries expire. The store returns, and the members write
// their entries again within two seconds, the complete replica last. Before that the primary
// crashes, and the new owner takes the replica that it knows of for all that there are.
const (
	deafCrash  = 6500 * time.Millisecond // replica_lag: 6.5 s, and the primary may crash meanwhile
	crashFor   = 3 * time.Second         // srv_crash: 7 s in the site file
	killedFor  = 940 * time.Millisecond  // kill_all: down_s 0.94
	storeDown  = 3800 * time.Millisecond // platform_down: 4.5 s, with lapse
	strikes    = 4
	afterwards = 8 * time.Second
)

func init() { cases["part-registry"] = partRegistry }

func partRegistry(b *Bench, trouble bool) int {
	zones := []string{"perth-osborne", "pilbara-karratha", "sw-bunbury"}
	b.Zones = map[string]string{zones[0]: "perth", zones[1]: "pilbara", zones[2]: "southwest"}
	g := b.Setup(zones, func(x, y string) time.Duration {
		if x == y {
			return 100 * time.Microsecond
		}
		return 12 * time.Millisecond
	})
	if g == nil {
		return 2
	}
	var mu sync.Mutex
	confirmed := map[string]bool{}
	var refusals atomic.Int64
	stop := make(chan struct{})
	writers := b.Writers(4, "ledger-db", 20*time.Millisecond, stop, func(id string) {
		mu.Lock()
		confirmed[id] = true
		mu.Unlock()
	}, func(Result) { refusals.Add(1) })
	time.Sleep(3 * time.Second)
	for n := 0; n < strikes && g.lostCount() == 0; n++ {
		if !trouble {
			time.Sleep(10 * time.Second)
			continue
		}
		if !b.strikeRegistry(g) {
			b.Log("the group has no primary and two replicas")
			return 2
		}
		time.Sleep(afterwards)
	}
	close(stop)
	writers.Wait()
	mu.Lock()
	defer mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := 0
	for id := range confirmed {
		if m := g.lost[id]; m != "" {
			lost++
			b.Log("LOST: the write %s was acknowledged to its client; %s was promoted without it", id, m)
		}
	}
	b.Log("%d writes acknowledged to clients, %d refused or without an answer, %d acknowledged ones lost", len(confirmed), refusals.Load(), lost)
	if lost > 0 {
		return 1
	}
	return 0
}

// strikeRegistry throws the disruptions of the case once.
func (b *Bench) strikeRegistry(g *Group) bool {
	var primary, deaf, other *Member
	g.mu.Lock()
	for _, m := range g.members {
		switch {
		case !m.alive:
		case m.primary:
			primary = m
		case deaf == nil:
			deaf = m
		default:
			other = m
		}
	}
	if primary == nil || deaf == nil || other == nil {
		g.mu.Unlock()
		return false
	}
	deaf.deaf = true
	primary.returnDelay, deaf.returnDelay, other.returnDelay = 100*time.Millisecond, 200*time.Millisecond, 1900*time.Millisecond
	g.mu.Unlock()
	b.Log("disruption: the replica %s receives nothing for %v; primary is %s", deaf.ID, deafCrash, primary.ID)
	time.AfterFunc(deafCrash, func() {
		deaf.SetDeaf(false)
		b.Log("the replica %s receives again", deaf.ID)
	})
	time.Sleep(500 * time.Millisecond)
	b.Log("disruption: all instances are killed")
	b.KillAll()
	b.Log("disruption: the store is down for %v", storeDown)
	b.Store.SetDown(true)
	back := time.Now().Add(storeDown)
	time.Sleep(killedFor)
	b.Log("all instances start again")
	for _, e := range b.Edges {
		e.Start(false)
	}
	time.Sleep(time.Until(back))
	b.Store.SetDown(false)
	b.Log("the store is back")
	time.Sleep(400 * time.Millisecond)
	b.Log("disruption: the primary %s crashes for %v; entries in the store: %v", primary.ID, crashFor, b.Store.Keys("servers/"))
	primary.Crash(crashFor)
	time.Sleep(deafCrash - storeDown)
	return true
}
