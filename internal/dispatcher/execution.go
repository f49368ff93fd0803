package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	// queueTimeFraction is the fraction of a statement's timeout for which it may wait to
	// be sent. The rest is left for the member's work.
	queueTimeFraction = 0.6
	// startFraction is the fraction of a route's latency objective within which a single statement
	// must be sent, transactionStartFraction that for the first statement of a transaction. The
	// rest is left for the member's work and the network.
	startFraction, transactionStartFraction = 0.8, 0.5
	// readAttemptFraction is the fraction of a read's timeout after which another member
	// is tried. Reads usually take at most a third of it.
	readAttemptFraction = 0.35
	// minBusyBackoff is the first backoff of a statement that a member refused for lack of
	// capacity. It doubles with each refusal, up to maxBusyBackoff. The first backoff is about the
	// time until one of the member's slots is free.
	minBusyBackoff = 10 * time.Millisecond
	maxBusyBackoff = 160 * time.Millisecond
	// beginTimeout bounds opening a transaction at a member, which takes no execution slot
	// there.
	beginTimeout = 250 * time.Millisecond
)

// execution is the handling of one statement, over all attempts.
type execution struct {
	session   *session
	statement messenger.Statement
	command   messenger.Command
	prepared  *lender.Prepared
	writes    bool
	access
	// arrived and start are when the statement was read, on the tracker's and the wall clock.
	arrived tracker.Timestamp
	start   time.Time
	// failedMembers are the members of the failed attempts.
	failedMembers []string
	// minPosition is the log position that the member must have applied; zero on the
	// primary.
	minPosition orderer.Position
	attempts    int
	// limitCounted is set once the operation was counted against the customer's limit.
	limitCounted bool
	// checkoutWait is the time spent waiting for connections, over all attempts.
	checkoutWait time.Duration
}

// busyBackoff spaces the attempts of a statement while its member has no capacity.
type busyBackoff struct{ delay time.Duration }

// wait sleeps for the next delay, half of it random, so that statements refused together
// are not retried together.
func (b *busyBackoff) wait() {
	b.delay = min(max(2*b.delay, minBusyBackoff), maxBusyBackoff)
	time.Sleep(b.delay/2 + rand.N(b.delay/2))
}

func (x *execution) deadline() time.Time { return x.start.Add(x.route.Timeout) }

func (x *execution) queueDeadline() time.Time {
	return x.start.Add(time.Duration(queueTimeFraction * float64(x.route.Timeout)))
}

// latestStart returns until when the statement can be sent and still meet the route's latency
// objective, zero without one. The objective of a transaction covers several statements.
func (x *execution) latestStart() time.Time {
	if x.route.LatencyObjective <= 0 {
		return time.Time{}
	}
	fraction := startFraction
	if x.session.tx != nil {
		fraction = transactionStartFraction
	}
	return x.start.Add(time.Duration(fraction * float64(x.route.LatencyObjective)))
}

// primaryCandidates returns the primary, if one is known.
func (x *execution) primaryCandidates() []string {
	if id := x.backend.Group.Primary(); id != "" {
		return []string{id}
	}
	return nil
}

// replicaCandidates returns the members that may hold what the read needs, preferring
// those that have not failed it. It falls back to the primary.
func (x *execution) replicaCandidates() []string {
	ids := x.backend.Group.ReadCandidates(x.session.server.Clock(), x.minPosition)
	untried := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(x.failedMembers, id) })
	if len(untried) > 0 {
		return untried
	}
	if len(ids) > 0 {
		return ids
	}
	return x.primaryCandidates()
}

func (x *execution) checkout(ctx context.Context, candidates func() []string) (*lender.Conn, error) {
	begin := time.Now()
	defer func() { x.checkoutWait += time.Since(begin) }()
	c, err := x.backend.Pool.Borrow(ctx, lender.Request{
		EligibleMembers: candidates, Customer: x.customer, RateLimited: !x.limitCounted, Transaction: x.session.tx != nil, Priority: x.route.Priority, Deadline: x.queueDeadline(),
		LatestStart: x.latestStart(),
	})
	x.limitCounted = x.limitCounted || err == nil
	return c, err
}

// refuseCheckout answers a statement that got no connection.
func (x *execution) refuseCheckout(err error) messenger.Reply {
	var limit *lender.LimitError
	if errors.As(err, &limit) {
		if report := x.session.server.CountLimited; report != nil {
			report(limit.Customer)
		}
		detail := ""
		if limit.Balance != nil {
			detail = limit.Balance.Cause
		}
		return x.refuseWithRetryAfter(ReasonOverLimit, detail, limit.RetryAfter, limit.LogFields()...)
	}
	var overload *lender.OverloadError
	if errors.As(err, &overload) {
		return x.refuseWithRetryAfter(ReasonNoConnection, detailHolderQueue, min(max(minRetryAfter, overload.RetryAfter), maxRetryAfter))
	}
	var wait *lender.WaitError
	if !errors.As(err, &wait) {
		return x.refuse(checkoutReason(err))
	}
	if count := x.session.server.CountWaitRefused; count != nil {
		count(wait.Cause)
	}
	retryAfter := min(max(wait.RetryAfter, minBusyBackoff), maxRetryAfter)
	if wait.RetryAfter <= 0 {
		retryAfter = x.retryAfter()
	}
	return x.refuseWithRetryAfter(checkoutReason(err), string(wait.Cause), retryAfter, "wait", wait.Cause, "left-ms", time.Until(x.queueDeadline()).Milliseconds(),
		"ahead", wait.Ahead, "per-second", int(wait.Rate), "outage-ms", wait.Outage.Milliseconds())
}

// retryAfter returns the retry hint for a refused statement: when the pool expects to serve it or,
// without an objective or an estimate, by the number of waiting requests.
func (x *execution) retryAfter() time.Duration {
	if x.route.LatencyObjective > 0 {
		candidates := x.readCandidates
		if t := x.session.tx; x.writes || t != nil && !t.readOnly {
			candidates = x.primaryCandidates
		}
		if d, ok := x.backend.Pool.RetryAfter(lender.Request{EligibleMembers: candidates, Customer: x.customer, Priority: x.route.Priority, LatestStart: x.latestStart()}); ok {
			return min(max(d, minBusyBackoff), maxRetryAfter)
		}
	}
	return x.backend.retryAfter()
}

// refuse answers that the statement has not run, with a retry hint.
func (x *execution) refuse(reason Reason) messenger.Reply {
	return x.refuseWithRetryAfter(reason, "", x.retryAfter())
}

// refuseWithRetryAfter answers that the statement has not run. detail says what decided it, for the
// counts; it is "" if only the reason is known.
func (x *execution) refuseWithRetryAfter(reason Reason, detail string, retryAfter time.Duration, fields ...any) messenger.Reply {
	s := x.session
	s.server.countRefused(reason)
	x.recordAffected(tabulator.Refused, refusedCause(reason, detail))
	s.server.logDecision("statement", append([]any{
		"id", x.statement.ID, "outcome", "refused", "reason", reason, "again-ms", retryAfter.Milliseconds(),
		"customer", x.customer, "group", x.route.Group, "primary", x.backend.Group.Primary(), "tries", x.attempts, "waited-ms", x.checkoutWait.Milliseconds(), "ms", x.elapsedMillis(),
	}, fields...)...)
	if s.tx != nil {
		s.failTransaction()
	}
	return s.reply(messenger.CodeBusy, retryDetail(reason, retryAfter))
}

// abort answers that the transaction was rolled back.
func (x *execution) abort(reason Reason) messenger.Reply {
	s := x.session
	s.server.countRefused(reason)
	x.recordAffected(tabulator.Refused, refusedCause(reason, ""))
	member := ""
	if s.tx != nil && s.tx.conn != nil {
		member = s.tx.conn.Member
	}
	s.server.logDecision("transaction", "id", x.statement.ID, "outcome", "aborted", "reason", reason, "group", x.route.Group, "member", member, "ms", x.elapsedMillis())
	s.failTransaction()
	return s.reply(messenger.CodeAborted, string(reason))
}

// outcomeUnknown answers that the statement may have taken effect.
func (x *execution) outcomeUnknown(member string, cause error) messenger.Reply {
	s := x.session
	s.server.countRefused(ReasonOutcomeUnknown)
	x.recordAffected(tabulator.Refused, refusedCause(ReasonOutcomeUnknown, ""))
	s.server.logDecision("statement", "id", x.statement.ID, "outcome", "unknown", "reason", ReasonOutcomeUnknown, "group", x.route.Group, "member", member, "cause", cause, "ms", x.elapsedMillis())
	return s.reply(messenger.CodeOutcomeUnknown, "no answer from the primary")
}

func (x *execution) elapsedMillis() int64 { return time.Since(x.start).Milliseconds() }

// complete records a member's reply and returns it for the caller.
func (x *execution) complete(member string, r messenger.Reply) messenger.Reply {
	s := x.session
	if r.Code != messenger.CodeNone {
		s.server.countRefused(reasonForCode(r.Code))
		x.recordAffected(tabulator.Refused, refusedCause(reasonForCode(r.Code), ""))
		s.server.logDecision("statement", "id", x.statement.ID, "outcome", "failed", "reason", reasonForCode(r.Code),
			"group", x.route.Group, "member", member, "detail", r.Detail, "ms", x.elapsedMillis())
	}
	took := time.Since(x.start)
	s.server.recordServed(x.route, took)
	if r.Code == messenger.CodeNone {
		x.recordDelay(took)
	}
	s.server.LogServed("id", x.statement.ID, "customer", x.customer, "group", x.route.Group, "member", member, "need", x.minPosition, "tries", x.attempts,
		"outcome", r.Code, "waited-ms", x.checkoutWait.Milliseconds(), "ms", x.elapsedMillis())
	r.State = s.state
	return r
}

// recordFailedAttempt records a failed attempt and reports whether there is time for another.
func (x *execution) recordFailedAttempt(member string, reason Reason) bool {
	x.attempts++
	x.failedMembers = append(x.failedMembers, member)
	x.session.server.countRetried(reason)
	x.session.server.logDecision("statement", "id", x.statement.ID, "outcome", "tried", "reason", reason, "group", x.route.Group,
		"member", member, "need", x.minPosition, "ms", x.elapsedMillis())
	return time.Now().Before(x.queueDeadline())
}

// commands returns the commands to send for the statement: first those that set up the session's
// values and prepared statement on the connection. index is the position of the statement's
// command.
func (x *execution) commands(c *lender.Conn, prefix, suffix []messenger.Command) (all []messenger.Command, index int) {
	t := x.session.tx
	setup, name := c.SessionCommands(x.session.values, x.prepared, t != nil && t.conn == c)
	statement := x.command
	if x.prepared != nil {
		statement.Name = name
	}
	all = append(all, setup...)
	all = append(all, prefix...)
	index = len(all)
	all = append(all, statement)
	return append(all, suffix...), index
}

// send exchanges commands with a member and reports the result to the group's tracker and
// the pool.
func (x *execution) send(c *lender.Conn, commands []messenger.Command, deadline time.Time) ([]messenger.Reply, bool, error) {
	g, sentAt := x.backend.Group, time.Now()
	g.RecordSend(c.Member)
	replies, sent, err := c.Exchange(commands, deadline)
	now := x.session.server.Clock()
	if err != nil {
		g.RecordFailure(now, c.Member, true)
		x.backend.Pool.NoteTimeout(c)
		return replies, sent, err
	}
	g.RecordResponse(now, c.Member, time.Since(sentAt), replies[len(replies)-1].Position)
	x.checkSessionState(c, commands, replies)
	x.reportBusy(c, replies)
	return replies, sent, nil
}

// reportBusy reports to the pool whether the member refused a command for lack of capacity.
func (x *execution) reportBusy(c *lender.Conn, replies []messenger.Reply) {
	busy := slices.ContainsFunc(replies, func(r messenger.Reply) bool { return r.Code == messenger.CodeBusy })
	x.backend.Pool.NoteResult(c, !busy)
}

// checkSessionState discards the connection's record of its session state when a command
// that sets it failed: the next statement would run with another session's values.
func (x *execution) checkSessionState(c *lender.Conn, commands []messenger.Command, replies []messenger.Reply) {
	for i, r := range replies {
		switch commands[i].Kind {
		case messenger.KindSet, messenger.KindReset, messenger.KindPrepareRead, messenger.KindPrepareWrite:
			if r.Code != messenger.CodeNone {
				c.ForgetState()
				x.session.server.logDecision("statement", "id", x.statement.ID, "outcome", "state-not-set", "member", c.Member, "code", r.Code)
			}
		}
	}
}

// abandon lets a timed-out connection finish its work in the background, so that the member
// isn't interrupted, until the statement's own deadline. After that it is closed: with lost
// replies, connections would pile up at a member whose number of them is limited.
func (x *execution) abandon(c *lender.Conn, err error) {
	if lender.IsTimeout(err) {
		x.session.server.awaitLateReply(x.backend, c, x.deadline())
		return
	}
	x.backend.Pool.Return(c)
}
