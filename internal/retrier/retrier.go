// Package retrier limits retries to a fraction of the requests.
package retrier

import "sync"

const (
	// DefaultRatio is the number of retries that each first attempt allows. It bounds the
	// additional load on a target on which all requests fail.
	DefaultRatio = 0.1
	// DefaultReserve is the number of retries that an instance may make beyond that, so
	// that requests in flight are retried when a target of a group with little traffic
	// fails.
	DefaultReserve = 12
)

// Budget is the retry budget of one group on one instance. It is a ratio of retries to first
// attempts, so it needs no clock. Set the exported fields before use. A nil Budget allows
// every retry.
type Budget struct {
	// Ratio is the number of retries that a first attempt allows; 0 means DefaultRatio.
	Ratio float64
	// Reserve is the largest number of unused retries; 0 means DefaultReserve.
	Reserve float64

	mutex       sync.Mutex
	spent       float64
	initialized bool
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt() {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.applyDefaults()
	b.spent = max(0, b.spent-b.Ratio)
}

// AllowRetry reports whether a retry is allowed, and counts it if so.
func (b *Budget) AllowRetry() bool {
	if b == nil {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.applyDefaults()
	if b.spent+1 > b.Reserve {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) applyDefaults() {
	if b.initialized {
		return
	}
	b.initialized = true
	if b.Ratio == 0 {
		b.Ratio = DefaultRatio
	}
	if b.Reserve == 0 {
		b.Reserve = DefaultReserve
	}
}
