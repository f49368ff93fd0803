package launcher_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/shoenig/test/must"
)

// runCustomerFleet runs a scenario with an instance in each of three zones. Customer n has
// customerKey(n) and a limit of perSecond operations per second.
func runCustomerFleet(t *testing.T, customers int, perSecond float64, scenario func(f *fleet, all []*instance)) {
	t.Helper()
	runFleet(t, func(f *fleet) {
		for n := range customers {
			f.customers = append(f.customers, platformer.Customer{Name: fmt.Sprint("c", n), Keys: []string{customerKey(n)}, PerSecond: perSecond, Burst: perSecond})
		}
		f.configure()
		var all []*instance
		for n, zone := range []string{"a", "b", "c"} {
			all = append(all, f.start(fmt.Sprintf("10.5.0.%d", n+1), zone))
		}
		time.Sleep(5 * time.Second)
		scenario(f, all)
	})
}

func customerKey(n int) string { return fmt.Sprint("k3y-", n) }

// sendWrites sends a customer's writes at a rate from 12 sessions spread over the instances,
// and returns the number of responses by their first word.
func (f *fleet) sendWrites(all []*instance, customer, perSecond int, duration time.Duration) map[string]int {
	var mutex sync.Mutex
	var sending sync.WaitGroup
	responses := map[string]int{}
	sessions := make([]func(string) string, 12)
	for n := range sessions {
		sessions[n] = f.openSessionWithKey(all[n%len(all)], "strict", customerKey(customer))
	}
	for n := range int(duration.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if n < len(sessions) || n%len(sessions) == 0 {
			sending.Wait()
		}
		sending.Go(func() {
			response := sessions[n%len(sessions)](fmt.Sprintf("PUT c%d-%d v", customer, n))
			mutex.Lock()
			defer mutex.Unlock()
			responses[strings.Fields(response)[0]]++
		})
	}
	sending.Wait()
	return responses
}

// countWrites returns the number of writes that members ran for a customer.
func (f *fleet) countWrites(customer int) (n int) {
	for _, id := range []string{"g-1", "g-2", "g-3"} {
		for _, r := range f.group.ExecutedByCustomer(id) {
			if strings.HasPrefix(r, fmt.Sprintf("c%d PUT", customer)) {
				n++
			}
		}
	}
	return n
}

// A customer over its limit must be limited across all instances, with a time to retry, and
// a customer below its limit must not be refused.
func TestCustomerOverLimit(t *testing.T) {
	runCustomerFleet(t, 20, 10, func(f *fleet, all []*instance) {
		var overLimit, belowLimit map[string]int
		var sending sync.WaitGroup
		start := time.Now()
		sending.Go(func() { belowLimit = f.sendWrites(all, 1, 6, 5*time.Second) })
		overLimit = f.sendWrites(all, 0, 60, 5*time.Second)
		elapsed := time.Since(start) // more than 5 s: writes over the limit wait for their admission
		sending.Wait()
		must.Eq(t, map[string]int{"I": 30}, belowLimit)
		must.Eq(t, f.countWrites(0), overLimit["I"])
		must.Positive(t, overLimit["BUSY"])
		must.GreaterEq(t, 50, f.countWrites(0))
		must.LessEq(t, (10*elapsed.Seconds()+10)*1.1+20, float64(f.countWrites(0))) // the limit and the tolerance
		must.StrContains(t, f.log.String(), "reason=over-limit again-ms=")
	})
}

// With more customers than a member accepts connections, the instance placed near the member
// must hold them. The member's limit must hold, and each statement run for its own customer.
func TestConnectionPlacement(t *testing.T) {
	runCustomerFleet(t, 20, 1000, func(f *fleet, all []*instance) {
		var sending sync.WaitGroup
		for n := range 20 {
			sending.Go(func() { must.Eq(t, map[string]int{"I": 15}, f.sendWrites(all, n, 3, 5*time.Second)) })
		}
		sending.Wait()
		for n := range 20 {
			must.Eq(t, 15, f.countWrites(n))
		}
		must.LessEq(t, 12, f.group.OpenConnections("g-1"))
		must.StrContains(t, f.log.String(), "placement=member")
		var names []string
		for _, r := range f.group.ExecutedByCustomer("g-1") {
			runFor, text, _ := strings.Cut(r, " ")
			if customer, _, ok := strings.Cut(strings.TrimPrefix(text, "PUT "), "-"); ok {
				must.Eq(t, customer, runFor)
				names = append(names, runFor)
			}
		}
		slices.Sort(names)
		must.Len(t, 20, slices.Compact(names))
	})
}

// When the instance that holds the primary's connections, and possibly the customers'
// accounts, is killed, the others must serve within three seconds and keep to the limits.
func TestAccountantKilled(t *testing.T) {
	runCustomerFleet(t, 20, 10, func(f *fleet, all []*instance) {
		must.Eq(t, "I", f.openSessionWithKey(all[1], "strict", customerKey(3))("PUT c3-x v"))
		f.net.Kill("10.5.0.1")
		all[0].kill()
		time.Sleep(3 * time.Second)
		for n := range 20 {
			must.Eq(t, "I", f.openSessionWithKey(all[1+n%2], "strict", customerKey(n))(fmt.Sprintf("PUT c%d-y v", n)))
		}
		start := time.Now()
		overLimit := f.sendWrites(all[1:], 0, 60, 5*time.Second)
		must.Eq(t, f.countWrites(0), overLimit["I"]+1)
		must.GreaterEq(t, 40, overLimit["I"])
		must.LessEq(t, (10*time.Since(start).Seconds()+10)*1.1+20, float64(overLimit["I"]))
	})
}

// The customers' pages of all instances merged must show a customer's account, connections
// and refusals.
func TestCustomersPage(t *testing.T) {
	runCustomerFleet(t, 20, 10, func(f *fleet, all []*instance) {
		f.sendWrites(all, 0, 60, 3*time.Second)
		var lists [][]accountant.CustomerState
		for _, i := range all {
			list, err := accountant.DecodeStates([]byte(f.page(i, accountant.PathCustomers)))
			must.NoError(t, err)
			lists = append(lists, list)
		}
		merged := accountant.MergeStates(lists...)
		must.Len(t, 20, merged)
		state := merged[0]
		must.Eq(t, "c0", state.Customer)
		must.True(t, state.IsAccountant)
		must.Eq(t, 1, state.Keys)
		must.Positive(t, state.Refused)
		must.Positive(t, state.Connections)
		must.Between(t, 30, state.Used, 90)
		must.StrContains(t, f.metrics(all[0]), "oriolegw_entry_customers{")
	})
}

// The limits pages of all instances must show a refused customer's account, the causes and the
// retry times, and an unknown customer as such.
func TestLimitsPage(t *testing.T) {
	runCustomerFleet(t, 20, 10, func(f *fleet, all []*instance) {
		f.sendWrites(all, 0, 60, 3*time.Second)
		var pages []accountant.LimitsPage
		var rows [][]tabulator.Row
		for _, i := range all {
			p, err := accountant.DecodeLimits([]byte(f.page(i, accountant.PathLimits+"?customer=c0")))
			must.NoError(t, err)
			pages, rows = append(pages, p), append(rows, p.Affected)
		}
		limits := accountant.MergeLimits(pages...)
		must.Len(t, 1, limits)
		must.Len(t, 1, limits[0].Accounts)
		must.Between(t, 30, limits[0].Accounts[0].Used, 90)
		must.Positive(t, limits[0].Accounts[0].Pace)
		summary := tabulator.Summarize(tabulator.Merge(rows...))
		must.Len(t, 1, summary)
		must.Positive(t, summary[0].Refused)
		must.True(t, strings.HasPrefix(summary[0].Cause, "over-limit/"), must.Sprint(summary))
		must.StrContains(t, f.page(all[0], accountant.PathLimits+"?customer=nobody"), `unknown customer "nobody"`)
		must.StrContains(t, f.metrics(all[0]), "oriolegw_entry_served_late{")
	})
}

// While a partition lasts, the limits pages must show how much of a limit is withheld, and for which
// instances; otherwise operators can't explain refusals below the limit.
func TestLimitsPageShowsWithheldPart(t *testing.T) {
	runCustomerFleet(t, 20, 10, func(f *fleet, all []*instance) {
		f.sendWrites(all, 0, 12, time.Second)
		f.net.Partition("a", "b")
		f.net.Partition("a", "c")
		time.Sleep(5 * time.Second)
		silent, withheld := map[string]bool{}, 0.0
		for _, i := range all {
			p, err := accountant.DecodeLimits([]byte(f.page(i, accountant.PathLimits+"?customer=c0")))
			must.NoError(t, err)
			for _, a := range accountant.MergeLimits(p)[0].Accounts {
				must.Positive(t, a.Withheld)
				for _, s := range a.SilentInstances {
					silent[s] = true
				}
			}
			for _, r := range p.Affected {
				if r.Kind == tabulator.Withheld {
					withheld += r.LastMinute
				}
			}
		}
		must.MapNotEmpty(t, silent)
		must.Positive(t, withheld)
	})
}

// A partition must make each instance that lost the accountant change it once, and once more when it
// ends, with customers' operations on all instances.
func TestAccountantChangesOnceByPartition(t *testing.T) {
	runCustomerFleet(t, 20, 10, func(f *fleet, all []*instance) {
		before := len(f.log.String())
		var sending sync.WaitGroup
		sending.Go(func() { f.sendWrites(all, 0, 60, 15*time.Second) })
		time.Sleep(time.Second)
		f.net.Partition("a", "b")
		f.net.Partition("a", "c")
		time.Sleep(7 * time.Second)
		f.net.HealAll()
		time.Sleep(6 * time.Second)
		sending.Wait()
		text := f.log.String()[before:]
		lost, back := strings.Count(text, "event=accountant address"), strings.Count(text, "cause=higher-rank")
		must.Between(t, 1, back, 2)
		must.Eq(t, 2*back, lost)
		must.StrNotContains(t, text, "event=instance-dead")
	})
}
