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
	// proofSpacing is how far apart kept proofs are. At 100 ms the oldest one that
	// a read may use is at most 100 ms younger than it could be, and 3 s of them
	// are 30 entries.
	proofSpacing = 100 * time.Millisecond
	// proofsKept is how long proofs are kept: longer than the stalest read of the
	// users' routes, 2.5 s.
	proofsKept = 4 * time.Second
	// behindFirst is how long a replica that lacked a position is left alone by reads
	// that need it. Replicas are usually 20 to 150 ms behind. Each further time
	// in a row doubles it up to behindLast: one that is seconds behind is asked in vain
	// by every read otherwise, 24 ms and a connection each.
	behindFirst = 60 * time.Millisecond
	behindLast  = 480 * time.Millisecond
	// failedFor is how long a member is asked last after a connection to it failed.
	// Probes of the group's keeper find it well again sooner.
	failedFor = 400 * time.Millisecond
	// latencyWeight is the part of a new sample in a member's latency.
	latencyWeight = 0.1
	// baseFall and baseRise are the parts of a new sample in a member's base latency,
	// when it is below and above: near the latency without a queue, and slow to take a
	// queue for what is usual.
	baseFall, baseRise = 0.1, 0.002
	// queuedFactor is how many times its base a member's latency is when most of it is
	// waiting there. Work of the users' routes varies by half around its mean.
	queuedFactor = 2.5
	// restingDecay is how much of the excess latency of a member that isn't used
	// remains after a second: one slow spell must not keep it unused for good.
	restingDecay = 0.5
)

type (
	// Group is what is known of one group. Its methods may be called from any
	// goroutine.
	Group struct {
		Name string
		// Zone is this instance's; Near tells which zones are in its region.
		Zone string
		Near func(zone string) bool

		mutex   sync.Mutex
		members map[string]*member
		primary string
		// claim is the store's revision at which the primary's entry first said so.
		claim int64
		// term is the newest one that any member has shown.
		term   uint64
		proofs []Proof
		// lives counts the members that have started again under their ID, and noted how
		// many of them Restarted knew of at restartedAt.
		lives, noted int
		restartedAt  Stamp
	}

	member struct {
		Member
		// position is the end of the member's log when it last answered.
		position orderer.Position
		// behind is a position that the member lacked at behindAt.
		behind    orderer.Position
		behindAt  Stamp
		behindFor time.Duration
		failedAt  Stamp
		failed    bool
		latency   time.Duration
		// base is the latency while nothing waits at the member.
		base     time.Duration
		sampled  Stamp
		inFlight int
	}
)

// Members takes in the members as registered now, in place of what was known.
func (g *Group) Members(list []Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	old := g.members
	g.members = make(map[string]*member, len(list))
	for _, m := range list {
		if m.Expired {
			continue
		}
		x, ok := old[m.ID]
		if ok && m.Born > x.Born && x.Born != 0 {
			g.restarted(m.ID)
			ok = false
		}
		if !ok {
			x = &member{}
		}
		claimed := ok && x.Primary
		x.Member = m
		g.members[m.ID] = x
		if m.Primary && !claimed && m.Revision > g.claim {
			g.primary, g.claim = m.ID, m.Revision
		}
	}
	if _, ok := g.members[g.primary]; !ok {
		g.primary = ""
	}
}

// restarted forgets what is known of a member that has started again under its ID: what
// it held, how fast it was, and that it led. Believed to lead on, it would be sent writes
// that it refuses until somebody asks it.
func (g *Group) restarted(id string) {
	g.lives++
	if g.primary == id {
		g.primary, g.proofs = "", nil
	}
}

// Restarted returns when a member was last seen to have started again, 0 if none was. What
// such a member had acknowledged before may be on it no more. It counts from the first
// call after the restart, so it is later than the restart and never earlier.
func (g *Group) Restarted(now Stamp) Stamp {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.restart(now)
}

func (g *Group) restart(now Stamp) Stamp {
	if g.lives != g.noted {
		g.noted, g.restartedAt = g.lives, now
	}
	return g.restartedAt
}

// Primary returns the member that is believed to be the primary, "" if none.
func (g *Group) Primary() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.primary
}

// Member returns what a member registered.
func (g *Group) Member(id string) (Member, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// IDs returns the members' identities, in order.
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

// Saw takes in a member's status that was asked for at a moment. It returns
// whether the belief who is primary changed.
func (g *Group) Saw(asked Stamp, id string, s messenger.Status) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok {
		return false
	}
	m.position, m.failed = s.Received, false
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
	g.prove(Proof{At: asked, Position: s.Received})
	changed := g.primary != id
	g.primary = id
	return changed
}

// Lost takes in that the believed primary said it is none. The next entry or
// status that names a primary is believed.
func (g *Group) Lost(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.primary == id {
		g.primary = ""
	}
}

// Prove takes in that the primary was at a position at or after a moment.
func (g *Group) Prove(p Proof) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prove(p)
}

// Hear takes in a proof that another instance has got from the primary, with its moment on
// this instance's clock, and reports whether it was of use.
//
// Load pattern: 295 instances before 20 groups that each ask every primary for themselves,
// up to 5,900 questions a second beside 3,900 requests. One that asks for all is enough,
// because a proof says what was so at a moment: passing it on makes it older, never false,
// as long as the moment is not taken for later than it was. A primary that has been deposed
// since changes nothing about that moment. Only what a member held before it started again
// with nothing is no proof any more: a log of its new life that reaches the position needn't
// hold what the old one held.
func (g *Group) Hear(now Stamp, p Proof) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	// A moment that is still to come can only be a mistake, and would hide younger proofs.
	if at := g.restart(now); at != 0 && p.At <= at || p.At > now {
		return false
	}
	if n := len(g.proofs); n > 0 && p.At <= g.proofs[n-1].At {
		return false
	}
	g.prove(p)
	return true
}

// FromPrimary returns the newest proof that the primary has given.
func (g *Group) FromPrimary() (Proof, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, p := range slices.Backward(g.proofs) {
		if !p.ByReplicas {
			return p, true
		}
	}
	return Proof{}, false
}

func (g *Group) prove(p Proof) {
	if p.Position.IsZero() {
		return
	}
	g.term = max(g.term, p.Position.Term)
	n := len(g.proofs)
	if n > 0 && p.At < g.proofs[n-1].At {
		return
	}
	// The newest one is replaced until it is far enough from the one before it.
	if n > 1 && g.proofs[n-1].At-g.proofs[n-2].At < proofSpacing {
		g.proofs = g.proofs[:n-1]
	}
	g.proofs = append(g.proofs, p)
	i := 0
	for p.At-g.proofs[i].At > proofsKept {
		i++
	}
	g.proofs = slices.Delete(g.proofs, 0, i)
}

// Freshest returns the newest proof.
func (g *Group) Freshest() (Proof, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.proofs) == 0 {
		return Proof{}, false
	}
	return g.proofs[len(g.proofs)-1], true
}

// Need returns the position that a log must hold to answer a read that arrived
// at a moment, on a route that is not RulePrimary. It is false when nothing known
// is young enough; only the primary can answer then.
//
// The oldest proof that is young enough asks the least of replicas: one that lags
// by a second still serves reads that may be older.
func (g *Group) Need(arrived Stamp, r Route, own Floor) (orderer.Position, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	i, _ := slices.BinarySearchFunc(g.proofs, arrived-r.Staleness, func(p Proof, t Stamp) int {
		return cmp.Compare(p.At, t)
	})
	if i == len(g.proofs) {
		return orderer.Position{}, false
	}
	need := g.proofs[i]
	if r.Rule != RuleOwnWrites || own.Position.IsZero() || need.At >= own.At {
		return need.Position, true
	}
	// A commit's answer may show a place behind the commit, which a promotion has
	// rolled back since. A proof that is younger than the commit covers it, and can
	// be reached.
	for _, p := range g.proofs[i:] {
		if p.At >= own.At && own.Position.Compare(p.Position) > 0 {
			return p.Position, true
		}
	}
	return orderer.Max(need.Position, own.Position), true
}

// Readers returns the members that may hold a position, the best first. Members
// that leave come only when no other is left; so do those known to lack it.
func (g *Group) Readers(now Stamp, need orderer.Position) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	type choice struct {
		id   string
		cost time.Duration
	}
	var choices []choice
	for id, m := range g.members {
		if m.Leaving || g.lacks(now, m, need) {
			continue
		}
		choices = append(choices, choice{id, g.cost(now, m)})
	}
	slices.SortFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, len(choices))
	for i, c := range choices {
		ids[i] = c.id
	}
	return ids
}

// lacks reports whether a member is known, or was just seen, to lack a position.
func (g *Group) lacks(now Stamp, m *member, need orderer.Position) bool {
	if m.position.AtLeast(need) || m.behind.IsZero() {
		return false
	}
	return need.AtLeast(m.behind) && now-m.behindAt < m.behindFor
}

const (
	// nearCost, farCost: what a member is taken to need before it has answered, in
	// its own zone or region, and in another.
	nearCost = 5 * time.Millisecond
	farCost  = 30 * time.Millisecond
	// failedCost puts a member that has just failed behind all others.
	failedCost = time.Minute
)

// cost is how long a statement is expected to take at a member: what others took,
// and its part of the queue that this instance has made there.
func (g *Group) cost(now Stamp, m *member) time.Duration {
	usual := farCost
	if m.Zone == g.Zone || g.Near(m.Zone) {
		usual = nearCost
	}
	latency := usual
	if m.latency > usual {
		latency = m.latency
		if rest := now - m.sampled; rest > 0 {
			excess := float64(m.latency - usual)
			for ; rest > time.Second; rest -= time.Second {
				excess *= restingDecay
			}
			latency = usual + time.Duration(excess)
		}
	}
	c := latency + latency*time.Duration(m.inFlight)/time.Duration(max(1, m.Slots))
	if m.failed && now-m.failedAt < failedFor {
		c += failedCost
	}
	return c
}

// Sent takes in that a statement goes to a member.
func (g *Group) Sent(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.members[id]; ok {
		m.inFlight++
	}
}

// Answered takes in a member's answer to a statement: how long it took, and where
// the member's log ends.
func (g *Group) Answered(now Stamp, id string, took time.Duration, p orderer.Position) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok {
		return
	}
	m.inFlight = max(0, m.inFlight-1)
	m.failed = false
	if !p.IsZero() {
		m.position = p
	}
	if !m.behind.IsZero() && m.position.AtLeast(m.behind) {
		m.behind, m.behindFor = orderer.Position{}, 0
	}
	if m.latency == 0 {
		m.latency = took
	}
	m.latency += time.Duration(latencyWeight * float64(took-m.latency))
	m.sampled = now
	m.rebase(took)
}

func (m *member) rebase(took time.Duration) {
	weight := baseRise
	if took < m.base {
		weight = baseFall
	}
	if m.base == 0 {
		weight = 1
	}
	m.base += time.Duration(weight * float64(took-m.base))
}

// Queued reports whether a statement of this instance is under way at a member where
// statements mostly wait. Another connection would not be served sooner, and its
// opening takes a slot for as long as a statement does.
func (g *Group) Queued(id string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	return ok && m.inFlight > 0 && float64(m.latency) > queuedFactor*float64(m.base)
}

// Unanswered takes in that a statement got no answer from a member, or that it
// could not be reached.
func (g *Group) Unanswered(now Stamp, id string, sent bool) {
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

// Behind takes in that a member lacked a position.
func (g *Group) Behind(now Stamp, id string, need orderer.Position) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.members[id]; ok {
		// Reads that were under way together count once.
		if now-m.behindAt >= m.behindFor {
			m.behindFor = min(max(2*m.behindFor, behindFirst), behindLast)
		}
		m.behind, m.behindAt = need, now
		m.position = orderer.Position{}
	}
}
