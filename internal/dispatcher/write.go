package dispatcher

import (
	"context"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// write runs a write outside a transaction. Once it was sent it is never sent
// again, unless the member says that it has not run it.
func (x *exchange) write(ctx context.Context) messenger.Reply {
	for {
		c, err := x.borrow(ctx, x.primary)
		if err != nil {
			return x.refuseLent(err)
		}
		commands, lead := x.commands(c, nil, nil)
		asked := x.session.server.Clock()
		replies, sent, err := x.send(c, commands, x.deadline())
		if err != nil {
			member := c.Member
			if lender.IsTimeout(err) {
				c.Close()
			}
			x.backend.Pool.Return(c)
			x.backend.suspect(member)
			if sent {
				return x.unknown(member, err)
			}
			if !x.retry(member, ReasonNotSent) {
				return x.refuse(ReasonNoAnswer)
			}
			continue
		}
		r := replies[lead]
		if r.Code.NotRun() {
			if x.again(c, r) {
				continue
			}
			return x.refuse(reasonOfCode(r.Code))
		}
		x.backend.Pool.Return(c)
		if r.Code == messenger.CodeNone {
			x.committed(asked, r)
		}
		return x.done(c.Member, r)
	}
}

// committed takes in that a commit was acknowledged.
func (x *exchange) committed(asked tracker.Timestamp, r messenger.Reply) {
	x.session.floor = tracker.LastCommit{Position: r.Position, At: x.session.server.Clock()}
	x.backend.Group.AddProof(tracker.FreshnessProof{At: asked, Position: r.Position})
}

// again returns the connection of a statement that the primary has not run, and
// reports whether there is time to try once more.
func (x *exchange) again(c *lender.Conn, r messenger.Reply) bool {
	member := c.Member
	switch r.Code {
	case messenger.CodeNotPrimary:
		x.backend.lost(member)
	case messenger.CodeUnknownStatement:
		c.ForgetState()
	}
	x.backend.Pool.Return(c)
	return x.retry(member, reasonOfCode(r.Code))
}
