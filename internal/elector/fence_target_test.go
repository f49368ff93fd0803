package elector_test

import (
	"context"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// A new owner finds an order that is pending for a restarted member. It reaches neither the primary nor
// an earlier one, and takes that for the primary, as the registry does while both are cut off. The order that
// fences the pending one off must not promote the earlier primary.
func TestFenceRestartedNamesEarlierPrimary(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		h.group.SetMayAcknowledge(h.leases.valid)
		h.mutex.Lock()
		h.peersUnreachable = true
		h.mutex.Unlock()
		time.Sleep(2 * time.Second)
		_ = h.group.Promote("g-2")
		time.Sleep(2 * time.Second)
		h.group.BlockReplication("g-1", "g-2")
		time.Sleep(time.Second)
		h.stop()
		<-h.done
		var start int64
		registry := h.group.Registrations()
		for n, m := range registry {
			registry[n].Primary, registry[n].Revision = m.ID == "g-1", 1
			if m.ID == "g-3" {
				start = m.StartTime
			}
		}
		h.ownership.update(func() {
			s := &h.ownership.state
			s.PromotionPending, s.Ordered, s.OrderedStartTime = true, "g-3", start
			s.Leader = elector.Leadership{ID: "g-2", StartTime: s.Leader.StartTime, Term: 2}
		})
		h.group.BlockReplication("g-3", "g-2")
		time.Sleep(10 * time.Millisecond)
		h.group.Restart("g-3")
		p := &pendingOrder{harness: h}
		p.partitionFromOwner("g-2")
		p.partitionFromOwner("g-1")
		time.Sleep(100 * time.Millisecond)

		ctx, stop := context.WithCancel(h.ctx)
		k, done := h.newSupervisor(h.net.Host("10.8.1.1", "a"), h.clock), make(chan error, 1)
		k.Group = &tracker.Group{Name: h.group.Name, Zone: "a", SameRegion: func(string) bool { return false }}
		k.Group.SetMembers(registry)
		h.stop, h.done = stop, done
		go func() { done <- k.Run(ctx) }()
		time.Sleep(4 * time.Second)
	})
}
