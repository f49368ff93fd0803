// Package throttler limits the rate at which an instance sends statements to an overloaded
// member, by exponential backoff with jitter. A limit on statements in flight would not help:
// many instances that each send one at a time can overload a member.
package throttler

import (
	"math/rand/v2"
	"time"
)

const (
	// minInterval and maxInterval bound the mean time between two statements while the
	// rate is limited. The minimum is about the time until one of a member's slots is free. At the
	// maximum, 83 instances send 130 statements per second, less than the 180 that a member with 6
	// slots runs at 33 ms each.
	minInterval = 20 * time.Millisecond
	maxInterval = 640 * time.Millisecond
	// backoffFactor and recoveryFactor multiply the interval after a rejection and after a
	// success. Two successes outweigh one rejection.
	backoffFactor, recoveryFactor = 2, 0.6
	// rejectionWindow is the minimum time between two rejections that count, since
	// statements in flight are rejected together.
	rejectionWindow = 20 * time.Millisecond
)

// Throttler limits the rate of statements to one member. The zero value imposes no limit.
type Throttler struct {
	interval    time.Duration
	nextAllowed time.Time
	rejectedAt  time.Time
}

// Delay returns the time until the next statement may be sent, 0 if it may be sent now.
func (t *Throttler) Delay(now time.Time) time.Duration {
	return max(0, t.nextAllowed.Sub(now))
}

// Unlimited reports whether the rate is unlimited.
func (t *Throttler) Unlimited() bool { return t.interval == 0 }

// RecordSend records that a statement was sent to the member.
func (t *Throttler) RecordSend(now time.Time) { t.scheduleNext(now) }

// RecordRejection records that the member rejected a statement because its queue was full.
func (t *Throttler) RecordRejection(now time.Time) {
	if now.Sub(t.rejectedAt) < max(rejectionWindow, t.interval/2) {
		return
	}
	t.rejectedAt = now
	t.interval = min(max(backoffFactor*t.interval, minInterval), maxInterval)
	t.scheduleNext(now)
}

// RecordSuccess records that the member executed a statement.
func (t *Throttler) RecordSuccess() {
	t.interval = time.Duration(recoveryFactor * float64(t.interval))
	if t.interval < minInterval/2 {
		t.interval, t.nextAllowed = 0, time.Time{}
	}
}

// scheduleNext delays the next statement by the interval with jitter, so that instances that
// were rejected together do not retry together.
func (t *Throttler) scheduleNext(now time.Time) {
	if t.interval > 0 {
		t.nextAllowed = now.Add(t.interval/2 + rand.N(t.interval))
	}
}
