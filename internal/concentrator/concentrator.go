// Package concentrator decides which instances hold the connections to a group's members: all
// instances, one per availability zone, or one per member. It has no clock and no network.
//
// If a member accepts fewer connections than there are instances, most statements would need a new
// connection, whose opening occupies one of the member's slots for longer than the statement. With
// one holder per zone, few instances share the connections, and the holder's queue orders the
// zone's work.
//
// If each connection serves one customer, the holders of the zones may have too few connections
// for all customers. With one holder per member, it has all of the member's connections and evicts
// those of the least active customers. It runs near the member, so that statements cross regions
// only once.
package concentrator

import "github.com/oriolegw/oriolegw/internal/ranker"

const (
	// minConnectionsPerHolder is the number of a member's connections per holder and customer below
	// which fewer holders are used, restoreConnectionsPerHolder the number that restores more
	// holders. The hysteresis avoids flapping when few instances come and go. With less than one
	// connection each, instances would take connections from each other all the time.
	minConnectionsPerHolder, restoreConnectionsPerHolder = 1.0, 1.3
)

// Placement is the choice of the instances that hold a group's connections.
type Placement uint8

const (
	// PerInstance lets each instance hold its own connections.
	PerInstance Placement = iota
	// PerZone lets one instance per availability zone hold the zone's connections.
	PerZone
	// PerMember lets one instance per member hold the connections of all instances.
	PerMember
)

var placementNames = [...]string{PerInstance: "own", PerZone: "zone", PerMember: "member"}

// String returns the placement's name in logs.
func (p Placement) String() string { return placementNames[p] }

// Fleet is the input of Selector.Decide.
type Fleet struct {
	// Connections is how many connections a member accepts from all instances.
	Connections      int
	Instances, Zones int
	// Customers is the number of customers with connections of their own, 1 without customers.
	Customers int
}

// Selector holds a group's current placement.
type Selector struct{ placement Placement }

// Placement returns the last decision.
func (s *Selector) Placement() Placement { return s.placement }

// Decide updates the placement: the one with the most holders for which a member has enough
// connections for each holder and customer.
func (s *Selector) Decide(f Fleet) Placement {
	customers := max(1, f.Customers)
	switch {
	case f.Connections <= 0:
		s.placement = PerInstance
	case s.enoughConnections(PerInstance, f.Connections, f.Instances*customers):
		s.placement = PerInstance
	case s.enoughConnections(PerZone, f.Connections, f.Zones*customers):
		s.placement = PerZone
	default:
		s.placement = PerMember
	}
	return s.placement
}

// enoughConnections reports whether a member has enough connections for a placement. The threshold
// is higher for a return from a more concentrated one.
func (s *Selector) enoughConnections(p Placement, connections, needed int) bool {
	threshold := minConnectionsPerHolder
	if s.placement > p {
		threshold = restoreConnectionsPerHolder
	}
	return float64(connections) >= threshold*float64(needed)
}

// Candidate is an instance that may hold a group's connections.
type Candidate struct {
	Name string
	// Millicores is its CPU limit in thousandths of a core, 0 if unknown.
	Millicores int
}

// RankHolders ranks a zone's instances as holders of a group's connections, best first. It uses
// weighted rendezvous hashing: each instance computes the same ranking, and a removed instance
// changes the holder only of its own groups. The weight is the square of the CPU limit, because
// the same load is a smaller fraction of a larger instance, which also has more idle capacity.
func RankHolders(group string, instances []Candidate) []string {
	smallest := 0
	for _, c := range instances {
		if c.Millicores > 0 && (smallest == 0 || c.Millicores < smallest) {
			smallest = c.Millicores
		}
	}
	weight := func(c Candidate) float64 {
		size := float64(max(c.Millicores, smallest, 1))
		return size * size
	}
	list := ranker.RankWeighted(group, instances, func(c Candidate) string { return c.Name }, weight)
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.Name
	}
	return names
}
