package elector_test

import (
	"context"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

// Guards against demoting a primary that comes back, and is to leave, while the change that began without
// it waits for the store and an order is pending: the member that the order names leads for a moment.
func TestNoDemotionAfterSlowStoreWhileOrderIsPending(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		h.group.Join("g-4", "a", "10.9.1.4")
		h.group.SetReplicationDelay("g-4", time.Millisecond)
		h.group.SetReplicationDelay("g-3", 30*time.Millisecond)
		time.Sleep(2 * time.Second)
		h.group.Crash("g-1")
		h.ownership.update(func() {
			h.ownership.delay = time.Second
			h.ownership.state.PromotionPending, h.ownership.state.Ordered = true, "g-2"
		})
		begins := h.notifyOn("move-begins")
		h.replaceSupervisor()
		<-begins
		// Leaving members are the last choice, so that the candidate is another one than the order names.
		for _, id := range []string{"g-1", "g-2", "g-4"} {
			h.group.MarkLeaving(id)
		}
		h.group.Recover("g-1")
		stepped := h.notifyOn("stepped-down")
		<-stepped
		_ = h.execute("g-2", 0)
		time.Sleep(4 * time.Second)
		id, term := h.group.Primary()
		must.Eq(t, "g-3", id)
		must.Eq(t, 2, term)
	})
}

// Guards against passing over a replica that has acknowledged commits of a primary reached only through
// the pool, and registers when that has been demoted and no known replica has caught up with it.
func TestReplicaRegistersAfterDemotion(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.BlockReplication("g-2", "g-1")
		h.group.BlockReplication("g-3", "g-1")
		begins := h.notifyOn("move-begins")
		h.net.Partition("10.8.1.1", "10.9.1.1")
		<-begins
		h.setUnseen("g-4", true)
		h.setUnregistered("g-4", true)
		h.group.Join("g-4", "a", "10.9.1.4")
		h.group.SetReplicationDelay("g-4", time.Millisecond)
		time.Sleep(tracker.RegistrationDelay - time.Millisecond)
		h.setUnregistered("g-4", false)
		time.Sleep(4 * time.Second)
		must.Eq(t, "g-4", h.leader())
	})
}

// Guards against repeating an order without a response for a member that is behind a member which has
// joined meanwhile, while the primary can't be reached.
func TestOrderIsNotRepeatedForMemberBehind(t *testing.T) {
	runPendingOrder(t, 4*time.Second, false, func(p *pendingOrder) {
		p.joinAhead(true)
		<-p.notifyOn("paused")
		p.mutex.Lock()
		p.delayOrder = nil
		p.mutex.Unlock()
	})
}

// Guards against a change by an owner that doesn't know of a pending order, because its watch of the store
// is behind: the member that the order names leads for a moment after the demotion.
func TestStateIsReadBeforeChange(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		h.group.Join("g-4", "a", "10.9.1.4")
		h.group.SetReplicationDelay("g-4", time.Millisecond)
		h.group.SetReplicationDelay("g-3", 30*time.Millisecond)
		h.stop()
		<-h.done
		s := h.newSupervisor(h.net.Host("10.8.1.1", "a"), h.clock)
		s.StateConfirmed = func() bool { return false }
		s.ReadState = func(context.Context) (bool, error) {
			h.ownership.update(func() { h.ownership.state.PromotionPending, h.ownership.state.Ordered = true, "g-2" })
			return true, nil
		}
		ctx, stop := context.WithCancel(h.ctx)
		h.stop, h.done = stop, make(chan error, 1)
		go func() { h.done <- s.Run(ctx) }()
		time.Sleep(2 * time.Second)
		stepped := h.notifyOn("stepped-down")
		// Leaving members are the last choice, so that the candidate is another one than the order names.
		for _, id := range []string{"g-1", "g-2", "g-4"} {
			h.group.MarkLeaving(id)
		}
		<-stepped
		_ = h.execute("g-2", 0)
		time.Sleep(4 * time.Second)
		id, term := h.group.Primary()
		must.Eq(t, "g-3", id)
		must.Eq(t, 2, term)
	})
}
