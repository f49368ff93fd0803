// Package ranker orders instances for a key by rendezvous hashing: instances with the same list
// compute the same order without communication.
package ranker

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Rank orders a list for a key, by the hash of each entry's name with the key. Adding or
// removing an entry doesn't change the order of the others.
func Rank[T any](key string, list []T, name func(T) string) []T {
	return sortByScore(list, name, func(_ T, n string) uint64 { return hashPair(key, n) })
}

// RankWeighted is Rank for entries with positive weights: an entry of twice the weight is first
// for twice as many keys. A change of weight moves keys only from or to that entry.
func RankWeighted[T any](key string, list []T, name func(T) string, weight func(T) float64) []T {
	return sortByScore(list, name, func(x T, n string) float64 { return weight(x) / -math.Log(toUnitInterval(hashPair(key, n))) })
}

// sortByScore returns a list ordered by descending score, then by name.
func sortByScore[T any, S cmp.Ordered](list []T, name func(T) string, score func(x T, name string) S) []T {
	type scored struct {
		score S
		name  string
		entry T
	}
	order := make([]scored, len(list))
	for i, x := range list {
		n := name(x)
		order[i] = scored{score(x, n), n, x}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	sorted := make([]T, len(order))
	for i, x := range order {
		sorted[i] = x.entry
	}
	return sorted
}

// toUnitInterval maps a hash to the open interval (0, 1).
func toUnitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// hashPair hashes a key and a name. The finalizer spreads the last bytes, in which names
// differ, into the high bits, which FNV alone hardly does.
func hashPair(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
