// Package concentrator decides whether an availability zone's connections to a group are
// held by one of its instances, from which the others borrow, and by which. It has no clock
// and no network.
//
// Load pattern: 83 instances before 25 places at each member. None can keep a connection,
// so nearly each statement needs a new one, whose opening holds one of the member's two
// slots for 12 ms, longer than the statement: with 83,296 requests 70,726 were opened and
// 172,745 refused for want of a place, and a queue of many instances has no order. With one
// holder a zone, six instances share the 25 places, and one queue sees all of a zone's work.
// Where each instance can keep its own, a holder would only be one more hop.
package concentrator

import "github.com/oriolegw/oriolegw/internal/ranker"

const (
	// fewPlaces and enoughPlaces are how many places at a member there must be for each
	// instance until connections are concentrated, and until they no longer are. Below
	// one, instances take each other's places all the time; the gap keeps the few that
	// come and go from changing it to and fro.
	fewPlaces, enoughPlaces = 1.0, 1.3
)

// Switch remembers whether a group's connections are concentrated.
type Switch struct{ on bool }

// Decide takes in how many connections a member takes and how many instances there are.
func (s *Switch) Decide(connections, instances int) bool {
	limit := fewPlaces
	if s.on {
		limit = enoughPlaces
	}
	s.on = connections > 0 && float64(connections) < limit*float64(instances)
	return s.on
}

// Holders ranks the instances of a zone as holders of a group's connections, the first the
// one that should be. Who comes or goes changes the holder of only those groups that it
// holds, and each instance finds the same without asking.
func Holders(group string, instances []string) []string {
	return ranker.Rank(group, instances, func(name string) string { return name })
}
