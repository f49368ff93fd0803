package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/oriolegw/oriolegw/internal/scheduler"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	// maxWait bounds the wait for a connection, whatever the caller's deadline:
	// a caller on the road has given up by then and asked again, and the first
	// request would only take the place of the second.
	maxWait = 2 * time.Second
	// maxQueue bounds the requests that one customer has waiting. At 20
	// connections and 5 ms a request, 128 are 32 ms of the group's work.
	maxQueue = 128
	// transactionPart is the part of the connections that transactions may hold
	// while short work uses the group. At a half, the rest still turns over in
	// milliseconds; above it, two idle callers inside BEGIN stop a small share.
	transactionPart = 2
	// firstGuess is the cost of a request of a class of which none has ended.
	firstGuess = 5 * time.Millisecond
	// guessWeight is the part of the newest sample in the guessed cost.
	guessWeight = 0.1

	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

type (
	// Queue decides for one group on one instance.
	//
	// Among customers it is start-time fair queuing: each has a virtual time
	// that rises by the connection time it used over its share, and the customer
	// with the least goes first. It answers one customer with 20 times the load
	// of the others: in a plain queue they wait behind all of its backlog; here
	// behind what is running. A free connection is never kept back from
	// whoever can use it, so an idle customer's part is used by the others.
	//
	// Within a customer the classes are chosen by the same rule, so reads don't
	// wait behind a backlog of transactions; and transactions together hold at
	// most a part of the connections while there is other work.
	Queue struct {
		// Capacity is how many connections can be lent at once.
		Capacity int
		// Random spreads the times at which refused callers come back. Without
		// it they come back together, as the same burst.
		Random *rand.Rand

		shares    map[string]int
		customers map[string]*customer
		// order holds the customers as they came, so that equal input gives
		// equal decisions.
		order   []*customer
		targets map[string]*target
		running map[uint64]running
		turns   scheduler.VirtualClock
		waiting int
		holding [classes]int
		guess   [classes]time.Duration
	}

	customer struct {
		scheduler.Flow
		name  string
		share float64
		// turn is the lanes' virtual time: a class that was idle starts there,
		// and has no claim on the time that it did not use.
		turn   float64
		lanes  [classes]lane
		queued int
		used   int
	}

	lane struct {
		finish float64
		queue  []waiting
	}

	target struct {
		limit  Limit
		inside int
	}

	waiting struct {
		Request
		arrived time.Time
	}

	running struct {
		request Request
		cost    time.Duration
	}
)

// Arrive takes in a request and returns what is decided by it.
func (q *Queue) Arrive(now time.Time, r Request) []Decision {
	q.open()
	c := q.customer(r.Customer)
	if limit := now.Add(maxWait); r.Deadline.After(limit) {
		r.Deadline = limit
	}
	wait := q.estimate(c, r.Class)
	switch {
	case c.queued >= maxQueue:
		return refuse(r.ID, q.comeBack(refuser.New(refuser.QueueFull, "%d requests of the customer are waiting", c.queued), wait))
	case now.Add(wait).After(r.Deadline):
		// It would be refused in the end: now, the caller can still use the time.
		return refuse(r.ID, q.comeBack(refuser.New(refuser.Overload, "the wait would be about %v", wait.Round(time.Millisecond)), wait))
	}
	l := &c.lanes[r.Class]
	l.queue = append(l.queue, waiting{Request: r, arrived: now})
	c.queued++
	q.waiting++
	return q.dispatch()
}

// Done takes in the end of an admitted request.
func (q *Queue) Done(now time.Time, id uint64, o Outcome) []Decision {
	q.open()
	u, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	r := u.request
	c, t := q.customer(r.Customer), q.target(r.Target)
	c.used--
	t.inside--
	q.holding[r.Class]--
	c.account(r.Class, o.Held-u.cost)
	t.limit.Ceiling = max(1, q.Capacity)
	t.limit.Sample(now, r.Class, o)
	if q.guess[r.Class] == 0 {
		q.guess[r.Class] = o.Held
	} else {
		q.guess[r.Class] += scale(o.Held-q.guess[r.Class], guessWeight)
	}
	return q.dispatch()
}

// Expire refuses the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Decision {
	q.open()
	var out []Decision
	for _, c := range q.order {
		for k := range c.lanes {
			l := &c.lanes[k]
			kept := l.queue[:0]
			for _, w := range l.queue {
				if now.Before(w.Deadline) {
					kept = append(kept, w)
					continue
				}
				out = append(out, Decision{ID: w.ID, Refusal: q.late(c, w, now)})
			}
			c.queued -= len(l.queue) - len(kept)
			q.waiting -= len(l.queue) - len(kept)
			l.queue = kept
		}
	}
	return out
}

func (q *Queue) late(c *customer, w waiting, now time.Time) *refuser.Refusal {
	waited := now.Sub(w.arrived).Round(time.Millisecond)
	if q.Capacity == 0 {
		return refuser.New(refuser.NoShare, "waited %v for a share of the connections", waited)
	}
	return q.comeBack(refuser.New(refuser.QueueTimeout, "waited %v", waited), q.estimate(c, w.Class))
}

// Withdraw takes out a request whose caller has gone. It is false for one that
// is not waiting any more.
func (q *Queue) Withdraw(id uint64) bool {
	for _, c := range q.order {
		for k := range c.lanes {
			for i, w := range c.lanes[k].queue {
				if w.ID == id {
					q.remove(c, k, i)
					return true
				}
			}
		}
	}
	return false
}

// Resize changes how many connections can be lent.
func (q *Queue) Resize(capacity int) []Decision {
	q.open()
	q.Capacity = capacity
	return q.dispatch()
}

// SetShares sets the weights of customers; one that is not listed has 1.
func (q *Queue) SetShares(shares map[string]int) {
	q.shares = shares
	for _, c := range q.order {
		c.share = float64(max(1, shares[c.name]))
	}
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Limit returns how many requests may be at a target at once.
func (q *Queue) Limit(address string) int {
	q.open()
	return q.target(address).limit.Now()
}

func (q *Queue) open() {
	if q.customers == nil {
		q.customers, q.targets, q.running = map[string]*customer{}, map[string]*target{}, map[uint64]running{}
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

// dispatch admits what can run now.
func (q *Queue) dispatch() []Decision {
	var out []Decision
	for len(q.running) < q.Capacity {
		c, k, i := q.next()
		if c == nil {
			return out
		}
		r := q.remove(c, k, i).Request
		cost := q.cost(r.Class)
		q.turns.StartNext(&c.Flow)
		l := &c.lanes[r.Class]
		l.finish = max(l.finish, c.turn)
		c.turn = l.finish
		c.account(r.Class, cost)
		c.used++
		q.holding[r.Class]++
		q.target(r.Target).inside++
		q.running[r.ID] = running{request: r, cost: cost}
		out = append(out, Decision{ID: r.ID})
	}
	return out
}

// next finds the request to run: of the customer with the least virtual time,
// of its class with the least, the first whose target has room.
func (q *Queue) next() (best *customer, k, i int) {
	for _, c := range q.order {
		if c.queued == 0 || (best != nil && !c.before(best)) {
			continue
		}
		if ck, ci, ok := q.first(c); ok {
			best, k, i = c, ck, ci
		}
	}
	return best, k, i
}

func (c *customer) before(d *customer) bool {
	if c.Finish() != d.Finish() {
		return c.Finish() < d.Finish()
	}
	return c.name < d.name
}

func (q *Queue) first(c *customer) (class, index int, ok bool) {
	for k := range c.lanes {
		if len(c.lanes[k].queue) == 0 || (ok && c.lanes[k].finish >= c.lanes[class].finish) {
			continue
		}
		if Class(k) == ClassTransaction && !q.transactionFits() {
			continue
		}
		for i, w := range c.lanes[k].queue {
			t := q.target(w.Target)
			t.limit.Ceiling = max(1, q.Capacity)
			if t.inside < t.limit.Now() {
				class, index, ok = k, i, true
				break
			}
			t.limit.Reach()
		}
	}
	return class, index, ok
}

// transactionFits keeps part of the connections for short work. A single
// connection is lent to either.
func (q *Queue) transactionFits() bool {
	return q.holding[ClassTransaction] < max(1, q.Capacity/transactionPart)
}

func (q *Queue) remove(c *customer, k, i int) waiting {
	l := &c.lanes[k]
	w := l.queue[i]
	l.queue = append(l.queue[:i], l.queue[i+1:]...)
	c.queued--
	q.waiting--
	return w
}

// account adds connection time to a customer's virtual time. The guess made at
// admission is settled when the true time is known.
func (c *customer) account(k Class, d time.Duration) {
	c.Charge(float64(d), c.share)
	c.lanes[k].finish += float64(d)
}

func (q *Queue) cost(k Class) time.Duration {
	if q.guess[k] == 0 {
		return firstGuess
	}
	return q.guess[k]
}

// estimate guesses how long a new request of the customer would wait: the work
// of its own class that is before it, over the customer's part of the
// connections. Other customers' backlogs don't count, since they don't delay it.
func (q *Queue) estimate(c *customer, k Class) time.Duration {
	var shares float64
	for _, d := range q.order {
		if d.queued > 0 || d.used > 0 || d == c {
			shares += d.share
		}
	}
	part := max(float64(q.Capacity)*c.share/shares, 0.1)
	var ahead time.Duration
	for i := range c.lanes {
		n := len(c.lanes[i].queue)
		if Class(i) != k {
			n = min(n, len(c.lanes[k].queue)) // the classes take turns
		}
		ahead += time.Duration(n) * q.cost(Class(i))
	}
	return scale(ahead, 1/part)
}

// comeBack says when a refused caller should return: when the backlog before it
// is gone, with up to half of that added at random.
func (q *Queue) comeBack(f *refuser.Refusal, wait time.Duration) *refuser.Refusal {
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
