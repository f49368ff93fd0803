// Package observer decides which targets this instance asks for their state, and
// when, and passes on what they answer.
package observer

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/lister"
)

const (
	// interval is how often a target is asked. Half of it is the mean age of
	// what is known of a replica, which every read with a stated age pays.
	interval = 100 * time.Millisecond
	// idleInterval is how often a target that nobody here uses is asked, when
	// questions are scarce.
	idleInterval = time.Second
	// maxQuestions bounds the questions of this instance per second. Without it
	// the cost of control grows with the groups that an instance happens to
	// observe: 1,800 instances before 2,300 groups would spend the 2.1% of a
	// core on questions alone (docs/CAPACITY.md). 9 instances before 3 groups
	// of 3 members ask 90.
	maxQuestions = 100
	// usedShare is how many of maxQuestions go to groups that are in use.
	usedShare = 75

	// Shards is how many shards services fall into. A shard, not a service, has
	// observers, so that an instance asks few peers for many groups: at 575
	// groups in use, 64 peers and not 575.
	Shards = 64
	// Observers is how many instances of a zone observe a shard. Three, so that
	// two may die or pause at once before any instance has to fall back.
	Observers = 3

	// silence is how long an instance that relies on observers goes without
	// news before it asks for itself: three reports' worth at the usual pace,
	// and well below what a caller notices as stale.
	silence = 1500 * time.Millisecond
	// fallback is how long it then goes on asking, so that a group does not
	// swing between the two ways while lists disagree.
	fallback = 10 * time.Second
	// usedFor is how long a service counts as in use after its last use.
	usedFor = time.Minute
)

type (
	// Slice decides which questions are asked. It answers the load of many
	// instances before many groups: of each shard of services, Observers
	// instances in each availability zone ask, chosen by rendezvous hashing
	// over the instance list; the others hear of it (package gossiper). When
	// nothing is heard for silence, an instance asks for itself, whatever the
	// reason: lists that disagree, observers that died or paused, a zone that
	// is cut. Set the exported fields before use.
	Slice struct {
		Instance string
		Zone     string

		services []configurer.Service
		members  []lister.Instance
		groups   map[string]*group
	}

	group struct {
		asked map[string]*question
		// observed says that this instance is one of the shard's observers.
		observed bool
		// heard is when an observation of another instance last came, or when
		// waiting for the first began.
		heard time.Time
		used  time.Time
		// fallback is until when this instance asks although it is no observer.
		fallback time.Time
	}

	question struct {
		open bool
		next time.Time
	}

	// Ask asks a target for its state.
	Ask struct {
		Service string
		Member  configurer.Member
	}

	// Observed is what a target answered, or that it did not.
	Observed struct {
		Service string
		Member  string
		// Started is when the question was sent: what is observed is no older.
		// For what another instance observed it is the time when this one asked
		// for its report, less the age that the report gives.
		Started time.Time
		Status  commander.Status
		Err     error
		// From is the instance that observed it; empty for this one. What
		// others observed is as good for positions and watermarks. It is no
		// sign that this instance reaches the target, and it has no Followers.
		From string
	}

	// Used says which services callers of this instance use.
	Used struct{ Services []string }

	// Asker performs Ask.
	Asker struct {
		Commander commander.Commander
	}
)

// ActionName implements controller.Action.
func (Ask) ActionName() string { return "ask-target" }

// EventName implements controller.Event.
func (Observed) EventName() string { return "target-observed" }

// EventName implements controller.Event.
func (Used) EventName() string { return "services-used" }

// Shard returns the shard of a service.
func Shard(service string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	return h.Sum32() % Shards
}

// Of returns the observers of a shard in a zone, by this view of the instances.
func Of(shard uint32, zone string, instances []lister.Instance) []lister.Instance {
	return lister.Top("observe/"+strconv.Itoa(int(shard)), zone, Observers, instances)
}

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.InForce:
		s.apply(now, e.Document)
	case lister.Changed:
		s.members = e.Instances
		s.assign()
	case Used:
		for _, n := range e.Services {
			if g := s.groups[n]; g != nil {
				g.used = now
			}
		}
	case Observed:
		s.take(now, e)
	case controller.Tick:
		return s.due(now)
	}
	return nil
}

// apply keeps the open questions of what stays: asking all anew at each of 2,500
// changes a day would double the questions in flight to a slow target.
func (s *Slice) apply(now time.Time, d *configurer.Document) {
	old := s.groups
	s.services, s.groups = d.Services, map[string]*group{}
	for _, v := range d.Services {
		g := old[v.Name]
		if g == nil {
			g = &group{asked: map[string]*question{}, heard: now}
		}
		s.groups[v.Name] = g
		for n := range g.asked {
			if !v.Holds(n) {
				delete(g.asked, n)
			}
		}
	}
	s.assign()
}

// assign works out which shards this instance observes. Without a list, it
// observes all: too many questions for a while, never too few.
func (s *Slice) assign() {
	var mine [Shards]bool
	for i := range mine {
		mine[i] = s.members == nil || lister.Holds(Of(uint32(i), s.Zone, s.members), s.Instance)
	}
	for n, g := range s.groups {
		g.observed = mine[Shard(n)]
	}
}

func (s *Slice) take(now time.Time, e Observed) {
	g := s.groups[e.Service]
	if g == nil {
		return
	}
	if e.From != "" {
		if now.Sub(e.Started) < silence {
			g.heard = now
		}
		return
	}
	if q := g.asked[e.Member]; q != nil {
		q.open = false
	}
}

// asks tells whether this instance asks the group's members itself.
func (g *group) asks(now time.Time) bool {
	if g.observed {
		return true
	}
	if !g.inUse(now) {
		return false
	}
	if now.Sub(g.heard) >= silence {
		g.fallback = now.Add(fallback)
	}
	return now.Before(g.fallback)
}

func (g *group) inUse(now time.Time) bool { return !g.used.IsZero() && now.Sub(g.used) < usedFor }

func (s *Slice) due(now time.Time) []controller.Action {
	usedInterval, otherInterval := s.intervals(now)
	var out []controller.Action
	for _, v := range s.services {
		g := s.groups[v.Name]
		if !g.asks(now) {
			continue
		}
		pause := otherInterval
		if g.inUse(now) {
			pause = usedInterval
		}
		for _, m := range v.Members {
			if a, ok := g.ask(now, pause, v.Name, m); ok {
				out = append(out, a)
			}
		}
	}
	return out
}

func (g *group) ask(now time.Time, pause time.Duration, service string, m configurer.Member) (Ask, bool) {
	q := g.asked[m.Name]
	if q == nil {
		q = &question{}
		g.asked[m.Name] = q
	}
	if q.open || now.Before(q.next) {
		return Ask{}, false
	}
	q.open, q.next = true, now.Add(pause)
	return Ask{Service: service, Member: m}, true
}

// intervals spreads maxQuestions over the members that are asked. While they
// suffice, every member is asked each interval, used or not: a group that is
// idle now is the one that a guest stands before at night. Past that, groups
// that nobody here uses wait longer first.
func (s *Slice) intervals(now time.Time) (used, other time.Duration) {
	nUsed, nOther := 0, 0
	for _, v := range s.services {
		switch g := s.groups[v.Name]; {
		case !g.asks(now):
		case g.inUse(now):
			nUsed += len(v.Members)
		default:
			nOther += len(v.Members)
		}
	}
	if time.Duration(nUsed+nOther)*time.Second <= maxQuestions*interval {
		return interval, interval
	}
	const otherShare = maxQuestions - usedShare
	other = max(idleInterval, time.Duration(nOther)*time.Second/otherShare)
	return max(interval, time.Duration(nUsed)*time.Second/usedShare), other
}

// Perform implements controller.Performer.
func (k *Asker) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	q, ok := a.(Ask)
	if !ok {
		return nil, false
	}
	o := Observed{Service: q.Service, Member: q.Member.Name, Started: time.Now()}
	o.Status, o.Err = k.Commander.Status(ctx, q.Member.Address)
	return o, true
}
