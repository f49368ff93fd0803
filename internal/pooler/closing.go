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
	// stuckAfter is how long a target may take to end a session before its slot no longer
	// counts as available.
	stuckAfter = 500 * time.Millisecond
	// terminateAfter is the time after which a closed session that the target has not ended
	// is terminated over a new connection; terminateInterval is the interval of attempts.
	terminateAfter    = time.Second
	terminateInterval = time.Second
)

type halfCloser interface{ CloseWrite() error }

// startClosing begins to close a connection. The mutex is held. The slot stays occupied until
// the target has closed the connection too or reports that the session is gone: a frozen or
// unreachable target still counts it. A reset shows that the target has dropped it.
func (p *Pool) startClosing(s *socket) {
	s.closingSince = time.Now()
	p.closing[s] = struct{}{}
	p.newlyClosing = append(p.newlyClosing, s)
	p.signalClosing()
}

// awaitClose closes the sending direction and reports whether the target closed the other one.
func (p *Pool) awaitClose(ctx context.Context, s *socket) bool {
	stop := context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	defer stop()
	_ = s.Conn.SetDeadline(time.Time{})
	if s.clean {
		terminate, _ := (&pgproto3.Terminate{}).Encode(nil)
		_, _ = s.Conn.Write(terminate)
	}
	// After a partially written request, further bytes could complete it to another statement.
	// Half-closing sends none.
	h, ok := s.Conn.(halfCloser)
	if !ok || h.CloseWrite() != nil {
		_ = s.Conn.Close()
		return false
	}
	_, err := io.Copy(io.Discard, s.Conn)
	_ = s.Conn.Close()
	return err == nil || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// releaseSlot releases the slot of a closed connection. The mutex is held.
func (p *Pool) releaseSlot(s *socket) {
	if _, ok := p.closing[s]; ok {
		delete(p.closing, s)
		p.notifyChanged()
	}
}

// countStuck counts the sessions that their targets have not ended in time.
func (p *Pool) countStuck() int {
	n := 0
	for s := range p.closing {
		if time.Since(s.closingSince) >= stuckAfter {
			n++
		}
	}
	return n
}

// countClosingSoon counts the idle connections closed to free slots, whose sessions should end
// shortly.
func (p *Pool) countClosingSoon() int {
	n := 0
	for s := range p.closing {
		if s.clean && time.Since(s.closingSince) < stuckAfter {
			n++
		}
	}
	return n
}

// mayHang reports whether a target has to be probed before another connection to it is opened:
// it failed to open or end one in time, or the connection would use the last slot allowed for
// it. A frozen target would keep each such slot. The mutex is held.
func (p *Pool) mayHang(address string) bool {
	for s := range p.closing {
		if s.address == address && (s.notEstablished || time.Since(s.closingSince) >= stuckAfter) {
			return true
		}
	}
	n, _ := p.countAt(address)
	return n >= max(1, p.share.Connections-1)
}

// terminateSession asks a target to terminate the session of an unresponsive socket.
func (p *Pool) terminateSession(ctx context.Context, s *socket) bool {
	remain, err := commander.Evict(ctx, p.Network, s.address, s.application, s.pid)
	return err == nil && remain == 0
}

var _ net.Conn = (*socket)(nil)
