package detector

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/observer"
)

// The detection thresholds; see docs/design/0003-promotion.md.
const (
	// minFailures is the number of consecutive failed polls; a single one may be a lost response.
	minFailures = 2
	// refusedTimeout is how long connections must be refused. A process restart or a reopened
	// listener takes less.
	refusedTimeout = 200 * time.Millisecond
	// silenceTimeout is how long responses must be missing. It exceeds pauses of a virtual machine
	// or a garbage collector.
	silenceTimeout = 1100 * time.Millisecond
	// stallTimeout is how long no entry may reach the replicas. A shorter one would mistake
	// replication lag for a partition.
	stallTimeout = 1500 * time.Millisecond
	// leaderlessTimeout lets a running promotion finish before another one starts.
	leaderlessTimeout = 700 * time.Millisecond
	// heartbeatTimeout is how long a replica may miss the primary's heartbeats before it counts as
	// partitioned from it. The primary sends one every 200 ms.
	heartbeatTimeout = 700 * time.Millisecond
	// isolationTimeout is how long a majority of the replicas must miss heartbeats. It exceeds the
	// time to reopen a replication stream, about 100 ms.
	isolationTimeout = 400 * time.Millisecond
	// maxReportAge is how long observations and reports count.
	maxReportAge = 2 * time.Second
	// refusedZoneWait and silentZoneWait are how long a suspicion waits for reports of other
	// availability zones, so that an instance with a network fault of its own does not replace a
	// healthy primary.
	refusedZoneWait = 400 * time.Millisecond
	silentZoneWait  = 900 * time.Millisecond
)

type (
	// Slice evaluates the evidence. Set the exported fields before the first Step.
	//
	// Each kind of evidence has its own threshold, since a single timeout is either slow to detect
	// a crash or replaces a primary that is merely slow. Evidence that this instance's own network
	// may cause must be shared by another availability zone.
	Slice struct {
		// Zone is the instance's availability zone.
		Zone string

		views  Views
		groups map[string]*group
		// sortedGroups holds the groups by name.
		sortedGroups []*group
	}

	// group is the detection state of one group.
	group struct {
		zone string // the instance's availability zone
		view *View
		// zoneReports holds the newest report of each other availability zone.
		zoneReports map[string]zoneReport
		stall       stall
		// leaderlessSince is when the newest term, leaderlessTerm, was first seen without a primary.
		leaderlessSince time.Time
		leaderlessTerm  uint64
		current         suspicion
	}

	// suspicion is the last emitted suspicion.
	suspicion struct {
		member   string
		term     uint64
		evidence Evidence
		since    time.Time
		agreed   bool
	}

	// stall tracks a position of the primary that no majority holds.
	stall struct {
		since             time.Time
		replicatedOffsets uint64 // sum of the replicas' log offsets
		isolated          bool   // the replicas miss the primary's heartbeats
	}

	// zoneReport is what another availability zone last reported of the primary.
	zoneReport struct {
		reportedAt time.Time
		// primaryAliveAt is when the primary last responded in that zone.
		primaryAliveAt time.Time
		suspects       bool
		term           uint64
	}
)

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.Activated:
		s.applyConfiguration(e.Document)
	case observer.Observed:
		if s.views.Observe(e) != nil {
			return s.groups[e.Service].evaluate(now)
		}
	case gossiper.ReportReceived:
		return s.handleReport(now, e)
	case controller.Tick:
		var out []controller.Action
		for _, g := range s.sortedGroups {
			out = append(out, g.evaluate(now)...)
		}
		return out
	}
	return nil
}

func (s *Slice) applyConfiguration(d *configurer.Document) {
	s.views = s.views.Apply(d)
	old := s.groups
	s.groups, s.sortedGroups = map[string]*group{}, nil
	for _, v := range s.views.sorted() {
		n := v.Service.Name
		g := old[n]
		if g == nil {
			g = &group{zone: s.Zone, zoneReports: map[string]zoneReport{}}
		}
		g.view = v
		s.groups[n] = g
		s.sortedGroups = append(s.sortedGroups, g)
	}
}

func (s *Slice) handleReport(now time.Time, e gossiper.ReportReceived) []controller.Action {
	if e.Report.Zone == s.Zone {
		return nil
	}
	var out []controller.Action
	for _, r := range e.Report.Groups {
		g := s.groups[r.Service]
		if g == nil {
			continue
		}
		g.recordReport(now, e, r)
		out = append(out, g.evaluate(now)...)
	}
	return out
}

func (g *group) recordReport(now time.Time, e gossiper.ReportReceived, r gossiper.GroupReport) {
	o := g.zoneReports[e.Report.Zone]
	p := g.view.Primary()
	if p < 0 {
		return
	}
	term := g.view.Term()
	for _, m := range r.Members {
		if m.Member != g.view.Service.Members[p].Name {
			continue
		}
		if o.term != term {
			o = zoneReport{term: term}
		}
		o.reportedAt = now
		o.suspects = m.Suspected
		// A lower bound of the observation's time, on this instance's clock.
		at := e.RequestedAt.Add(-m.Age)
		if m.Failures == 0 && m.Status.Role == commander.RolePrimary && m.Status.Term == term && at.After(o.primaryAliveAt) {
			o.primaryAliveAt = at
		}
		g.zoneReports[e.Report.Zone] = o
	}
}

// evaluate updates the suspicion and emits what has changed.
func (g *group) evaluate(now time.Time) []controller.Action {
	next := suspicion{term: g.view.Term(), evidence: g.assessPrimary(now)}
	if p := g.view.Primary(); p >= 0 {
		next.member = g.view.Service.Members[p].Name
	}
	var out []controller.Action
	c := &g.current
	same := c.member == next.member && c.term == next.term && (c.evidence == EvidenceNone) == (next.evidence == EvidenceNone)
	if !same {
		out = g.withdraw()
		next.since = now
		g.current = next
		if next.evidence != EvidenceNone {
			out = append(out, g.emit(Suspected{
				Service: g.view.Service.Name, Member: next.member, Term: next.term, Active: true, Evidence: next.evidence.String(), Age: g.statusAge(now),
			}))
		}
	}
	c.evidence = next.evidence
	if c.evidence != EvidenceNone && !c.agreed && g.shouldAct(now) {
		c.agreed = true
		out = append(out, g.emit(g.failureAgreed(true)))
	}
	return out
}

// statusAge returns the time since the primary's last answered request was sent.
func (g *group) statusAge(now time.Time) time.Duration {
	p := g.view.Primary()
	if p < 0 || g.view.Members[p].StatusAt.IsZero() {
		return -1
	}
	return now.Sub(g.view.Members[p].StatusAt)
}

// withdraw ends the current suspicion.
func (g *group) withdraw() []controller.Action {
	c := g.current
	if c.evidence == EvidenceNone {
		return nil
	}
	out := []controller.Action{g.emit(Suspected{Service: g.view.Service.Name, Member: c.member, Term: c.term})}
	if c.agreed {
		out = append(out, g.emit(g.failureAgreed(false)))
	}
	return out
}

// failureAgreed returns the event for the start or end of an agreed failure.
func (g *group) failureAgreed(active bool) FailureAgreed {
	c := g.current
	return FailureAgreed{Service: g.view.Service.Name, Member: c.member, Term: c.term, Active: active, Evidence: c.evidence}
}

func (g *group) emit(e controller.Event) controller.Action { return controller.Emit{Event: e} }
