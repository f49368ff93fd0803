package drainer_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/shoenig/test/must"
)

// A leaving instance keeps accepting clients until the load balancer can see that it is not
// ready, and stops when they have disconnected or at the limit.
func TestInstanceDrainer(t *testing.T) {
	const limit = 10 * time.Second
	for _, c := range []struct {
		name string
		// remaining is the number of clients after each second since accepting stopped.
		remaining []int
		stops     time.Duration
		cut       int
	}{
		{"no clients", []int{0}, 3 * time.Second, 0},
		{"all disconnect", []int{5, 3, 1, 0}, 6 * time.Second, 0},
		{"one never disconnects", []int{5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 12 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &drainer.InstanceDrainer{Limit: limit}
			start := time.Unix(1, 0)
			var stoppedAccepting, stopped time.Duration
			cut := -1
			step := func(now time.Time, e controller.Event) {
				for _, a := range l.Step(now, e) {
					switch a := a.(type) {
					case drainer.StopAccepting:
						stoppedAccepting = now.Sub(start)
					case drainer.Stop:
						stopped, cut = now.Sub(start), a.Disconnected
					}
				}
			}
			step(start, drainer.InstanceLeaving{})
			step(start.Add(time.Second), drainer.InstanceLeaving{}) // repeated
			for at := time.Duration(0); at <= 20*time.Second; at += time.Second {
				now := start.Add(at)
				step(now, controller.Tick{})
				if i := int((at - stoppedAccepting) / time.Second); stoppedAccepting > 0 && i >= 1 && i <= len(c.remaining) && cut < 0 {
					step(now, drainer.CallersLeft{Callers: c.remaining[i-1]})
				}
			}
			must.Eq(t, 2*time.Second, stoppedAccepting)
			must.Eq(t, c.stops, stopped)
			must.Eq(t, c.cut, cut)
		})
	}
}

var document = &configurer.Document{Services: []configurer.Service{{
	Name: "lockers", Members: []configurer.Member{{Name: "one"}, {Name: "two"}},
}}}

func operatorSignal(leaving bool) configurer.Activated {
	d := &configurer.Document{Services: []configurer.Service{document.Services[0]}}
	d.Services[0].Members = []configurer.Member{{Name: "one", Leaving: leaving}, {Name: "two"}}
	return configurer.Activated{Version: 2, Document: d}
}

func listSignal(state string) lister.Listed {
	return lister.Listed{Instances: []lister.Instance{{Name: "one", Kind: lister.KindTarget, State: state}}}
}

func peerSignal(peer string, leaving bool) drainer.LeavingSignal {
	return drainer.LeavingSignal{Service: "lockers", Member: "one", Leaving: leaving, Source: drainer.SourcePeer, Peer: peer}
}

// A target is leaving while any source signals it, also when others contradict or are missing.
func TestLeavingSignals(t *testing.T) {
	tick := controller.Tick{}
	for _, c := range []struct {
		name   string
		events []controller.Event
		// interval is the time between events.
		interval time.Duration
		want     bool
	}{
		{"list", []controller.Event{listSignal(lister.StateLeaving)}, time.Second, true},
		{"list, ended", []controller.Event{listSignal(lister.StateLeaving), listSignal(lister.StateLive)}, time.Second, false},
		{"list, row missing", []controller.Event{listSignal(lister.StateLeaving), lister.Listed{}}, time.Second, false},
		{"operator", []controller.Event{operatorSignal(true)}, time.Second, true},
		{"operator, list says live", []controller.Event{operatorSignal(true), listSignal(lister.StateLive)}, time.Second, true},
		{"operator, ended", []controller.Event{operatorSignal(true), operatorSignal(false)}, time.Second, false},
		{"peer", []controller.Event{peerSignal("p", true)}, time.Second, true},
		{"two peers, one ends", []controller.Event{peerSignal("p", true), peerSignal("q", true), peerSignal("p", false)}, time.Second, true},
		{"peer that stops repeating", []controller.Event{peerSignal("p", true), tick, tick}, 6 * time.Minute, false},
		{"unknown target", []controller.Event{drainer.LeavingSignal{Service: "lockers", Member: "nine", Leaving: true}}, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &drainer.Slice{}
			now, leaving := time.Unix(1, 0), false
			for _, e := range append([]controller.Event{configurer.Activated{Version: 1, Document: document}}, c.events...) {
				for _, a := range s.Step(now, e) {
					if l, ok := a.(controller.Emit).Event.(drainer.TargetLeaving); ok {
						must.Eq(t, "one", l.Member)
						leaving = l.Leaving
					}
				}
				now = now.Add(c.interval)
			}
			must.Eq(t, c.want, leaving)
		})
	}
}
