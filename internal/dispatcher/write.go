package dispatcher

import (
	"context"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// write runs a write outside a transaction. Once sent it is only sent again if the member
// replies that it has not run it.
func (x *execution) write(ctx context.Context) messenger.Reply {
	for {
		if err := x.backend.checkLease(); err != nil {
			return x.refuseWithRetryAfter(ReasonNoLease, "", noLeaseRetryAfter, "cause", err)
		}
		c, err := x.checkout(ctx, x.primaryCandidates)
		if err != nil {
			return x.refuseCheckout(err)
		}
		commands, index := x.commands(c, nil, nil)
		sentAt := x.session.server.Clock()
		replies, sent, err := x.send(c, commands, x.deadline())
		if err != nil {
			member := c.Member
			if lender.IsTimeout(err) {
				c.Close()
			}
			x.backend.Pool.Return(c)
			x.backend.suspect(member)
			if sent {
				return x.outcomeUnknown(member, err)
			}
			if !x.recordFailedAttempt(member, ReasonNotSent) {
				return x.refuse(ReasonNoAnswer)
			}
			continue
		}
		r := replies[index]
		if r.Code.NotRun() {
			if x.releaseForRetry(c, r) {
				continue
			}
			return x.refuse(reasonForCode(r.Code))
		}
		x.backend.Pool.Return(c)
		if r.Code == messenger.CodeNone {
			if err := x.confirmCommit(ctx, r); err != nil {
				return x.outcomeUnknown(c.Member, err)
			}
			x.recordCommit(sentAt, r)
		}
		return x.complete(c.Member, r)
	}
}

// recordCommit records an acknowledged commit's position.
func (x *execution) recordCommit(sentAt tracker.Timestamp, r messenger.Reply) {
	x.session.lastCommits[x.route.Group] = tracker.LastCommit{Position: r.Position, At: x.session.server.Clock()}
	x.backend.Group.AddProof(tracker.FreshnessProof{At: sentAt, Position: r.Position})
}

// releaseForRetry returns the connection of a statement that the primary has not run, and
// reports whether there is time for another attempt.
func (x *execution) releaseForRetry(c *lender.Conn, r messenger.Reply) bool {
	member := c.Member
	switch r.Code {
	case messenger.CodeNotPrimary:
		x.backend.handleNotPrimary(member)
	case messenger.CodeUnknownStatement:
		c.ForgetState()
	}
	x.backend.Pool.Return(c)
	return x.recordFailedAttempt(member, reasonForCode(r.Code))
}
