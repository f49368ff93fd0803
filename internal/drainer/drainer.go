// Package drainer drains targets and instances without interrupting requests.
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
	// TargetLeaving is emitted when a target starts or stops leaving. A leaving target gets
	// no new requests; a leaving primary triggers a planned failover.
	TargetLeaving struct {
		Service string
		Member  string
		Leaving bool
		// Source is the source of the signal that caused the change.
		Source string
	}

	// InstanceLeaving is received when this instance has to shut down.
	InstanceLeaving struct{}

	// LeavingSignal reports whether one source considers a target to be leaving.
	LeavingSignal struct {
		Service string
		Member  string
		Leaving bool
		Source  Source
		// Peer is the instance that sent the signal, for SourcePeer.
		Peer string
	}

	// LocalSignal is the leaving state that this instance reports to its peers. It excludes
	// peer signals, since two instances would otherwise renew each other's forever.
	LocalSignal struct {
		Service string
		Member  string
		Leaving bool
	}

	// Source identifies the origin of a leaving signal.
	Source string

	// Slice tracks which targets are leaving. A signal from any source is enough,
	// since a needless drain costs only capacity while a missed one fails requests
	// in flight. A target stops leaving when no source signals it any more.
	Slice struct {
		services []configurer.Service
		targets  map[targetKey]*target
		// signaled holds the targets that have signals.
		signaled map[targetKey]*target
	}

	targetKey struct{ service, member string }

	target struct {
		signals         map[origin]time.Time
		leaving         bool
		signaledLocally bool
	}

	origin struct {
		source Source
		peer   string
	}
)

// The sources of leaving signals.
const (
	SourceList     Source = "list"
	SourceTarget   Source = "target"
	SourcePeer     Source = "peer"
	SourceOperator Source = "operator"
)

// peerSignalTTL limits how long a peer's signal counts, since a crashed peer cannot
// withdraw it. By then every instance has read the instance list and the configuration.
const peerSignalTTL = 10 * time.Minute

// EventName implements controller.Event.
func (TargetLeaving) EventName() string { return "target-leaving" }

// EventName implements controller.Event.
func (InstanceLeaving) EventName() string { return "instance-leaving" }

// EventName implements controller.Event.
func (LeavingSignal) EventName() string { return "leaving-sign" }

// EventName implements controller.Event.
func (LocalSignal) EventName() string { return "leaving-sign-own" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.Activated:
		return s.applyDocument(now, e.Document)
	case lister.Listed:
		if e.Err == nil {
			return s.applyList(now, e.Instances)
		}
	case observer.Observed:
		// Observations of other instances arrive as peer signals.
		if e.Err == nil && e.From == "" {
			return s.recordSignal(now, LeavingSignal{Service: e.Service, Member: e.Member, Leaving: e.Status.Leaving, Source: SourceTarget})
		}
	case LeavingSignal:
		return s.recordSignal(now, e)
	case controller.Tick:
		return s.expirePeerSignals(now)
	}
	return nil
}

func (s *Slice) applyDocument(now time.Time, d *configurer.Document) []controller.Action {
	old := s.targets
	s.services, s.targets, s.signaled = d.Services, map[targetKey]*target{}, map[targetKey]*target{}
	var out []controller.Action
	for _, v := range d.Services {
		for _, m := range v.Members {
			p := targetKey{v.Name, m.Name}
			t := old[p]
			if t == nil {
				t = &target{signals: map[origin]time.Time{}}
			}
			s.targets[p] = t
			if len(t.signals) > 0 {
				s.signaled[p] = t
			}
			out = append(out, s.recordSignal(now, LeavingSignal{Service: v.Name, Member: m.Name, Leaving: m.Leaving, Source: SourceOperator})...)
		}
	}
	return out
}

// applyList records the states of targets in the instance list. A missing target counts as
// not leaving, since the list lags and can omit rows.
func (s *Slice) applyList(now time.Time, list []lister.Instance) []controller.Action {
	leaving := map[string]bool{}
	for _, i := range list {
		if i.Kind == lister.KindTarget {
			leaving[i.Name] = i.State == lister.StateLeaving
		}
	}
	var out []controller.Action
	for _, v := range s.services {
		for _, m := range v.Members {
			out = append(out, s.recordSignal(now, LeavingSignal{Service: v.Name, Member: m.Name, Leaving: leaving[m.Name], Source: SourceList})...)
		}
	}
	return out
}

func (s *Slice) recordSignal(now time.Time, e LeavingSignal) []controller.Action {
	p := targetKey{e.Service, e.Member}
	t := s.targets[p]
	if t == nil {
		return nil
	}
	o := origin{source: e.Source, peer: e.Peer}
	if e.Leaving {
		t.signals[o] = now
		s.signaled[p] = t
	} else {
		delete(t.signals, o)
	}
	return t.update(p, string(e.Source))
}

// expirePeerSignals removes signals that their peers have not repeated within the TTL.
func (s *Slice) expirePeerSignals(now time.Time) []controller.Action {
	var out []controller.Action
	for p, t := range s.signaled {
		for o, at := range t.signals {
			if o.source == SourcePeer && now.Sub(at) > peerSignalTTL {
				delete(t.signals, o)
			}
		}
		out = append(out, t.update(p, string(SourcePeer))...)
		if len(t.signals) == 0 {
			delete(s.signaled, p)
		}
	}
	slices.SortFunc(out, compareEvents)
	return out
}

// compareEvents orders events collected from a map deterministically.
func compareEvents(a, b controller.Action) int { return cmp.Compare(sortKey(a), sortKey(b)) }

func sortKey(a controller.Action) string {
	switch e := a.(controller.Emit).Event.(type) {
	case TargetLeaving:
		return e.Service + "/" + e.Member + "/1"
	case LocalSignal:
		return e.Service + "/" + e.Member + "/2"
	}
	return ""
}

// update emits an event for each change: whether the target is leaving, and whether a
// source other than a peer signals it.
func (t *target) update(p targetKey, source string) []controller.Action {
	leaving, signaledLocally := len(t.signals) > 0, false
	for o := range t.signals {
		signaledLocally = signaledLocally || o.source != SourcePeer
	}
	var out []controller.Action
	if leaving != t.leaving {
		t.leaving = leaving
		out = append(out, controller.Emit{Event: TargetLeaving{Service: p.service, Member: p.member, Leaving: leaving, Source: source}})
	}
	if signaledLocally != t.signaledLocally {
		t.signaledLocally = signaledLocally
		out = append(out, controller.Emit{Event: LocalSignal{Service: p.service, Member: p.member, Leaving: signaledLocally}})
	}
	return out
}
