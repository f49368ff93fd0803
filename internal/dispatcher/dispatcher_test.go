package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/standin/liner"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

const (
	address = "10.8.0.1:5000"
	// settle is longer than the stage needs until connections are open.
	settle = 500 * time.Millisecond
)

type (
	// stage is one instance before one group of three members.
	stage struct {
		net     *wirer.Net
		group   *liner.Group
		server  *dispatcher.Server
		tracked *tracker.Group
		pool    *lender.Pool
		clock   func() tracker.Timestamp
		callers int

		// unconfigured has the instance know no configuration.
		unconfigured atomic.Bool

		mutex     sync.Mutex
		decisions []string
		refused   []dispatcher.Reason
	}

	// caller is a caller's connection.
	caller struct {
		t    *testing.T
		conn net.Conn
		in   *bufio.Reader
		n    int
		name string
	}
)

// routes has a database for each rule.
var routes = map[string]tracker.Route{
	"strict":  {Database: "strict", Group: "g", Rule: tracker.RulePrimary, Timeout: time.Second, LatencyObjective: 400 * time.Millisecond},
	"bounded": {Database: "bounded", Group: "g", Rule: tracker.RuleBounded, Staleness: 1500 * time.Millisecond, Timeout: time.Second, LatencyObjective: 800 * time.Millisecond},
	"own":     {Database: "own", Group: "g", Rule: tracker.RuleReadYourWrites, Staleness: 2500 * time.Millisecond, Timeout: time.Second, LatencyObjective: 800 * time.Millisecond},
}

// play runs an instance before a group whose replicas are late by lag.
func play(t *testing.T, lag time.Duration, happens func(t *testing.T, s *stage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := wirer.New(1)
		n.Latency = func(_, _ *wirer.Host) time.Duration { return time.Millisecond }
		s := &stage{net: n, group: &liner.Group{
			Name: "g", Net: n, Travel: 2 * time.Millisecond, Lag: lag, Promotion: 600 * time.Millisecond, Connections: 20, Work: 5 * time.Millisecond,
		}}
		s.group.Start(ctx, "a", "b", "c")
		begin := time.Now()
		s.clock = func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		s.tracked = &tracker.Group{Name: "g", Zone: "b", SameRegion: func(zone string) bool { return zone == "b" }}
		s.tracked.SetMembers(s.group.Registered())
		host := n.Host("10.8.0.1", "b")
		s.pool = &lender.Pool{Group: s.tracked, Network: host, Codec: platform.Lines{}, ClientName: "test", Clock: s.clock}
		s.pool.Configure(20, nil)
		c := &tracker.Configuration{Version: 1, Routes: routes, TransactionIdle: time.Second}
		b := &dispatcher.Backend{Group: s.tracked, Pool: s.pool, Suspect: func(string) {}}
		none := func(dispatcher.Reason) {}
		s.server = &dispatcher.Server{
			Address: address, Network: host, Codec: platform.Lines{}, Clock: s.clock,
			Configuration: func() *tracker.Configuration {
				if s.unconfigured.Load() {
					return nil
				}
				return c
			},
			Backend: func(string) *dispatcher.Backend { return b },
			Decide:  s.decide, Trace: func(...any) {},
			Count: func(string) {}, Refused: s.refuse, Retried: none, Served: func(tracker.Route, time.Duration) {},
		}
		var running sync.WaitGroup
		running.Go(func() { _ = s.pool.Run(ctx) })
		running.Go(func() { _ = s.server.Run(ctx) })
		defer func() {
			cancel()
			running.Wait()
			s.group.Wait()
			if t.Failed() {
				t.Log(strings.Join(s.decisions, ""))
			}
		}()
		time.Sleep(settle)
		happens(t, s)
	})
}

func (s *stage) decide(part string, fields ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.decisions = append(s.decisions, part+" "+fmt.Sprintln(fields...))
}

func (s *stage) refuse(r dispatcher.Reason) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refused = append(s.refused, r)
}

// call opens a session.
func (s *stage) call(t *testing.T, database string) *caller {
	t.Helper()
	s.callers++
	conn, err := s.net.Host(fmt.Sprintf("10.7.0.%d", s.callers), "b").Dial(t.Context(), address)
	must.NoError(t, err)
	c := &caller{t: t, conn: conn, in: bufio.NewReader(conn), name: fmt.Sprintf("c%d", s.callers)}
	fmt.Fprintf(conn, "STARTUP %s me\r\n", database)
	must.Eq(t, "READY I -", c.line())
	return c
}

func (c *caller) line() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	must.NoError(c.t, err)
	return strings.TrimSuffix(line, "\r\n")
}

// ask sends a statement and returns its answer in one line, without the position.
func (c *caller) ask(text string) string {
	c.t.Helper()
	c.n++
	fmt.Fprintf(c.conn, "QUERY %s-%d %s\r\n", c.name, c.n, text)
	var words []string
	for {
		word, rest, _ := strings.Cut(c.line(), " ")
		switch word {
		case "DATAROW":
			words = append(words, rest)
		case "ERROR":
			code, _, _ := strings.Cut(rest, " ")
			words = append(words, code)
		case "READY":
			state, _, _ := strings.Cut(rest, " ")
			return strings.Join(append(words, state), " ")
		}
	}
}

// ran counts how often members have run a statement that contains a text.
func (s *stage) ran(text string) int {
	n := 0
	for _, id := range []string{"g-1", "g-2", "g-3"} {
		for _, r := range s.group.Ran(id) {
			if strings.Contains(r, text) {
				n++
			}
		}
	}
	return n
}

// A caller writes and reads at once. Replicas apply half a second late; without a
// floor the read would go to one and show the time before the write.
func TestOwnWriteIsRead(t *testing.T) {
	play(t, 500*time.Millisecond, func(t *testing.T, s *stage) {
		c := s.call(t, "own")
		for i := range 20 {
			must.Eq(t, "I", c.ask(fmt.Sprintf("PUT k v%d", i)))
			must.Eq(t, fmt.Sprintf("v%d I", i), c.ask("FETCH k"))
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// A bounded read may be old, and is served by the replica beside the instance.
func TestBoundedReadGoesToReplica(t *testing.T) {
	play(t, 20*time.Millisecond, func(t *testing.T, s *stage) {
		w := s.call(t, "strict")
		must.Eq(t, "I", w.ask("PUT k v"))
		time.Sleep(time.Second)
		must.Eq(t, "v I", s.call(t, "bounded").ask("FETCH k"))
		must.Eq(t, 1, countIn(s.group.Ran("g-2"), "FETCH k"))
	})
}

func countIn(list []string, text string) int {
	return len(slices.DeleteFunc(slices.Clone(list), func(x string) bool { return !strings.Contains(x, text) }))
}

// Another member leads, and others have written there, while this instance still
// takes the old primary for the primary. Its reads run at the old one and must not be
// passed on: the transaction around them shows that it leads no more.
func TestOldPrimaryIsNotBelieved(t *testing.T) {
	play(t, 0, func(t *testing.T, s *stage) {
		c := s.call(t, "strict")
		must.Eq(t, "I", c.ask("PUT k old"))
		s.group.Isolate("g-1", "g-2", "g-3")
		must.NoError(t, s.group.Promote("g-2"))
		time.Sleep(time.Second)
		must.Eq(t, "g-1", s.tracked.Primary())
		must.Eq(t, "BUSY I", c.ask("FETCH k"))
		must.Eq(t, "BUSY I", c.ask("PUT k new"))
	})
}

// The member runs a write and its answer is lost. The caller must hear that the
// outcome is unknown, and the write must not be sent again.
func TestLostAnswerIsUnknown(t *testing.T) {
	play(t, 0, func(t *testing.T, s *stage) {
		c := s.call(t, "strict")
		s.group.LoseAnswers("g-1", 1)
		must.Eq(t, "INDOUBT I", c.ask("PUT k once"))
		must.Eq(t, 1, s.ran("PUT k once"))
		must.Eq(t, "once I", c.ask("FETCH k"))
	})
}

// The answer to a commit is lost: the outcome is unknown. Before the commit, the loss
// of the connection rolls back, and the caller may be told so.
func TestTransactionFate(t *testing.T) {
	t.Run("commit's answer lost", func(t *testing.T) {
		play(t, 0, func(t *testing.T, s *stage) {
			c := s.call(t, "strict")
			must.Eq(t, "T", c.ask("BEGIN"))
			must.Eq(t, "T", c.ask("PUT k in"))
			s.group.LoseAnswers("g-1", 1)
			must.Eq(t, "INDOUBT I", c.ask("COMMIT"))
		})
	})
	t.Run("primary dies before the commit", func(t *testing.T) {
		play(t, 0, func(t *testing.T, s *stage) {
			c := s.call(t, "strict")
			must.Eq(t, "T", c.ask("BEGIN"))
			must.Eq(t, "T", c.ask("PUT k in"))
			s.group.Crash("g-1")
			must.Eq(t, "ABORTED E", c.ask("PUT k more"))
			must.Eq(t, "MALFORMED E", c.ask("FETCH k"))
			must.Eq(t, "I", c.ask("ROLLBACK"))
		})
	})
	t.Run("caller rests too long", func(t *testing.T) {
		play(t, 0, func(t *testing.T, s *stage) {
			c := s.call(t, "strict")
			must.Eq(t, "T", c.ask("BEGIN"))
			must.Eq(t, "T", c.ask("PUT k in"))
			time.Sleep(2 * time.Second)
			must.Eq(t, "ABORTED I", c.ask("COMMIT"))
			must.Eq(t, "none I", c.ask("FETCH k"))
		})
	})
	t.Run("caller leaves", func(t *testing.T) {
		play(t, 0, func(t *testing.T, s *stage) {
			c := s.call(t, "strict")
			must.Eq(t, "T", c.ask("BEGIN"))
			must.Eq(t, "T", c.ask("PUT k in"))
			must.NoError(t, c.conn.Close())
			time.Sleep(time.Second)
			must.Eq(t, "none I", s.call(t, "strict").ask("FETCH k"))
		})
	})
}

// Two callers share a connection to the member. Session values and prepared names of
// one must not show to the other.
func TestSessionsDoNotMix(t *testing.T) {
	play(t, 0, func(t *testing.T, s *stage) {
		a, b, plain := s.call(t, "strict"), s.call(t, "strict"), s.call(t, "strict")
		must.Eq(t, "I", a.ask("SET color red"))
		must.Eq(t, "I", b.ask("SET color blue"))
		must.Eq(t, "I", b.ask("SET size big"))
		must.Eq(t, "I", a.ask("PARSE s1 FETCH one"))
		must.Eq(t, "I", b.ask("PARSE s1 PUT two"))
		for range 3 {
			must.Eq(t, "none with color=red I", a.ask("EXECUTE s1 k"))
			must.Eq(t, "I", b.ask("EXECUTE s1 other value"))
			must.Eq(t, "none with color=blue,size=big I", b.ask("FETCH k"))
			must.Eq(t, "none I", plain.ask("FETCH k"))
		}
		must.Eq(t, "MALFORMED I", plain.ask("EXECUTE s1 k"))
	})
}

// The instance is told to end. Sessions outside a transaction are closed between two
// statements; one inside goes on until its end.
func TestEnd(t *testing.T) {
	play(t, 0, func(t *testing.T, s *stage) {
		idle, open := s.call(t, "strict"), s.call(t, "strict")
		must.Eq(t, "T", open.ask("BEGIN"))
		must.Eq(t, "T", open.ask("PUT k v"))
		s.server.End(false)
		_, err := idle.in.ReadByte()
		must.Error(t, err)
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, "T", open.ask("PUT k2 v"))
		must.Eq(t, "I", open.ask("COMMIT"))
		_, err = open.in.ReadByte()
		must.Error(t, err)
	})
}

// Bad input costs nobody else anything.
func TestBadInput(t *testing.T) {
	play(t, 0, func(t *testing.T, s *stage) {
		good := s.call(t, "strict")
		bad := s.call(t, "strict")
		must.Eq(t, "MALFORMED I", bad.ask("NONSENSE"))
		must.Eq(t, "MALFORMED I", bad.ask("BEGIN SOMETHING"))
		must.Eq(t, "MALFORMED I", bad.ask("COMMIT"))
		must.Eq(t, "I", bad.ask("PUT k v"))
		must.Eq(t, "v I", good.ask("FETCH k"))
		conn, err := s.net.Host("10.7.1.1", "b").Dial(t.Context(), address)
		must.NoError(t, err)
		fmt.Fprintf(conn, "STARTUP nowhere me\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		must.NoError(t, err)
		must.Eq(t, "ERROR NODB nowhere\r\n", line)
	})
}

// Each answer that is not a success has a line with its reason, the id where the caller
// gave one, and counts. Hundreds of starts were answered with BUSY while the store was
// away; from the logs the worst minute of the day looked like any other.
func TestEveryRefusalIsTold(t *testing.T) {
	start := func(line, want string) func(t *testing.T, s *stage) {
		return func(t *testing.T, s *stage) {
			conn, err := s.net.Host("10.7.9.9", "b").Dial(t.Context(), address)
			must.NoError(t, err)
			fmt.Fprint(conn, line)
			c := &caller{t: t, conn: conn, in: bufio.NewReader(conn)}
			must.StrHasPrefix(t, want, c.line())
			must.NoError(t, conn.Close())
		}
	}
	// say has a caller say some statements, of which the last one fails.
	say := func(want string, texts ...string) func(t *testing.T, s *stage) {
		return func(t *testing.T, s *stage) {
			c := s.call(t, "strict")
			var last string
			for _, x := range texts {
				last = c.ask(x)
			}
			must.Eq(t, want, last)
		}
	}
	cases := []struct {
		name   string
		before func(s *stage)
		does   func(t *testing.T, s *stage)
		reason dispatcher.Reason
		fields []string
	}{
		{"no configuration", func(s *stage) { s.unconfigured.Store(true) }, start("STARTUP strict me\r\n", "ERROR BUSY no-configuration, not run, retry in "), dispatcher.ReasonNoConfiguration, []string{"strict", "10.7.9.9"}},
		{"start not understood", nil, start("HELLO\r\n", "ERROR MALFORMED"), "malformed", []string{"10.7.9.9"}},
		{"no such database", nil, start("STARTUP other me\r\n", "ERROR NODB"), "unknown-database", []string{"other"}},
		{"statement not understood", nil, say("MALFORMED I", "JUMP"), "malformed", []string{"c1-1"}},
		{"no transaction", nil, say("MALFORMED I", "COMMIT"), "malformed", []string{"c1-1"}},
		{"two transactions", nil, say("MALFORMED T", "BEGIN", "BEGIN"), "malformed", []string{"c1-2"}},
		{"no such name", nil, say("MALFORMED I", "EXECUTE s1 k"), "malformed", []string{"c1-1"}},
		{"no connection", func(s *stage) { s.group.Crash("g-1") }, say("BUSY I", "PUT k v", "PUT k v"), dispatcher.ReasonNoConnection, []string{"c1-2"}},
		{"no answer in a transaction", nil, func(t *testing.T, s *stage) {
			c := s.call(t, "strict")
			must.Eq(t, "T", c.ask("BEGIN"))
			s.group.LoseReads("g-1", 1)
			must.Eq(t, "ABORTED E", c.ask("FETCH k"))
		}, dispatcher.ReasonNoAnswer, []string{"c1-2"}},
		{"statement after a failed one", nil, func(t *testing.T, s *stage) {
			c := s.call(t, "strict")
			must.Eq(t, "T", c.ask("BEGIN"))
			s.group.LoseReads("g-1", 1)
			must.Eq(t, "ABORTED E", c.ask("FETCH k"))
			must.Eq(t, "MALFORMED E", c.ask("PUT k v"))
			must.Eq(t, "ABORTED I", c.ask("COMMIT"))
		}, dispatcher.ReasonFailedBefore, []string{"c1-4"}},
		{"the answer is lost", func(s *stage) { s.group.LoseAnswers("g-1", 1) }, say("INDOUBT I", "PUT k v"), dispatcher.ReasonOutcomeUnknown, []string{"c1-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, 0, func(t *testing.T, s *stage) {
				if c.before != nil {
					c.before(s)
				}
				c.does(t, s)
				s.mutex.Lock()
				defer s.mutex.Unlock()
				must.SliceContains(t, s.refused, c.reason)
				must.True(t, slices.ContainsFunc(s.decisions, func(line string) bool {
					told := strings.Contains(line, string(c.reason))
					for _, f := range c.fields {
						told = told && strings.Contains(line, f)
					}
					return told
				}))
			})
		})
	}
}

// Something between two callers and the instance resets their connections, one of them in
// a transaction whose first statement has run. Afterwards the log tells both, with their
// last request, the member that held the transaction and that it was open: the member has
// rolled it back, so its write is not kept.
func TestCutCallersAreTold(t *testing.T) {
	play(t, 0, func(t *testing.T, s *stage) {
		idle, open := s.call(t, "own"), s.call(t, "strict")
		must.Eq(t, "I", idle.ask("PUT j v"))
		must.Eq(t, "T", open.ask("BEGIN"))
		must.Eq(t, "T", open.ask("PUT k v"))
		s.net.Kill("10.7.0.1")
		s.net.Kill("10.7.0.2")
		time.Sleep(100 * time.Millisecond)
		s.mutex.Lock()
		told := strings.Join(s.decisions, "")
		s.mutex.Unlock()
		must.StrContains(t, told, "session id c1-1 outcome caller-cut database own caller 10.7.0.1")
		must.StrContains(t, told, "session id c2-2 outcome caller-cut database strict caller 10.7.0.2")
		must.StrContains(t, told, "in-transaction true member g-1")
		must.Eq(t, "none I", s.call(t, "strict").ask("FETCH k"))
	})
}
