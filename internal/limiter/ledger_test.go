package limiter_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/shoenig/test/must"
)

// testLedger is a ledger with hand-written reports.
type testLedger struct {
	ledger *limiter.Ledger
	now    limiter.Stamp
	limit  identifier.Limit
	number uint64
}

func newTestLedger(limit identifier.Limit, instances ...string) *testLedger {
	d := &testLedger{limit: limit, now: time.Hour}
	d.ledger = &limiter.Ledger{Run: 1, Tolerance: tolerance, Expected: func() []string { return instances }}
	return d
}

// report processes one customer's usage in an instance's first incarnation.
func (d *testLedger) report(instance string, s limiter.Spending) limiter.Allowance {
	return d.handle(limiter.Report{Instance: instance, Run: 1, New: true, Spendings: []limiter.Spending{s}})
}

func (d *testLedger) handle(r limiter.Report) limiter.Allowance {
	d.number++
	r.Number = d.number
	for i := range r.Spendings {
		r.Spendings[i].Customer = "c"
	}
	x := d.ledger.Take(d.now, r, func(string) identifier.Limit { return d.limit })
	if len(x.Allowances) == 0 {
		return limiter.Allowance{}
	}
	return x.Allowances[0]
}

func (d *testLedger) balance() limiter.Balance { return d.ledger.Balances(d.now)[0] }

// Guards against losing the usage of leased operations when an instance restarts before it
// reports.
func TestLeasesOfRestartedInstanceCountAsUsed(t *testing.T) {
	d := newTestLedger(limits[1], "a")
	leased := d.report("a", limiter.Spending{Waiting: 10, Demand: 10}).Tokens
	must.Positive(t, leased)
	d.now += 100 * time.Millisecond
	d.handle(limiter.Report{Instance: "a", Run: 2, New: true, Spendings: []limiter.Spending{{Demand: 1}}})
	must.Eq(t, float64(leased), d.balance().Used)
}

// Guards against counting operations twice: as an expired lease, and in a late report.
func TestExpiredLeasesCountOnceAfterLateReport(t *testing.T) {
	d := newTestLedger(limits[1], "a")
	leased := d.report("a", limiter.Spending{Waiting: 10, Demand: 10}).Tokens
	d.now += 3 * time.Second
	must.Eq(t, float64(leased), d.balance().Used)
	d.report("a", limiter.Spending{Used: []int{leased, 0, 0, 0, 0, 0}})
	must.Eq(t, float64(leased), d.balance().Used)
}

// Guards against leases for an instance that has not reported its past usage to a new accountant.
func TestNoLeaseBeforePastUsageIsReported(t *testing.T) {
	d := newTestLedger(limits[1], "a")
	d.report("a", limiter.Spending{Waiting: 10, Demand: 10})
	d.ledger = &limiter.Ledger{Run: 5, Tolerance: tolerance, Expected: d.ledger.Expected}
	unaware := d.handle(limiter.Report{Instance: "a", Run: 1, Spendings: []limiter.Spending{{Waiting: 10, Demand: 10}}})
	must.Eq(t, limiter.Allowance{}, unaware)
	must.Positive(t, d.report("a", limiter.Spending{Waiting: 10, Demand: 10}).Tokens)
}

// Guards against ignoring past usage because the instance has reported a moment before, unaware
// that the accounts are new.
func TestPastUsageCountsAfterUnawareReport(t *testing.T) {
	d := newTestLedger(limits[1], "a")
	d.handle(limiter.Report{Instance: "a", Run: 1, Spendings: []limiter.Spending{{Waiting: 1}}})
	d.report("a", limiter.Spending{Before: []int{7, 3}})
	must.Eq(t, 10.0, d.balance().Used)
}
