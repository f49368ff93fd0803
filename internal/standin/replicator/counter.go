package replicator

import "sync"

// SessionCounter counts the open sessions of several members.
type SessionCounter struct {
	mutex      sync.Mutex
	open, peak int
}

// Open returns the number of open sessions.
func (c *SessionCounter) Open() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.open
}

// Peak returns the highest number of sessions open at the same time.
func (c *SessionCounter) Peak() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.peak
}

func (c *SessionCounter) add(n int) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open += n
	c.peak = max(c.peak, c.open)
}
