package relayer_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

// What a caller leaves on a connection would be met by the next caller that
// borrows it: a changed setting changes its answers, a session lock blocks it.
func TestStateOfASession(t *testing.T) {
	for _, sql := range []string{
		"SELECT pg_advisory_lock(1)",
		"CREATE TEMP TABLE x (a int)",
		"SELECT set_config('work_mem', '1', false)",
		"COPY ledger FROM STDIN",
		"LISTEN news",
		"PREPARE p AS SELECT 1",
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1",
		"SET ROLE other",
		"SET work_mem = 1; SELECT 1",
		"/* a */ -- b\n LISTEN news",
	} {
		t.Run("refused "+sql, func(t *testing.T) {
			run(t, plan(), func(s *stage) {
				c := s.open(0, nil)
				_, err := c.Exec(s.ctx, sql, pgx.QueryExecModeSimpleProtocol)
				s.refused(err, refuser.SessionState)
				must.Eq(t, 0, s.ran(sql))
				s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
			})
		})
	}
	t.Run("settings follow their caller only", func(t *testing.T) {
		run(t, plan(), func(s *stage) {
			a, b := s.open(0, nil), s.open(0, nil)
			for range 3 { // over one connection, turn by turn
				s.exec(a, "SET search_path = jobs")
				must.Eq(t, "jobs", s.get(a, "SHOW search_path"))
				must.Eq(t, "", s.get(b, "SHOW search_path"))
				s.exec(b, "SET search_path TO lockers")
				must.Eq(t, "jobs", s.get(a, "SHOW search_path"))
				s.exec(b, "RESET search_path")
				must.Eq(t, "", s.get(b, "SHOW search_path"))
			}
			s.exec(a, "DISCARD ALL") // the driver's prepared statements, too
			must.Eq(t, "", s.get(a, "SHOW search_path", pgx.QueryExecModeSimpleProtocol))
		})
	})
	t.Run("the driver is told of its own settings only", func(t *testing.T) {
		run(t, plan(), func(s *stage) {
			a, b := s.open(0, nil), s.open(0, nil)
			for range 3 {
				s.exec(a, "SET TimeZone = 'Australia/Perth'")
				s.get(b, "SHOW search_path")
			}
			must.Eq(t, "Australia/Perth", a.PgConn().ParameterStatus("TimeZone"))
			must.Eq(t, "UTC", b.PgConn().ParameterStatus("TimeZone"))
		})
	})
	t.Run("settings among the start-up parameters", func(t *testing.T) {
		run(t, plan(), func(s *stage) {
			a := s.open(0, map[string]string{"search_path": "it's", "application_name": "crew"})
			must.Eq(t, "it's", s.get(a, "SHOW search_path"))
			b := s.open(0, map[string]string{"no_such_setting": "x"})
			started := time.Now()
			_, err := b.Exec(s.ctx, "INSERT INTO ledger VALUES ('a', '1')", pgx.QueryExecModeSimpleProtocol)
			s.refused(err, refuser.BadSetting)
			must.LessEq(t, 100*time.Millisecond, time.Since(started))
			s.exec(b, "RESET no_such_setting")
			s.exec(b, "INSERT INTO ledger VALUES ('a', '1')")
		})
	})
	t.Run("a setting changed in a transaction that is rolled back", func(t *testing.T) {
		run(t, plan(), func(s *stage) {
			a, b := s.open(0, nil), s.open(0, nil)
			s.exec(a, "BEGIN")
			s.exec(a, "SET search_path = jobs")
			must.Eq(t, "jobs", s.get(a, "SHOW search_path"))
			s.exec(a, "ROLLBACK")
			must.Eq(t, "", s.get(a, "SHOW search_path"))
			must.Eq(t, "", s.get(b, "SHOW search_path"))
			s.exec(a, "BEGIN")
			s.exec(a, "SET search_path = jobs")
			s.exec(a, "COMMIT")
			must.Eq(t, "jobs", s.get(a, "SHOW search_path"))
			must.Eq(t, "", s.get(b, "SHOW search_path"))
		})
	})
	t.Run("a SET that words don't show", func(t *testing.T) {
		// The tag of the answer shows it: the connection is destroyed.
		run(t, plan(), func(s *stage) {
			a, b := s.open(0, nil), s.open(0, nil)
			for range 4 { // on each replica
				s.exec(a, "SELECT * FROM remember('x')")
			}
			for range 4 {
				must.Eq(t, "", s.get(b, "SHOW remembered"))
			}
		})
	})
	t.Run("the proxy's own settings", func(t *testing.T) {
		run(t, plan(), func(s *stage) {
			a, b := s.open(0, nil), s.open(1, nil)
			s.exec(a, "INSERT INTO ledger VALUES ('a', '1')")
			token := s.get(a, "SHOW oriole.token")
			must.Eq(t, a.PgConn().ParameterStatus("oriole.token"), token)
			s.exec(b, "SET oriole.token = '"+token+"'")
			s.exec(b, "SET oriole.kind = 'drop-status'")
			must.Eq(t, "drop-status", s.get(b, "SHOW oriole.kind"))
			_, err := b.Exec(s.ctx, "SET oriole.token = 'forged'")
			s.refused(err, refuser.BadToken)
		})
	})
}

// A COPY that the words don't show makes the target wait for rows that never
// come. The caller gets a refusal, not silence, and the connection is given up.
func TestHiddenCopy(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		_, err := c.Exec(s.ctx, "WITH x AS (SELECT 1) COPY ledger FROM STDIN", pgx.QueryExecModeSimpleProtocol)
		s.refused(err, refuser.SessionState)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
	})
}

// The transaction is lost with its target. A caller that doesn't look at errors,
// or has sent ahead, goes on: nothing of the rest may run outside the
// transaction. Only ROLLBACK or COMMIT, answered ROLLBACK, ends that state.
func TestRestOfALostTransaction(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
		s.exec(c, "BEGIN")
		s.exec(c, "UPDATE ledger SET value = value + 1 WHERE key = 'a'")
		s.KillTarget(s.Target("1"))
		s.RestartTarget(s.Target("1"))
		_, err := c.Exec(s.ctx, "UPDATE ledger SET value = value + 2 WHERE key = 'a'")
		s.refused(err, refuser.TransactionLost)
		must.Eq(t, 'E', rune(c.PgConn().TxStatus()))
		_, err = c.Exec(s.ctx, "UPDATE ledger SET value = value + 4 WHERE key = 'a'")
		s.refused(err, refuser.TransactionAborted)
		_, err = c.Exec(s.ctx, "ROLLBACK TO SAVEPOINT x")
		s.refused(err, refuser.TransactionAborted)
		tag, err := c.Exec(s.ctx, "COMMIT")
		must.NoError(t, err)
		must.Eq(t, "ROLLBACK", tag.String())
		must.Eq(t, 'I', rune(c.PgConn().TxStatus()))
		must.Eq(t, "1", s.get(c, "SELECT value FROM ledger WHERE key = 'a'"))
	})
}

// Callers leave in the middle of a transaction, by closing or by dying. Their
// connections are not lent on: the next callers would go on in the transaction
// and commit what it held.
func TestCallerLeavesItsTransaction(t *testing.T) {
	run(t, plan(), func(s *stage) {
		c := s.open(0, nil)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
		for i := range 3 {
			left := s.open(0, nil)
			s.exec(left, "BEGIN")
			s.exec(left, "UPDATE ledger SET value = value + 10 WHERE key = 'a'")
			if i == 0 {
				must.NoError(t, left.Close(s.ctx))
			} else {
				must.NoError(t, left.PgConn().Conn().Close())
			}
			time.Sleep(100 * time.Millisecond)
			s.exec(c, "UPDATE ledger SET value = value + 1 WHERE key = 'a'")
		}
		must.Eq(t, "4", s.get(c, "SELECT value FROM ledger WHERE key = 'a'"))
	})
}
