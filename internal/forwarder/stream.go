package forwarder

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/forecaster"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"storj.io/drpc"
)

type (
	// peerStream is a connection to a peer that carries one loan after another.
	peerStream struct {
		address   string
		conn      drpc.Conn
		stream    wire.DRPCNeighbours_LendClient
		cancel    context.CancelFunc
		replies   chan *wire.LendReply
		idleSince time.Time
	}

	// remoteConn is a target connection reached through a peer. It implements net.Conn for one
	// user at a time.
	remoteConn struct {
		peer *peerStream
		// unread is received data that Read has not returned yet.
		unread []byte

		mutex    sync.Mutex
		deadline time.Time
		closed   bool
	}

	// address is the net.Addr of a remoteConn.
	address string
)

// replyBufferSize is how many replies are buffered per stream before the peer is blocked.
const replyBufferSize = 16

var errStreamClosed = errors.New("stream to peer closed")

func openPeerStream(ctx context.Context, links *linker.Client, to string) (*peerStream, error) {
	conn, err := links.Dial(ctx, to)
	if err != nil {
		return nil, errors.Wrapf(err, "open stream to %s", to)
	}
	// The stream outlives the context that bounds its opening.
	streamCtx, cancel := context.WithCancel(context.Background())
	stream, err := wire.NewDRPCNeighboursClient(conn).Lend(streamCtx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, errors.Wrapf(err, "open stream to %s", to)
	}
	s := &peerStream{address: to, conn: conn, stream: stream, cancel: cancel, replies: make(chan *wire.LendReply, replyBufferSize)}
	go s.receive(streamCtx)
	return s, nil
}

// receive queues replies until the stream ends.
func (s *peerStream) receive(ctx context.Context) {
	defer close(s.replies)
	defer s.close()
	for {
		r, err := s.stream.Recv()
		if err != nil {
			return // users see the closed reply channel
		}
		select {
		case s.replies <- r:
		case <-ctx.Done():
			return
		}
	}
}

func (s *peerStream) close() {
	s.cancel()
	_ = s.conn.Close()
}

func (s *peerStream) isClosed() bool {
	select {
	case <-s.conn.Closed():
		return true
	default:
		return false
	}
}

// request requests a loan and waits for the reply.
func (s *peerStream) request(ctx context.Context, a *wire.LendAsk, until time.Time) (*wire.LendReply, error) {
	if err := s.stream.Send(&wire.LendRequest{Ask: a}); err != nil {
		return nil, errors.Wrap(err, "request loan")
	}
	return s.awaitReply(ctx, until)
}

// awaitReply waits for the reply to a loan request. Data left over from an earlier loan is
// discarded.
func (s *peerStream) awaitReply(ctx context.Context, until time.Time) (*wire.LendReply, error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		select {
		case r, ok := <-s.replies:
			switch {
			case !ok:
				return nil, errStreamClosed
			case r.Member != "" || r.Refusal != wire.LendRefusal_NOT_REFUSED:
				return r, nil
			}
		case <-t.C:
			return nil, errors.Wrap(os.ErrDeadlineExceeded, "loan")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// borrow requests a connection from one peer.
func (fw *Forwarder) borrow(ctx context.Context, to, group string, members []string, r lender.Request) (*lender.Conn, error) {
	s, err := fw.getStream(ctx, to)
	if err != nil {
		if ctx.Err() == nil {
			fw.Discoverer.RecordFailure(fw.Clock(), to)
		}
		return nil, err
	}
	a, err := s.request(ctx, &wire.LendAsk{
		Group: group, Members: members, Priority: int32(r.Priority), WaitMs: uint32(max(0, time.Until(r.Deadline)).Milliseconds()), Question: r.StatusQuery, Customer: r.Customer, Counts: r.RateLimited, Long: r.Transaction,
		LatestStartMs: encodeLatestStart(time.Now(), r.LatestStart),
	}, r.Deadline.Add(replyGrace))
	if err != nil && ctx.Err() != nil {
		go fw.releaseAbandoned(s, r.Deadline.Add(replyGrace))
		return nil, err
	}
	if err != nil {
		s.close()
		return nil, err
	}
	fw.recordPressure(to, group, members[0], r.Priority, a)
	switch a.Refusal {
	case wire.LendRefusal_NOT_REFUSED:
	case wire.LendRefusal_FULL:
		fw.putStream(s)
		return nil, decodeFull(a.AgainMs, r)
	case wire.LendRefusal_LIMITED:
		fw.putStream(s)
		return nil, &lender.LimitError{Customer: r.Customer, RetryAfter: time.Duration(a.AgainMs) * time.Millisecond}
	default:
		fw.putStream(s)
		return nil, errUnreachable
	}
	c := &remoteConn{peer: s}
	state := decodeState(a.State)
	return lender.NewRemoteConn(c, fw.Codec, a.Member, a.Born, state, func(e lender.LoanEnd) { fw.release(c, e) }), nil
}

// decodeFull returns the error of a loan that was refused for lack of a free connection. A wait of 0
// or above maxPeerWait counts as unknown.
func decodeFull(againMillis uint32, r lender.Request) error {
	wait := time.Duration(againMillis) * time.Millisecond
	if r.LatestStart.IsZero() || wait == 0 || wait > maxPeerWait {
		return lender.ErrNoConnection
	}
	return &lender.WaitError{Err: lender.ErrNoConnection, Decision: forecaster.Decision{Cause: forecaster.CauseHolder, RetryAfter: wait}}
}

// releaseAbandoned waits for the reply to a canceled request and returns what was lent. Closing
// the stream instead would make the peer close its target connection.
func (fw *Forwarder) releaseAbandoned(s *peerStream, until time.Time) {
	a, err := s.awaitReply(context.Background(), until)
	switch {
	case err != nil:
		s.close()
	case a.Refusal == wire.LendRefusal_NOT_REFUSED:
		fw.release(&remoteConn{peer: s}, lender.LoanEnd{State: decodeState(a.State)})
	default:
		fw.putStream(s)
	}
}

// release returns a connection to the peer.
func (fw *Forwarder) release(c *remoteConn, e lender.LoanEnd) {
	c.mutex.Lock()
	ended := c.closed
	c.closed = true
	c.mutex.Unlock()
	if ended || e.Broken {
		// The peer closes the target connection when the stream ends.
		c.peer.close()
		return
	}
	if err := c.peer.stream.Send(&wire.LendRequest{End: &wire.LendEnd{NoRoom: e.Overloaded, Ran: e.Ran, State: encodeState(e.State)}}); err != nil {
		c.peer.close()
		return
	}
	fw.putStream(c.peer)
}

// Read implements net.Conn.
func (c *remoteConn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		r, err := c.nextReply()
		if err != nil {
			return 0, err
		}
		c.unread = r.Data
	}
	k := copy(b, c.unread)
	c.unread = c.unread[k:]
	return k, nil
}

func (c *remoteConn) nextReply() (*wire.LendReply, error) {
	c.mutex.Lock()
	deadline := c.deadline
	c.mutex.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case r, ok := <-c.peer.replies:
		if !ok {
			return nil, errStreamClosed
		}
		return r, nil
	case <-expired:
		return nil, os.ErrDeadlineExceeded
	}
}

// Write implements net.Conn.
func (c *remoteConn) Write(b []byte) (int, error) {
	if err := c.peer.stream.Send(&wire.LendRequest{Data: b}); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn. The peer closes the target connection when the stream ends.
func (c *remoteConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed {
		c.closed = true
		c.peer.close()
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *remoteConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn. It applies from the next Read.
func (c *remoteConn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = t
	return nil
}

// SetWriteDeadline implements net.Conn. Writes are not bounded: requests fit into the buffers
// on the way.
func (c *remoteConn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *remoteConn) LocalAddr() net.Addr { return address("") }

// RemoteAddr implements net.Conn.
func (c *remoteConn) RemoteAddr() net.Addr { return address(c.peer.address) }

// Network implements net.Addr.
func (address) Network() string { return "loan" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
