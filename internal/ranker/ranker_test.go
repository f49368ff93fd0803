package ranker_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/oriolegw/oriolegw/internal/ranker"
	"github.com/shoenig/test/must"
)

func identity(name string) string { return name }

// An entry's weight determines for how many keys it is first, and a change of its weight
// doesn't reorder the others.
func TestRankWeighted(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	weights := map[string]float64{"a": 4, "b": 1, "c": 1, "d": 1, "e": 1}
	first := map[string]int{}
	const keys = 8000
	for k := range keys {
		key := fmt.Sprint(k)
		before := ranker.RankWeighted(key, names, identity, func(n string) float64 { return weights[n] })
		first[before[0]]++
		after := ranker.RankWeighted(key, names, identity, func(n string) float64 {
			if n == "a" {
				return 1
			}
			return weights[n]
		})
		changed := func(n string) bool { return n == "a" }
		must.Eq(t, slices.DeleteFunc(before, changed), slices.DeleteFunc(after, changed))
	}
	must.Between(t, keys/2-300, first["a"], keys/2+300)
	for _, n := range names[1:] {
		must.Between(t, keys/8-150, first[n], keys/8+150)
	}
}

// The order doesn't depend on the order of the input.
func TestRankIgnoresInputOrder(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for k := range 50 {
		key := fmt.Sprint(k)
		want := ranker.Rank(key, names, identity)
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		must.Eq(t, want, ranker.Rank(key, reversed, identity))
	}
}
