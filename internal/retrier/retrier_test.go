package retrier_test

import (
	"fmt"
	"testing"

	"github.com/oriolegw/oriolegw/internal/retrier"
	"github.com/shoenig/test/must"
)

// While every request fails, retries add about a tenth to the load, however long it lasts.
func TestRetryRatioIsBounded(t *testing.T) {
	b := &retrier.Budget{}
	retries := 0
	for range 10000 {
		b.First()
		for range 50 {
			if b.Retry() {
				retries++
			}
		}
	}
	must.Between(t, 990, retries, 1000+retrier.DefaultReserve)
}

// Requests in flight are retried although few first attempts have filled the budget.
func TestReserveAllowsRetriesAtLowTraffic(t *testing.T) {
	b := &retrier.Budget{}
	b.First()
	b.First()
	must.True(t, b.Retry())
	must.True(t, b.Retry())
}

func ExampleBudget() {
	b := &retrier.Budget{Part: 0.5, Reserve: 1}
	b.First()
	fmt.Println(b.Retry(), b.Retry())
	b.First()
	b.First()
	fmt.Println(b.Retry())
	// Output:
	// true false
	// true
}
