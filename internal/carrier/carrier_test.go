package carrier_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/carrier"
	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/standin/liner"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/teller"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

var key = []linker.Secret{{Number: 1, Value: []byte("key")}}

// stage is a group, an instance that lends, and the links of one that borrows.
type stage struct {
	net    *wirer.Net
	pool   *lender.Pool
	lender *carrier.Carrier
	links  *linker.Client
	// leaving is what the lender says of itself.
	leaving atomic.Bool
}

const lenderAddress = "10.8.0.1:7100"

func play(t *testing.T, happens func(t *testing.T, s *stage)) {
	t.Helper()
	playPool(t, func(*lender.Pool) {}, happens)
}

// playPool is play with fields of the lender's pool set before it runs.
func playPool(t *testing.T, prepare func(*lender.Pool), happens func(t *testing.T, s *stage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n, begin := wirer.New(1), time.Now()
		n.Latency = func(_, _ *wirer.Host) time.Duration { return time.Millisecond }
		clock := func() tracker.Stamp { return time.Since(begin) + time.Hour }
		g := &liner.Group{Name: "g", Net: n, Travel: time.Millisecond, Promotion: time.Second, Work: 5 * time.Millisecond, Connections: 8}
		g.Start(ctx, "a", "b", "c")
		known := &tracker.Group{Name: "g", Zone: "a", Near: func(string) bool { return false }}
		known.Members(g.Registered())
		host := n.Host("10.8.0.1", "a")
		s := &stage{net: n, pool: &lender.Pool{Group: known, Network: host, Codec: platform.Lines{}, Who: "lender", Clock: clock}}
		s.pool.Configure(8, nil)
		prepare(s.pool)
		nobody := &introducer.Introducer{Self: introducer.Peer{Name: "lender", Address: lenderAddress, Zone: "a"}, Near: known.Near}
		s.lender = &carrier.Carrier{
			Introducer: nobody, Codec: platform.Lines{}, Clock: clock, Leaving: s.leaving.Load, Log: func(...any) {},
			Pool: func(group string) *lender.Pool {
				if group != "g" {
					return nil
				}
				return s.pool
			},
		}
		x := &teller.Teller{Introducer: nobody, Clock: clock, Log: func(...any) {}, Lend: s.lender.Lend}
		server := &linker.Server{
			Address: lenderAddress, Network: host, Secrets: key, Versions: linker.CurrentVersions,
			Log: log.NewNopLogger(), Count: func(string) {}, Register: x.Register,
		}
		s.links = &linker.Client{Network: n.Host("10.8.0.2", "a"), Secrets: key, Versions: linker.CurrentVersions}
		ended := make(chan error, 2)
		go func() { ended <- s.pool.Run(ctx) }()
		go func() { ended <- server.Run(ctx) }()
		time.Sleep(time.Second)
		defer func() {
			s.links.Close()
			cancel()
			<-ended
			<-ended
			g.Wait()
		}()
		happens(t, s)
	})
}

// stream opens a lane as a peer does that keeps to nothing.
func (s *stage) stream(t *testing.T) (wire.DRPCNeighbours_LendClient, func()) {
	t.Helper()
	conn, err := s.links.Open(t.Context(), lenderAddress)
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

func ask(members ...string) *wire.LendRequest {
	return &wire.LendRequest{Ask: &wire.LendAsk{Group: "g", Members: members, WaitMs: 500}}
}

// mustServe shows that the lender's own callers still find a working connection.
func (s *stage) mustServe(t *testing.T) {
	t.Helper()
	c, err := s.pool.Borrow(t.Context(), lender.Request{Choose: func() []string { return []string{"g-1"} }, Until: time.Now().Add(time.Second)})
	must.NoError(t, err)
	replies, _, err := c.Exchange([]messenger.Command{{ID: "x", Kind: messenger.KindRead, Text: "FETCH k"}}, time.Now().Add(time.Second))
	must.NoError(t, err)
	must.Eq(t, messenger.CodeNone, replies[0].Code)
	must.StrHasSuffix(t, ".x", replies[0].Signature)
	s.pool.Return(c)
}

// A peer asks for what is not there, speaks out of turn, leaves in the middle of a
// statement, or gives a connection back with an answer still to come. It loses its lane;
// the lender's own callers are served, and nobody gets another's answer.
func TestPeersThatKeepToNothing(t *testing.T) {
	cases := map[string]func(t *testing.T, s *stage, x wire.DRPCNeighbours_LendClient){
		"unknown group": func(t *testing.T, _ *stage, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(&wire.LendRequest{Ask: &wire.LendAsk{Group: "other", Members: []string{"g-1"}}}))
			r, err := x.Recv()
			must.NoError(t, err)
			must.Eq(t, wire.LendRefusal_UNREACHED, r.Refusal)
		},
		"unknown member": func(t *testing.T, _ *stage, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(ask("nobody")))
			r, err := x.Recv()
			must.NoError(t, err)
			must.Eq(t, wire.LendRefusal_UNREACHED, r.Refusal)
		},
		"data without a loan": func(t *testing.T, _ *stage, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(&wire.LendRequest{Data: []byte("QUERY a FETCH k\r\n")}))
			_, err := x.Recv()
			must.Error(t, err)
		},
		"two requests at once": func(t *testing.T, _ *stage, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(ask("g-1")))
			must.NoError(t, x.Send(ask("g-1")))
			_, err := x.Recv()
			must.NoError(t, err)
			_, err = x.Recv()
			must.Error(t, err)
		},
		"gone in a statement": func(t *testing.T, _ *stage, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(ask("g-1")))
			_, err := x.Recv()
			must.NoError(t, err)
			must.NoError(t, x.Send(&wire.LendRequest{Data: []byte("QUERY a FETCH k\r\nQUERY b FET")}))
		},
		"given back with an answer to come": func(t *testing.T, _ *stage, x wire.DRPCNeighbours_LendClient) {
			must.NoError(t, x.Send(ask("g-1")))
			_, err := x.Recv()
			must.NoError(t, err)
			must.NoError(t, x.Send(&wire.LendRequest{Data: []byte("QUERY a FETCH other\r\n")}))
			must.NoError(t, x.Send(&wire.LendRequest{End: &wire.LendEnd{}}))
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, s *stage) {
				x, end := s.stream(t)
				c(t, s, x)
				end()
				for range 3 {
					s.mustServe(t)
				}
				must.Eq(t, 0, s.lender.Lent())
			})
		})
	}
}

// An instance has been told to end. A peer's transaction that it still took on would be cut
// when it ends, a few seconds later, while others could have carried it to its commit.
func TestLeavingInstanceLendsNothingNew(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		x, end := s.stream(t)
		defer end()
		must.NoError(t, x.Send(ask("g-1")))
		r, err := x.Recv()
		must.NoError(t, err)
		must.Eq(t, "g-1", r.Member)
		must.NoError(t, x.Send(&wire.LendRequest{End: &wire.LendEnd{}}))
		s.leaving.Store(true)
		must.NoError(t, x.Send(ask("g-1")))
		r, err = x.Recv()
		must.NoError(t, err)
		must.Eq(t, wire.LendRefusal_UNREACHED, r.Refusal)
	})
}

// Two instances each take the other for the holder of the zone's connections, or each
// can't reach a member and asks the other. What a peer asks for is served from own
// connections or not at all: passed on, a request would go round until its time is up, and
// take a lane from each instance on its way.
func TestLoansTakeOneHop(t *testing.T) {
	var passedOn atomic.Int64
	pass := func() (*lender.Conn, error) {
		passedOn.Add(1)
		return nil, lender.ErrFull
	}
	prepare := func(p *lender.Pool) {
		p.Elsewhere = func(string, string) bool { return true }
		p.Central = func(context.Context, string, lender.Request) (*lender.Conn, error) { return pass() }
		p.Carry = func(context.Context, string, []string, lender.Request) (*lender.Conn, error) { return pass() }
	}
	playPool(t, prepare, func(t *testing.T, s *stage) {
		x, end := s.stream(t)
		defer end()
		must.NoError(t, x.Send(ask("g-1")))
		r, err := x.Recv()
		must.NoError(t, err)
		must.Eq(t, "g-1", r.Member)
		must.NoError(t, x.Send(&wire.LendRequest{End: &wire.LendEnd{}}))
		s.net.Cut("10.8.0.1", "10.9.1.1")
		time.Sleep(3 * time.Second)
		for range 5 {
			must.NoError(t, x.Send(ask("g-1")))
			r, err = x.Recv()
			must.NoError(t, err)
			if r.Refusal == wire.LendRefusal_NOT_REFUSED {
				must.NoError(t, x.Send(&wire.LendRequest{End: &wire.LendEnd{Broken: true}}))
			}
		}
		must.Eq(t, int64(0), passedOn.Load())
	})
}

// An instance has just started and asked for a group's holders before it has read who else
// there is. When it has, another holds the zone's connections at once, not half a second
// later: until then it would open its own.
func TestHoldersFollowTheFirstReading(t *testing.T) {
	i := &introducer.Introducer{Self: introducer.Peer{Name: "z", Address: "z:1", Zone: "a", Millicores: 192}, Near: func(string) bool { return false }}
	c := &carrier.Carrier{
		Introducer: i, Clock: func() tracker.Stamp { return time.Hour }, Connections: func(string) int { return 12 }, Zones: 3, Log: func(...any) {},
	}
	must.False(t, c.Elsewhere("g", "g-1"))
	for n := range 9 {
		name := fmt.Sprint("p", n)
		i.HeardOf(time.Hour, introducer.Peer{Name: name, Address: name + ":1", Zone: "a", Millicores: 800})
	}
	must.True(t, c.Elsewhere("g", "g-1"))
}
