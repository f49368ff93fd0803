package launcher_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

const (
	northKey = "k3y-n0rth-9f27"
	southKey = "k3y-s0uth-4c81"
)

var anonymousRoute = tracker.Route{Database: "open", Group: "g", Rule: tracker.RulePrimary, Timeout: time.Second, Anonymous: true}

// runFleetWithKeys runs a scenario with one instance and two customers, each with a key.
func runFleetWithKeys(t *testing.T, scenario func(f *fleet, i *instance)) {
	t.Helper()
	runFleet(t, func(f *fleet) {
		f.setKeys([]string{northKey}, []string{southKey})
		i := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		scenario(f, i)
	})
}

// setKeys publishes a configuration in which the customers north and south have these keys.
func (f *fleet) setKeys(north, south []string) {
	f.customers = []platformer.Customer{
		{Name: "north", Keys: north, PerSecond: 1000, Burst: 1000}, {Name: "south", Keys: south, PerSecond: 1000, Burst: 1000},
	}
	f.configure(anonymousRoute)
}

// requireRanFor asserts that members ran a statement for a customer and for no other.
func (f *fleet) requireRanFor(customer, text string) {
	f.t.Helper()
	var names []string
	for _, id := range []string{"g-1", "g-2", "g-3"} {
		for _, r := range f.group.ExecutedByCustomer(id) {
			if name, what, _ := strings.Cut(r, " "); what == text {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	must.Eq(f.t, []string{customer}, slices.Compact(names))
}

// Statements must run on connections of the client's customer, and of no customer on an
// anonymous route. Clients with an unknown key must be refused and reach no member.
func TestCustomerKeys(t *testing.T) {
	runFleetWithKeys(t, func(f *fleet, i *instance) {
		for n := range 3 {
			must.Eq(t, "I", f.openSessionWithKey(i, "strict", northKey)(fmt.Sprintf("PUT n%d v", n)))
			must.Eq(t, "I", f.openSessionWithKey(i, "strict", southKey)(fmt.Sprintf("PUT s%d v", n)))
			f.requireRanFor("north", fmt.Sprintf("PUT n%d v", n))
			f.requireRanFor("south", fmt.Sprintf("PUT s%d v", n))
		}
		must.Eq(t, "I", f.openSessionWithKey(i, "open", northKey)("PUT a v"))
		must.Eq(t, "I", f.openSession(i, "open")("PUT b v"))
		f.requireRanFor("-", "PUT a v")
		f.requireRanFor("-", "PUT b v")
		must.Eq(t, "DENIED", f.openSessionWithKey(i, "strict", "stranger")("PUT x v"))
		must.Eq(t, "NODB", f.openSessionWithKey(i, "nowhere", northKey)("PUT x v"))
		for _, id := range []string{"g-1", "g-2", "g-3"} {
			for _, r := range f.group.ExecutedByCustomer(id) {
				must.StrNotContains(t, r, "PUT x v")
			}
		}
		must.StrContains(t, f.log.String(), "reason=unknown-key")
	})
}

// Removing a key must refuse the next statement of idle sessions with it, let an open
// transaction commit promptly, and abort one that stays idle. Added keys must work at once.
func TestKeyReassignment(t *testing.T) {
	runFleetWithKeys(t, func(f *fleet, i *instance) {
		idle, committed, late := f.openSessionWithKey(i, "strict", northKey), f.openSessionWithKey(i, "strict", northKey), f.openSessionWithKey(i, "strict", northKey)
		must.Eq(t, "I", idle("PUT k v"))
		for _, query := range []func(string) string{committed, late} {
			must.Eq(t, "T", query("BEGIN"))
		}
		must.Eq(t, "T", committed("PUT q v"))
		must.Eq(t, "T", late("PUT r v"))
		f.setKeys([]string{"k3y-fresh"}, []string{southKey})
		time.Sleep(400 * time.Millisecond)
		must.Eq(t, "I", committed("COMMIT"))
		must.Eq(t, "DENIED I", idle("PUT k v2"))
		must.Eq(t, "DENIED I", idle("BEGIN"))
		must.Eq(t, "I", f.openSessionWithKey(i, "strict", "k3y-fresh")("PUT f v"))
		f.requireRanFor("north", "PUT f v")
		time.Sleep(time.Second)
		must.Eq(t, "ABORTED I", late("COMMIT"))
		must.Eq(t, "none I", f.openSessionWithKey(i, "strict", southKey)("FETCH r"))
		f.setKeys(nil, []string{southKey, northKey})
		time.Sleep(400 * time.Millisecond)
		must.Eq(t, "I", idle("PUT k v3"))
		f.requireRanFor("south", "PUT k v3")
		must.StrContains(t, f.log.String(), "reason=key-withdrawn")
	})
}

// While the store and all peers are unavailable, an unknown key may have been added since.
// Its clients must get a retryable refusal.
func TestUnknownKeyDuringStoreOutage(t *testing.T) {
	runFleetWithKeys(t, func(f *fleet, i *instance) {
		f.store.SetFaults(func(x *storer.Faults) { x.Down = true })
		time.Sleep(4 * time.Second)
		must.Eq(t, "BUSY", f.openSessionWithKey(i, "strict", "k3y-new")("PUT k v"))
		must.Eq(t, "I", f.openSessionWithKey(i, "strict", northKey)("PUT k v"))
		f.store.SetFaults(func(x *storer.Faults) { x.Down = false })
		time.Sleep(3 * time.Second)
		must.Eq(t, "DENIED", f.openSessionWithKey(i, "strict", "k3y-new")("PUT k v"))
		must.StrContains(t, f.log.String(), "reason=key-uncertain")
	})
}

// Keys must not appear in anything that an instance sends, nor in its logs and metrics.
func TestKeysAreNotExposed(t *testing.T) {
	runFleet(t, func(f *fleet) {
		var mutex sync.Mutex
		var sent strings.Builder
		f.net.OnSend = func(from, _ *netsimulator.Host, data []byte) {
			if strings.HasPrefix(from.IP, "10.5.") {
				mutex.Lock()
				defer mutex.Unlock()
				sent.Write(data)
			}
		}
		f.setKeys([]string{northKey}, []string{southKey})
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "a")
		time.Sleep(3 * time.Second)
		f.net.Partition("10.5.0.2", "10.6.0.1")
		f.setKeys([]string{northKey, "k3y-told"}, []string{southKey})
		time.Sleep(3 * time.Second)
		must.Eq(t, "I", f.openSessionWithKey(b, "strict", "k3y-told")("PUT k v"))
		for _, i := range []*instance{a, b} {
			must.Eq(t, "I", f.openSessionWithKey(i, "strict", northKey)("PUT k v"))
			f.openSessionWithKey(i, "strict", "k3y-unknown")("PUT k v")
			f.openSessionWithKey(i, "nowhere", "k3y-lost")("PUT k v")
		}
		f.sendMalformed(a, "STARTUP k3y-alone")
		f.sendMalformed(a, "k3y-first strict")
		f.sendMalformed(a, "QUERY k3y-query strict")
		f.setKeys(nil, []string{southKey, "k3y-more"})
		time.Sleep(2 * time.Second)
		must.Eq(t, "DENIED", f.openSessionWithKey(b, "strict", northKey)("PUT k v"))
		page := f.metrics(a)
		must.StrContains(t, page, "unknown_key")
		mutex.Lock()
		defer mutex.Unlock()
		for _, text := range []string{sent.String(), f.log.String(), page} {
			must.Positive(t, len(text))
			must.StrNotContains(t, text, "k3y-")
		}
	})
}

// sendMalformed sends a malformed first line and reads until the instance closes the connection.
func (f *fleet) sendMalformed(i *instance, line string) {
	caller := f.callers.Add(1)
	conn, err := f.net.Host(fmt.Sprintf("10.7.0.%d", caller), "a").Dial(f.ctx, i.host.IP+":5000")
	must.NoError(f.t, err)
	fmt.Fprintf(conn, "%s\r\n", line)
	_, _ = io.ReadAll(conn)
}

// metrics returns an instance's metrics page.
func (f *fleet) metrics(i *instance) string { return f.page(i, "/metrics") }

// page returns a page that an instance serves on its metrics address.
func (f *fleet) page(i *instance, path string) string {
	h := &http.Client{Transport: &http.Transport{DialContext: i.dial, DisableKeepAlives: true}}
	a, err := h.Get("http://" + i.host.IP + ":5002" + path)
	must.NoError(f.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	must.NoError(f.t, err)
	return string(text)
}
