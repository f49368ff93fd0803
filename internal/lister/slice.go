package lister

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
)

const (
	// watchers is how many instances of a zone read the list often. Two, so
	// that one may die or pause without the zone missing a leaving sign.
	watchers = 2
	watchKey = "instance-list"
	// watchEvery leaves two of the three seconds that a leaving sign has.
	watchEvery = time.Second
	// readEvery and readEveryEach are how often the others read it: at 1,800
	// instances each reads it every three minutes, the fleet 10 times a second.
	readEvery     = 5 * time.Second
	readEveryEach = 100 * time.Millisecond
	// metFor is how long a peer that called counts without being in the list,
	// which may be a minute late.
	metFor = 90 * time.Second
	// The pauses after which an instance that did not answer is tried again.
	firstPause = time.Second
	maxPause   = 30 * time.Second
	// failuresToLose is how many failed calls in a row take an instance out of
	// the view. One is not enough: a lost packet would move its work.
	failuresToLose = 2
)

type (
	// Slice keeps this instance's view of the other entry instances. The list
	// may be late and wrong, so the view adds who has called and takes out who
	// does not answer. Nothing that must hold rests on two views agreeing: where
	// they differ, a question is asked twice, or by an instance that has heard
	// nothing (package observer).
	Slice struct {
		// Self is this instance.
		Self   Instance
		Random *rand.Rand

		reading  bool
		nextRead time.Time
		failures int
		listed   map[string]Instance
		met      map[string]met
		lost     map[string]*lost
		view     []Instance
		// until is when the view changes by the passing of time.
		until time.Time
	}

	met struct {
		instance Instance
		at       time.Time
	}

	lost struct {
		failures int
		pause    time.Duration
		until    time.Time
	}

	// Read asks the platform for its list.
	Read struct{}

	// Listed is the platform's list as it was read.
	Listed struct {
		Instances []Instance
		Err       error
	}

	// Met says that a peer called, or was named by one.
	Met struct{ Instance Instance }

	// Called says how a call to a peer ended.
	Called struct {
		Name string
		OK   bool
	}

	// Changed is a new view of the live entry instances, this one included, in
	// the order of their names.
	Changed struct{ Instances []Instance }

	// Probe asks for a call to an instance that is out of the view because it
	// did not answer. It comes back when it answers, or calls: if it came back
	// by time alone, its work would go to and fro between it and others for as
	// long as the list shows an instance that is gone.
	Probe struct{ Instance Instance }

	// Reader performs Read.
	Reader struct{ List List }
)

// ActionName implements controller.Action.
func (Read) ActionName() string { return "read-instance-list" }

// EventName implements controller.Event.
func (Listed) EventName() string { return "instances-listed" }

// EventName implements controller.Event.
func (Met) EventName() string { return "peer-met" }

// EventName implements controller.Event.
func (Called) EventName() string { return "peer-called" }

// EventName implements controller.Event.
func (Changed) EventName() string { return "instances-changed" }

// EventName implements controller.Event.
func (Probe) EventName() string { return "peer-to-probe" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	s.open()
	switch e := e.(type) {
	case controller.Tick:
		return s.tick(now)
	case Listed:
		s.reading = false
		if e.Err != nil {
			s.failures++
			s.nextRead = now.Add(s.spread(min(watchEvery<<min(s.failures, 4), maxPause/2)))
			return nil
		}
		s.failures, s.listed = 0, map[string]Instance{}
		for _, i := range e.Instances {
			if i.Kind == KindEntry {
				s.listed[i.Name] = i
			}
		}
		return s.look(now)
	case Met:
		return s.meet(now, e.Instance)
	case Called:
		return s.called(now, e)
	}
	return nil
}

func (s *Slice) open() {
	if s.met == nil {
		s.met, s.lost = map[string]met{}, map[string]*lost{}
	}
}

func (s *Slice) tick(now time.Time) []controller.Action {
	out := s.probe(now)
	if s.view == nil || (!s.until.IsZero() && !now.Before(s.until)) {
		out = append(out, s.look(now)...)
	}
	if s.reading || now.Before(s.nextRead) {
		return out
	}
	s.reading, s.nextRead = true, now.Add(s.interval())
	return append(out, Read{})
}

// interval is how often this instance reads the list.
func (s *Slice) interval() time.Duration {
	if s.listed == nil || Holds(Top(watchKey, s.Self.Zone, watchers, s.view), s.Self.Name) {
		return watchEvery
	}
	return s.spread(max(readEvery, time.Duration(len(s.view))*readEveryEach))
}

// spread keeps instances that were started together from reading together.
func (s *Slice) spread(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.Random.Int64N(int64(d)/2+1))
}

func (s *Slice) meet(now time.Time, i Instance) []controller.Action {
	if i.Name == s.Self.Name || i.Address == "" {
		return nil
	}
	before := s.met[i.Name]
	s.met[i.Name] = met{instance: i, at: now}
	if before.instance == i && s.lost[i.Name] == nil {
		return nil
	}
	// It called, so it lives, whatever calls to it said.
	delete(s.lost, i.Name)
	return s.look(now)
}

func (s *Slice) called(now time.Time, e Called) []controller.Action {
	l := s.lost[e.Name]
	if e.OK {
		if l == nil {
			return nil
		}
		delete(s.lost, e.Name)
		return s.look(now)
	}
	if l == nil {
		l = &lost{pause: firstPause}
		s.lost[e.Name] = l
	}
	if l.failures++; l.failures != failuresToLose {
		return nil
	}
	l.until, l.pause = now.Add(s.spread(l.pause)), 2*l.pause
	return s.look(now)
}

// look makes the view anew, and tells the others if it has changed.
func (s *Slice) look(now time.Time) []controller.Action {
	seen := map[string]Instance{s.Self.Name: s.Self}
	s.until = time.Time{}
	for n, m := range s.met {
		if now.Sub(m.at) > metFor {
			delete(s.met, n)
			continue
		}
		s.wake(m.at.Add(metFor + time.Millisecond))
		seen[n] = m.instance
	}
	for n, i := range s.listed {
		if seen[n].State != StateLeaving { // it said so itself; the list lags
			seen[n] = i
		}
	}
	view := []Instance{}
	for n, i := range seen {
		l := s.lost[n]
		away := l != nil && l.failures >= failuresToLose
		if n == s.Self.Name || (i.State != StateLeaving && !away) {
			view = append(view, i)
		}
	}
	slices.SortFunc(view, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	if s.view != nil && slices.Equal(view, s.view) {
		return nil
	}
	s.view = view
	return []controller.Action{controller.Emit{Event: Changed{Instances: view}}}
}

// probe has those that did not answer called again, each after its pause.
func (s *Slice) probe(now time.Time) []controller.Action {
	var out []controller.Action
	for n, l := range s.lost {
		i, ok := s.listed[n]
		if !ok {
			i, ok = s.met[n].instance, s.met[n].instance.Name != ""
		}
		switch {
		case !ok:
			delete(s.lost, n) // nobody names it any more
		case l.failures >= failuresToLose && !now.Before(l.until):
			l.until, l.pause = now.Add(s.spread(l.pause)), min(2*l.pause, maxPause)
			out = append(out, controller.Emit{Event: Probe{Instance: i}})
		}
	}
	slices.SortFunc(out, func(a, b controller.Action) int {
		return strings.Compare(a.(controller.Emit).Event.(Probe).Instance.Name, b.(controller.Emit).Event.(Probe).Instance.Name)
	})
	return out
}

func (s *Slice) wake(at time.Time) {
	if s.until.IsZero() || at.Before(s.until) {
		s.until = at
	}
}

// Perform implements controller.Performer.
func (r *Reader) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	if _, ok := a.(Read); !ok {
		return nil, false
	}
	list, err := r.List.Instances(ctx)
	return Listed{Instances: list, Err: err}, true
}
