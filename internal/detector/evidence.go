package detector

import (
	"slices"
	"sort"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
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
	case failing >= silentAfter:
		return EvidenceSilent
	}
	return EvidenceNone
}

// deaf reports whether a replica has no sign of life from the primary; known is
// false when the instance has no recent status of it as a replica of this term.
func (g *group) deaf(now time.Time, i int) (deaf, known bool) {
	k := &g.view.Members[i]
	if k.Failures > 0 || k.Status.Role != commander.RoleReplica || k.Status.Term != g.view.Term() || now.Sub(k.Seen) > freshFor {
		return false, false
	}
	return k.Status.Heard < 0 || k.Status.Heard >= deafAfter, true
}

// weighHeadless finds a term without primary: its promoter died, or the primary
// died before this instance ever saw it.
func (g *group) weighHeadless(now time.Time) Evidence {
	var seen []time.Time
	for i, k := range g.view.Members {
		deaf, known := g.deaf(now, i)
		switch {
		case known && !deaf:
			// It hears a primary that this instance has never reached. Without
			// this, an instance that starts behind a cut replaces a healthy one.
			g.headless = time.Time{}
			return EvidenceNone
		case k.Failures >= minFailures:
		case !k.Seen.IsZero() && now.Sub(k.Seen) < freshFor:
			seen = append(seen, k.Seen)
		default: // not known yet: it may be the primary
			g.headless = time.Time{}
			return EvidenceNone
		}
	}
	if len(seen) < g.view.Service.Quorum() {
		g.headless = time.Time{}
		return EvidenceNone
	}
	shown := newest(seen, g.view.Service.Quorum())
	// A promotion that has just fenced members for a newer term is given its time:
	// without this, the wait of the term before counts for the new one, and each
	// promoter is overtaken by the next within a tick.
	if term := g.view.Term(); g.headless.IsZero() || g.headlessTerm != term {
		g.headless, g.headlessTerm = shown, term
	}
	if shown.Sub(g.headless) < headlessAfter {
		return EvidenceNone
	}
	return EvidenceHeadless
}

// weighStall finds a primary that is cut off from its replicas: it takes writes,
// none of which can be confirmed. Replicas that lag still move, so any progress
// of theirs starts the wait again; replicas that don't even hear the primary show
// the cut sooner, and before the first write meets it.
//
// The time counts from answer to answer, not by this instance's clock: an answer that
// showed an entry under way says nothing of the time after it, when there was no
// connection to ask over.
func (g *group) weighStall(now time.Time, p int) Evidence {
	primary := g.view.Members[p].Status
	holders, lacking := 1, 0
	var deaf []time.Time // when the replicas that don't hear the primary said so
	var sum uint64
	for i, member := range g.view.Service.Members {
		if i == p {
			continue
		}
		m := &g.view.Members[i]
		held := primary.Followers[member.Name]
		sum += held.Offset
		if held.AtLeast(primary.Received) {
			holders++
		}
		if d, known := g.deaf(now, i); known {
			lacking++
			if d {
				deaf = append(deaf, m.Seen)
			}
		}
	}
	// With the others gone as well, no promotion could get a majority.
	minority := len(g.view.Members) - g.view.Service.Quorum()
	cut := len(deaf) > minority
	if lacking <= minority || (!cut && holders >= g.view.Service.Quorum()) {
		g.stall = stall{}
		return EvidenceNone
	}
	shown, after := g.view.Members[p].Seen, stalledAfter
	if cut {
		shown, after = newest(deaf, minority+1), cutAfter
	}
	if g.stall.since.IsZero() || sum != g.stall.sum || cut != g.stall.cut {
		g.stall = stall{since: shown, sum: sum, cut: cut}
	}
	if shown.Sub(g.stall.since) < after {
		return EvidenceNone
	}
	return EvidenceStalled
}

// newest returns the n-th newest time: at least n of them are no older.
func newest(times []time.Time, n int) time.Time {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

// agree decides whether the suspicion is to be acted on. What the members
// themselves show (a stall, a term without primary) is the same from everywhere.
// That this instance can't reach the primary may be its own fault: then another
// availability zone has to share the suspicion, and more of them than see the
// primary alive. A zone speaks through its instances' reports and through its
// replica, which either hears the primary or doesn't. When none speaks up in
// time, the instance decides alone: it may be the only one left.
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
	suspecting, alive := map[string]bool{}, map[string]bool{}
	for z, o := range g.opinions {
		switch {
		case o.term != c.term || now.Sub(o.heard) > freshFor:
		case o.suspects:
			suspecting[z] = true
		case o.alive.After(failing) && now.Sub(o.alive) < freshFor:
			alive[z] = true
		}
	}
	for i, m := range g.view.Service.Members {
		if i == p {
			continue
		}
		deaf, known := g.deaf(now, i)
		switch {
		case known && !deaf && g.view.Members[i].Seen.After(failing):
			alive[m.Zone] = true
		case known && deaf && m.Zone != g.zone:
			suspecting[m.Zone] = true
		}
	}
	if len(alive) == 0 && len(suspecting) == 0 {
		patience := silentPatience
		if c.evidence == EvidenceUnreachable {
			patience = refusedPatience
		}
		return now.Sub(c.since) >= patience
	}
	suspecting[g.zone] = true
	return len(suspecting) > max(1, len(alive))
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
