package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/oriolegw/oriolegw/internal/scheduler"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	// maxWait bounds the wait for a connection, whatever the deadline: a caller that times
	// out and retries must not compete with its own earlier request.
	maxWait = 2 * time.Second
	// maxQueuedPerCustomer bounds the waiting requests of one customer. At 20 connections and 5 ms
	// per request, 128 requests are 32 ms of the group's work.
	maxQueuedPerCustomer = 128
	// transactionDivisor: transactions may hold 1/transactionDivisor of the connections, so
	// that idle ones can't block short requests. With half of them, the other connections are
	// returned within milliseconds; with more, two idle transactions would block an instance with a
	// small share.
	transactionDivisor = 2
	// initialCostEstimate is the estimated cost of a class before its first request ended.
	initialCostEstimate = 5 * time.Millisecond
	// costSampleWeight is the weight of the newest sample in the moving average of the cost.
	costSampleWeight = 0.1

	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

type (
	// Queue is the admission queue of one group on one instance. Among customers it is
	// start-time fair queuing by connection time over share, so that a customer's backlog
	// delays only its own requests, and it is work-conserving: unused shares are used by
	// others. Within a customer, the same rule applies to the classes.
	Queue struct {
		// Capacity is the number of connections that can be checked out at once.
		Capacity int
		// Random adds jitter to retry hints, so that refused callers don't return as one burst.
		Random *rand.Rand

		shares    map[string]int
		customers map[string]*customer
		// order holds the customers in order of arrival, for deterministic decisions.
		order          []*customer
		targets        map[string]*target
		running        map[uint64]runningRequest
		scheduler      scheduler.VirtualClock
		waitingCount   int
		runningByClass [classes]int
		costEstimates  [classes]time.Duration
	}

	// customer is the scheduling state of one customer.
	customer struct {
		scheduler.Flow
		name  string
		share float64
		// virtualTime is the virtual time of the class queues. A class that was idle starts
		// there, without credit for the time that it did not use.
		virtualTime  float64
		classQueues  [classes]classQueue
		queued       int
		runningCount int
	}

	// classQueue holds a customer's waiting requests of one class.
	classQueue struct {
		virtualFinish float64
		requests      []waitingRequest
	}

	target struct {
		limit    Limit
		inFlight int
	}

	waitingRequest struct {
		Request
		arrived time.Time
	}

	runningRequest struct {
		request Request
		cost    time.Duration
	}
)

// Enqueue adds a request and returns the decisions that follow.
func (q *Queue) Enqueue(now time.Time, r Request) []Decision {
	q.createMaps()
	c := q.customer(r.Customer)
	if limit := now.Add(maxWait); r.Deadline.After(limit) {
		r.Deadline = limit
	}
	wait := q.estimateWait(c, r.Class)
	switch {
	case c.queued >= maxQueuedPerCustomer:
		return refuse(r.ID, q.withRetryAfter(refuser.New(refuser.QueueFull, "%d requests of the customer are waiting", c.queued), wait))
	case now.Add(wait).After(r.Deadline):
		// It would miss its deadline anyway: refuse it while the caller has time left.
		return refuse(r.ID, q.withRetryAfter(refuser.New(refuser.Overload, "the estimated wait is %v", wait.Round(time.Millisecond)), wait))
	}
	l := &c.classQueues[r.Class]
	l.requests = append(l.requests, waitingRequest{Request: r, arrived: now})
	c.queued++
	q.waitingCount++
	return q.dispatch()
}

// Finish records the end of an admitted request and returns the decisions that follow.
func (q *Queue) Finish(now time.Time, id uint64, o Outcome) []Decision {
	q.createMaps()
	u, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	r := u.request
	c, t := q.customer(r.Customer), q.target(r.Target)
	c.runningCount--
	t.inFlight--
	q.runningByClass[r.Class]--
	c.charge(r.Class, o.Held-u.cost)
	t.limit.Ceiling = max(1, q.Capacity)
	t.limit.AddSample(now, r.Class, o)
	if q.costEstimates[r.Class] == 0 {
		q.costEstimates[r.Class] = o.Held
	} else {
		q.costEstimates[r.Class] += scale(o.Held-q.costEstimates[r.Class], costSampleWeight)
	}
	return q.dispatch()
}

// Expire refuses the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Decision {
	q.createMaps()
	var out []Decision
	for _, c := range q.order {
		for k := range c.classQueues {
			l := &c.classQueues[k]
			kept := l.requests[:0]
			for _, w := range l.requests {
				if now.Before(w.Deadline) {
					kept = append(kept, w)
					continue
				}
				out = append(out, Decision{ID: w.ID, Refusal: q.refusalAfterWait(c, w, now)})
			}
			c.queued -= len(l.requests) - len(kept)
			q.waitingCount -= len(l.requests) - len(kept)
			l.requests = kept
		}
	}
	return out
}

func (q *Queue) refusalAfterWait(c *customer, w waitingRequest, now time.Time) *refuser.Refusal {
	waited := now.Sub(w.arrived).Round(time.Millisecond)
	if q.Capacity == 0 {
		return refuser.New(refuser.NoShare, "waited %v for a share of the connections", waited)
	}
	return q.withRetryAfter(refuser.New(refuser.QueueTimeout, "waited %v", waited), q.estimateWait(c, w.Class))
}

// Cancel removes a waiting request. It is false if the request is not waiting any more.
func (q *Queue) Cancel(id uint64) bool {
	for _, c := range q.order {
		for k := range c.classQueues {
			for i, w := range c.classQueues[k].requests {
				if w.ID == id {
					q.remove(c, k, i)
					return true
				}
			}
		}
	}
	return false
}

// Resize sets the number of connections that can be checked out at once.
func (q *Queue) Resize(capacity int) []Decision {
	q.createMaps()
	q.Capacity = capacity
	return q.dispatch()
}

// SetShares sets the weights of customers; the default is 1.
func (q *Queue) SetShares(shares map[string]int) {
	q.shares = shares
	for _, c := range q.order {
		c.share = float64(max(1, shares[c.name]))
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waitingCount }

// Limit returns how many requests may be in flight at a target.
func (q *Queue) Limit(address string) int {
	q.createMaps()
	return q.target(address).limit.Current()
}

func (q *Queue) createMaps() {
	if q.customers == nil {
		q.customers, q.targets, q.running = map[string]*customer{}, map[string]*target{}, map[uint64]runningRequest{}
	}
}

func (q *Queue) customer(name string) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name, share: float64(max(1, q.shares[name]))}
		q.customers[name] = c
		q.order = append(q.order, c)
	}
	return c
}

func (q *Queue) target(address string) *target {
	t := q.targets[address]
	if t == nil {
		t = &target{limit: Limit{Ceiling: max(1, q.Capacity)}}
		q.targets[address] = t
	}
	return t
}

// dispatch admits the requests that can run now.
func (q *Queue) dispatch() []Decision {
	var out []Decision
	for len(q.running) < q.Capacity {
		c, k, i := q.nextRequest()
		if c == nil {
			return out
		}
		r := q.remove(c, k, i).Request
		cost := q.costEstimate(r.Class)
		q.scheduler.StartNext(&c.Flow)
		l := &c.classQueues[r.Class]
		l.virtualFinish = max(l.virtualFinish, c.virtualTime)
		c.virtualTime = l.virtualFinish
		c.charge(r.Class, cost)
		c.runningCount++
		q.runningByClass[r.Class]++
		q.target(r.Target).inFlight++
		q.running[r.ID] = runningRequest{request: r, cost: cost}
		out = append(out, Decision{ID: r.ID})
	}
	return out
}

// nextRequest returns the position of the request to run next: of the customer with the least
// virtual time, from its class with the least, the first whose target is below its limit.
func (q *Queue) nextRequest() (best *customer, k, i int) {
	for _, c := range q.order {
		if c.queued == 0 || (best != nil && !c.precedes(best)) {
			continue
		}
		if ck, ci, ok := q.firstAdmissible(c); ok {
			best, k, i = c, ck, ci
		}
	}
	return best, k, i
}

func (c *customer) precedes(d *customer) bool {
	if c.Finish() != d.Finish() {
		return c.Finish() < d.Finish()
	}
	return c.name < d.name
}

func (q *Queue) firstAdmissible(c *customer) (class, index int, ok bool) {
	for k := range c.classQueues {
		if len(c.classQueues[k].requests) == 0 || (ok && c.classQueues[k].virtualFinish >= c.classQueues[class].virtualFinish) {
			continue
		}
		if Class(k) == ClassTransaction && !q.admitsTransaction() {
			continue
		}
		for i, w := range c.classQueues[k].requests {
			t := q.target(w.Target)
			t.limit.Ceiling = max(1, q.Capacity)
			if t.inFlight < t.limit.Current() {
				class, index, ok = k, i, true
				break
			}
			t.limit.MarkSaturated()
		}
	}
	return class, index, ok
}

// admitsTransaction reports whether another transaction may run, keeping part of the
// connections for short requests. A single connection serves either kind.
func (q *Queue) admitsTransaction() bool {
	return q.runningByClass[ClassTransaction] < max(1, q.Capacity/transactionDivisor)
}

func (q *Queue) remove(c *customer, k, i int) waitingRequest {
	l := &c.classQueues[k]
	w := l.requests[i]
	l.requests = append(l.requests[:i], l.requests[i+1:]...)
	c.queued--
	q.waitingCount--
	return w
}

// charge adds connection time to a customer's virtual time. The estimate charged at admission
// is corrected when the request ends.
func (c *customer) charge(k Class, d time.Duration) {
	c.Charge(float64(d), c.share)
	c.classQueues[k].virtualFinish += float64(d)
}

func (q *Queue) costEstimate(k Class) time.Duration {
	if q.costEstimates[k] == 0 {
		return initialCostEstimate
	}
	return q.costEstimates[k]
}

// estimateWait estimates the wait of a new request of the customer: the work queued before it
// over the customer's share of the connections. Other customers' backlogs don't delay it.
func (q *Queue) estimateWait(c *customer, k Class) time.Duration {
	var shares float64
	for _, d := range q.order {
		if d.queued > 0 || d.runningCount > 0 || d == c {
			shares += d.share
		}
	}
	connections := max(float64(q.Capacity)*c.share/shares, 0.1)
	var ahead time.Duration
	for i := range c.classQueues {
		n := len(c.classQueues[i].requests)
		if Class(i) != k {
			n = min(n, len(c.classQueues[k].requests)) // the classes alternate
		}
		ahead += time.Duration(n) * q.costEstimate(Class(i))
	}
	return scale(ahead, 1/connections)
}

// withRetryAfter sets a refusal's retry hint: when the backlog is gone, plus up to half of
// that as jitter.
func (q *Queue) withRetryAfter(f *refuser.Refusal, wait time.Duration) *refuser.Refusal {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if q.Random != nil {
		wait += time.Duration(q.Random.Int64N(int64(wait)/2 + 1))
	}
	f.RetryAfter = wait
	return f
}

func refuse(id uint64, f *refuser.Refusal) []Decision {
	return []Decision{{ID: id, Refusal: f}}
}
