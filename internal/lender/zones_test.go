package lender_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/shoenig/test/must"
)

// replayZones sends the statements of customers through the holders of six zones, whose demand
// swings by 55% within 15 s, one zone after the other, to one member with 66 connections.
func replayZones(t *testing.T, customers int, perSecond float64, duration time.Duration) (r limitsReplay) {
	const zones = 6
	group := &groupsimulator.Group{MaxConnections: 66, Slots: 6, MaxQueued: 64, HandshakeTime: 12 * time.Millisecond}
	runSharedPools(t, group, zones, zones, func(t *testing.T, s *testGroup) {
		var mutex sync.Mutex
		var running sync.WaitGroup
		begin := time.Now()
		before := 0
		for zone, p := range s.pools {
			p.Configure(66, directory(customers))
			running.Go(func() {
				random := rand.New(rand.NewPCG(1, uint64(zone)))
				var sending sync.WaitGroup
				for time.Since(begin) < duration {
					rate := 0.45 * perSecond / zones
					if int(time.Since(begin)/(15*time.Second))%zones == zone {
						rate = 0.55 * perSecond
					}
					counted := time.Since(begin) > duration/4
					customer, class := name(skewed(random, customers, 1)), random.IntN(3)
					sending.Go(func() {
						wait, err := runClassStatement(t, p, customer, class)
						mutex.Lock()
						defer mutex.Unlock()
						switch {
						case !counted:
						case err != nil:
							r.failed++
						default:
							r.served++
							r.waits = append(r.waits, wait)
						}
					})
					time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				}
				sending.Wait()
			})
		}
		time.Sleep(duration / 4)
		for _, p := range s.pools {
			_, _, _, n := p.Stats()
			before += n
		}
		running.Wait()
		for _, p := range s.pools {
			_, _, _, n := p.Stats()
			r.opened += n
		}
		r.opened -= before
		r.refused = int(s.refused.Load())
		slices.Sort(r.waits)
	})
	return r
}

// Guards against openings beyond a member's limit, and against openings for most statements, while the
// demand of the zones that share its connections swings.
func TestHoldersOfSwingingZones(t *testing.T) {
	for _, customers := range []int{4, 11} {
		t.Run(fmt.Sprint(customers), func(t *testing.T) {
			r := replayZones(t, customers, 200, 60*time.Second)
			t.Log(r)
			must.Eq(t, 0, r.refused)
			must.Eq(t, 0, r.failed)
			must.Less(t, 0.2, float64(r.opened)/float64(r.served))
		})
	}
}
