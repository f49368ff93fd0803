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
	// watchers is how many instances of a zone read the list frequently. Two, so that the
	// zone notices a leaving instance even if one of them fails.
	watchers       = 2
	watcherRankKey = "instance-list"
	// watcherReadInterval is the read interval of the watchers. A leaving instance must be
	// noticed within three seconds.
	watcherReadInterval = time.Second
	// minReadInterval is the minimum read interval of the other instances. Their interval
	// grows by readIntervalPerInstance, which limits the read rate of the fleet.
	minReadInterval         = 5 * time.Second
	readIntervalPerInstance = 100 * time.Millisecond
	// unlistedRetention is how long an unlisted peer stays in the view after its last call.
	// It exceeds the lag of the list.
	unlistedRetention = 90 * time.Second
	// minProbeDelay and maxProbeDelay bound the backoff of probes to an unresponsive instance.
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
	// maxFailures is how many consecutive failed calls remove an instance from the view.
	// A single failure may only be a lost packet.
	maxFailures = 2
)

type (
	// Slice maintains this instance's view of the live entry instances. It corrects the
	// list by adding peers that call and removing peers that do not answer. The views of
	// instances may differ, which at most causes redundant requests (package observer).
	Slice struct {
		// Self is this instance.
		Self   Instance
		Random *rand.Rand

		// reading is set while a Read is in progress.
		reading  bool
		nextRead time.Time
		failures int
		listed   map[string]Instance
		// contacted and unresponsive hold peers by name.
		contacted    map[string]contacted
		unresponsive map[string]*unresponsive
		view         []Instance
		// nextExpiry is the next time at which an entry of the view expires.
		nextExpiry time.Time
	}

	// contacted is a peer that called or was listed by another peer, and when.
	contacted struct {
		instance Instance
		at       time.Time
	}

	// unresponsive is the probe state of an instance whose calls failed.
	unresponsive struct {
		failures   int
		probeDelay time.Duration
		nextProbe  time.Time
	}

	// Read requests the platform's list.
	Read struct{}

	// Listed is the result of Read.
	Listed struct {
		Instances []Instance
		Err       error
	}

	// PeerSeen reports that a peer called, or was listed by another peer.
	PeerSeen struct{ Instance Instance }

	// PeerCalled reports the result of a call to a peer.
	PeerCalled struct {
		Name string
		OK   bool
	}

	// ViewChanged reports a new view of the live entry instances, including this one, sorted by
	// name.
	ViewChanged struct{ Instances []Instance }

	// Probe requests a call to an unresponsive instance. It returns to the view only when it
	// answers or calls. Returning after a timeout would move its work back and forth while
	// a terminated instance is still listed.
	Probe struct{ Instance Instance }

	// Reader performs the Read action.
	Reader struct{ List List }
)

// ActionName implements controller.Action.
func (Read) ActionName() string { return "read-instance-list" }

// EventName implements controller.Event.
func (Listed) EventName() string { return "instances-listed" }

// EventName implements controller.Event.
func (PeerSeen) EventName() string { return "peer-met" }

// EventName implements controller.Event.
func (PeerCalled) EventName() string { return "peer-called" }

// EventName implements controller.Event.
func (ViewChanged) EventName() string { return "instances-changed" }

// EventName implements controller.Event.
func (Probe) EventName() string { return "peer-to-probe" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	s.initialize()
	switch e := e.(type) {
	case controller.Tick:
		return s.tick(now)
	case Listed:
		s.reading = false
		if e.Err != nil {
			s.failures++
			s.nextRead = now.Add(s.addJitter(min(watcherReadInterval<<min(s.failures, 4), maxProbeDelay/2)))
			return nil
		}
		s.failures, s.listed = 0, map[string]Instance{}
		for _, i := range e.Instances {
			if i.Kind == KindEntry {
				s.listed[i.Name] = i
			}
		}
		return s.updateView(now)
	case PeerSeen:
		return s.handlePeerSeen(now, e.Instance)
	case PeerCalled:
		return s.handlePeerCalled(now, e)
	}
	return nil
}

func (s *Slice) initialize() {
	if s.contacted == nil {
		s.contacted, s.unresponsive = map[string]contacted{}, map[string]*unresponsive{}
	}
}

func (s *Slice) tick(now time.Time) []controller.Action {
	out := s.probe(now)
	if s.view == nil || (!s.nextExpiry.IsZero() && !now.Before(s.nextExpiry)) {
		out = append(out, s.updateView(now)...)
	}
	if s.reading || now.Before(s.nextRead) {
		return out
	}
	s.reading, s.nextRead = true, now.Add(s.readInterval())
	return append(out, Read{})
}

// readInterval returns the time until this instance reads the list again.
func (s *Slice) readInterval() time.Duration {
	if s.listed == nil || Contains(TopInZone(watcherRankKey, s.Self.Zone, watchers, s.view), s.Self.Name) {
		return watcherReadInterval
	}
	return s.addJitter(max(minReadInterval, time.Duration(len(s.view))*readIntervalPerInstance))
}

// addJitter adds jitter to an interval.
func (s *Slice) addJitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.Random.Int64N(int64(d)/2+1))
}

func (s *Slice) handlePeerSeen(now time.Time, i Instance) []controller.Action {
	if i.Name == s.Self.Name || i.Address == "" {
		return nil
	}
	previous := s.contacted[i.Name]
	s.contacted[i.Name] = contacted{instance: i, at: now}
	if previous.instance == i && s.unresponsive[i.Name] == nil {
		return nil
	}
	// A peer that calls is alive, even if calls to it have failed.
	delete(s.unresponsive, i.Name)
	return s.updateView(now)
}

func (s *Slice) handlePeerCalled(now time.Time, e PeerCalled) []controller.Action {
	u := s.unresponsive[e.Name]
	if e.OK {
		if u == nil {
			return nil
		}
		delete(s.unresponsive, e.Name)
		return s.updateView(now)
	}
	if u == nil {
		u = &unresponsive{probeDelay: minProbeDelay}
		s.unresponsive[e.Name] = u
	}
	if u.failures++; u.failures != maxFailures {
		return nil
	}
	u.nextProbe, u.probeDelay = now.Add(s.addJitter(u.probeDelay)), 2*u.probeDelay
	return s.updateView(now)
}

// updateView recomputes the view and emits ViewChanged if it differs.
func (s *Slice) updateView(now time.Time) []controller.Action {
	seen := map[string]Instance{s.Self.Name: s.Self}
	s.nextExpiry = time.Time{}
	for n, m := range s.contacted {
		if now.Sub(m.at) > unlistedRetention {
			delete(s.contacted, n)
			continue
		}
		s.scheduleUpdate(m.at.Add(unlistedRetention + time.Millisecond))
		seen[n] = m.instance
	}
	for n, i := range s.listed {
		if seen[n].State != StateLeaving { // announced by the peer itself; the list lags
			seen[n] = i
		}
	}
	view := []Instance{}
	for n, i := range seen {
		u := s.unresponsive[n]
		removed := u != nil && u.failures >= maxFailures
		if n == s.Self.Name || (i.State != StateLeaving && !removed) {
			view = append(view, i)
		}
	}
	slices.SortFunc(view, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	if s.view != nil && slices.Equal(view, s.view) {
		return nil
	}
	s.view = view
	return []controller.Action{controller.Emit{Event: ViewChanged{Instances: view}}}
}

// probe emits Probe for each unresponsive instance whose backoff has passed.
func (s *Slice) probe(now time.Time) []controller.Action {
	var out []controller.Action
	for n, u := range s.unresponsive {
		i, ok := s.listed[n]
		if !ok {
			i, ok = s.contacted[n].instance, s.contacted[n].instance.Name != ""
		}
		switch {
		case !ok:
			delete(s.unresponsive, n) // no longer listed
		case u.failures >= maxFailures && !now.Before(u.nextProbe):
			u.nextProbe, u.probeDelay = now.Add(s.addJitter(u.probeDelay)), min(2*u.probeDelay, maxProbeDelay)
			out = append(out, controller.Emit{Event: Probe{Instance: i}})
		}
	}
	slices.SortFunc(out, func(a, b controller.Action) int {
		return strings.Compare(a.(controller.Emit).Event.(Probe).Instance.Name, b.(controller.Emit).Event.(Probe).Instance.Name)
	})
	return out
}

// scheduleUpdate schedules a recomputation of the view no later than at.
func (s *Slice) scheduleUpdate(at time.Time) {
	if s.nextExpiry.IsZero() || at.Before(s.nextExpiry) {
		s.nextExpiry = at
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
