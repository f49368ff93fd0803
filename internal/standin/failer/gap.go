package failer

import (
	"sort"
	"time"
)

// longest returns the longest time between two acknowledgements of which the
// later came after the fault; with none after it, the gap has no end.
func longest(acks []time.Time, struck time.Time) time.Duration {
	sort.Slice(acks, func(i, j int) bool { return acks[i].Before(acks[j]) })
	if len(acks) == 0 || !acks[len(acks)-1].After(struck) {
		return time.Since(struck)
	}
	var most time.Duration
	for i := 1; i < len(acks); i++ {
		if acks[i].After(struck) {
			most = max(most, acks[i].Sub(acks[i-1]))
		}
	}
	return most
}
