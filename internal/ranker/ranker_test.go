package ranker_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/oriolegw/oriolegw/internal/ranker"
	"github.com/shoenig/test/must"
)

func self(name string) string { return name }

// An entry of four times the weight comes first for four times as many keys, and one whose
// weight changes takes keys from others or gives them up; the others' order stays.
func TestWeighted(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	weights := map[string]float64{"a": 4, "b": 1, "c": 1, "d": 1, "e": 1}
	first := map[string]int{}
	const keys = 8000
	for k := range keys {
		key := fmt.Sprint(k)
		before := ranker.Weighted(key, names, self, func(n string) float64 { return weights[n] })
		first[before[0]]++
		after := ranker.Weighted(key, names, self, func(n string) float64 {
			if n == "a" {
				return 1
			}
			return weights[n]
		})
		others := func(n string) bool { return n == "a" }
		must.Eq(t, slices.DeleteFunc(before, others), slices.DeleteFunc(after, others))
	}
	must.Between(t, keys/2-300, first["a"], keys/2+300)
	for _, n := range names[1:] {
		must.Between(t, keys/8-150, first[n], keys/8+150)
	}
}

// All that know the same entries agree, whatever order they know them in.
func TestRankIgnoresOrder(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for k := range 50 {
		key := fmt.Sprint(k)
		want := ranker.Rank(key, names, self)
		turned := slices.Clone(names)
		slices.Reverse(turned)
		must.Eq(t, want, ranker.Rank(key, turned, self))
	}
}
