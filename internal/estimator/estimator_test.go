package estimator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/estimator"
	"github.com/shoenig/test/must"
)

func ExampleRates() {
	var r estimator.Rates
	for range 50 { // ten seconds with a read every 200 ms
		r.Decay(200 * time.Millisecond)
		r.Add("ledger", 1)
	}
	fmt.Printf("%.1f a second\n", r.Rate("ledger"))
	// Output: 5.5 a second
}

// A key that is no longer used is dropped, so that memory follows the use.
func TestUnusedKeysAreDropped(t *testing.T) {
	var r estimator.Rates
	for n := range 1000 {
		r.Add(fmt.Sprint("g", n), 1)
	}
	must.Eq(t, 1000, r.Len())
	must.SliceLen(t, 1000, r.AtLeast(1))
	for range 50 {
		r.Decay(200 * time.Millisecond)
	}
	must.Eq(t, 0, r.Len())
	must.Eq(t, 0.0, r.Rate("g1"))
}
