package groupsimulator

import "time"

// slotPool limits the statements that a member runs and queues.
type slotPool struct {
	running chan struct{}
	// admitted holds one token per running or queued statement.
	admitted chan struct{}
}

func newSlotPool(slots, queue int) *slotPool {
	if slots == 0 {
		return nil
	}
	return &slotPool{running: make(chan struct{}, slots), admitted: make(chan struct{}, slots+queue)}
}

// occupy waits for a slot and occupies it for d. It returns false if the queue is full. A
// nil pool has no limit.
func (r *slotPool) occupy(d time.Duration) bool {
	if r == nil {
		time.Sleep(d)
		return true
	}
	select {
	case r.admitted <- struct{}{}:
	default:
		return false
	}
	r.running <- struct{}{}
	time.Sleep(d)
	<-r.running
	<-r.admitted
	return true
}

// pending returns the number of running and queued statements.
func (r *slotPool) pending() int {
	if r == nil {
		return 0
	}
	return len(r.admitted)
}

// PendingStatements returns the number of a member's running and queued statements.
func (g *Group) PendingStatements(id string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members[id].slots.pending()
}

// AcceptedConnections returns the number of connections a member has accepted since the start.
func (g *Group) AcceptedConnections(id string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members[id].acceptedConns
}

// SetApplyLag sets a member's own delay before it applies its log.
func (g *Group) SetApplyLag(id string, lag time.Duration) {
	g.updateMember(id, func(m *Member) { m.applyLag = lag })
}
