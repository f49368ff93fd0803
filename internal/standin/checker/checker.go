// Package checker records what callers asked and were told, and judges whether
// the promises held: acknowledged writes are kept, refusals that say "not run"
// are true, and a session sees its own work.
package checker

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is what a caller was told of its request.
type Outcome int

const (
	// Unknown is the outcome of a request that has no answer yet, and of one
	// whose answer said that it may have run.
	Unknown Outcome = iota
	// Done: the request was acknowledged.
	Done
	// NotRun: the caller was told that nothing of the request ran.
	NotRun
)

type (
	// History is what callers saw, per key. Its methods may be called from
	// several goroutines. Each write of a key needs a value of its own.
	History struct {
		mutex sync.Mutex
		ops   []*Op
	}

	// Op is one request of one session.
	Op struct {
		history *History
		session int
		key     string
		value   string
		write   bool
		strong  bool
		outcome Outcome
		begin   time.Time
		end     time.Time // zero while the request is open
	}

	// Violation is one promise that did not hold.
	Violation struct {
		Promise string
		Key     string
		Detail  string
	}
)

// The promises that a Violation names.
const (
	PromiseAcknowledged = "no acknowledged write is lost"
	PromiseNotRun       = "a refusal that says not run is true"
	PromiseOwnWork      = "a session reads its own writes"
	PromiseRegister     = "acknowledged writes and strong reads are linearizable"
)

// String returns the promise, the key and what was seen.
func (v Violation) String() string { return v.Promise + ": key " + v.Key + ": " + v.Detail }

// Write records that a session sends a write.
func (h *History) Write(session int, key, value string) *Op {
	return h.add(&Op{session: session, key: key, value: value, write: true})
}

// Read records that a session sends a read that may be stale.
func (h *History) Read(session int, key string) *Op {
	return h.add(&Op{session: session, key: key})
}

// StrongRead records a read that must see every write acknowledged before it,
// such as a read of the final primary when all is healed.
func (h *History) StrongRead(session int, key string) *Op {
	return h.add(&Op{session: session, key: key, strong: true})
}

func (h *History) add(o *Op) *Op {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	o.history, o.begin = h, time.Now()
	h.ops = append(h.ops, o)
	return o
}

// Return records the answer to a write. The end of an Unknown outcome is left
// open: the write may still take effect at any time.
func (o *Op) Return(outcome Outcome) {
	o.history.mutex.Lock()
	defer o.history.mutex.Unlock()
	o.outcome = outcome
	if outcome != Unknown {
		o.end = time.Now()
	}
}

// ReturnValue records the answer to a read; an absent row has the value "".
func (o *Op) ReturnValue(value string) {
	o.history.mutex.Lock()
	defer o.history.mutex.Unlock()
	o.outcome, o.value, o.end = Done, value, time.Now()
}

// Counts returns how many writes ended with each outcome.
func (h *History) Counts() map[Outcome]int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	counts := map[Outcome]int{}
	for _, o := range h.ops {
		if o.write {
			counts[o.outcome]++
		}
	}
	return counts
}

// Check judges the history. final returns the value of a key on the final
// primary; nil leaves that judgement out. Call it when all requests have ended.
func (h *History) Check(final func(key string) string) []Violation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var out []Violation
	for _, key := range h.keys() {
		ops := h.of(key)
		if final != nil {
			now := time.Now()
			ops = append(ops, &Op{session: -1, key: key, strong: true, value: final(key), outcome: Done, begin: now, end: now})
		}
		out = append(out, checkReads(key, ops)...)
		out = append(out, checkRegister(key, ops)...)
	}
	return out
}

func (h *History) keys() []string {
	var keys []string
	seen := map[string]bool{}
	for _, o := range h.ops {
		if !seen[o.key] {
			seen[o.key] = true
			keys = append(keys, o.key)
		}
	}
	return keys
}

func (h *History) of(key string) []*Op {
	var ops []*Op
	for _, o := range h.ops {
		if o.key == key {
			ops = append(ops, o)
		}
	}
	return ops
}

// checkReads judges each read alone: it shows a value that was written, not one
// that was refused as not run, nor one that its session has overwritten.
func checkReads(key string, ops []*Op) []Violation {
	var out []Violation
	for _, r := range ops {
		if r.write || r.outcome != Done {
			continue
		}
		source := writer(ops, r.value)
		switch {
		case source == nil && r.value != "":
			out = append(out, Violation{PromiseAcknowledged, key, fmt.Sprintf("read %q, which nobody wrote", r.value)})
		case source != nil && source.outcome == NotRun:
			out = append(out, Violation{PromiseNotRun, key, fmt.Sprintf("read %q, whose write was refused as not run", r.value)})
		default:
			out = append(out, checkOwn(key, ops, r, source)...)
		}
	}
	return out
}

func writer(ops []*Op, value string) *Op {
	for _, w := range ops {
		if w.write && w.value == value {
			return w
		}
	}
	return nil
}

// checkOwn reports a read that shows a state from before an acknowledged write
// that must be visible to it: of its own session, or of any for a strong read.
func checkOwn(key string, ops []*Op, r, source *Op) []Violation {
	for _, w := range ops {
		if !w.write || w.outcome != Done || w == source || !w.end.Before(r.begin) {
			continue
		}
		older := source == nil || (!source.end.IsZero() && source.end.Before(w.begin))
		if !older {
			continue
		}
		if w.session == r.session {
			return []Violation{{PromiseOwnWork, key, fmt.Sprintf("session %d wrote %q and then read %q", r.session, w.value, r.value)}}
		}
		if r.strong {
			return []Violation{{PromiseAcknowledged, key, fmt.Sprintf("%q was acknowledged, yet %q was read later", w.value, r.value)}}
		}
	}
	return nil
}

// registerTimeout bounds the search for one key, in real time.
const registerTimeout = 20 * time.Second

type registerInput struct {
	write bool
	value string
}

// checkRegister searches an order of the writes and strong reads of a key that
// explains all answers. A write of unknown outcome has no end, so that the search
// may place it anywhere later, which includes never.
func checkRegister(key string, ops []*Op) []Violation {
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			if in := input.(registerInput); in.write {
				return true, in.value
			}
			return output == state, state
		},
	}
	var history []porcupine.Operation
	for _, o := range ops {
		if o.outcome == NotRun || (!o.write && (!o.strong || o.outcome != Done)) {
			continue
		}
		end := int64(math.MaxInt64)
		if !o.end.IsZero() {
			end = o.end.UnixNano()
		}
		history = append(history, porcupine.Operation{
			ClientId: max(o.session, 0), Call: o.begin.UnixNano(), Return: end,
			Input: registerInput{write: o.write, value: o.value}, Output: o.value,
		})
	}
	switch porcupine.CheckOperationsTimeout(model, history, registerTimeout) {
	case porcupine.Illegal:
		return []Violation{{PromiseRegister, key, fmt.Sprintf("no order explains %d requests", len(history))}}
	case porcupine.Unknown:
		return []Violation{{PromiseRegister, key, "not decided in time"}}
	}
	return nil
}
