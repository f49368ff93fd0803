package forwarder

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// startHolderBackoff replaces holderBackoff for startPeriod after this instance's first loan:
	// after a restart of all instances, holders that do not listen yet do so within a fraction of a
	// second, and members have no room for connections of other instances.
	startHolderBackoff = 100 * time.Millisecond
	startPeriod        = 2 * time.Second
)

// failedHolderPause returns how long a failed holder is skipped, given the time since this
// instance's first loan.
func failedHolderPause(sinceFirstLoan time.Duration) time.Duration {
	if sinceFirstLoan < startPeriod {
		return startHolderBackoff
	}
	return holderBackoff
}

// mayTry reports whether a holder may be tried for members. After a failure, one request per
// failedHolderPause is let through as a probe.
func (fw *Forwarder) mayTry(address string, members []string) bool {
	now := fw.Clock()
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if fw.holderFailures == nil {
		fw.holderFailures, fw.firstLoanAt = map[[2]string]tracker.Timestamp{}, now
	}
	pause := failedHolderPause(now - fw.firstLoanAt)
	for _, member := range []string{"", members[0]} {
		key := [2]string{address, member}
		at, ok := fw.holderFailures[key]
		switch {
		case ok && now-at < pause:
			return false
		case ok:
			fw.holderFailures[key] = now
		}
	}
	return true
}

// recordFailure notes that a holder did not respond or can't reach the member.
func (fw *Forwarder) recordFailure(address string, members []string, err error) {
	now := fw.Clock()
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	for k, at := range fw.holderFailures {
		if now-at > failureTTL {
			delete(fw.holderFailures, k)
		}
	}
	member := ""
	if errors.Is(err, errUnreachable) {
		member = members[0]
	}
	fw.holderFailures[[2]string{address, member}] = now
}

// recordSuccess clears the failures of a holder that responded.
func (fw *Forwarder) recordSuccess(address string, members []string) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	delete(fw.holderFailures, [2]string{address, ""})
	delete(fw.holderFailures, [2]string{address, members[0]})
}
