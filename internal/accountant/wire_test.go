package accountant

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/shoenig/test/must"
)

func TestReportsRoundTrip(t *testing.T) {
	for _, used := range [][]int{nil, {3}, {2, 0, 1}} {
		want := limiter.Report{Instance: "i", Incarnation: 7, Sequence: 8, NewAccountant: true, Final: true, SincePredecessorAck: time.Second, UpTime: time.Minute, Usages: []limiter.Usage{{
			Customer: "north", Used: used, PastUsed: []int{1, 0}, UnusedTokens: 4, Waiters: 5, Demand: 6.5, FallbackRate: 0.25, HasFallbackRate: true,
		}}}
		must.Eq(t, want, fromReport(toReport(want)))
	}
}
