package router

import (
	"hash/fnv"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Request is what a decision needs to know of a request.
	Request struct {
		// Read is false for whatever may write.
		Read bool
		// Floor is the session's newest acknowledged write.
		Floor orderer.Position
		// Seen is the newest position that the session's reads have shown. Among
		// replicas that may serve, one that holds it is taken, so that reads
		// rarely go back in time. It is a preference, not a promise: a promise
		// would send every session that has once read from the primary there
		// for as long as replicas lag.
		Seen orderer.Position
		// MaxAge is the stated age; 0 means that only the primary will do.
		MaxAge time.Duration
		// Zone is the instance's own availability zone.
		Zone string
		// Avoid lists members, by index, that have just failed this request.
		Avoid []int
		// Home differs between instances: among equal replicas an instance keeps to
		// one, to which it then has open connections, and the instances together
		// spread over all.
		Home uint64
		// Turn differs between requests; slow start goes by it.
		Turn uint64
	}

	// Choice is where a request goes; Member is an index, or -1 for nowhere.
	Choice struct {
		Member  int
		Replica bool
		// Need is the position that the answer must show.
		Need orderer.Position
		// Await is how long the replica may take to reach Need; 0 when it is
		// known to hold it.
		Await time.Duration
		// Why explains the choice, for the status page.
		Why string
	}

	// candidate is a replica that may serve a read.
	candidate struct {
		member int
		ready  bool // known to hold what is needed
		seen   bool // known to hold what the session has seen
		near   bool // in the instance's own availability zone
	}
)

// The reasons of choices, as the status page shows them.
const (
	whyReplica    = "replica holds the floor and the stated age"
	whyAwait      = "replica was up to date at last sight and is given a moment"
	whyWrite      = "primary: the request may write"
	whyStrict     = "primary: the kind of request accepts no age"
	whyBehind     = "primary: no replica is known to be recent enough"
	whyNoPrimary  = "no primary known"
	whyAvoided    = "the primary has just failed this request"
	whyOldPrimary = "the known primary is of an older term than the caller's own work"
	whyNoWitness  = "no majority has answered within the stated age, so nothing bounds the age of an answer"
)

const (
	// awaitLimit is how long a read waits on a replica that was up to date at
	// last sight, before it goes elsewhere. It answers the pattern in which a
	// caller reads at once what it wrote: without it each such read goes to the
	// primary, since what is known of replicas is older than the write. Chosen
	// by the runs in docs/design/0005-routing.md.
	awaitLimit = 50 * time.Millisecond
	// caughtUp is the lag, at last sight, up to which a replica counts as up to
	// date. It is two rounds of questions: a lag below one can't be told from
	// none.
	caughtUp = 250 * time.Millisecond
	// slowStart is how long a member that came back gets a growing part of the
	// reads. A replica with cold caches that gets its whole part at once answers
	// slowly, loses its place, and the load swings between members.
	slowStart = 10 * time.Second
)

// Choose decides where a request goes.
func (g *Group) Choose(now time.Time, r Request) Choice {
	if !r.Read {
		return g.primary(Choice{Need: r.Floor, Why: whyWrite}, r)
	}
	if r.MaxAge <= 0 {
		return g.primary(Choice{Need: r.Floor, Why: whyStrict}, r)
	}
	fresh, ok := g.freshness(now, r.MaxAge)
	if !ok {
		return Choice{Member: -1, Why: whyNoWitness}
	}
	need := orderer.Max(r.Floor, fresh)
	if c, ok := g.replica(now, r, need); ok {
		return c
	}
	return g.primary(Choice{Need: need, Why: whyBehind}, r)
}

// primary sends a request to the primary, unless it is known to be an old one:
// a position of a newer term than its own is not in its log.
func (g *Group) primary(c Choice, r Request) Choice {
	c.Member = g.Primary
	switch {
	case g.Primary < 0:
		c.Why = whyNoPrimary
	case avoided(r, g.Primary):
		c.Member, c.Why = -1, whyAvoided
	case c.Need.Term > g.Members[g.Primary].Status.Term:
		c.Member, c.Why = -1, whyOldPrimary
	}
	return c
}

func avoided(r Request, i int) bool {
	for _, a := range r.Avoid {
		if a == i {
			return true
		}
	}
	return false
}

func (g *Group) replica(now time.Time, r Request, need orderer.Position) (Choice, bool) {
	best, found := candidate{}, false
	for k := range g.Members {
		i := r.from(k, len(g.Members))
		c, ok := g.candidate(now, r, need, i)
		if ok && (!found || c.better(best)) {
			best, found = c, true
		}
	}
	switch {
	case !found:
		return Choice{}, false
	case best.ready:
		return Choice{Member: best.member, Replica: true, Need: need, Why: whyReplica}, true
	}
	return Choice{Member: best.member, Replica: true, Need: need, Await: awaitLimit, Why: whyAwait}, true
}

// from returns the member at place k of the instance's own order. Without an
// order of its own, an instance with two connections to three members that reads
// from both replicas in turn closes one to open the other, again and again; a
// read then pays for a new connection, 10 to 30 ms.
func (r Request) from(k, members int) int { return Order(r.Home, k, members) }

// Order returns the member at place k of the order that an instance keeps.
// Both where it starts and which way it goes differ: with a start alone, the
// member behind the primary would be first for two thirds of all instances.
func Order(home uint64, k, members int) int {
	n := uint64(members)
	first := int(home % n)
	if home/n%2 == 1 {
		k = members - k
	}
	return (first + k) % members
}

// HomeOf returns an instance's number for Request.Home.
func HomeOf(instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance)) // never fails
	return h.Sum64()
}

func (c candidate) better(d candidate) bool {
	switch {
	case c.ready != d.ready:
		return c.ready
	case c.seen != d.seen:
		return c.seen
	}
	return c.near && !d.near
}

// candidate tells what member i is worth to a read; ok is false when nothing.
func (g *Group) candidate(now time.Time, r Request, need orderer.Position, i int) (candidate, bool) {
	m := g.Members[i]
	if i == g.Primary || m.Leaving || m.Failures > 0 || m.Seen.IsZero() || avoided(r, i) || m.Status.Role != commander.RoleReplica {
		return candidate{}, false
	}
	if !m.admits(now, r.Turn) {
		return candidate{}, false
	}
	c := candidate{
		member: i, near: g.Service.Members[i].Zone == r.Zone,
		ready: m.Status.Replayed.AtLeast(need), seen: m.Status.Replayed.AtLeast(r.Seen),
	}
	return c, c.ready || g.lag(m) <= caughtUp
}

// admits lets a growing part of the reads through to a member that came back.
// The rest finds another replica or the primary, which are there anyway: slow
// start and ejection never leave a read without a target.
func (m Member) admits(now time.Time, turn uint64) bool {
	const parts = 10
	up := now.Sub(m.Since)
	if m.Since.IsZero() || up >= slowStart {
		return true
	}
	return turn%parts <= uint64(up*parts/slowStart)
}

// lag bounds how far a member was behind when it was last asked: it held the
// newest watermark's position that it had replayed, and no older ones.
func (g *Group) lag(m Member) time.Duration {
	for i := len(g.Watermarks) - 1; i >= 0; i-- {
		if w := g.Watermarks[i]; m.Status.Replayed.AtLeast(w.Position) {
			return max(0, m.Seen.Sub(w.Taken))
		}
	}
	return slowStart
}

// freshness returns the position that a replica must have replayed to show data
// no older than the stated age: the oldest watermark taken within that age. The
// unknown is not eligible: without such a watermark, no replica is.
func (g *Group) freshness(now time.Time, age time.Duration) (orderer.Position, bool) {
	for _, w := range g.Watermarks {
		if now.Sub(w.Taken) <= age {
			return w.Position, true
		}
	}
	return orderer.Position{}, false
}

// Since returns the first watermark that was taken at a moment or later. Its
// questions were answered after they were sent, so one that was sent at the very
// moment has seen all that was acknowledged before it. Without "at", on a clock
// that stood still between the wish for a watermark and its questions, the answer
// to that wish did not count, and a read waited for the next one.
func (g *Group) Since(t time.Time) (Watermark, bool) {
	for _, w := range g.Watermarks {
		if !w.Taken.Before(t) {
			return w, true
		}
	}
	return Watermark{}, false
}
