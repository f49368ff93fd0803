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

// attempt is the state of one request over all its attempts at targets.
type attempt struct {
	session       *Session
	request       *request
	started       time.Time
	waitContext   context.Context // done when the request is cancelled before it reaches a target
	excluded      []int
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
	a := &attempt{session: s, request: r, started: time.Now(), waitContext: wait}
	s.Retries.RecordFirstAttempt()
	for {
		done, refusal := a.tryOnce(ctx)
		switch {
		case done:
		case ctx.Err() != nil:
			refusal = refuser.New(refuser.NoPrimary, "the instance is stopping")
		case wait.Err() != nil:
			refusal = refuser.New(refuser.Cancelled, "while waiting for a target or connection")
		default:
			continue
		}
		a.recordDecision(refusal)
		return refusal
	}
}

// tryOnce makes one attempt; done is false if another may follow.
func (a *attempt) tryOnce(ctx context.Context) (done bool, refusal *refuser.Refusal) {
	if refusal := a.chooseTarget(); refusal != nil || a.choice.Member < 0 {
		return refusal != nil, refusal
	}
	c, refusal := a.checkout()
	if c == nil {
		return refusal != nil, refusal
	}
	return a.execute(ctx, c)
}

// chooseTarget selects the target. If none is available, it waits for a change of the routing
// table.
func (a *attempt) chooseTarget() *refuser.Refusal {
	s := a.session
	a.choice.Member = -1
	if refusal := a.loadTable(); refusal != nil {
		return refusal
	}
	remaining := holdTimeout(a.group) - time.Since(a.started)
	if remaining <= 0 {
		return a.noTargetRefusal()
	}
	missing, refusal := a.resolveFloor()
	switch {
	case refusal != nil:
		return refusal
	case missing:
		s.awaitTableChange(a.waitContext, a.table, min(remaining, quorumTimeout-time.Since(a.started)))
		return nil
	}
	a.choice = a.group.Choose(time.Now(), a.routingRequest())
	if a.choice.Member < 0 {
		a.excluded = nil
		s.awaitTableChange(a.waitContext, a.table, remaining)
	}
	return nil
}

// checkout checks out a connection to the chosen target, nil if there is none.
func (a *attempt) checkout() (*pooler.Conn, *refuser.Refusal) {
	s := a.session
	c, err := s.checkout(a.waitContext, a.group, a.choice, a.request, holdTimeout(a.group)-time.Since(a.started))
	var rejection *refuser.Refusal
	switch {
	case err == nil:
		return c, nil
	case a.waitContext.Err() != nil: // cancelled or shutting down
		return nil, nil
	case errors.As(err, &rejection):
		return nil, rejection
	case errors.Is(err, pooler.ErrBusy):
		return nil, refuser.New(refuser.NoConnection, "service %q", s.Service)
	}
	s.Count("retry.connect")
	a.excluded = append(a.excluded, a.choice.Member)
	s.awaitTableChange(a.waitContext, a.table, retryDelay)
	return nil, nil
}

// execute runs the request on a connection.
func (a *attempt) execute(ctx context.Context, c *pooler.Conn) (done bool, refusal *refuser.Refusal) {
	s := a.session
	x := newExchange(s, c, a.request, false)
	x.minPosition, x.replayTimeout, x.suspectSilent = a.choice.MinPosition, a.choice.CatchUpTimeout, a.suspectSilent
	x.termCheckFrom, x.needsTermCheck = a.termCheck(x.started)
	x.holdAnswer = x.needsTermCheck
	if x.needsTermCheck && x.termCheckFrom.Equal(x.started) {
		s.requestWatermark()
	}
	s.out = s.out[:0]
	return a.handleResult(x, x.run(ctx, a.request))
}

// handleResult decides whether to retry the request.
func (a *attempt) handleResult(x *exchange, e result) (done bool, refusal *refuser.Refusal) {
	s := a.session
	retry := e == resultBehind || (e == resultLost && !s.partlySent && x.state.outcome() == refuser.NotRun)
	if !retry {
		return true, s.finish(x, e)
	}
	s.release(x.conn, e == resultLost)
	switch {
	case e == resultBehind:
		s.Count("retry.behind")
		a.excluded = append(a.excluded, a.choice.Member)
	case x.writeOnReplica:
		// The statement's tokens did not reveal the write: retry on the primary.
		s.Count("retry.write")
		a.request.readOnly, a.request.pure = false, false
	case errors.Is(x.err, errStaleConnection):
		s.Count("retry.not-quiet")
		// After a target's restart all its idle connections are stale: skip them at once. The
		// pause protects a target whose new connections fail, too.
		if a.staleConns++; a.staleConns > maxStaleConns {
			s.awaitTableChange(a.waitContext, a.table, retryDelay)
		}
	case !s.Retries.AllowRetry():
		return true, refuser.New(refuser.RetriesSpent, "service %q", s.Service)
	default:
		s.Count("retry.not-run")
		if errors.Is(x.err, errNoResponse) {
			a.suspectSilent = true
			s.Pool.DropIdle()
		}
		a.excluded = append(a.excluded, a.choice.Member)
		if !a.choice.Replica {
			s.awaitTableChange(a.waitContext, a.table, retryDelay)
		}
	}
	return false, nil
}

// loadTable loads the current routing table.
func (a *attempt) loadTable() *refuser.Refusal {
	a.table = a.session.Table()
	if a.table == nil || a.table.Group(a.session.Service) == nil {
		return refuser.New(refuser.NoService, "service %q", a.session.Service)
	}
	a.group = a.table.Group(a.session.Service)
	return nil
}

// resolveFloor sets the minimum position of a session without a token: a watermark taken after
// the session connected covers every write acknowledged before, on any instance. Concurrent
// sessions share the query.
func (a *attempt) resolveFloor() (missing bool, refusal *refuser.Refusal) {
	s := a.session
	if s.floorKnown || (!a.request.readOnly && !a.request.beginsTransaction) {
		return false, nil
	}
	if w, ok := a.group.WatermarkSince(s.Connected); ok {
		s.Floor, s.floorKnown = w.Position, true
		return false, nil
	}
	if time.Since(a.started) >= quorumTimeout {
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

func (a *attempt) routingRequest() router.Request {
	s := a.session
	s.requestCount++
	return router.Request{
		Read: a.request.readOnly, Floor: s.Floor, LastRead: s.seenPosition, MaxAge: a.maxAge(),
		Zone: s.Zone, Exclude: a.excluded, PreferenceSeed: s.PreferenceSeed, Sequence: s.requestCount,
	}
}

// maxAge returns the staleness bound of the request's kind, 0 after an unknown outcome.
func (a *attempt) maxAge() time.Duration {
	if a.session.outcomeUnknown {
		return 0
	}
	age, _ := a.group.Service.MaxAge(a.request.kind)
	return age
}

// termCheck returns whether the answer requires a majority's confirmation of the term, and the
// earliest time of that check. Reads without a staleness bound require it from their start;
// transactions once, at BEGIN, since their reads are not checked one by one.
func (a *attempt) termCheck(started time.Time) (from time.Time, needed bool) {
	age := a.maxAge()
	switch {
	case a.choice.Replica: // covered by the required position
	case a.request.beginsTransaction:
		return started.Add(-min(age, maxBeginAge)), true
	case a.request.readOnly && age == 0:
		return started, true
	}
	return time.Time{}, false
}

func (a *attempt) noTargetRefusal() *refuser.Refusal {
	reason := refuser.NoPrimary
	if a.request.readOnly {
		reason = refuser.NoTarget
	}
	return refuser.New(reason, "service %q: waited %v: %s", a.session.Service, holdTimeout(a.group), a.choice.Reason)
}

func (a *attempt) recordDecision(f *refuser.Refusal) {
	e := a.session.DecisionLog
	if e == nil {
		return
	}
	d := router.Decision{
		At: time.Now(), Service: a.session.Service, Kind: a.request.kind, Read: a.request.readOnly,
		Member: a.choice.Member, Replica: a.choice.Replica, Reason: a.choice.Reason, Waited: time.Since(a.started),
	}
	if f != nil {
		d.Code = f.Reason.Code
	}
	if a.group != nil && a.choice.Member >= 0 && a.choice.Member < len(a.group.Service.Members) {
		d.Target = a.group.Service.Members[a.choice.Member].Name
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

func (s *Session) checkout(ctx context.Context, g *router.Group, c router.Choice, r *request, timeout time.Duration) (*pooler.Conn, error) {
	endpoint := pooler.Endpoint{Address: g.Service.Members[c.Member].Address}
	if !c.Replica {
		endpoint.Term = g.Members[c.Member].Status.Term
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Pool.Borrow(ctx, admitter.ConnectionRequest{Endpoint: endpoint, User: s.User, Class: r.admissionClass()})
}

// finish decides what happens to the connection and the client's transaction.
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
