package linker

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/networker"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
)

type (
	// Client calls other instances over one connection each, dialed on first use. Set the
	// exported fields; Close closes the connections.
	Client struct {
		Network  networker.Network
		Secrets  []Secret
		Versions Versions

		mutex  sync.Mutex
		links  map[string]*Link
		closed bool
	}

	// Link is the connection to one peer. Calls hold its lock, which is a channel so that a
	// caller can give up at its deadline.
	Link struct {
		lock     chan struct{}
		conn     *callConn
		lastUsed time.Time
		// SenderSent is set once the caller's identity was sent on this connection.
		SenderSent bool
		// bytes counts the traffic in both directions.
		bytes atomic.Int64
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

const (
	// linkIdleTimeout closes connections without recent calls.
	linkIdleTimeout = time.Minute
	// dialTimeout bounds the opening of a connection, several round trips between regions. A host
	// that is just starting loses the first packet, which is sent again after a second only; a
	// caller can ask another peer, or the same one again, sooner.
	dialTimeout = 250 * time.Millisecond
)

// ErrClosed means that the client was closed.
var ErrClosed = errors.New("client closed")

// Close closes all connections. Calls in flight and later ones fail.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, l := range c.links {
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
	c.links = nil
}

// Call makes a call on the connection to a peer within a timeout. Calls to one peer are
// serialized.
func (c *Client) Call(ctx context.Context, timeout time.Duration, address string, f func(context.Context, *Link) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l := c.link(address)
	select {
	case l.lock <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for connection to peer %s", address)
	}
	defer func() { <-l.lock }()
	l.lastUsed = time.Now()
	if err := c.ensureConn(ctx, l, address); err != nil {
		return errors.Wrapf(err, "connect to peer %s", address)
	}
	err := decodeError(f(ctx, l))
	if err != nil {
		// The connection may be in an undefined state, so the next call dials again.
		c.closeConn(l)
		return errors.Wrapf(err, "call peer %s", address)
	}
	return nil
}

// Connected reports whether a connection to a peer is open and not known to be broken.
func (c *Client) Connected(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l := c.links[address]
	if l == nil || l.conn == nil {
		return false
	}
	select {
	case <-l.conn.Closed():
		return false
	default:
		return true
	}
}

func (c *Client) link(address string) *Link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.links == nil {
		c.links = map[string]*Link{}
	}
	l := c.links[address]
	if l == nil {
		// Marked as used, so that CloseIdle doesn't remove the link before its first call, whose
		// connection would then never be closed.
		l = &Link{lock: make(chan struct{}, 1), lastUsed: time.Now()}
		c.links[address] = l
	}
	return l
}

func (c *Client) closeConn(l *Link) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// CloseIdle closes connections without a call for linkIdleTimeout.
func (c *Client) CloseIdle(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for a, l := range c.links {
		select {
		case l.lock <- struct{}{}:
		default:
			continue // in use
		}
		if now.Sub(l.lastUsed) >= linkIdleTimeout {
			if l.conn != nil {
				_ = l.conn.Close()
			}
			delete(c.links, a)
		}
		<-l.lock
	}
}

// ensureConn dials and authenticates if there is no open connection.
func (c *Client) ensureConn(ctx context.Context, l *Link, address string) error {
	if l.conn != nil {
		select {
		case <-l.conn.Closed():
			c.closeConn(l)
		default:
			return nil
		}
	}
	conn, err := c.dial(ctx, address, &l.bytes)
	if err != nil {
		return err
	}
	return c.attach(l, address, conn)
}

// Dial dials a connection to a peer that the caller owns and closes.
func (c *Client) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	return c.dial(ctx, address, &atomic.Int64{})
}

func (c *Client) dial(ctx context.Context, address string, bytes *atomic.Int64) (*callConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	raw, err := c.Network.Dial(dialCtx, address)
	cancel()
	if err != nil {
		return nil, err
	}
	conn := &callConn{drpcconn.NewWithOptions(countingConn{raw, bytes}, drpcconn.Options{Manager: managerOptions()})}
	if err := c.handshake(ctx, wire.NewDRPCPeersClient(conn)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// Conn returns the connection for making a call.
func (l *Link) Conn() drpc.Conn { return l.conn }

// Bytes returns the traffic of the link so far, both directions.
func (l *Link) Bytes() int64 { return l.bytes.Load() }

// attach sets a link's connection. A link that Close or CloseIdle has removed in the meantime
// gets none, since nothing would close it.
func (c *Client) attach(l *Link, address string, conn *callConn) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || c.links[address] != l {
		_ = conn.Close()
		return ErrClosed
	}
	l.conn, l.SenderSent = conn, false
	return nil
}

func (c *Client) handshake(ctx context.Context, p wire.DRPCPeersClient) error {
	h := transcript{client: c.Versions, clientNonce: newNonce()}
	request := &wire.HelloRequest{Oldest: c.Versions.Oldest, Newest: c.Versions.Newest, Nonce: h.clientNonce}
	for _, s := range c.Secrets {
		request.Keys = append(request.Keys, uint32(s.KeyNumber))
	}
	reply, err := p.Hello(ctx, request)
	if err != nil {
		return decodeError(err)
	}
	h.server, h.serverNonce = Versions{Oldest: reply.Oldest, Newest: reply.Newest}, reply.Nonce
	if _, err := c.Versions.negotiate(h.server); err != nil {
		return err
	}
	s, err := findSecret(c.Secrets, reply.Key)
	if err != nil {
		return err
	}
	if err := s.verify(roleServer, h, reply.Proof); err != nil {
		return err
	}
	_, err = p.Prove(ctx, &wire.ProveRequest{Proof: s.prove(roleClient, h)})
	return decodeError(err)
}

// decodeError restores the type of an error received from a peer.
func decodeError(err error) error {
	switch drpcerr.Code(err) {
	case codeForeign:
		return errors.Wrap(ErrForeignFleet, err.Error())
	case codeWireVersion:
		return errors.Wrap(ErrWireVersion, err.Error())
	}
	return err
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
