package detector

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/observer"
)

// The thresholds answer one pattern each. They are measured in
// docs/design/0003-promotion.md. A question is sent every 100 ms and waits 600 ms
// for its answer.
const (
	// minFailures questions in a row must fail: one lost answer is no failure.
	minFailures = 2
	// refusedAfter is how long a crash must last. A process that is restarted by
	// hand or a listener that is reopened takes less.
	refusedAfter = 200 * time.Millisecond
	// silentAfter is how long a freeze must last. A pause of a virtual machine or
	// a collector is some hundred milliseconds; two questions of 600 ms each on
	// two connections bridge 1.1 s.
	silentAfter = 1100 * time.Millisecond
	// stalledAfter is how long nothing may reach the replicas. Below, a burst of
	// replication lag would look like a cut.
	stalledAfter = 1500 * time.Millisecond
	// headlessAfter leaves a running promotion the time to end, so that it is not
	// overtaken by a second one.
	headlessAfter = 700 * time.Millisecond
	// deafAfter is how long a replica may miss its primary's heartbeat, which comes
	// every 200 ms, before it counts as cut off.
	deafAfter = 700 * time.Millisecond
	// cutAfter is how long a majority of the replicas must stay so: a replica that
	// opens its stream anew has none for some 100 ms.
	cutAfter = 400 * time.Millisecond
	// freshFor is how long what was seen or reported counts.
	freshFor = 2 * time.Second
	// refusedPatience and silentPatience are how long a suspicion waits for other
	// availability zones to speak. Without them an instance whose own network
	// fails would replace a healthy primary.
	refusedPatience = 400 * time.Millisecond
	silentPatience  = 900 * time.Millisecond
)

type (
	// Slice weighs the evidence. Set the exported fields before the first Step.
	//
	// Load pattern: a fleet at work, with lag, jitter and pauses. A single timeout
	// is either slow for a crash or replaces a primary that was merely slow. So
	// each kind of evidence has its own threshold, and a kind that may be due to
	// this instance's own network needs another availability zone to share it.
	Slice struct {
		// Zone is the instance's own availability zone.
		Zone string

		views  Views
		groups map[string]*group
		// order has the groups by name, sorted once for each configuration:
		// at each tick it took most of a tick's time.
		order []*group
	}

	group struct {
		zone string // the instance's own
		view *View
		// opinions are the newest of each other availability zone.
		opinions map[string]opinion
		stall    stall
		// headless is since when headlessTerm, the newest, has no primary.
		headless     time.Time
		headlessTerm uint64
		current      suspicion
	}

	// suspicion is the one that was last emitted.
	suspicion struct {
		member   string
		term     uint64
		evidence Evidence
		since    time.Time
		agreed   bool
	}

	// stall watches a position of the primary that no majority holds.
	stall struct {
		since time.Time
		sum   uint64 // of what the followers hold
		cut   bool   // the replicas don't hear the primary
	}

	opinion struct {
		heard time.Time
		// alive is when the primary is known to have answered there.
		alive    time.Time
		suspects bool
		term     uint64
	}
)

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.InForce:
		s.apply(e.Document)
	case observer.Observed:
		if s.views.Observe(e) != nil {
			return s.groups[e.Service].step(now)
		}
	case gossiper.Heard:
		return s.hear(now, e)
	case controller.Tick:
		var out []controller.Action
		for _, g := range s.order {
			out = append(out, g.step(now)...)
		}
		return out
	}
	return nil
}

func (s *Slice) apply(d *configurer.Document) {
	s.views = s.views.Apply(d)
	old := s.groups
	s.groups, s.order = map[string]*group{}, nil
	for _, v := range s.views.ordered() {
		n := v.Service.Name
		g := old[n]
		if g == nil {
			g = &group{zone: s.Zone, opinions: map[string]opinion{}}
		}
		g.view = v
		s.groups[n] = g
		s.order = append(s.order, g)
	}
}

func (s *Slice) hear(now time.Time, e gossiper.Heard) []controller.Action {
	if e.Report.Zone == s.Zone {
		return nil
	}
	var out []controller.Action
	for _, r := range e.Report.Groups {
		g := s.groups[r.Service]
		if g == nil {
			continue
		}
		g.hear(now, e, r)
		out = append(out, g.step(now)...)
	}
	return out
}

func (g *group) hear(now time.Time, e gossiper.Heard, r gossiper.GroupReport) {
	o := g.opinions[e.Report.Zone]
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
			o = opinion{term: term}
		}
		o.heard = now
		o.suspects = m.Suspected
		// The observation is no older than this, on this instance's clock.
		at := e.Asked.Add(-m.Age)
		if m.Failures == 0 && m.Status.Role == commander.RolePrimary && m.Status.Term == term && at.After(o.alive) {
			o.alive = at
		}
		g.opinions[e.Report.Zone] = o
	}
}

// step weighs the evidence and emits what has changed.
func (g *group) step(now time.Time) []controller.Action {
	next := suspicion{term: g.view.Term(), evidence: g.weigh(now)}
	if p := g.view.Primary(); p >= 0 {
		next.member = g.view.Service.Members[p].Name
	}
	var out []controller.Action
	c := &g.current
	same := c.member == next.member && c.term == next.term && (c.evidence == EvidenceNone) == (next.evidence == EvidenceNone)
	if !same {
		out = g.end()
		next.since = now
		g.current = next
		if next.evidence != EvidenceNone {
			out = append(out, g.emit(Suspected{
				Service: g.view.Service.Name, Member: next.member, Term: next.term, On: true, Evidence: next.evidence.String(), Age: g.age(now),
			}))
		}
	}
	c.evidence = next.evidence
	if c.evidence != EvidenceNone && !c.agreed && g.agree(now) {
		c.agreed = true
		out = append(out, g.emit(g.agreement(true)))
	}
	return out
}

// age is how long ago the question was sent that the primary answered last.
func (g *group) age(now time.Time) time.Duration {
	p := g.view.Primary()
	if p < 0 || g.view.Members[p].Seen.IsZero() {
		return -1
	}
	return now.Sub(g.view.Members[p].Seen)
}

// end withdraws the current suspicion.
func (g *group) end() []controller.Action {
	c := g.current
	if c.evidence == EvidenceNone {
		return nil
	}
	out := []controller.Action{g.emit(Suspected{Service: g.view.Service.Name, Member: c.member, Term: c.term})}
	if c.agreed {
		out = append(out, g.emit(g.agreement(false)))
	}
	return out
}

func (g *group) agreement(on bool) Agreed {
	c := g.current
	return Agreed{Service: g.view.Service.Name, Member: c.member, Term: c.term, On: on, Evidence: c.evidence}
}

func (g *group) emit(e controller.Event) controller.Action { return controller.Emit{Event: e} }
