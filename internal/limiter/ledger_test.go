package limiter_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/shoenig/test/must"
)

// testLedger is a ledger that receives the reports of a test.
type testLedger struct {
	ledger *limiter.Ledger
	now    limiter.Timestamp
	limit  identifier.Limit
	number uint64
}

func newTestLedger(limit identifier.Limit, instances ...string) *testLedger {
	l := &testLedger{limit: limit, now: time.Hour}
	l.ledger = &limiter.Ledger{Incarnation: 1, Tolerance: tolerance, ExpectedInstances: func() []string { return instances }}
	return l
}

// report processes one customer's usage in an instance's first incarnation.
func (l *testLedger) report(instance string, s limiter.Usage) limiter.Grant {
	return l.handle(limiter.Report{Instance: instance, Incarnation: 1, NewAccountant: true, Usages: []limiter.Usage{s}})
}

func (l *testLedger) handle(r limiter.Report) limiter.Grant {
	l.number++
	r.Sequence = l.number
	for i := range r.Usages {
		r.Usages[i].Customer = "c"
	}
	x := l.ledger.HandleReport(l.now, r, func(string) identifier.Limit { return l.limit })
	if len(x.Grants) == 0 {
		return limiter.Grant{}
	}
	return x.Grants[0]
}

func (l *testLedger) balance() limiter.Balance { return l.ledger.Balances(l.now)[0] }

// Guards against losing the usage of leased operations when an instance restarts before it
// reports.
func TestLeasesOfRestartedInstanceCountAsUsed(t *testing.T) {
	l := newTestLedger(limits[1], "a")
	leased := l.report("a", limiter.Usage{Waiters: 10, Demand: 10}).Tokens
	must.Positive(t, leased)
	l.now += 100 * time.Millisecond
	l.handle(limiter.Report{Instance: "a", Incarnation: 2, NewAccountant: true, Usages: []limiter.Usage{{Demand: 1}}})
	must.Eq(t, float64(leased), l.balance().Used)
}

// Guards against counting operations twice: as an expired lease, and in a late report.
func TestExpiredLeasesCountOnceAfterLateReport(t *testing.T) {
	l := newTestLedger(limits[1], "a")
	leased := l.report("a", limiter.Usage{Waiters: 10, Demand: 10}).Tokens
	l.now += 3 * time.Second
	must.Eq(t, float64(leased), l.balance().Used)
	l.report("a", limiter.Usage{Used: []int{leased, 0, 0, 0, 0, 0}})
	must.Eq(t, float64(leased), l.balance().Used)
}

// Guards against leases for an instance that has not reported its past usage to a new accountant.
func TestNoLeaseBeforePastUsageIsReported(t *testing.T) {
	l := newTestLedger(limits[1], "a")
	l.report("a", limiter.Usage{Waiters: 10, Demand: 10})
	l.ledger = &limiter.Ledger{Incarnation: 5, Tolerance: tolerance, ExpectedInstances: l.ledger.ExpectedInstances}
	unaware := l.handle(limiter.Report{Instance: "a", Incarnation: 1, Usages: []limiter.Usage{{Waiters: 10, Demand: 10}}})
	must.Eq(t, limiter.Grant{}, unaware)
	must.Positive(t, l.report("a", limiter.Usage{Waiters: 10, Demand: 10}).Tokens)
}

// Guards against ignoring past usage because the instance has reported a moment before, unaware
// that the accounts are new.
func TestPastUsageCountsAfterUnawareReport(t *testing.T) {
	l := newTestLedger(limits[1], "a")
	l.handle(limiter.Report{Instance: "a", Incarnation: 1, Usages: []limiter.Usage{{Waiters: 1}}})
	l.report("a", limiter.Usage{PastUsed: []int{7, 3}})
	must.Eq(t, 10.0, l.balance().Used)
}

// Guards against a withheld part whose cause operators can't see: an instance that has stopped
// reporting, and one that has never reported.
func TestWithheldByCause(t *testing.T) {
	l := newTestLedger(limits[1], "a", "b", "unseen")
	l.report("a", limiter.Usage{Demand: 10})
	l.report("b", limiter.Usage{Demand: 10})
	l.now += 2 * time.Second
	l.report("a", limiter.Usage{Demand: 10})
	s := l.ledger.Schedules(l.now)
	must.Len(t, 1, s)
	w := s[0].Withheld
	must.Eq(t, []limiter.Withheld{w}, l.ledger.Withheld(l.now))
	must.Eq(t, []string{"b"}, w.SilentInstances)
	must.Eq(t, 1, w.UnseenInstances)
	must.Positive(t, w.Silent)
	must.Positive(t, w.Unseen)
	must.Eq(t, w.Fraction, w.Silent+w.Unseen)
	must.Positive(t, s[0].Pace)
}
