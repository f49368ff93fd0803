package lender

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/scheduler"
)

// Requests with a latency objective are charged the measured time that they occupy a member's slots:
// by customer in the fair queue of their class, and by class in the shares of the member.

const (
	// defaultCost is the estimated slot time of a statement before one was measured, and the charge
	// of requests without an objective.
	defaultCost = 10 * time.Millisecond
	// unmeasuredClass is the class of all requests without an objective in the fair queue.
	unmeasuredClass = -1
)

type (
	// charge is what a request was charged when it was queued or lent a connection.
	charge struct {
		flow     *flow
		class    int
		estimate time.Duration
	}

	// flow is a customer's position in the fair queue of a class, with its average slot time.
	flow struct {
		scheduler.Flow
		cost scheduler.Cost
	}

	flowKey struct {
		class    int
		customer string
	}

	// fairQueue is the fair queue of a class.
	fairQueue struct {
		scheduler.VirtualClock
		cost scheduler.Cost
	}

	// slotMeter measures the slot time at a member, over all connections to it.
	slotMeter struct {
		mutex sync.Mutex
		scheduler.SlotMeter
	}
)

func (m *slotMeter) setSlots(n int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Slots = n
}

// class returns the class of a request in the fair queue.
func (r *Request) class() int {
	if r.LatestStart.IsZero() || r.StatusQuery {
		return unmeasuredClass
	}
	return r.Priority
}

// fairQueue returns the fair queue of a class.
func (p *Pool) fairQueue(class int) *fairQueue {
	q, ok := p.fairQueues[class]
	if !ok {
		if p.fairQueues == nil {
			p.fairQueues = map[int]*fairQueue{}
		}
		q = &fairQueue{}
		p.fairQueues[class] = q
	}
	return q
}

// flow returns a customer's flow in the fair queue of a class.
func (p *Pool) flow(class int, customer string) *flow {
	key := flowKey{class, customer}
	f, ok := p.flows[key]
	if !ok {
		if p.flows == nil {
			p.flows = map[flowKey]*flow{}
		}
		f = &flow{}
		p.flows[key] = f
	}
	return f
}

// newCharge returns the estimated charge of a request.
func (p *Pool) newCharge(r *Request) charge {
	x := charge{class: r.class(), estimate: defaultCost}
	if p.customers != nil {
		x.flow = p.flow(x.class, r.Customer)
	}
	if x.class == unmeasuredClass {
		return x
	}
	x.estimate = p.fairQueue(x.class).cost.Estimate(defaultCost)
	if x.flow != nil {
		x.estimate = x.flow.cost.Estimate(x.estimate)
	}
	return x
}

// chargeDirect charges a request that was lent an idle connection without waiting.
func (p *Pool) chargeDirect(c *Conn, r *Request) {
	if r.class() == unmeasuredClass {
		c.charge = charge{class: unmeasuredClass}
		return
	}
	x := p.newCharge(r)
	if x.flow != nil {
		q := p.fairQueue(x.class)
		q.AdvanceTo(q.Enqueue(&x.flow.Flow, x.estimate.Seconds(), 1))
	}
	p.chargeLoan(c, x)
}

// chargeLoan charges a lent connection's class; its flow was charged before.
func (p *Pool) chargeLoan(c *Conn, x charge) {
	c.charge = x
	if x.class != unmeasuredClass {
		m := p.member(c.Member)
		m.shares.Charge(x.class, x.estimate, m.waitingClasses())
		m.classDrain(x.class).RecordStart(time.Now())
	}
}

// settle replaces the estimated charge of a returned connection by its measured slot time.
func (p *Pool) settle(c *Conn) {
	c.EndWork()
	x, worked := c.charge, c.worked
	c.charge, c.worked = charge{class: unmeasuredClass}, 0
	if x.class == unmeasuredClass {
		return
	}
	if worked > 0 {
		p.fairQueue(x.class).cost.Add(worked)
		if x.flow != nil {
			x.flow.cost.Add(worked)
		}
	}
	p.correct(x, worked)
	m := p.member(c.Member)
	m.shares.Charge(x.class, worked-x.estimate, m.waitingClasses())
}

// correct replaces the estimated charge of a flow by the slot time.
func (p *Pool) correct(x charge, worked time.Duration) {
	if x.flow != nil && x.class != unmeasuredClass {
		x.flow.Charge((worked - x.estimate).Seconds(), 1)
	}
}

// waitingClasses returns the classes with an objective that wait for a connection to the member.
func (m *memberPool) waitingClasses() []int { return slices.Collect(maps.Keys(m.queuedByClass)) }

// servePreferred lends to classes that are below their share of a member's slot time.
func (p *Pool) servePreferred() {
	if !p.severalClasses() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.members)) {
		m := p.members[id]
		for len(m.queuedByClass) > 1 {
			class, ok := m.shares.Preferred(m.waitingClasses())
			if !ok || !p.lendPreferred(m, class) {
				break
			}
		}
	}
}

// lendPreferred lends an idle connection to a member to a waiting request of a class, or opens one.
func (p *Pool) lendPreferred(m *memberPool, class int) bool {
	opened := false
	for i := 0; i < len(p.waiting); i++ {
		w := p.waiting[i]
		if w.class() != class || !slices.Contains(w.members, m.id) {
			continue
		}
		if ids := p.choose(&w.Request); !slices.Contains(ids, m.id) {
			p.setMembers(w, ids)
			continue
		}
		if c := p.takeIdle([]string{m.id}, &w.Request); c != nil {
			p.lendTo(i, c)
			return true
		}
		if !opened && !p.mayReturnSoon([]string{m.id}, w.Customer) {
			opened = true
			p.openFor([]string{m.id}, &w.Request)
		}
	}
	return false
}

// lendTo hands a connection that was taken for the waiting request at a position to it.
func (p *Pool) lendTo(i int, c *Conn) {
	w := p.waiting[i]
	p.chargeLoan(c, w.charge)
	p.removeAt(i)
	p.fairQueue(w.charge.class).AdvanceTo(w.virtualStart)
	w.local <- c
}

// BeginWork records that a command was sent on the connection, EndWork that all commands were
// answered. In between, the connection's user occupies a slot of the member or waits for one.
func (c *Conn) BeginWork() {
	if c.meter == nil || !c.forStatement && !c.forTransaction {
		return
	}
	c.meter.mutex.Lock()
	defer c.meter.mutex.Unlock()
	if c.work == nil {
		c.work = c.meter.Send(time.Now())
	}
}

// EndWork is described at BeginWork.
func (c *Conn) EndWork() {
	if c.meter == nil {
		return
	}
	c.meter.mutex.Lock()
	defer c.meter.mutex.Unlock()
	if c.work != nil {
		c.worked += c.meter.End(time.Now(), c.work)
		c.work = nil
	}
}
