package router

import (
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
		// MaxAge is the stated age; 0 means that only the primary will do.
		MaxAge time.Duration
		// Zone is the instance's own availability zone.
		Zone string
		// Avoid lists members, by index, that have just failed this request.
		Avoid []int
	}

	// Choice is where a request goes; Member is an index, or -1 for nowhere.
	Choice struct {
		Member  int
		Replica bool
		// Why explains the choice, for the status page.
		Why string
	}
)

// Choose decides where a request goes.
func (g *Group) Choose(now time.Time, r Request) Choice {
	if r.Read && r.MaxAge > 0 {
		if i := g.replica(now, r); i >= 0 {
			return Choice{Member: i, Replica: true, Why: "replica holds the floor and the stated age"}
		}
	}
	if g.Primary >= 0 && !avoided(r, g.Primary) {
		return Choice{Member: g.Primary, Why: "primary"}
	}
	return Choice{Member: -1, Why: "no primary known"}
}

func avoided(r Request, i int) bool {
	for _, a := range r.Avoid {
		if a == i {
			return true
		}
	}
	return false
}

func (g *Group) replica(now time.Time, r Request) int {
	fresh, ok := g.freshness(now, r.MaxAge)
	if !ok {
		return -1
	}
	best := -1
	for i, m := range g.Members {
		if i == g.Primary || m.Failures > 0 || m.Seen.IsZero() || avoided(r, i) || m.Status.Role != commander.RoleReplica {
			continue
		}
		if !m.Status.Replayed.AtLeast(r.Floor) || !m.Status.Replayed.AtLeast(fresh) {
			continue
		}
		if best < 0 || (g.Service.Members[i].Zone == r.Zone && g.Service.Members[best].Zone != r.Zone) {
			best = i
		}
	}
	return best
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
