package relayer

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	// idleGrace is how long a session must be idle outside a transaction before it is closed,
	// so that requests already sent are still served.
	idleGrace = 100 * time.Millisecond
	// busyGrace is how long to wait for a busy client to become idle; after it, the session is
	// closed right after an answer. Requests already sent are then refused as not run.
	busyGrace = 3 * time.Second
)

// Drainer closes the sessions of an instance that shuts down, each between two transactions,
// with an error code on which drivers reconnect. The zero value is ready for use; all sessions
// of an instance share it.
type Drainer struct {
	mutex       sync.Mutex
	requestedAt time.Time
	// sessions maps each session to whether it waits for a request outside a transaction.
	sessions map[*Session]bool
}

// Drain starts closing all sessions.
func (d *Drainer) Drain() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.requestedAt.IsZero() {
		return
	}
	d.requestedAt = time.Now()
	for s, waiting := range d.sessions {
		if waiting {
			_ = s.Conn.SetReadDeadline(d.requestedAt.Add(idleGrace))
		}
	}
}

// Sessions returns the number of sessions.
func (d *Drainer) Sessions() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.sessions)
}

// markWaiting records that the session waits for a request. A session in a transaction is left
// to finish.
func (d *Drainer) markWaiting(s *Session) {
	if d == nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	waiting := s.status == 'I' && s.pinned == nil && s.suspended == nil
	if d.sessions == nil {
		d.sessions = map[*Session]bool{}
	}
	d.sessions[s] = waiting
	if !waiting || d.requestedAt.IsZero() {
		return
	}
	now := time.Now()
	if now.Sub(d.requestedAt) < busyGrace {
		now = now.Add(idleGrace)
	}
	_ = s.Conn.SetReadDeadline(now)
}

// markBusy records that the session has a request, and reports whether it must be closed
// instead.
func (d *Drainer) markBusy(s *Session, err error) (mustClose bool) {
	if d == nil {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	wasWaiting := d.sessions[s]
	d.sessions[s] = false
	if d.requestedAt.IsZero() || !wasWaiting {
		return false
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	_ = s.Conn.SetReadDeadline(time.Time{})
	return false
}

func (d *Drainer) remove(s *Session) {
	if d == nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.sessions, s)
}

// sendShutdownError sends the error that makes the driver reconnect.
func (s *Session) sendShutdownError() error {
	s.Count("refused." + refuser.InstanceLeaving.Name)
	r := refuser.New(refuser.InstanceLeaving, "reconnect to another instance")
	s.out = s.out[:0]
	s.emit(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: r.Reason.SQLState,
		Message: r.Reason.Code + " " + r.Reason.Title, Detail: r.Detail, Hint: r.Hint(),
	})
	return s.flush()
}
