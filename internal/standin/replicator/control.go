package replicator

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// Codes that a member reports beside those of PostgreSQL. A statement refused
// with CodeFenced was not run.
const (
	CodeFenced      = "OG001"
	CodeReadOnly    = "25006"
	CodeRevoked     = "OG003"
	CodeEvicted     = "OG004"
	CodeActivity    = "OG005"
	codeNotFence    = "OG002"
	codeUnsupported = "0A000"
	codeAborted     = "25P02"
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

// runAwait answers whether a majority of the group holds a position of the term
// in which this member is, or was last, the primary. The answer true stays true:
// a follower that was fenced before it held the entry never acknowledges it, and
// one fenced later shows it to whoever fenced it. A primary that was fenced still
// counts itself, since its log shows the entry to whoever fenced it; it stops
// answering when it follows another, which may cut its log.
func runAwait(ctx context.Context, s *session, a []string) result {
	m := s.member
	want := parsePosition(a[0], a[1])
	milliseconds, _ := strconv.Atoi(a[2])
	ctx, cancel := context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
	defer cancel()
	m.mutex.Lock()
	held := false
	m.await(ctx, func() bool {
		held = m.majorityHolds(want)
		return held || m.streamed != want.Term
	})
	m.mutex.Unlock()
	text := "f"
	if held {
		text = "t"
	}
	return result{Columns: []column{{"oriole_await", oidBool}}, Rows: [][]string{{text}}, Tag: "SELECT 1"}
}

// runReplayed answers whether this member's reads show a position, and waits for
// it a little.
func runReplayed(ctx context.Context, s *session, a []string) result {
	m := s.member
	want := parsePosition(a[0], a[1])
	milliseconds, _ := strconv.Atoi(a[2])
	ctx, cancel := context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
	defer cancel()
	m.mutex.Lock()
	shown := m.await(ctx, func() bool { return m.ledger.replayedPosition().AtLeast(want) })
	m.mutex.Unlock()
	text := "f"
	if shown {
		text = "t"
	}
	return result{Columns: []column{{"oriole_replayed", oidBool}}, Rows: [][]string{{text}}, Tag: "SELECT 1"}
}

func (m *Member) majorityHolds(p orderer.Position) bool {
	if m.streamed == 0 || m.streamed != p.Term {
		return false
	}
	holders := 1
	for _, q := range m.acked {
		if q.Term == p.Term && q.Offset >= p.Offset {
			holders++
		}
	}
	return holders > m.size()/2
}

func (m *Member) size() int {
	if m.GroupSize > 0 {
		return m.GroupSize
	}
	return defaultGroupSize
}

// runFence makes the member obey a newer term. A member grants each term to one
// owner, so that two promoters with the same term can't both fence a majority.
func runFence(_ context.Context, s *session, a []string) result {
	m := s.member
	term, _ := strconv.ParseUint(a[0], 10, 64)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if term < m.term || (term == m.term && a[1] != m.owner) {
		return result{Err: &refusal{Code: codeNotFence, Message: "term " + strconv.FormatUint(m.term, 10) + " is already granted to " + m.owner}}
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

// runDrain fences a primary once the transactions that are open have ended, or
// at the latest after the given milliseconds. From its start on, no connection
// gets to begin another one: it is refused as not run, and whoever holds the
// request sends it to the next primary. Without the wait, a planned change would
// roll back every open transaction.
func runDrain(ctx context.Context, s *session, a []string) result {
	m := s.member
	term, _ := strconv.ParseUint(a[0], 10, 64)
	milliseconds, _ := strconv.Atoi(a[2])
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if term > m.term && m.role == RolePrimary {
		bound, cancel := context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
		defer cancel()
		m.draining = true
		m.await(bound, func() bool { return len(m.active) == 0 || m.term >= term })
	}
	if term < m.term || (term == m.term && a[1] != m.owner) {
		return result{Err: &refusal{Code: codeNotFence, Message: "term " + strconv.FormatUint(m.term, 10) + " is already granted to " + m.owner}}
	}
	m.fence(term, a[1])
	return statusResult(m.status())
}

// runPromote makes a member that was fenced for the term its primary. What it has
// received and not replayed yet is replayed first, which takes its time.
func runPromote(ctx context.Context, s *session, a []string) result {
	m := s.member
	term, _ := strconv.ParseUint(a[0], 10, 64)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	wait := m.backlog()
	m.mutex.Unlock()
	sleep(ctx, wait)
	m.mutex.Lock()
	if term != m.term || a[1] != m.owner || m.role == RoleReplica {
		return result{Err: &refusal{Code: codeNotFence, Message: "not fenced for this term and owner"}}
	}
	if m.role == RoleFenced {
		m.role, m.primary, m.streamed = RolePrimary, "", term
		m.acked = map[string]orderer.Position{}
		m.ledger.append(term, nil)
		m.ledger.replay(len(m.ledger.entries))
		m.arrivals = nil
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
		return result{Err: &refusal{Code: codeNotFence, Message: "term " + strconv.FormatUint(m.term, 10) + " is newer, or this is its primary"}}
	}
	if term == m.term && m.role == RoleReplica && m.primary == a[1] {
		return statusResult(m.status()) // an order given twice must not break the stream
	}
	if term > m.term {
		m.owner = ""
	}
	m.term, m.role, m.primary, m.streamed, m.draining = term, RoleReplica, a[1], 0, false
	m.acked = map[string]orderer.Position{}
	m.notify()
	return statusResult(m.status())
}
