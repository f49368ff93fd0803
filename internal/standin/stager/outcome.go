package stager

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// Done is the outcome of a request that was answered.
const Done refuser.Outcome = "done"

// OutcomeOf tells what a caller knows of its request from the error it got. An
// error without a refusal's hint is the target's own (failed), and a connection
// that broke without an answer leaves the outcome unknown.
func OutcomeOf(err error) (outcome refuser.Outcome, code string) {
	if err == nil {
		return Done, ""
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
