package failer

import (
	"sort"
	"time"
)

// longest returns the longest time without acknowledgement that ended after the
// fault, or lasted until the load ended: an answer that was on its way when the
// fault struck must not make a group that never recovers look healthy.
func longest(acks []time.Time, struck, ended time.Time) time.Duration {
	sort.Slice(acks, func(i, j int) bool { return acks[i].Before(acks[j]) })
	if len(acks) == 0 {
		return ended.Sub(struck)
	}
	most := ended.Sub(acks[len(acks)-1])
	for i := 1; i < len(acks); i++ {
		if acks[i].After(struck) {
			most = max(most, acks[i].Sub(acks[i-1]))
		}
	}
	return most
}
