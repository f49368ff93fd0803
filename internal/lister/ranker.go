package lister

import (
	"slices"

	"github.com/oriolegw/oriolegw/internal/ranker"
)

// Rank orders instances for a key. Instances with the same list get the same order without
// coordination.
func Rank(key string, instances []Instance) []Instance {
	return ranker.Rank(key, instances, func(i Instance) string { return i.Name })
}

// TopInZone returns the n highest ranked instances of a zone for the key.
func TopInZone(key, zone string, n int, instances []Instance) []Instance {
	var inside []Instance
	for _, i := range instances {
		if i.Zone == zone {
			inside = append(inside, i)
		}
	}
	r := Rank(key, inside)
	return r[:min(n, len(r))]
}

// Contains reports whether the list contains an instance with the name.
func Contains(list []Instance, name string) bool {
	return slices.ContainsFunc(list, func(i Instance) bool { return i.Name == name })
}
