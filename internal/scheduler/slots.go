package scheduler

import (
	"slices"
	"time"
)

type (
	// SlotMeter measures how long statements occupy the slots of a member with a FIFO queue: the
	// time that they wait there for statements sent before them doesn't count. Work that others
	// send to the member is not known and counts as the statement's own time. The zero value has
	// no limit of slots.
	SlotMeter struct {
		// Slots is the number of the member's slots, 0 if unknown.
		Slots int

		running int
		queued  []*Work
	}

	// Work is one statement at a member.
	Work struct {
		startedAt time.Time
		started   bool
	}
)

// Send records that a statement was sent.
func (m *SlotMeter) Send(now time.Time) *Work {
	w := &Work{}
	if m.Slots > 0 && m.running >= m.Slots {
		m.queued = append(m.queued, w)
		return w
	}
	m.start(now, w)
	return w
}

// End records that a statement ended and returns how long it occupied a slot.
func (m *SlotMeter) End(now time.Time, w *Work) time.Duration {
	if !w.started {
		m.queued = slices.DeleteFunc(m.queued, func(x *Work) bool { return x == w })
		return 0
	}
	m.running--
	if len(m.queued) > 0 {
		m.start(now, m.queued[0])
		m.queued = m.queued[1:]
	}
	return now.Sub(w.startedAt)
}

func (m *SlotMeter) start(now time.Time, w *Work) {
	m.running++
	w.started, w.startedAt = true, now
}
