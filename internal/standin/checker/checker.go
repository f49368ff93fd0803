// Package checker records the requests and responses of clients and verifies the
// consistency guarantees: durability of acknowledged writes, no effect of requests
// refused as not run, read-your-writes and linearizability.
package checker

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is the outcome of a request as reported to its client.
type Outcome int

const (
	// Unknown: no response yet, or one that leaves open whether the request ran.
	Unknown Outcome = iota
	// Acknowledged: the request was acknowledged.
	Acknowledged
	// NotRun: the request was refused and must have no effect.
	NotRun
)

type (
	// History records the operations of all sessions. It is safe for concurrent use.
	// The values written to a key must be unique.
	History struct {
		mutex      sync.Mutex
		operations []*Operation
	}

	// Operation is a read or write of one key by one session.
	Operation struct {
		history *History
		session int
		key     string
		value   string
		write   bool
		strong  bool
		outcome Outcome
		begin   time.Time
		end     time.Time // zero while in flight or if the outcome is unknown
	}

	// Violation is one breach of a guarantee.
	Violation struct {
		Guarantee string
		Key       string
		Detail    string
	}
)

// The guarantees that Check verifies.
const (
	GuaranteeDurability      = "no acknowledged write is lost"
	GuaranteeNotRun          = "a write refused as not run has no effect"
	GuaranteeReadYourWrites  = "a session reads its own writes"
	GuaranteeLinearizability = "acknowledged writes and strong reads are linearizable"
)

// String returns the guarantee, the key and the details.
func (v Violation) String() string { return v.Guarantee + ": key " + v.Key + ": " + v.Detail }

// Write records the start of a write by a session.
func (h *History) Write(session int, key, value string) *Operation {
	return h.add(&Operation{session: session, key: key, value: value, write: true})
}

// Read records the start of a read that may return a stale value.
func (h *History) Read(session int, key string) *Operation {
	return h.add(&Operation{session: session, key: key})
}

// StrongRead records the start of a read that must see every write acknowledged
// before it.
func (h *History) StrongRead(session int, key string) *Operation {
	return h.add(&Operation{session: session, key: key, strong: true})
}

func (h *History) add(o *Operation) *Operation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	o.history, o.begin = h, time.Now()
	h.operations = append(h.operations, o)
	return o
}

// Return records the outcome of a write. A write of unknown outcome gets no end time,
// since it may still take effect at any time.
func (o *Operation) Return(outcome Outcome) {
	o.history.mutex.Lock()
	defer o.history.mutex.Unlock()
	o.outcome = outcome
	if outcome != Unknown {
		o.end = time.Now()
	}
}

// ReturnValue records the value returned by a read, "" if the row is absent.
func (o *Operation) ReturnValue(value string) {
	o.history.mutex.Lock()
	defer o.history.mutex.Unlock()
	o.outcome, o.value, o.end = Acknowledged, value, time.Now()
}

// Counts returns the number of writes by outcome.
func (h *History) Counts() map[Outcome]int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	counts := map[Outcome]int{}
	for _, o := range h.operations {
		if o.write {
			counts[o.outcome]++
		}
	}
	return counts
}

// Check verifies the guarantees over the history, once all requests have ended. If
// finalValue is not nil, it returns the value of a key on the final primary, which
// is verified as a strong read.
func (h *History) Check(finalValue func(key string) string) []Violation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var out []Violation
	for _, key := range h.keys() {
		ops := h.operationsOn(key)
		if finalValue != nil {
			now := time.Now()
			ops = append(ops, &Operation{session: -1, key: key, strong: true, value: finalValue(key), outcome: Acknowledged, begin: now, end: now})
		}
		out = append(out, checkReads(key, ops)...)
		out = append(out, checkLinearizability(key, ops)...)
	}
	return out
}

func (h *History) keys() []string {
	var keys []string
	seen := map[string]bool{}
	for _, o := range h.operations {
		if !seen[o.key] {
			seen[o.key] = true
			keys = append(keys, o.key)
		}
	}
	return keys
}

func (h *History) operationsOn(key string) []*Operation {
	var operations []*Operation
	for _, o := range h.operations {
		if o.key == key {
			operations = append(operations, o)
		}
	}
	return operations
}

// checkReads verifies that each read returned a value that was written, was not
// refused as not run, and was not overwritten before by a write it must see.
func checkReads(key string, ops []*Operation) []Violation {
	var out []Violation
	for _, r := range ops {
		if r.write || r.outcome != Acknowledged {
			continue
		}
		source := findWrite(ops, r.value)
		switch {
		case source == nil && r.value != "":
			out = append(out, Violation{GuaranteeDurability, key, fmt.Sprintf("read %q, which was never written", r.value)})
		case source != nil && source.outcome == NotRun:
			out = append(out, Violation{GuaranteeNotRun, key, fmt.Sprintf("read %q, whose write was refused as not run", r.value)})
		default:
			out = append(out, checkVisibility(key, ops, r, source)...)
		}
	}
	return out
}

func findWrite(ops []*Operation, value string) *Operation {
	for _, w := range ops {
		if w.write && w.value == value {
			return w
		}
	}
	return nil
}

// checkVisibility verifies that a read is not older than an acknowledged write that
// it must see: one of its own session, or any for a strong read. The source is the
// write of the value that was read, or nil.
func checkVisibility(key string, ops []*Operation, r, source *Operation) []Violation {
	for _, w := range ops {
		if !w.write || w.outcome != Acknowledged || w == source || !w.end.Before(r.begin) {
			continue
		}
		older := source == nil || (!source.end.IsZero() && source.end.Before(w.begin))
		if !older {
			continue
		}
		if w.session == r.session {
			return []Violation{{GuaranteeReadYourWrites, key, fmt.Sprintf("session %d wrote %q and then read %q", r.session, w.value, r.value)}}
		}
		if r.strong {
			return []Violation{{GuaranteeDurability, key, fmt.Sprintf("%q was acknowledged, but %q was read afterwards", w.value, r.value)}}
		}
	}
	return nil
}

// linearizabilityTimeout bounds the check of one key, in real time.
const linearizabilityTimeout = 20 * time.Second

type operationInput struct {
	write bool
	value string
}

// checkLinearizability verifies that the writes and strong reads of a key are
// linearizable. A write of unknown outcome has no end, so that it may take effect at
// any later time or never.
func checkLinearizability(key string, ops []*Operation) []Violation {
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			if in := input.(operationInput); in.write {
				return true, in.value
			}
			return output == state, state
		},
	}
	var history []porcupine.Operation
	for _, o := range ops {
		if o.outcome == NotRun || (!o.write && (!o.strong || o.outcome != Acknowledged)) {
			continue
		}
		end := int64(math.MaxInt64)
		if !o.end.IsZero() {
			end = o.end.UnixNano()
		}
		history = append(history, porcupine.Operation{
			ClientId: max(o.session, 0), Call: o.begin.UnixNano(), Return: end,
			Input: operationInput{write: o.write, value: o.value}, Output: o.value,
		})
	}
	switch porcupine.CheckOperationsTimeout(model, history, linearizabilityTimeout) {
	case porcupine.Illegal:
		return []Violation{{GuaranteeLinearizability, key, fmt.Sprintf("no linearization of %d operations", len(history))}}
	case porcupine.Unknown:
		return []Violation{{GuaranteeLinearizability, key, "linearizability check timed out"}}
	}
	return nil
}
