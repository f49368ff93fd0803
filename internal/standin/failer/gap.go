package failer

import (
	"sort"
	"time"
)

// longestGap returns the longest time without an acknowledgement that ended after the
// fault. The last one ends with the load, so that a group that never recovers isn't
// reported with a short gap.
func longestGap(acknowledged []time.Time, faultTime, loadEnd time.Time) time.Duration {
	sort.Slice(acknowledged, func(i, j int) bool { return acknowledged[i].Before(acknowledged[j]) })
	if len(acknowledged) == 0 {
		return loadEnd.Sub(faultTime)
	}
	longest := loadEnd.Sub(acknowledged[len(acknowledged)-1])
	for i := 1; i < len(acknowledged); i++ {
		if acknowledged[i].After(faultTime) {
			longest = max(longest, acknowledged[i].Sub(acknowledged[i-1]))
		}
	}
	return longest
}
