package dispatcher

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// read runs a read outside a transaction. What the read requires is resolved again once a
// connection is available: the tracker's knowledge may have changed during the wait.
func (x *execution) read(ctx context.Context) messenger.Reply {
	x.recordRead()
	for {
		c, err := x.checkout(ctx, x.readCandidates)
		if err != nil {
			return x.refuseCheckout(err)
		}
		var reply messenger.Reply
		retry := true
		switch {
		case x.resolveMinPosition():
			reply, retry = x.readAtPosition(c)
		case c.Member == x.backend.Group.Primary():
			reply, retry = x.readFromPrimary(c)
		default:
			x.backend.Pool.Return(c)
		}
		if !retry {
			return reply
		}
	}
}

// recordRead records a read that a replica may serve.
func (x *execution) recordRead() {
	if x.route.Rule != tracker.RulePrimary {
		x.session.server.recordRead(x.route.Group)
	}
}

// resolveMinPosition determines the position that a log must hold to answer the read. It is
// false when only the primary may answer.
func (x *execution) resolveMinPosition() bool {
	x.minPosition = orderer.Position{}
	if x.route.Rule == tracker.RulePrimary {
		return false
	}
	minPosition, ok := x.backend.Group.RequiredPosition(x.arrived, x.route, x.session.lastCommits[x.route.Group])
	x.minPosition = minPosition
	return ok
}

// readCandidates returns the members that may answer the read now.
func (x *execution) readCandidates() []string {
	if x.resolveMinPosition() {
		return x.replicaCandidates()
	}
	return x.primaryCandidates()
}

// readFromPrimary reads inside a transaction of its own. A member that is no longer primary
// refuses statements of a read-write transaction, so a former primary that was partitioned
// from its replicas can't answer with stale data.
func (x *execution) readFromPrimary(c *lender.Conn) (messenger.Reply, bool) {
	commands, index := x.commands(c,
		[]messenger.Command{{Kind: messenger.KindBegin}}, []messenger.Command{{Kind: messenger.KindRollback}})
	sentAt := x.session.server.Clock()
	replies, _, err := x.send(c, commands, x.attemptDeadline())
	if err != nil {
		return x.handleNoAnswer(c, err)
	}
	beginReply, r := replies[index-1], replies[index]
	if beginReply.Code == messenger.CodeNone {
		x.backend.Group.AddProof(tracker.FreshnessProof{At: sentAt, Position: beginReply.Position})
	} else if r.Code == messenger.CodeNone {
		r = beginReply
	}
	return x.handleReadReply(c, r)
}

// readAtPosition reads at a member whose log holds minPosition; the member checks that.
func (x *execution) readAtPosition(c *lender.Conn) (messenger.Reply, bool) {
	commands, index := x.commands(c, nil, nil)
	commands[index].After = x.minPosition
	replies, _, err := x.send(c, commands, x.attemptDeadline())
	if err != nil {
		return x.handleNoAnswer(c, err)
	}
	return x.handleReadReply(c, replies[index])
}

// handleNoAnswer handles a read attempt that got no answer in time.
func (x *execution) handleNoAnswer(c *lender.Conn, err error) (messenger.Reply, bool) {
	member := c.Member
	x.abandon(c, err)
	x.backend.suspect(member)
	return x.retryOrRefuse(x.recordFailedAttempt(member, ReasonNoAnswer))
}

// attemptDeadline returns until when this attempt of a read waits for its answer.
func (x *execution) attemptDeadline() time.Time {
	if x.attempts > 1 {
		return x.deadline()
	}
	until := time.Now().Add(time.Duration(readAttemptFraction * float64(x.route.Timeout)))
	if until.After(x.deadline()) {
		return x.deadline()
	}
	return until
}

// retryOrRefuse refuses an unanswered read unless it is retried. A read has no effect, so the
// caller may retry it.
func (x *execution) retryOrRefuse(retry bool) (messenger.Reply, bool) {
	if retry {
		return messenger.Reply{}, true
	}
	return x.refuse(ReasonNoAnswer), false
}

// handleReadReply handles a member's reply to a read. It reports whether the read must be
// retried.
func (x *execution) handleReadReply(c *lender.Conn, r messenger.Reply) (messenger.Reply, bool) {
	member := c.Member
	now := x.session.server.Clock()
	switch r.Code {
	case messenger.CodeNone:
		x.backend.Pool.Return(c)
		return x.complete(member, r), false
	case messenger.CodeBehind:
		x.backend.Group.RecordLag(now, member, x.minPosition)
	case messenger.CodeNotPrimary:
		x.backend.handleNotPrimary(member)
	case messenger.CodeUnknownStatement:
		c.ForgetState()
	}
	x.backend.Pool.Return(c)
	if x.recordFailedAttempt(member, reasonForCode(r.Code)) {
		return messenger.Reply{}, true
	}
	if r.Code == messenger.CodeFailed || r.Code == messenger.CodeTimeout {
		return x.complete(member, r), false
	}
	return x.refuse(reasonForCode(r.Code)), false
}
