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
	"github.com/shoenig/test/must"
)

// playMany runs three instances, one in each zone, before a group that has fewer places than
// there are customers; key(n) is that of customer n, of which each may run perSecond.
func playMany(t *testing.T, customers int, perSecond float64, happens func(f *fleet, all []*instance)) {
	t.Helper()
	play(t, func(f *fleet) {
		for n := range customers {
			f.customers = append(f.customers, platformer.Customer{Name: fmt.Sprint("c", n), Keys: []string{key(n)}, PerSecond: perSecond, Burst: perSecond})
		}
		f.configure()
		var all []*instance
		for n, zone := range []string{"a", "b", "c"} {
			all = append(all, f.start(fmt.Sprintf("10.5.0.%d", n+1), zone))
		}
		time.Sleep(5 * time.Second)
		happens(f, all)
	})
}

func key(n int) string { return fmt.Sprint("k3y-", n) }

// send has callers of a customer send writes at a pace through instances in turn, each its
// own session, and counts the answers by their first word.
func (f *fleet) send(all []*instance, customer, perSecond int, lasts time.Duration) map[string]int {
	var mutex sync.Mutex
	var sending sync.WaitGroup
	answers := map[string]int{}
	asks := make([]func(string) string, 12)
	for n := range asks {
		asks[n] = f.callWith(all[n%len(all)], "strict", key(customer))
	}
	for n := range int(lasts.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if n < len(asks) || n%len(asks) == 0 {
			sending.Wait()
		}
		sending.Go(func() {
			a := asks[n%len(asks)](fmt.Sprintf("PUT c%d-%d v", customer, n))
			mutex.Lock()
			defer mutex.Unlock()
			answers[strings.Fields(a)[0]]++
		})
	}
	sending.Wait()
	return answers
}

// ranOf counts what members have run for a customer.
func (f *fleet) ranOf(customer int) (n int) {
	for _, id := range []string{"g-1", "g-2", "g-3"} {
		for _, r := range f.group.RanFor(id) {
			if strings.HasPrefix(r, fmt.Sprintf("c%d PUT", customer)) {
				n++
			}
		}
	}
	return n
}

// One of 20 customers sends many times its limit through three instances for five seconds.
// Its limit and what is tolerated runs, the rest is refused as not run, with a time to come
// back; another customer, below its own limit, is refused nothing meanwhile.
func TestHotCustomer(t *testing.T) {
	playMany(t, 20, 10, func(f *fleet, all []*instance) {
		var hot, calm map[string]int
		var sending sync.WaitGroup
		sending.Go(func() { calm = f.send(all, 1, 6, 5*time.Second) })
		hot = f.send(all, 0, 60, 5*time.Second)
		sending.Wait()
		must.Eq(t, map[string]int{"I": 30}, calm)
		must.Eq(t, f.ranOf(0), hot["I"])
		must.Positive(t, hot["BUSY"])
		must.Between(t, 50, f.ranOf(0), 86) // (10 x 5 + 10) x 1.1 + 20
		must.StrContains(t, f.log.String(), "reason=over-limit again-ms=")
	})
}

// Twenty customers' callers write through three instances before members that take twelve
// connections. Each member's are held by the instance beside it: never more than it takes are
// opened, and each statement runs for its own customer.
func TestConnectionsBesideMembers(t *testing.T) {
	playMany(t, 20, 1000, func(f *fleet, all []*instance) {
		var sending sync.WaitGroup
		for n := range 20 {
			sending.Go(func() { must.Eq(t, map[string]int{"I": 15}, f.send(all, n, 3, 5*time.Second)) })
		}
		sending.Wait()
		for n := range 20 {
			must.Eq(t, 15, f.ranOf(n))
		}
		must.LessEq(t, 12, f.group.Connected("g-1"))
		must.StrContains(t, f.log.String(), "placement=member")
		var names []string
		for _, r := range f.group.RanFor("g-1") {
			who, text, _ := strings.Cut(r, " ")
			if customer, _, ok := strings.Cut(strings.TrimPrefix(text, "PUT "), "-"); ok {
				must.Eq(t, customer, who)
				names = append(names, who)
			}
		}
		slices.Sort(names)
		must.Len(t, 20, slices.Compact(names))
	})
}

// The instance that holds the primary's connections, and keeps the accounts perhaps, is
// killed. Callers of the others are served again within three seconds; nobody's statement
// runs under another's name, and the limit holds.
func TestHolderDies(t *testing.T) {
	playMany(t, 20, 10, func(f *fleet, all []*instance) {
		must.Eq(t, "I", f.callWith(all[1], "strict", key(3))("PUT c3-x v"))
		f.net.Kill("10.5.0.1")
		all[0].kill()
		time.Sleep(3 * time.Second)
		for n := range 20 {
			must.Eq(t, "I", f.callWith(all[1+n%2], "strict", key(n))(fmt.Sprintf("PUT c%d-y v", n)))
		}
		hot := f.send(all[1:], 0, 60, 5*time.Second)
		must.Eq(t, f.ranOf(0), hot["I"]+1)
		must.Between(t, 40, hot["I"], 86)
	})
}

// Operators ask all instances for their customers while one is over its limit: one of them
// keeps its account, and all have its connections and refusals between them.
func TestCustomersPage(t *testing.T) {
	playMany(t, 20, 10, func(f *fleet, all []*instance) {
		f.send(all, 0, 60, 3*time.Second)
		var lists [][]accountant.CustomerState
		for _, i := range all {
			list, err := accountant.DecodeStates([]byte(f.page(i, accountant.PathCustomers)))
			must.NoError(t, err)
			lists = append(lists, list)
		}
		merged := accountant.MergeStates(lists...)
		must.Len(t, 20, merged)
		hot := merged[0]
		must.Eq(t, "c0", hot.Customer)
		must.True(t, hot.IsAccountant)
		must.Eq(t, 1, hot.Keys)
		must.Positive(t, hot.Refused)
		must.Positive(t, hot.Connections)
		must.Between(t, 30, hot.Used, 90)
		must.StrContains(t, f.metrics(all[0]), "oriolegw_entry_customers{")
	})
}
