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
	followRetryDelay   = 50 * time.Millisecond
	followDialTimeout  = 2 * time.Second
	replayPollInterval = time.Millisecond
	// heartbeatInterval is the interval of heartbeats on an idle stream.
	heartbeatInterval = 200 * time.Millisecond
	replicationMode   = "oriole"
)

type (
	// streamRequest opens a replication stream. Ends holds the last position of each term in the
	// log of the follower.
	streamRequest struct {
		Name string
		Term uint64
		Ends []orderer.Position
	}

	// streamResponse answers a streamRequest. The follower keeps the first Keep entries of its log.
	streamResponse struct {
		Term  uint64
		Keep  int
		Error string
	}

	ack struct{ Position orderer.Position }
)

// follow keeps a stream from the primary open while the member is a replica, and reconnects.
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
			sleep(ctx, followRetryDelay)
		}
	}
	return ctx.Err()
}

// stream receives entries from a primary until the term, the role or the primary changes.
func (m *Member) stream(ctx context.Context, term uint64, primary string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, stop := context.WithTimeout(ctx, followDialTimeout)
	conn, err := m.Network.Dial(dialCtx, primary)
	stop()
	if err != nil {
		return errors.Wrap(err, "dial primary")
	}
	defer conn.Close()
	defer m.setLastReceived(false)
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		m.mutex.Lock()
		m.await(ctx, func() bool { return m.term != term || m.role != RoleReplica || m.primary != primary })
		m.mutex.Unlock()
		_ = conn.Close()
	}()
	defer func() { cancel(); <-watcherDone }()
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
		return errors.Errorf("open stream: unexpected message %T", m)
	}
	m.mutex.Lock()
	request := streamRequest{Name: m.Name, Term: term, Ends: m.wal.lastPositions()}
	m.mutex.Unlock()
	encoder, decoder := json.NewEncoder(conn), json.NewDecoder(conn)
	if err := encoder.Encode(request); err != nil {
		return errors.Wrap(err, "send stream request")
	}
	var response streamResponse
	if err := decoder.Decode(&response); err != nil {
		return errors.Wrap(err, "receive stream response")
	}
	if response.Error != "" || response.Term != term {
		return errors.Errorf("primary refused the stream: %s", response.Error)
	}
	if !m.updateReplica(term, func() { m.wal.truncate(response.Keep) }) {
		return errors.New("term changed")
	}
	for {
		var e Entry
		if err := decoder.Decode(&e); err != nil {
			return errors.Wrap(err, "receive entry")
		}
		if err := m.Faults.waitWhileFrozen(ctx); err != nil {
			return err
		}
		m.setLastReceived(true)
		if e.Position.IsZero() {
			continue
		}
		sleep(ctx, m.Faults.readDuration(func() time.Duration { return m.Faults.streamLag }))
		// After a fence, the member must not append entries of the old term.
		if !m.updateReplica(term, func() { m.appendEntry(e) }) {
			return errors.New("term changed")
		}
		if err := encoder.Encode(ack{Position: e.Position}); err != nil {
			return errors.Wrap(err, "acknowledge")
		}
	}
}

// setLastReceived records the time of a message from the primary, or clears it at the end of a
// stream.
func (m *Member) setLastReceived(streaming bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastReceived = time.Time{}
	if streaming {
		m.lastReceived = time.Now()
	}
}

func (m *Member) appendEntry(e Entry) {
	if e.Position.Offset != uint64(len(m.wal.entries))+1 {
		return
	}
	m.wal.entries = append(m.wal.entries, e)
	m.receiveTimes = append(m.receiveTimes, time.Now())
}

// updateReplica calls change if the member is a replica in the given term, and reports whether it is.
func (m *Member) updateReplica(term uint64, change func()) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.term != term || m.role != RoleReplica {
		return false
	}
	change()
	m.notify()
	return true
}

// replayLoop replays received entries after the replay lag.
func (m *Member) replayLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		m.mutex.Lock()
		m.await(ctx, func() bool { return m.role == RoleReplica && m.wal.replayed < len(m.wal.entries) })
		m.mutex.Unlock()
		if m.Faults.waitWhileFrozen(ctx) != nil {
			break
		}
		lag := m.Faults.readDuration(func() time.Duration { return m.Faults.replayLag })
		m.mutex.Lock()
		wait := m.replayDue(lag)
		m.mutex.Unlock()
		sleep(ctx, wait)
	}
	return ctx.Err()
}

// replayDue replays the due entries and returns the delay until the next check.
func (m *Member) replayDue(lag time.Duration) time.Duration {
	now := time.Now()
	n := m.wal.replayed
	for n < len(m.wal.entries) {
		// Entries without a receive time are due immediately.
		i := n - (len(m.wal.entries) - len(m.receiveTimes))
		if i >= 0 && now.Sub(m.receiveTimes[i]) < lag {
			break
		}
		n++
	}
	if n > m.wal.replayed {
		m.wal.replay(n)
		m.notify()
	}
	if unreplayed := len(m.wal.entries) - n; unreplayed < len(m.receiveTimes) {
		m.receiveTimes = append([]time.Time(nil), m.receiveTimes[len(m.receiveTimes)-unreplayed:]...)
	}
	if n < len(m.wal.entries) {
		return replayPollInterval
	}
	return 0
}

// remainingReplayTime returns the time until all received entries can be replayed on a fenced
// member. The caller must hold the mutex.
func (m *Member) remainingReplayTime() time.Duration {
	if m.role != RoleFenced || len(m.receiveTimes) == 0 || m.wal.replayed == len(m.wal.entries) {
		return 0
	}
	lag := m.Faults.readDuration(func() time.Duration { return m.Faults.replayLag })
	return max(0, time.Until(m.receiveTimes[len(m.receiveTimes)-1].Add(lag)))
}

// serveStream serves the replication stream of a follower.
func (m *Member) serveStream(ctx context.Context, conn net.Conn) error {
	encoder, decoder := json.NewEncoder(conn), json.NewDecoder(conn)
	var request streamRequest
	if err := decoder.Decode(&request); err != nil {
		return errors.Wrap(err, "receive stream request")
	}
	m.mutex.Lock()
	response := streamResponse{Term: m.term}
	if m.streamTerm == 0 || m.streamTerm != request.Term {
		response.Error = "not the primary of term"
	}
	response.Keep = m.wal.commonPrefix(request.Ends)
	m.mutex.Unlock()
	if err := encoder.Encode(response); err != nil || response.Error != "" {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		defer cancel()
		done <- m.readAcks(ctx, decoder, request)
	}()
	err := m.sendEntries(ctx, encoder, request.Term, response.Keep)
	cancel()
	_ = conn.Close()
	<-done
	return err
}

func (m *Member) readAcks(ctx context.Context, decoder *json.Decoder, request streamRequest) error {
	for {
		var a ack
		if err := decoder.Decode(&a); err != nil {
			return err
		}
		if err := m.Faults.waitWhileFrozen(ctx); err != nil {
			return err
		}
		m.mutex.Lock()
		if m.streamTerm == request.Term {
			m.ackedPositions[request.Name] = a.Position
			m.notify()
		}
		m.mutex.Unlock()
	}
}

func (m *Member) sendEntries(ctx context.Context, encoder *json.Encoder, term uint64, next int) error {
	for {
		heartbeatCtx, stop := context.WithTimeout(ctx, heartbeatInterval)
		m.mutex.Lock()
		m.await(heartbeatCtx, func() bool { return m.streamTerm != term || next < len(m.wal.entries) })
		if ctx.Err() != nil || m.streamTerm != term {
			m.mutex.Unlock()
			stop()
			return errors.New("stream ended")
		}
		batch := append([]Entry(nil), m.wal.entries[next:]...)
		m.mutex.Unlock()
		stop()
		if err := m.Faults.waitWhileFrozen(ctx); err != nil {
			return err
		}
		for _, e := range batch {
			if err := encoder.Encode(e); err != nil {
				return errors.Wrap(err, "send entry")
			}
		}
		next += len(batch)
		if len(batch) == 0 {
			if err := encoder.Encode(Entry{}); err != nil {
				return errors.Wrap(err, "send heartbeat")
			}
		}
	}
}
