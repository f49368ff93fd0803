package lender

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/forecaster"
)

// WaitError rejects a request with a latency objective that gets no connection. It wraps
// ErrNoConnection or ErrNoMember.
type WaitError struct {
	Err error
	// Decision holds the cause of the refusal and its inputs. RetryAfter is 0 if unknown.
	forecaster.Decision
}

// Error implements error.
func (e *WaitError) Error() string { return e.Err.Error() + ": " + string(e.Cause) }

// Unwrap returns the wrapped error.
func (e *WaitError) Unwrap() error { return e.Err }

// forecast decides whether a request waits behind the requests ahead of it. Without an objective
// only the average loan counts.
func (p *Pool) forecast(w *waiter, ids []string, ahead []*waiter) forecaster.Decision {
	now := time.Now()
	if w.LatestStart.IsZero() || w.StatusQuery {
		if p.wouldTimeOut(w, len(ahead)) {
			return forecaster.Decision{Verdict: forecaster.Refuse, Cause: forecaster.CauseQueue}
		}
		return forecaster.Decision{}
	}
	if d := p.forecastPaths(w, ids, now); d.Verdict != forecaster.Keep || len(ids) == 0 {
		return d
	}
	q := p.queue(w, ids, ahead, now)
	if q.Rate == 0 && p.wouldTimeOut(w, len(ahead)) {
		wait := p.loansWait(len(ahead))
		return forecaster.Decision{Verdict: forecaster.Refuse, Cause: forecaster.CauseQueue, RetryAfter: wait, Ahead: len(ahead)}
	}
	return forecaster.Decide(forecaster.Request{Now: now, LatestStart: w.LatestStart, Deadline: w.Deadline}, q)
}

// forecastPaths decides by the primary and the paths to the eligible members.
func (p *Pool) forecastPaths(w *waiter, ids []string, now time.Time) forecaster.Decision {
	p.observePrimary(now)
	switch {
	case len(ids) == 0 && !p.primaryUnknownSince.IsZero():
		return forecaster.DecidePrimaryUnknown(now, p.primaryUnknownSince)
	case len(ids) == 0 || !p.allDown(ids, now):
		return forecaster.Decision{}
	}
	paths := forecaster.Paths{Failover: p.failoverPossible(ids, now)}
	for _, id := range ids {
		m := p.members[id]
		if since := m.outage.Since(); since.After(paths.Since) {
			paths.Since = since
		}
		next := m.nextOpening(now)
		paths.MayProbe = paths.MayProbe || m.opening == 0 && !next.After(now)
		paths.Probing = paths.Probing || m.opening > 0 && now.Sub(m.openingSince) < slowOpenTime
		if paths.NextProbe.IsZero() || next.Before(paths.NextProbe) {
			paths.NextProbe = next
		}
	}
	if p.BorrowRemote != nil && !w.LocalOnly && p.allUnreachable(ids) {
		next := p.remoteOutage.NextProbe()
		paths.Probing = paths.Probing || !p.remoteOutage.Down(now)
		paths.MayProbe = paths.MayProbe || p.remoteLoans == 0 && !next.After(now)
		if next.After(now) && next.Before(paths.NextProbe) {
			paths.NextProbe = next
		}
	}
	return forecaster.DecideDown(now, paths)
}

// nextOpening returns when an opening may show that the member can be reached again.
func (m *memberPool) nextOpening(now time.Time) time.Time {
	switch {
	case m.opening == 0:
		return m.retryAt
	case now.Sub(m.openingSince) < slowOpenTime:
		return m.openingSince.Add(slowOpenTime)
	default:
		return m.openingSince.Add(openTimeout + max(minBackoff, m.backoff))
	}
}

// down reports whether the path to the member is down.
func (m *memberPool) down(now time.Time) bool {
	return (m.open == 0 || m.timeouts >= unreachableTimeouts) && m.outage.Down(now)
}

// noteReachable records that the member has responded. The drain rate of an outage says nothing
// about the time after it.
func (m *memberPool) noteReachable() {
	if m.outage.Down(time.Now()) {
		now := time.Now()
		m.drain, m.classDrains = forecaster.DrainRate{}, nil
		m.drain.SetWaiting(now, m.queued)
		for class, n := range m.queuedByClass {
			m.classDrain(class).SetWaiting(now, n)
		}
	}
	m.outage.RecordSuccess()
	m.notedDown = false
}

// recordFailure records the failure of an attempt at the member that began at a time.
func (p *Pool) recordFailure(m *memberPool, began, now time.Time) {
	m.outage.RecordFailure(began, now)
	if m.down(now) && !m.notedDown {
		m.notedDown = true
		if p.NoteDown != nil {
			p.NoteDown(m.id, now.Sub(m.outage.Since()))
		}
	}
}

// allDown reports whether the paths to all members are down.
func (p *Pool) allDown(ids []string, now time.Time) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { m := p.members[id]; return m == nil || !m.down(now) })
}

// failoverPossible reports whether a member other than the given ones may be reachable from here,
// so that the requests can be served there once it is primary.
func (p *Pool) failoverPossible(ids []string, now time.Time) bool {
	return slices.ContainsFunc(p.Group.IDs(), func(id string) bool {
		m := p.members[id]
		return !slices.Contains(ids, id) && (m == nil || !m.down(now))
	})
}

// noteRemoteLoan records whether other instances could reach the members for a loan.
func (p *Pool) noteRemoteLoan(ctx context.Context, began time.Time, err error) {
	var limit *LimitError
	switch {
	case err == nil, errors.Is(err, ErrNoConnection), errors.As(err, &limit):
		p.remoteOutage.RecordSuccess()
	case ctx.Err() == nil:
		p.remoteOutage.RecordFailure(began, time.Now())
	}
}

// observePrimary keeps the time since which no primary is known.
func (p *Pool) observePrimary(now time.Time) {
	switch {
	case p.Group.Primary() != "":
		p.primaryUnknownSince = time.Time{}
	case p.primaryUnknownSince.IsZero():
		p.primaryUnknownSince = now
	}
}

// queue describes the queue for the members, as a request behind others finds it. The rate is
// unknown unless that of all members is.
func (p *Pool) queue(w *waiter, ids []string, ahead []*waiter, now time.Time) forecaster.Queue {
	var q forecaster.Queue
	classKnown := p.severalClasses()
	for _, id := range ids {
		m := p.member(id)
		rate, classRate := m.drain.PerSecond(now), m.classDrain(w.class()).PerSecond(now)
		if rate == 0 {
			return forecaster.Queue{}
		}
		q.Rate += rate
		q.ClassRate += classRate
		classKnown = classKnown && classRate > 0
	}
	if !classKnown {
		q.ClassRate = 0
	}
	for _, x := range ahead {
		if slices.ContainsFunc(x.members, func(id string) bool { return slices.Contains(ids, id) }) {
			q.Ahead++
			if x.class() == w.class() {
				q.ClassAhead++
			}
		}
	}
	return q
}

// classDrain returns the drain rate of a class.
func (m *memberPool) classDrain(class int) *forecaster.DrainRate {
	d, ok := m.classDrains[class]
	if !ok {
		if m.classDrains == nil {
			m.classDrains = map[int]*forecaster.DrainRate{}
		}
		d = &forecaster.DrainRate{}
		m.classDrains[class] = d
	}
	return d
}

// reconsider decides again on a waiting request: a path that has failed since, or a primary that
// stays unknown, ends its wait.
func (p *Pool) reconsider(w *waiter) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if w.LatestStart.IsZero() || w.StatusQuery || w.remotePending || !slices.Contains(p.waiting, w) {
		return nil
	}
	now := time.Now()
	ids := p.choose(&w.Request)
	p.setMembers(w, ids)
	if !w.overdue && now.After(w.LatestStart) {
		i := slices.Index(p.waiting, w)
		p.waiting = slices.Delete(p.waiting, i, i+1)
		w.overdue = true
		p.markLate(w)
		p.waiting = slices.Insert(p.waiting, p.position(w), w)
	}
	if w.probe && slices.ContainsFunc(ids, func(id string) bool { return p.member(id).opening > 0 }) {
		return nil
	}
	d := p.forecastPaths(w, ids, now)
	w.probe = d.Verdict == forecaster.Probe
	if d.Verdict != forecaster.Refuse {
		return nil
	}
	return p.refusal(w, len(ids) == 0, d)
}

// refusal returns the error of a refused request.
func (p *Pool) refusal(w *waiter, noMember bool, d forecaster.Decision) error {
	err := ErrNoConnection
	if noMember {
		err = ErrNoMember
	}
	if w.LatestStart.IsZero() {
		return err
	}
	return &WaitError{Err: err, Decision: d}
}

// timeoutError returns the error of a request that waited until its deadline.
func (p *Pool) timeoutError(w *waiter, noMember bool) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	i := max(0, slices.Index(p.waiting, w))
	retryAfter, ok := p.retryAfter(w, p.choose(&w.Request), p.waiting[:i])
	if !ok {
		// No connection became free during the whole wait and nothing has failed yet.
		retryAfter = forecaster.OutageRetry(time.Now(), w.arrived)
	}
	return p.refusal(w, noMember, forecaster.Decision{Cause: forecaster.CauseTimeout, RetryAfter: retryAfter})
}

// RetryAfter returns when a new request is expected to be served, and false if that is unknown.
func (p *Pool) RetryAfter(r Request) (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	w := &waiter{Request: r, arrived: time.Now()}
	if p.customers != nil {
		w.customerPriority, w.virtualStart = p.nextStart(&r)
	}
	return p.retryAfter(w, p.choose(&r), p.waiting[:p.position(w)])
}

// DecideNoMember returns an error if a request that has no eligible member is refused at once.
func (p *Pool) DecideNoMember(r Request) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	w := &waiter{Request: r}
	if r.LatestStart.IsZero() || r.StatusQuery {
		return nil
	}
	if d := p.forecastPaths(w, nil, time.Now()); d.Verdict == forecaster.Refuse {
		return p.refusal(w, true, d)
	}
	return nil
}

// retryAfter returns when a request behind the requests ahead of it is expected to be served.
func (p *Pool) retryAfter(w *waiter, ids []string, ahead []*waiter) (time.Duration, bool) {
	now := time.Now()
	p.observePrimary(now)
	switch {
	case len(ids) == 0 && !p.primaryUnknownSince.IsZero():
		return forecaster.OutageRetry(now, p.primaryUnknownSince), true
	case len(ids) == 0:
		return 0, false
	}
	if p.allDown(ids, now) {
		d := p.forecastPaths(w, ids, now)
		if d.Verdict == forecaster.Refuse {
			return d.RetryAfter, true
		}
		return forecaster.OutageRetry(now, p.members[ids[0]].outage.Since()), true
	}
	paced := p.member(ids[0]).throttler.Delay(now)
	for _, id := range ids[1:] {
		paced = min(paced, p.member(id).throttler.Delay(now))
	}
	wait, known := p.queue(w, ids, ahead, now).Wait()
	if !known {
		wait = p.loansWait(len(ahead))
	}
	return max(wait, paced), max(wait, paced) > 0
}
