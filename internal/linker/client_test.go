package linker

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/shoenig/test/must"
	"storj.io/drpc/drpcmux"
)

// closingNetwork closes the client while it dials.
type closingNetwork struct {
	*netsimulator.Host
	client *Client
}

func (n *closingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.client.Close()
	return n.Host.Dial(ctx, address)
}

// A connection that is established after Close must be closed, or it leaks its goroutines and
// the peer's slot.
func TestConnectionMadeWhileClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, keys := netsimulator.New(1), []Secret{{KeyNumber: 1, Value: []byte("one secret")}}
		ctx, cancel := context.WithCancel(t.Context())
		s := &Server{
			Address: "10.0.0.1:7100", Network: n.Host("10.0.0.1", "a"), Secrets: keys, Versions: CurrentVersions,
			Log: log.NewNopLogger(), Count: func(string) {},
			Register: func(m *drpcmux.Mux, s *Session) error { return wire.DRPCRegisterPeers(m, &Handshake{Session: s}) },
		}
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		synctest.Wait()
		h := &closingNetwork{Host: n.Host("10.0.0.2", "a")}
		h.client = &Client{Network: h, Secrets: keys, Versions: CurrentVersions}
		err := h.client.Call(ctx, time.Second, s.Address, func(context.Context, *Link) error { return nil })
		must.ErrorIs(t, err, ErrClosed)
		cancel()
		<-ended
	})
}

// CloseIdle must not remove a link between its creation and its first call, since its connection
// would leak.
func TestNewLinkIsNotClosedAsIdle(t *testing.T) {
	c := &Client{}
	l := c.link("peer")
	c.CloseIdle(time.Now())
	must.True(t, l == c.link("peer"))
}

// A call with a long timeout must not wait for a host that does not answer the opening of a
// connection, such as one that is just starting: the caller can ask another peer meanwhile.
func TestSilentHostIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := netsimulator.New(1)
		n.Host("10.0.0.1", "b")
		n.Partition("a", "b")
		c := &Client{Network: n.Host("10.0.0.2", "a"), Versions: CurrentVersions}
		start := time.Now()
		must.Error(t, c.Call(t.Context(), 3*time.Second, "10.0.0.1:7100", func(context.Context, *Link) error { return nil }))
		must.LessEq(t, dialTimeout, time.Since(start))
	})
}
