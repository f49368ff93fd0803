package elector_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against commits that are acknowledged while an order that was to fence off an earlier one, and got
// no response, may still be executed: it names the old primary, which then replaces the ordered member.
func TestFencingOrderIsExecutedLate(t *testing.T) {
	for late := 500 * time.Millisecond; late <= 3*time.Second; late += 250 * time.Millisecond {
		t.Run(fmt.Sprint("executed after ", late), func(t *testing.T) {
			t.Parallel()
			runScenario(t, func(_ *testing.T, h *harness) {
				p := &pendingOrder{harness: h}
				h.group.MaxConnections = 10000
				h.group.SetMayAcknowledge(h.leases.valid)
				fencing := 0
				h.mutex.Lock()
				h.peersUnreachable = true
				h.delayOrder = func(member string) time.Duration {
					h.mutex.Lock()
					defer h.mutex.Unlock()
					switch {
					case p.ordered == "" || member == p.ordered:
						p.ordered = member
						return 4200 * time.Millisecond
					case member == "g-1" && fencing < 2:
						fencing++
						return late
					}
					return 0
				}
				h.mutex.Unlock()
				time.Sleep(2 * time.Second)
				sent := p.notifyOn("promotion-ordered")
				p.partitionFromOwner("g-1")
				<-sent
				time.Sleep(500 * time.Millisecond)
				p.note("reachable again", "g-1")
				h.net.HealAll()
				p.note("receives nothing", "g-1")
				p.group.BlockReplication("g-1", "g-2", "g-3")
				time.Sleep(late + 9*time.Second)
			})
		})
	}
}
