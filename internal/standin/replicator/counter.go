package replicator

import "sync"

// Counter counts sessions over the members of a group.
type Counter struct {
	mutex     sync.Mutex
	now, peak int
}

// Now returns how many sessions there are.
func (c *Counter) Now() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

// Peak returns the most sessions that there ever were at once.
func (c *Counter) Peak() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.peak
}

func (c *Counter) add(n int) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now += n
	c.peak = max(c.peak, c.now)
}
