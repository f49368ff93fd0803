package lender

import "time"

// OverloadError rejects a request because the queue for the connections is longer than it may wait. It
// is an ErrNoConnection.
type OverloadError struct {
	// RetryAfter is when the request could be served.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string { return "queue is longer than the request may wait" }

// Unwrap returns ErrNoConnection.
func (e *OverloadError) Unwrap() error { return ErrNoConnection }

// maxDrainPriorities bounds the priorities for which Drain computes waits.
const maxDrainPriorities = 16

// Drain returns the expected wait of a new request for a connection to a member by priority, and the
// number of requests that wait for one. The last wait holds for all further priorities. The waits are
// nil if the time of a loan is unknown.
//
// With customers, it is the wait of one that has no waiting request: fair queuing serves it before
// the further requests of the others, and it must not be refused for their queue.
func (p *Pool) Drain(member string) (waits []time.Duration, queued int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	type turn struct {
		priority int
		customer string
	}
	var ahead [maxDrainPriorities]int
	lowest, seen := 0, map[turn]bool{}
	for _, w := range p.waiting {
		if ids := p.choose(&w.Request); len(ids) == 0 || ids[0] != member {
			continue
		}
		queued++
		x := turn{min(max(0, w.Priority), maxDrainPriorities-1), w.Customer}
		if p.customers == nil || !seen[x] {
			ahead[x.priority]++
		}
		seen[x], lowest = true, max(lowest, x.priority)
	}
	if queued > 0 && p.averageLoan == 0 {
		return nil, queued
	}
	lent := 1
	if m := p.members[member]; m != nil {
		lent = max(1, m.open-len(m.idle))
	}
	total := 0
	for _, n := range ahead[:lowest+1] {
		total += n
		waits = append(waits, p.averageLoan*time.Duration(total)/time.Duration(lent))
	}
	return waits, queued
}

// HeldStatements returns the number of connections to a member that are lent for single statements, and
// whether this instance holds the connections of all instances to it.
func (p *Pool) HeldStatements(member string) (statements int, all bool) {
	if p.HolderCount == nil || p.HolderCount(p.Group.Name, member) != 1 || p.heldElsewhere(member) {
		return 0, false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if m := p.members[member]; m != nil {
		statements = m.shortLoans
	}
	return statements, true
}

// RoundTrips returns how many round trips to a member's region a statement takes: with one holder near
// the member, the loan takes another one.
func (p *Pool) RoundTrips(member string) int {
	if p.HolderCount != nil && p.HolderCount(p.Group.Name, member) == 1 && p.heldElsewhere(member) {
		return 2
	}
	return 1
}
