package accountant_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/shoenig/test/must"
)

func TestLimitsRoundTrip(t *testing.T) {
	want := accountant.LimitsPage{
		Instance: "entry-1", Zone: "a",
		Limits: []accountant.LimitState{{
			Customer: "north", PerSecond: 22, Burst: 20,
			Account: &accountant.AccountState{Used: 90, Available: -2, Leased: 3, Demand: 40, Pace: 26, PaceByClass: []float64{4, 22}, Waiting: 5, Withheld: 0.25, Silent: 0.2, Unseen: 0.05, SilentInstances: []string{"x"}, UnseenInstances: 1},
			Queue:   &accountant.QueueState{Rate: 7, RateByClass: []float64{1, 6}, Waiting: []int{0, 2}, Reserved: []int{0, 9}, RetryAfter: []time.Duration{0, time.Second}, NextDue: -1},
		}},
		Affected: []tabulator.Row{{Key: tabulator.Key{Customer: "north", Class: -1, Kind: tabulator.Withheld, Cause: "silent-instances"}, LastMinute: 1.5, Total: 2}},
	}
	got, err := accountant.DecodeLimits(accountant.EncodeLimits(want))
	must.NoError(t, err)
	want.Limits[0].Queue.NextDue = -time.Millisecond
	must.Eq(t, want, got)
}

// Guards against adding up the values of another service, or of a faulty instance.
func TestDecodeLimitsRejects(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":             `oriolegw_entry_customers{} 3`,
		"other JSON":           `{"status": "ok"}`,
		"unnamed customer":     `{"instance": "a", "limits": [{"per-second": 3}]}`,
		"negative limit":       `{"instance": "a", "limits": [{"customer": "c", "per-second": -3}]}`,
		"withheld above 1":     `{"instance": "a", "limits": [{"customer": "c", "account": {"withheld": 1.5}}]}`,
		"negative reservation": `{"instance": "a", "limits": [{"customer": "c", "queue": {"reserved-by-class": [0, -1]}}]}`,
		"class out of range":   `{"instance": "a", "affected": [{"kind": "late", "class": 100000}]}`,
		"negative count":       `{"instance": "a", "affected": [{"kind": "late", "total": -1}]}`,
	} {
		_, err := accountant.DecodeLimits([]byte(text))
		must.Error(t, err, must.Sprint(name))
	}
}

// Guards against a partition in which the account of one side hides that of the other, and against
// queues of some instances that are not counted.
func TestMergeLimits(t *testing.T) {
	page := func(name string, perSecond float64, account *accountant.AccountState, due time.Duration, reserved ...int) accountant.LimitsPage {
		q := &accountant.QueueState{Reserved: reserved, RetryAfter: []time.Duration{due}, NextDue: due}
		return accountant.LimitsPage{Instance: name, Limits: []accountant.LimitState{{Customer: "c", PerSecond: perSecond, Account: account, Queue: q}}}
	}
	merged := accountant.MergeLimits(page("a", 5, nil, 300*time.Millisecond, 1), page("b", 6, &accountant.AccountState{Used: 1}, 200*time.Millisecond, 2, 3), page("c", 6, &accountant.AccountState{Used: 2}, 900*time.Millisecond))
	must.Len(t, 1, merged)
	c := merged[0]
	must.Len(t, 2, c.Accounts)
	must.True(t, c.LimitsDiffer)
	must.Eq(t, 6, c.PerSecond)
	must.Eq(t, 200*time.Millisecond, c.NextDue)
	must.Eq(t, accountant.ClassState{Reserved: 3, MinRetryAfter: 200 * time.Millisecond, MaxRetryAfter: 900 * time.Millisecond}, c.Classes[0])
	must.Eq(t, 3, c.Classes[1].Reserved)
}
