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
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

const (
	address = "10.8.0.1:5000"
	// otherGroup is the name of the second group.
	otherGroup = "other"
	// connectDelay gives the pool time to open its connections.
	connectDelay = 500 * time.Millisecond
)

type (
	// harness is one instance in front of groups of three members each. Routes lead to group, until
	// moveRoutes is called.
	harness struct {
		net          *netsimulator.Net
		group        *groupsimulator.Group
		backends     map[string]*dispatcher.Backend
		server       *dispatcher.Server
		trackedGroup *tracker.Group
		pool         *lender.Pool
		clock        func() tracker.Timestamp
		clients      int

		// unconfigured makes the instance run without a configuration.
		unconfigured  atomic.Bool
		configuration atomic.Pointer[tracker.Configuration]

		mutex     sync.Mutex
		decisions []string
		refusals  []dispatcher.Reason
	}

	// client is one caller's connection.
	client struct {
		t       *testing.T
		conn    net.Conn
		reader  *bufio.Reader
		queries int
		name    string
	}
)

// routes has one database for each consistency rule.
var routes = map[string]tracker.Route{
	"strict":  {Database: "strict", Group: "g", Rule: tracker.RulePrimary, Timeout: time.Second, LatencyObjective: 400 * time.Millisecond},
	"bounded": {Database: "bounded", Group: "g", Rule: tracker.RuleBounded, Staleness: 1500 * time.Millisecond, Timeout: time.Second, LatencyObjective: 800 * time.Millisecond},
	"own":     {Database: "own", Group: "g", Rule: tracker.RuleReadYourWrites, Staleness: 2500 * time.Millisecond, Timeout: time.Second, LatencyObjective: 800 * time.Millisecond},
}

// runHarness runs a test against an instance and a group whose replicas apply changes after a lag.
func runHarness(t *testing.T, lag time.Duration, test func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := netsimulator.New(1)
		n.Latency = func(_, _ *netsimulator.Host) time.Duration { return time.Millisecond }
		h := &harness{net: n, backends: map[string]*dispatcher.Backend{}}
		begin := time.Now()
		h.clock = func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		host := n.Host("10.8.0.1", "b")
		h.group = h.startGroup(ctx, "g", host, lag)
		h.trackedGroup, h.pool = h.backends["g"].Group, h.backends["g"].Pool
		other := h.startGroup(ctx, otherGroup, host, lag)
		h.configuration.Store(&tracker.Configuration{Version: 1, Routes: routes, TransactionIdleTimeout: time.Second})
		none := func(dispatcher.Reason) {}
		h.server = &dispatcher.Server{
			Address: address, Network: host, Codec: platform.LineCodec{}, Clock: h.clock,
			Configuration: func() *tracker.Configuration {
				if h.unconfigured.Load() {
					return nil
				}
				return h.configuration.Load()
			},
			Backend:     func(group string) *dispatcher.Backend { return h.backends[group] },
			LogDecision: h.recordDecision, LogServed: func(...any) {},
			Count: func(string) {}, CountRefused: h.recordRefusal, CountRetried: none, RecordServed: func(tracker.Route, time.Duration) {},
		}
		var running sync.WaitGroup
		for _, b := range h.backends {
			running.Go(func() { _ = b.Pool.Run(ctx) })
		}
		running.Go(func() { _ = h.server.Run(ctx) })
		defer func() {
			cancel()
			running.Wait()
			h.group.Wait()
			other.Wait()
			if t.Failed() {
				t.Log(strings.Join(h.decisions, ""))
			}
		}()
		time.Sleep(connectDelay)
		test(t, h)
	})
}

// startGroup starts a group whose replicas apply changes after a lag.
func (h *harness) startGroup(ctx context.Context, name string, host *netsimulator.Host, lag time.Duration) *groupsimulator.Group {
	g := &groupsimulator.Group{
		Name: name, Net: h.net, ReplicationDelay: 2 * time.Millisecond, ApplyLag: lag, PromotionDelay: 600 * time.Millisecond, MaxConnections: 20, StatementTime: 5 * time.Millisecond,
	}
	g.Start(ctx, "a", "b", "c")
	tracked := &tracker.Group{Name: name, Zone: "b", SameRegion: func(zone string) bool { return zone == "b" }}
	tracked.SetMembers(g.Registrations())
	pool := &lender.Pool{Group: tracked, Network: host, Codec: platform.LineCodec{}, ClientName: "test", Clock: h.clock}
	pool.Configure(20, nil)
	h.backends[name] = &dispatcher.Backend{Group: tracked, Pool: pool, ReportSuspect: func(string) {}}
	return g
}

// moveRoutes makes all routes lead to a group.
func (h *harness) moveRoutes(group string) {
	c := *h.configuration.Load()
	moved := map[string]tracker.Route{}
	for name, r := range c.Routes {
		r.Group = group
		moved[name] = r
	}
	c.Version, c.Routes = c.Version+1, moved
	h.configuration.Store(&c)
}

func (h *harness) recordDecision(part string, fields ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.decisions = append(h.decisions, part+" "+fmt.Sprintln(fields...))
}

func (h *harness) recordRefusal(r dispatcher.Reason) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.refusals = append(h.refusals, r)
}

// connect opens a session.
func (h *harness) connect(t *testing.T, database string) *client {
	t.Helper()
	h.clients++
	conn, err := h.net.Host(fmt.Sprintf("10.7.0.%d", h.clients), "b").Dial(t.Context(), address)
	must.NoError(t, err)
	c := &client{t: t, conn: conn, reader: bufio.NewReader(conn), name: fmt.Sprintf("c%d", h.clients)}
	fmt.Fprintf(conn, "STARTUP %s me\r\n", database)
	must.Eq(t, "READY I -", c.readLine())
	return c
}

func (c *client) readLine() string {
	c.t.Helper()
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := c.reader.ReadString('\n')
		must.NoError(c.t, err)
		line += part
	}
	return strings.TrimSuffix(line, "\r\n")
}

// query sends a statement and returns its reply in one line, without the position.
func (c *client) query(text string) string {
	c.t.Helper()
	c.queries++
	fmt.Fprintf(c.conn, "QUERY %s-%d %s\r\n", c.name, c.queries, text)
	var fields []string
	for {
		word, rest, _ := strings.Cut(c.readLine(), " ")
		switch word {
		case "DATAROW":
			fields = append(fields, rest)
		case "ERROR":
			code, _, _ := strings.Cut(rest, " ")
			fields = append(fields, code)
		case "READY":
			state, _, _ := strings.Cut(rest, " ")
			return strings.Join(append(fields, state), " ")
		}
	}
}

// executions counts how often the members have run statements that contain a text.
func (h *harness) executions(text string) int {
	n := 0
	for _, id := range []string{"g-1", "g-2", "g-3"} {
		for _, r := range h.group.Executed(id) {
			if strings.Contains(r, text) {
				n++
			}
		}
	}
	return n
}

// A read must see the session's own previous write although replicas lag.
func TestReadYourWrites(t *testing.T) {
	runHarness(t, 500*time.Millisecond, func(t *testing.T, h *harness) {
		c := h.connect(t, "own")
		for i := range 20 {
			must.Eq(t, "I", c.query(fmt.Sprintf("PUT k v%d", i)))
			must.Eq(t, fmt.Sprintf("v%d I", i), c.query("FETCH k"))
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// Guards against reads that lack the session's own commit after its route has moved to another group,
// where it has committed as well, and back.
func TestReadYourWritesAfterRouteReturns(t *testing.T) {
	for name, test := range map[string]struct {
		write func(c *client, value string)
		read  func(c *client) string
	}{
		"single statements": {
			write: func(c *client, value string) { must.Eq(c.t, "I", c.query("PUT k "+value)) },
			read:  func(c *client) string { return c.query("FETCH k") },
		},
		"transactions": {
			write: func(c *client, value string) {
				must.Eq(c.t, "T", c.query("BEGIN"))
				must.Eq(c.t, "T", c.query("PUT k "+value))
				must.Eq(c.t, "I", c.query("COMMIT"))
			},
			read: func(c *client) string {
				must.Eq(c.t, "T", c.query("BEGIN FETCH"))
				row := c.query("FETCH k")
				must.Eq(c.t, "I", c.query("ROLLBACK"))
				return strings.TrimSuffix(row, " T") + " I"
			},
		},
	} {
		for _, moves := range [][]string{{otherGroup, "g"}, {otherGroup, "g", otherGroup, "g"}} {
			t.Run(fmt.Sprint(name, ", ", len(moves), " moves"), func(t *testing.T) {
				runHarness(t, 2*time.Second, func(t *testing.T, h *harness) {
					w := h.connect(t, "strict")
					for i := range 50 {
						must.Eq(t, "I", w.query(fmt.Sprintf("PUT x v%d", i)))
					}
					// The replicas have applied these writes, and a proof allows reads there.
					time.Sleep(3 * time.Second)
					must.Eq(t, "v49 I", w.query("FETCH x"))
					c := h.connect(t, "own")
					for n, group := range append([]string{"g"}, moves...) {
						h.moveRoutes(group)
						if n < len(moves) {
							test.write(c, "in-"+group)
						}
					}
					for range 5 {
						must.Eq(t, "in-g I", test.read(c))
					}
				})
			})
		}
	}
}

// Guards against data that starts another statement: a line feed or a carriage return alone doesn't end
// a message, and reaches the member unchanged.
func TestLineBreakInData(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		for _, data := range []string{"a\nQUERY x PUT other b", "a\rQUERY x PUT other b", "\n\n", "a\r", "a\n\r"} {
			c := h.connect(t, "strict")
			must.Eq(t, "I", c.query("PUT k "+data))
			must.Eq(t, data+" I", c.query("FETCH k"))
			must.Eq(t, "I", c.query("SET v "+data))
			must.Eq(t, data+" with v="+data+" I", c.query("FETCH k"))
		}
		must.Eq(t, "none I", h.connect(t, "strict").query("FETCH other"))
	})
}

// A read with a staleness bound is served by the replica in the instance's zone.
func TestBoundedStalenessReadUsesReplica(t *testing.T) {
	runHarness(t, 20*time.Millisecond, func(t *testing.T, h *harness) {
		w := h.connect(t, "strict")
		must.Eq(t, "I", w.query("PUT k v"))
		time.Sleep(time.Second)
		must.Eq(t, "v I", h.connect(t, "bounded").query("FETCH k"))
		must.Eq(t, 1, countContaining(h.group.Executed("g-2"), "FETCH k"))
	})
}

func countContaining(list []string, text string) int {
	return len(slices.DeleteFunc(slices.Clone(list), func(x string) bool { return !strings.Contains(x, text) }))
}

// Another member was promoted, and this instance still considers the former primary to be the
// primary. Reads and writes there must fail rather than return stale data.
func TestFormerPrimaryReadsAreRejected(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		c := h.connect(t, "strict")
		must.Eq(t, "I", c.query("PUT k old"))
		h.group.BlockReplication("g-1", "g-2", "g-3")
		must.NoError(t, h.group.Promote("g-2"))
		time.Sleep(time.Second)
		must.Eq(t, "g-1", h.trackedGroup.Primary())
		must.Eq(t, "BUSY I", c.query("FETCH k"))
		must.Eq(t, "BUSY I", c.query("PUT k new"))
	})
}

// A write whose reply is lost is reported as unknown and never sent again.
func TestLostReplyReportsUnknownOutcome(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		c := h.connect(t, "strict")
		h.group.DropWriteResponses("g-1", 1)
		must.Eq(t, "INDOUBT I", c.query("PUT k once"))
		must.Eq(t, 1, h.executions("PUT k once"))
		must.Eq(t, "once I", c.query("FETCH k"))
	})
}

// A lost reply to a commit means an unknown outcome; a connection lost earlier means a rollback.
func TestTransactionOutcome(t *testing.T) {
	t.Run("reply to the commit is lost", func(t *testing.T) {
		runHarness(t, 0, func(t *testing.T, h *harness) {
			c := h.connect(t, "strict")
			must.Eq(t, "T", c.query("BEGIN"))
			must.Eq(t, "T", c.query("PUT k in"))
			h.group.DropWriteResponses("g-1", 1)
			must.Eq(t, "INDOUBT I", c.query("COMMIT"))
		})
	})
	t.Run("primary crashes before the commit", func(t *testing.T) {
		runHarness(t, 0, func(t *testing.T, h *harness) {
			c := h.connect(t, "strict")
			must.Eq(t, "T", c.query("BEGIN"))
			must.Eq(t, "T", c.query("PUT k in"))
			h.group.Crash("g-1")
			must.Eq(t, "ABORTED E", c.query("PUT k more"))
			must.Eq(t, "MALFORMED E", c.query("FETCH k"))
			must.Eq(t, "I", c.query("ROLLBACK"))
		})
	})
	t.Run("caller is idle for too long", func(t *testing.T) {
		runHarness(t, 0, func(t *testing.T, h *harness) {
			c := h.connect(t, "strict")
			must.Eq(t, "T", c.query("BEGIN"))
			must.Eq(t, "T", c.query("PUT k in"))
			time.Sleep(2 * time.Second)
			must.Eq(t, "ABORTED I", c.query("COMMIT"))
			must.Eq(t, "none I", c.query("FETCH k"))
		})
	})
	t.Run("caller disconnects", func(t *testing.T) {
		runHarness(t, 0, func(t *testing.T, h *harness) {
			c := h.connect(t, "strict")
			must.Eq(t, "T", c.query("BEGIN"))
			must.Eq(t, "T", c.query("PUT k in"))
			must.NoError(t, c.conn.Close())
			time.Sleep(time.Second)
			must.Eq(t, "none I", h.connect(t, "strict").query("FETCH k"))
		})
	})
}

// Session values and prepared statements of one session must not be visible to another on a
// shared member connection.
func TestSessionStateIsIsolated(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		a, b, plain := h.connect(t, "strict"), h.connect(t, "strict"), h.connect(t, "strict")
		must.Eq(t, "I", a.query("SET color red"))
		must.Eq(t, "I", b.query("SET color blue"))
		must.Eq(t, "I", b.query("SET size big"))
		must.Eq(t, "I", a.query("PARSE s1 FETCH one"))
		must.Eq(t, "I", b.query("PARSE s1 PUT two"))
		for range 3 {
			must.Eq(t, "none with color=red I", a.query("EXECUTE s1 k"))
			must.Eq(t, "I", b.query("EXECUTE s1 other value"))
			must.Eq(t, "none with color=blue,size=big I", b.query("FETCH k"))
			must.Eq(t, "none I", plain.query("FETCH k"))
		}
		must.Eq(t, "MALFORMED I", plain.query("EXECUTE s1 k"))
	})
}

// Draining closes idle sessions; a session in a transaction continues to its end.
func TestDrain(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		idle, open := h.connect(t, "strict"), h.connect(t, "strict")
		must.Eq(t, "T", open.query("BEGIN"))
		must.Eq(t, "T", open.query("PUT k v"))
		h.server.CloseSessions(false)
		_, err := idle.reader.ReadByte()
		must.Error(t, err)
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, "T", open.query("PUT k2 v"))
		must.Eq(t, "I", open.query("COMMIT"))
		_, err = open.reader.ReadByte()
		must.Error(t, err)
	})
}

// Malformed input affects only the session that sent it.
func TestMalformedInput(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		good := h.connect(t, "strict")
		bad := h.connect(t, "strict")
		must.Eq(t, "MALFORMED I", bad.query("NONSENSE"))
		must.Eq(t, "MALFORMED I", bad.query("BEGIN SOMETHING"))
		must.Eq(t, "MALFORMED I", bad.query("COMMIT"))
		must.Eq(t, "I", bad.query("PUT k v"))
		must.Eq(t, "v I", good.query("FETCH k"))
		conn, err := h.net.Host("10.7.1.1", "b").Dial(t.Context(), address)
		must.NoError(t, err)
		fmt.Fprintf(conn, "STARTUP nowhere me\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		must.NoError(t, err)
		must.Eq(t, "ERROR NODB nowhere\r\n", line)
	})
}

// Every refusal and failure is counted and logged with its reason and the statement's ID.
func TestEveryRefusalIsLogged(t *testing.T) {
	sendStart := func(line, want string) func(t *testing.T, h *harness) {
		return func(t *testing.T, h *harness) {
			conn, err := h.net.Host("10.7.9.9", "b").Dial(t.Context(), address)
			must.NoError(t, err)
			fmt.Fprint(conn, line)
			c := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
			must.StrHasPrefix(t, want, c.readLine())
			must.NoError(t, conn.Close())
		}
	}
	runStatements := func(want string, texts ...string) func(t *testing.T, h *harness) {
		return func(t *testing.T, h *harness) {
			c := h.connect(t, "strict")
			var last string
			for _, text := range texts {
				last = c.query(text)
			}
			must.Eq(t, want, last)
		}
	}
	cases := []struct {
		name   string
		setup  func(h *harness)
		run    func(t *testing.T, h *harness)
		reason dispatcher.Reason
		fields []string
	}{
		{"no configuration", func(h *harness) { h.unconfigured.Store(true) }, sendStart("STARTUP strict me\r\n", "ERROR BUSY no-configuration, not run, retry in "), dispatcher.ReasonNoConfiguration, []string{"strict", "10.7.9.9"}},
		{"malformed start message", nil, sendStart("HELLO\r\n", "ERROR MALFORMED"), "malformed", []string{"10.7.9.9"}},
		{"unknown database", nil, sendStart("STARTUP other me\r\n", "ERROR NODB"), "unknown-database", []string{"other"}},
		{"malformed statement", nil, runStatements("MALFORMED I", "JUMP"), "malformed", []string{"c1-1"}},
		{"commit without a transaction", nil, runStatements("MALFORMED I", "COMMIT"), "malformed", []string{"c1-1"}},
		{"begin inside a transaction", nil, runStatements("MALFORMED T", "BEGIN", "BEGIN"), "malformed", []string{"c1-2"}},
		{"unknown prepared statement", nil, runStatements("MALFORMED I", "EXECUTE s1 k"), "malformed", []string{"c1-1"}},
		{"no connection to the primary", func(h *harness) { h.group.Crash("g-1") }, runStatements("BUSY I", "PUT k v", "PUT k v"), dispatcher.ReasonNoConnection, []string{"c1-2"}},
		{"no primary", func(h *harness) { h.trackedGroup.ClearPrimary("g-1") }, runStatements("BUSY I", "PUT k v"), dispatcher.ReasonNoPrimary, []string{"c1-1", " again-ms ", "wait timeout left-ms 0"}},
		{"lost reply in a transaction", nil, func(t *testing.T, h *harness) {
			c := h.connect(t, "strict")
			must.Eq(t, "T", c.query("BEGIN"))
			h.group.DropReadResponses("g-1", 1)
			must.Eq(t, "ABORTED E", c.query("FETCH k"))
		}, dispatcher.ReasonNoAnswer, []string{"c1-2"}},
		{"statement after a failed one in a transaction", nil, func(t *testing.T, h *harness) {
			c := h.connect(t, "strict")
			must.Eq(t, "T", c.query("BEGIN"))
			h.group.DropReadResponses("g-1", 1)
			must.Eq(t, "ABORTED E", c.query("FETCH k"))
			must.Eq(t, "MALFORMED E", c.query("PUT k v"))
			must.Eq(t, "ABORTED I", c.query("COMMIT"))
		}, dispatcher.ReasonTransactionFailed, []string{"c1-4"}},
		{"lost reply to a write", func(h *harness) { h.group.DropWriteResponses("g-1", 1) }, runStatements("INDOUBT I", "PUT k v"), dispatcher.ReasonOutcomeUnknown, []string{"c1-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, 0, func(t *testing.T, h *harness) {
				if c.setup != nil {
					c.setup(h)
				}
				c.run(t, h)
				h.mutex.Lock()
				defer h.mutex.Unlock()
				must.SliceContains(t, h.refusals, c.reason)
				must.True(t, slices.ContainsFunc(h.decisions, func(line string) bool {
					found := strings.Contains(line, string(c.reason))
					for _, f := range c.fields {
						found = found && strings.Contains(line, f)
					}
					return found
				}))
			})
		})
	}
}

// A reset connection is logged with its last statement, the member and whether a transaction
// was open; that transaction is rolled back.
func TestBrokenClientConnectionsAreLogged(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		idle, open := h.connect(t, "own"), h.connect(t, "strict")
		must.Eq(t, "I", idle.query("PUT j v"))
		must.Eq(t, "T", open.query("BEGIN"))
		must.Eq(t, "T", open.query("PUT k v"))
		h.net.Kill("10.7.0.1")
		h.net.Kill("10.7.0.2")
		time.Sleep(100 * time.Millisecond)
		h.mutex.Lock()
		log := strings.Join(h.decisions, "")
		h.mutex.Unlock()
		must.StrContains(t, log, "session id c1-1 outcome caller-cut database own caller 10.7.0.1")
		must.StrContains(t, log, "session id c2-2 outcome caller-cut database strict caller 10.7.0.2")
		must.StrContains(t, log, "in-transaction true member g-1")
		must.Eq(t, "none I", h.connect(t, "strict").query("FETCH k"))
	})
}
