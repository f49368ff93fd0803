package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/tabulator"
)

// serveText serves a text at all paths of an address.
func serveText(t *testing.T, code int, text []byte) (address string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = w.Write(text)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func servePage(t *testing.T, p accountant.LimitsPage) (address string) {
	return serveText(t, http.StatusOK, accountant.EncodeLimits(p))
}

func affected(customer string, n float64) []tabulator.Row {
	return []tabulator.Row{{Key: tabulator.Key{Customer: customer, Class: 2, Cause: "over-limit/pace"}, LastMinute: n, Total: n + 1}}
}

func TestLimits(t *testing.T) {
	ct := newCLITest(t)
	keeper := servePage(t, accountant.LimitsPage{Instance: "entry-1", Zone: "a", Affected: affected("north", 7), Limits: []accountant.LimitState{
		{Customer: "north", PerSecond: 22, Burst: 22, Account: &accountant.AccountState{Used: 96, Leased: 4, Pace: 26.4, PaceByClass: []float64{0, 0, 26.4}, Withheld: 0.125, Silent: 0.125, SilentInstances: []string{"10.0.0.4:5003"}}},
		{Customer: "south", PerSecond: 3},
	}})
	holder := servePage(t, accountant.LimitsPage{Instance: "entry-2", Zone: "b", Affected: affected("north", 2), Limits: []accountant.LimitState{
		{Customer: "north", PerSecond: 22, Burst: 22, Queue: &accountant.QueueState{Waiting: []int{0, 0, 3}, Reserved: []int{0, 0, 12}, RetryAfter: []time.Duration{0, 0, 1240 * time.Millisecond}, NextDue: 80 * time.Millisecond}},
	}})
	both := keeper + "," + holder
	ct.expect(exitOK, "withheld 12.5%: 12.5% for silent instances (10.0.0.4:5003)", "limits", "-instances", both, "north")
	ct.expect(exitOK, "2      26.4              3        12        1240\n", "limits", "-instances", both, "north")
	ct.expect(exitOK, "due in 80 ms", "limits", "-instances", both, "north")
	ct.expect(exitOK, "2      refused   over-limit/pace  9            11\n", "limits", "-instances", both, "north")
	ct.expect(exitOK, "north     22          26.4  96       4       12.5%     9           0        0          11       over-limit/pace\n1 other customers are not affected", "limits", "-instances", both)
	quiet := servePage(t, accountant.LimitsPage{Instance: "entry-3", Limits: []accountant.LimitState{{Customer: "east", PerSecond: 1}}, Affected: []tabulator.Row{{Key: tabulator.Key{Customer: "east", Kind: tabulator.Withheld, Cause: "silent-instances"}, LastMinute: 3}}})
	ct.expect(exitOK, "cause\n1 other customers are not affected; a part of the limit was withheld for 1 of them", "limits", "-instances", quiet)
	ct.expect(exitOK, "none of these instances keeps it", "limits", "-instances", holder, "north")
	ct.expect(exitOK, "the same instance as", "limits", "-instances", holder+","+holder, "north")
	ct.expect(exitUsage, "at most one customer", "limits", "-instances", both, "north", "south")
	ct.expect(exitUsage, "flag -instances is required", "limits")
}

// Guards against an instance that is down, doesn't know the customer or answers nonsense and hides
// what the others say.
func TestLimitsWithFaultyInstances(t *testing.T) {
	const noneUsable = "none of 1 instances gave a usable answer"
	good := servePage(t, accountant.LimitsPage{Instance: "entry-2", Affected: affected("north", 2)})
	unknown := serveText(t, http.StatusNotFound, []byte(`unknown customer "north" in configuration version 7`))
	for name, c := range map[string]struct{ address, output, alone string }{
		"down":             {"127.0.0.1:1", "127.0.0.1:1: no usable answer: ", noneUsable},
		"unknown customer": {unknown, `unknown customer "north" in configuration version 7`, `customer "north" is unknown to the 1 of 1 instances`},
		"other customer":   {servePage(t, accountant.LimitsPage{Instance: "x"}), `unknown customer "north"`, `customer "north" is unknown to the 1 of 1 instances`},
		"metrics":          {serveText(t, http.StatusOK, []byte("oriolegw_entry_customers 3")), "not a limits page", noneUsable},
		"invalid values":   {serveText(t, http.StatusOK, []byte(`{"instance": "x", "limits": [{"customer": "north", "burst": -1}]}`)), `invalid values of customer "north"`, noneUsable},
	} {
		t.Run(name, func(t *testing.T) {
			ct := newCLITest(t)
			ct.expect(exitFailed, c.output, "limits", "-instances", c.address+","+good, "north")
			ct.expect(exitFailed, "refused   over-limit/pace  2 ", "limits", "-instances", c.address+","+good, "north")
			ct.expect(exitFailed, c.alone, "limits", "-instances", c.address, "north")
		})
	}
}
