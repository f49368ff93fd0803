package replicator

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// ParameterEvict, sent at start-up, requests termination of the sessions of an application, and
	// ParameterEvictPID of only one of them. The response is a fatal error with CodeEvicted and the
	// number of remaining sessions as its message.
	ParameterEvict    = "oriole.evict"
	ParameterEvictPID = "oriole.evict-pid"
	// ParameterActivity, sent at start-up, requests the state of the session with a process ID. The
	// response is a fatal error with CodeActivity and the message active, idle or absent.
	ParameterActivity = "oriole.activity"

	// evictTimeout bounds the wait for evicted sessions to end.
	evictTimeout = 500 * time.Millisecond
)

// evict terminates the session of an application with a process ID and returns the number of
// sessions that remain. With 0, it terminates all sessions of the application and revokes it, so
// that an instance that was only paused can't reconnect after another took over its connections.
func (m *Member) evict(ctx context.Context, application string, pid uint32) int {
	match := func(o *session) bool {
		return o.application == application && (pid == 0 || o.pid == pid)
	}
	ctx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if pid == 0 {
		if m.revoked == nil {
			m.revoked = map[string]bool{}
		}
		m.revoked[application] = true
	}
	for o := range m.sessions {
		if match(o) {
			o.stop()
			_ = o.conn.Close()
		}
	}
	remaining := 0
	m.await(ctx, func() bool {
		remaining = 0
		for o := range m.sessions {
			if match(o) {
				remaining++
			}
		}
		return remaining == 0
	})
	return remaining
}

// handleEvict handles a start-up message with ParameterEvict.
func (s *session) handleEvict(ctx context.Context, parameters map[string]string) error {
	pid, _ := strconv.ParseUint(parameters[ParameterEvictPID], 10, 32)
	remaining := s.member.evict(ctx, parameters[ParameterEvict], uint32(pid))
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: CodeEvicted, Message: strconv.Itoa(remaining)})
	_ = s.backend.Flush()
	return errClosed
}

// handleActivity handles a start-up message with ParameterActivity.
func (s *session) handleActivity(pid string) error {
	state := "absent"
	s.member.mutex.Lock()
	for o := range s.member.sessions {
		if strconv.FormatUint(uint64(o.pid), 10) == pid {
			state = "idle"
			if o.cancelRunning.Load() != nil {
				state = "active"
			}
		}
	}
	s.member.mutex.Unlock()
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: CodeActivity, Message: state})
	_ = s.backend.Flush()
	return errClosed
}

// addSession registers a session, unless its application has been revoked in the meantime.
func (m *Member) addSession(s *session) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revoked[s.application] {
		return false
	}
	m.sessions[s] = struct{}{}
	m.peakSessions = max(m.peakSessions, len(m.sessions))
	m.Counter.add(1)
	return true
}
