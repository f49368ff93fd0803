package detector

import (
	"slices"
	"sort"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
)

// assessPrimary returns the strongest evidence against the current primary.
func (g *group) assessPrimary(now time.Time) Evidence {
	p := g.view.Primary()
	if p < 0 {
		return g.assessLeaderless(now)
	}
	g.leaderlessSince = time.Time{}
	m := &g.view.Members[p]
	if m.Failures == 0 {
		return g.assessStall(now, p)
	}
	g.stall = stall{}
	failing := now.Sub(m.FailingSince)
	switch {
	case m.Failures < minFailures:
		return EvidenceNone
	case m.Unreachable && failing >= refusedTimeout:
		return EvidenceUnreachable
	case failing >= silenceTimeout:
		return EvidenceSilent
	}
	return EvidenceNone
}

// missesHeartbeats reports whether a replica misses the primary's heartbeats; known is false
// without a recent status of it as a replica of this term.
func (g *group) missesHeartbeats(now time.Time, i int) (missed, known bool) {
	m := &g.view.Members[i]
	if m.Failures > 0 || m.Status.Role != commander.RoleReplica || m.Status.Term != g.view.Term() || now.Sub(m.StatusAt) > maxReportAge {
		return false, false
	}
	return m.Status.LastMessageAge < 0 || m.Status.LastMessageAge >= heartbeatTimeout, true
}

// assessLeaderless detects a term without a primary: its promoter died, or the primary failed
// before this instance observed it.
func (g *group) assessLeaderless(now time.Time) Evidence {
	var statusTimes []time.Time
	for i, m := range g.view.Members {
		missed, known := g.missesHeartbeats(now, i)
		switch {
		case known && !missed:
			// The replica follows a primary that this instance cannot reach. Without this rule, an
			// instance that starts behind a partition would replace a healthy primary.
			g.leaderlessSince = time.Time{}
			return EvidenceNone
		case m.Failures >= minFailures:
		case !m.StatusAt.IsZero() && now.Sub(m.StatusAt) < maxReportAge:
			statusTimes = append(statusTimes, m.StatusAt)
		default: // unknown member, possibly the primary
			g.leaderlessSince = time.Time{}
			return EvidenceNone
		}
	}
	if len(statusTimes) < g.view.Service.Quorum() {
		g.leaderlessSince = time.Time{}
		return EvidenceNone
	}
	shownAt := nthNewest(statusTimes, g.view.Service.Quorum())
	// Restarts the wait for each term, so that a running promotion is not overtaken. Otherwise the
	// wait of the previous term would count, and promoters would overtake each other.
	if term := g.view.Term(); g.leaderlessSince.IsZero() || g.leaderlessTerm != term {
		g.leaderlessSince, g.leaderlessTerm = shownAt, term
	}
	if shownAt.Sub(g.leaderlessSince) < leaderlessTimeout {
		return EvidenceNone
	}
	return EvidenceLeaderless
}

// assessStall detects a primary that is partitioned from its replicas, so that its writes are
// not confirmed. Any replication progress restarts the wait. Missed heartbeats show the
// partition earlier. Times are those of responses, not of this instance's clock, which would
// also count time without any response.
func (g *group) assessStall(now time.Time, p int) Evidence {
	primary := g.view.Members[p].Status
	holders, reporting := 1, 0
	var missed []time.Time // status times of replicas that miss heartbeats
	var offsets uint64
	for i, member := range g.view.Service.Members {
		if i == p {
			continue
		}
		m := &g.view.Members[i]
		replicated := primary.Followers[member.Name]
		offsets += replicated.Offset
		if replicated.AtLeast(primary.Received) {
			holders++
		}
		if d, known := g.missesHeartbeats(now, i); known {
			reporting++
			if d {
				missed = append(missed, m.StatusAt)
			}
		}
	}
	// Without a majority of the replicas, no promotion could succeed.
	minority := len(g.view.Members) - g.view.Service.Quorum()
	isolated := len(missed) > minority
	if reporting <= minority || (!isolated && holders >= g.view.Service.Quorum()) {
		g.stall = stall{}
		return EvidenceNone
	}
	shownAt, timeout := g.view.Members[p].StatusAt, stallTimeout
	if isolated {
		shownAt, timeout = nthNewest(missed, minority+1), isolationTimeout
	}
	if g.stall.since.IsZero() || offsets != g.stall.replicatedOffsets || isolated != g.stall.isolated {
		g.stall = stall{since: shownAt, replicatedOffsets: offsets, isolated: isolated}
	}
	if shownAt.Sub(g.stall.since) < timeout {
		return EvidenceNone
	}
	return EvidenceStalled
}

// nthNewest returns the n-th newest time.
func nthNewest(times []time.Time, n int) time.Time {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

// shouldAct reports whether to act on the suspicion. A stall or a term without a primary looks
// the same from everywhere. An unreachable primary may be a network fault of this instance:
// more availability zones must suspect it than see it alive, judging by the reports of their
// instances and by the heartbeats of their replicas. Without any such report in time, this
// instance decides alone.
func (g *group) shouldAct(now time.Time) bool {
	c := g.current
	if c.evidence == EvidenceStalled || c.evidence == EvidenceLeaderless {
		return true
	}
	p := g.view.Primary()
	if p < 0 {
		return false
	}
	failing := g.view.Members[p].FailingSince
	suspecting, alive := map[string]bool{}, map[string]bool{}
	for z, r := range g.zoneReports {
		switch {
		case r.term != c.term || now.Sub(r.reportedAt) > maxReportAge:
		case r.suspects:
			suspecting[z] = true
		case r.primaryAliveAt.After(failing) && now.Sub(r.primaryAliveAt) < maxReportAge:
			alive[z] = true
		}
	}
	for i, m := range g.view.Service.Members {
		if i == p {
			continue
		}
		missed, known := g.missesHeartbeats(now, i)
		switch {
		case known && !missed && g.view.Members[i].StatusAt.After(failing):
			alive[m.Zone] = true
		case known && missed && m.Zone != g.zone:
			suspecting[m.Zone] = true
		}
	}
	if len(alive) == 0 && len(suspecting) == 0 {
		wait := silentZoneWait
		if c.evidence == EvidenceUnreachable {
			wait = refusedZoneWait
		}
		return now.Sub(c.since) >= wait
	}
	suspecting[g.zone] = true
	return len(suspecting) > max(1, len(alive))
}

// sorted returns the views by service name, so that results do not depend on map order.
func (vs Views) sorted() []*View {
	out := make([]*View, 0, len(vs))
	for _, v := range vs {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service.Name < out[j].Service.Name })
	return out
}
