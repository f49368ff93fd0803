package lender

import "time"

// NoRoom records that a member refused a statement because of overload: new work is paced or goes
// to other members.
func (p *Pool) NoRoom(member string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	m := p.member(member)
	m.timeouts = 0
	if m.pace.Free() && p.NoteRoom != nil {
		p.NoteRoom(member, false)
	}
	m.pace.Refused(now)
	p.scheduleResume(m, now)
}

// scheduleResume serves the waiting requests when the member's pacer allows new work.
func (p *Pool) scheduleResume(m *memberPool, now time.Time) {
	if wait := m.pace.Wait(now); wait > 0 && len(p.waiting) > 0 && m.resumeTimer == nil {
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

// Room records that a member ran a statement.
func (p *Pool) Room(member string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.member(member)
	m.timeouts = 0
	paced := !m.pace.Free()
	m.pace.Served()
	if paced && m.pace.Free() && p.NoteRoom != nil {
		p.NoteRoom(member, true)
	}
}
