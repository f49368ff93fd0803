package detector

import (
	"sort"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// weigh returns the strongest evidence against the primary at hand.
func (g *group) weigh(now time.Time) Evidence {
	p := g.view.Primary()
	if p < 0 {
		return g.weighHeadless(now)
	}
	g.headless = time.Time{}
	k := &g.view.Members[p]
	if k.Failures == 0 {
		return g.weighStall(now, p)
	}
	g.stall = stall{}
	failing := now.Sub(k.FailingSince)
	switch {
	case k.Failures < minFailures:
		return EvidenceNone
	case k.Unreachable && failing >= refusedAfter:
		return EvidenceUnreachable
	case failing >= silentAfter && !g.advancing(now, p):
		return EvidenceSilent
	}
	return EvidenceNone
}

// advancing reports whether a replica has lately received entries of the
// primary's term: then the primary lives, and only the way to it is cut.
func (g *group) advancing(now time.Time, p int) bool {
	since := g.view.Members[p].FailingSince
	for i, k := range g.view.Members {
		if i != p && k.Status.Received.Term == g.view.Term() && k.Advanced.After(since) && now.Sub(k.Advanced) < aliveFor {
			return true
		}
	}
	return false
}

// weighHeadless finds a term without primary: its promoter died, or the primary
// died before this instance ever saw it.
func (g *group) weighHeadless(now time.Time) Evidence {
	seen := 0
	for _, k := range g.view.Members {
		switch {
		case k.Failures >= minFailures:
		case !k.Seen.IsZero() && now.Sub(k.Seen) < freshFor:
			seen++
		default: // not known yet: it may be the primary
			g.headless = time.Time{}
			return EvidenceNone
		}
	}
	if seen < g.view.Service.Quorum() {
		g.headless = time.Time{}
		return EvidenceNone
	}
	// A promotion that has just fenced members for a newer term is given its time:
	// without this, the wait of the term before counts for the new one, and each
	// promoter is overtaken by the next within a tick.
	if term := g.view.Term(); g.headless.IsZero() || g.headlessTerm != term {
		g.headless, g.headlessTerm = now, term
	}
	if now.Sub(g.headless) < headlessAfter {
		return EvidenceNone
	}
	return EvidenceHeadless
}

// weighStall finds a primary that is cut off from its replicas: it takes writes,
// none of which can be confirmed. Replicas that lag still move, so any progress
// of theirs starts the wait again.
func (g *group) weighStall(now time.Time, p int) Evidence {
	want := g.view.Members[p].Status.Received
	holders, lacking := 1, 0
	var progress orderer.Position
	var sum uint64
	for i, k := range g.view.Members {
		switch {
		case i == p:
			continue
		case k.Status.Received.AtLeast(want):
			holders++
		case k.Failures == 0 && k.Status.Role != commander.RoleFenced && now.Sub(k.Seen) < freshFor:
			lacking++
		}
		progress = orderer.Max(progress, k.Status.Received)
		sum += k.Status.Received.Offset
	}
	if holders >= g.view.Service.Quorum() || lacking <= len(g.view.Members)-g.view.Service.Quorum() {
		g.stall = stall{}
		return EvidenceNone
	}
	if g.stall.since.IsZero() || progress != g.stall.progress || sum != g.stall.sum {
		g.stall = stall{since: now, progress: progress, sum: sum}
	}
	if now.Sub(g.stall.since) < stalledAfter {
		return EvidenceNone
	}
	return EvidenceStalled
}

// agree decides whether the suspicion is to be acted on. What the members
// themselves show (a stall, a term without primary) is the same from everywhere.
// That this instance can't reach the primary may be its own fault: then another
// availability zone has to share the suspicion, and more of them than see the
// primary alive. When none speaks up in time, the instance decides alone: it may
// be the only one left.
func (g *group) agree(now time.Time) bool {
	c := g.current
	if c.evidence == EvidenceStalled || c.evidence == EvidenceHeadless {
		return true
	}
	p := g.view.Primary()
	if p < 0 {
		return false
	}
	failing := g.view.Members[p].FailingSince
	suspecting, alive := 1, 0
	for _, o := range g.opinions {
		switch {
		case o.term != c.term || now.Sub(o.heard) > freshFor:
		case o.suspects:
			suspecting++
		case o.alive.After(failing) && now.Sub(o.alive) < freshFor:
			alive++
		}
	}
	if suspecting > 1 {
		return suspecting > alive
	}
	patience := silentPatience
	if c.evidence == EvidenceUnreachable {
		patience = refusedPatience
	}
	return alive == 0 && now.Sub(c.since) >= patience
}

// ordered returns the views by service name: a slice's answers to an event must
// not depend on the order of a map.
func (w Views) ordered() []*View {
	out := make([]*View, 0, len(w))
	for _, v := range w {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service.Name < out[j].Service.Name })
	return out
}
