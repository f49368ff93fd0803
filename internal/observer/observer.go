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
	// pollInterval is how often a target is asked. Half of it is the mean age of
	// what is known of a replica, which every read with a stated age pays.
	pollInterval = 100 * time.Millisecond
	// idlePollInterval is how often a target that nobody here uses is asked, when
	// questions are scarce.
	idlePollInterval = time.Second
	// maxPollsPerSecond bounds the questions of this instance per second. Without it
	// the cost of control grows with the groups that an instance happens to
	// observe: 1,800 instances before 2,300 groups would spend the 2.1% of a
	// core on questions alone (docs/CAPACITY.md). 9 instances before 3 groups
	// of 3 members ask 90.
	maxPollsPerSecond = 100
	// idlePollsPerSecond and fallbackShare are the most of maxQuestions that go to groups
	// that nobody here uses, and to those that this instance asks although it
	// is no observer. Without the second, an instance that is cut off from the
	// observers of many groups would ask for all, and starve those that others
	// rely on it to observe.
	idlePollsPerSecond     = 25
	fallbackPollsPerSecond = 15

	// Shards is how many shards services fall into. A shard, not a service, has
	// observers, so that an instance asks few peers for many groups: at 575
	// groups in use, 64 peers and not 575.
	Shards = 64
	// Observers is how many instances of a zone observe a shard. Three, so that
	// two may die or pause at once before any instance has to fall back.
	Observers = 3

	// reportTimeout is how long an instance that relies on observers goes without
	// news before it asks for itself: several reports' worth at the usual pace,
	// and well below what a caller notices as stale. Where the budget of bytes
	// makes reports rarer, it is gapsMissed of the usual gap.
	reportTimeout    = 1500 * time.Millisecond
	maxMissedReports = 3
	// fallbackDuration is how long it then goes on asking, so that a group does not
	// swing between the two ways while lists disagree.
	fallbackDuration = 10 * time.Second
	// inUseWindow is how long a service counts as in use after its last use.
	inUseWindow = time.Minute
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

		instances []lister.Instance
		groups  map[string]*group
		// ordered has the groups as the document has them, active those of them
		// that this instance observes or uses: a part, where groups are many.
		ordered, active []*group
	}

	group struct {
		service *configurer.Service
		polls   map[string]*poll
		// observed says that this instance is one of the shard's observers.
		observed bool
		// lastReport is when an observation of another instance last came, or when
		// waiting for the first began.
		lastReport time.Time
		// reportGap is how far apart observations of others usually come.
		reportGap  time.Duration
		lastUsed time.Time
		// fallbackUntil is until when this instance asks although it is no observer.
		fallbackUntil time.Time
	}

	poll struct {
		inFlight bool
		nextAt time.Time
	}

	// Ask asks a target for its state.
	Ask struct {
		Service string
		Member  configurer.Member
		// Wanted is set when a caller waits for the answer.
		Wanted bool
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
		s.applyDocument(now, e.Document)
	case lister.Changed:
		s.instances = e.Instances
		s.assignShards(now)
	case Used:
		for _, n := range e.Services {
			if g := s.groups[n]; g != nil {
				g.lastUsed = now
			}
		}
		s.selectActive(now)
	case Observed:
		s.recordObservation(now, e)
	case controller.Tick:
		return s.duePolls(now)
	}
	return nil
}

// applyDocument keeps the open questions of what stays: asking all anew at each of 2,500
// changes a day would double the questions in flight to a slow target.
func (s *Slice) applyDocument(now time.Time, d *configurer.Document) {
	old := s.groups
	s.ordered, s.groups = nil, map[string]*group{}
	for i := range d.Services {
		v := &d.Services[i]
		g := old[v.Name]
		if g == nil {
			g = &group{polls: map[string]*poll{}, lastReport: now}
		}
		g.service, s.groups[v.Name] = v, g
		s.ordered = append(s.ordered, g)
		for n := range g.polls {
			if !v.Holds(n) {
				delete(g.polls, n)
			}
		}
	}
	s.assignShards(now)
}

// assignShards works out which shards this instance observes. Without a list, it
// observes all: too many questions for a while, never too few.
func (s *Slice) assignShards(now time.Time) {
	var mine [Shards]bool
	for i := range mine {
		mine[i] = s.instances == nil || lister.Holds(Of(uint32(i), s.Zone, s.instances), s.Instance)
	}
	for n, g := range s.groups {
		g.observed = mine[Shard(n)]
	}
	s.selectActive(now)
}

// selectActive picks the groups that may have to be asked.
func (s *Slice) selectActive(now time.Time) {
	s.active = s.active[:0]
	for _, g := range s.ordered {
		if g.observed || g.inUse(now) {
			s.active = append(s.active, g)
		}
	}
}

func (s *Slice) recordObservation(now time.Time, e Observed) {
	g := s.groups[e.Service]
	if g == nil {
		return
	}
	if e.From != "" {
		g.recordReport(now)
		return
	}
	if q := g.polls[e.Member]; q != nil {
		q.inFlight = false
	}
}

// recordReport notes news from another instance. The gap follows slowly, so that one
// late report does not pass for the usual.
func (g *group) recordReport(now time.Time) {
	const weight = 8
	if d := now.Sub(g.lastReport); d > controller.DefaultInterval { // members of one report come together
		g.reportGap += (d - g.reportGap) / weight
	}
	g.lastReport = now
}

// shouldPoll tells whether this instance shouldPoll the group's members itself.
func (g *group) shouldPoll(now time.Time) bool {
	if g.observed {
		return true
	}
	if !g.inUse(now) {
		return false
	}
	if now.Sub(g.lastReport) >= max(reportTimeout, maxMissedReports*g.reportGap) {
		g.fallbackUntil = now.Add(fallbackDuration)
	}
	return now.Before(g.fallbackUntil)
}

func (g *group) inUse(now time.Time) bool { return !g.lastUsed.IsZero() && now.Sub(g.lastUsed) < inUseWindow }

// pollClass is why a group is asked; each pollClass has its share of the questions.
type pollClass int

const (
	classNone pollClass = iota
	classUsed
	classFallback
	classIdle
	classCount
)

func (g *group) class(now time.Time) pollClass {
	switch {
	case !g.shouldPoll(now):
		return classNone
	case !g.observed:
		return classFallback
	case g.inUse(now):
		return classUsed
	}
	return classIdle
}

func (s *Slice) duePolls(now time.Time) []controller.Action {
	var count [classCount]int
	of := make([]pollClass, len(s.active))
	for i, g := range s.active {
		of[i] = g.class(now)
		count[of[i]] += len(g.service.Members)
	}
	pauses := pollIntervals(count)
	var out []controller.Action
	for i, g := range s.active {
		if of[i] == classNone {
			continue
		}
		for _, m := range g.service.Members {
			if a, ok := g.startPoll(now, pauses[of[i]], g.service.Name, m); ok {
				out = append(out, a)
			}
		}
	}
	return out
}

func (g *group) startPoll(now time.Time, pause time.Duration, service string, m configurer.Member) (Ask, bool) {
	q := g.polls[m.Name]
	if q == nil {
		q = &poll{}
		g.polls[m.Name] = q
	}
	if q.inFlight || now.Before(q.nextAt) {
		return Ask{}, false
	}
	q.inFlight, q.nextAt = true, now.Add(pause)
	return Ask{Service: service, Member: m}, true
}

// pollIntervals spreads maxQuestions over the members that are asked. While they
// suffice, every member is asked each interval, used or not: a group that is
// idle now is the one that a guest stands before at night. Past that, what no
// class needs of its share goes to the groups that are observed and in use.
func pollIntervals(count [classCount]int) (out [classCount]time.Duration) {
	total := 0
	for c := classUsed; c < classCount; c++ {
		total += count[c]
		out[c] = pollInterval
	}
	if time.Duration(total)*time.Second <= maxPollsPerSecond*pollInterval {
		return out
	}
	perSecond := func(c pollClass, share int, shortest time.Duration) int {
		out[c] = max(shortest, time.Duration(count[c])*time.Second/time.Duration(share))
		return int(time.Duration(count[c]) * time.Second / out[c])
	}
	left := maxPollsPerSecond
	left -= perSecond(classIdle, idlePollsPerSecond, idlePollInterval)
	left -= perSecond(classFallback, fallbackPollsPerSecond, pollInterval)
	perSecond(classUsed, left, pollInterval)
	return out
}

// Perform implements controller.Performer.
func (k *Asker) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	q, ok := a.(Ask)
	if !ok {
		return nil, false
	}
	o := Observed{Service: q.Service, Member: q.Member.Name, Started: time.Now()}
	if q.Wanted {
		ctx = commander.WithWanted(ctx)
	}
	o.Status, o.Err = k.Commander.Status(ctx, q.Member.Address)
	return o, true
}
