// Package refuser defines the reasons for refusing a request: a stable code, whether the request
// may have run, and when to retry. Reasons are added only to the table in reasons.go, from which
// docs/REFUSALS.md and the metrics are generated.
package refuser

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

type (
	// Outcome is whether a refused request may have run.
	Outcome string

	// Reason describes one reason for a refusal.
	Reason struct {
		// Code is stable: "OR" and three digits.
		Code string
		// Name is the kebab-case name used in metrics.
		Name string
		// Title is a one-line summary; Text explains the cause and the remedy.
		Title, Text string
		// Since is the version that introduced the reason.
		Since string
		// SQLState is the SQLSTATE sent to clients.
		SQLState string
		Outcome  Outcome
		// RetryAfter is the suggested delay of a retry; 0 means not to retry.
		RetryAfter time.Duration
		// Fatal reasons close the client's connection.
		Fatal bool
	}

	// Refusal is an error with a reason and details.
	Refusal struct {
		Reason *Reason
		// Detail describes this particular refusal.
		Detail string
		// RetryAfter overrides that of the reason when it is not 0.
		RetryAfter time.Duration
	}
)

// The outcomes.
const (
	// NotRun means that no part of the request ran or that it was rolled back, so a
	// retry cannot run it twice.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have taken effect or may still do so.
	Unknown Outcome = "unknown"
	// Failed means that the request was refused permanently.
	Failed Outcome = "failed"
)

// New returns a refusal with a formatted detail.
func New(r *Reason, format string, a ...any) *Refusal {
	return &Refusal{Reason: r, Detail: fmt.Sprintf(format, a...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Reason.Code + " " + r.Reason.Title + ": " + r.Detail
}

// RetryDelay returns the suggested delay of a retry; 0 means not to retry.
func (r *Refusal) RetryDelay() time.Duration {
	if r.RetryAfter != 0 {
		return r.RetryAfter
	}
	return r.Reason.RetryAfter
}

// Hint returns the machine-readable hint that clients get with the error:
// "code=OR101 outcome=not-run retry-after-ms=100".
func (r *Refusal) Hint() string {
	h := "code=" + r.Reason.Code + " outcome=" + string(r.Reason.Outcome)
	if d := r.RetryDelay(); d > 0 {
		h += " retry-after-ms=" + strconv.FormatInt(d.Milliseconds(), 10)
	}
	return h
}

// Parse parses the format of Hint.
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
