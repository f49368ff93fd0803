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

	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

const (
	northKey = "k3y-n0rth-9f27"
	southKey = "k3y-s0uth-4c81"
)

var open = tracker.Route{Database: "open", Group: "g", Rule: tracker.RulePrimary, Timeout: time.Second, Anonymous: true}

// playKeys runs a fleet whose callers are told apart, before one instance.
func playKeys(t *testing.T, happens func(f *fleet, i *instance)) {
	t.Helper()
	play(t, func(f *fleet) {
		f.give([]string{northKey}, []string{southKey})
		i := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		happens(f, i)
	})
}

// give publishes a version in which north and south hold the keys.
func (f *fleet) give(north, south []string) {
	f.customers = []platformer.Customer{
		{Name: "north", Keys: north, PerSecond: 1000, Burst: 1000}, {Name: "south", Keys: south, PerSecond: 1000, Burst: 1000},
	}
	f.configure(open)
}

// ranFor asserts that some member ran a text for a customer, and that none ran it for
// another.
func (f *fleet) ranFor(customer, text string) {
	f.t.Helper()
	var names []string
	for _, id := range []string{"g-1", "g-2", "g-3"} {
		for _, r := range f.group.RanFor(id) {
			if who, what, _ := strings.Cut(r, " "); what == text {
				names = append(names, who)
			}
		}
	}
	slices.Sort(names)
	must.Eq(f.t, []string{customer}, slices.Compact(names))
}

// Callers of two customers write and read through one instance, each on connections that
// the member takes for its customer's; one on a route without keys runs for nobody. A key
// that nobody holds, or none, gets its own refusal and reaches no member.
func TestKeys(t *testing.T) {
	playKeys(t, func(f *fleet, i *instance) {
		for n := range 3 {
			must.Eq(t, "I", f.callWith(i, "strict", northKey)(fmt.Sprintf("PUT n%d v", n)))
			must.Eq(t, "I", f.callWith(i, "strict", southKey)(fmt.Sprintf("PUT s%d v", n)))
			f.ranFor("north", fmt.Sprintf("PUT n%d v", n))
			f.ranFor("south", fmt.Sprintf("PUT s%d v", n))
		}
		must.Eq(t, "I", f.callWith(i, "open", northKey)("PUT a v"))
		must.Eq(t, "I", f.call(i, "open")("PUT b v"))
		f.ranFor("-", "PUT a v")
		f.ranFor("-", "PUT b v")
		must.Eq(t, "DENIED", f.callWith(i, "strict", "stranger")("PUT x v"))
		must.Eq(t, "NODB", f.callWith(i, "nowhere", northKey)("PUT x v"))
		for _, id := range []string{"g-1", "g-2", "g-3"} {
			for _, r := range f.group.RanFor(id) {
				must.StrNotContains(t, r, "PUT x v")
			}
		}
		must.StrContains(t, f.log.String(), "reason=unknown-key")
	})
}

// A customer's key is taken away and given to another one while callers are connected. One
// that idles learns it with its next statement; one in the middle of a transaction may end
// it at once, and is rolled back when it rests. A key that was added works on at once.
func TestKeysChangeHands(t *testing.T) {
	playKeys(t, func(f *fleet, i *instance) {
		idle, quick, rests := f.callWith(i, "strict", northKey), f.callWith(i, "strict", northKey), f.callWith(i, "strict", northKey)
		must.Eq(t, "I", idle("PUT k v"))
		for _, ask := range []func(string) string{quick, rests} {
			must.Eq(t, "T", ask("BEGIN"))
		}
		must.Eq(t, "T", quick("PUT q v"))
		must.Eq(t, "T", rests("PUT r v"))
		f.give([]string{"k3y-fresh"}, []string{southKey})
		time.Sleep(400 * time.Millisecond)
		must.Eq(t, "I", quick("COMMIT"))
		must.Eq(t, "DENIED I", idle("PUT k v2"))
		must.Eq(t, "DENIED I", idle("BEGIN"))
		must.Eq(t, "I", f.callWith(i, "strict", "k3y-fresh")("PUT f v"))
		f.ranFor("north", "PUT f v")
		time.Sleep(time.Second)
		must.Eq(t, "ABORTED I", rests("COMMIT"))
		must.Eq(t, "none I", f.callWith(i, "strict", southKey)("FETCH r"))
		f.give(nil, []string{southKey, northKey})
		time.Sleep(400 * time.Millisecond)
		must.Eq(t, "I", idle("PUT k v3"))
		f.ranFor("south", "PUT k v3")
		must.StrContains(t, f.log.String(), "reason=key-withdrawn")
	})
}

// The store is away, and nobody else tells what it holds: a key that this instance doesn't
// know may have been added meanwhile. The caller is told to come back, not that its key is
// wrong.
func TestUncertainKey(t *testing.T) {
	playKeys(t, func(f *fleet, i *instance) {
		f.store.SetFaults(func(x *storer.Faults) { x.Down = true })
		time.Sleep(4 * time.Second)
		must.Eq(t, "BUSY", f.callWith(i, "strict", "k3y-new")("PUT k v"))
		must.Eq(t, "I", f.callWith(i, "strict", northKey)("PUT k v"))
		f.store.SetFaults(func(x *storer.Faults) { x.Down = false })
		time.Sleep(3 * time.Second)
		must.Eq(t, "DENIED", f.callWith(i, "strict", "k3y-new")("PUT k v"))
		must.StrContains(t, f.log.String(), "reason=key-uncertain")
	})
}

// Keys go through every path: two instances that tell each other the configuration, callers
// whose keys are good, unknown, malformed or taken away, metrics and logs. Nothing that an
// instance sends or prints has one in it.
func TestKeysShowNowhere(t *testing.T) {
	play(t, func(f *fleet) {
		var mutex sync.Mutex
		var sent strings.Builder
		f.net.Tap = func(from, _ *wirer.Host, data []byte) {
			if strings.HasPrefix(from.IP, "10.5.") {
				mutex.Lock()
				defer mutex.Unlock()
				sent.Write(data)
			}
		}
		f.give([]string{northKey}, []string{southKey})
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "a")
		time.Sleep(3 * time.Second)
		f.net.Cut("10.5.0.2", "10.6.0.1")
		f.give([]string{northKey, "k3y-told"}, []string{southKey})
		time.Sleep(3 * time.Second)
		must.Eq(t, "I", f.callWith(b, "strict", "k3y-told")("PUT k v"))
		for _, i := range []*instance{a, b} {
			must.Eq(t, "I", f.callWith(i, "strict", northKey)("PUT k v"))
			f.callWith(i, "strict", "k3y-unknown")("PUT k v")
			f.callWith(i, "nowhere", "k3y-lost")("PUT k v")
		}
		f.malformed(a, "STARTUP k3y-alone")
		f.malformed(a, "k3y-first strict")
		f.malformed(a, "QUERY k3y-query strict")
		f.give(nil, []string{southKey, "k3y-more"})
		time.Sleep(2 * time.Second)
		must.Eq(t, "DENIED", f.callWith(b, "strict", northKey)("PUT k v"))
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

// malformed sends a first line and reads what comes until the instance closes.
func (f *fleet) malformed(i *instance, line string) {
	caller := f.callers.Add(1)
	conn, err := f.net.Host(fmt.Sprintf("10.7.0.%d", caller), "a").Dial(f.ctx, i.host.IP+":5000")
	must.NoError(f.t, err)
	fmt.Fprintf(conn, "%s\r\n", line)
	_, _ = io.ReadAll(conn)
}

// metrics returns an instance's metrics page.
func (f *fleet) metrics(i *instance) string { return f.page(i, "/metrics") }

// page returns a page of an instance's metrics address.
func (f *fleet) page(i *instance, path string) string {
	h := &http.Client{Transport: &http.Transport{DialContext: i.dial, DisableKeepAlives: true}}
	a, err := h.Get("http://" + i.host.IP + ":5002" + path)
	must.NoError(f.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	must.NoError(f.t, err)
	return string(text)
}
