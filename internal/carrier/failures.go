package carrier

import (
	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// mayTry reports whether a holder may be tried for members. After a failure, one request per
// holderBackoff is let through as a probe.
func (c *Carrier) mayTry(address string, members []string) bool {
	now := c.Clock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.holderFailures == nil {
		c.holderFailures = map[[2]string]tracker.Stamp{}
	}
	for _, member := range []string{"", members[0]} {
		key := [2]string{address, member}
		at, ok := c.holderFailures[key]
		switch {
		case ok && now-at < holderBackoff:
			return false
		case ok:
			c.holderFailures[key] = now
		}
	}
	return true
}

// recordFailure notes that a holder did not respond or can't reach the member.
func (c *Carrier) recordFailure(address string, members []string, err error) {
	now := c.Clock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for k, at := range c.holderFailures {
		if now-at > failureTTL {
			delete(c.holderFailures, k)
		}
	}
	member := ""
	if errors.Is(err, errUnreachable) {
		member = members[0]
	}
	c.holderFailures[[2]string{address, member}] = now
}

// recordSuccess clears the failures of a holder that responded.
func (c *Carrier) recordSuccess(address string, members []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.holderFailures, [2]string{address, ""})
	delete(c.holderFailures, [2]string{address, members[0]})
}
