package scheduler_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

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

// Guards against the time that a statement waits at the member for others counting as its own.
func TestSlotMeterOmitsQueueing(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	m := scheduler.SlotMeter{Slots: 1}
	first, second, third := m.Send(at(0)), m.Send(at(0)), m.Send(at(10))
	must.Eq(t, 0, m.End(at(15), third)) // abandoned before it ran
	must.Eq(t, 20*time.Millisecond, m.End(at(20), first))
	must.Eq(t, 30*time.Millisecond, m.End(at(50), second))
	must.Eq(t, 5*time.Millisecond, m.End(at(105), m.Send(at(100))))
}

// replayClasses runs 20 s of a member with 6 slots whose statements take 11, 33 and 55 ms by class.
// demand is the load of each class in parts of the capacity. It returns each class's part of the
// slot time and the longest wait of class 0.
func replayClasses(demand [3]float64) (parts [3]float64, longestWait time.Duration) {
	const slots, duration = 6, 20 * time.Second
	costs := [3]time.Duration{11 * time.Millisecond, 33 * time.Millisecond, 55 * time.Millisecond}
	random := rand.New(rand.NewPCG(1, 1))
	var shares scheduler.ClassShares
	var queues [3][]time.Duration
	var arrivals [3]time.Duration
	var free [slots]time.Duration
	for now := time.Duration(0); now < duration; now += time.Millisecond {
		for c := range queues {
			for demand[c] > 0 && arrivals[c] <= now {
				queues[c] = append(queues[c], arrivals[c])
				arrivals[c] += time.Duration(random.ExpFloat64() * float64(costs[c]) / slots / demand[c])
			}
		}
		for i := range free {
			if free[i] > now {
				continue
			}
			var waiting []int
			for c := range queues {
				if len(queues[c]) > 0 {
					waiting = append(waiting, c)
				}
			}
			if len(waiting) == 0 {
				break
			}
			class, ok := shares.Preferred(waiting)
			if !ok {
				class = waiting[0]
			}
			if class == 0 {
				longestWait = max(longestWait, now-queues[0][0])
			}
			queues[class] = queues[class][1:]
			cost := costs[class]
			shares.Charge(class, 2*cost, waiting) // the estimate
			shares.Charge(class, -cost, waiting)
			free[i] = now + cost
			parts[class] += cost.Seconds() / slots / duration.Seconds()
		}
	}
	return parts, longestWait
}

// Guards against lower classes that get nothing under sustained pressure from class 0, or more than
// their share.
func TestLowerClassesGetTheirShare(t *testing.T) {
	parts, _ := replayClasses([3]float64{1.5, 1, 1})
	t.Logf("parts %.3f", parts)
	must.Between(t, 0.09, parts[1], 0.11)
	must.Between(t, 0.09, parts[2], 0.11)
	parts, _ = replayClasses([3]float64{1.5, 0, 1})
	must.Between(t, 0.09, parts[2], 0.11)
}

// Guards against class 0 waiting for more than the statements that run and the bounded share of the
// lower classes.
func TestUrgentClassWaitsForRunningStatements(t *testing.T) {
	_, alone := replayClasses([3]float64{0.5, 0, 0})
	parts, wait := replayClasses([3]float64{0.5, 2, 2})
	t.Logf("longest wait of class 0: %v, alone %v, parts %.3f", wait, alone, parts)
	must.Between(t, 0.48, parts[0], 0.52)
	must.LessEq(t, alone+2*55*time.Millisecond, wait)
}
