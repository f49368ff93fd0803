package elector_test

import (
	"fmt"
	"testing"
	"time"
)

// A replica that holds the only copies of commits restarts while no owner looks, and the next owner doesn't
// reach the primary. The recorded state doesn't tell that the replica isn't the one it names.
func TestReplicaRestartsBetweenOwners(t *testing.T) {
	for _, another := range []bool{false, true} {
		t.Run(fmt.Sprint("another owner: ", another), func(t *testing.T) {
			runScenario(t, func(_ *testing.T, h *harness) {
				h.group.SetMayAcknowledge(h.leases.valid)
				h.mutex.Lock()
				h.peersUnreachable = true
				h.mutex.Unlock()
				time.Sleep(2 * time.Second)
				h.group.BlockReplication("g-3", "g-1")
				time.Sleep(time.Second)
				if another {
					h.stop()
					<-h.done
				}
				h.group.BlockReplication("g-2", "g-1")
				h.group.Restart("g-2")
				p := &pendingOrder{harness: h}
				p.partitionFromOwner("g-1")
				if another {
					time.Sleep(500 * time.Millisecond)
					h.startSupervisor(h.ctx)
				}
				time.Sleep(8 * time.Second)
			})
		})
	}
}
