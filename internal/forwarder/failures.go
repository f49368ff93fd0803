package forwarder

import (
	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// mayTry reports whether a holder may be tried for members. After a failure, one request per
// holderBackoff is let through as a probe.
func (fw *Forwarder) mayTry(address string, members []string) bool {
	now := fw.Clock()
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if fw.holderFailures == nil {
		fw.holderFailures = map[[2]string]tracker.Timestamp{}
	}
	for _, member := range []string{"", members[0]} {
		key := [2]string{address, member}
		at, ok := fw.holderFailures[key]
		switch {
		case ok && now-at < holderBackoff:
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
