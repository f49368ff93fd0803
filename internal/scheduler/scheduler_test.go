package scheduler_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/oriolegw/oriolegw/internal/scheduler"
	"github.com/shoenig/test/must"
)

func ExampleVirtualClock_Enqueue() {
	var clock scheduler.VirtualClock
	var heavy, light scheduler.Flow
	for range 3 {
		fmt.Println("heavy", clock.Enqueue(&heavy, 1, 1))
	}
	fmt.Println("light", clock.Enqueue(&light, 1, 1))
	// Output:
	// heavy 0
	// heavy 1
	// heavy 2
	// light 0
}

// Guards against a flow with a large backlog delaying the others, and against ignored shares.
func TestBacklogDoesNotDelayOtherFlows(t *testing.T) {
	var clock scheduler.VirtualClock
	type item struct {
		customer int
		start    float64
	}
	flows := map[int]*scheduler.Flow{}
	var queue []item
	add := func(customer int, share float64) {
		if flows[customer] == nil {
			flows[customer] = &scheduler.Flow{}
		}
		queue = append(queue, item{customer, clock.Enqueue(flows[customer], 1, share)})
	}
	for range 100 {
		add(0, 1)
	}
	for c := range 10 {
		add(c+1, 1)
	}
	slices.SortStableFunc(queue, func(a, b item) int { return cmp.Compare(a.start, b.start) })
	served := map[int]bool{}
	for _, p := range queue[:11] {
		served[p.customer] = true
	}
	must.MapLen(t, 11, served)
	queue = nil
	for range 20 {
		add(20, 2)
		add(21, 1)
	}
	slices.SortStableFunc(queue, func(a, b item) int { return cmp.Compare(a.start, b.start) })
	doubleShare := 0
	for _, p := range queue[:15] {
		if p.customer == 20 {
			doubleShare++
		}
	}
	must.Between(t, 9, doubleShare, 11)
}
