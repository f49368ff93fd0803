package lister

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Rank orders instances for a key by rendezvous hashing: each instance has its
// own hash with the key, and the largest comes first. All instances that hold
// the same list agree without a message; a list that differs in one instance
// changes the order for that instance only, 1 in len(instances) of the keys.
func Rank(key string, instances []Instance) []Instance {
	type ranked struct {
		hash uint64
		at   int
	}
	order := make([]ranked, len(instances))
	for i, n := range instances {
		order[i] = ranked{hash: mix(key, n.Name), at: i}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if c := cmp.Compare(b.hash, a.hash); c != 0 {
			return c
		}
		return cmp.Compare(instances[a.at].Name, instances[b.at].Name)
	})
	out := make([]Instance, len(order))
	for i, r := range order {
		out[i] = instances[r.at]
	}
	return out
}

// Top returns the first n instances of a zone for the key.
func Top(key, zone string, n int, instances []Instance) []Instance {
	var inside []Instance
	for _, i := range instances {
		if i.Zone == zone {
			inside = append(inside, i)
		}
	}
	r := Rank(key, inside)
	return r[:min(n, len(r))]
}

// Holds reports whether the list has an instance of the name.
func Holds(list []Instance, name string) bool {
	return slices.ContainsFunc(list, func(i Instance) bool { return i.Name == name })
}

func mix(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	// The last bytes of an FNV hash barely reach its high bits, and names
	// differ in their last bytes: mix them once more.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
