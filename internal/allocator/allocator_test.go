package allocator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

const group = "lockers"

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a slice whose actions the test answers.
type fixture struct {
	slice *Slice
	now   time.Time
}

func newFixture() *fixture {
	f := &fixture{slice: &Slice{Instance: "entry-1", Random: rand.New(rand.NewPCG(1, 1))}, now: epoch}
	f.step(configurer.Activated{Version: 1, Document: &configurer.Document{Services: []configurer.Service{{
		Name: group, Connections: 20, Members: []configurer.Member{{Name: "m1", Address: "a1"}, {Name: "m2", Address: "a2"}},
	}}}})
	return f
}

func (f *fixture) step(e controller.Event) []controller.Action { return f.slice.Step(f.now, e) }

func (f *fixture) application() string { return f.slice.services[group].application }

// reportHeld reports how many connections the pool holds under its current share.
func (f *fixture) reportHeld(held int) {
	f.step(Load{Service: group, Use: pooler.Usage{Share: f.slice.services[group].poolShare, Held: held}})
}

// readLedgerWithOwn supplies a ledger in which the slice holds n connections.
func (f *fixture) readLedgerWithOwn(n int, revision int64, others ...Holder) []controller.Action {
	l := Ledger{Holders: others}.withHolder(Holder{Instance: "entry-1", Process: f.slice.process, Application: f.application(), Connections: n})
	return f.step(ledgerRead{service: group, ledger: l, revision: revision})
}

func findAction[T controller.Action](actions []controller.Action) (found T, ok bool) {
	for _, a := range actions {
		if x, is := a.(T); is {
			return x, true
		}
	}
	return found, false
}

func mustDo[T controller.Action](t *testing.T, actions []controller.Action) T {
	t.Helper()
	a, ok := findAction[T](actions)
	must.True(t, ok, must.Sprintf("%T is not among %v", a, actions))
	return a
}

func mustNotDo[T controller.Action](t *testing.T, actions []controller.Action) {
	t.Helper()
	a, ok := findAction[T](actions)
	must.False(t, ok, must.Sprintf("%v", a))
}

// nineHolders returns nine other holders of two connections each.
func nineHolders() []Holder {
	var out []Holder
	for i := range 9 {
		n := fmt.Sprintf("other-%d", i)
		out = append(out, Holder{Instance: n, Process: n, Application: n, Connections: 2})
	}
	return out
}

// The ledger must not fall before the pool, under its new limit, reports that the connection is
// closed: another instance could open one more.
func TestPoolShrinksBeforeLedger(t *testing.T) {
	f := newFixture()
	a := f.readLedgerWithOwn(2, 7, nineHolders()...)
	must.Eq(t, 1, f.slice.services[group].poolShare.Connections)
	mustNotDo[writeLedger](t, a)

	f.reportHeld(2)
	mustNotDo[writeLedger](t, f.readLedgerWithOwn(2, 7, nineHolders()...))
	t.Run("a report from before the limit", func(t *testing.T) {
		f.step(Load{Service: group, Use: pooler.Usage{Share: pooler.Share{Connections: 2, Application: f.application(), Version: 1}, Held: 0}})
		mustNotDo[writeLedger](t, f.readLedgerWithOwn(2, 7, nineHolders()...))
	})
	f.reportHeld(1)
	w := mustDo[writeLedger](t, f.readLedgerWithOwn(2, 7, nineHolders()...))
	must.Eq(t, 19, w.ledger.Total())
}

// After an unanswered write of a lower share, the pool's limit stays low and the write is
// repeated until the ledger has changed.
func TestUnansweredWriteKeepsPoolLimitLow(t *testing.T) {
	f := newFixture()
	f.readLedgerWithOwn(2, 7, nineHolders()...)
	f.reportHeld(1)
	mustDo[writeLedger](t, f.readLedgerWithOwn(2, 7, nineHolders()...))
	f.step(ledgerWritten{service: group, err: storer.ErrUnavailable})
	a := f.readLedgerWithOwn(2, 7) // the others have left, so connections are free
	mustNotDo[PoolLimit](t, a)
	must.Eq(t, 1, mustDo[writeLedger](t, a).ledger.Total())
	a = f.readLedgerWithOwn(2, 8)
	must.Eq(t, 2, mustDo[PoolLimit](t, a).Share.Connections)
}

// A holder whose key is missing is evicted only after missingTimeout, since it may be about to
// register again after an outage of the store.
func TestMissingHolderIsEvictedAfterTimeout(t *testing.T) {
	f := newFixture()
	other := Holder{Instance: "other", Process: "other/1", Application: "other/x", Connections: 2}
	f.readLedgerWithOwn(4, 7, other)
	f.reportHeld(0)
	f.readLedgerWithOwn(3, 7, other)
	c := mustDo[checkProcess](t, f.readLedgerWithOwn(3, 8, other))
	notLive := processChecked{service: group, process: c.process}
	mustNotDo[Evict](t, f.step(notLive))
	f.now = f.now.Add(missingTimeout - time.Second)
	mustNotDo[Evict](t, f.step(notLive))
	f.step(processChecked{service: group, process: c.process, live: true})
	mustNotDo[Evict](t, f.step(notLive))
	f.now = f.now.Add(missingTimeout)
	e := mustDo[Evict](t, f.step(notLive))
	must.Eq(t, Evict{Service: group, Application: "other/x", Addresses: []string{"a1", "a2"}}, e)

	t.Run("a member has not ended all", func(t *testing.T) {
		mustNotDo[writeLedger](t, f.step(Evicted{Service: group, Application: "other/x", Err: errSessionsRemain}))
	})
	w := mustDo[writeLedger](t, f.step(Evicted{Service: group, Application: "other/x"}))
	_, left := w.ledger.find("other/x")
	must.False(t, left)
}

// An instance that finds itself evicted stops using its old name at once and requests a share
// under a new one.
func TestEvictedInstanceUsesNewName(t *testing.T) {
	f := newFixture()
	f.readLedgerWithOwn(2, 7)
	old := f.application()
	a := f.step(ledgerRead{service: group, revision: 9})
	must.Eq(t, 0, mustDo[PoolLimit](t, a).Share.Connections)
	w := mustDo[writeLedger](t, a)
	must.NotEq(t, old, w.ledger.Holders[0].Application)
}

// The share of an earlier process of the same instance is reclaimed without waiting for its
// lease.
func TestPredecessorIsEvictedAtOnce(t *testing.T) {
	f := newFixture()
	old := Holder{Instance: "entry-1", Process: "entry-1/old", Application: "entry-1/old-x", Connections: 2}
	a := f.step(ledgerRead{service: group, ledger: Ledger{Holders: []Holder{old}}, revision: 7})
	must.Eq(t, "entry-1/old-x", mustDo[Evict](t, a).Application)
}

// A name refused by a target but still in the ledger, after an incomplete eviction, is released
// once the pool holds nothing.
func TestRevokedNameIsReleased(t *testing.T) {
	f := newFixture()
	f.readLedgerWithOwn(2, 7)
	f.step(Load{Service: group, Use: pooler.Usage{Share: f.slice.services[group].poolShare, Held: 1, Revoked: true}})
	a := f.readLedgerWithOwn(2, 7)
	must.Eq(t, 0, mustDo[PoolLimit](t, a).Share.Connections)
	f.step(Load{Service: group, Use: pooler.Usage{Share: f.slice.services[group].poolShare, Held: 0, Revoked: true}})
	must.Eq(t, 0, mustDo[writeLedger](t, f.readLedgerWithOwn(2, 7)).ledger.Total())
}

func TestDesiredConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		at   shareState
		want int
	}{
		{"first instance without load", shareState{Budget: 20, Free: 20, Holders: 1}, 4},
		{"startup", shareState{Budget: 20, Free: 20, Holders: 1}, 2},
		{"ninth instance", shareState{Budget: 20, Free: 4, Holders: 9}, 2},
		{"nothing is free", shareState{Budget: 20, Free: 0, Holders: 11}, 0},
		{"more instances than connections", shareState{Budget: 5, Free: 1, Holders: 9}, 1},
		{"waiting requests below the fair part", shareState{Budget: 60, Free: 42, Holders: 9, Own: 4, RequestsWaiting: true}, 6},
		{"waiting requests take half of what is free beyond one part", shareState{Budget: 60, Free: 38, Holders: 9, Own: 6, RequestsWaiting: true}, 22},
		{"one part stays free for the next instance", shareState{Budget: 20, Free: 2, Holders: 9, Own: 2, RequestsWaiting: true}, 2},
		{"returns connections when the free part is used", shareState{Budget: 60, Free: 2, Holders: 9, Own: 12, RequestsWaiting: true}, 8},
		{"keeps connections through a swing of load", shareState{Budget: 60, Free: 30, Holders: 9, Own: 10, Peak: 3}, 10},
		{"returns unused connections", shareState{Budget: 60, Free: 30, Holders: 9, Own: 10, Peak: 5, PeakComplete: true}, 5},
		{"keeps the base", shareState{Budget: 60, Free: 30, Holders: 9, Own: 6, Peak: 0, PeakComplete: true}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.at.Members, c.at.Settled = 3, c.name != "startup"
			must.Eq(t, c.want, desiredConnections(c.at))
		})
	}
}
