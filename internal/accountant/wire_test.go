package accountant

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/shoenig/test/must"
)

func TestReportsRoundTrip(t *testing.T) {
	for _, used := range [][]int{nil, {3}, {2, 0, 1}} {
		want := limiter.Report{Instance: "i", Run: 7, Number: 8, New: true, Leaves: true, Unheard: time.Second, Spendings: []limiter.Spending{{
			Customer: "north", Used: used, Before: []int{1, 0}, Held: 4, Waiting: 5, Demand: 6.5, Part: 0.25, Told: true,
		}}}
		must.Eq(t, want, fromReport(toReport(want)))
	}
}
