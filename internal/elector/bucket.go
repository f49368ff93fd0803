package elector

import (
	"hash/fnv"
	"strconv"

	"github.com/oriolegw/oriolegw/internal/storer"
)

// minBuckets is the number of buckets below which each group has its own.
const minBuckets = 32

// Bucket returns the key by which the instances are ranked as owners of a group. If there are many
// groups, several share a key, and thus an owner that acquires them with one call and renews one
// lease for them.
func Bucket(group string, groups int) string {
	size := min(groups/minBuckets, storer.MaxSwaps)
	if size <= 1 {
		return group
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(group))
	return strconv.Itoa(int(h.Sum64() % uint64((groups+size-1)/size)))
}
