package relayer_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

// Session state must not leak to the next client on a shared connection.
func TestSessionStateIsolation(t *testing.T) {
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
			runFleet(t, defaultPlan(), func(s *fleet) {
				c := s.open(0, nil)
				_, err := c.Exec(s.ctx, sql, pgx.QueryExecModeSimpleProtocol)
				s.assertRefused(err, refuser.SessionState)
				must.Eq(t, 0, s.executions(sql))
				s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
			})
		})
	}
	t.Run("settings are per session", func(t *testing.T) {
		runFleet(t, defaultPlan(), func(s *fleet) {
			a, b := s.open(0, nil), s.open(0, nil)
			for range 3 { // alternating on one connection
				s.exec(a, "SET search_path = jobs")
				must.Eq(t, "jobs", s.get(a, "SHOW search_path"))
				must.Eq(t, "", s.get(b, "SHOW search_path"))
				s.exec(b, "SET search_path TO lockers")
				must.Eq(t, "jobs", s.get(a, "SHOW search_path"))
				s.exec(b, "RESET search_path")
				must.Eq(t, "", s.get(b, "SHOW search_path"))
			}
			s.exec(a, "DISCARD ALL") // drops the driver's prepared statements, too
			must.Eq(t, "", s.get(a, "SHOW search_path", pgx.QueryExecModeSimpleProtocol))
		})
	})
	t.Run("reported parameters are per session", func(t *testing.T) {
		runFleet(t, defaultPlan(), func(s *fleet) {
			a, b := s.open(0, nil), s.open(0, nil)
			for range 3 {
				s.exec(a, "SET TimeZone = 'Australia/Perth'")
				s.get(b, "SHOW search_path")
			}
			must.Eq(t, "Australia/Perth", a.PgConn().ParameterStatus("TimeZone"))
			must.Eq(t, "UTC", b.PgConn().ParameterStatus("TimeZone"))
		})
	})
	t.Run("settings among the startup parameters", func(t *testing.T) {
		runFleet(t, defaultPlan(), func(s *fleet) {
			a := s.open(0, map[string]string{"search_path": "it's", "application_name": "crew"})
			must.Eq(t, "it's", s.get(a, "SHOW search_path"))
			b := s.open(0, map[string]string{"no_such_setting": "x"})
			started := time.Now()
			_, err := b.Exec(s.ctx, "INSERT INTO ledger VALUES ('a', '1')", pgx.QueryExecModeSimpleProtocol)
			s.assertRefused(err, refuser.BadSetting)
			must.LessEq(t, 100*time.Millisecond, time.Since(started))
			s.exec(b, "RESET no_such_setting")
			s.exec(b, "INSERT INTO ledger VALUES ('a', '1')")
		})
	})
	t.Run("a setting changed in a transaction that is rolled back", func(t *testing.T) {
		runFleet(t, defaultPlan(), func(s *fleet) {
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
	t.Run("a SET hidden in a function", func(t *testing.T) {
		// The command tag reveals it, and the connection is destroyed.
		runFleet(t, defaultPlan(), func(s *fleet) {
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
		runFleet(t, defaultPlan(), func(s *fleet) {
			a, b := s.open(0, nil), s.open(1, nil)
			s.exec(a, "INSERT INTO ledger VALUES ('a', '1')")
			token := s.get(a, "SHOW oriole.token")
			must.Eq(t, a.PgConn().ParameterStatus("oriole.token"), token)
			s.exec(b, "SET oriole.token = '"+token+"'")
			s.exec(b, "SET oriole.kind = 'drop-status'")
			must.Eq(t, "drop-status", s.get(b, "SHOW oriole.kind"))
			_, err := b.Exec(s.ctx, "SET oriole.token = 'forged'")
			s.assertRefused(err, refuser.BadToken)
		})
	})
}

// A COPY that classify misses is refused instead of blocking the client, and its connection is
// destroyed.
func TestUndetectedCopy(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		c := s.open(0, nil)
		_, err := c.Exec(s.ctx, "WITH x AS (SELECT 1) COPY ledger FROM STDIN", pgx.QueryExecModeSimpleProtocol)
		s.assertRefused(err, refuser.SessionState)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
	})
}

// After a transaction is lost with its target, statements already pipelined must not run
// outside it; only ROLLBACK or COMMIT, answered ROLLBACK, ends it.
func TestStatementsAfterLostTransaction(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		c := s.open(0, nil)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
		s.exec(c, "BEGIN")
		s.exec(c, "UPDATE ledger SET value = value + 1 WHERE key = 'a'")
		s.KillTarget(s.Target("1"))
		s.RestartTarget(s.Target("1"))
		_, err := c.Exec(s.ctx, "UPDATE ledger SET value = value + 2 WHERE key = 'a'")
		s.assertRefused(err, refuser.TransactionLost)
		must.Eq(t, 'E', rune(c.PgConn().TxStatus()))
		_, err = c.Exec(s.ctx, "UPDATE ledger SET value = value + 4 WHERE key = 'a'")
		s.assertRefused(err, refuser.TransactionAborted)
		_, err = c.Exec(s.ctx, "ROLLBACK TO SAVEPOINT x")
		s.assertRefused(err, refuser.TransactionAborted)
		tag, err := c.Exec(s.ctx, "COMMIT")
		must.NoError(t, err)
		must.Eq(t, "ROLLBACK", tag.String())
		must.Eq(t, 'I', rune(c.PgConn().TxStatus()))
		must.Eq(t, "1", s.get(c, "SELECT value FROM ledger WHERE key = 'a'"))
	})
}

// The connection of a client that disconnects in a transaction is destroyed; its next borrower
// must not commit the transaction.
func TestDisconnectInTransaction(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		c := s.open(0, nil)
		s.exec(c, "INSERT INTO ledger VALUES ('a', '1')")
		for i := range 3 {
			disconnecting := s.open(0, nil)
			s.exec(disconnecting, "BEGIN")
			s.exec(disconnecting, "UPDATE ledger SET value = value + 10 WHERE key = 'a'")
			if i == 0 {
				must.NoError(t, disconnecting.Close(s.ctx))
			} else {
				must.NoError(t, disconnecting.PgConn().Conn().Close())
			}
			time.Sleep(100 * time.Millisecond)
			s.exec(c, "UPDATE ledger SET value = value + 1 WHERE key = 'a'")
		}
		must.Eq(t, "4", s.get(c, "SELECT value FROM ledger WHERE key = 'a'"))
	})
}
