package retrier_test

import (
	"fmt"
	"testing"

	"github.com/oriolegw/oriolegw/internal/retrier"
	"github.com/shoenig/test/must"
)

// While every request fails, retries increase the load by at most about DefaultRatio.
func TestRetryRatioIsBounded(t *testing.T) {
	b := &retrier.Budget{}
	retries := 0
	for range 10000 {
		b.RecordFirstAttempt()
		for range 50 {
			if b.AllowRetry() {
				retries++
			}
		}
	}
	must.Between(t, 990, retries, 1000+retrier.DefaultReserve)
}

// Requests in flight are retried although few first attempts have filled the budget.
func TestReserveAllowsRetriesAtLowTraffic(t *testing.T) {
	b := &retrier.Budget{}
	b.RecordFirstAttempt()
	b.RecordFirstAttempt()
	must.True(t, b.AllowRetry())
	must.True(t, b.AllowRetry())
}

func ExampleBudget() {
	b := &retrier.Budget{Ratio: 0.5, Reserve: 1}
	b.RecordFirstAttempt()
	fmt.Println(b.AllowRetry(), b.AllowRetry())
	b.RecordFirstAttempt()
	b.RecordFirstAttempt()
	fmt.Println(b.AllowRetry())
	// Output:
	// true false
	// true
}
