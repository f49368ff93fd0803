package concentrator_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/shoenig/test/must"
)

// Guards against a wrong placement by connections per instance, and against flapping at the
// threshold.
func TestDecide(t *testing.T) {
	var s concentrator.Selector
	decide := func(connections, instances int) concentrator.Placement {
		return s.Decide(concentrator.Fleet{Connections: connections, Instances: instances, Zones: 6})
	}
	must.Eq(t, concentrator.PerInstance, decide(16, 9))
	must.Eq(t, concentrator.PerInstance, decide(195, 83))
	must.Eq(t, concentrator.PerZone, decide(25, 83))
	must.Eq(t, concentrator.PerZone, decide(51, 50))
	must.Eq(t, concentrator.PerZone, decide(51, 40))
	must.Eq(t, concentrator.PerInstance, decide(51, 39))
	must.Eq(t, concentrator.PerInstance, decide(51, 50))
	must.Eq(t, concentrator.PerZone, decide(51, 52))
	must.Eq(t, concentrator.PerInstance, decide(0, 52))
}

// Guards against a wrong placement by connections per customer, and against flapping at the
// threshold.
func TestDecideByCustomers(t *testing.T) {
	var s concentrator.Selector
	decide := func(connections, instances, customers int) concentrator.Placement {
		return s.Decide(concentrator.Fleet{Connections: connections, Instances: instances, Zones: 6, Customers: customers})
	}
	must.Eq(t, concentrator.PerZone, decide(32, 86, 5))
	must.Eq(t, concentrator.PerMember, decide(32, 86, 85))
	must.Eq(t, concentrator.PerMember, decide(32, 86, 5))
	must.Eq(t, concentrator.PerZone, decide(32, 86, 4))
	must.Eq(t, concentrator.PerZone, decide(32, 86, 5))
	must.Eq(t, concentrator.PerZone, decide(600, 86, 85))
	must.Eq(t, concentrator.PerInstance, decide(1000, 9, 85))
}

// Guards against an uneven distribution of groups, and against a removed instance changing the
// holders of other groups.
func TestRankHolders(t *testing.T) {
	var all []concentrator.Candidate
	for n := range 14 {
		all = append(all, concentrator.Candidate{Name: fmt.Sprintf("edge-a-%d", n)})
	}
	held := map[string]int{}
	for n := range 800 {
		group := fmt.Sprint("g", n)
		order := concentrator.RankHolders(group, all)
		held[order[0]]++
		others := slices.DeleteFunc(slices.Clone(all), func(c concentrator.Candidate) bool { return c.Name == order[0] })
		must.Eq(t, order[1:], concentrator.RankHolders(group, others))
	}
	for _, c := range all {
		must.Between(t, 30, held[c.Name], 90)
	}
}

// Guards against a ranking that overloads small instances or that takes an unknown CPU limit for a
// large one.
func TestRankHoldersWeightedBySize(t *testing.T) {
	const smallMillicores, largeMillicores, groups = 192, 800, 20
	var sized, unsized []concentrator.Candidate
	millicores := map[string]int{}
	for n := range 49 {
		c := concentrator.Candidate{Name: fmt.Sprintf("edge-a-%d", n), Millicores: smallMillicores}
		if n < 3 {
			c.Millicores = largeMillicores
		}
		millicores[c.Name] = c.Millicores
		unsized = append(unsized, concentrator.Candidate{Name: c.Name})
		if n%5 == 4 {
			c.Millicores = 0
		}
		sized = append(sized, c)
	}
	// busiest returns the mean over many sets of groups of the highest relative load of an
	// instance, where a group takes a tenth of a small instance, and the number of groups on large
	// instances.
	busiest := func(list []concentrator.Candidate) (mean float64, onLarge int) {
		const sets = 50
		for set := range sets {
			load := map[string]float64{}
			highest := 0.0
			for g := range groups {
				h := concentrator.RankHolders(fmt.Sprint("g", set, "-", g), list)[0]
				load[h] += 0.1 * smallMillicores / float64(millicores[h])
				highest = max(highest, load[h])
				if millicores[h] == largeMillicores {
					onLarge++
				}
			}
			mean += highest / sets
		}
		return mean, onLarge / sets
	}
	bySize, onLarge := busiest(sized)
	byName, _ := busiest(unsized)
	must.Less(t, byName, bySize)
	must.Between(t, 8, onLarge, 14)
}
