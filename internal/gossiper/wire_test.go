package gossiper_test

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/standin/mesher"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
)

const serverAddress = "10.0.0.1:7100"

var fleetKey = []linker.Secret{{KeyNumber: 1, Value: []byte("one secret")}}

// withServer runs a test with a server on virtual time.
func withServer(t *testing.T, versions linker.Versions, test func(t *testing.T, client *gossiper.Client, n *netsimulator.Net, h *netsimulator.Host)) {
	t.Helper()
	withCountingServer(t, versions, func(string) {}, test)
}

func withCountingServer(t *testing.T, versions linker.Versions, count func(string), test func(t *testing.T, client *gossiper.Client, n *netsimulator.Net, h *netsimulator.Host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := netsimulator.New(1)
		ctx, cancel := context.WithCancel(context.Background())
		handlers := &gossiper.Server{
			Exchange: func(_ context.Context, r *wire.ExchangeRequest) (*wire.Report, error) {
				return &wire.Report{Version: r.Version}, nil
			},
			Configuration: func(*wire.FetchRequest) *wire.FetchReply {
				return &wire.FetchReply{Version: 7, Document: make([]byte, 1<<20)}
			},
		}
		s := &linker.Server{
			Address: serverAddress, Network: n.Host("10.0.0.1", "a"), Secrets: fleetKey, Versions: versions,
			Log: log.NewNopLogger(), Count: count, Register: handlers.Register,
		}
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		synctest.Wait()
		h := n.Host("10.0.0.2", "a")
		c := &gossiper.Client{Links: &linker.Client{Network: h, Secrets: fleetKey, Versions: linker.CurrentVersions}}
		defer func() {
			c.Links.Close()
			cancel()
			<-ended
		}()
		test(t, c, n, h)
	})
}

func mustExchange(t *testing.T, c *gossiper.Client) {
	t.Helper()
	r, _, err := c.Exchange(t.Context(), serverAddress, &wire.ExchangeRequest{Version: 3})
	must.NoError(t, err)
	must.Eq(t, 3, r.Version)
}

// Instances of different fleets, or more than one wire version apart, must refuse each other
// with an error that names the cause.
func TestHandshake(t *testing.T) {
	for _, c := range []struct {
		name    string
		secrets []linker.Secret
		client  linker.Versions
		server  linker.Versions
		want    error
	}{
		{"same", fleetKey, linker.Versions{Oldest: 1, Newest: 1}, linker.Versions{Oldest: 1, Newest: 1}, nil},
		{"server one newer", fleetKey, linker.Versions{Oldest: 1, Newest: 1}, linker.Versions{Oldest: 1, Newest: 2}, nil},
		{"client one newer", fleetKey, linker.Versions{Oldest: 1, Newest: 2}, linker.Versions{Oldest: 1, Newest: 1}, nil},
		{"client too old", fleetKey, linker.Versions{Oldest: 1, Newest: 1}, linker.Versions{Oldest: 2, Newest: 3}, linker.ErrWireVersion},
		{"client too new", fleetKey, linker.Versions{Oldest: 2, Newest: 3}, linker.Versions{Oldest: 1, Newest: 1}, linker.ErrWireVersion},
		{"unknown key number", []linker.Secret{{KeyNumber: 2, Value: []byte("one secret")}}, linker.CurrentVersions, linker.CurrentVersions, linker.ErrForeignFleet},
		{"different secret", []linker.Secret{{KeyNumber: 1, Value: []byte("other secret")}}, linker.CurrentVersions, linker.CurrentVersions, linker.ErrForeignFleet},
		{"key being replaced", append([]linker.Secret{{KeyNumber: 2, Value: []byte("next secret")}}, fleetKey...), linker.CurrentVersions, linker.CurrentVersions, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			withServer(t, c.server, func(t *testing.T, client *gossiper.Client, _ *netsimulator.Net, _ *netsimulator.Host) {
				client.Links.Secrets, client.Links.Versions = c.secrets, c.client
				_, _, err := client.Exchange(t.Context(), serverAddress, &wire.ExchangeRequest{})
				if c.want == nil {
					must.NoError(t, err)
					return
				}
				must.ErrorIs(t, err, c.want)
			})
		})
	}
}

// The server's check during a regular handshake must not count as a refused peer.
func TestHealthyPeerIsNotCountedAsRefused(t *testing.T) {
	count := func(name string) { t.Errorf("counted %s", name) }
	withCountingServer(t, linker.CurrentVersions, count, func(t *testing.T, client *gossiper.Client, _ *netsimulator.Net, _ *netsimulator.Host) {
		mustExchange(t, client)
	})
}

// Malformed or oversized input, or silence, must close only the connection it came from.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		input []byte
		limit time.Duration
	}{
		{"not a message", []byte("GET / HTTP/1.1\r\n\r\n"), time.Minute},
		{"long varint", []byte{0x01, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, time.Second},
		{"unterminated packet", endlessPacket(), time.Second},
		{"silence", nil, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			withServer(t, linker.CurrentVersions, func(t *testing.T, client *gossiper.Client, n *netsimulator.Net, h *netsimulator.Host) {
				mustExchange(t, client)
				rawConn, err := h.Dial(t.Context(), serverAddress)
				must.NoError(t, err)
				defer rawConn.Close()
				_, _ = rawConn.Write(c.input)
				_ = rawConn.SetReadDeadline(time.Now().Add(c.limit))
				buffer := make([]byte, 1024)
				for err == nil {
					_, err = rawConn.Read(buffer)
				}
				must.False(t, isTimeout(err), must.Sprint("the connection stayed open"))
				mustExchange(t, client)
			})
		})
	}
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}

// endlessPacket is a packet whose frames exceed the size limit without ending it.
func endlessPacket() []byte {
	var out []byte
	for range 3 << 10 {
		out = append(out, 2<<1, 1, 1) // non-final frame of stream 1, message 1
		out = binary.AppendUvarint(out, 1<<10)
		out = append(out, make([]byte, 1<<10)...)
	}
	return out
}

// A call on a silent connection times out, and the next call uses a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	withServer(t, linker.CurrentVersions, func(t *testing.T, client *gossiper.Client, n *netsimulator.Net, h *netsimulator.Host) {
		mustExchange(t, client)
		n.Partition("10.0.0.1", "10.0.0.2")
		_, _, err := client.Exchange(t.Context(), serverAddress, &wire.ExchangeRequest{})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		n.HealAll()
		mustExchange(t, client)
	})
}

// A document of the largest size that the store accepts is transferred.
func TestLargestDocument(t *testing.T) {
	withServer(t, linker.CurrentVersions, func(t *testing.T, client *gossiper.Client, _ *netsimulator.Net, _ *netsimulator.Host) {
		r, err := client.FetchConfiguration(t.Context(), serverAddress, &wire.FetchRequest{})
		must.NoError(t, err)
		must.Eq(t, 1<<20, len(r.Document))
	})
}

// Calls from a peer that skipped or failed the handshake must be refused.
func TestUnauthenticatedPeerIsRefused(t *testing.T) {
	for name, authenticate := range map[string]func(*testing.T, wire.DRPCPeersClient){
		"no handshake": func(*testing.T, wire.DRPCPeersClient) {},
		"forged proof": func(t *testing.T, p wire.DRPCPeersClient) {
			_, err := p.Hello(t.Context(), &wire.HelloRequest{Oldest: 1, Newest: 1, Keys: []uint32{1}, Nonce: make([]byte, 32)})
			must.NoError(t, err)
			_, err = p.Prove(t.Context(), &wire.ProveRequest{Proof: make([]byte, 32)})
			must.Error(t, err)
		},
		"short nonce": func(t *testing.T, p wire.DRPCPeersClient) {
			a, err := p.Hello(t.Context(), &wire.HelloRequest{Oldest: 1, Newest: 1, Keys: []uint32{1}, Nonce: []byte{1}})
			must.NoError(t, err)
			_, err = p.Prove(t.Context(), &wire.ProveRequest{Proof: a.Proof}) // reflected proof
			must.Error(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, linker.CurrentVersions, func(t *testing.T, _ *gossiper.Client, _ *netsimulator.Net, h *netsimulator.Host) {
				raw, err := h.Dial(t.Context(), serverAddress)
				must.NoError(t, err)
				conn := drpcconn.New(raw)
				defer conn.Close()
				p := wire.NewDRPCPeersClient(conn)
				authenticate(t, p)
				_, err = p.FetchConfiguration(t.Context(), &wire.FetchRequest{})
				must.Error(t, err)
			})
		})
	}
}

// The framing overhead per exchange must match the constant of the capacity estimate. The bytes
// are counted below the client, since the last frame may arrive after the reply.
func TestOverhead(t *testing.T) {
	withServer(t, linker.CurrentVersions, func(t *testing.T, client *gossiper.Client, _ *netsimulator.Net, h *netsimulator.Host) {
		n := &countingNetwork{Network: h}
		client.Links.Network = n
		mustExchange(t, client) // connects and authenticates
		synctest.Wait()
		before := n.bytes.Load()
		request := &wire.ExchangeRequest{Version: 1 << 40, Run: 7, Since: 9, Shards: []uint32{1, 2, 3}}
		reply, _, err := client.Exchange(t.Context(), serverAddress, request)
		must.NoError(t, err)
		synctest.Wait()
		must.Eq(t, mesher.ExchangeOverhead, int(n.bytes.Load()-before)-proto.Size(request)-proto.Size(reply))
	})
}

// A call must have the same size whether its last frame arrives with the reply or after it.
func TestOverheadOfDelayedFrame(t *testing.T) {
	withServer(t, linker.CurrentVersions, func(t *testing.T, client *gossiper.Client, _ *netsimulator.Net, h *netsimulator.Host) {
		n := &countingNetwork{Network: h, pause: time.Millisecond}
		client.Links.Network = n
		mustExchange(t, client)
		synctest.Wait()
		for range 20 {
			before := n.bytes.Load()
			request := &wire.ExchangeRequest{Version: 1 << 40, Run: 7}
			reply, _, err := client.Exchange(t.Context(), serverAddress, request)
			must.NoError(t, err)
			time.Sleep(time.Second)
			must.Eq(t, mesher.ExchangeOverhead, int(n.bytes.Load()-before)-proto.Size(request)-proto.Size(reply))
		}
	})
}

// counting counts the bytes of the connections that it opens, both ways.
type (
	countingNetwork struct {
		networker.Network
		bytes atomic.Int64
		// pause, if set, delays each read, which then returns one byte.
		pause time.Duration
	}

	countingConn struct {
		net.Conn
		network *countingNetwork
	}
)

func (n *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	return countingConn{c, n}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	if c.network.pause > 0 {
		time.Sleep(c.network.pause)
		b = b[:1]
	}
	k, err := c.Conn.Read(b)
	c.network.bytes.Add(int64(k))
	return k, err
}

func (c countingConn) Write(b []byte) (int, error) {
	k, err := c.Conn.Write(b)
	c.network.bytes.Add(int64(k))
	return k, err
}
