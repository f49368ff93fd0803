package relayer

import (
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/pooler"
)

// cancelTimeout bounds the connection that brings a cancel to a target.
const cancelTimeout = 2 * time.Second

// cancels holds what a cancel of the session's request would hit.
type cancels struct {
	mutex sync.Mutex
	conn  *pooler.Conn       // lent to the request
	wait  context.CancelFunc // ends the wait for a connection
	open  int                // cancels on their way to the target
	none  chan struct{}      // closed when open falls to 0
	doubt bool               // one may still be on its way
}

// Cancel implements canceller.Session: it ends the wait of a request that has no
// connection yet, or passes the cancel on to the target that runs it.
func (s *Session) Cancel(ctx context.Context) {
	q := &s.cancels
	q.mutex.Lock()
	if q.conn == nil {
		if q.wait != nil {
			q.wait()
		}
		q.mutex.Unlock()
		return
	}
	c := q.conn
	if q.open++; q.open == 1 {
		q.none = make(chan struct{})
	}
	q.mutex.Unlock()
	err := cancelAt(ctx, s.Network, c)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.doubt = q.doubt || err != nil
	if q.open--; q.open == 0 {
		close(q.none)
	}
}

// cancelAt sends a cancel to a target and waits until the target has closed the
// connection, which it does when it has acted.
func cancelAt(ctx context.Context, n networker.Network, c *pooler.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	conn, err := n.Dial(ctx, c.Endpoint.Address)
	if err != nil {
		return nil // nothing was sent
	}
	defer conn.Close()
	at, _ := ctx.Deadline()
	_ = conn.SetDeadline(at)
	m := &pgproto3.CancelRequest{ProcessID: c.PID, SecretKey: binary.BigEndian.AppendUint32(nil, binary.BigEndian.Uint32(c.Secret))}
	if _, err := conn.Write(encode(m)); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, conn)
	return err
}

// lent notes the connection that a cancel would hit.
func (q *cancels) lent(c *pooler.Conn) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.conn, q.doubt = c, false
}

// taken ends that. It waits for cancels on their way: the target knows a cancel
// by connection, not by request, so one that came later would hit the next
// caller that borrows it. It reports whether the connection must be destroyed,
// since a cancel has gone out and nobody knows whether it has arrived.
func (q *cancels) taken() (doubt bool) {
	q.mutex.Lock()
	q.conn = nil
	none := q.none
	if q.open == 0 {
		none = nil
	}
	q.mutex.Unlock()
	if none != nil {
		<-none
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.doubt
}

// waiting returns a context that a cancel ends.
func (q *cancels) waiting(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.wait = cancel
	return ctx, func() {
		cancel()
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.wait = nil
	}
}
