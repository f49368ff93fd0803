package router

import (
	"sync"
	"time"
)

type (
	// Decision records where a request was routed, or why it was refused.
	Decision struct {
		At      time.Time
		Service string
		Kind    string
		Read    bool
		// Target is the member's name, empty if there is none; Member is its index or -1.
		Target  string
		Member  int
		Replica bool
		Reason  string
		// Code is the refusal's code, empty for a served request.
		Code string
		// Waited is the time from the request's arrival to its completion.
		Waited time.Duration
	}

	// DecisionLog keeps the most recent decisions of an instance in a ring buffer.
	DecisionLog struct {
		mutex   sync.Mutex
		ring    [explainerCapacity]Decision
		next    int
		wrapped bool
	}
)

// explainerCapacity is the number of decisions kept, about 40 KB.
const explainerCapacity = 256

// Add records a decision, overwriting the oldest.
func (e *DecisionLog) Add(d Decision) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ring[e.next] = d
	e.next = (e.next + 1) % explainerCapacity
	e.wrapped = e.wrapped || e.next == 0
}

// Recent returns the kept decisions, newest first.
func (e *DecisionLog) Recent() []Decision {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	n := e.next
	if e.wrapped {
		n = explainerCapacity
	}
	out := make([]Decision, 0, n)
	for k := range n {
		out = append(out, e.ring[(e.next-1-k+explainerCapacity)%explainerCapacity])
	}
	return out
}
