package elector_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/shoenig/test/must"
)

func ExampleBucket() {
	fmt.Println(elector.Bucket("ledger", 20))
	// Output: ledger
}

// Buckets are few and of similar size, whatever the number of groups.
func TestBuckets(t *testing.T) {
	for _, groups := range []int{20, 64, 1000, 2300} {
		t.Run(fmt.Sprint(groups), func(t *testing.T) {
			sizes := map[string]int{}
			for n := range groups {
				sizes[elector.Bucket(fmt.Sprint("group-", n), groups)]++
			}
			must.Between(t, min(groups, 20), len(sizes), 80)
			for _, n := range sizes {
				must.LessEq(t, 3*storer.MaxSwaps, n)
			}
		})
	}
}

// acquisitionCalls returns the store calls with which instances acquire groups that become vacant
// at once, half of them owned by an instance that dies.
func acquisitionCalls(t *testing.T, instances, groups int) (calls int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		var names []string
		for n := range groups {
			names = append(names, fmt.Sprint("g", n))
		}
		ended := make(chan error, 2*instances)
		stops := make([]context.CancelFunc, instances)
		var mutex sync.Mutex
		owned := make([][]string, instances)
		for n := range instances {
			name := fmt.Sprint("i", n)
			instanceContext, stop := context.WithCancel(ctx)
			stops[n] = stop
			e := &elector.Elector{
				Store: m, Clock: clock, Name: name, Groups: func() []string { return names }, Log: func(...any) {},
				AcquireRank: func(group, last string) int {
					rank := (n + len(elector.Bucket(group, groups))) % instances
					if last == name {
						return instances
					}
					return rank
				},
				Supervise: func(ctx context.Context, group string, _ *elector.Ownership) error {
					mutex.Lock()
					owned[n] = append(owned[n], group)
					mutex.Unlock()
					<-ctx.Done()
					return ctx.Err()
				},
			}
			w := &watcher.Watcher{
				Source: m, MaxPropagationDelay: 3 * time.Second, Clock: clock, OwnershipPrefix: elector.OwnershipPrefix, StatePrefix: elector.StatePrefix, ConfigurationKey: "configuration", MemberPrefix: "member/",
				OnMembers: func(map[string][]tracker.Member) {}, OnOwnership: e.HandleRecord, Log: func(...any) {},
			}
			go func() { ended <- e.Run(instanceContext) }()
			go func() { ended <- w.Run(ctx) }()
		}
		time.Sleep(3 * time.Second)
		largest := 0
		for n := range instances {
			if len(owned[n]) > len(owned[largest]) {
				largest = n
			}
		}
		stops[largest]()
		time.Sleep(3 * time.Second)
		all := map[string]bool{}
		for n := range instances {
			if n != largest {
				for _, g := range owned[n] {
					all[g] = true
				}
			}
		}
		must.MapLen(t, groups, all)
		c := m.Calls()
		calls = c["grant"] + c["swap"]
		cancel()
		for range 2 * instances {
			<-ended
		}
	})
	return calls
}

// Guards against acquisitions whose calls grow with the number of groups times the instances.
func TestAcquisitionCallsFollowBatches(t *testing.T) {
	small, large := acquisitionCalls(t, 6, 200), acquisitionCalls(t, 12, 400)
	must.LessEq(t, 40, small)
	must.LessEq(t, 80, large)
}
