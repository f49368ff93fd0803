package sharer

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

// play is a slice whose calls are answered by hand.
type play struct {
	slice *Slice
	now   time.Time
}

func start() *play {
	p := &play{slice: &Slice{Instance: "entry-1", Random: rand.New(rand.NewPCG(1, 1))}, now: epoch}
	p.step(configurer.Activated{Version: 1, Document: &configurer.Document{Services: []configurer.Service{{
		Name: group, Connections: 20, Members: []configurer.Member{{Name: "m1", Address: "a1"}, {Name: "m2", Address: "a2"}},
	}}}})
	return p
}

func (p *play) step(e controller.Event) []controller.Action { return p.slice.Step(p.now, e) }

func (p *play) mine() string { return p.slice.services[group].application }

// report has the pool tell how it uses the share that it was given last.
func (p *play) report(held int) {
	p.step(Load{Service: group, Use: pooler.Usage{Share: p.slice.services[group].share, Held: held}})
}

// holds brings the slice to hold a number of connections at a revision.
func (p *play) holds(n int, revision int64, others ...Holder) []controller.Action {
	l := Ledger{Holders: others}.with(Holder{Instance: "entry-1", Process: p.slice.process, Application: p.mine(), Connections: n})
	return p.step(ledgerRead{service: group, ledger: l, revision: revision})
}

func find[T controller.Action](actions []controller.Action) (found T, ok bool) {
	for _, a := range actions {
		if x, is := a.(T); is {
			return x, true
		}
	}
	return found, false
}

func mustDo[T controller.Action](t *testing.T, actions []controller.Action) T {
	t.Helper()
	a, ok := find[T](actions)
	must.True(t, ok, must.Sprintf("%T is not among %v", a, actions))
	return a
}

func mustNotDo[T controller.Action](t *testing.T, actions []controller.Action) {
	t.Helper()
	a, ok := find[T](actions)
	must.False(t, ok, must.Sprintf("%v", a))
}

// crowd is nine other holders of two connections each.
func crowd() []Holder {
	var out []Holder
	for i := range 9 {
		n := fmt.Sprintf("other-%d", i)
		out = append(out, Holder{Instance: n, Process: n, Application: n, Connections: 2})
	}
	return out
}

// The share must fall by one, and the pool still has a connection above it which
// its target has not ended. The ledger may not say less until the pool, under its
// new limit, reports that it holds no more; else another instance could open the
// one that is still there.
func TestLedgerFallsAfterThePool(t *testing.T) {
	p := start()
	a := p.holds(2, 7, crowd()...)
	must.Eq(t, 1, p.slice.services[group].share.Connections)
	mustNotDo[writeLedger](t, a)

	p.report(2)
	mustNotDo[writeLedger](t, p.holds(2, 7, crowd()...))
	t.Run("a report from before the limit", func(t *testing.T) {
		p.step(Load{Service: group, Use: pooler.Usage{Share: pooler.Share{Connections: 2, Application: p.mine(), Version: 1}, Held: 0}})
		mustNotDo[writeLedger](t, p.holds(2, 7, crowd()...))
	})
	p.report(1)
	w := mustDo[writeLedger](t, p.holds(2, 7, crowd()...))
	must.Eq(t, 19, w.ledger.Total())
}

// The write that lowers the share gets no answer, and a read shows the old
// ledger: the write may still be on its way. The pool stays low until the ledger
// has moved on, and the same write is sent again to move it.
func TestLateWriteDoesNotFindThePoolRaised(t *testing.T) {
	p := start()
	p.holds(2, 7, crowd()...)
	p.report(1)
	mustDo[writeLedger](t, p.holds(2, 7, crowd()...))
	p.step(ledgerWritten{service: group, err: storer.ErrUnavailable})
	a := p.holds(2, 7) // the others have gone: there would be room
	mustNotDo[Limit](t, a)
	must.Eq(t, 1, mustDo[writeLedger](t, a).ledger.Total())
	a = p.holds(2, 8)
	must.Eq(t, 2, mustDo[Limit](t, a).Share.Connections)
}

// The store was down and every lease has lapsed. The first look at another
// holder finds no key. It may be about to register again, so it is evicted only
// when it has been missed for as long as all need to come back.
func TestHolderIsMissedForAWhileBeforeItIsEvicted(t *testing.T) {
	p := start()
	other := Holder{Instance: "other", Process: "other/1", Application: "other/x", Connections: 2}
	p.holds(4, 7, other)
	p.report(0)
	p.holds(3, 7, other)
	c := mustDo[checkProcess](t, p.holds(3, 8, other))
	gone := processChecked{service: group, process: c.process}
	mustNotDo[Evict](t, p.step(gone))
	p.now = p.now.Add(missingFor - time.Second)
	mustNotDo[Evict](t, p.step(gone))
	p.step(processChecked{service: group, process: c.process, live: true})
	mustNotDo[Evict](t, p.step(gone))
	p.now = p.now.Add(missingFor)
	e := mustDo[Evict](t, p.step(gone))
	must.Eq(t, Evict{Service: group, Application: "other/x", Addresses: []string{"a1", "a2"}}, e)

	t.Run("a member has not ended all", func(t *testing.T) {
		mustNotDo[writeLedger](t, p.step(Evicted{Service: group, Application: "other/x", Err: errRemain}))
	})
	w := mustDo[writeLedger](t, p.step(Evicted{Service: group, Application: "other/x"}))
	_, left := w.ledger.find("other/x")
	must.False(t, left)
}

// This instance was paused and wakes to a ledger without it: its connections are
// closed and its name is refused everywhere. It stops using the old name at once
// and asks for a share under a new one.
func TestEvictedInstanceStartsAnew(t *testing.T) {
	p := start()
	p.holds(2, 7)
	old := p.mine()
	a := p.step(ledgerRead{service: group, revision: 9})
	must.Eq(t, 0, mustDo[Limit](t, a).Share.Connections)
	w := mustDo[writeLedger](t, a)
	must.NotEq(t, old, w.ledger.Holders[0].Application)
}

// An instance of this name ran before and crashed. Its part is taken back at
// once, without waiting for its lease.
func TestPredecessorIsEvictedAtOnce(t *testing.T) {
	p := start()
	old := Holder{Instance: "entry-1", Process: "entry-1/old", Application: "entry-1/old-x", Connections: 2}
	a := p.step(ledgerRead{service: group, ledger: Ledger{Holders: []Holder{old}}, revision: 7})
	must.Eq(t, "entry-1/old-x", mustDo[Evict](t, a).Application)
}

// A target refuses this instance's name, but the ledger still lists it: whoever
// evicted it stopped halfway. The name is given up once the pool holds nothing.
func TestHalfEvictedNameIsGivenUp(t *testing.T) {
	p := start()
	p.holds(2, 7)
	p.step(Load{Service: group, Use: pooler.Usage{Share: p.slice.services[group].share, Held: 1, Revoked: true}})
	a := p.holds(2, 7)
	must.Eq(t, 0, mustDo[Limit](t, a).Share.Connections)
	p.step(Load{Service: group, Use: pooler.Usage{Share: p.slice.services[group].share, Held: 0, Revoked: true}})
	must.Eq(t, 0, mustDo[writeLedger](t, p.holds(2, 7)).ledger.Total())
}

func TestSize(t *testing.T) {
	for _, c := range []struct {
		name string
		at   position
		want int
	}{
		{"first instance without load", position{Budget: 20, Free: 20, Holders: 1}, 4},
		{"fleet that starts", position{Budget: 20, Free: 20, Holders: 1}, 2},
		{"ninth instance", position{Budget: 20, Free: 4, Holders: 9}, 2},
		{"nothing is free", position{Budget: 20, Free: 0, Holders: 11}, 0},
		{"more instances than connections", position{Budget: 5, Free: 1, Holders: 9}, 1},
		{"pressed below its part", position{Budget: 60, Free: 42, Holders: 9, Mine: 4, Pressed: true}, 6},
		{"pressed takes half beyond one part", position{Budget: 60, Free: 38, Holders: 9, Mine: 6, Pressed: true}, 22},
		{"one part stays free for the next instance", position{Budget: 20, Free: 2, Holders: 9, Mine: 2, Pressed: true}, 2},
		{"gives back when that part is used", position{Budget: 60, Free: 2, Holders: 9, Mine: 12, Pressed: true}, 8},
		{"keeps a swing", position{Budget: 60, Free: 30, Holders: 9, Mine: 10, Peak: 3}, 10},
		{"gives back what was not used", position{Budget: 60, Free: 30, Holders: 9, Mine: 10, Peak: 5, Rested: true}, 5},
		{"keeps the base", position{Budget: 60, Free: 30, Holders: 9, Mine: 6, Peak: 0, Rested: true}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.at.Members, c.at.Settled = 3, c.name != "fleet that starts"
			must.Eq(t, c.want, size(c.at))
		})
	}
}
