package relayer

import (
	"testing"

	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

func TestClassify(t *testing.T) {
	read, pure := statementClass{kind: statementRead}, statementClass{kind: statementRead, pure: true}
	write, commit := statementClass{kind: statementWrite}, statementClass{kind: statementWrite, mayCommit: true}
	for sql, want := range map[string]statementClass{
		"SELECT value FROM ledger WHERE key IN ('a', 'b')": pure,
		"/* kind=x */ SELECT count(*) FROM ledger":         pure,
		"-- a\nSELECT 1":                      pure,
		"":                                    pure,
		"SELECT release_locker('a')":          read,
		"SELECT other.count('a')":             read,
		`SELECT "count"('a')`:                 read,
		"SELECT value FROM ledger FOR UPDATE": write,
		"WITH x AS (DELETE FROM ledger RETURNING *) SELECT 1": write,
		"-- SELECT\nINSERT INTO ledger VALUES (1, 2)":         write,
		"/* a /* b */ c */ INSERT INTO ledger VALUES (1, 2)":  write,
		"/* open INSERT":     pure, // an unterminated comment is a syntax error in PostgreSQL
		"(SELECT 1)":         write,
		"SELECT 1; SELECT 2": write,
		"INSERT INTO ledger VALUES (1, 2); COMMIT": {kind: statementWrite, mayCommit: true, endsTransaction: true},
		"CALL settle()":             commit,
		"BEGIN":                     {kind: statementBegin, pure: true},
		"COMMIT":                    {kind: statementEnd, mayCommit: true, endsTransaction: true},
		"ROLLBACK":                  {kind: statementEnd, endsTransaction: true},
		"SET search_path = x":       {kind: statementSet, pure: true},
		"SET LOCAL search_path = x": {kind: statementWrite, transactionScoped: true},
		"SHOW oriole.token":         {kind: statementLocal, pure: true},
		"CREATE TEMP TABLE x (a int) ON COMMIT DROP":              write,
		"SELECT pg_try_advisory_lock(1)":                          {kind: statementRefused, refusalReason: "session advisory lock; use pg_advisory_xact_lock"},
		"SELECT pg_advisory_xact_lock(1)":                         write,
		"BEGIN; SET search_path = x":                              {kind: statementRefused, refusalReason: "SET or RESET combined with other statements in one query"},
		"SELECT 1; LISTEN x":                                      {kind: statementRefused, refusalReason: "LISTEN"},
		"UPDATE ledger SET value = value + 1 WHERE key = 'begin'": write,
	} {
		t.Run(sql, func(t *testing.T) { must.Eq(t, want, classify(sql)) })
	}
}

func BenchmarkClassify(b *testing.B) {
	for b.Loop() {
		classify("/* kind=look-up */ SELECT id, customer, lodged FROM sheets WHERE crew = 'north' AND lodged > now() - interval '30 days' ORDER BY lodged LIMIT 50")
	}
}

// The outcome follows from the request state alone.
func TestOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		state requestState
		want  refuser.Outcome
	}{
		"nothing was sent":                              {requestState{mayCommit: true}, refuser.NotRun},
		"a write was sent, then silence":                {requestState{written: true}, refuser.Unknown},
		"a read without effects":                        {requestState{written: true, pure: true}, refuser.NotRun},
		"a read that may have effects, on the primary":  {requestState{written: true}, refuser.Unknown},
		"a read that may have effects, on a replica":    {requestState{written: true, replica: true}, refuser.NotRun},
		"fenced before it ran":                          {requestState{written: true, rejected: true}, refuser.NotRun},
		"fenced after a COMMIT in the same request":     {requestState{written: true, rejected: true, committed: true}, refuser.Unknown},
		"a statement of a transaction":                  {requestState{written: true, inTransaction: true}, refuser.NotRun},
		"the COMMIT of a transaction":                   {requestState{written: true, inTransaction: true, mayCommit: true}, refuser.Unknown},
		"the COMMIT of a transaction, fenced":           {requestState{written: true, inTransaction: true, mayCommit: true, rejected: true}, refuser.NotRun},
		"the COMMIT of a transaction that was not sent": {requestState{inTransaction: true, mayCommit: true}, refuser.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.want, c.state.outcome())
			must.Eq(t, c.want, c.state.reason().Outcome)
		})
	}
}
