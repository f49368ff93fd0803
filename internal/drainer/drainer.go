// Package drainer decides how targets and instances leave without cutting a
// request.
package drainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
)

type (
	// TargetLeaving says that a target has begun, or no longer means, to leave:
	// it gets no new work. If it is the primary, a planned change follows.
	TargetLeaving struct {
		Service string
		Member  string
		Leaving bool
		// Source names where the sign came from: list, target, peer, operator.
		Source string
	}

	// InstanceLeaving says that this instance is leaving.
	InstanceLeaving struct{}

	// Sign says what one source holds of a target.
	Sign struct {
		Service string
		Member  string
		Leaving bool
		Source  Source
		// Peer is the instance that told, for SourcePeer.
		Peer string
	}

	// Own is this instance's first-hand sign: what it tells its peers. A sign
	// that it only heard is not, or two instances would keep each other's sign
	// alive for ever.
	Own struct {
		Service string
		Member  string
		Leaving bool
	}

	// Source is where a sign came from.
	Source string

	// Slice decides which targets are leaving. One sign from any source is
	// enough: a sign that was lost on one way comes on another, and a target
	// that gets no new work by mistake costs capacity, while one that leaves
	// with work in flight costs a request. It ends when no source holds it.
	Slice struct {
		services []configurer.Service
		targets  map[place]*target
		// signed are those that have signs: few, while targets are thousands.
		signed map[place]*target
	}

	place struct{ service, member string }

	target struct {
		signs   map[origin]time.Time
		leaving bool
		own     bool
	}

	origin struct {
		source Source
		peer   string
	}
)

// The sources of signs.
const (
	SourceList     Source = "list"
	SourceTarget   Source = "target"
	SourcePeer     Source = "peer"
	SourceOperator Source = "operator"
)

// peerSignFor is how long a peer's sign counts: the peer that gave it may have
// died, and the sign's end with it. It is longer than the time within which every
// instance reads the list, or has the document, and then has the sign at first
// hand.
const peerSignFor = 10 * time.Minute

// EventName implements controller.Event.
func (TargetLeaving) EventName() string { return "target-leaving" }

// EventName implements controller.Event.
func (InstanceLeaving) EventName() string { return "instance-leaving" }

// EventName implements controller.Event.
func (Sign) EventName() string { return "leaving-sign" }

// EventName implements controller.Event.
func (Own) EventName() string { return "leaving-sign-own" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.Activated:
		return s.apply(now, e.Document)
	case lister.Listed:
		if e.Err == nil {
			return s.listed(now, e.Instances)
		}
	case observer.Observed:
		// Only what this instance saw itself: what others saw comes as their sign.
		if e.Err == nil && e.From == "" {
			return s.take(now, Sign{Service: e.Service, Member: e.Member, Leaving: e.Status.Leaving, Source: SourceTarget})
		}
	case Sign:
		return s.take(now, e)
	case controller.Tick:
		return s.expire(now)
	}
	return nil
}

func (s *Slice) apply(now time.Time, d *configurer.Document) []controller.Action {
	old := s.targets
	s.services, s.targets, s.signed = d.Services, map[place]*target{}, map[place]*target{}
	var out []controller.Action
	for _, v := range d.Services {
		for _, m := range v.Members {
			p := place{v.Name, m.Name}
			t := old[p]
			if t == nil {
				t = &target{signs: map[origin]time.Time{}}
			}
			s.targets[p] = t
			if len(t.signs) > 0 {
				s.signed[p] = t
			}
			out = append(out, s.take(now, Sign{Service: v.Name, Member: m.Name, Leaving: m.Leaving, Source: SourceOperator})...)
		}
	}
	return out
}

// listed takes the states of targets from the platform's list. A target that is
// missing there gives no sign: the list lags, and loses rows.
func (s *Slice) listed(now time.Time, list []lister.Instance) []controller.Action {
	leaving := map[string]bool{}
	for _, i := range list {
		if i.Kind == lister.KindTarget {
			leaving[i.Name] = i.State == lister.StateLeaving
		}
	}
	var out []controller.Action
	for _, v := range s.services {
		for _, m := range v.Members {
			out = append(out, s.take(now, Sign{Service: v.Name, Member: m.Name, Leaving: leaving[m.Name], Source: SourceList})...)
		}
	}
	return out
}

func (s *Slice) take(now time.Time, e Sign) []controller.Action {
	p := place{e.Service, e.Member}
	t := s.targets[p]
	if t == nil {
		return nil
	}
	o := origin{source: e.Source, peer: e.Peer}
	if e.Leaving {
		t.signs[o] = now
		s.signed[p] = t
	} else {
		delete(t.signs, o)
	}
	return t.decide(p, string(e.Source))
}

// expire ends the signs of peers that no longer repeat them.
func (s *Slice) expire(now time.Time) []controller.Action {
	var out []controller.Action
	for p, t := range s.signed {
		for o, at := range t.signs {
			if o.source == SourcePeer && now.Sub(at) > peerSignFor {
				delete(t.signs, o)
			}
		}
		out = append(out, t.decide(p, string(SourcePeer))...)
		if len(t.signs) == 0 {
			delete(s.signed, p)
		}
	}
	slices.SortFunc(out, byPlace)
	return out
}

// byPlace makes the order of events that came from a map the same in every run.
func byPlace(a, b controller.Action) int { return cmp.Compare(placeOf(a), placeOf(b)) }

func placeOf(a controller.Action) string {
	switch e := a.(controller.Emit).Event.(type) {
	case TargetLeaving:
		return e.Service + "/" + e.Member + "/1"
	case Own:
		return e.Service + "/" + e.Member + "/2"
	}
	return ""
}

// decide tells what has changed: whether the target is leaving, and whether
// this instance has a sign of its own.
func (t *target) decide(p place, source string) []controller.Action {
	leaving, own := len(t.signs) > 0, false
	for o := range t.signs {
		own = own || o.source != SourcePeer
	}
	var out []controller.Action
	if leaving != t.leaving {
		t.leaving = leaving
		out = append(out, controller.Emit{Event: TargetLeaving{Service: p.service, Member: p.member, Leaving: leaving, Source: source}})
	}
	if own != t.own {
		t.own = own
		out = append(out, controller.Emit{Event: Own{Service: p.service, Member: p.member, Leaving: own}})
	}
	return out
}
