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

// Candidate is an instance that may hold a group's connections.
type Candidate struct {
	Name string
	// Millicores is what it may use of a processor, in thousandths of a core; 0 where that
	// isn't known.
	Millicores int
}

// Holders ranks the instances of a zone as holders of a group's connections, the first the
// one that should be. Who comes or goes changes the holder of only those groups that it
// holds, and each instance finds the same without asking.
//
// Load pattern: a zone of 3 instances with 0.8 of a core and 46 with 0.192, before 20
// groups. A holder does the zone's work of whole groups beside its own. Chosen without
// regard to size, nearly all are small, and the busiest uses 43% of its processor at 60% of
// the usual load. The weight is the square of the size: a group is the
// same load wherever it goes, and takes a smaller part of a larger instance, which has
// more to spare as well.
func Holders(group string, instances []Candidate) []string {
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
	list := ranker.Weighted(group, instances, func(c Candidate) string { return c.Name }, weight)
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.Name
	}
	return names
}
