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

// Connections that are open stop answering for good, new ones work. Callers
// that wait on an old one get an answer that is true, soon, and the next
// request runs on a new one.
func TestSilentConnections(t *testing.T) {
	cases := map[string]struct {
		sql    string
		begin  bool
		reason *refuser.Reason // nil: answered all the same
	}{
		"a write":                      {sql: increment, reason: refuser.ConnectionLost},
		"a read":                       {sql: "SELECT value FROM ledger WHERE key = 'a'"},
		"a statement of a transaction": {sql: increment, begin: true, reason: refuser.TransactionLost},
		"a COMMIT":                     {sql: "COMMIT", begin: true, reason: refuser.ConnectionLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, plan(), func(s *stage) {
				a := s.open(0, nil)
				s.exec(a, "INSERT INTO ledger VALUES ('a', '1')")
				time.Sleep(time.Second)
				s.get(a, "SELECT value FROM ledger WHERE key = 'a'")
				if c.begin {
					s.exec(a, "BEGIN")
				}
				for _, m := range s.Members {
					m.SilenceOpen()
				}
				started := time.Now()
				_, err := a.Exec(s.ctx, c.sql, pgx.QueryExecModeSimpleProtocol)
				must.LessEq(t, 2500*time.Millisecond, time.Since(started))
				if c.reason == nil {
					must.NoError(t, err)
				} else {
					s.refused(err, c.reason)
				}
				s.exec(a, "ROLLBACK")
				s.exec(a, increment)
			})
		})
	}
}

// A statement may take long: nothing is heard from its connection either, but
// the target says that it is running.
func TestLongStatement(t *testing.T) {
	run(t, plan(), func(s *stage) {
		a := s.open(0, nil)
		started := time.Now()
		s.exec(a, "BEGIN")
		s.exec(a, "SELECT pg_sleep(45)")
		s.exec(a, "COMMIT")
		must.GreaterEq(t, 45*time.Second, time.Since(started))
	})
}

// The target runs the write and its answer is lost. The caller is told that the
// outcome is unknown, and nothing sends the write again.
func TestLostAnswer(t *testing.T) {
	run(t, plan(), func(s *stage) {
		a := s.open(0, nil)
		s.exec(a, "INSERT INTO ledger VALUES ('a', '0')")
		time.Sleep(time.Second)
		for _, m := range s.Members {
			m.Faults.SetReplayLag(time.Minute)
		}
		s.Target("1").Faults.LoseNextAnswer()
		_, err := a.Exec(s.ctx, increment)
		s.refused(err, refuser.ConnectionLost)
		must.Eq(t, 1, s.ran(increment))
		// The caller looks: what it reads now is the primary's.
		must.Eq(t, "1", s.get(a, "SELECT value FROM ledger WHERE key = 'a'"))
	})
}

// A SELECT calls a function that releases a locker. On the primary it runs, and
// its answer is lost: that is no read that changed nothing.
func TestLostAnswerOfAFunction(t *testing.T) {
	run(t, plan(), func(s *stage) {
		a := s.open(0, map[string]string{"oriole.kind": "strict"})
		s.exec(a, "INSERT INTO ledger VALUES ('a', '0')")
		s.Target("1").Faults.LoseNextAnswer()
		_, err := a.Exec(s.ctx, "SELECT release_locker('a')", pgx.QueryExecModeSimpleProtocol)
		s.refused(err, refuser.ConnectionLost)
		must.Eq(t, 1, s.ran("SELECT release_locker('a')"))
	})
}

// The primary was restarted while its connections lay idle: the pool's are dead
// and nobody has noticed. The write has not reached anybody; it goes out on a
// new connection, and the caller hears of nothing.
func TestIdleConnectionsEnded(t *testing.T) {
	run(t, plan(), func(s *stage) {
		a := s.open(1, nil)
		s.exec(a, "INSERT INTO ledger VALUES ('a', '0')")
		s.StopTarget(s.Target("1"))
		s.RestartTarget(s.Target("1"))
		s.exec(a, increment)
		must.Eq(t, 1, s.ran(increment))
	})
}

// The connection belongs to a primary that has been fenced meanwhile. It says
// that it ran nothing; the write goes to the new primary, once.
func TestFencedConnection(t *testing.T) {
	run(t, plan(), func(s *stage) {
		a := s.open(1, nil)
		s.exec(a, "INSERT INTO ledger VALUES ('a', '0')")
		s.promote("10.0.9.9", "b")
		s.exec(a, increment)
		must.Eq(t, 1, s.ran(increment))
	})
}

// Callers lodge sheets, each under its own key, while faults come at random
// moments. What each was told must agree with what happened: a sheet that was
// acknowledged is there, one that was called not run is not, and none was lodged
// twice, which the target refuses as a duplicate.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			p := plan()
			p.Seed, p.Work, p.Jitter = seed, time.Millisecond, 2*time.Millisecond
			run(t, p, func(s *stage) { atMostOnce(s, seed) })
		})
	}
}

// told is what callers were told of their requests, by key.
type told struct{ done, notRun, unknown, twice []string }

func atMostOnce(s *stage, seed uint64) {
	const callers, requests = 3, 30
	results := make(chan told, callers)
	for i := range callers {
		go func() { results <- s.lodge(i, requests) }()
	}
	r := rand.New(rand.NewPCG(seed, 1))
	for range 6 {
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		s.fault(r)
	}
	var sum told
	for range callers {
		one := <-results
		sum.done = append(sum.done, one.done...)
		sum.notRun = append(sum.notRun, one.notRun...)
		sum.unknown = append(sum.unknown, one.unknown...)
		sum.twice = append(sum.twice, one.twice...)
	}
	time.Sleep(5 * time.Second)
	c := s.open(1, nil)
	s.Logf("seed %d: %d acknowledged, %d not run, %d unknown", seed, len(sum.done), len(sum.notRun), len(sum.unknown))
	must.Eq(s.T, callers*requests, len(sum.done)+len(sum.notRun)+len(sum.unknown))
	must.SliceEmpty(s.T, sum.twice)
	for _, key := range sum.done {
		must.Eq(s.T, 1, s.found(c, key), must.Sprint("acknowledged: ", key))
	}
	for _, key := range sum.notRun {
		must.Eq(s.T, 0, s.found(c, key), must.Sprint("called not run: ", key))
	}
}

func (s *stage) found(c *pgx.Conn, key string) int {
	s.Helper()
	tag, err := c.Exec(s.ctx, "SELECT value FROM ledger WHERE key = $1", key)
	must.NoError(s.T, err)
	return int(tag.RowsAffected())
}

// lodge sends requests, one after another. The callers differ in the form: a
// statement, a transaction, a query of several.
func (s *stage) lodge(i, requests int) (t told) {
	var c *pgx.Conn
	for n := range requests {
		time.Sleep(20 * time.Millisecond)
		for c == nil || c.IsClosed() {
			c, _ = s.Connect(s.ctx, s.Instances[i], service, nil)
			time.Sleep(10 * time.Millisecond)
		}
		key := strconv.Itoa(i) + "-" + strconv.Itoa(n)
		done, err := s.lodgeAs(i, c, "INSERT INTO ledger VALUES ('"+key+"', '1')")
		var e *pgconn.PgError
		if errors.As(err, &e) && e.Code == "23505" {
			t.twice = append(t.twice, key)
		}
		t.note(key, done, err)
	}
	return t
}

func (t *told) note(key string, done bool, err error) {
	outcome := refuser.Unknown
	var e *pgconn.PgError
	if errors.As(err, &e) {
		_, outcome, _ = refuser.Parse(e.Hint)
	}
	switch {
	case err == nil && done:
		t.done = append(t.done, key)
	case err == nil, outcome == refuser.NotRun:
		t.notRun = append(t.notRun, key)
	default:
		t.unknown = append(t.unknown, key)
	}
}

// lodgeAs runs the statement; done is false when COMMIT answered ROLLBACK.
func (s *stage) lodgeAs(form int, c *pgx.Conn, sql string) (done bool, err error) {
	switch form {
	case 1:
		return s.lodgeInTransaction(c, sql)
	case 2:
		_, err = c.Exec(s.ctx, "BEGIN; "+sql+"; COMMIT", pgx.QueryExecModeSimpleProtocol)
	default:
		_, err = c.Exec(s.ctx, sql)
	}
	return true, err
}

func (s *stage) lodgeInTransaction(c *pgx.Conn, sql string) (done bool, err error) {
	if _, err := c.Exec(s.ctx, "BEGIN"); err != nil {
		return false, err
	}
	_, first := c.Exec(s.ctx, sql)
	tag, err := c.Exec(s.ctx, "COMMIT") // whatever became of the statement
	if first != nil && err == nil {
		err = first
	}
	return tag.String() == "COMMIT", err
}

// fault throws one switch.
func (s *stage) fault(r *rand.Rand) {
	primary := s.Members[0]
	for _, m := range s.Members {
		if st := m.Status(); st.Role == "primary" && st.Term >= primary.Status().Term {
			primary = m
		}
	}
	switch r.IntN(6) {
	case 0:
		primary.Faults.LoseNextAnswer()
	case 1:
		s.KillTarget(primary)
		time.Sleep(50 * time.Millisecond)
		s.RestartTarget(primary)
	case 2:
		primary.SilenceOpen()
	case 3:
		primary.Faults.Freeze()
		time.Sleep(700 * time.Millisecond)
		primary.Faults.Thaw()
	case 4:
		s.promote("10.0.9.9", "b")
	case 5: // the primary goes on answering callers of its own zone
		other := ""
		for _, zone := range []string{"a", "b", "c"} {
			if zone != primary.Zone {
				s.Net.Cut(primary.Zone, zone)
				other = zone
			}
		}
		time.Sleep(100 * time.Millisecond)
		s.promote("10.0.8."+strconv.Itoa(int(other[0])), other)
		time.Sleep(300 * time.Millisecond)
		s.Net.HealAll()
	}
}
