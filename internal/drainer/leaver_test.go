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

// An instance leaves: it goes on accepting until the balancer has seen that it
// is not ready, then ends when its callers have, or at the limit.
func TestLeaver(t *testing.T) {
	const limit = 10 * time.Second
	for _, c := range []struct {
		name string
		// left is how many callers there are after each second since it stopped
		// accepting.
		left  []int
		stops time.Duration
		cut   int
	}{
		{"no callers", []int{0}, 3 * time.Second, 0},
		{"they end", []int{5, 3, 1, 0}, 6 * time.Second, 0},
		{"one never ends", []int{5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 12 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &drainer.Leaver{Limit: limit}
			start := time.Unix(1, 0)
			var accepting, stopped time.Duration
			cut := -1
			step := func(now time.Time, e controller.Event) {
				for _, a := range l.Step(now, e) {
					switch a := a.(type) {
					case drainer.StopAccepting:
						accepting = now.Sub(start)
					case drainer.Stop:
						stopped, cut = now.Sub(start), a.Cut
					}
				}
			}
			step(start, drainer.InstanceLeaving{})
			step(start.Add(time.Second), drainer.InstanceLeaving{}) // said twice
			for at := time.Duration(0); at <= 20*time.Second; at += time.Second {
				now := start.Add(at)
				step(now, controller.Tick{})
				if i := int((at - accepting) / time.Second); accepting > 0 && i >= 1 && i <= len(c.left) && cut < 0 {
					step(now, drainer.CallersLeft{Callers: c.left[i-1]})
				}
			}
			must.Eq(t, 2*time.Second, accepting)
			must.Eq(t, c.stops, stopped)
			must.Eq(t, c.cut, cut)
		})
	}
}

var groups = &configurer.Document{Services: []configurer.Service{{
	Name: "lockers", Members: []configurer.Member{{Name: "one"}, {Name: "two"}},
}}}

func marked(leaving bool) configurer.Activated {
	d := &configurer.Document{Services: []configurer.Service{groups.Services[0]}}
	d.Services[0].Members = []configurer.Member{{Name: "one", Leaving: leaving}, {Name: "two"}}
	return configurer.Activated{Version: 2, Document: d}
}

func listed(state string) lister.Listed {
	return lister.Listed{Instances: []lister.Instance{{Name: "one", Kind: lister.KindTarget, State: state}}}
}

func told(peer string, leaving bool) drainer.Sign {
	return drainer.Sign{Service: "lockers", Member: "one", Leaving: leaving, Source: drainer.SourcePeer, Peer: peer}
}

// Signs come from several sources, are lost on the way, contradict each other,
// and end. One that holds is enough; a target is back when none does.
func TestSigns(t *testing.T) {
	tick := controller.Tick{}
	for _, c := range []struct {
		name   string
		events []controller.Event
		// pause is the time between events.
		pause time.Duration
		want  bool
	}{
		{"list", []controller.Event{listed(lister.StateLeaving)}, time.Second, true},
		{"list, ended", []controller.Event{listed(lister.StateLeaving), listed(lister.StateLive)}, time.Second, false},
		{"list, row missing", []controller.Event{listed(lister.StateLeaving), lister.Listed{}}, time.Second, false},
		{"operator", []controller.Event{marked(true)}, time.Second, true},
		{"operator, list says live", []controller.Event{marked(true), listed(lister.StateLive)}, time.Second, true},
		{"operator, ended", []controller.Event{marked(true), marked(false)}, time.Second, false},
		{"peer", []controller.Event{told("p", true)}, time.Second, true},
		{"two peers, one ends", []controller.Event{told("p", true), told("q", true), told("p", false)}, time.Second, true},
		{"peer that is never heard again", []controller.Event{told("p", true), tick, tick}, 6 * time.Minute, false},
		{"unknown target", []controller.Event{drainer.Sign{Service: "lockers", Member: "nine", Leaving: true}}, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &drainer.Slice{}
			now, leaving := time.Unix(1, 0), false
			for _, e := range append([]controller.Event{configurer.Activated{Version: 1, Document: groups}}, c.events...) {
				for _, a := range s.Step(now, e) {
					if l, ok := a.(controller.Emit).Event.(drainer.TargetLeaving); ok {
						must.Eq(t, "one", l.Member)
						leaving = l.Leaving
					}
				}
				now = now.Add(c.pause)
			}
			must.Eq(t, c.want, leaving)
		})
	}
}
