package accountant

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/shoenig/test/must"
)

func TestReportsRoundTrip(t *testing.T) {
	for _, used := range [][]int{nil, {3}, {2, 0, 1}} {
		want := limiter.Report{Instance: "i", Incarnation: 7, Sequence: 8, NewAccountant: true, Final: true, SincePredecessorAck: time.Second, UpTime: time.Minute, Usages: []limiter.Usage{{
			Customer: "north", Used: used, PastUsed: []int{1, 0}, UnusedTokens: 4, Waiters: 5, Demand: 6.5, WaitersByClass: limiter.Counts{0, 2, 3}, DemandByClass: limiter.Rates{6, 0, 0.5}, Reserved: 9, FallbackRate: 0.25, HasFallbackRate: true,
		}}}
		got, invalid := fromReport(toReport(want))
		must.Eq(t, want, got)
		must.Zero(t, invalid)
	}
}

func TestRepliesRoundTrip(t *testing.T) {
	want := limiter.Reply{Incarnation: 7, Grants: []limiter.Grant{{
		Customer: "north", Tokens: 1, LeaseRequired: true, FallbackRate: 0.25, RetryAfter: time.Second, Pace: 2.5, Cause: limiter.CauseWithheld, Withheld: 0.125,
	}}}
	got, invalid := fromReply(toReply(want))
	must.Eq(t, want, got)
	must.Zero(t, invalid)
}

// Guards against acting on invalid values of a peer: they are dropped and counted, the rest is used.
func TestInvalidValuesAreDropped(t *testing.T) {
	for _, a := range []*wire.Allowance{{Tokens: 3, PaceMilli: 1, Cause: 99}, {Tokens: 3, PaceMilli: 1, WithheldMilli: 1001}} {
		reply, invalid := fromReply(&wire.AccountReply{Allowances: []*wire.Allowance{a}})
		must.Eq(t, 1, invalid)
		must.Eq(t, []limiter.Grant{{Tokens: 3}}, reply.Grants)
	}
	report, invalid := fromReport(&wire.AccountRequest{Spendings: []*wire.Spending{{Waiting: 5, WaitingByClass: make([]uint32, limiter.Classes+1)}}})
	must.Eq(t, 1, invalid)
	must.Eq(t, []limiter.Usage{{Waiters: 5}}, report.Usages)
}
