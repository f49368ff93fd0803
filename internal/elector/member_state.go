package elector

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// errBusy means that a member had no free slot for a command.
var errBusy = errors.New("no free slot")

// memberState is a supervisor's state of one member, with its connection.
type memberState struct {
	conn *lender.Conn
	// polledAt is when the member was last polled; primaryProofs are its last two positions
	// reported as primary, the newest first.
	polledAt      tracker.Timestamp
	primaryProofs [2]tracker.FreshnessProof
	// coveredAt is the latest time whose primary log the member is known to hold; departedAt is
	// when a member that left was first found to have departed.
	coveredAt, departedAt tracker.Timestamp
	// maxConnections is the member's connection limit, 0 when unknown.
	maxConnections int
	// departed is set when another member uses the address, or the member has restarted.
	departed bool
	// pooledStatus is the status last received through the instance's pool, at pooledAt; 0 if the last
	// request there failed. pooled is set while commands are sent through the pool.
	pooledStatus messenger.Status
	pooledAt     tracker.Timestamp
	pooled       bool
	Observation
}

// poll requests a member's status, on the open connection and then on a new one, since a
// connection can fail while the member is alive.
func (sv *Supervisor) poll(ctx context.Context, m *memberState) {
	sentAt := sv.Clock()
	m.polledAt = sentAt
	s, err := sv.command(ctx, m, messenger.Command{Kind: messenger.KindStatus})
	var refused *lender.RefusedError
	m.ConnectionsExhausted = errors.As(err, &refused) && refused.Code == messenger.CodeTooManyConnections
	// A member whose address was reused has departed.
	m.departed = m.departed || refused != nil && refused.Code == messenger.CodeWrongMember
	if errors.Is(err, errBusy) && m.Status.Term > 0 {
		m.markBusy(sv.Clock())
		return
	}
	if err != nil {
		if m.Answered || m.FailedSince == 0 {
			m.FailedSince = sentAt
		}
		m.Answered, m.Refused = false, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		return
	}
	m.applyStatus(sv.Clock(), s)
	if s.Primary {
		m.primaryProofs = [2]tracker.FreshnessProof{{At: sentAt, Position: s.Received}, m.primaryProofs[0]}
	}
	if sv.Group.UpdateStatus(sentAt, m.ID, s) {
		sv.PrimaryChanged()
	}
}

// markBusy handles a member without a free slot. It is alive, but its last status says nothing
// about its current log position and must not be used as a proof. A proof from an old status would
// lack commits acknowledged since, and reads would return old data.
func (m *memberState) markBusy(now tracker.Timestamp) {
	m.Answered, m.Refused, m.ConnectionsExhausted, m.FailedSince = true, false, false, 0
	if m.OverloadedSince == 0 {
		m.OverloadedSince = now
	}
}

// applyStatus stores a member's status.
func (m *memberState) applyStatus(now tracker.Timestamp, s messenger.Status) {
	switch {
	case m.maxConnections == 0 || float64(s.Connections) < nearlyFullRatio*float64(m.maxConnections):
		m.NearlyFullSince = 0
	case m.NearlyFullSince == 0:
		m.NearlyFullSince = now
	}
	if s.Received != m.Status.Received {
		m.StalledSince = 0
	}
	switch {
	case s.PausedFor <= s.Term:
		m.PausedSince = 0
	case m.PausedSince == 0:
		m.PausedSince = now
	}
	switch longQueue := longQueueFactor * max(1, m.Slots); {
	case s.Busy < longQueue:
		m.OverloadedSince = 0
	case m.OverloadedSince == 0:
		m.OverloadedSince = now
	}
	m.Answered, m.Refused, m.ConnectionsExhausted, m.departed, m.FailedSince, m.Status, m.StatusAt = true, false, false, false, 0, s, now
}

// updateCoverage records which earlier positions of the primary the member's log has reached.
func (m *memberState) updateCoverage(p *memberState) {
	if !m.Answered || m.ID == p.ID {
		return
	}
	for _, s := range p.primaryProofs {
		if s.At != 0 && m.Status.Received.AtLeast(s.Position) {
			m.coveredAt = max(m.coveredAt, s.At)
		}
	}
}

// updateStall records since when the member's log has stopped behind the primary's.
func (m *memberState) updateStall(primary orderer.Position) {
	switch {
	case m.Status.Received.AtLeast(primary):
		m.StalledSince = 0
	case m.StalledSince == 0:
		m.StalledSince = m.StatusAt
	}
}

// command sends a command and decodes the status in its response. It retries once on a new
// connection.
func (sv *Supervisor) command(ctx context.Context, m *memberState, c messenger.Command) (messenger.Status, error) {
	if m.pooled {
		return sv.sendPooled(ctx, m, c)
	}
	if m.conn != nil {
		s, err := sv.send(m, c)
		if err == nil || errors.Is(err, errBusy) {
			return s, err
		}
		m.close()
		if lender.IsTimeout(err) && m.ID == sv.primary && c.Kind == messenger.KindStatus {
			sv.suspendLeases(ctx)
		}
	}
	return sv.commandOnNewConnection(ctx, m, c)
}

// commandOnNewConnection sends a command on a new connection, which is kept open.
func (sv *Supervisor) commandOnNewConnection(ctx context.Context, m *memberState, c messenger.Command) (messenger.Status, error) {
	m.close()
	dial, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := sv.Connect(dial, m.Member)
	if err != nil {
		return messenger.Status{}, err
	}
	m.conn = conn
	s, err := sv.send(m, c)
	if err != nil && !errors.Is(err, errBusy) {
		m.close()
	}
	return s, err
}

// send sends a command on the member's open connection.
func (sv *Supervisor) send(m *memberState, c messenger.Command) (messenger.Status, error) {
	replies, _, err := m.conn.Exchange([]messenger.Command{c}, time.Now().Add(requestTimeout))
	if err != nil {
		return messenger.Status{}, err
	}
	if replies[0].Code == messenger.CodeBusy {
		return messenger.Status{}, errBusy
	}
	return sv.Codec.Status(replies[0])
}

func (m *memberState) close() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

func (sv *Supervisor) closeConnections() {
	for _, m := range sv.members {
		m.close()
	}
}
