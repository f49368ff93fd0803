// Package pacer limits the rate at which an instance sends statements to an overloaded
// member, by exponential backoff with jitter. A limit on statements in flight would not help:
// many instances that each send one at a time can overload a member.
package pacer

import (
	"math/rand/v2"
	"time"
)

const (
	// minInterval and maxInterval bound the mean time between two statements while the
	// rate is limited.
	minInterval = 20 * time.Millisecond
	maxInterval = 640 * time.Millisecond
	// backoffFactor and recoveryFactor multiply the interval after a rejection and after a
	// success. Two successes outweigh one rejection.
	backoffFactor, recoveryFactor = 2, 0.6
	// rejectionWindow is the minimum time between two rejections that count, since
	// statements in flight are rejected together.
	rejectionWindow = 20 * time.Millisecond
)

// Pacer limits the rate of statements to one member. The zero value imposes no limit.
type Pacer struct {
	interval    time.Duration
	nextAllowed time.Time
	rejectedAt  time.Time
}

// Wait returns the time until the next statement may be sent, 0 if it may be sent now.
func (p *Pacer) Wait(now time.Time) time.Duration {
	return max(0, p.nextAllowed.Sub(now))
}

// Free reports whether the rate is unlimited.
func (p *Pacer) Free() bool { return p.interval == 0 }

// Sent records that a statement was sent to the member.
func (p *Pacer) Sent(now time.Time) { p.scheduleNext(now) }

// Refused records that the member rejected a statement because its queue was full.
func (p *Pacer) Refused(now time.Time) {
	if now.Sub(p.rejectedAt) < max(rejectionWindow, p.interval/2) {
		return
	}
	p.rejectedAt = now
	p.interval = min(max(backoffFactor*p.interval, minInterval), maxInterval)
	p.scheduleNext(now)
}

// Served records that the member executed a statement.
func (p *Pacer) Served() {
	p.interval = time.Duration(recoveryFactor * float64(p.interval))
	if p.interval < minInterval/2 {
		p.interval, p.nextAllowed = 0, time.Time{}
	}
}

// scheduleNext delays the next statement by the interval with jitter, so that instances that
// were rejected together do not retry together.
func (p *Pacer) scheduleNext(now time.Time) {
	if p.interval > 0 {
		p.nextAllowed = now.Add(p.interval/2 + rand.N(p.interval))
	}
}
