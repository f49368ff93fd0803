// Package refuser lists every reason for which a request is refused, each with a
// stable code that is never used for anything else, what the refusal says about
// the request, and when to come back. The table in reasons.go is the only place
// where a reason is added; docs/REFUSALS.md and the metrics come from it.
package refuser

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

type (
	// Outcome is what a refusal says about the request.
	Outcome string

	// Reason is one reason, described for readers and programs.
	Reason struct {
		// Code is stable: "OR" and three digits.
		Code string
		// Name is the metric's name, kebab-case.
		Name string
		// Title is one line; Text says when it happens and what to do.
		Title, Text string
		// Since is the version that introduced the reason.
		Since string
		// SQLState is the code that drivers see.
		SQLState string
		Outcome  Outcome
		// RetryAfter is when to come back; 0 means that a retry won't help.
		RetryAfter time.Duration
		// Fatal reasons end the caller's connection.
		Fatal bool
	}

	// Refusal is one refusal: a reason with its particulars. It is an error.
	Refusal struct {
		Reason *Reason
		// Detail says what happened to this request.
		Detail string
		// RetryAfter replaces that of the reason when it is not 0.
		RetryAfter time.Duration
	}
)

// The outcomes.
const (
	// NotRun: no target ran any part of the request, or what it ran has been
	// rolled back. Sending it again can't run it twice.
	NotRun Outcome = "not-run"
	// Unknown: the request may have taken effect, now or a little later.
	Unknown Outcome = "unknown"
	// Failed: the request was refused for good.
	Failed Outcome = "failed"
)

// New makes a refusal.
func New(r *Reason, format string, a ...any) *Refusal {
	return &Refusal{Reason: r, Detail: fmt.Sprintf(format, a...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Reason.Code + " " + r.Reason.Title + ": " + r.Detail
}

// After returns when to come back; 0 means never.
func (r *Refusal) After() time.Duration {
	if r.RetryAfter != 0 {
		return r.RetryAfter
	}
	return r.Reason.RetryAfter
}

// Hint is the machine-readable line that callers get with the error:
// "code=OR101 outcome=not-run retry-after-ms=100".
func (r *Refusal) Hint() string {
	h := "code=" + r.Reason.Code + " outcome=" + string(r.Reason.Outcome)
	if d := r.After(); d > 0 {
		h += " retry-after-ms=" + strconv.FormatInt(d.Milliseconds(), 10)
	}
	return h
}

// Parse reads the line that Hint writes.
func Parse(hint string) (code string, outcome Outcome, after time.Duration) {
	for _, f := range strings.Fields(hint) {
		k, v, _ := strings.Cut(f, "=")
		switch k {
		case "code":
			code = v
		case "outcome":
			outcome = Outcome(v)
		case "retry-after-ms":
			n, _ := strconv.Atoi(v)
			after = time.Duration(n) * time.Millisecond
		}
	}
	return code, outcome, after
}
