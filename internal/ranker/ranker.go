// Package ranker orders instances for a key, so that all who know the same ones agree
// without a message.
package ranker

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Rank orders a list for a key by rendezvous hashing: each entry has its own hash with the
// key, and the largest comes first. A list that differs in one entry changes the order for
// that entry only, 1 in len(list) of the keys.
func Rank[T any](key string, list []T, name func(T) string) []T {
	return byScore(list, name, func(_ T, n string) uint64 { return mix(key, n) })
}

// Weighted is Rank for entries of different weight, above 0: an entry of twice the weight
// comes first for twice as many keys. When a weight changes, only keys of that entry move.
func Weighted[T any](key string, list []T, name func(T) string, weight func(T) float64) []T {
	return byScore(list, name, func(x T, n string) float64 { return weight(x) / -math.Log(unit(mix(key, n))) })
}

// byScore returns a list in the order of scores, the largest first; equal ones by name.
func byScore[T any, S cmp.Ordered](list []T, name func(T) string, score func(x T, name string) S) []T {
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
	out := make([]T, len(order))
	for i, x := range order {
		out[i] = x.entry
	}
	return out
}

// unit maps a hash to a number between 0 and 1, both excluded.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// mix hashes a name with a key. The last bytes of an FNV hash barely reach its high bits,
// and names differ in their last bytes: they are mixed once more.
func mix(key, name string) uint64 {
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
