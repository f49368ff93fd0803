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
	// redoPause spaces the tries of a request that was not run.
	redoPause = 20 * time.Millisecond
	// spoiledLimit is how many idle connections a request passes by without a
	// pause; an instance's share of a group is rarely larger.
	spoiledLimit = 8
	// floorWait is how long a read waits for a majority to say where the
	// caller's own work ends. One question and its answer take a few
	// milliseconds; beyond a second no majority is there.
	floorWait = time.Second
	// beginAge bounds how old the state may be that a transaction begins with,
	// when its kind accepts as much. The observer asks ten times a second, so
	// that no BEGIN waits while a majority answers.
	beginAge = time.Second
)

// try is a request on its way to a target.
type try struct {
	session *Session
	request *request
	started time.Time
	wait    context.Context // ends with a cancel while no target has the request
	avoid   []int
	table   *router.Table
	group   *router.Group
	choice  router.Choice
	alert   bool // a connection was silent
	spoiled int  // connections that were not quiet
}

// attempt tries a request until it is answered, or must be refused.
func (s *Session) attempt(ctx context.Context, r *request) *refuser.Refusal {
	switch {
	case s.open != nil:
		x := s.open
		s.open = nil
		return s.finish(x, x.proceed(ctx, r))
	case s.pinned != nil:
		c := s.pinned
		s.pinned = nil
		x := newExchange(s, c, r, true)
		return s.finish(x, x.run(ctx, r))
	}
	wait, done := s.cancels.waiting(ctx)
	defer done()
	t := &try{session: s, request: r, started: time.Now(), wait: wait}
	s.Retries.RecordFirstAttempt()
	for {
		done, refusal := t.once(ctx)
		switch {
		case done:
		case ctx.Err() != nil:
			refusal = refuser.New(refuser.NoPrimary, "the instance is stopping")
		case wait.Err() != nil:
			refusal = refuser.New(refuser.Cancelled, "while it waited")
		default:
			continue
		}
		t.explain(refusal)
		return refusal
	}
}

// once makes one try; done is false when another may follow.
func (t *try) once(ctx context.Context) (done bool, refusal *refuser.Refusal) {
	if refusal := t.choose(); refusal != nil || t.choice.Member < 0 {
		return refusal != nil, refusal
	}
	c, refusal := t.connect()
	if c == nil {
		return refusal != nil, refusal
	}
	return t.send(ctx, c)
}

// choose decides where the request goes now. When that is nowhere, it waits until
// something has changed.
func (t *try) choose() *refuser.Refusal {
	s := t.session
	t.choice.Member = -1
	if refusal := t.look(); refusal != nil {
		return refusal
	}
	left := hold(t.group) - time.Since(t.started)
	if left <= 0 {
		return t.noTarget()
	}
	missing, refusal := t.needFloor()
	switch {
	case refusal != nil:
		return refusal
	case missing:
		s.wait(t.wait, t.table, min(left, floorWait-time.Since(t.started)))
		return nil
	}
	t.choice = t.group.Choose(time.Now(), t.question())
	if t.choice.Member < 0 {
		t.avoid = nil
		s.wait(t.wait, t.table, left)
	}
	return nil
}

// connect borrows a connection to the chosen target, nil when there is none.
func (t *try) connect() (*pooler.Conn, *refuser.Refusal) {
	s := t.session
	c, err := s.borrow(t.wait, t.group, t.choice, t.request, hold(t.group)-time.Since(t.started))
	var turnedAway *refuser.Refusal
	switch {
	case err == nil:
		return c, nil
	case t.wait.Err() != nil: // cancelled, or the instance is stopping
		return nil, nil
	case errors.As(err, &turnedAway):
		return nil, turnedAway
	case errors.Is(err, pooler.ErrBusy):
		return nil, refuser.New(refuser.NoConnection, "service %q", s.Service)
	}
	s.Count("retry.connect")
	t.avoid = append(t.avoid, t.choice.Member)
	s.wait(t.wait, t.table, redoPause)
	return nil, nil
}

// send runs the request on a connection.
func (t *try) send(ctx context.Context, c *pooler.Conn) (done bool, refusal *refuser.Refusal) {
	s := t.session
	x := newExchange(s, c, t.request, false)
	x.need, x.await, x.alert = t.choice.MinPosition, t.choice.CatchUpTimeout, t.alert
	x.witnessed, x.strict = t.witnessed(x.started)
	x.held = x.strict
	if x.strict && x.witnessed.Equal(x.started) {
		s.want()
	}
	s.out = s.out[:0]
	return t.judge(x, x.run(ctx, t.request))
}

// judge decides whether the request may be tried again.
func (t *try) judge(x *exchange, e end) (done bool, refusal *refuser.Refusal) {
	s := t.session
	again := e == endBehind || (e == endLost && !s.sent && x.facts.outcome() == refuser.NotRun)
	if !again {
		return true, s.finish(x, e)
	}
	s.giveBack(x.conn, e == endLost)
	switch {
	case e == endBehind:
		s.Count("retry.behind")
		t.avoid = append(t.avoid, t.choice.Member)
	case x.writeMet:
		// A replica met a write that its words did not show.
		s.Count("retry.write")
		t.request.read, t.request.pure = false, false
	case errors.Is(x.err, errNotQuiet):
		s.Count("retry.not-quiet")
		// After a restart of the target all idle ones have ended: they are passed
		// by at once. A target whose new ones are no better is not hammered.
		if t.spoiled++; t.spoiled > spoiledLimit {
			s.wait(t.wait, t.table, redoPause)
		}
	case !s.Retries.AllowRetry():
		return true, refuser.New(refuser.RetriesSpent, "service %q", s.Service)
	default:
		s.Count("retry.not-run")
		if errors.Is(x.err, errSilent) {
			t.alert = true
			s.Pool.DropIdle()
		}
		t.avoid = append(t.avoid, t.choice.Member)
		if !t.choice.Replica {
			s.wait(t.wait, t.table, redoPause)
		}
	}
	return false, nil
}

// look takes the newest table.
func (t *try) look() *refuser.Refusal {
	t.table = t.session.Table()
	if t.table == nil || t.table.Group(t.session.Service) == nil {
		return refuser.New(refuser.NoService, "service %q", t.session.Service)
	}
	t.group = t.table.Group(t.session.Service)
	return nil
}

// needFloor finds the floor of a session that came without a token: a watermark
// taken after it connected is at or past each write acknowledged before, on
// whatever instance. All sessions that connected meanwhile share the question.
func (t *try) needFloor() (missing bool, refusal *refuser.Refusal) {
	s := t.session
	if s.floorKnown || (!t.request.read && !t.request.begins) {
		return false, nil
	}
	if w, ok := t.group.WatermarkSince(s.Connected); ok {
		s.Floor, s.floorKnown = w.Position, true
		return false, nil
	}
	if time.Since(t.started) >= floorWait {
		return false, refuser.New(refuser.FloorUnknown, "service %q: no majority answered within %v", s.Service, floorWait)
	}
	s.want()
	return true, nil
}

func (s *Session) want() {
	if s.Want != nil {
		s.Want(s.Service)
	}
}

func (t *try) question() router.Request {
	s := t.session
	s.turn++
	return router.Request{
		Read: t.request.read, Floor: s.Floor, LastRead: s.seen, MaxAge: t.age(),
		Zone: s.Zone, Exclude: t.avoid, PreferenceSeed: s.Home, Sequence: s.turn,
	}
}

// age is the stated age of the request's kind.
func (t *try) age() time.Duration {
	if t.session.uncertain {
		return 0
	}
	age, _ := t.group.Service.MaxAge(t.request.kind)
	return age
}

// witnessed tells since when a majority must have named no newer term before
// the answer is given out; strict is false when that isn't needed. A read that
// accepts no age needs it since it began. A transaction may read, too, and its
// reads are not checked one by one: it needs it of late at its BEGIN.
func (t *try) witnessed(started time.Time) (since time.Time, strict bool) {
	age := t.age()
	switch {
	case t.choice.Replica: // the position that it must show proves as much
	case t.request.begins:
		return started.Add(-min(age, beginAge)), true
	case t.request.read && age == 0:
		return started, true
	}
	return time.Time{}, false
}

func (t *try) noTarget() *refuser.Refusal {
	reason := refuser.NoPrimary
	if t.request.read {
		reason = refuser.NoTarget
	}
	return refuser.New(reason, "service %q: waited %v: %s", t.session.Service, hold(t.group), t.choice.Reason)
}

func (t *try) explain(f *refuser.Refusal) {
	e := t.session.Explainer
	if e == nil {
		return
	}
	d := router.Decision{
		At: time.Now(), Service: t.session.Service, Kind: t.request.kind, Read: t.request.read,
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

func (s *Session) wait(ctx context.Context, t *router.Table, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.Replaced:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Session) borrow(ctx context.Context, g *router.Group, c router.Choice, r *request, left time.Duration) (*pooler.Conn, error) {
	place := pooler.Endpoint{Address: g.Service.Members[c.Member].Address}
	if !c.Replica {
		place.Term = g.Members[c.Member].Status.Term
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return s.Pool.Borrow(ctx, admitter.ConnectionRequest{Place: place, User: s.User, Class: r.lendingClass()})
}

// finish settles what becomes of the connection and the caller's transaction.
func (s *Session) finish(x *exchange, e end) *refuser.Refusal {
	switch e {
	case endOpen:
		s.open = x
		return nil
	case endAnswered:
		s.settle(x)
		return nil
	case endRefused:
		s.giveBack(x.conn, !x.sound)
		s.lose(x.status != 'I')
		return x.refusal
	}
	s.giveBack(x.conn, true)
	reason := x.facts.reason()
	s.lose((x.facts.inTransaction || x.request.begins) && !x.request.ends)
	return refuser.New(reason, "service %q: %v", s.Service, x.err)
}

// settle keeps the connection for an open transaction, or gives it back.
func (s *Session) settle(x *exchange) {
	s.status = x.status
	if x.status != 'I' {
		s.pinned = x.conn
		s.pinned.Tainted = s.pinned.Tainted || x.tainted
		s.pending = append(s.pending, x.changedSettings()...)
		return
	}
	clear(s.portals)
	changed := append(s.pending, x.changedSettings()...)
	s.pending = nil
	if x.facts.inTransaction && !x.facts.committed {
		changed = nil // rolled back, and the settings with it
		x.tainted = x.tainted || len(changed) > 0
	}
	for _, sql := range changed {
		s.settings = s.settings.change(sql)
	}
	if len(changed) > 0 {
		x.conn.Settings = s.settings.script()
	}
	s.giveBack(x.conn, x.tainted || x.conn.Tainted)
}
