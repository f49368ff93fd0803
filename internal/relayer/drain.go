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
	// busyGrace is how long to wait for a busy caller to become idle; after it, the session is
	// closed right after an answer. Requests already sent are then refused as not run.
	busyGrace = 3 * time.Second
)

// Leaver closes the sessions of an instance that shuts down, each between two transactions,
// with an error code on which drivers reconnect. The zero value is ready for use; all sessions
// of an instance share it.
type Drainer struct {
	mutex       sync.Mutex
	requestedAt time.Time
	// sessions maps each session to whether it waits for a request outside a transaction.
	sessions map[*Session]bool
}

// Drain starts closing all sessions.
func (l *Drainer) Drain() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.requestedAt.IsZero() {
		return
	}
	l.requestedAt = time.Now()
	for s, waiting := range l.sessions {
		if waiting {
			_ = s.Conn.SetReadDeadline(l.requestedAt.Add(idleGrace))
		}
	}
}

// Sessions returns the number of sessions.
func (l *Drainer) Sessions() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.sessions)
}

// markWaiting records that the session waits for a request. A session in a transaction is left
// to finish.
func (l *Drainer) markWaiting(s *Session) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	waiting := s.status == 'I' && s.pinned == nil && s.suspended == nil
	if l.sessions == nil {
		l.sessions = map[*Session]bool{}
	}
	l.sessions[s] = waiting
	if !waiting || l.requestedAt.IsZero() {
		return
	}
	now := time.Now()
	if now.Sub(l.requestedAt) < busyGrace {
		now = now.Add(idleGrace)
	}
	_ = s.Conn.SetReadDeadline(now)
}

// markBusy records that the session has a request, and reports whether it must be closed
// instead.
func (l *Drainer) markBusy(s *Session, err error) (mustClose bool) {
	if l == nil {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wasWaiting := l.sessions[s]
	l.sessions[s] = false
	if l.requestedAt.IsZero() || !wasWaiting {
		return false
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	_ = s.Conn.SetReadDeadline(time.Time{})
	return false
}

func (l *Drainer) remove(s *Session) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.sessions, s)
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
