package lender

import "time"

// This file holds work back from members that have no room for it.

// NoRoom takes in that a member refused a statement for want of room: new work waits,
// or goes to other members.
func (p *Pool) NoRoom(member string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	m := p.place(member)
	m.silent = 0
	if m.pace.Free() && p.NoteRoom != nil {
		p.NoteRoom(member, false)
	}
	m.pace.Refused(now)
	p.resumeLater(m, now)
}

// resumeLater has those who wait for a member's room served when it may have some.
func (p *Pool) resumeLater(m *place, now time.Time) {
	if wait := m.pace.Wait(now); wait > 0 && len(p.waiting) > 0 && m.resume == nil {
		m.resume = time.AfterFunc(wait, func() { p.roomAgain(m) })
	}
}

// roomAgain serves those who have waited until a member may have room.
func (p *Pool) roomAgain(m *place) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m.resume = nil
	if p.closed {
		return
	}
	p.serve()
	p.resumeLater(m, time.Now())
}

// Room takes in that a member ran a statement.
func (p *Pool) Room(member string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.place(member)
	m.silent = 0
	paced := !m.pace.Free()
	m.pace.Served()
	if paced && m.pace.Free() && p.NoteRoom != nil {
		p.NoteRoom(member, true)
	}
}
