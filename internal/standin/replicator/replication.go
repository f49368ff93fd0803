package replicator

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	retryFollow   = 50 * time.Millisecond
	followTimeout = 2 * time.Second
	replayPoll    = time.Millisecond
	// heartbeat is how often a primary with nothing to send shows that it lives.
	heartbeat       = 200 * time.Millisecond
	replicationMode = "oriole"
)

type (
	// hello opens a replication stream.
	hello struct {
		Name string
		Term uint64
		Ends []orderer.Position
	}

	// welcome answers it: the follower keeps the first Keep entries.
	welcome struct {
		Term  uint64
		Keep  int
		Error string
	}

	ack struct{ Position orderer.Position }
)

// follow keeps a stream from the primary open while the member is a replica.
func (m *Member) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		m.mutex.Lock()
		term, primary := m.term, m.primary
		active := m.role == RoleReplica && primary != ""
		c := m.changed
		m.mutex.Unlock()
		if !active {
			select {
			case <-c:
			case <-ctx.Done():
			}
			continue
		}
		if err := m.stream(ctx, term, primary); err != nil && ctx.Err() == nil {
			sleep(ctx, retryFollow)
		}
	}
	return ctx.Err()
}

// stream receives entries of one term from one primary until either changes.
func (m *Member) stream(ctx context.Context, term uint64, primary string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dial, stop := context.WithTimeout(ctx, followTimeout)
	conn, err := m.Network.Dial(dial, primary)
	stop()
	if err != nil {
		return errors.Wrap(err, "dial primary")
	}
	defer conn.Close()
	defer m.hear(false)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		m.mutex.Lock()
		m.await(ctx, func() bool { return m.term != term || m.role != RoleReplica || m.primary != primary })
		m.mutex.Unlock()
		_ = conn.Close()
	}()
	defer func() { cancel(); <-watched }()
	return m.receive(ctx, conn, term)
}

func (m *Member) receive(ctx context.Context, conn net.Conn, term uint64) error {
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "replicator", "replication": replicationMode, "application_name": m.Name,
	}})
	if err := f.Flush(); err != nil {
		return errors.Wrap(err, "open stream")
	}
	if m, err := f.Receive(); err != nil {
		return errors.Wrap(err, "open stream")
	} else if _, ok := m.(*pgproto3.AuthenticationOk); !ok {
		return errors.Errorf("open stream: answered by %T", m)
	}
	m.mutex.Lock()
	h := hello{Name: m.Name, Term: term, Ends: m.ledger.ends()}
	m.mutex.Unlock()
	out, in := json.NewEncoder(conn), json.NewDecoder(conn)
	if err := out.Encode(h); err != nil {
		return errors.Wrap(err, "send hello")
	}
	var w welcome
	if err := in.Decode(&w); err != nil {
		return errors.Wrap(err, "receive welcome")
	}
	if w.Error != "" || w.Term != term {
		return errors.Errorf("primary refused the stream: %s", w.Error)
	}
	if !m.update(term, func() { m.ledger.truncate(w.Keep) }) {
		return errors.New("term changed")
	}
	for {
		var e Entry
		if err := in.Decode(&e); err != nil {
			return errors.Wrap(err, "receive entry")
		}
		if err := m.Faults.pass(ctx); err != nil {
			return err
		}
		m.hear(true)
		if e.Position.IsZero() {
			continue
		}
		sleep(ctx, m.Faults.read(func() time.Duration { return m.Faults.streamLag }))
		// An entry counts as held only while the term that sent it is still the
		// newest this member obeys: after a fence it must not move its position.
		if !m.update(term, func() { m.store(e) }) {
			return errors.New("term changed")
		}
		if err := out.Encode(ack{Position: e.Position}); err != nil {
			return errors.Wrap(err, "acknowledge")
		}
	}
}

// hear notes that the primary has been heard, or that the stream has ended.
func (m *Member) hear(streaming bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heard = time.Time{}
	if streaming {
		m.heard = time.Now()
	}
}

func (m *Member) store(e Entry) {
	if e.Position.Offset != uint64(len(m.ledger.entries))+1 {
		return
	}
	m.ledger.entries = append(m.ledger.entries, e)
	m.arrivals = append(m.arrivals, time.Now())
}

// update changes the state of a replica of the given term.
func (m *Member) update(term uint64, change func()) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.term != term || m.role != RoleReplica {
		return false
	}
	change()
	m.notify()
	return true
}

// replayLoop makes received entries visible, after the replay lag.
func (m *Member) replayLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		m.mutex.Lock()
		m.await(ctx, func() bool { return m.role == RoleReplica && m.ledger.replayed < len(m.ledger.entries) })
		m.mutex.Unlock()
		if m.Faults.pass(ctx) != nil {
			break
		}
		lag := m.Faults.read(func() time.Duration { return m.Faults.replayLag })
		m.mutex.Lock()
		wait := m.replayDue(lag)
		m.mutex.Unlock()
		sleep(ctx, wait)
	}
	return ctx.Err()
}

// replayDue replays what is due and returns how long to wait for more.
func (m *Member) replayDue(lag time.Duration) time.Duration {
	now := time.Now()
	n := m.ledger.replayed
	for n < len(m.ledger.entries) {
		// Entries that were in the log before the stream began are due at once.
		i := n - (len(m.ledger.entries) - len(m.arrivals))
		if i >= 0 && now.Sub(m.arrivals[i]) < lag {
			break
		}
		n++
	}
	if n > m.ledger.replayed {
		m.ledger.replay(n)
		m.notify()
	}
	if keep := len(m.ledger.entries) - n; keep < len(m.arrivals) {
		m.arrivals = append([]time.Time(nil), m.arrivals[len(m.arrivals)-keep:]...)
	}
	if n < len(m.ledger.entries) {
		return replayPoll
	}
	return 0
}

// backlog is how long replaying what was received takes; the mutex is held.
func (m *Member) backlog() time.Duration {
	if m.role != RoleFenced || len(m.arrivals) == 0 || m.ledger.replayed == len(m.ledger.entries) {
		return 0
	}
	lag := m.Faults.read(func() time.Duration { return m.Faults.replayLag })
	return max(0, time.Until(m.arrivals[len(m.arrivals)-1].Add(lag)))
}

// feed serves a follower's stream on a primary.
func (m *Member) feed(ctx context.Context, conn net.Conn) error {
	out, in := json.NewEncoder(conn), json.NewDecoder(conn)
	var h hello
	if err := in.Decode(&h); err != nil {
		return errors.Wrap(err, "receive hello")
	}
	m.mutex.Lock()
	w := welcome{Term: m.term}
	if m.streamed == 0 || m.streamed != h.Term {
		w.Error = "not the primary of term"
	}
	w.Keep = m.ledger.common(h.Ends)
	m.mutex.Unlock()
	if err := out.Encode(w); err != nil || w.Error != "" {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		defer cancel()
		ended <- m.readAcks(ctx, in, h)
	}()
	err := m.sendEntries(ctx, out, h.Term, w.Keep)
	cancel()
	_ = conn.Close()
	<-ended
	return err
}

func (m *Member) readAcks(ctx context.Context, in *json.Decoder, h hello) error {
	for {
		var a ack
		if err := in.Decode(&a); err != nil {
			return err
		}
		if err := m.Faults.pass(ctx); err != nil {
			return err
		}
		m.mutex.Lock()
		if m.streamed == h.Term {
			m.acked[h.Name] = a.Position
			m.notify()
		}
		m.mutex.Unlock()
	}
}

func (m *Member) sendEntries(ctx context.Context, out *json.Encoder, term uint64, next int) error {
	for {
		beat, stop := context.WithTimeout(ctx, heartbeat)
		m.mutex.Lock()
		m.await(beat, func() bool { return m.streamed != term || next < len(m.ledger.entries) })
		if ctx.Err() != nil || m.streamed != term {
			m.mutex.Unlock()
			stop()
			return errors.New("stream ended")
		}
		batch := append([]Entry(nil), m.ledger.entries[next:]...)
		m.mutex.Unlock()
		stop()
		if err := m.Faults.pass(ctx); err != nil {
			return err
		}
		for _, e := range batch {
			if err := out.Encode(e); err != nil {
				return errors.Wrap(err, "send entry")
			}
		}
		next += len(batch)
		if len(batch) == 0 {
			if err := out.Encode(Entry{}); err != nil {
				return errors.Wrap(err, "send heartbeat")
			}
		}
	}
}
