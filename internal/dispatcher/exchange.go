package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	// holdPart is the part of a statement's timeout for which it may wait to be sent.
	// The rest is for the member's work.
	holdPart = 0.6
	// patiencePart is the part of a read's timeout after which it is asked of another
	// member as well. Reads usually take at most a third of it.
	patiencePart = 0.35
	// busyPause is how long a member that had no room is left alone by the statement
	// that it refused: about the time until one of its slots is free. Each refusal in a
	// row doubles it, up to longestBusyPause, a third of what a statement may wait.
	busyPause        = 10 * time.Millisecond
	longestBusyPause = 160 * time.Millisecond
	// beginTimeout bounds the opening of a transaction at a member. It takes no slot,
	// so it is answered in a round trip, at most 24 ms.
	beginTimeout = 250 * time.Millisecond
)

// exchange is one statement on its way to a member.
type exchange struct {
	session   *session
	statement messenger.Statement
	command   messenger.Command
	prepared  *lender.Prepared
	writes    bool
	access
	// arrived and start are the moment the statement was read, on both clocks.
	arrived tracker.Timestamp
	start   time.Time
	// tried are the members that did not serve it.
	tried []string
	// need is the position that the read's log must hold, zero on the primary.
	need  orderer.Position
	tries int
	// counted is set once the customer's limit has counted the operation.
	counted bool
	// waited is how long it waited for connections, over all tries.
	waited time.Duration
}

// roomPause spaces the tries of a statement for which a member has no room.
type roomPause struct{ next time.Duration }

// wait pauses, for half of the time at random: statements that were refused together
// must not come back together.
func (p *roomPause) wait() {
	p.next = min(max(2*p.next, busyPause), longestBusyPause)
	time.Sleep(p.next/2 + rand.N(p.next/2))
}

func (x *exchange) deadline() time.Time { return x.start.Add(x.route.Timeout) }

func (x *exchange) holdUntil() time.Time {
	return x.start.Add(time.Duration(holdPart * float64(x.route.Timeout)))
}

// primary chooses the primary, if one is known.
func (x *exchange) primary() []string {
	if id := x.backend.Group.Primary(); id != "" {
		return []string{id}
	}
	return nil
}

// readers chooses among the members that may hold what the read needs: those that
// have not failed it yet first. When none does, the primary is asked.
func (x *exchange) readers() []string {
	ids := x.backend.Group.ReadCandidates(x.session.server.Clock(), x.need)
	fresh := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(x.tried, id) })
	if len(fresh) > 0 {
		return fresh
	}
	if len(ids) > 0 {
		return ids
	}
	return x.primary()
}

func (x *exchange) borrow(ctx context.Context, choose func() []string) (*lender.Conn, error) {
	begin := time.Now()
	defer func() { x.waited += time.Since(begin) }()
	c, err := x.backend.Pool.Borrow(ctx, lender.Request{
		EligibleMembers: choose, Customer: x.customer, RateLimited: !x.counted, Transaction: x.session.tx != nil, Priority: x.route.Priority, Deadline: x.holdUntil(),
	})
	x.counted = x.counted || err == nil
	return c, err
}

// refuseLent answers a statement for which no connection was lent.
func (x *exchange) refuseLent(err error) messenger.Reply {
	var limit *lender.LimitError
	if errors.As(err, &limit) {
		if limited := x.session.server.Limited; limited != nil {
			limited(limit.Customer)
		}
		return x.refuseUntil(ReasonOverLimit, limit.RetryAfter)
	}
	return x.refuse(reasonOf(err))
}

// refuse answers that the statement has not run, and when to come back.
func (x *exchange) refuse(reason Reason) messenger.Reply {
	return x.refuseUntil(reason, x.backend.comeBack())
}

// refuseUntil answers that the statement has not run, and when there may be room for it.
func (x *exchange) refuseUntil(reason Reason, again time.Duration) messenger.Reply {
	s := x.session
	s.server.refused(reason)
	s.server.decide("statement", "id", x.statement.ID, "outcome", "refused", "reason", reason, "again-ms", again.Milliseconds(),
		"customer", x.customer, "group", x.route.Group, "primary", x.backend.Group.Primary(), "tries", x.tries, "waited-ms", x.waited.Milliseconds(), "ms", x.elapsed())
	if s.tx != nil {
		s.fail()
	}
	return s.reply(messenger.CodeBusy, retryText(reason, again))
}

// abort answers that the transaction was rolled back.
func (x *exchange) abort(reason Reason) messenger.Reply {
	s := x.session
	s.server.refused(reason)
	member := ""
	if s.tx != nil && s.tx.conn != nil {
		member = s.tx.conn.Member
	}
	s.server.decide("transaction", "id", x.statement.ID, "outcome", "aborted", "reason", reason, "group", x.route.Group, "member", member, "ms", x.elapsed())
	s.fail()
	return s.reply(messenger.CodeAborted, string(reason))
}

// unknown answers that the statement may have taken effect.
func (x *exchange) unknown(member string, cause error) messenger.Reply {
	s := x.session
	s.server.refused(ReasonOutcomeUnknown)
	s.server.decide("statement", "id", x.statement.ID, "outcome", "unknown", "reason", ReasonOutcomeUnknown, "group", x.route.Group, "member", member, "cause", cause, "ms", x.elapsed())
	return s.reply(messenger.CodeOutcomeUnknown, "no answer from the primary")
}

func (x *exchange) elapsed() int64 { return time.Since(x.start).Milliseconds() }

// done passes a member's answer on.
func (x *exchange) done(member string, r messenger.Reply) messenger.Reply {
	s := x.session
	if r.Code != messenger.CodeNone {
		s.server.refused(reasonOfCode(r.Code))
		s.server.decide("statement", "id", x.statement.ID, "outcome", "failed", "reason", reasonOfCode(r.Code),
			"group", x.route.Group, "member", member, "detail", r.Detail, "ms", x.elapsed())
	}
	s.server.served(x.route, time.Since(x.start))
	s.server.Trace("id", x.statement.ID, "customer", x.customer, "group", x.route.Group, "member", member, "need", x.need, "tries", x.tries,
		"outcome", r.Code, "waited-ms", x.waited.Milliseconds(), "ms", x.elapsed())
	r.State = s.state
	return r
}

// retry notes a try that failed and reports whether there is time for another.
func (x *exchange) retry(member string, reason Reason) bool {
	x.tries++
	x.tried = append(x.tried, member)
	x.session.server.retried(reason)
	x.session.server.decide("statement", "id", x.statement.ID, "outcome", "tried", "reason", reason, "group", x.route.Group,
		"member", member, "need", x.need, "ms", x.elapsed())
	return time.Now().Before(x.holdUntil())
}

// commands are what has to be sent for the statement on a connection: the session's
// values and prepared statement first. lead is how many come before the statement.
func (x *exchange) commands(c *lender.Conn, before, after []messenger.Command) (all []messenger.Command, lead int) {
	t := x.session.tx
	fit, name := c.SessionCommands(x.session.values, x.prepared, t != nil && t.conn == c)
	own := x.command
	if x.prepared != nil {
		own.Name = name
	}
	all = append(all, fit...)
	all = append(all, before...)
	lead = len(all)
	all = append(all, own)
	return append(all, after...), lead
}

// send exchanges commands with a member and tells the group what came of it.
func (x *exchange) send(c *lender.Conn, commands []messenger.Command, deadline time.Time) ([]messenger.Reply, bool, error) {
	g, now := x.backend.Group, time.Now()
	g.RecordSend(c.Member)
	replies, sent, err := c.Exchange(commands, deadline)
	stamp := x.session.server.Clock()
	if err != nil {
		g.RecordFailure(stamp, c.Member, true)
		x.backend.Pool.NoteTimeout(c)
		return replies, sent, err
	}
	g.RecordResponse(stamp, c.Member, time.Since(now), replies[len(replies)-1].Position)
	x.checkState(c, commands, replies)
	x.noteRoom(c, replies)
	return replies, sent, nil
}

// noteRoom tells the pool whether the member had room for what was sent.
func (x *exchange) noteRoom(c *lender.Conn, replies []messenger.Reply) {
	busy := slices.ContainsFunc(replies, func(r messenger.Reply) bool { return r.Code == messenger.CodeBusy })
	x.backend.Pool.NoteResult(c, !busy)
}

// checkState has the connection give up its record of the session's state when a
// command that sets it failed: the next statement would run with another's values.
func (x *exchange) checkState(c *lender.Conn, commands []messenger.Command, replies []messenger.Reply) {
	for i, r := range replies {
		switch commands[i].Kind {
		case messenger.KindSet, messenger.KindReset, messenger.KindPrepareRead, messenger.KindPrepareWrite:
			if r.Code != messenger.CodeNone {
				c.ForgetState()
				x.session.server.decide("statement", "id", x.statement.ID, "outcome", "state-not-set", "member", c.Member, "code", r.Code)
			}
		}
	}
}

// giveUp leaves a connection whose answer is late to itself: the member goes on working
// undisturbed, and the connection comes back when it is done. When the statement's own
// time is up as well, the connection is ended. Where answers are lost, none comes: with a
// fifth lost and 30 reads a second that would be 90 connections held for 3 s each, of the
// 16 that a member takes from all instances.
func (x *exchange) giveUp(c *lender.Conn, err error) {
	if lender.IsTimeout(err) {
		x.session.server.finish(x.backend, c, x.deadline())
		return
	}
	x.backend.Pool.Return(c)
}
