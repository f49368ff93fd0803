package router

import (
	"hash/fnv"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Request holds what a routing decision depends on.
	Request struct {
		// Read is false for a request that may write.
		Read bool
		// Floor is the position of the session's newest acknowledged write.
		Floor orderer.Position
		// LastRead is the newest position that the session's reads have returned. Replicas that
		// hold it are preferred, to make non-monotonic reads rare, but not required: a
		// requirement would send most sessions to the primary whenever replicas lag.
		LastRead orderer.Position
		// MaxAge is the staleness bound; 0 requires the primary.
		MaxAge time.Duration
		// Zone is the instance's own availability zone.
		Zone string
		// Exclude lists the indexes of members that have just failed this request.
		Exclude []int
		// PreferenceSeed differs between instances. Among equal replicas an instance prefers the
		// same one, to reuse its connections, and the instances together spread over all.
		PreferenceSeed uint64
		// Sequence differs between requests; slow start selects requests by it.
		Sequence uint64
	}

	// Choice is where a request goes; Member is an index, or -1 for none.
	Choice struct {
		Member  int
		Replica bool
		// MinPosition is the position that the member must have replayed.
		MinPosition orderer.Position
		// CatchUpTimeout is how long the replica may take to reach MinPosition; 0 when it is known
		// to hold it.
		CatchUpTimeout time.Duration
		// Reason explains the choice, for the status page.
		Reason string
	}

	candidate struct {
		member     int
		upToDate   bool // known to have replayed the required position
		coversSeen bool // known to have replayed Request.LastRead
		sameZone   bool // in the availability zone of the instance
	}
)

// The reasons of choices, as shown on the status page.
const (
	reasonReplica        = "replica satisfies the session's floor and the staleness bound"
	reasonCatchUp        = "replica was nearly caught up when last queried and may catch up"
	reasonWrite          = "primary: the request may write"
	reasonNoStaleness    = "primary: the kind of request accepts no staleness"
	reasonReplicasBehind = "primary: no replica is known to be recent enough"
	reasonNoPrimary      = "no primary known"
	reasonPrimaryFailed  = "the primary has just failed this request"
	reasonOldPrimary     = "the known primary has an older term than the session's floor"
	reasonNoWatermark    = "no majority has responded within the staleness bound, so the age of data is unknown"
)

const (
	// catchUpTimeout is how long a read waits for a nearly caught-up replica before it
	// goes elsewhere. Without it, every read right after a write would go to the primary,
	// since what is known of replicas is older than the write.
	catchUpTimeout = 50 * time.Millisecond
	// maxCatchUpLag is the last known lag up to which a replica is expected to catch up
	// within catchUpTimeout: two query intervals, the resolution of the known lag.
	maxCatchUpLag = 250 * time.Millisecond
	// slowStartDuration is how long a recovered member gets a growing fraction of the
	// reads. With all of them at once, its cold caches would make it slow and the load
	// oscillate between members.
	slowStartDuration = 10 * time.Second
)

// Choose decides where a request goes.
func (g *Group) Choose(now time.Time, r Request) Choice {
	if !r.Read {
		return g.choosePrimary(Choice{MinPosition: r.Floor, Reason: reasonWrite}, r)
	}
	if r.MaxAge <= 0 {
		return g.choosePrimary(Choice{MinPosition: r.Floor, Reason: reasonNoStaleness}, r)
	}
	fresh, ok := g.positionForAge(now, r.MaxAge)
	if !ok {
		return Choice{Member: -1, Reason: reasonNoWatermark}
	}
	need := orderer.Max(r.Floor, fresh)
	if c, ok := g.chooseReplica(now, r, need); ok {
		return c
	}
	return g.choosePrimary(Choice{MinPosition: need, Reason: reasonReplicasBehind}, r)
}

// choosePrimary routes a request to the primary, unless the required position is of a newer
// term: then the known primary has been superseded.
func (g *Group) choosePrimary(c Choice, r Request) Choice {
	c.Member = g.Primary
	switch {
	case g.Primary < 0:
		c.Reason = reasonNoPrimary
	case isAvoided(r, g.Primary):
		c.Member, c.Reason = -1, reasonPrimaryFailed
	case c.MinPosition.Term > g.Members[g.Primary].Status.Term:
		c.Member, c.Reason = -1, reasonOldPrimary
	}
	return c
}

func isAvoided(r Request, i int) bool {
	for _, a := range r.Exclude {
		if a == i {
			return true
		}
	}
	return false
}

func (g *Group) chooseReplica(now time.Time, r Request, need orderer.Position) (Choice, bool) {
	best, found := candidate{}, false
	for k := range g.Members {
		i := r.memberAt(k, len(g.Members))
		c, ok := g.candidate(now, r, need, i)
		if ok && (!found || c.betterThan(best)) {
			best, found = c, true
		}
	}
	switch {
	case !found:
		return Choice{}, false
	case best.upToDate:
		return Choice{Member: best.member, Replica: true, MinPosition: need, Reason: reasonReplica}, true
	}
	return Choice{Member: best.member, Replica: true, MinPosition: need, CatchUpTimeout: catchUpTimeout, Reason: reasonCatchUp}, true
}

// memberAt returns the member at index k of the instance's own order. A fixed order keeps an
// instance from alternating between replicas and reopening connections. A read that needs a new
// connection takes 10 to 30 ms longer.
func (r Request) memberAt(k, members int) int { return PreferredMember(r.PreferenceSeed, k, members) }

// PreferredMember returns the member at index k of an instance's order. Instances differ in both
// the start and the direction of the order: if only the start differed, most instances would
// prefer the same replica, the member after the primary.
func PreferredMember(seed uint64, k, members int) int {
	n := uint64(members)
	first := int(seed % n)
	if seed/n%2 == 1 {
		k = members - k
	}
	return (first + k) % members
}

// PreferenceSeed returns an instance's value for Request.PreferenceSeed.
func PreferenceSeed(instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance)) // never fails
	return h.Sum64()
}

func (c candidate) betterThan(d candidate) bool {
	switch {
	case c.upToDate != d.upToDate:
		return c.upToDate
	case c.coversSeen != d.coversSeen:
		return c.coversSeen
	}
	return c.sameZone && !d.sameZone
}

// candidate rates member i for a read; ok is false if it can't serve it.
func (g *Group) candidate(now time.Time, r Request, need orderer.Position, i int) (candidate, bool) {
	m := g.Members[i]
	if i == g.Primary || m.Draining || m.Failures > 0 || m.LastQueried.IsZero() || isAvoided(r, i) || m.Status.Role != commander.RoleReplica {
		return candidate{}, false
	}
	if !m.admitsRead(now, r.Sequence) {
		return candidate{}, false
	}
	c := candidate{
		member: i, sameZone: g.Service.Members[i].Zone == r.Zone,
		upToDate: m.Status.Replayed.AtLeast(need), coversSeen: m.Status.Replayed.AtLeast(r.LastRead),
	}
	return c, c.upToDate || g.lagUpperBound(m) <= maxCatchUpLag
}

// admitsRead reports whether a recovered member gets a read: a fraction that grows over
// slowStartDuration. Other reads use another replica or the primary.
func (m Member) admitsRead(now time.Time, sequence uint64) bool {
	const parts = 10
	up := now.Sub(m.RecoveredAt)
	if m.RecoveredAt.IsZero() || up >= slowStartDuration {
		return true
	}
	return sequence%parts <= uint64(up*parts/slowStartDuration)
}

// lagUpperBound returns an upper bound of a member's lag when it was last queried, by the
// newest watermark whose position it had replayed.
func (g *Group) lagUpperBound(m Member) time.Duration {
	for i := len(g.Watermarks) - 1; i >= 0; i-- {
		if w := g.Watermarks[i]; m.Status.Replayed.AtLeast(w.Position) {
			return max(0, m.LastQueried.Sub(w.Taken))
		}
	}
	return slowStartDuration
}

// positionForAge returns the position that a replica must have replayed to return data no
// older than age: that of the oldest watermark taken within it. It is false without one.
func (g *Group) positionForAge(now time.Time, age time.Duration) (orderer.Position, bool) {
	for _, w := range g.Watermarks {
		if now.Sub(w.Taken) <= age {
			return w.Position, true
		}
	}
	return orderer.Position{}, false
}

// WatermarkSince returns the first watermark taken at or after a time. A query sent at exactly that
// time counts: it is answered later, so it covers all that was acknowledged before.
func (g *Group) WatermarkSince(t time.Time) (Watermark, bool) {
	for _, w := range g.Watermarks {
		if !w.Taken.Before(t) {
			return w, true
		}
	}
	return Watermark{}, false
}
