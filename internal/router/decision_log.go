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
		ring    [decisionLogCapacity]Decision
		next    int
		wrapped bool
	}
)

// decisionLogCapacity bounds the memory of a DecisionLog. At 4,000 requests per second, 256
// decisions cover about 60 ms; at a few per second, minutes.
const decisionLogCapacity = 256

// Add records a decision, overwriting the oldest.
func (l *DecisionLog) Add(d Decision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ring[l.next] = d
	l.next = (l.next + 1) % decisionLogCapacity
	l.wrapped = l.wrapped || l.next == 0
}

// Recent returns the kept decisions, newest first.
func (l *DecisionLog) Recent() []Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := l.next
	if l.wrapped {
		n = decisionLogCapacity
	}
	out := make([]Decision, 0, n)
	for k := range n {
		out = append(out, l.ring[(l.next-1-k+decisionLogCapacity)%decisionLogCapacity])
	}
	return out
}
