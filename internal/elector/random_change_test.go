package elector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

const (
	// randomSeeds is the number of orders of events that CI plays.
	randomSeeds = 150
	// settleTime lets a group recover after its faults have ended.
	settleTime = 6 * time.Second
	// maxRegistrationDelay is how long a member that joins may be missing in the registry. Its first
	// commits are acknowledged earlier.
	maxRegistrationDelay = 150 * time.Millisecond
)

// randomEvents draws events of one group. A primary that the owner alone can't reach is not drawn.
type randomEvents struct {
	*harness
	rng    *rand.Rand
	joined int
	heal   []func()
}

// Guards against losing an acknowledged commit in orders of events that no fixed case plays: members
// join unseen, replicas receive nothing, the primary leaves or crashes, orders are executed late,
// owners follow each other, and the registry can't be read.
func TestRandomChanges(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, func(_ *testing.T, h *harness) {
				e := &randomEvents{harness: h, rng: rand.New(rand.NewPCG(seed, 0))}
				e.pause(time.Second)
				for range 1 + e.rng.IntN(3) {
					switch e.rng.IntN(3) {
					case 0:
						e.cutAndJoin()
					case 1:
						e.lateOrder()
					default:
						e.primaryFails()
						e.pause(2 * time.Second)
					}
				}
				for _, heal := range e.heal {
					heal()
				}
				time.Sleep(settleTime)
			})
		})
	}
}

// cutAndJoin lets replicas receive nothing and a member join that is not registered yet, in the
// course of which the primary may fail.
func (e *randomEvents) cutAndJoin() {
	leader := e.leader()
	e.note("cut from its replicas", leader)
	for _, id := range []string{"g-1", "g-2", "g-3"} {
		e.block(id, leader, 5*time.Second)
	}
	if e.rng.IntN(3) == 0 {
		e.note("registry unreadable", "")
		e.setRegistryError(errors.New("store unreachable"))
		e.until(3*time.Second, func() { e.setRegistryError(nil) })
	}
	e.pause(1500 * time.Millisecond)
	e.joined++
	id, ip := fmt.Sprint("g-", 3+e.joined), fmt.Sprint("10.9.1.", 3+e.joined)
	e.note("joins", id)
	e.setUnregistered(id, true)
	e.setUnseen(id, true)
	e.group.Join(id, "a", ip)
	e.until(maxRegistrationDelay, func() { e.setUnregistered(id, false) })
	e.until(2*time.Second, func() { e.setUnseen(id, false) })
	e.pause(400 * time.Millisecond)
	if e.rng.IntN(3) > 0 {
		e.primaryFails()
	}
	e.pause(3 * time.Second)
}

// lateOrder lets the primary crash, an order to promote be executed late, the primary come back, and
// the member that the order names receive nothing.
func (e *randomEvents) lateOrder() {
	leader := e.leader()
	if leader == "" {
		return
	}
	delay := 2*time.Second + time.Duration(e.rng.Int64N(int64(4*time.Second)))
	ordered := make(chan string, 64)
	e.setOrderDelay(func(member string) time.Duration {
		ordered <- member
		return delay
	})
	e.note("crashes, orders are late", leader)
	e.group.Crash(leader)
	var named string
	select {
	case named = <-ordered:
	case <-time.After(3 * time.Second):
	}
	e.pause(200 * time.Millisecond)
	e.setOrderDelay(nil)
	if e.rng.IntN(2) == 0 {
		e.note("another owner", "")
		e.replaceSupervisor()
	}
	e.note("recovers", leader)
	e.group.Recover(leader)
	time.Sleep(500 * time.Millisecond)
	if named != "" {
		e.block(named, leader, 6*time.Second)
	}
	time.Sleep(delay)
}

// primaryFails lets the primary crash for a while, or leave.
func (e *randomEvents) primaryFails() {
	leader := e.leader()
	switch {
	case leader == "":
	case e.rng.IntN(2) == 0:
		e.note("crashes", leader)
		e.group.Crash(leader)
		e.until(4*time.Second, func() { e.group.Recover(leader) })
	default:
		e.note("leaves", leader)
		e.group.MarkLeaving(leader)
		e.until(4*time.Second, func() { e.group.CancelLeaving(leader) })
	}
}

// block keeps a member from receiving from another for up to a given time.
func (e *randomEvents) block(id, source string, most time.Duration) {
	e.group.BlockReplication(id, source)
	e.until(most, func() { e.group.UnblockReplication(id) })
}

// until ends a fault after up to a given time, and at the latest when the events are over.
func (e *randomEvents) until(most time.Duration, end func()) {
	e.heal = append(e.heal, end)
	time.AfterFunc(time.Duration(e.rng.Int64N(int64(most))), end)
}

func (e *randomEvents) pause(most time.Duration) {
	time.Sleep(time.Duration(e.rng.Int64N(int64(most))))
}

func (e *randomEvents) note(event, member string) { e.log("event", "FAULT", event, member) }

func (e *randomEvents) setOrderDelay(f func(member string) time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.delayOrder = f
}
