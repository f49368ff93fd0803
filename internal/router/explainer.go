package router

import (
	"sync"
	"time"
)

type (
	// Decision says where a request went, or why it was refused.
	Decision struct {
		At      time.Time
		Service string
		Kind    string
		Read    bool
		// Target is the member's name, empty for none; Member its index or -1.
		Target  string
		Member  int
		Replica bool
		Why     string
		// Code is that of a refusal, empty for an answer.
		Code string
		// Waited is the time from the request's arrival to its end.
		Waited time.Duration
	}

	// Explainer keeps the newest decisions of an instance.
	Explainer struct {
		mutex sync.Mutex
		ring  [explained]Decision
		next  int
		full  bool
	}
)

// explained is how many decisions are kept: at 4,000 requests a second they
// reach back 60 ms, at a few a second for minutes, in 40 KB.
const explained = 256

// Add keeps a decision.
func (e *Explainer) Add(d Decision) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ring[e.next] = d
	e.next = (e.next + 1) % explained
	e.full = e.full || e.next == 0
}

// Recent returns the kept decisions, the newest first.
func (e *Explainer) Recent() []Decision {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	n := e.next
	if e.full {
		n = explained
	}
	out := make([]Decision, 0, n)
	for k := range n {
		out = append(out, e.ring[(e.next-1-k+explained)%explained])
	}
	return out
}
