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

// harness drives one Slice and simulates the members and the store.
type harness struct {
	t       *testing.T
	slice   *promoter.Slice
	now     time.Time
	actions []controller.Action
	events  []controller.Event
}

var memberNames = []string{"m-1", "m-2", "m-3"}

// newHarness returns a harness with an agreed failure of the primary m-1 in term 1.
func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, now: time.Unix(1000, 0),
		slice: &promoter.Slice{Name: "entry", Owner: "entry/1", Random: rand.New(rand.NewPCG(1, 1))},
	}
	service := configurer.Service{Name: "s"}
	for _, n := range memberNames {
		service.Members = append(service.Members, configurer.Member{Name: n, Address: n})
	}
	h.step(configurer.Activated{Version: 1, Document: &configurer.Document{Services: []configurer.Service{service}}})
	for _, n := range memberNames {
		h.step(observer.Observed{Service: "s", Member: n, Started: h.now, Status: h.status(n, 1)})
	}
	h.step(detector.FailureAgreed{Service: "s", Member: "m-1", Term: 1, Active: true, Evidence: detector.EvidenceSilent})
	h.advance(time.Second)
	return h
}

func (h *harness) status(member string, term uint64) commander.Status {
	s := commander.Status{Role: commander.RoleReplica, Term: term, Following: "m-1", Received: orderer.Position{Term: 1, Offset: 4}}
	if member == "m-1" {
		s.Role, s.Following = commander.RolePrimary, ""
	}
	return s
}

func (h *harness) step(e controller.Event) {
	for _, a := range h.slice.Step(h.now, e) {
		if m, ok := a.(controller.Emit); ok {
			h.events = append(h.events, m.Event)
			continue
		}
		h.actions = append(h.actions, a)
	}
}

func (h *harness) advance(t time.Duration) {
	for end := h.now.Add(t); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		h.step(controller.Tick{})
	}
}

// takeOrders removes and returns the emitted orders of a kind by member.
func (h *harness) takeOrders(kind promoter.OrderKind) map[string]promoter.Order {
	out := map[string]promoter.Order{}
	var rest []controller.Action
	for _, a := range h.actions {
		if o, ok := a.(promoter.Order); ok && o.Kind == kind {
			out[o.Member] = o
			continue
		}
		rest = append(rest, a)
	}
	h.actions = rest
	return out
}

func (h *harness) answer(o promoter.Order, s commander.Status, err error) {
	h.step(promoter.OrderResult{Order: o, Started: h.now, Status: s, Err: err})
}

// answerProbeAndIntent answers the probe for both replicas, and the intent.
func (h *harness) answerProbeAndIntent(outcome promoter.IntentOutcome, found promoter.Record) {
	h.answerProbe("m-2", "m-3")
	h.answerIntent(outcome, found)
}

// answerProbe answers the probe for the given members.
func (h *harness) answerProbe(members ...string) {
	requests := h.takeOrders(promoter.OrderStatus)
	must.MapLen(h.t, len(memberNames), requests)
	for _, n := range members {
		h.answer(requests[n], h.status(n, 1), nil)
	}
}

// answerIntent answers the intent.
func (h *harness) answerIntent(outcome promoter.IntentOutcome, found promoter.Record) {
	for _, a := range h.actions {
		if i, ok := a.(promoter.RecordIntent); ok {
			h.step(promoter.IntentRecorded{Service: "s", Attempt: i.Attempt, Outcome: outcome, Found: found})
		}
	}
}

func (h *harness) grantFence(o promoter.Order) {
	s := h.status(o.Member, o.Term)
	s.Role, s.Owner = commander.RoleFenced, o.Owner
	h.answer(o, s, nil)
}

func (h *harness) assertAbandoned(reason promoter.AbandonReason) {
	must.SliceNotEmpty(h.t, h.events)
	a, ok := h.events[len(h.events)-1].(promoter.Abandoned)
	must.True(h.t, ok)
	must.Eq(h.t, reason, a.Reason)
	must.MapEmpty(h.t, h.takeOrders(promoter.OrderFence))
}

// Guards against two promoters that each fence a minority.
func TestOneMemberIsFencedFirst(t *testing.T) {
	h := newHarness(t)
	h.answerProbeAndIntent(promoter.IntentUnknown, promoter.Record{})
	first := h.takeOrders(promoter.OrderFence)
	must.MapLen(t, 1, first)
	h.grantFence(first["m-2"])
	must.MapLen(t, 2, h.takeOrders(promoter.OrderFence))
}

// If the first member has granted the term to another owner, the others are not fenced.
func TestFirstFenceRefused(t *testing.T) {
	h := newHarness(t)
	h.answerProbeAndIntent(promoter.IntentHeld, promoter.Record{})
	h.answer(h.takeOrders(promoter.OrderFence)["m-2"], commander.Status{}, commander.ErrRefused)
	h.assertAbandoned(promoter.AbandonNewerTerm)
}

// If the suspected primary responds to the probe, no member is fenced.
func TestSuspectedPrimaryResponds(t *testing.T) {
	h := newHarness(t)
	requests := h.takeOrders(promoter.OrderStatus)
	h.answer(requests["m-1"], h.status("m-1", 1), nil)
	h.assertAbandoned(promoter.AbandonPrimaryAlive)
}

// Without a majority of responses, no member is fenced.
func TestProbeWithoutMajority(t *testing.T) {
	h := newHarness(t)
	requests := h.takeOrders(promoter.OrderStatus)
	h.answer(requests["m-2"], h.status("m-2", 1), nil)
	h.advance(time.Second)
	h.assertAbandoned(promoter.AbandonNoMajority)
}

// Guards against a promotion that continues after its reason has ended.
func TestReasonEndsDuringAttempt(t *testing.T) {
	cleared := detector.FailureAgreed{Service: "s", Member: "m-1", Term: 1}
	t.Run("during the probe", func(t *testing.T) {
		h := newHarness(t)
		h.step(cleared)
		h.assertAbandoned(promoter.AbandonReasonEnded)
		h.advance(4 * time.Second)
		must.MapEmpty(t, h.takeOrders(promoter.OrderFence))
	})
	t.Run("while the intent is recorded", func(t *testing.T) {
		h := newHarness(t)
		h.answerProbe("m-2", "m-3")
		h.step(cleared)
		h.assertAbandoned(promoter.AbandonReasonEnded)
		h.answerIntent(promoter.IntentHeld, promoter.Record{})
		must.MapEmpty(t, h.takeOrders(promoter.OrderFence))
	})
	t.Run("after a member is fenced", func(t *testing.T) {
		h := newHarness(t)
		h.answerProbeAndIntent(promoter.IntentHeld, promoter.Record{})
		h.grantFence(h.takeOrders(promoter.OrderFence)["m-2"])
		h.step(cleared)
		h.grantFence(h.takeOrders(promoter.OrderFence)["m-3"])
		h.advance(100 * time.Millisecond)
		must.MapLen(t, 1, h.takeOrders(promoter.OrderPromote))
	})
	t.Run("planned change", func(t *testing.T) {
		h := newHarness(t)
		h.step(cleared)
		h.actions, h.events = nil, nil
		h.step(drainer.TargetLeaving{Service: "s", Member: "m-1", Leaving: true})
		h.advance(time.Second)
		h.answerProbe(memberNames...)
		h.step(drainer.TargetLeaving{Service: "s", Member: "m-1"})
		h.advance(50 * time.Millisecond)
		h.assertAbandoned(promoter.AbandonReasonEnded)
		must.MapEmpty(t, h.takeOrders(promoter.OrderDrain))
	})
}

// After another promoter's intent for a term, the next attempt uses a newer term.
func TestIntentTaken(t *testing.T) {
	h := newHarness(t)
	h.answerProbeAndIntent(promoter.IntentTaken, promoter.Record{Term: 2, Owner: "other/1"})
	h.assertAbandoned(promoter.AbandonIntentTaken)
	h.actions = nil
	h.advance(900 * time.Millisecond)
	h.answerProbeAndIntent(promoter.IntentHeld, promoter.Record{})
	must.Eq(t, 3, h.takeOrders(promoter.OrderFence)["m-2"].Term)
}

// After a lost response the same member is promoted again, and no other in that term.
func TestPromotionResponseLost(t *testing.T) {
	h := newHarness(t)
	h.answerProbeAndIntent(promoter.IntentHeld, promoter.Record{})
	h.grantFence(h.takeOrders(promoter.OrderFence)["m-2"])
	h.grantFence(h.takeOrders(promoter.OrderFence)["m-3"])
	h.advance(100 * time.Millisecond)
	for range 3 {
		orders := h.takeOrders(promoter.OrderPromote)
		must.MapLen(t, 1, orders)
		must.MapContainsKey(t, orders, "m-2")
		h.answer(orders["m-2"], commander.Status{}, commander.ErrTimeout)
	}
	h.actions = nil
	h.advance(4 * time.Second)
	for _, o := range h.takeOrders(promoter.OrderFence) {
		must.Eq(t, 3, o.Term)
	}
}
