package forwarder_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/exchanger"
	"github.com/oriolegw/oriolegw/internal/forwarder"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

var key = []linker.Secret{{KeyNumber: 1, Value: []byte("key")}}

// fixture is a group, a lending instance, and the client of a borrowing one.
type fixture struct {
	net      *netsimulator.Net
	pool     *lender.Pool
	lender   *forwarder.Forwarder
	links    *linker.Client
	draining atomic.Bool
}

const lenderAddress = "10.8.0.1:7100"

// withLender runs a test with a lending instance on virtual time.
func withLender(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	withLenderPool(t, func(*lender.Pool) {}, test)
}

// withLenderPool is withLender with additional setup of the lender's pool.
func withLenderPool(t *testing.T, prepare func(*lender.Pool), test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n, begin := netsimulator.New(1), time.Now()
		n.Latency = func(_, _ *netsimulator.Host) time.Duration { return time.Millisecond }
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		g := &groupsimulator.Group{Name: "g", Net: n, ReplicationDelay: time.Millisecond, PromotionDelay: time.Second, StatementTime: 5 * time.Millisecond, MaxConnections: 8}
		g.Start(ctx, "a", "b", "c")
		known := &tracker.Group{Name: "g", Zone: "a", SameRegion: func(string) bool { return false }}
		known.SetMembers(g.Registrations())
		host := n.Host("10.8.0.1", "a")
		f := &fixture{net: n, pool: &lender.Pool{Group: known, Network: host, Codec: platform.LineCodec{}, ClientName: "lender", Clock: clock}}
		f.pool.Configure(8, nil)
		prepare(f.pool)
		discovery := &discoverer.Discoverer{Self: discoverer.Peer{Name: "lender", Address: lenderAddress, Zone: "a"}, SameRegion: known.SameRegion}
		f.lender = &forwarder.Forwarder{
			Discoverer: discovery, Codec: platform.LineCodec{}, Clock: clock, Draining: f.draining.Load, Log: func(...any) {},
			Pool: func(group string) *lender.Pool {
				if group != "g" {
					return nil
				}
				return f.pool
			},
		}
		x := &exchanger.Exchanger{Discoverer: discovery, Clock: clock, Log: func(...any) {}, Lend: f.lender.ServeLoans}
		server := &linker.Server{
			Address: lenderAddress, Network: host, Secrets: key, Versions: linker.CurrentVersions,
			Log: log.NewNopLogger(), Count: func(string) {}, Register: x.Register,
		}
		f.links = &linker.Client{Network: n.Host("10.8.0.2", "a"), Secrets: key, Versions: linker.CurrentVersions}
		ended := make(chan error, 2)
		go func() { ended <- f.pool.Run(ctx) }()
		go func() { ended <- server.Run(ctx) }()
		time.Sleep(time.Second)
		defer func() {
			f.links.Close()
			cancel()
			<-ended
			<-ended
			g.Wait()
		}()
		test(t, f)
	})
}

// openStream opens a raw loan stream to the lender.
func (f *fixture) openStream(t *testing.T) (wire.DRPCNeighbours_LendClient, func()) {
	t.Helper()
	conn, err := f.links.Dial(t.Context(), lenderAddress)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	x, err := wire.NewDRPCNeighboursClient(conn).Lend(ctx)
	must.NoError(t, err)
	return x, func() {
		cancel()
		_ = conn.Close()
		synctest.Wait()
	}
}

func loanRequest(members ...string) *wire.LendRequest {
	return &wire.LendRequest{Ask: &wire.LendAsk{Group: "g", Members: members, WaitMs: 500}}
}

// mustExchange checks that the lender can still use its own connections.
func (f *fixture) mustExchange(t *testing.T) {
	t.Helper()
	c, err := f.pool.Borrow(t.Context(), lender.Request{EligibleMembers: func() []string { return []string{"g-1"} }, Deadline: time.Now().Add(time.Second)})
	must.NoError(t, err)
	replies, _, err := c.Exchange([]messenger.Command{{ID: "x", Kind: messenger.KindRead, Text: "FETCH k"}}, time.Now().Add(time.Second))
	must.NoError(t, err)
	must.Eq(t, messenger.CodeNone, replies[0].Code)
	must.StrHasSuffix(t, ".x", replies[0].Signature)
	f.pool.Return(c)
}

// A peer that violates the protocol loses its stream; the lender's own requests are served and
// never see another request's reply.
func TestMisbehavingPeers(t *testing.T) {
	cases := map[string]func(t *testing.T, f *fixture, x wire.DRPCNeighbours_LendClient){
		"unknown group": func(t *testing.T, _ *fixture, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(&wire.LendRequest{Ask: &wire.LendAsk{Group: "other", Members: []string{"g-1"}}}))
			r, err := x.Recv()
			must.NoError(t, err)
			must.Eq(t, wire.LendRefusal_UNREACHED, r.Refusal)
		},
		"unknown member": func(t *testing.T, _ *fixture, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(loanRequest("nobody")))
			r, err := x.Recv()
			must.NoError(t, err)
			must.Eq(t, wire.LendRefusal_UNREACHED, r.Refusal)
		},
		"data without a loan": func(t *testing.T, _ *fixture, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(&wire.LendRequest{Data: []byte("QUERY a FETCH k\r\n")}))
			_, err := x.Recv()
			must.Error(t, err)
		},
		"overlapping requests": func(t *testing.T, _ *fixture, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(loanRequest("g-1")))
			must.NoError(t, x.Send(loanRequest("g-1")))
			_, err := x.Recv()
			must.NoError(t, err)
			_, err = x.Recv()
			must.Error(t, err)
		},
		"disconnects during a statement": func(t *testing.T, _ *fixture, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(loanRequest("g-1")))
			_, err := x.Recv()
			must.NoError(t, err)
			must.NoError(t, x.Send(&wire.LendRequest{Data: []byte("QUERY a FETCH k\r\nQUERY b FET")}))
		},
		"returned with a reply outstanding": func(t *testing.T, _ *fixture, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(loanRequest("g-1")))
			_, err := x.Recv()
			must.NoError(t, err)
			must.NoError(t, x.Send(&wire.LendRequest{Data: []byte("QUERY a FETCH other\r\n")}))
			must.NoError(t, x.Send(&wire.LendRequest{End: &wire.LendEnd{}}))
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withLender(t, func(t *testing.T, f *fixture) {
				x, end := f.openStream(t)
				c(t, f, x)
				end()
				for range 3 {
					f.mustExchange(t)
				}
				must.Eq(t, 0, f.lender.LentCount())
			})
		})
	}
}

// A draining instance must not take on transactions that its shutdown would abort.
func TestDrainingInstanceRefusesNewLoans(t *testing.T) {
	withLender(t, func(t *testing.T, f *fixture) {
		x, end := f.openStream(t)
		defer end()
		must.NoError(t, x.Send(loanRequest("g-1")))
		r, err := x.Recv()
		must.NoError(t, err)
		must.Eq(t, "g-1", r.Member)
		must.NoError(t, x.Send(&wire.LendRequest{End: &wire.LendEnd{}}))
		f.draining.Store(true)
		must.NoError(t, x.Send(loanRequest("g-1")))
		r, err = x.Recv()
		must.NoError(t, err)
		must.Eq(t, wire.LendRefusal_UNREACHED, r.Refusal)
	})
}

// Two instances that each consider the other the holder must not forward a request in a loop.
func TestLoansAreNotForwarded(t *testing.T) {
	var forwarded atomic.Int64
	forward := func() (*lender.Conn, error) {
		forwarded.Add(1)
		return nil, lender.ErrNoConnection
	}
	prepare := func(p *lender.Pool) {
		p.HeldElsewhere = func(string, string) bool { return true }
		p.BorrowFromHolder = func(context.Context, string, lender.Request) (*lender.Conn, error) { return forward() }
		p.BorrowRemote = func(context.Context, string, []string, lender.Request) (*lender.Conn, error) { return forward() }
	}
	withLenderPool(t, prepare, func(t *testing.T, f *fixture) {
		x, end := f.openStream(t)
		defer end()
		must.NoError(t, x.Send(loanRequest("g-1")))
		r, err := x.Recv()
		must.NoError(t, err)
		must.Eq(t, "g-1", r.Member)
		must.NoError(t, x.Send(&wire.LendRequest{End: &wire.LendEnd{}}))
		f.net.Partition("10.8.0.1", "10.9.1.1")
		time.Sleep(3 * time.Second)
		for range 5 {
			must.NoError(t, x.Send(loanRequest("g-1")))
			r, err = x.Recv()
			must.NoError(t, err)
			if r.Refusal == wire.LendRefusal_NOT_REFUSED {
				must.NoError(t, x.Send(&wire.LendRequest{End: &wire.LendEnd{Broken: true}}))
			}
		}
		must.Eq(t, int64(0), forwarded.Load())
	})
}

// The cached holders of a just started instance are replaced as soon as it discovers its peers,
// so that it doesn't open connections of its own until the cache expires.
func TestHoldersFollowFirstDiscovery(t *testing.T) {
	i := &discoverer.Discoverer{Self: discoverer.Peer{Name: "z", Address: "z:1", Zone: "a", Millicores: 192}, SameRegion: func(string) bool { return false }}
	c := &forwarder.Forwarder{
		Discoverer: i, Clock: func() tracker.Timestamp { return time.Hour }, Connections: func(string) int { return 12 }, Zones: 3, Log: func(...any) {},
	}
	must.False(t, c.HeldElsewhere("g", "g-1"))
	for n := range 9 {
		name := fmt.Sprint("p", n)
		i.RecordListed(time.Hour, discoverer.Peer{Name: name, Address: name + ":1", Zone: "a", Millicores: 800})
	}
	must.True(t, c.HeldElsewhere("g", "g-1"))
}

// rankings returns how often the holders of groups are ranked within a minute in which no instance
// of the zone changes, while peers in other zones come and go.
func rankings(instances, groups int) int {
	now := time.Hour
	i := &discoverer.Discoverer{Self: discoverer.Peer{Name: "z", Address: "z:1", Zone: "a", Millicores: 192}, SameRegion: func(string) bool { return false }}
	c := &forwarder.Forwarder{
		Discoverer: i, Clock: func() tracker.Timestamp { return now }, Connections: func(string) int { return 12 }, Zones: 3, Log: func(...any) {},
	}
	for n := range instances {
		name := fmt.Sprint("p", n)
		i.RecordListed(now, discoverer.Peer{Name: name, Address: name + ":1", Zone: "a", Millicores: 800})
	}
	for n := range 600 {
		now += 100 * time.Millisecond
		name := fmt.Sprint("q", n%300)
		i.RecordContact(now, discoverer.Peer{Name: name, Address: name + ":1", Zone: "b"})
		for g := range groups {
			c.HeldElsewhere(fmt.Sprint("g", g), "m")
		}
	}
	return c.RankingCount()
}

// Guards against rankings at regular intervals, whose cost is the product of groups and instances.
func TestRankingsFollowChanges(t *testing.T) {
	must.Eq(t, 20, rankings(60, 20))
	must.Eq(t, 40, rankings(60, 40))
	must.Eq(t, 20, rankings(120, 20))
}

// Guards against a borrower that waits for its whole time at a holder whose queue is too long, or
// that is told no retry time: the refusal names the expected wait.
func TestRefusalNamesExpectedWait(t *testing.T) {
	withLender(t, func(t *testing.T, f *fixture) {
		for range 8 {
			_, err := f.pool.Borrow(t.Context(), lender.Request{EligibleMembers: func() []string { return []string{"g-1"} }, Deadline: time.Now().Add(2 * time.Second)})
			if err != nil {
				break // all connections are lent
			}
		}
		x, end := f.openStream(t)
		defer end()
		ask := loanRequest("g-1")
		ask.Ask.LatestStartMs = 300
		must.NoError(t, x.Send(ask))
		r, err := x.Recv()
		must.NoError(t, err)
		must.Eq(t, wire.LendRefusal_FULL, r.Refusal)
		must.Positive(t, r.AgainMs)
	})
}
