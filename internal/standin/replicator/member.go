// Package replicator is a test stand-in for a target: a member of a database group that speaks the
// PostgreSQL protocol, replicates an in-memory log asynchronously and implements the control
// statements of docs/TARGET.md. It supports a fixed set of statements (statements.go), not SQL, and
// records everything it executed, so that a test can compare responses with effects.
package replicator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const defaultGroupSize = 3

// Roles of a member.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
	// RoleFenced is the role in a newer term without a known primary: the member neither accepts
	// writes nor receives entries.
	RoleFenced = "fenced"
)

type (
	// Member is a target. Set the exported fields, then call Run.
	Member struct {
		Name  string
		Group string
		// GroupSize is the number of members in the group; 0 means 3.
		GroupSize int
		Address   string
		Network   networker.Network
		Log       log.Logger
		// ConnectTime is the time to establish a connection.
		ConnectTime time.Duration
		// Slots limits concurrent statements; 0 means no limit.
		Slots int
		// ExecutionTime is the time that each statement occupies a slot.
		ExecutionTime time.Duration
		// Counter, when set, counts the sessions of all members that share it.
		Counter *SessionCounter
		Faults  Faults

		mutex   sync.Mutex
		changed chan struct{} // closed and replaced at each state change
		term    uint64
		owner   string
		role    string
		primary string // the address that this member follows
		// streamTerm is the term whose entries this member sends to its followers. A fenced primary
		// keeps it, so that followers still receive its commits, until it follows another.
		streamTerm     uint64
		draining       bool
		lastReceived   time.Time         // replica: last message from the primary; zero without a stream
		activeSessions map[*session]bool // sessions with a transaction or statement in progress
		wal            wal
		receiveTimes   []time.Time                 // of the newest entries, replayed ones removed
		ackedPositions map[string]orderer.Position // primary: by follower
		sessions       map[*session]struct{}
		journal        []Record
		peakSessions   int
		revoked        map[string]bool // applications whose connections are refused
		slots          chan struct{}
		nextPID        uint32
	}

	// Record is a journal record of an executed or rejected statement, or of a commit.
	Record struct {
		At          time.Time
		Application string
		// Statement is empty for a commit.
		Statement string
		// Code is the SQLSTATE of an error, empty for success.
		Code string
		// Ops and Position are set for a commit.
		Ops      []Op
		Position orderer.Position
	}

	// Status is the reported state of a member.
	Status struct {
		Name      string
		Role      string
		Term      uint64
		Owner     string
		Received  orderer.Position
		Replayed  orderer.Position
		Followers map[string]orderer.Position
		// Following is the address of the primary that a replica follows.
		Following string
		// Heard is the time since a replica last received an entry or a heartbeat from its primary;
		// negative without a stream.
		Heard time.Duration
		// Leaving is set if the member is about to shut down.
		Leaving  bool
		Sessions int
		Peak     int
	}
)

// Bootstrap makes the member the primary of term 1, or a replica of it. Call it before Run on the
// members of a new group.
func (m *Member) Bootstrap(primary string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.term, m.owner = 1, "bootstrap"
	if primary == m.Address {
		m.role, m.streamTerm = RolePrimary, 1
		m.wal.append(1, nil)
		m.wal.replay(1)
		return
	}
	m.role, m.primary = RoleReplica, primary
}

// Run serves until the context is cancelled.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mutex.Lock()
	m.init()
	m.mutex.Unlock()
	l, err := m.Network.Listen(m.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	_ = m.Log.Log("part", "target", "msg", "Member is serving.", "member", m.Name, "address", m.Address)
	done := make(chan error, 3)
	go func() { done <- m.follow(ctx) }()
	go func() { done <- m.replayLoop(ctx) }()
	go func() { done <- m.accept(ctx, l) }()
	<-ctx.Done()
	_ = l.Close()
	m.closeSessions(func(*session) bool { return true })
	for range 3 {
		<-done
	}
	return ctx.Err()
}

func (m *Member) init() {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	m.ackedPositions = map[string]orderer.Position{}
	m.sessions, m.activeSessions, m.draining = map[*session]struct{}{}, map[*session]bool{}, false
	if m.Slots > 0 {
		m.slots = make(chan struct{}, m.Slots)
	}
	if m.role == "" {
		m.role = RoleFenced
	}
}

func (m *Member) accept(ctx context.Context, l net.Listener) error {
	done := make(chan error)
	running := 0
	accepted := make(chan net.Conn)
	failed := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				failed <- err
				return
			}
			accepted <- c
		}
	}()
	for {
		select {
		case c := <-accepted:
			running++
			go func() { done <- m.serve(ctx, c) }()
		case <-done:
			running--
		case err := <-failed:
			for ; running > 0; running-- {
				<-done
			}
			return err
		}
	}
}

// notify wakes all callers of await. The caller must hold the mutex.
func (m *Member) notify() {
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

// await waits until ok returns true, which it calls with the mutex held. The caller must hold the
// mutex.
func (m *Member) await(ctx context.Context, ok func() bool) bool {
	for !ok() {
		c := m.changed
		m.mutex.Unlock()
		select {
		case <-c:
			m.mutex.Lock()
		case <-ctx.Done():
			m.mutex.Lock()
			return ok()
		}
	}
	return true
}

// Status returns the state of the member.
func (m *Member) Status() Status {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.status()
}

func (m *Member) status() Status {
	s := Status{
		Name: m.Name, Role: m.role, Term: m.term, Owner: m.owner,
		Received: m.wal.received(), Replayed: m.wal.replayedPosition(),
		Following: m.primary, Heard: -time.Millisecond, Sessions: len(m.sessions), Peak: m.peakSessions, Leaving: m.Faults.isShuttingDown(),
	}
	if m.role == RoleReplica && !m.lastReceived.IsZero() {
		s.Heard = time.Since(m.lastReceived)
	}
	if m.role == RolePrimary {
		s.Followers = map[string]orderer.Position{}
		for n, p := range m.ackedPositions {
			s.Followers[n] = p
		}
	}
	return s
}

// Journal returns a copy of the records of all statements and commits.
func (m *Member) Journal() []Record {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]Record(nil), m.journal...)
}

// Entries returns a copy of the log.
func (m *Member) Entries() []Entry {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]Entry(nil), m.wal.entries...)
}

// Value returns a replayed value of a table.
func (m *Member) Value(table, key string) (value string, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	value, ok = m.wal.visible[table][key]
	return value, ok
}

func (m *Member) closeSessions(match func(*session) bool) {
	m.mutex.Lock()
	var matching []*session
	for s := range m.sessions {
		if match(s) {
			matching = append(matching, s)
		}
	}
	m.mutex.Unlock()
	for _, s := range matching {
		_ = s.conn.Close()
	}
}

// BlackholeConnections makes all open connections unresponsive without closing them, as when a firewall drops
// their state. New connections work.
func (m *Member) BlackholeConnections() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for s := range m.sessions {
		s.unresponsive.Store(true)
	}
}
