package dispatcher

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// read answers a read outside a transaction. While it waits for a connection, a proof
// may come or grow too old; so what it may do is settled when it has one.
func (x *exchange) read(ctx context.Context) messenger.Reply {
	for {
		c, err := x.borrow(ctx, x.freshest)
		if err != nil {
			return x.refuseLent(err)
		}
		var reply messenger.Reply
		again := true
		switch {
		case x.fresh():
			reply, again = x.readAfter(c)
		case c.Member == x.backend.Group.Primary():
			reply, again = x.readPrimary(c)
		default:
			x.backend.Pool.Return(c)
		}
		if !again {
			return reply
		}
	}
}

// fresh finds out which position a log must hold to answer. It is false when only the
// primary itself can tell.
func (x *exchange) fresh() bool {
	x.need = orderer.Position{}
	if x.route.Rule == tracker.RulePrimary {
		return false
	}
	need, ok := x.backend.Group.RequiredPosition(x.arrived, x.route, x.session.floor)
	x.need = need
	return ok
}

// freshest chooses among the members that may answer a read now.
func (x *exchange) freshest() []string {
	if x.fresh() {
		return x.readers()
	}
	return x.primary()
}

// readPrimary reads inside a transaction of its own. A member that has lost the
// lead refuses every statement of a transaction that may write, so an answer shows
// that the member led when it ran the read: without that, an old primary that was
// cut off from its replicas would answer with what others have overwritten.
func (x *exchange) readPrimary(c *lender.Conn) (messenger.Reply, bool) {
	commands, lead := x.commands(c,
		[]messenger.Command{{Kind: messenger.KindBegin}}, []messenger.Command{{Kind: messenger.KindRollback}})
	asked := x.session.server.Clock()
	replies, _, err := x.send(c, commands, x.patience())
	if err != nil {
		return x.unanswered(c, err)
	}
	begun, r := replies[lead-1], replies[lead]
	if begun.Code == messenger.CodeNone {
		x.backend.Group.AddProof(tracker.FreshnessProof{At: asked, Position: begun.Position})
	} else if r.Code == messenger.CodeNone {
		r = begun
	}
	return x.settleRead(c, r)
}

// readAfter reads at a member whose log holds what the read needs; the member itself
// checks that it does.
func (x *exchange) readAfter(c *lender.Conn) (messenger.Reply, bool) {
	commands, lead := x.commands(c, nil, nil)
	commands[lead].After = x.need
	replies, _, err := x.send(c, commands, x.patience())
	if err != nil {
		return x.unanswered(c, err)
	}
	return x.settleRead(c, replies[lead])
}

// unanswered deals with a read that got no answer in the time of this try.
func (x *exchange) unanswered(c *lender.Conn, err error) (messenger.Reply, bool) {
	member := c.Member
	x.giveUp(c, err)
	x.backend.suspect(member)
	return x.lateRead(x.retry(member, ReasonNoAnswer))
}

// patience is how long this try of a read waits for its answer.
func (x *exchange) patience() time.Time {
	if x.tries > 1 {
		return x.deadline()
	}
	p := time.Now().Add(time.Duration(patiencePart * float64(x.route.Timeout)))
	if p.After(x.deadline()) {
		return x.deadline()
	}
	return p
}

// lateRead answers a read that got no answer, unless there is time to try again.
// Nothing of a read is kept, so the caller may be told to come back.
func (x *exchange) lateRead(again bool) (messenger.Reply, bool) {
	if again {
		return messenger.Reply{}, true
	}
	return x.refuse(ReasonNoAnswer), false
}

// settleRead takes a member's answer to a read: passes it on, or reports that
// another member has to be asked.
func (x *exchange) settleRead(c *lender.Conn, r messenger.Reply) (messenger.Reply, bool) {
	member := c.Member
	stamp := x.session.server.Clock()
	switch r.Code {
	case messenger.CodeNone:
		x.backend.Pool.Return(c)
		return x.done(member, r), false
	case messenger.CodeBehind:
		x.backend.Group.RecordLag(stamp, member, x.need)
	case messenger.CodeNotPrimary:
		x.backend.lost(member)
	case messenger.CodeUnknownStatement:
		c.ForgetState()
	}
	x.backend.Pool.Return(c)
	if x.retry(member, reasonOfCode(r.Code)) {
		return messenger.Reply{}, true
	}
	if r.Code == messenger.CodeFailed || r.Code == messenger.CodeTimeout {
		return x.done(member, r), false
	}
	return x.refuse(reasonOfCode(r.Code)), false
}
