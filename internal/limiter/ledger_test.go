package limiter_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/shoenig/test/must"
)

// desk is a ledger that tests report to by hand.
type desk struct {
	ledger *limiter.Ledger
	now    limiter.Stamp
	limit  identifier.Limit
	number uint64
}

func newDesk(limit identifier.Limit, instances ...string) *desk {
	d := &desk{limit: limit, now: time.Hour}
	d.ledger = &limiter.Ledger{Run: 1, Tolerance: tolerance, Expected: func() []string { return instances }}
	return d
}

// report takes in one customer's spending in an instance's first life.
func (d *desk) report(instance string, s limiter.Spending) limiter.Allowance {
	return d.take(limiter.Report{Instance: instance, Run: 1, New: true, Spendings: []limiter.Spending{s}})
}

func (d *desk) take(r limiter.Report) limiter.Allowance {
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

func (d *desk) balance() limiter.Balance { return d.ledger.Balances(d.now)[0] }

// Guards against operations that are lost from the account when an instance runs what it has
// leased and starts again before it reports.
func TestLeasesOfAnEndedLifeCountAsUsed(t *testing.T) {
	d := newDesk(limits[1], "a")
	leased := d.report("a", limiter.Spending{Waiting: 10, Demand: 10}).Tokens
	must.Positive(t, leased)
	d.now += 100 * time.Millisecond
	d.take(limiter.Report{Instance: "a", Run: 2, New: true, Spendings: []limiter.Spending{{Demand: 1}}})
	must.Eq(t, float64(leased), d.balance().Used)
}

// Guards against operations that count twice: as leased and not heard of, and as reported by
// an instance that was cut off for a moment.
func TestLeasesOfACutInstanceCountOnce(t *testing.T) {
	d := newDesk(limits[1], "a")
	leased := d.report("a", limiter.Spending{Waiting: 10, Demand: 10}).Tokens
	d.now += 3 * time.Second
	must.Eq(t, float64(leased), d.balance().Used)
	d.report("a", limiter.Spending{Used: []int{leased, 0, 0, 0, 0, 0}})
	must.Eq(t, float64(leased), d.balance().Used)
}

// Guards against leases for an instance that has not told a new accountant what it ran before.
func TestNothingIsLeasedBeforeTheTelling(t *testing.T) {
	d := newDesk(limits[1], "a")
	d.report("a", limiter.Spending{Waiting: 10, Demand: 10})
	d.ledger = &limiter.Ledger{Run: 5, Tolerance: tolerance, Expected: d.ledger.Expected}
	unaware := d.take(limiter.Report{Instance: "a", Run: 1, Spendings: []limiter.Spending{{Waiting: 10, Demand: 10}}})
	must.Eq(t, limiter.Allowance{}, unaware)
	must.Positive(t, d.report("a", limiter.Spending{Waiting: 10, Demand: 10}).Tokens)
}

// Guards against a telling that counts for nothing because its reporter was heard a moment before,
// not having noticed that the accounts are new.
func TestTellingAfterAnUnawareReport(t *testing.T) {
	d := newDesk(limits[1], "a")
	d.take(limiter.Report{Instance: "a", Run: 1, Spendings: []limiter.Spending{{Waiting: 1}}})
	d.report("a", limiter.Spending{Before: []int{7, 3}})
	must.Eq(t, 10.0, d.balance().Used)
}
