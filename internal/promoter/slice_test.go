package promoter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/internal/promoter"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

// desk plays the members and the store to one slice, by hand.
type desk struct {
	t       *testing.T
	slice   *promoter.Slice
	now     time.Time
	actions []controller.Action
	events  []controller.Event
}

var names = []string{"m-1", "m-2", "m-3"}

// newDesk has a primary m-1 of term 1 that is agreed to have failed.
func newDesk(t *testing.T) *desk {
	d := &desk{
		t: t, now: time.Unix(1000, 0),
		slice: &promoter.Slice{Name: "entry", Owner: "entry/1", Random: rand.New(rand.NewPCG(1, 1))},
	}
	service := configurer.Service{Name: "s"}
	for _, n := range names {
		service.Members = append(service.Members, configurer.Member{Name: n, Address: n})
	}
	d.step(configurer.InForce{Version: 1, Document: &configurer.Document{Services: []configurer.Service{service}}})
	for _, n := range names {
		d.step(observer.Observed{Service: "s", Member: n, Started: d.now, Status: d.status(n, 1)})
	}
	d.step(detector.Agreed{Service: "s", Member: "m-1", Term: 1, On: true, Evidence: detector.EvidenceSilent})
	d.pass(time.Second)
	return d
}

func (d *desk) status(member string, term uint64) commander.Status {
	s := commander.Status{Role: commander.RoleReplica, Term: term, Following: "m-1", Received: orderer.Position{Term: 1, Offset: 4}}
	if member == "m-1" {
		s.Role, s.Following = commander.RolePrimary, ""
	}
	return s
}

func (d *desk) step(e controller.Event) {
	for _, a := range d.slice.Step(d.now, e) {
		if m, ok := a.(controller.Emit); ok {
			d.events = append(d.events, m.Event)
			continue
		}
		d.actions = append(d.actions, a)
	}
}

func (d *desk) pass(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end); {
		d.now = d.now.Add(50 * time.Millisecond)
		d.step(controller.Tick{})
	}
}

// orders takes the orders of a kind that were given, and to whom.
func (d *desk) orders(kind promoter.OrderKind) map[string]promoter.Order {
	out := map[string]promoter.Order{}
	var rest []controller.Action
	for _, a := range d.actions {
		if o, ok := a.(promoter.Order); ok && o.Kind == kind {
			out[o.Member] = o
			continue
		}
		rest = append(rest, a)
	}
	d.actions = rest
	return out
}

func (d *desk) answer(o promoter.Order, s commander.Status, err error) {
	d.step(promoter.Ordered{Order: o, Started: d.now, Status: s, Err: err})
}

// probe answers the probe for both replicas, and the intent.
func (d *desk) probe(outcome promoter.IntentOutcome, found promoter.Record) {
	d.found("m-2", "m-3")
	d.intend(outcome, found)
}

// found answers the probe for some members.
func (d *desk) found(members ...string) {
	asked := d.orders(promoter.OrderStatus)
	must.MapLen(d.t, len(names), asked)
	for _, n := range members {
		d.answer(asked[n], d.status(n, 1), nil)
	}
}

// intend answers the intent.
func (d *desk) intend(outcome promoter.IntentOutcome, found promoter.Record) {
	for _, a := range d.actions {
		if i, ok := a.(promoter.Intend); ok {
			d.step(promoter.Intended{Service: "s", Attempt: i.Attempt, Outcome: outcome, Found: found})
		}
	}
}

func (d *desk) grant(o promoter.Order) {
	s := d.status(o.Member, o.Term)
	s.Role, s.Owner = commander.RoleFenced, o.Owner
	d.answer(o, s, nil)
}

func (d *desk) abandoned(reason promoter.AbandonReason) {
	must.SliceNotEmpty(d.t, d.events)
	a, ok := d.events[len(d.events)-1].(promoter.Abandoned)
	must.True(d.t, ok)
	must.Eq(d.t, reason, a.Reason)
	must.MapEmpty(d.t, d.orders(promoter.OrderFence))
}

// One member is fenced first. Only when it grants the term are the others
// fenced: two promoters can't take one member each.
func TestOneMemberIsFencedFirst(t *testing.T) {
	d := newDesk(t)
	d.probe(promoter.IntentUnknown, promoter.Record{})
	first := d.orders(promoter.OrderFence)
	must.MapLen(t, 1, first)
	d.grant(first["m-2"])
	must.MapLen(t, 2, d.orders(promoter.OrderFence))
}

// The first member has granted the term to somebody else. The others are left
// alone.
func TestRefusedByTheFirst(t *testing.T) {
	d := newDesk(t)
	d.probe(promoter.IntentHeld, promoter.Record{})
	d.answer(d.orders(promoter.OrderFence)["m-2"], commander.Status{}, commander.ErrRefused)
	d.abandoned(promoter.AbandonNewerTerm)
}

// The suspected primary answers the probe: nothing is fenced.
func TestPrimaryAnswers(t *testing.T) {
	d := newDesk(t)
	asked := d.orders(promoter.OrderStatus)
	d.answer(asked["m-1"], d.status("m-1", 1), nil)
	d.abandoned(promoter.AbandonAlive)
}

// Only one replica answers: a fence could stop what still works, and would get
// no majority.
func TestNoMajorityInReach(t *testing.T) {
	d := newDesk(t)
	asked := d.orders(promoter.OrderStatus)
	d.answer(asked["m-2"], d.status("m-2", 1), nil)
	d.pass(time.Second)
	d.abandoned(promoter.AbandonNoMajority)
}

// Guards against a promotion that goes on after the suspicion it rests on has ended.
func TestGroundsEnd(t *testing.T) {
	over := detector.Agreed{Service: "s", Member: "m-1", Term: 1}
	t.Run("while members are asked", func(t *testing.T) {
		d := newDesk(t)
		d.step(over)
		d.abandoned(promoter.AbandonUnfounded)
		d.pass(4 * time.Second)
		must.MapEmpty(t, d.orders(promoter.OrderFence))
	})
	t.Run("while the store is asked", func(t *testing.T) {
		d := newDesk(t)
		d.found("m-2", "m-3")
		d.step(over)
		d.abandoned(promoter.AbandonUnfounded)
		d.intend(promoter.IntentHeld, promoter.Record{})
		must.MapEmpty(t, d.orders(promoter.OrderFence))
	})
	t.Run("once a member is fenced", func(t *testing.T) {
		d := newDesk(t)
		d.probe(promoter.IntentHeld, promoter.Record{})
		d.grant(d.orders(promoter.OrderFence)["m-2"])
		d.step(over)
		d.grant(d.orders(promoter.OrderFence)["m-3"])
		d.pass(100 * time.Millisecond)
		must.MapLen(t, 1, d.orders(promoter.OrderPromote))
	})
	t.Run("of a planned change", func(t *testing.T) {
		d := newDesk(t)
		d.step(over)
		d.actions, d.events = nil, nil
		d.step(drainer.TargetLeaving{Service: "s", Member: "m-1", Leaving: true})
		d.pass(time.Second)
		d.found(names...)
		d.step(drainer.TargetLeaving{Service: "s", Member: "m-1"})
		d.pass(50 * time.Millisecond)
		d.abandoned(promoter.AbandonUnfounded)
		must.MapEmpty(t, d.orders(promoter.OrderDrain))
	})
}

// Another promoter's intent for this term stands in the store. When nothing has
// come of it, the next attempt takes the term after it.
func TestIntentTaken(t *testing.T) {
	d := newDesk(t)
	d.probe(promoter.IntentTaken, promoter.Record{Term: 2, Owner: "other/1"})
	d.abandoned(promoter.AbandonTaken)
	d.actions = nil
	d.pass(900 * time.Millisecond)
	d.probe(promoter.IntentHeld, promoter.Record{})
	must.Eq(t, 3, d.orders(promoter.OrderFence)["m-2"].Term)
}

// The answer to the promotion is lost. The same member is told again; the other
// one is never promoted in that term.
func TestPromotionWithoutAnswer(t *testing.T) {
	d := newDesk(t)
	d.probe(promoter.IntentHeld, promoter.Record{})
	d.grant(d.orders(promoter.OrderFence)["m-2"])
	d.grant(d.orders(promoter.OrderFence)["m-3"])
	d.pass(100 * time.Millisecond)
	for range 3 {
		told := d.orders(promoter.OrderPromote)
		must.MapLen(t, 1, told)
		must.MapContainsKey(t, told, "m-2")
		d.answer(told["m-2"], commander.Status{}, commander.ErrSilent)
	}
	d.actions = nil
	d.pass(4 * time.Second)
	for _, o := range d.orders(promoter.OrderFence) {
		must.Eq(t, 3, o.Term)
	}
}
