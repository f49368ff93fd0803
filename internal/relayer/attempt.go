package relayer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	// retryDelay is the pause between attempts of a request that was not run.
	retryDelay = 20 * time.Millisecond
	// maxStaleConns is the number of stale idle connections that a request skips without a
	// pause; an instance's share of a group is rarely larger.
	maxStaleConns = 8
	// quorumTimeout is how long a read waits for a majority to report the watermark or term.
	quorumTimeout = time.Second
	// maxBeginAge limits the age of the term check for BEGIN, whatever the accepted staleness.
	// The observer polls often enough that BEGIN rarely waits.
	maxBeginAge = time.Second
)

// attempt is the state of a request while targets are tried.
type attempt struct {
	session       *Session
	request       *request
	started       time.Time
	waitContext   context.Context // done when the request is cancelled before it reaches a target
	avoid         []int
	table         *router.Table
	group         *router.Group
	choice        router.Choice
	suspectSilent bool // a connection was found silent
	staleConns    int  // stale connections encountered
}

// execute retries a request until it is answered or must be refused.
func (s *Session) execute(ctx context.Context, r *request) *refuser.Refusal {
	switch {
	case s.suspended != nil:
		x := s.suspended
		s.suspended = nil
		return s.finish(x, x.continueAfterFlush(ctx, r))
	case s.pinned != nil:
		c := s.pinned
		s.pinned = nil
		x := newExchange(s, c, r, true)
		return s.finish(x, x.run(ctx, r))
	}
	wait, done := s.cancel.waitContext(ctx)
	defer done()
	t := &attempt{session: s, request: r, started: time.Now(), waitContext: wait}
	s.Retries.RecordFirstAttempt()
	for {
		done, refusal := t.tryOnce(ctx)
		switch {
		case done:
		case ctx.Err() != nil:
			refusal = refuser.New(refuser.NoPrimary, "the instance is stopping")
		case wait.Err() != nil:
			refusal = refuser.New(refuser.Cancelled, "while it waited")
		default:
			continue
		}
		t.recordDecision(refusal)
		return refusal
	}
}

// tryOnce makes one attempt; done is false if another may follow.
func (t *attempt) tryOnce(ctx context.Context) (done bool, refusal *refuser.Refusal) {
	if refusal := t.chooseTarget(); refusal != nil || t.choice.Member < 0 {
		return refusal != nil, refusal
	}
	c, refusal := t.checkout()
	if c == nil {
		return refusal != nil, refusal
	}
	return t.execute(ctx, c)
}

// chooseTarget selects the target. If none is available, it waits for a change of the routing
// table.
func (t *attempt) chooseTarget() *refuser.Refusal {
	s := t.session
	t.choice.Member = -1
	if refusal := t.loadTable(); refusal != nil {
		return refusal
	}
	left := holdTimeout(t.group) - time.Since(t.started)
	if left <= 0 {
		return t.noTargetRefusal()
	}
	missing, refusal := t.resolveFloor()
	switch {
	case refusal != nil:
		return refusal
	case missing:
		s.awaitTableChange(t.waitContext, t.table, min(left, quorumTimeout-time.Since(t.started)))
		return nil
	}
	t.choice = t.group.Choose(time.Now(), t.routingRequest())
	if t.choice.Member < 0 {
		t.avoid = nil
		s.awaitTableChange(t.waitContext, t.table, left)
	}
	return nil
}

// checkout checks out a connection to the chosen target, nil if there is none.
func (t *attempt) checkout() (*pooler.Conn, *refuser.Refusal) {
	s := t.session
	c, err := s.checkout(t.waitContext, t.group, t.choice, t.request, holdTimeout(t.group)-time.Since(t.started))
	var rejection *refuser.Refusal
	switch {
	case err == nil:
		return c, nil
	case t.waitContext.Err() != nil: // cancelled or shutting down
		return nil, nil
	case errors.As(err, &rejection):
		return nil, rejection
	case errors.Is(err, pooler.ErrBusy):
		return nil, refuser.New(refuser.NoConnection, "service %q", s.Service)
	}
	s.Count("retry.connect")
	t.avoid = append(t.avoid, t.choice.Member)
	s.awaitTableChange(t.waitContext, t.table, retryDelay)
	return nil, nil
}

// execute runs the request on a connection.
func (t *attempt) execute(ctx context.Context, c *pooler.Conn) (done bool, refusal *refuser.Refusal) {
	s := t.session
	x := newExchange(s, c, t.request, false)
	x.minPosition, x.replayTimeout, x.suspectSilent = t.choice.MinPosition, t.choice.CatchUpTimeout, t.suspectSilent
	x.termCheckFrom, x.needsTermCheck = t.termCheck(x.started)
	x.holdAnswer = x.needsTermCheck
	if x.needsTermCheck && x.termCheckFrom.Equal(x.started) {
		s.requestWatermark()
	}
	s.out = s.out[:0]
	return t.handleResult(x, x.run(ctx, t.request))
}

// handleResult decides whether to retry the request.
func (t *attempt) handleResult(x *exchange, e result) (done bool, refusal *refuser.Refusal) {
	s := t.session
	again := e == resultBehind || (e == resultLost && !s.partlySent && x.state.outcome() == refuser.NotRun)
	if !again {
		return true, s.finish(x, e)
	}
	s.release(x.conn, e == resultLost)
	switch {
	case e == resultBehind:
		s.Count("retry.behind")
		t.avoid = append(t.avoid, t.choice.Member)
	case x.writeOnReplica:
		// The statement's tokens did not reveal the write: retry on the primary.
		s.Count("retry.write")
		t.request.readOnly, t.request.pure = false, false
	case errors.Is(x.err, errStaleConnection):
		s.Count("retry.not-quiet")
		// After a target's restart all its idle connections are stale: skip them at once. The
		// pause protects a target whose new connections fail, too.
		if t.staleConns++; t.staleConns > maxStaleConns {
			s.awaitTableChange(t.waitContext, t.table, retryDelay)
		}
	case !s.Retries.AllowRetry():
		return true, refuser.New(refuser.RetriesSpent, "service %q", s.Service)
	default:
		s.Count("retry.not-run")
		if errors.Is(x.err, errSilent) {
			t.suspectSilent = true
			s.Pool.DropIdle()
		}
		t.avoid = append(t.avoid, t.choice.Member)
		if !t.choice.Replica {
			s.awaitTableChange(t.waitContext, t.table, retryDelay)
		}
	}
	return false, nil
}

// loadTable loads the current routing table.
func (t *attempt) loadTable() *refuser.Refusal {
	t.table = t.session.Table()
	if t.table == nil || t.table.Group(t.session.Service) == nil {
		return refuser.New(refuser.NoService, "service %q", t.session.Service)
	}
	t.group = t.table.Group(t.session.Service)
	return nil
}

// resolveFloor sets the minimum position of a session without a token: a watermark taken after
// the session connected covers every write acknowledged before, on any instance. Concurrent
// sessions share the query.
func (t *attempt) resolveFloor() (missing bool, refusal *refuser.Refusal) {
	s := t.session
	if s.floorKnown || (!t.request.readOnly && !t.request.beginsTransaction) {
		return false, nil
	}
	if w, ok := t.group.WatermarkSince(s.Connected); ok {
		s.Floor, s.floorKnown = w.Position, true
		return false, nil
	}
	if time.Since(t.started) >= quorumTimeout {
		return false, refuser.New(refuser.FloorUnknown, "service %q: no majority answered within %v", s.Service, quorumTimeout)
	}
	s.requestWatermark()
	return true, nil
}

func (s *Session) requestWatermark() {
	if s.RequestWatermark != nil {
		s.RequestWatermark(s.Service)
	}
}

func (t *attempt) routingRequest() router.Request {
	s := t.session
	s.requestCount++
	return router.Request{
		Read: t.request.readOnly, Floor: s.Floor, LastRead: s.seenPosition, MaxAge: t.maxAge(),
		Zone: s.Zone, Exclude: t.avoid, PreferenceSeed: s.PreferenceSeed, Sequence: s.requestCount,
	}
}

// maxAge returns the staleness bound of the request's kind, 0 after an unknown outcome.
func (t *attempt) maxAge() time.Duration {
	if t.session.outcomeUnknown {
		return 0
	}
	age, _ := t.group.Service.MaxAge(t.request.kind)
	return age
}

// termCheck returns whether the answer requires a majority's confirmation of the term, and the
// earliest time of that check. Reads without a staleness bound require it from their start;
// transactions once, at BEGIN, since their reads are not checked one by one.
func (t *attempt) termCheck(started time.Time) (from time.Time, needed bool) {
	age := t.maxAge()
	switch {
	case t.choice.Replica: // covered by the required position
	case t.request.beginsTransaction:
		return started.Add(-min(age, maxBeginAge)), true
	case t.request.readOnly && age == 0:
		return started, true
	}
	return time.Time{}, false
}

func (t *attempt) noTargetRefusal() *refuser.Refusal {
	reason := refuser.NoPrimary
	if t.request.readOnly {
		reason = refuser.NoTarget
	}
	return refuser.New(reason, "service %q: waited %v: %s", t.session.Service, holdTimeout(t.group), t.choice.Reason)
}

func (t *attempt) recordDecision(f *refuser.Refusal) {
	e := t.session.Explainer
	if e == nil {
		return
	}
	d := router.Decision{
		At: time.Now(), Service: t.session.Service, Kind: t.request.kind, Read: t.request.readOnly,
		Member: t.choice.Member, Replica: t.choice.Replica, Reason: t.choice.Reason, Waited: time.Since(t.started),
	}
	if f != nil {
		d.Code = f.Reason.Code
	}
	if t.group != nil && t.choice.Member >= 0 && t.choice.Member < len(t.group.Service.Members) {
		d.Target = t.group.Service.Members[t.choice.Member].Name
	}
	e.Add(d)
}

func (s *Session) awaitTableChange(ctx context.Context, t *router.Table, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.Replaced:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Session) checkout(ctx context.Context, g *router.Group, c router.Choice, r *request, left time.Duration) (*pooler.Conn, error) {
	place := pooler.Endpoint{Address: g.Service.Members[c.Member].Address}
	if !c.Replica {
		place.Term = g.Members[c.Member].Status.Term
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return s.Pool.Borrow(ctx, admitter.ConnectionRequest{Place: place, User: s.User, Class: r.admissionClass()})
}

// finish decides what happens to the connection and the caller's transaction.
func (s *Session) finish(x *exchange, e result) *refuser.Refusal {
	switch e {
	case resultFlushed:
		s.suspended = x
		return nil
	case resultComplete:
		s.keepOrRelease(x)
		return nil
	case resultRefused:
		s.release(x.conn, !x.reusable)
		s.failTransaction(x.status != 'I')
		return x.refusal
	}
	s.release(x.conn, true)
	reason := x.state.reason()
	s.failTransaction((x.state.inTransaction || x.request.beginsTransaction) && !x.request.lastEndsTransaction)
	return refuser.New(reason, "service %q: %v", s.Service, x.err)
}

// keepOrRelease keeps the connection for an open transaction or returns it to the pool.
func (s *Session) keepOrRelease(x *exchange) {
	s.status = x.status
	if x.status != 'I' {
		s.pinned = x.conn
		s.pinned.Tainted = s.pinned.Tainted || x.tainted
		s.pendingSettings = append(s.pendingSettings, x.appliedSettings()...)
		return
	}
	clear(s.portals)
	changed := append(s.pendingSettings, x.appliedSettings()...)
	s.pendingSettings = nil
	if x.state.inTransaction && !x.state.committed {
		changed = nil // the rollback undoes the settings
		x.tainted = x.tainted || len(changed) > 0
	}
	for _, sql := range changed {
		s.settings = s.settings.apply(sql)
	}
	if len(changed) > 0 {
		x.conn.Settings = s.settings.script()
	}
	s.release(x.conn, x.tainted || x.conn.Tainted)
}
