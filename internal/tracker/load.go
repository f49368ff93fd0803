package tracker

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/balancer"
)

const (
	// loadSmoothing is the time constant of the moving average of a member's busy slots. Single
	// samples vary by as much as the mean.
	loadSmoothing = time.Second
	// zoneNetwork, regionNetwork and remoteNetwork are the assumed round-trip times to members in
	// the zone, the region and other regions.
	zoneNetwork, regionNetwork, remoteNetwork = time.Millisecond, 3 * time.Millisecond, 16 * time.Millisecond
	// serviceWeight is the weight of a sample in a member's average service time, and
	// minServiceSamples how many make the own average more reliable than a received one, unless the
	// newest is older than serviceRetention.
	serviceWeight     = 0.05
	minServiceSamples = 20
	serviceRetention  = 10 * time.Second
	// minServiceSample excludes commands that take no slot, such as the start of a transaction.
	minServiceSample = time.Millisecond
	// defaultService is the assumed service time of a group without any samples.
	defaultService = 10 * time.Millisecond
	// ownLoadWeight is the weight of a sample in the average of the own statements in flight.
	ownLoadWeight = 0.02
	// maxBusy and maxService bound what a received load may claim.
	maxBusy    = 10_000
	maxService = 10 * time.Second
	// minReportedLoad is the number of statements per slot from which a group's loads are sent to
	// peers. Those of idle groups decide nothing.
	minReportedLoad = balancer.IdleLoad
	// respondingPeriod is how long after a response a member counts as responding to this instance.
	// Other candidates are left out only while the chosen one does: a network partition may separate it
	// from this instance while its load is still known.
	respondingPeriod = 300 * time.Millisecond
)

var (
	errLoadUnknownMember = errors.New("load of an unknown member")
	errLoadOutOfRange    = errors.New("load is out of range")
	errLoadFromFuture    = errors.New("load is from the future")
)

type (
	// MemberLoad is the load of a member, caused by all instances.
	MemberLoad struct {
		Member string
		// Busy is the average number of statements that run or wait at the member.
		Busy  float64
		Slots int
		// Service is the time that a statement occupies a slot, 0 if unknown.
		Service time.Duration
		// At is when the load was last observed.
		At Timestamp
	}

	// Placement describes a decision of ReadCandidates.
	Placement struct {
		Outcome balancer.Outcome
		// Candidates are the inputs, best first. They are empty if the loads are unknown.
		Candidates []balancer.Member
	}

	// memberLoad is what is known about a member's load.
	memberLoad struct {
		MemberLoad
		// held is set if Busy counts loans, in the place of status replies.
		held bool
		// ownAverage is the average number of own statements in flight, which Busy includes.
		ownAverage float64
		// service is the average service time of serviceSamples own statements, the last at
		// serviceAt.
		service        time.Duration
		serviceSamples int
		serviceAt      Timestamp
		// wait is how long requests wait for a connection to the member, reported at waitAt.
		wait   time.Duration
		waitAt Timestamp
		// roundTrips is how many round trips a statement takes, 0 if unknown.
		roundTrips int
	}
)

// fresh reports whether the load is known and recent.
func (l *memberLoad) fresh(now Timestamp) bool {
	return l.At != 0 && now-l.At <= balancer.MaxLoadAge
}

// observe adds a sample of the statements at the member.
func (l *memberLoad) observe(at Timestamp, busy, slots int) {
	if at <= l.At {
		return
	}
	if l.fresh(at) {
		weight := 1 - math.Exp(-float64(at-l.At)/float64(loadSmoothing))
		l.Busy += weight * (float64(busy) - l.Busy)
	} else {
		l.Busy = float64(busy)
	}
	l.At, l.Slots = at, slots
}

// recordService adds a sample of the time in a slot. It is the time at the member without the
// expected time in its queue.
func (l *memberLoad) recordService(now Timestamp, atMember time.Duration) {
	if !l.fresh(now) {
		return
	}
	sample := time.Duration(float64(atMember) / max(1, l.Busy/float64(max(1, l.Slots))))
	if sample < minServiceSample {
		return
	}
	if l.service == 0 {
		l.service = sample
	}
	l.service += time.Duration(serviceWeight * float64(sample-l.service))
	l.serviceSamples++
	l.serviceAt = now
}

// serviceTime returns the known service time, 0 without any.
func (l *memberLoad) serviceTime(now Timestamp) time.Duration {
	if l.Service > 0 && (l.serviceSamples < minServiceSamples || now-l.serviceAt > serviceRetention) {
		return l.Service
	}
	return l.service
}

// ObserveHeld records how many statements run on the connections to a member if one instance holds those
// of all. It counts only while no status reply gives the load, as after the loss of the supervisor: a loan
// lasts longer than the statement, by the network time of the borrower.
func (g *Group) ObserveHeld(now Timestamp, id string, statements int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.members[id]; ok && (m.load.held || !m.load.fresh(now)) {
		m.load.observe(now, statements, m.Slots)
		m.load.held = true
	}
}

// AddRemoteLoad records a load that another instance observed, with its time converted to the local
// clock. A load that is not newer, or from before a restart of a member, is ignored. It returns an
// error for an invalid load.
func (g *Group) AddRemoteLoad(now Timestamp, l MemberLoad) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[l.Member]
	switch {
	case !ok:
		return errLoadUnknownMember
	case !(l.Busy >= 0 && l.Busy <= maxBusy), l.Slots <= 0 || l.Slots > maxBusy, l.Service < 0 || l.Service > maxService:
		return errLoadOutOfRange
	case l.At > now:
		return errLoadFromFuture
	}
	if at := g.observeRestarts(now); at != 0 && l.At <= at || l.At <= m.load.At && !m.load.held {
		return nil
	}
	if l.Service == 0 {
		l.Service = m.load.Service
	}
	m.load.MemberLoad, m.load.held = l, false
	return nil
}

// RecordWait records how long requests wait for a connection to a member at the instance that holds
// them.
func (g *Group) RecordWait(now Timestamp, id string, wait time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.members[id]; ok {
		m.load.wait, m.load.waitAt = wait, now
	}
}

// SetRoundTrips sets how many round trips to a member a statement takes.
func (g *Group) SetRoundTrips(id string, n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.members[id]; ok {
		m.load.roundTrips = n
	}
}

// expectedWait returns the last recorded wait for a connection, 0 if it is outdated.
func (l *memberLoad) expectedWait(now Timestamp) time.Duration {
	if now-l.waitAt > balancer.MaxPressureAge {
		return 0
	}
	return l.wait
}

// Loads returns the recent loads of the members, none if all are idle.
func (g *Group) Loads(now Timestamp) []MemberLoad {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var list []MemberLoad
	idle := true
	for _, m := range g.members {
		if !m.load.fresh(now) {
			continue
		}
		l := m.load.MemberLoad
		l.Member, l.Slots, l.Service = m.ID, max(1, m.load.Slots), m.load.serviceTime(now)
		list = append(list, l)
		idle = idle && l.Busy < minReportedLoad*float64(l.Slots)
	}
	if idle {
		return nil
	}
	slices.SortFunc(list, func(a, b MemberLoad) int { return cmp.Compare(a.Member, b.Member) })
	return list
}

// networkTime returns the assumed round-trip time to a member.
func (g *Group) networkTime(m *member) time.Duration {
	switch {
	case m.Zone == g.Zone:
		return zoneNetwork
	case g.SameRegion(m.Zone):
		return regionNetwork
	default:
		return remoteNetwork
	}
}

// orderByLoad orders candidates for a read by the load of all instances. If a load is unknown, or all
// members are idle, the order of the own samples stays. Members that failed recently come last; their
// load need not be known. The mutex is held.
func (g *Group) orderByLoad(now Timestamp, ids []string) []string {
	var list []balancer.Member
	var failed []string
	placement := Placement{}
	for _, id := range ids {
		m := g.members[id]
		if m.failedRecently(now) {
			failed = append(failed, id)
			continue
		}
		if !m.load.fresh(now) {
			list = nil
			break
		}
		list = append(list, balancer.Member{
			ID: id, Slots: max(1, m.Slots), Busy: m.load.Busy, OwnExcess: float64(m.inFlight) - m.load.ownAverage,
			Network: g.networkTime(m) * time.Duration(max(1, m.load.roundTrips)), Wait: m.load.expectedWait(now), Service: m.load.serviceTime(now), Age: now - m.load.At,
			Near: m.Zone == g.Zone || g.SameRegion(m.Zone), Primary: id == g.primary,
		})
	}
	switch {
	case len(list) == 0:
	case balancer.Idle(list):
		placement = Placement{Outcome: balancer.OutcomeIdle, Candidates: list}
	default:
		fillService(list)
		placement = Placement{Outcome: balancer.Order(list, rand.Float64), Candidates: list}
	}
	if g.NotePlacement != nil && len(ids) > 1 {
		g.NotePlacement(placement)
	}
	if placement.Outcome == balancer.OutcomeUnknown || placement.Outcome == balancer.OutcomeIdle {
		return ids
	}
	if first := g.members[list[0].ID]; !first.failed && first.sampledAt != 0 && now-first.sampledAt < respondingPeriod {
		list = balancer.Trim(list)
	}
	ordered := make([]string, 0, len(ids))
	for _, m := range list {
		ordered = append(ordered, m.ID)
	}
	return append(ordered, failed...)
}

// fillService replaces unknown service times by the average of the known ones. Reads take at least as
// long on the primary as on the fastest replica, although its writes may be shorter.
func fillService(list []balancer.Member) {
	var sum, fastestReplica time.Duration
	known := 0
	for _, m := range list {
		if m.Service == 0 {
			continue
		}
		sum += m.Service
		known++
		if !m.Primary && (fastestReplica == 0 || m.Service < fastestReplica) {
			fastestReplica = m.Service
		}
	}
	average := defaultService
	if known > 0 {
		average = sum / time.Duration(known)
	}
	for i := range list {
		if list[i].Service == 0 {
			list[i].Service = average
		}
		if list[i].Primary {
			list[i].Service = max(list[i].Service, fastestReplica)
		}
	}
}
