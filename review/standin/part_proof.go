package main

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"
)

// The case "part-proof": the disruptions of "part-registry", seen by readers. Instances that know
// one replica only, and get no answer from the primary, take the log of that replica for a proof
// of what was acknowledged.
//
// What a caller sees: a read whose route allows 1.5 s of age lacks a commit that was acknowledged
// several seconds before the read was sent.
const (
	maxStale = 1500 * time.Millisecond // max_staleness_ms of the route
	readers  = 18
)

func init() { cases["part-proof"] = partProof }

func partProof(b *Bench, trouble bool) int {
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
	confirmed := map[string]time.Time{} // when the client got the success
	sent := map[string]time.Time{}      // when the first byte of a read was about to be sent
	lacked := map[string]string{}       // reads that ran without an old enough commit
	g.OnRead = func(m *Member, id string) {
		mu.Lock()
		defer mu.Unlock()
		at, ok := sent[id]
		if !ok {
			return
		}
		has := make(map[string]bool, len(m.log))
		for _, e := range m.log {
			has[e.id] = true
		}
		for c, acked := range confirmed {
			// A commit that a promote rolled back doesn't count.
			if acked.Before(at.Add(-maxStale)) && !has[c] && g.lost[c] == "" {
				lacked[id] = fmt.Sprintf("read %s ran at %s, whose log stood at %s and lacked the write %s, which was acknowledged %d ms before the read was sent",
					id, m.ID, m.position(), c, at.Sub(acked).Milliseconds())
				return
			}
		}
	}
	stop := make(chan struct{})
	var refusals, reads, stale atomic.Int64
	writers := b.Writers(4, "ledger-db", 20*time.Millisecond, stop, func(id string) {
		mu.Lock()
		confirmed[id] = time.Now()
		mu.Unlock()
	}, func(Result) { refusals.Add(1) })
	reading := b.Readers(readers, "ledger-bnd", stop, func(id string) {
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
	}, func(r Result) {
		mu.Lock()
		defer mu.Unlock()
		if r.Code == "" {
			reads.Add(1)
			if why := lacked[r.ID]; why != "" {
				if stale.Add(1) <= 50 {
					b.Log("STALE: %s", why)
				}
			}
		}
		delete(sent, r.ID)
		delete(lacked, r.ID)
	})
	time.Sleep(3 * time.Second)
	for n := 0; n < strikes && stale.Load() == 0; n++ {
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
	reading.Wait()
	b.Log("%d writes acknowledged, %d reads answered, %d writes refused or without an answer, %d stale reads", len(confirmed), reads.Load(), refusals.Load(), stale.Load())
	if stale.Load() > 0 {
		return 1
	}
	return 0
}

// Readers keeps sessions that read one item after the other.
func (b *Bench) Readers(n int, database string, stop chan struct{}, sending func(id string), done func(r Result)) *sync.WaitGroup {
	var w sync.WaitGroup
	for k := range n {
		w.Go(func() {
			r := rand.New(rand.NewSource(int64(1000 + k)))
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := Dial(b.Edges[k%len(b.Edges)].Callers, database)
				if err != nil {
					time.Sleep(30 * time.Millisecond)
					continue
				}
				c.Sending = sending
				for cut := false; !cut; {
					select {
					case <-stop:
						cut = true
						continue
					default:
					}
					x := c.Do(fmt.Sprintf("FETCH %x", r.Intn(2000)))
					done(x)
					cut = x.Code == "CUT"
					time.Sleep(40 * time.Millisecond)
				}
				c.Close()
			}
		})
	}
	return &w
}
