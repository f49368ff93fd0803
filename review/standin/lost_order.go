package main

import (
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The case "lost-order": an order to promote gets no answer, all instances lose power, and the
// platform carries the order out after they have come back.
//
// What a caller sees: writes that were acknowledged are gone. The primary crashes for a moment.
// The owner of the group orders a promotion, which gets no answer. All instances are killed. The
// primary comes back with its log and leads on, the instances come back, and writes are
// acknowledged. Then the platform carries the order out: the named replica, which has received
// nothing for a few seconds, leads with what it had received.
const (
	powerOff     = 2400 * time.Millisecond // herd_kill: 2.43 s is the longest of the site files
	primaryCrash = 2 * time.Second         // srv_crash: 7 s in the site file
	orderDelay   = 10 * time.Second        // applied_late: 2 to 12 s
	replicaDeaf  = 6 * time.Second         // replica_lag, deaf: 6 s in the site file
	lastStrike   = 70 * time.Second
)

func init() { cases["lost-order"] = lostOrder }

func lostOrder(b *Bench, trouble bool) int {
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
	time.Sleep(2 * time.Second)
	switch {
	case !trouble:
		time.Sleep(20 * time.Second)
	default:
		struck := false
		for time.Since(b.start) < lastStrike && g.lostCount() == 0 {
			struck = strike(b, g) || struck
		}
		if !struck {
			b.Log("no order was sent")
			return 2
		}
	}
	time.Sleep(3 * time.Second)
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

// strike throws the disruptions of the case once. With POWER=0 the instances keep their power.
func strike(b *Bench, g *Group) bool {
	p := g.Primary()
	if p == nil {
		time.Sleep(time.Second)
		return false
	}
	late := make(chan string, 16)
	b.Cloud.SetLate(func(_, id string) (time.Duration, bool) {
		late <- id
		return orderDelay, true
	})
	defer b.Cloud.SetLate(nil)
	b.Log("disruption: the primary %s crashes for %v", p.ID, primaryCrash)
	p.Crash(primaryCrash)
	var named *Member
	select {
	case id := <-late:
		named = g.Member(id)
	case <-time.After(6 * time.Second):
		return false
	}
	ordered := time.Now()
	time.Sleep(50 * time.Millisecond)
	b.Cloud.SetLate(nil)
	if os.Getenv("POWER") != "0" {
		b.Log("disruption: all instances lose power for %v", powerOff)
		b.KillAll()
		time.Sleep(powerOff)
		b.Log("all instances start again")
		for _, e := range b.Edges {
			e.Start(false)
		}
	}
	time.Sleep(time.Until(ordered.Add(orderDelay - replicaDeaf + 2*time.Second)))
	named.SetDeaf(true)
	b.Log("disruption: the replica %s receives nothing for %v", named.ID, replicaDeaf)
	time.Sleep(replicaDeaf)
	named.SetDeaf(false)
	b.Log("the replica %s receives again", named.ID)
	time.Sleep(2 * time.Second)
	return true
}
