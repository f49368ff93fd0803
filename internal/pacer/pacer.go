// Package pacer decides how often one instance may bring new work to a member that
// has no room for it. It has no clock and no network.
//
// Load pattern: a group whose replicas lag leaves one member for everything, or a
// burst comes. Its queue is full, and it refuses. Each instance alone sends it little,
// less than one statement at a time, so a limit on statements in flight can't relieve
// it; 83 instances together ask it ten times as often as it can serve. Nearly all that
// passes between them are refusals, and callers wait in tries that have no chance while
// other members, or another moment, would serve them.
package pacer

import (
	"math/rand/v2"
	"time"
)

const (
	// firstInterval is the least time between two pieces of new work after a refusal:
	// about the time in which one of 3 to 6 slots becomes free.
	firstInterval = 20 * time.Millisecond
	// lastInterval bounds it. At 640 ms, 83 instances bring 130 pieces a second, less
	// than the 180 that 6 slots serve at 33 ms each.
	lastInterval = 640 * time.Millisecond
	// growth and decay are what a refusal and a success make of the interval. Two
	// successes take back a little more than one refusal.
	growth, decay = 2, 0.6
	// holdOff is the time in which several refusals count as one: they were under way
	// together.
	holdOff = 20 * time.Millisecond
)

// Pacer is what one instance knows of a member's room. The zero value lets everything
// pass.
type Pacer struct {
	interval  time.Duration
	next      time.Time
	refusedAt time.Time
}

// Wait returns how long new work must wait, 0 when it may go now.
func (p *Pacer) Wait(now time.Time) time.Duration {
	return max(0, p.next.Sub(now))
}

// Free reports whether nothing is held back.
func (p *Pacer) Free() bool { return p.interval == 0 }

// Sent takes in that new work goes to the member.
func (p *Pacer) Sent(now time.Time) { p.space(now) }

// Refused takes in that the member had no room.
func (p *Pacer) Refused(now time.Time) {
	if now.Sub(p.refusedAt) < max(holdOff, p.interval/2) {
		return
	}
	p.refusedAt = now
	p.interval = min(max(growth*p.interval, firstInterval), lastInterval)
	p.space(now)
}

// Served takes in that the member ran a statement.
func (p *Pacer) Served() {
	p.interval = time.Duration(decay * float64(p.interval))
	if p.interval < firstInterval/2 {
		p.interval, p.next = 0, time.Time{}
	}
}

// space puts the next piece of work off, by half of the time at random: instances that
// were refused together must not come back together.
func (p *Pacer) space(now time.Time) {
	if p.interval > 0 {
		p.next = now.Add(p.interval/2 + rand.N(p.interval))
	}
}
