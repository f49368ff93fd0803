package pooler

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/commander"
)

const (
	// stuckAfter is how long a target may take to end a connection before its
	// place in the share is no longer offered to traffic. A healthy target ends
	// one within a round trip, 25 ms between regions.
	stuckAfter = 500 * time.Millisecond
	// endAfter is when a target is told, on a new connection, to end one that it
	// has not ended; endEvery is how often.
	endAfter = time.Second
	endEvery = time.Second
)

type halfCloser interface{ CloseWrite() error }

// lingerOn gives a connection up; the mutex is held.
//
// Its place in the share is free when the target has closed it too, which the
// end of its stream shows, or when the target says that the session is gone. A
// target that is frozen or cut off still counts the connection: a place freed at
// once would let another instance open one more than the budget when the target
// comes back. A reset shows that the target has forgotten the connection.
func (p *Pool) lingerOn(s *socket) {
	s.since = time.Now()
	p.linger[s] = struct{}{}
	p.fresh = append(p.fresh, s)
	p.signal()
}

// finish closes a socket's own direction and reports whether the target ended
// the other one.
func (p *Pool) finish(ctx context.Context, s *socket) bool {
	stop := context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	defer stop()
	_ = s.Conn.SetDeadline(time.Time{})
	if s.clean {
		terminate, _ := (&pgproto3.Terminate{}).Encode(nil)
		_, _ = s.Conn.Write(terminate)
	}
	// After a request that was written in part, any further byte could complete
	// it into something that the caller never sent; the end of the stream can't.
	h, ok := s.Conn.(halfCloser)
	if !ok || h.CloseWrite() != nil {
		_ = s.Conn.Close()
		return false
	}
	_, err := io.Copy(io.Discard, s.Conn)
	_ = s.Conn.Close()
	return err == nil || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// freed takes a socket out of the share; the mutex is held.
func (p *Pool) freed(s *socket) {
	if _, ok := p.linger[s]; ok {
		delete(p.linger, s)
		p.wake()
	}
}

// stuck counts the connections that their targets have not ended in time.
func (p *Pool) stuck() int {
	n := 0
	for s := range p.linger {
		if time.Since(s.since) >= stuckAfter {
			n++
		}
	}
	return n
}

// leaving counts the connections that were given up to make room and that their
// targets can be expected to end any moment.
func (p *Pool) leaving() int {
	n := 0
	for s := range p.linger {
		if s.clean && time.Since(s.since) < stuckAfter {
			n++
		}
	}
	return n
}

// risky reports whether a new connection could be lost to a target that has
// frozen: it has failed to end a connection, or to open one, or it would take the
// last place that is kept from it. Each such connection would cost a place of the
// share for as long as the target is frozen. The mutex is held.
func (p *Pool) risky(address string) bool {
	for s := range p.linger {
		if s.address == address && (s.failed || time.Since(s.since) >= stuckAfter) {
			return true
		}
	}
	n, _ := p.at(address)
	return n >= max(1, p.share.Connections-1)
}

// end has a target end the session of a socket that went silent.
func (p *Pool) end(ctx context.Context, s *socket) bool {
	remain, err := commander.Evict(ctx, p.Network, s.address, s.application, s.pid)
	return err == nil && remain == 0
}

var _ net.Conn = (*socket)(nil)
