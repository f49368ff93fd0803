package forwarder

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
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
		peer   *peerStream
		unread []byte

		mutex    sync.Mutex
		deadline time.Time
		closed   bool
	}

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
	l := &peerStream{address: to, conn: conn, stream: stream, cancel: cancel, replies: make(chan *wire.LendReply, replyBufferSize)}
	go l.receive(streamCtx)
	return l, nil
}

// receive queues replies until the stream ends.
func (l *peerStream) receive(ctx context.Context) {
	defer close(l.replies)
	defer l.close()
	for {
		r, err := l.stream.Recv()
		if err != nil {
			return // users see the closed reply channel
		}
		select {
		case l.replies <- r:
		case <-ctx.Done():
			return
		}
	}
}

func (l *peerStream) close() {
	l.cancel()
	_ = l.conn.Close()
}

func (l *peerStream) isClosed() bool {
	select {
	case <-l.conn.Closed():
		return true
	default:
		return false
	}
}

// request requests a loan and waits for the reply.
func (l *peerStream) request(ctx context.Context, a *wire.LendAsk, until time.Time) (*wire.LendReply, error) {
	if err := l.stream.Send(&wire.LendRequest{Ask: a}); err != nil {
		return nil, errors.Wrap(err, "request loan")
	}
	return l.awaitReply(ctx, until)
}

// awaitReply waits for the reply to a loan request. Data left over from an earlier loan is
// discarded.
func (l *peerStream) awaitReply(ctx context.Context, until time.Time) (*wire.LendReply, error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		select {
		case r, ok := <-l.replies:
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
	l, err := fw.getStream(ctx, to)
	if err != nil {
		fw.Discoverer.RecordFailure(fw.Clock(), to)
		return nil, err
	}
	a, err := l.request(ctx, &wire.LendAsk{
		Group: group, Members: members, Priority: int32(r.Priority), WaitMs: uint32(max(0, time.Until(r.Deadline)).Milliseconds()), Question: r.StatusQuery, Customer: r.Customer, Counts: r.RateLimited, Long: r.Transaction,
	}, r.Deadline.Add(replyGrace))
	if err != nil && ctx.Err() != nil {
		go fw.releaseAbandoned(l, r.Deadline.Add(replyGrace))
		return nil, err
	}
	if err != nil {
		l.close()
		return nil, err
	}
	switch a.Refusal {
	case wire.LendRefusal_NOT_REFUSED:
	case wire.LendRefusal_FULL:
		fw.putStream(l)
		return nil, lender.ErrNoConnection
	case wire.LendRefusal_LIMITED:
		fw.putStream(l)
		return nil, &lender.LimitError{Customer: r.Customer, RetryAfter: time.Duration(a.AgainMs) * time.Millisecond}
	default:
		fw.putStream(l)
		return nil, errUnreachable
	}
	n := &remoteConn{peer: l}
	state := decodeState(a.State)
	return lender.NewRemoteConn(n, fw.Codec, a.Member, a.Born, state, func(e lender.LoanEnd) { fw.release(n, e) }), nil
}

// releaseAbandoned waits for the reply to a canceled request and returns what was lent. Closing
// the stream instead would make the peer close its target connection.
func (fw *Forwarder) releaseAbandoned(l *peerStream, until time.Time) {
	a, err := l.awaitReply(context.Background(), until)
	switch {
	case err != nil:
		l.close()
	case a.Refusal == wire.LendRefusal_NOT_REFUSED:
		fw.release(&remoteConn{peer: l}, lender.LoanEnd{State: decodeState(a.State)})
	default:
		fw.putStream(l)
	}
}

// release returns a connection to the peer.
func (fw *Forwarder) release(n *remoteConn, e lender.LoanEnd) {
	n.mutex.Lock()
	ended := n.closed
	n.closed = true
	n.mutex.Unlock()
	if ended || e.Broken {
		// The peer closes the target connection when the stream ends.
		n.peer.close()
		return
	}
	if err := n.peer.stream.Send(&wire.LendRequest{End: &wire.LendEnd{NoRoom: e.Overloaded, Ran: e.Ran, State: encodeState(e.State)}}); err != nil {
		n.peer.close()
		return
	}
	fw.putStream(n.peer)
}

// Read implements net.Conn.
func (n *remoteConn) Read(b []byte) (int, error) {
	for len(n.unread) == 0 {
		r, err := n.nextReply()
		if err != nil {
			return 0, err
		}
		n.unread = r.Data
	}
	k := copy(b, n.unread)
	n.unread = n.unread[k:]
	return k, nil
}

func (n *remoteConn) nextReply() (*wire.LendReply, error) {
	n.mutex.Lock()
	deadline := n.deadline
	n.mutex.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case r, ok := <-n.peer.replies:
		if !ok {
			return nil, errStreamClosed
		}
		return r, nil
	case <-expired:
		return nil, os.ErrDeadlineExceeded
	}
}

// Write implements net.Conn.
func (n *remoteConn) Write(b []byte) (int, error) {
	if err := n.peer.stream.Send(&wire.LendRequest{Data: b}); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn. The peer closes the target connection when the stream ends.
func (n *remoteConn) Close() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.closed {
		n.closed = true
		n.peer.close()
	}
	return nil
}

// SetDeadline implements net.Conn.
func (n *remoteConn) SetDeadline(t time.Time) error { return n.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn. It applies from the next Read.
func (n *remoteConn) SetReadDeadline(t time.Time) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.deadline = t
	return nil
}

// SetWriteDeadline implements net.Conn. Writes are not bounded: requests fit into the buffers
// on the way.
func (n *remoteConn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (n *remoteConn) LocalAddr() net.Addr { return address("") }

// RemoteAddr implements net.Conn.
func (n *remoteConn) RemoteAddr() net.Addr { return address(n.peer.address) }

// Network implements net.Addr.
func (address) Network() string { return "loan" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
