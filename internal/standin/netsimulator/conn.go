package netsimulator

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// maxBufferedBytes is the number of unread bytes per direction at which Write blocks.
const maxBufferedBytes = 256 << 10

type (
	// conn is one end of a simulated connection.
	conn struct {
		net           *Net
		local, remote *Host
		name, peer    string
		in, out       *stream
		readDeadline  deadline
		writeDeadline deadline
	}

	// stream is one direction of a connection. Its chunks become readable at their
	// arrival time, unless the hosts are partitioned.
	stream struct {
		mutex         sync.Mutex
		chunks        []chunk
		bufferedBytes int
		lastArrival   time.Time
		closed        bool  // the writer has closed its end
		err           error // set when the connection was reset or closed locally
		changed       chan struct{}
	}

	chunk struct {
		data      []byte
		arrivesAt time.Time
	}

	deadline struct {
		mutex   sync.Mutex
		at      time.Time
		changed chan struct{}
	}
)

func newConnPair(n *Net, from, to *Host, port int, listenAddress string) (a, b *conn) {
	inbound, outbound := &stream{changed: make(chan struct{})}, &stream{changed: make(chan struct{})}
	name := net.JoinHostPort(from.IP, strconv.Itoa(40000+port))
	a = &conn{net: n, local: from, remote: to, name: name, peer: listenAddress, in: inbound, out: outbound}
	b = &conn{net: n, local: to, remote: from, name: listenAddress, peer: name, in: outbound, out: inbound}
	for _, c := range []*conn{a, b} {
		c.readDeadline.changed, c.writeDeadline.changed = make(chan struct{}), make(chan struct{})
	}
	return a, b
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (d *deadline) set(t time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.at = t
	close(d.changed)
	d.changed = make(chan struct{})
}

// expired reports whether the deadline has passed.
func (d *deadline) expired() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

// context returns a context that ends at the deadline, and a channel that is closed when
// the deadline changes.
func (d *deadline) context() (context.Context, context.CancelFunc, chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.at.IsZero() {
		ctx, cancel := context.WithCancel(context.Background())
		return ctx, cancel, d.changed
	}
	ctx, cancel := context.WithDeadline(context.Background(), d.at)
	return ctx, cancel, d.changed
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		wait, changed, err := c.in.peek()
		if err != nil {
			return 0, err
		}
		partitioned, networkChanged := false, (chan struct{})(nil)
		if wait == 0 { // data has arrived unless the hosts are partitioned
			if partitioned, networkChanged = c.net.partitioned(c.remote, c.local); !partitioned {
				if n, err := c.in.pop(p); n > 0 || err != nil {
					return n, err
				}
				continue
			}
		}
		if err := c.waitForChange(&c.readDeadline, wait, changed, networkChanged); err != nil {
			return 0, err
		}
	}
}

// peek returns the time until the next chunk or the end of the stream arrives: 0 if it has,
// -1 if nothing is in flight.
func (s *stream) peek() (wait time.Duration, changed chan struct{}, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.err != nil:
		return 0, nil, s.err
	case len(s.chunks) == 0 && s.closed:
		return max(0, time.Until(s.lastArrival)), s.changed, nil
	case len(s.chunks) == 0:
		return -1, s.changed, nil
	}
	return max(0, time.Until(s.chunks[0].arrivesAt)), s.changed, nil
}

// Pending reports whether data or the end of the stream has arrived.
func (c *conn) Pending() bool {
	wait, _, err := c.in.peek()
	if err != nil {
		return true
	}
	partitioned, _ := c.net.partitioned(c.remote, c.local)
	return wait == 0 && !partitioned
}

func (s *stream) pop(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.chunks) == 0 {
		if s.closed {
			return 0, io.EOF
		}
		return 0, nil
	}
	n := copy(p, s.chunks[0].data)
	s.chunks[0].data = s.chunks[0].data[n:]
	if len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.bufferedBytes -= n
	s.notify()
	return n, nil
}

func (c *conn) waitForChange(d *deadline, wait time.Duration, changed, networkChanged chan struct{}) error {
	ctx, cancel, deadlineChanged := d.context()
	defer cancel()
	var due <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		due = t.C
	}
	select {
	case <-due:
	case <-changed:
	case <-networkChanged:
	case <-deadlineChanged:
	case <-ctx.Done():
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Write implements net.Conn. As on a socket, it writes nothing after the deadline.
func (c *conn) Write(p []byte) (int, error) {
	if c.writeDeadline.expired() {
		return 0, os.ErrDeadlineExceeded
	}
	s := c.out
	for {
		// Lock order: the network's mutex before a stream's.
		delay := c.net.latency(c.local, c.remote)
		s.mutex.Lock()
		if s.err != nil || s.closed {
			err := s.err
			s.mutex.Unlock()
			if err == nil {
				err = net.ErrClosed
			}
			return 0, err
		}
		if s.bufferedBytes < maxBufferedBytes {
			at := time.Now().Add(delay)
			if at.Before(s.lastArrival) {
				at = s.lastArrival
			}
			s.lastArrival = at
			s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p...), arrivesAt: at})
			s.bufferedBytes += len(p)
			s.notify()
			s.mutex.Unlock()
			if c.net.OnSend != nil {
				c.net.OnSend(c.local, c.remote, p)
			}
			return len(p), nil
		}
		changed := s.changed
		s.mutex.Unlock()
		if err := c.waitForChange(&c.writeDeadline, -1, changed, nil); err != nil {
			return 0, err
		}
	}
}

// CloseWrite closes the sending direction: the peer reads what was sent, then io.EOF, and
// may still send.
func (c *conn) CloseWrite() error {
	delay := c.net.latency(c.local, c.remote)
	c.out.mutex.Lock()
	defer c.out.mutex.Unlock()
	if !c.out.closed {
		c.out.closed = true
		c.out.lastArrival = time.Now().Add(delay)
		c.out.notify()
	}
	return nil
}

// Close implements net.Conn: the peer reads what was sent, then io.EOF.
func (c *conn) Close() error {
	_ = c.CloseWrite()
	c.in.fail(net.ErrClosed)
	c.net.mutex.Lock()
	delete(c.net.conns, c)
	c.net.mutex.Unlock()
	return nil
}

func (s *stream) fail(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err == nil {
		s.err = err
		s.notify()
	}
}

// reset fails both directions with ECONNRESET.
func (c *conn) reset() {
	err := errors.Wrap(syscall.ECONNRESET, c.peer)
	c.in.fail(err)
	c.out.fail(err)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.name) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.peer) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { c.readDeadline.set(t); return nil }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { c.writeDeadline.set(t); return nil }
