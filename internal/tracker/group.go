package tracker

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	// proofInterval is the minimum time between two retained proofs. The oldest proof within a
	// staleness bound is at most this much newer than it could be.
	proofInterval = 100 * time.Millisecond
	// proofRetention exceeds the longest staleness bound of a route.
	proofRetention = 4 * time.Second
	// minLagBackoff and maxLagBackoff bound the exponential backoff before a lagging
	// replica is tried again for a position that it lacked. Replicas usually lag by 12 to 150 ms.
	// Without the growth, every read would try a replica that lags by seconds in vain, at the cost
	// of a round trip and a connection.
	minLagBackoff = 60 * time.Millisecond
	maxLagBackoff = 480 * time.Millisecond
	// failurePenaltyDuration is how long a member is the last read candidate after a
	// failure, unless a health probe succeeds sooner.
	failurePenaltyDuration = 400 * time.Millisecond
	// latencyWeight is the weight of a new sample in a member's moving average latency.
	latencyWeight = 0.1
	// baselineFallWeight and baselineRiseWeight are the weights of samples below and above
	// the baseline latency. The baseline rises slowly, so that it excludes queueing.
	baselineFallWeight, baselineRiseWeight = 0.1, 0.002
	// queueingLatencyRatio is the ratio of latency to baseline above which statements are
	// considered to queue at the member. Service times vary by half around their mean, which must
	// not count as queueing.
	queueingLatencyRatio = 2.5
	// idleLatencyDecay is the part of an unused member's excess latency that remains after
	// each second, so that a slow member is eventually tried again.
	idleLatencyDecay = 0.5
)

type (
	// Group tracks the members of a replication group, its primary and the replication
	// progress. It is safe for concurrent use.
	Group struct {
		Name string
		// Zone is the availability zone of this instance. SameRegion reports whether a zone is in
		// the same region.
		Zone       string
		SameRegion func(zone string) bool
		// NotePlacement, when set, is called for each order of several candidates for a read. It
		// must not call methods of the group.
		NotePlacement func(Placement)

		mutex   sync.Mutex
		members map[string]*member
		primary string
		// primaryRevision is the store revision at which the primary registered as such.
		primaryRevision int64
		// term is the highest term that any member has reported.
		term   uint64
		proofs []FreshnessProof
		// restarts counts the member restarts, observedRestarts those that were included in
		// restartedAt.
		restarts, observedRestarts int
		restartedAt                Timestamp
	}

	// member is a registration with the observed replication state and latency.
	member struct {
		Member
		// lastPosition is the end of the member's log as last reported.
		lastPosition orderer.Position
		// missingPosition is a position that the member's log had not reached at missingAt.
		missingPosition orderer.Position
		missingAt       Timestamp
		// lagBackoff is how long after missingAt the member is not tried for missingPosition.
		lagBackoff time.Duration
		failedAt   Timestamp
		failed     bool
		latency    time.Duration
		// baselineLatency approximates the latency without queueing at the member.
		baselineLatency time.Duration
		sampledAt       Timestamp
		inFlight        int
		load            memberLoad
	}
)

// SetMembers replaces the set of members with the registered ones.
func (g *Group) SetMembers(list []Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	old := g.members
	g.members = make(map[string]*member, len(list))
	for _, m := range list {
		if m.Expired {
			continue
		}
		x, ok := old[m.ID]
		if ok && m.RestartedSince(x.Member) {
			g.handleRestart(m.ID)
			ok = false
		}
		if !ok {
			x = &member{}
		}
		wasPrimary := ok && x.Primary
		x.Member = m
		g.members[m.ID] = x
		if m.Primary && !wasPrimary && m.Revision > g.primaryRevision {
			g.primary, g.primaryRevision = m.ID, m.Revision
		}
	}
	if _, ok := g.members[g.primary]; !ok {
		g.primary = ""
	}
}

// handleRestart discards the state of a member that restarted under the same ID. A
// restarted primary is no longer the primary and would reject writes.
func (g *Group) handleRestart(id string) {
	g.restarts++
	if g.primary == id {
		g.primary, g.proofs = "", nil
	}
}

// RecordRestart records that a member restarted at a time before the group's state was created.
func (g *Group) RecordRestart(at Timestamp) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.restartedAt = max(g.restartedAt, at)
}

// LastRestart returns when a member restart was last detected, 0 if none was. It is never
// earlier than the restart itself. The member may have lost what it acknowledged before.
func (g *Group) LastRestart(now Timestamp) Timestamp {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.observeRestarts(now)
}

// observeRestarts returns restartedAt, updated if a member has restarted; the mutex is held.
func (g *Group) observeRestarts(now Timestamp) Timestamp {
	if g.restarts != g.observedRestarts {
		g.observedRestarts, g.restartedAt = g.restarts, now
	}
	return g.restartedAt
}

// Primary returns the ID of the presumed primary, "" if there is none.
func (g *Group) Primary() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.primary
}

// Member returns the registration of a member.
func (g *Group) Member(id string) (Member, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// IDs returns the sorted IDs of the members.
func (g *Group) IDs() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	ids := make([]string, 0, len(g.members))
	for id := range g.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// UpdateStatus records a member's status that was requested at the given time. It reports
// whether the presumed primary changed.
func (g *Group) UpdateStatus(requested Timestamp, id string, s messenger.Status) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok {
		return false
	}
	m.lastPosition, m.failed = s.Received, false
	m.load.observe(requested, s.Busy, m.Slots)
	m.load.held = false
	if !s.Primary {
		if g.primary == id && s.Term >= g.term {
			g.term = s.Term
			g.primary = ""
			return true
		}
		return false
	}
	if s.Term < g.term {
		return false
	}
	g.term = s.Term
	g.addProof(FreshnessProof{At: requested, Position: s.Received})
	changed := g.primary != id
	g.primary = id
	return changed
}

// ClearPrimary records that a member denied being the primary. Unless another one is presumed
// already, the next registration or status that names a primary is accepted.
func (g *Group) ClearPrimary(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.primary == id {
		g.primary = ""
	}
}

// AddProof adds a proof of the primary's position.
func (g *Group) AddProof(p FreshnessProof) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.addProof(p)
}

// AddRemoteProof adds a proof that another instance obtained, with its time converted to the local
// clock, and reports whether it was newer. A proof stays valid after a failover, but not
// after a member restart: the new log may reach the position without the old commits. Passing a
// proof on makes it older but never false, as long as its time is not taken for later than it was.
func (g *Group) AddRemoteProof(now Timestamp, p FreshnessProof) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	// A time in the future is an error and would mask newer proofs.
	if at := g.observeRestarts(now); at != 0 && p.At <= at || p.At > now {
		return false
	}
	if n := len(g.proofs); n > 0 && p.At <= g.proofs[n-1].At {
		return false
	}
	g.addProof(p)
	return true
}

// NewestPrimaryProof returns the newest proof that was obtained from the primary.
func (g *Group) NewestPrimaryProof() (FreshnessProof, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, p := range slices.Backward(g.proofs) {
		if !p.FromReplicas {
			return p, true
		}
	}
	return FreshnessProof{}, false
}

func (g *Group) addProof(p FreshnessProof) {
	if p.Position.IsZero() {
		return
	}
	g.term = max(g.term, p.Position.Term)
	n := len(g.proofs)
	if n > 0 && p.At < g.proofs[n-1].At {
		return
	}
	// Replaces the newest proof while it is within proofInterval of its predecessor.
	if n > 1 && g.proofs[n-1].At-g.proofs[n-2].At < proofInterval {
		g.proofs = g.proofs[:n-1]
	}
	g.proofs = append(g.proofs, p)
	i := 0
	for p.At-g.proofs[i].At > proofRetention {
		i++
	}
	g.proofs = slices.Delete(g.proofs, 0, i)
}

// NewestProof returns the newest proof of any origin.
func (g *Group) NewestProof() (FreshnessProof, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.proofs) == 0 {
		return FreshnessProof{}, false
	}
	return g.proofs[len(g.proofs)-1], true
}

// RequiredPosition returns the minimum log position for a replica to serve a read that arrived at
// the given time, on a route other than RulePrimary. It uses the oldest proof within the
// staleness bound, and returns false if there is none: only the primary can serve then. The oldest
// proof requires the least of replicas: one that lags by a second still serves reads that may be
// older.
func (g *Group) RequiredPosition(arrived Timestamp, r Route, lastCommit LastCommit) (orderer.Position, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	i, _ := slices.BinarySearchFunc(g.proofs, arrived-r.Staleness, func(p FreshnessProof, t Timestamp) int {
		return cmp.Compare(p.At, t)
	})
	if i == len(g.proofs) {
		return orderer.Position{}, false
	}
	need := g.proofs[i]
	if r.Rule != RuleReadYourWrites || lastCommit.Position.IsZero() || need.At >= lastCommit.At {
		return need.Position, true
	}
	// A failover may have rolled back the reported position of a commit. A proof newer
	// than the commit covers it with a position that replicas can reach.
	for _, p := range g.proofs[i:] {
		if p.At >= lastCommit.At && lastCommit.Position.Compare(p.Position) > 0 {
			return p.Position, true
		}
	}
	return orderer.Max(need.Position, lastCommit.Position), true
}

// ReadCandidates returns the members that may have reached a position, best first: by the load of
// all instances if it is known, otherwise by the latency expected from own samples. It omits members
// that are draining or known to lag behind the position.
func (g *Group) ReadCandidates(now Timestamp, need orderer.Position) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	// candidate is a member that may serve a read.
	type candidate struct {
		id              string
		expectedLatency time.Duration
	}
	var candidates []candidate
	for id, m := range g.members {
		if m.Leaving || g.lacksPosition(now, m, need) {
			continue
		}
		candidates = append(candidates, candidate{id, g.expectedLatency(now, m)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.expectedLatency, b.expectedLatency), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.id
	}
	return g.orderByLoad(now, ids)
}

// lacksPosition reports whether a member lacked the position recently and is not yet due
// for another try.
func (g *Group) lacksPosition(now Timestamp, m *member, need orderer.Position) bool {
	if m.lastPosition.AtLeast(need) || m.missingPosition.IsZero() {
		return false
	}
	return need.AtLeast(m.missingPosition) && now-m.missingAt < m.lagBackoff
}

const (
	// defaultLocalLatency and defaultRemoteLatency are the assumed latencies of members
	// without samples, inside and outside the region.
	defaultLocalLatency  = 5 * time.Millisecond
	defaultRemoteLatency = 30 * time.Millisecond
	// failurePenalty ranks a member that failed recently behind all others.
	failurePenalty = time.Minute
)

// expectedLatency estimates the latency of a statement at a member from past samples and
// the statements in flight.
func (g *Group) expectedLatency(now Timestamp, m *member) time.Duration {
	defaultLatency := defaultRemoteLatency
	if m.Zone == g.Zone || g.SameRegion(m.Zone) {
		defaultLatency = defaultLocalLatency
	}
	latency := defaultLatency
	if m.latency > defaultLatency {
		latency = m.latency
		if idle := now - m.sampledAt; idle > 0 {
			excess := float64(m.latency - defaultLatency)
			for ; idle > time.Second; idle -= time.Second {
				excess *= idleLatencyDecay
			}
			latency = defaultLatency + time.Duration(excess)
		}
	}
	c := latency + latency*time.Duration(m.inFlight)/time.Duration(max(1, m.Slots))
	if m.failedRecently(now) {
		c += failurePenalty
	}
	return c
}

// failedRecently reports whether the member's last statement or connection attempt failed a short
// time ago.
func (m *member) failedRecently(now Timestamp) bool {
	return m.failed && now-m.failedAt < failurePenaltyDuration
}

// RecordSend records that a statement was sent to a member.
func (g *Group) RecordSend(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.members[id]; ok {
		m.load.ownAverage += ownLoadWeight * (float64(m.inFlight) - m.load.ownAverage)
		m.inFlight++
	}
}

// RecordResponse records a response of a member, with its latency and the member's log position.
func (g *Group) RecordResponse(now Timestamp, id string, elapsed time.Duration, p orderer.Position) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok {
		return
	}
	m.inFlight = max(0, m.inFlight-1)
	m.failed = false
	if !p.IsZero() {
		m.lastPosition = p
	}
	if !m.missingPosition.IsZero() && m.lastPosition.AtLeast(m.missingPosition) {
		m.missingPosition, m.lagBackoff = orderer.Position{}, 0
	}
	if m.latency == 0 {
		m.latency = elapsed
	}
	m.latency += time.Duration(latencyWeight * float64(elapsed-m.latency))
	m.sampledAt = now
	m.updateBaselineLatency(elapsed)
	m.load.recordService(now, elapsed-g.networkTime(m))
}

func (m *member) updateBaselineLatency(elapsed time.Duration) {
	weight := baselineRiseWeight
	if elapsed < m.baselineLatency {
		weight = baselineFallWeight
	}
	if m.baselineLatency == 0 {
		weight = 1
	}
	m.baselineLatency += time.Duration(weight * float64(elapsed-m.baselineLatency))
}

// IsQueueing reports whether this instance has a statement in flight at a member whose
// latency is mostly queueing. Opening another connection would only add to the queue.
func (g *Group) IsQueueing(id string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	return ok && m.inFlight > 0 && float64(m.latency) > queueingLatencyRatio*float64(m.baselineLatency)
}

// RecordFailure records a failed statement, or a failed connection attempt if none was sent.
func (g *Group) RecordFailure(now Timestamp, id string, sent bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok {
		return
	}
	if sent {
		m.inFlight = max(0, m.inFlight-1)
	}
	m.failed, m.failedAt = true, now
}

// RecordLag records that a member's log had not reached a position.
func (g *Group) RecordLag(now Timestamp, id string, need orderer.Position) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.members[id]; ok {
		// Concurrent reads count as one failure.
		if now-m.missingAt >= m.lagBackoff {
			m.lagBackoff = min(max(2*m.lagBackoff, minLagBackoff), maxLagBackoff)
		}
		m.missingPosition, m.missingAt = need, now
		m.lastPosition = orderer.Position{}
	}
}
