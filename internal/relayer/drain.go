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
	// restFor is how long a caller of a leaving instance has to have sent
	// nothing, outside a transaction, before it is told to leave. A request that
	// was sent just before is served, not cut: it arrives within this.
	restFor = 100 * time.Millisecond
	// busyFor is how long a caller that never rests is waited for; from then on
	// it is told right behind an answer. What it has sent by then, and no target
	// has seen, is refused as not run by that very message.
	busyFor = 3 * time.Second
)

// Leaver ends the sessions of an instance that is leaving, each between two of
// its transactions, with the code on which drivers connect anew. The zero value
// is ready; it is shared by all sessions of an instance.
type Leaver struct {
	mutex sync.Mutex
	asked time.Time
	// sessions tells of each whether it rests: it waits for a request, outside
	// a transaction.
	sessions map[*Session]bool
}

// Leave asks all sessions to end.
func (l *Leaver) Leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.asked.IsZero() {
		return
	}
	l.asked = time.Now()
	for s, rests := range l.sessions {
		if rests {
			_ = s.Conn.SetReadDeadline(l.asked.Add(restFor))
		}
	}
}

// Sessions returns how many sessions there are.
func (l *Leaver) Sessions() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.sessions)
}

// rest notes that the session waits for its caller. A session in a transaction
// does not rest: it is left to finish.
func (l *Leaver) rest(s *Session) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rests := s.status == 'I' && s.pinned == nil && s.open == nil
	if l.sessions == nil {
		l.sessions = map[*Session]bool{}
	}
	l.sessions[s] = rests
	if !rests || l.asked.IsZero() {
		return
	}
	now := time.Now()
	if now.Sub(l.asked) < busyFor {
		now = now.Add(restFor)
	}
	_ = s.Conn.SetReadDeadline(now)
}

// wake notes that the session has a request, and reports whether that is so
// because it was told to leave.
func (l *Leaver) wake(s *Session, err error) (leaves bool) {
	if l == nil {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rested := l.sessions[s]
	l.sessions[s] = false
	if l.asked.IsZero() || !rested {
		return false
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	_ = s.Conn.SetReadDeadline(time.Time{})
	return false
}

func (l *Leaver) end(s *Session) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.sessions, s)
}

// farewell tells the caller to connect anew.
func (s *Session) farewell() error {
	s.Count("refused." + refuser.InstanceLeaving.Name)
	r := refuser.New(refuser.InstanceLeaving, "connect again: another instance takes over")
	s.out = s.out[:0]
	s.emit(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: r.Reason.SQLState,
		Message: r.Reason.Code + " " + r.Reason.Title, Detail: r.Detail, Hint: r.Hint(),
	})
	return s.flush()
}
