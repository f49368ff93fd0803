package elector_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against commits that are acknowledged between the order that fences earlier ones off and the
// effect of an earlier one. An order without a response is executed shortly before the fence and takes
// effect after it, while the old primary, which responds again, leads.
func TestOrderTakesEffectAfterFence(t *testing.T) {
	for late := 3700 * time.Millisecond; late <= 4300*time.Millisecond; late += 50 * time.Millisecond {
		t.Run(fmt.Sprint("executed after ", late), func(t *testing.T) {
			t.Parallel()
			runPendingOrder(t, late, false, func(p *pendingOrder) {
				// Commits that wait keep their connections.
				p.group.MaxConnections = 10000
				time.Sleep(500 * time.Millisecond)
				p.note("reachable again", "g-1")
				p.net.HealAll()
			})
		})
	}
}
