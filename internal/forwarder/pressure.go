package forwarder

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/balancer"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// maxPressures bounds the remembered queues of holders.
	maxPressures = 1024
	// pressureLogInterval is the minimum time between two log lines of one kind about queues.
	pressureLogInterval = time.Second

	// The names of the counters passed to Forwarder.Count.
	CountLoanRefused      = "loans-refused-unasked"
	CountLoanElsewhere    = "loans-asked-elsewhere"
	CountPressureRejected = "holder-queues-rejected"
)

type (
	// pressureKey identifies the queue for a holder's connections to a member.
	pressureKey struct{ address, group, member string }

	// holderPressure is the last reported queue, with the number of unanswered requests.
	holderPressure struct {
		balancer.Pressure
		inFlight int
	}
)

// beginRequest counts a request to a holder as unanswered. If the holder's queues for all members are
// longer than the time left, it returns a lender.OverloadError instead. Status queries don't queue.
func (fw *Forwarder) beginRequest(address, group string, members []string, r lender.Request, left time.Duration) error {
	now := fw.Clock()
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	first := fw.pressure(now, pressureKey{address, group, members[0]})
	asks := r.StatusQuery
	for _, m := range members {
		asks = asks || fw.pressure(now, pressureKey{address, group, m}).Asks(now, r.Priority, left, first.inFlight)
	}
	if asks {
		first.inFlight++
		return nil
	}
	wait, _ := first.Wait(now, r.Priority)
	if now-fw.pressureLoggedAt >= pressureLogInterval {
		fw.pressureLoggedAt = now
		fw.Log("event", "holder-not-asked", "group", group, "member", members[0], "holder", address, "priority", r.Priority, "wait-ms", wait.Milliseconds(),
			"queued", first.Queued, "age-ms", (now - first.At).Milliseconds(), "left-ms", left.Milliseconds(), "in-flight", first.inFlight)
	}
	return &lender.OverloadError{RetryAfter: wait}
}

// endRequest records that a request was answered or given up.
func (fw *Forwarder) endRequest(address, group string, members []string) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if p, ok := fw.pressures[pressureKey{address, group, members[0]}]; ok {
		p.inFlight--
	}
}

// pressure returns the state of a queue. The mutex is held.
func (fw *Forwarder) pressure(now tracker.Timestamp, key pressureKey) *holderPressure {
	if fw.pressures == nil {
		fw.pressures = map[pressureKey]*holderPressure{}
	}
	p, ok := fw.pressures[key]
	if !ok {
		fw.prunePressures(now)
		p = &holderPressure{}
		fw.pressures[key] = p
	}
	return p
}

// prunePressures drops queues that decide nothing if there are many. The mutex is held.
func (fw *Forwarder) prunePressures(now tracker.Timestamp) {
	if len(fw.pressures) < maxPressures {
		return
	}
	for k, p := range fw.pressures {
		if p.inFlight == 0 && now-p.At > balancer.MaxPressureAge {
			delete(fw.pressures, k)
		}
	}
}

// recordPressure records the queue for the first of the requested members in a holder's reply.
func (fw *Forwarder) recordPressure(address, group, member string, priority int, r *wire.LendReply) {
	now := fw.Clock()
	p := balancer.Pressure{Queued: int(r.Queued), At: now}
	for _, ms := range r.DrainMs {
		p.Waits = append(p.Waits, time.Duration(ms)*time.Millisecond)
	}
	err := p.Check()
	fw.mutex.Lock()
	if err == nil {
		fw.pressure(now, pressureKey{address, group, member}).Pressure = p
	}
	logged := err != nil && now-fw.pressureRejectedAt >= pressureLogInterval
	if logged {
		fw.pressureRejectedAt = now
	}
	fw.mutex.Unlock()
	if err != nil {
		fw.count(CountPressureRejected)
		if logged {
			fw.Log("event", "holder-queue-rejected", "group", group, "holder", address, "cause", err)
		}
		return
	}
	if wait, ok := p.Wait(now, priority); ok {
		fw.recordWait(group, member, wait)
	}
}

// recordWait tells the group's tracker how long requests for a member wait for a connection.
func (fw *Forwarder) recordWait(group, member string, wait time.Duration) {
	if pool := fw.Pool(group); pool != nil {
		pool.Group.RecordWait(fw.Clock(), member, wait)
	}
}

// encodePressure adds the queue for this instance's connections to the reply to a loan request.
func (fw *Forwarder) encodePressure(a *wire.LendAsk, reply *wire.LendReply) {
	p := fw.Pool(a.Group)
	if p == nil || len(a.Members) == 0 {
		return
	}
	waits, queued := p.Drain(a.Members[0])
	reply.Queued = uint32(queued)
	for _, w := range waits {
		reply.DrainMs = append(reply.DrainMs, uint32(min(w, balancer.MaxWait).Milliseconds()))
	}
	if wait, ok := (balancer.Pressure{Waits: waits}).Wait(0, int(a.Priority)); ok {
		fw.recordWait(a.Group, a.Members[0], wait)
	}
}

func (fw *Forwarder) count(name string) {
	if fw.Count != nil {
		fw.Count(name)
	}
}

func isOverload(err error) bool {
	var overload *lender.OverloadError
	return errors.As(err, &overload)
}
