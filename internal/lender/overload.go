package lender

import "time"

// NoteOverloaded records that a member refused a statement because of overload: new work is paced
// or goes to other members.
func (p *Pool) NoteOverloaded(member string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	m := p.member(member)
	m.timeouts = 0
	m.noteReachable()
	if m.throttler.Unlimited() && p.NotePacing != nil {
		p.NotePacing(member, false)
	}
	m.throttler.RecordRejection(now)
	p.scheduleResume(m, now)
}

// scheduleResume serves the waiting requests when the member's throttler allows new work.
func (p *Pool) scheduleResume(m *memberPool, now time.Time) {
	if wait := m.throttler.Delay(now); wait > 0 && len(p.waiting) > 0 && m.resumeTimer == nil {
		m.resumeTimer = time.AfterFunc(wait, func() { p.resume(m) })
	}
}

// resume serves the waiting requests after a pause.
func (p *Pool) resume(m *memberPool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m.resumeTimer = nil
	if p.closed {
		return
	}
	p.serveWaiting()
	p.scheduleResume(m, time.Now())
}

// NoteServed records that a member ran a statement.
func (p *Pool) NoteServed(member string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.member(member)
	m.timeouts = 0
	m.noteReachable()
	paced := !m.throttler.Unlimited()
	m.throttler.RecordSuccess()
	if paced && m.throttler.Unlimited() && p.NotePacing != nil {
		p.NotePacing(member, true)
	}
}
