package replicator

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// ParameterEvict, sent at start-up, names an application whose sessions are
	// to end; ParameterEvictPID names one of them. The connection never becomes
	// a session: the answer is an error with CodeEvicted, whose message is the
	// number of sessions that remain.
	ParameterEvict    = "oriole.evict"
	ParameterEvictPID = "oriole.evict-pid"
	// ParameterActivity, sent at start-up, asks what the session with a number
	// does. The answer is an error with CodeActivity: active, idle or absent.
	ParameterActivity = "oriole.activity"

	// evictWait is how long an eviction waits for sessions to end.
	evictWait = 500 * time.Millisecond
)

// evict ends the session of an application with a number, or, for number 0, all
// of its sessions, and from then on refuses new ones of it. It returns how many
// remain. The refusal is what lets another instance take over connections of one
// that may only be paused: whatever it opens when it wakes is turned away.
func (m *Member) evict(ctx context.Context, application string, pid uint32) int {
	match := func(o *session) bool {
		return o.application == application && (pid == 0 || o.pid == pid)
	}
	ctx, cancel := context.WithTimeout(ctx, evictWait)
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
	remain := 0
	m.await(ctx, func() bool {
		remain = 0
		for o := range m.sessions {
			if match(o) {
				remain++
			}
		}
		return remain == 0
	})
	return remain
}

// answerEviction carries out an eviction that a start-up message asks for.
func (s *session) answerEviction(ctx context.Context, parameters map[string]string) error {
	pid, _ := strconv.ParseUint(parameters[ParameterEvictPID], 10, 32)
	remain := s.member.evict(ctx, parameters[ParameterEvict], uint32(pid))
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: CodeEvicted, Message: strconv.Itoa(remain)})
	_ = s.backend.Flush()
	return errClosed
}

// answerActivity answers a question about a session that came at start-up.
func (s *session) answerActivity(pid string) error {
	state := "absent"
	s.member.mutex.Lock()
	for o := range s.member.sessions {
		if strconv.FormatUint(uint64(o.pid), 10) == pid {
			state = "idle"
			if o.running.Load() != nil {
				state = "active"
			}
		}
	}
	s.member.mutex.Unlock()
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: CodeActivity, Message: state})
	_ = s.backend.Flush()
	return errClosed
}

// admit counts a session, unless its application has been revoked meanwhile.
func (m *Member) admit(s *session) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revoked[s.application] {
		return false
	}
	m.sessions[s] = struct{}{}
	m.peak = max(m.peak, len(m.sessions))
	m.Counter.add(1)
	return true
}
