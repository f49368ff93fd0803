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

// cancelTimeout bounds the delivery of a cancel request to a target.
const cancelTimeout = 2 * time.Second

// cancelState tracks what a cancel request for the session applies to.
type cancelState struct {
	mutex           sync.Mutex
	conn            *pooler.Conn       // checked out by the request
	cancelWait      context.CancelFunc // ends the wait for a connection
	inFlight        int                // cancel requests being delivered
	allDelivered    chan struct{}      // closed when inFlight drops to 0
	deliveryUnknown bool               // a delivery failed; the target may still act on it
}

// Cancel implements canceller.Session. It ends the wait of a request that has no connection
// yet, or forwards the cancel request to the target that runs it.
func (s *Session) Cancel(ctx context.Context) {
	q := &s.cancel
	q.mutex.Lock()
	if q.conn == nil {
		if q.cancelWait != nil {
			q.cancelWait()
		}
		q.mutex.Unlock()
		return
	}
	c := q.conn
	if q.inFlight++; q.inFlight == 1 {
		q.allDelivered = make(chan struct{})
	}
	q.mutex.Unlock()
	err := sendCancel(ctx, s.Network, c)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.deliveryUnknown = q.deliveryUnknown || err != nil
	if q.inFlight--; q.inFlight == 0 {
		close(q.allDelivered)
	}
}

// sendCancel sends a cancel request to a target and waits until the target closes the
// connection, which it does after processing the request.
func sendCancel(ctx context.Context, n networker.Network, c *pooler.Conn) error {
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

// setConn sets the connection that cancel requests apply to.
func (c *cancelState) setConn(conn *pooler.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conn, c.deliveryUnknown = conn, false
}

// clearConn clears the connection and waits for cancel requests in flight: targets match them
// by connection, so a late one could hit the next borrower's statement. It reports whether a
// delivery's outcome is unknown, so that the connection must be destroyed.
func (c *cancelState) clearConn() (deliveryUnknown bool) {
	c.mutex.Lock()
	c.conn = nil
	delivered := c.allDelivered
	if c.inFlight == 0 {
		delivered = nil
	}
	c.mutex.Unlock()
	if delivered != nil {
		<-delivered
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.deliveryUnknown
}

// waitContext returns a context that a cancel request cancels.
func (c *cancelState) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancelWait = cancel
	return ctx, func() {
		cancel()
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.cancelWait = nil
	}
}
