package forecaster

import (
	"math"
	"time"
)

const (
	// fastHalfLife and slowHalfLife are the half-lives of the two averages of a drain rate, in time
	// with a non-empty queue. The higher average counts: a short stall must not refuse requests,
	// and a member that has become faster is noticed soon.
	fastHalfLife = 250 * time.Millisecond
	slowHalfLife = 2 * time.Second
	// minBusyTime and minStarts are what must have been observed before the rate is known.
	minBusyTime = 200 * time.Millisecond
	minStarts   = 5
	// rateTTL is how long a rate is known after the queue was last non-empty.
	rateTTL = 10 * time.Second
)

type (
	// DrainRate measures how many requests leave a queue per second while it is not empty. The zero
	// value is an unknown rate.
	DrainRate struct {
		fast, slow average
		// busy is set while requests wait, since updatedAt at the latest.
		busy      bool
		updatedAt time.Time
		busyTime  time.Duration
		starts    int
	}

	// average is a decaying number of starts and the decaying time in which they happened.
	average struct{ starts, seconds float64 }
)

// SetWaiting records the number of waiting requests.
func (d *DrainRate) SetWaiting(now time.Time, waiting int) {
	d.advance(now)
	if waiting > 0 && !d.busy {
		if now.Sub(d.updatedAt) > rateTTL {
			*d = DrainRate{}
		}
		d.updatedAt = now
	}
	d.busy = waiting > 0
}

// RecordStart records that a request left the queue to be served.
func (d *DrainRate) RecordStart(now time.Time) {
	if !d.busy {
		return
	}
	d.advance(now)
	d.starts++
	d.fast.starts++
	d.slow.starts++
}

// PerSecond returns the rate, 0 if it is unknown.
func (d *DrainRate) PerSecond(now time.Time) float64 {
	d.advance(now)
	if d.starts < minStarts || d.busyTime < minBusyTime || now.Sub(d.updatedAt) > rateTTL {
		return 0
	}
	return max(d.fast.starts/d.fast.seconds, d.slow.starts/d.slow.seconds)
}

// advance counts the time until now if requests waited during it.
func (d *DrainRate) advance(now time.Time) {
	if !d.busy {
		return
	}
	elapsed := max(0, now.Sub(d.updatedAt))
	d.updatedAt = now
	d.busyTime += elapsed
	d.fast.advance(elapsed, fastHalfLife)
	d.slow.advance(elapsed, slowHalfLife)
}

func (a *average) advance(elapsed, halfLife time.Duration) {
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	a.starts *= factor
	a.seconds = a.seconds*factor + elapsed.Seconds()
}
