package replicator

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// SQLSTATE codes that the group uses in its errors. A statement rejected with CodeFenced was
// not executed.
const (
	CodeFenced       = "OG001"
	CodeReadOnly     = "25006"
	CodeRevoked      = "OG003"
	CodeEvicted      = "OG004"
	CodeActivity     = "OG005"
	codeTermRejected = "OG002"
	codeUnsupported  = "0A000"
	codeAborted      = "25P02"
)

var statusColumns = []column{
	{"role", oidText},
	{"term", oidInt8},
	{"owner", oidText},
	{"received", oidText},
	{"replayed", oidText},
	{"followers", oidText},
	{"following", oidText},
	{"heard_ms", oidInt8},
	{"leaving", oidText},
}

func statusResult(s Status) result {
	followers := map[string]string{}
	for n, p := range s.Followers {
		followers[n] = p.String()
	}
	text, _ := json.Marshal(followers)
	return result{
		Columns: statusColumns,
		Rows: [][]string{{
			s.Role, strconv.FormatUint(s.Term, 10), s.Owner, s.Received.String(), s.Replayed.String(), string(text), s.Following,
			strconv.FormatInt(s.Heard.Milliseconds(), 10), strconv.FormatBool(s.Leaving),
		}},
		Tag: "SELECT 1",
	}
}

func runStatus(_ context.Context, s *session, _ []string) result {
	return statusResult(s.member.Status())
}

// runAwait waits, up to a timeout, until a majority of the group holds a position of the term that
// this member streams. A true result is final: a fenced follower acknowledges no further entries,
// and reports those it holds to the owner of the new term. A fenced primary still counts itself,
// until it follows another primary, which may truncate its log.
func runAwait(ctx context.Context, s *session, a []string) result {
	m := s.member
	want := parsePosition(a[0], a[1])
	milliseconds, _ := strconv.Atoi(a[2])
	ctx, cancel := context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
	defer cancel()
	m.mutex.Lock()
	acked := false
	m.await(ctx, func() bool {
		acked = m.majorityAcked(want)
		return acked || m.streamTerm != want.Term
	})
	m.mutex.Unlock()
	text := "f"
	if acked {
		text = "t"
	}
	return result{Columns: []column{{"oriole_await", oidBool}}, Rows: [][]string{{text}}, Tag: "SELECT 1"}
}

// runReplayed waits, up to a timeout, until this member has replayed a position.
func runReplayed(ctx context.Context, s *session, a []string) result {
	m := s.member
	want := parsePosition(a[0], a[1])
	milliseconds, _ := strconv.Atoi(a[2])
	ctx, cancel := context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
	defer cancel()
	m.mutex.Lock()
	replayed := m.await(ctx, func() bool { return m.wal.replayedPosition().AtLeast(want) })
	m.mutex.Unlock()
	text := "f"
	if replayed {
		text = "t"
	}
	return result{Columns: []column{{"oriole_replayed", oidBool}}, Rows: [][]string{{text}}, Tag: "SELECT 1"}
}

func (m *Member) majorityAcked(p orderer.Position) bool {
	if m.streamTerm == 0 || m.streamTerm != p.Term {
		return false
	}
	acks := 1
	for _, q := range m.ackedPositions {
		if q.Term == p.Term && q.Offset >= p.Offset {
			acks++
		}
	}
	return acks > m.groupSize()/2
}

func (m *Member) groupSize() int {
	if m.GroupSize > 0 {
		return m.GroupSize
	}
	return defaultGroupSize
}

// runFence moves the member to a newer term. A member grants each term to one owner, so that two
// owners with the same term can't both fence a majority.
func runFence(_ context.Context, s *session, a []string) result {
	m := s.member
	term, _ := strconv.ParseUint(a[0], 10, 64)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if term < m.term || (term == m.term && a[1] != m.owner) {
		return result{Err: &sqlError{Code: codeTermRejected, Message: "term " + strconv.FormatUint(m.term, 10) + " is already granted to " + m.owner}}
	}
	m.fence(term, a[1])
	return statusResult(m.status())
}

func (m *Member) fence(term uint64, owner string) {
	if term > m.term {
		m.term, m.owner, m.role, m.primary = term, owner, RoleFenced, ""
		m.draining = false
		m.notify()
	}
}

// runDrain fences a primary after its open transactions have ended or the timeout has passed, so
// that a planned failover doesn't roll them back. New transactions are rejected as not executed;
// the caller retries them on the next primary.
func runDrain(ctx context.Context, s *session, a []string) result {
	m := s.member
	term, _ := strconv.ParseUint(a[0], 10, 64)
	milliseconds, _ := strconv.Atoi(a[2])
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if term > m.term && m.role == RolePrimary {
		drainCtx, cancel := context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
		defer cancel()
		m.draining = true
		m.await(drainCtx, func() bool { return len(m.activeSessions) == 0 || m.term >= term })
	}
	if term < m.term || (term == m.term && a[1] != m.owner) {
		return result{Err: &sqlError{Code: codeTermRejected, Message: "term " + strconv.FormatUint(m.term, 10) + " is already granted to " + m.owner}}
	}
	m.fence(term, a[1])
	return statusResult(m.status())
}

// runPromote makes a member that was fenced for the term its primary, after it has replayed the
// received entries.
func runPromote(ctx context.Context, s *session, a []string) result {
	m := s.member
	term, _ := strconv.ParseUint(a[0], 10, 64)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	wait := m.remainingReplayTime()
	m.mutex.Unlock()
	sleep(ctx, wait)
	m.mutex.Lock()
	if term != m.term || a[1] != m.owner || m.role == RoleReplica {
		return result{Err: &sqlError{Code: codeTermRejected, Message: "not fenced for this term and owner"}}
	}
	if m.role == RoleFenced {
		m.role, m.primary, m.streamTerm = RolePrimary, "", term
		m.ackedPositions = map[string]orderer.Position{}
		m.wal.append(term, nil)
		m.wal.replay(len(m.wal.entries))
		m.receiveTimes = nil
		m.notify()
	}
	return statusResult(m.status())
}

// runFollow makes the member a replica of the primary of a term.
func runFollow(_ context.Context, s *session, a []string) result {
	m := s.member
	term, _ := strconv.ParseUint(a[0], 10, 64)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if term < m.term || (term == m.term && m.role == RolePrimary) {
		return result{Err: &sqlError{Code: codeTermRejected, Message: "term " + strconv.FormatUint(m.term, 10) + " is newer, or this member is its primary"}}
	}
	if term == m.term && m.role == RoleReplica && m.primary == a[1] {
		return statusResult(m.status()) // a repeated request must not interrupt the stream
	}
	if term > m.term {
		m.owner = ""
	}
	m.term, m.role, m.primary, m.streamTerm, m.draining = term, RoleReplica, a[1], 0, false
	m.ackedPositions = map[string]orderer.Position{}
	m.notify()
	return statusResult(m.status())
}
