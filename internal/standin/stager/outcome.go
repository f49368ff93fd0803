package stager

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// Acknowledged is the outcome of a request that succeeded.
const Acknowledged refuser.Outcome = "done"

// OutcomeOf returns the outcome that a client can infer from the error of a request,
// and the error's code. An error without a refusal's hint was raised by the target
// (failed); a connection lost before the response leaves the outcome unknown.
func OutcomeOf(err error) (outcome refuser.Outcome, code string) {
	if err == nil {
		return Acknowledged, ""
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		if pgconn.SafeToRetry(err) {
			return refuser.NotRun, "connect"
		}
		return refuser.Unknown, "connection"
	}
	if code, outcome, _ := refuser.Parse(e.Hint); outcome != "" {
		return outcome, code
	}
	return refuser.Failed, e.Code
}
