// Package observer schedules the status polls of targets and emits their results. Instances
// divide the polling among themselves and share the results (package gossiper).
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
	// pollInterval is how often a target is polled. The mean age of a replica's known state
	// is half of it.
	pollInterval = 100 * time.Millisecond
	// idlePollInterval is how often targets of idle groups, which no client of this instance
	// uses, are polled once polls are limited.
	idlePollInterval = time.Second
	// maxPollsPerSecond limits the polls of this instance, whose cost would otherwise grow
	// with the number of groups (docs/CAPACITY.md).
	maxPollsPerSecond = 100
	// idlePollsPerSecond and fallbackPollsPerSecond limit the polls of idle groups and of
	// groups polled as a fallback. The latter ensures that an instance partitioned from many
	// observers still polls the groups that it observes for others.
	idlePollsPerSecond     = 25
	fallbackPollsPerSecond = 15

	// ShardCount is the number of shards of services. Observers are assigned to shards, not to
	// services, so that an instance fetches reports from few peers.
	ShardCount = 64
	// ObserversPerShard is the number of instances per zone that poll a shard. Two may fail at once
	// before others fall back to polling.
	ObserversPerShard = 3

	// reportTimeout is how long a group may go without reports from observers before this
	// instance polls it. Where reports are rarer, the timeout is maxMissedReports
	// times their usual interval.
	reportTimeout    = 1500 * time.Millisecond
	maxMissedReports = 3
	// fallbackDuration is how long fallback polling lasts, so that it does not flap while
	// instance lists disagree.
	fallbackDuration = 10 * time.Second
	// inUseWindow is how long a service counts as in use after its last use.
	inUseWindow = time.Minute
)

type (
	// Slice decides which targets to poll. In each zone ObserversPerShard instances, chosen by
	// rendezvous hashing over the instance list, poll each shard of services and report to
	// the others. An instance that receives no reports about a group in use polls it
	// itself. Set the exported fields before use.
	Slice struct {
		Instance string
		Zone     string

		instances []lister.Instance
		groups    map[string]*group
		// ordered holds the groups in the order of the document, active those that this
		// instance observes or uses.
		ordered, active []*group
	}

	group struct {
		service *configurer.Service
		polls   map[string]*poll
		// observed is set when this instance is an observer of the shard.
		observed bool
		// lastReport is when the last report of another instance arrived, or when the group
		// was configured.
		lastReport time.Time
		// reportGap is the moving average of the time between reports.
		reportGap time.Duration
		lastUsed  time.Time
		// fallbackUntil is the end of fallback polling.
		fallbackUntil time.Time
	}

	poll struct {
		inFlight bool
		nextAt   time.Time
	}

	// Poll requests the status of a target.
	Poll struct {
		Service string
		Member  configurer.Member
		// ClientWaiting is set when a client waits for the result.
		ClientWaiting bool
	}

	// Observed is the result of polling a target.
	Observed struct {
		Service string
		Member  string
		// Started is when the poll was sent, so the status is at least as recent. For a
		// report of another instance it is the time of the request minus the reported
		// age.
		Started time.Time
		Status  commander.Status
		Err     error
		// From is the reporting instance, empty for this one. Reports of others do not show
		// that this instance can reach the target, and have no Followers.
		From string
	}

	// ServicesInUse lists the services in use by clients of this instance.
	ServicesInUse struct{ Services []string }

	// Poller performs Poll.
	Poller struct {
		Commander commander.Commander
	}
)

// ActionName implements controller.Action.
func (Poll) ActionName() string { return "ask-target" }

// EventName implements controller.Event.
func (Observed) EventName() string { return "target-observed" }

// EventName implements controller.Event.
func (ServicesInUse) EventName() string { return "services-used" }

// Shard returns the shard of a service.
func Shard(service string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	return h.Sum32() % ShardCount
}

// ShardObservers returns the observers of a shard in a zone, given the instance list.
func ShardObservers(shard uint32, zone string, instances []lister.Instance) []lister.Instance {
	return lister.TopInZone("observe/"+strconv.Itoa(int(shard)), zone, ObserversPerShard, instances)
}

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.Activated:
		s.applyDocument(now, e.Document)
	case lister.ViewChanged:
		s.instances = e.Instances
		s.assignShards(now)
	case ServicesInUse:
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

// applyDocument applies a new document. It keeps polls in flight, so that frequent changes do not
// multiply the load on a slow target.
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
			if !v.HasMember(n) {
				delete(g.polls, n)
			}
		}
	}
	s.assignShards(now)
}

// assignShards determines which shards this instance observes: all of them until there is an
// instance list.
func (s *Slice) assignShards(now time.Time) {
	var assigned [ShardCount]bool
	for i := range assigned {
		assigned[i] = s.instances == nil || lister.Contains(ShardObservers(uint32(i), s.Zone, s.instances), s.Instance)
	}
	for n, g := range s.groups {
		g.observed = assigned[Shard(n)]
	}
	s.selectActive(now)
}

// selectActive updates the groups that may have to be polled.
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
	if p := g.polls[e.Member]; p != nil {
		p.inFlight = false
	}
}

// recordReport records a report from another instance. The average changes slowly, so that one
// late report has little effect.
func (g *group) recordReport(now time.Time) {
	const weight = 8
	if d := now.Sub(g.lastReport); d > controller.DefaultInterval { // not another member of the same report
		g.reportGap += (d - g.reportGap) / weight
	}
	g.lastReport = now
}

// shouldPoll reports whether this instance polls the group's members.
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

func (g *group) inUse(now time.Time) bool {
	return !g.lastUsed.IsZero() && now.Sub(g.lastUsed) < inUseWindow
}

// pollClass is the reason for polling a group. Each class has its share of the polls.
type pollClass int

const (
	classNone pollClass = iota
	classUsed
	classFallback
	classIdle
	classCount
)

func (g *group) pollClass(now time.Time) pollClass {
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
	var members [classCount]int
	classOf := make([]pollClass, len(s.active))
	for i, g := range s.active {
		classOf[i] = g.pollClass(now)
		members[classOf[i]] += len(g.service.Members)
	}
	intervals := pollIntervals(members)
	var out []controller.Action
	for i, g := range s.active {
		if classOf[i] == classNone {
			continue
		}
		for _, m := range g.service.Members {
			if a, ok := g.startPoll(now, intervals[classOf[i]], g.service.Name, m); ok {
				out = append(out, a)
			}
		}
	}
	return out
}

func (g *group) startPoll(now time.Time, interval time.Duration, service string, m configurer.Member) (Poll, bool) {
	p := g.polls[m.Name]
	if p == nil {
		p = &poll{}
		g.polls[m.Name] = p
	}
	if p.inFlight || now.Before(p.nextAt) {
		return Poll{}, false
	}
	p.inFlight, p.nextAt = true, now.Add(interval)
	return Poll{Service: service, Member: m}, true
}

// pollIntervals returns the poll interval of each class. If maxPollsPerSecond suffices, all
// members are polled at pollInterval. Otherwise the idle and fallback classes are limited, and
// observed groups in use get the remaining polls.
func pollIntervals(members [classCount]int) (intervals [classCount]time.Duration) {
	total := 0
	for c := classUsed; c < classCount; c++ {
		total += members[c]
		intervals[c] = pollInterval
	}
	if time.Duration(total)*time.Second <= maxPollsPerSecond*pollInterval {
		return intervals
	}
	limit := func(c pollClass, pollsPerSecond int, minInterval time.Duration) int {
		intervals[c] = max(minInterval, time.Duration(members[c])*time.Second/time.Duration(pollsPerSecond))
		return int(time.Duration(members[c]) * time.Second / intervals[c])
	}
	remaining := maxPollsPerSecond
	remaining -= limit(classIdle, idlePollsPerSecond, idlePollInterval)
	remaining -= limit(classFallback, fallbackPollsPerSecond, pollInterval)
	limit(classUsed, remaining, pollInterval)
	return intervals
}

// Perform implements controller.Performer.
func (p *Poller) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	q, ok := a.(Poll)
	if !ok {
		return nil, false
	}
	o := Observed{Service: q.Service, Member: q.Member.Name, Started: time.Now()}
	if q.ClientWaiting {
		ctx = commander.WithClientWaiting(ctx)
	}
	o.Status, o.Err = p.Commander.Status(ctx, q.Member.Address)
	return o, true
}
