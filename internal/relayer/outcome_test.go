package relayer_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

const increment = "UPDATE ledger SET value = value + 1 WHERE key = 'a'"

// When established connections stop responding but new ones work, waiting clients get the right
// outcome soon, and the next request uses a new connection.
func TestSilentConnections(t *testing.T) {
	cases := map[string]struct {
		sql    string
		begin  bool
		reason *refuser.Reason // nil: answered
	}{
		"a write":                      {sql: increment, reason: refuser.ConnectionLost},
		"a read":                       {sql: "SELECT value FROM ledger WHERE key = 'a'"},
		"a statement of a transaction": {sql: increment, begin: true, reason: refuser.TransactionLost},
		"a COMMIT":                     {sql: "COMMIT", begin: true, reason: refuser.ConnectionLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, defaultPlan(), func(s *fleet) {
				a := s.open(0, nil)
				s.exec(a, "INSERT INTO ledger VALUES ('a', '1')")
				time.Sleep(time.Second)
				s.get(a, "SELECT value FROM ledger WHERE key = 'a'")
				if c.begin {
					s.exec(a, "BEGIN")
				}
				for _, m := range s.Members {
					m.BlackholeConnections()
				}
				started := time.Now()
				_, err := a.Exec(s.ctx, c.sql, pgx.QueryExecModeSimpleProtocol)
				must.LessEq(t, 2500*time.Millisecond, time.Since(started))
				if c.reason == nil {
					must.NoError(t, err)
				} else {
					s.assertRefused(err, c.reason)
				}
				s.exec(a, "ROLLBACK")
				s.exec(a, increment)
			})
		})
	}
}

// A long-running statement on a silent connection is not aborted, since the target reports it
// as running.
func TestLongStatement(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		a := s.open(0, nil)
		started := time.Now()
		s.exec(a, "BEGIN")
		s.exec(a, "SELECT pg_sleep(45)")
		s.exec(a, "COMMIT")
		must.GreaterEq(t, 45*time.Second, time.Since(started))
	})
}

// A write whose answer is lost is reported with an unknown outcome and never retried.
func TestLostAnswer(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		a := s.open(0, nil)
		s.exec(a, "INSERT INTO ledger VALUES ('a', '0')")
		time.Sleep(time.Second)
		for _, m := range s.Members {
			m.Faults.SetReplayLag(time.Minute)
		}
		s.Target("1").Faults.DropNextResponse()
		_, err := a.Exec(s.ctx, increment)
		s.assertRefused(err, refuser.ConnectionLost)
		must.Eq(t, 1, s.executions(increment))
		// After an unknown outcome, reads go to the primary.
		must.Eq(t, "1", s.get(a, "SELECT value FROM ledger WHERE key = 'a'"))
	})
}

// A SELECT of a function with side effects must not be reported as not run, or retried, after
// its answer is lost.
func TestLostFunctionAnswer(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		a := s.open(0, map[string]string{"oriole.kind": "strict"})
		s.exec(a, "INSERT INTO ledger VALUES ('a', '0')")
		s.Target("1").Faults.DropNextResponse()
		_, err := a.Exec(s.ctx, "SELECT release_locker('a')", pgx.QueryExecModeSimpleProtocol)
		s.assertRefused(err, refuser.ConnectionLost)
		must.Eq(t, 1, s.executions("SELECT release_locker('a')"))
	})
}

// After a restart of the primary, a write skips the closed idle connections of the pool and
// runs exactly once.
func TestClosedIdleConnections(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		a := s.open(1, nil)
		s.exec(a, "INSERT INTO ledger VALUES ('a', '0')")
		s.StopTarget(s.Target("1"))
		s.RestartTarget(s.Target("1"))
		s.exec(a, increment)
		must.Eq(t, 1, s.executions(increment))
	})
}

// A write rejected by a fenced primary is retried on the new primary and runs exactly once.
func TestFencedConnection(t *testing.T) {
	runFleet(t, defaultPlan(), func(s *fleet) {
		a := s.open(1, nil)
		s.exec(a, "INSERT INTO ledger VALUES ('a', '0')")
		s.promote("10.0.9.9", "b")
		s.exec(a, increment)
		must.Eq(t, 1, s.executions(increment))
	})
}

// Under random faults, acknowledged rows exist, rows reported as not inserted don't, and none
// is inserted twice, which would fail as a duplicate key.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			p := defaultPlan()
			p.Seed, p.ExecutionTime, p.Jitter = seed, time.Millisecond, 2*time.Millisecond
			runFleet(t, p, func(s *fleet) { atMostOnce(s, seed) })
		})
	}
}

// outcomes groups the keys by the outcome reported to the client.
type outcomes struct{ acknowledged, notRun, unknown, duplicates []string }

func atMostOnce(s *fleet, seed uint64) {
	const clients, requests = 3, 30
	results := make(chan outcomes, clients)
	for i := range clients {
		go func() { results <- s.insertKeys(i, requests) }()
	}
	r := rand.New(rand.NewPCG(seed, 1))
	for range 6 {
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		s.injectFault(r)
	}
	var sum outcomes
	for range clients {
		one := <-results
		sum.acknowledged = append(sum.acknowledged, one.acknowledged...)
		sum.notRun = append(sum.notRun, one.notRun...)
		sum.unknown = append(sum.unknown, one.unknown...)
		sum.duplicates = append(sum.duplicates, one.duplicates...)
	}
	time.Sleep(5 * time.Second)
	c := s.open(1, nil)
	s.Logf("seed %d: %d acknowledged, %d not run, %d unknown", seed, len(sum.acknowledged), len(sum.notRun), len(sum.unknown))
	must.Eq(s.T, clients*requests, len(sum.acknowledged)+len(sum.notRun)+len(sum.unknown))
	must.SliceEmpty(s.T, sum.duplicates)
	for _, key := range sum.acknowledged {
		must.Eq(s.T, 1, s.countRows(c, key), must.Sprint("acknowledged: ", key))
	}
	for _, key := range sum.notRun {
		must.Eq(s.T, 0, s.countRows(c, key), must.Sprint("reported as not run: ", key))
	}
}

func (s *fleet) countRows(c *pgx.Conn, key string) int {
	s.Helper()
	tag, err := c.Exec(s.ctx, "SELECT value FROM ledger WHERE key = $1", key)
	must.NoError(s.T, err)
	return int(tag.RowsAffected())
}

// insertKeys sends requests one after another, in the client's form: a statement, a transaction
// or a query of several statements.
func (s *fleet) insertKeys(i, requests int) (t outcomes) {
	var c *pgx.Conn
	for n := range requests {
		time.Sleep(20 * time.Millisecond)
		for c == nil || c.IsClosed() {
			c, _ = s.Connect(s.ctx, s.Instances[i], service, nil)
			time.Sleep(10 * time.Millisecond)
		}
		key := strconv.Itoa(i) + "-" + strconv.Itoa(n)
		done, err := s.insertAs(i, c, "INSERT INTO ledger VALUES ('"+key+"', '1')")
		var e *pgconn.PgError
		if errors.As(err, &e) && e.Code == "23505" {
			t.duplicates = append(t.duplicates, key)
		}
		t.record(key, done, err)
	}
	return t
}

func (o *outcomes) record(key string, done bool, err error) {
	outcome := refuser.Unknown
	var e *pgconn.PgError
	if errors.As(err, &e) {
		_, outcome, _ = refuser.Parse(e.Hint)
	}
	switch {
	case err == nil && done:
		o.acknowledged = append(o.acknowledged, key)
	case err == nil, outcome == refuser.NotRun:
		o.notRun = append(o.notRun, key)
	default:
		o.unknown = append(o.unknown, key)
	}
}

// insertAs runs the statement in the given form; done is false if COMMIT answered ROLLBACK.
func (s *fleet) insertAs(form int, c *pgx.Conn, sql string) (done bool, err error) {
	switch form {
	case 1:
		return s.insertInTransaction(c, sql)
	case 2:
		_, err = c.Exec(s.ctx, "BEGIN; "+sql+"; COMMIT", pgx.QueryExecModeSimpleProtocol)
	default:
		_, err = c.Exec(s.ctx, sql)
	}
	return true, err
}

func (s *fleet) insertInTransaction(c *pgx.Conn, sql string) (done bool, err error) {
	if _, err := c.Exec(s.ctx, "BEGIN"); err != nil {
		return false, err
	}
	_, first := c.Exec(s.ctx, sql)
	tag, err := c.Exec(s.ctx, "COMMIT") // even if the statement failed
	if first != nil && err == nil {
		err = first
	}
	return tag.String() == "COMMIT", err
}

// injectFault injects one random fault.
func (s *fleet) injectFault(r *rand.Rand) {
	primary := s.Members[0]
	for _, m := range s.Members {
		if st := m.Status(); st.Role == "primary" && st.Term >= primary.Status().Term {
			primary = m
		}
	}
	switch r.IntN(6) {
	case 0:
		primary.Faults.DropNextResponse()
	case 1:
		s.KillTarget(primary)
		time.Sleep(50 * time.Millisecond)
		s.RestartTarget(primary)
	case 2:
		primary.BlackholeConnections()
	case 3:
		primary.Faults.Freeze()
		time.Sleep(700 * time.Millisecond)
		primary.Faults.Unfreeze()
	case 4:
		s.promote("10.0.9.9", "b")
	case 5: // the primary still serves clients of its own zone
		other := ""
		for _, zone := range []string{"a", "b", "c"} {
			if zone != primary.Zone {
				s.Network.Partition(primary.Zone, zone)
				other = zone
			}
		}
		time.Sleep(100 * time.Millisecond)
		s.promote("10.0.8."+strconv.Itoa(int(other[0])), other)
		time.Sleep(300 * time.Millisecond)
		s.Network.HealAll()
	}
}
