package launcher_test

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
)

// soakLimit is the limit per second and burst of the limited customers of TestCustomersSoak, whose
// clients send several times as many operations.
const soakLimit = 6

type (
	// operationLog holds the operations that clients know to have run, by customer.
	operationLog struct {
		mutex      sync.Mutex
		operations map[string][]operation
	}

	// operation was sent and answered at these times, so that it ran in between.
	operation struct{ sent, answered time.Time }
)

// TestCustomersSoak is TestFollowersSoak with two of three customers above their limits, and routes of
// different classes. Limits that are exceeded while instances are partitioned, paused or restarted
// show as more operations in a window than the limit and its tolerance allow.
func TestCustomersSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				for n, limit := range []float64{1000, soakLimit, soakLimit} {
					f.customers = append(f.customers, platformer.Customer{Name: fmt.Sprint("c", n), Keys: []string{customerKey(n)}, PerSecond: limit, Burst: limit})
				}
				f.configure()
				f.ran = &operationLog{operations: map[string][]operation{}}
				soakFleet(f, seed, sharedZones)
				for customer, n := range f.ran.exceeding("c1", "c2") {
					t.Errorf("seed %d: customer %s ran %d operations in a window", seed, customer, n)
				}
			})
		})
	}
}

// add records an operation that ran. A nil log records nothing.
func (l *operationLog) add(customer string, sent, answered time.Time) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.operations[customer] = append(l.operations[customer], operation{sent, answered})
}

// exceeding returns which of the limited customers ran more operations in a window than their limit
// and its tolerance allow, with the largest number.
func (l *operationLog) exceeding(customers ...string) map[string]int {
	tolerance := loader.DefaultLimitTolerance
	window := tolerance.Window
	allowed := int((soakLimit*window.Seconds()+soakLimit)*(1+tolerance.Overage) + tolerance.Slack)
	exceeding := map[string]int{}
	for _, customer := range customers {
		list := l.operations[customer]
		slices.SortFunc(list, func(a, b operation) int { return a.sent.Compare(b.sent) })
		for i, first := range list {
			n := 0
			for _, o := range list[i:] {
				if o.sent.Sub(first.sent) > window {
					break
				}
				if o.answered.Sub(first.sent) <= window {
					n++
				}
			}
			if n > allowed {
				exceeding[customer] = max(exceeding[customer], n)
			}
		}
	}
	return exceeding
}
