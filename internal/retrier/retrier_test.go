package retrier_test

import (
	"fmt"
	"testing"

	"github.com/oriolegw/oriolegw/internal/retrier"
	"github.com/shoenig/test/must"
)

// Every request fails at its target and each caller's request would be tried
// until its deadline. The target sees a tenth more tries than requests, and not
// a multiple, however long the failure lasts.
func TestRetriesStayAFixedPart(t *testing.T) {
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

// A quiet group loses its primary with two requests in flight: both are retried,
// though hardly any first tries have paid for it.
func TestQuietGroupRetries(t *testing.T) {
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
