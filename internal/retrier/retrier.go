// Package retrier bounds how many tries of requests follow a first try that
// failed.
package retrier

import "sync"

const (
	// DefaultPart is how many retries each first try pays for. A target that
	// fails everything then sees 1.1 times the load of its callers; without a
	// bound, each request that is tried until its deadline makes it ten times
	// and more, and the target that was a little too slow is kept down.
	DefaultPart = 0.1
	// DefaultReserve is how many retries an instance may make beyond that: as
	// many as it has requests in flight when a target is lost, so that those of
	// a quiet group are retried too. The two users' instances hold 2 to 12
	// connections of a group.
	DefaultReserve = 12
)

// Budget counts tries of one group on one instance. It needs no clock: what it
// bounds is a ratio. Set the exported fields before its use. A nil Budget bounds
// nothing.
type Budget struct {
	// Part is how much of a retry a first try pays for; 0 means DefaultPart.
	Part float64
	// Reserve is how many retries can be saved up; 0 means DefaultReserve.
	Reserve float64

	mutex  sync.Mutex
	spent  float64
	opened bool
}

// First notes a first try.
func (b *Budget) First() {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.open()
	b.spent = max(0, b.spent-b.Part)
}

// Retry reports whether a further try may be made, and counts it if so.
func (b *Budget) Retry() bool {
	if b == nil {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.open()
	if b.spent+1 > b.Reserve {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) open() {
	if b.opened {
		return
	}
	b.opened = true
	if b.Part == 0 {
		b.Part = DefaultPart
	}
	if b.Reserve == 0 {
		b.Reserve = DefaultReserve
	}
}
