// Package replicator is the stand-in for a target: one member of a database
// group that speaks the PostgreSQL protocol, keeps a log in memory, replicates
// it asynchronously and obeys the control statements of docs/TARGET.md. It
// understands a fixed table of statement shapes (statements.go), not SQL, and
// records everything it ran, so that a test can compare what callers were told
// with what happened.
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

// The roles of a member.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
	// RoleFenced is a member that obeys a newer term whose primary it does not
	// know yet: it neither accepts writes nor receives entries.
	RoleFenced = "fenced"
)

type (
	// Member is one target. Set the exported fields, then call Run.
	Member struct {
		Name  string
		Group string
		// GroupSize is how many members the group has; 0 means 3.
		GroupSize int
		Address   string
		Network   networker.Network
		Log       log.Logger
		// ConnectTime is how long a new connection takes to be ready.
		ConnectTime time.Duration
		// Slots is how many statements run at once; 0 means no limit.
		Slots int
		// Work is how long each statement occupies a slot.
		Work time.Duration
		// Counter, when set, counts the sessions of all members that share it.
		Counter *Counter
		// Faults can be thrown at any time.
		Faults Faults

		mutex   sync.Mutex
		changed chan struct{} // closed and replaced at each change of state
		term    uint64
		owner   string
		role    string
		primary string // the address that this member follows
		// streamed is the term whose entries this member sends to its followers. It
		// outlasts the fence of a primary, so that what it committed still gets to
		// them, and ends when the member follows another.
		streamed uint64
		draining bool
		heard    time.Time         // replica: the last sign of the primary; zero without a stream
		active   map[*session]bool // sessions with a transaction or statement under way
		ledger   ledger
		arrivals []time.Time                 // when the last entries were received
		acked    map[string]orderer.Position // primary: what followers hold
		sessions map[*session]struct{}
		journal  []Record
		peak     int
		revoked  map[string]bool // applications whose connections are refused
		slots    chan struct{}
		nextPID  uint32
	}

	// Record is one statement that a member ran or refused, or one commit.
	Record struct {
		At          time.Time
		Application string
		// Statement is empty for a commit.
		Statement string
		// Code is the SQLSTATE of a refusal, empty for a statement that ran.
		Code string
		// Ops and Position describe a commit.
		Ops      []Op
		Position orderer.Position
	}

	// Status is what a member reports of itself.
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
		// Heard is how long ago a replica last received anything, a heartbeat
		// included, from its primary; negative without a stream.
		Heard time.Duration
		// Leaving says that the member is about to be shut down.
		Leaving  bool
		Sessions int
		Peak     int
	}
)

// Bootstrap makes the member the primary of term 1, or a replica of it. It is
// called before Run on the members of a new group.
func (m *Member) Bootstrap(primary string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.term, m.owner = 1, "bootstrap"
	if primary == m.Address {
		m.role, m.streamed = RolePrimary, 1
		m.ledger.append(1, nil)
		m.ledger.replay(1)
		return
	}
	m.role, m.primary = RoleReplica, primary
}

// Run serves until the context ends.
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
	m.acked = map[string]orderer.Position{}
	m.sessions, m.active, m.draining = map[*session]struct{}{}, map[*session]bool{}, false
	if m.Slots > 0 {
		m.slots = make(chan struct{}, m.Slots)
	}
	if m.role == "" {
		m.role = RoleFenced
	}
}

func (m *Member) accept(ctx context.Context, l net.Listener) error {
	ended := make(chan error)
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
			go func() { ended <- m.serve(ctx, c) }()
		case <-ended:
			running--
		case err := <-failed:
			for ; running > 0; running-- {
				<-ended
			}
			return err
		}
	}
}

// notify wakes everything that waits for a change; the mutex is held.
func (m *Member) notify() {
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

// await blocks until ok holds; it is called, and ok runs, with the mutex held.
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

// Status returns the member's state.
func (m *Member) Status() Status {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.status()
}

func (m *Member) status() Status {
	s := Status{
		Name: m.Name, Role: m.role, Term: m.term, Owner: m.owner,
		Received: m.ledger.received(), Replayed: m.ledger.replayedPosition(),
		Following: m.primary, Heard: -time.Millisecond, Sessions: len(m.sessions), Peak: m.peak, Leaving: m.Faults.takesLeave(),
	}
	if m.role == RoleReplica && !m.heard.IsZero() {
		s.Heard = time.Since(m.heard)
	}
	if m.role == RolePrimary {
		s.Followers = map[string]orderer.Position{}
		for n, p := range m.acked {
			s.Followers[n] = p
		}
	}
	return s
}

// Journal returns a copy of all that the member ran.
func (m *Member) Journal() []Record {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]Record(nil), m.journal...)
}

// Entries returns a copy of the member's log.
func (m *Member) Entries() []Entry {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]Entry(nil), m.ledger.entries...)
}

// Value returns a visible value; ok is false when there is none.
func (m *Member) Value(table, key string) (value string, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	value, ok = m.ledger.visible[table][key]
	return value, ok
}

func (m *Member) closeSessions(match func(*session) bool) {
	m.mutex.Lock()
	var doomed []*session
	for s := range m.sessions {
		if match(s) {
			doomed = append(doomed, s)
		}
	}
	m.mutex.Unlock()
	for _, s := range doomed {
		_ = s.conn.Close()
	}
}

// SilenceOpen makes the connections that are open now go silent for good, as if
// something between the two ends had lost track of them. New ones work.
func (m *Member) SilenceOpen() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for s := range m.sessions {
		s.silent.Store(true)
	}
}
