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
	// when a member that left was first seen to be gone.
	coveredAt, departedAt tracker.Timestamp
	// maxConnections is the member's connection limit, 0 when unknown.
	maxConnections int
	// departed is set when another member uses the address, or the member has restarted.
	departed bool
	Observation
}

// poll requests a member's status, on the open connection and then on a new one, since a
// connection can fail while the member is alive.
func (sv *Supervisor) poll(ctx context.Context, l *memberState) {
	sentAt := sv.Clock()
	l.polledAt = sentAt
	s, err := sv.command(ctx, l, messenger.Command{Kind: messenger.KindStatus})
	var refused *lender.RefusedError
	l.ConnectionsExhausted = errors.As(err, &refused) && refused.Code == messenger.CodeTooManyConnections
	// A member whose address was reused has departed.
	l.departed = l.departed || refused != nil && refused.Code == messenger.CodeWrongMember
	if errors.Is(err, errBusy) && l.Status.Term > 0 {
		l.markBusy(sv.Clock())
		return
	}
	if err != nil {
		if l.Answered || l.FailedSince == 0 {
			l.FailedSince = sentAt
		}
		l.Answered, l.Refused = false, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		return
	}
	l.applyStatus(sv.Clock(), s)
	if s.Primary {
		l.primaryProofs = [2]tracker.FreshnessProof{{At: sentAt, Position: s.Received}, l.primaryProofs[0]}
	}
	if sv.Group.UpdateStatus(sentAt, l.ID, s) {
		sv.PrimaryChanged()
	}
}

// markBusy handles a member without a free slot. It is alive, but its last status says nothing
// about its current log position and must not be used as a proof.
func (l *memberState) markBusy(now tracker.Timestamp) {
	l.Answered, l.Refused, l.ConnectionsExhausted, l.FailedSince = true, false, false, 0
	if l.OverloadedSince == 0 {
		l.OverloadedSince = now
	}
}

// applyStatus stores a member's status.
func (l *memberState) applyStatus(now tracker.Timestamp, s messenger.Status) {
	switch {
	case l.maxConnections == 0 || float64(s.Connections) < crowdedRatio*float64(l.maxConnections):
		l.CrowdedSince = 0
	case l.CrowdedSince == 0:
		l.CrowdedSince = now
	}
	if s.Received != l.Status.Received {
		l.StalledSince = 0
	}
	switch {
	case s.PausedFor <= s.Term:
		l.PausedSince = 0
	case l.PausedSince == 0:
		l.PausedSince = now
	}
	switch longQueue := longQueueFactor * max(1, l.Slots); {
	case s.Busy < longQueue:
		l.OverloadedSince = 0
	case l.OverloadedSince == 0:
		l.OverloadedSince = now
	}
	l.Answered, l.Refused, l.ConnectionsExhausted, l.departed, l.FailedSince, l.Status, l.StatusAt = true, false, false, false, 0, s, now
}

// updateCoverage records which earlier positions of the primary the member's log has reached.
func (l *memberState) updateCoverage(p *memberState) {
	if !l.Answered || l.ID == p.ID {
		return
	}
	for _, s := range p.primaryProofs {
		if s.At != 0 && l.Status.Received.AtLeast(s.Position) {
			l.coveredAt = max(l.coveredAt, s.At)
		}
	}
}

// updateStall records since when the member's log has stopped behind the primary's.
func (l *memberState) updateStall(primary orderer.Position) {
	switch {
	case l.Status.Received.AtLeast(primary):
		l.StalledSince = 0
	case l.StalledSince == 0:
		l.StalledSince = l.StatusAt
	}
}

// command sends a command and decodes the status in its response. It retries once on a new
// connection.
func (sv *Supervisor) command(ctx context.Context, l *memberState, c messenger.Command) (messenger.Status, error) {
	if l.conn != nil {
		s, err := sv.send(l, c)
		if err == nil || errors.Is(err, errBusy) {
			return s, err
		}
		l.close()
	}
	return sv.commandOnNewConnection(ctx, l, c)
}

// commandOnNewConnection sends a command on a new connection, which is kept open.
func (sv *Supervisor) commandOnNewConnection(ctx context.Context, l *memberState, c messenger.Command) (messenger.Status, error) {
	l.close()
	dial, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := sv.Connect(dial, l.Member)
	if err != nil {
		return messenger.Status{}, err
	}
	l.conn = conn
	s, err := sv.send(l, c)
	if err != nil && !errors.Is(err, errBusy) {
		l.close()
	}
	return s, err
}

func (sv *Supervisor) send(l *memberState, c messenger.Command) (messenger.Status, error) {
	replies, _, err := l.conn.Exchange([]messenger.Command{c}, time.Now().Add(requestTimeout))
	if err != nil {
		return messenger.Status{}, err
	}
	if replies[0].Code == messenger.CodeBusy {
		return messenger.Status{}, errBusy
	}
	return sv.Codec.Status(replies[0])
}

func (l *memberState) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

func (sv *Supervisor) closeConnections() {
	for _, l := range sv.members {
		l.close()
	}
}
