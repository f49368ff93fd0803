package launcher_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// metric returns the value of an instance's metric.
func (f *fleet) metric(i *instance, name string) int {
	f.t.Helper()
	h := &http.Client{Transport: &http.Transport{DialContext: i.dial, DisableKeepAlives: true}}
	a, err := h.Get("http://" + i.host.IP + ":5002/metrics")
	must.NoError(f.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	must.NoError(f.t, err)
	match := regexp.MustCompile(`(?m)^` + name + `\{.*\} (\d+)`).FindSubmatch(text)
	must.SliceLen(f.t, 2, match, must.Sprint(name))
	value, err := strconv.Atoi(string(match[1]))
	must.NoError(f.t, err)
	return value
}

// An instance keeps the state of the groups that its callers use, however many are configured, and
// drops it when they are no longer used.
func TestStateFollowsUse(t *testing.T) {
	for _, groups := range []int{200, 400} {
		t.Run(fmt.Sprint(groups), func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				f.noPromotions = true // an instance keeps the groups that it supervises
				f.extraGroups = groups
				f.configure()
				i := f.start("10.5.0.1", "a")
				time.Sleep(5 * time.Second)
				must.Eq(t, 0, f.metric(i, "oriolegw_entry_groups"))
				must.Eq(t, 0, f.group.AcceptedConnections("g-2"))
				must.Eq(t, "I", f.openSession(i, "strict")("PUT k v"))
				must.Eq(t, "v I", f.openSession(i, "own")("FETCH k"))
				must.Eq(t, 1, f.metric(i, "oriolegw_entry_groups"))
				open := f.openSession(i, "own")
				must.Eq(t, "T", open("BEGIN"))
				time.Sleep(40 * time.Second)
				must.Eq(t, 1, f.metric(i, "oriolegw_entry_groups")) // a transaction is open
				must.Eq(t, "T", open("PUT k w"))
				must.Eq(t, "I", open("COMMIT"))
				time.Sleep(40 * time.Second)
				must.Eq(t, 0, f.metric(i, "oriolegw_entry_groups"))
				must.Eq(t, "w I", f.openSession(i, "own")("FETCH k"))
			})
		})
	}
}

// Groups that are read often get regular proofs, which serve many reads; others are asked for none.
func TestProofsFollowReads(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.noPromotions = true
		f.extraGroups = 100
		f.configure()
		i := f.start("10.5.0.1", "a")
		time.Sleep(5 * time.Second)
		query := f.openSession(i, "own")
		must.Eq(t, "I", query("PUT k v"))
		proofs := func() (n int) {
			for _, statement := range f.group.Executed("g-1") {
				if strings.HasSuffix(statement, "BEGIN") {
					n++
				}
			}
			return n
		}
		for range 4 {
			time.Sleep(4 * time.Second)
			must.Eq(t, "v I", query("FETCH k"))
		}
		must.Eq(t, 4, proofs()) // one with each read
		time.Sleep(10 * time.Second)
		must.Eq(t, 4, proofs())
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, "v I", query("FETCH k"))
		}
		must.Between(t, 8, proofs(), 30)
	})
}

// When all instances restart at once, only a few read the whole store, however many there are.
func TestFleetRestartReadsStoreOnce(t *testing.T) {
	for _, instances := range []int{12, 24} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				var all []*instance
				startAll := func() {
					all = nil
					for n := range instances {
						all = append(all, f.start(fmt.Sprintf("10.5.0.%d", n+1), "a"))
					}
				}
				startAll()
				time.Sleep(8 * time.Second)
				for n, i := range all {
					f.net.Kill(fmt.Sprintf("10.5.0.%d", n+1))
					i.kill()
				}
				time.Sleep(time.Second)
				for n := range all {
					f.net.Revive(fmt.Sprintf("10.5.0.%d", n+1))
				}
				before := f.platform.WholeReads.Load()
				startAll()
				time.Sleep(2 * time.Second)
				must.LessEq(t, 3, f.platform.WholeReads.Load()-before)
				for _, i := range all {
					must.Eq(t, http.StatusOK, f.readyStatus(i))
				}
				must.Eq(t, "I", f.openSession(all[0], "strict")("PUT k v"))
			})
		})
	}
}

// When a fleet starts for the first time and stale reads of the store show nothing yet, instances
// must still find each other instead of each reading and watching the whole store.
func TestFirstStartWithStaleReads(t *testing.T) {
	for _, instances := range []int{12, 24} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				f.coldStart = true
				f.platform.StaleUntil = time.Now().Add(10 * time.Second)
				var all []*instance
				for n := range instances {
					all = append(all, f.start(fmt.Sprintf("10.5.0.%d", n+1), "a"))
				}
				time.Sleep(6 * time.Second)
				must.LessEq(t, 3, f.platform.WholeReads.Load())
				for _, i := range all {
					must.Eq(t, http.StatusOK, f.readyStatus(i))
				}
			})
		})
	}
}
