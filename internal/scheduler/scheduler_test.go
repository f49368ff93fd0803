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
	var t scheduler.VirtualClock
	var hot, calm scheduler.Flow
	for range 3 {
		fmt.Println("hot", t.Enqueue(&hot, 1, 1))
	}
	fmt.Println("calm", t.Enqueue(&calm, 1, 1))
	// Output:
	// hot 0
	// hot 1
	// hot 2
	// calm 0
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
