package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

type (
	// Gate is one group's admission: what it lets in gets a connection of the
	// pool. Set the exported fields, then call Configure, then Borrow and Return.
	Gate struct {
		Pool *pooler.Pool
		// Random spreads the times at which refused callers come back.
		Random *rand.Rand

		mutex   sync.Mutex
		queue   Queue
		users   map[string]string
		nextID  uint64
		waiters map[uint64]chan *refuser.Refusal
		lent    map[*pooler.Conn]lent
	}

	// Order is what the relayer asks for.
	Order struct {
		Place pooler.Endpoint
		// User is the caller's user, which belongs to a customer.
		User  string
		Class Class
	}

	lent struct {
		id    uint64
		since time.Time
	}
)

// Configure takes in the customers of the service in force. Requests that run
// keep the share that they were admitted with.
func (g *Gate) Configure(s *configurer.Service) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.waiters == nil {
		g.waiters, g.lent = map[uint64]chan *refuser.Refusal{}, map[*pooler.Conn]lent{}
	}
	g.users = map[string]string{}
	shares := map[string]int{}
	for _, c := range s.Customers {
		shares[c.Name] = c.Share
		for _, u := range c.Users {
			g.users[u] = c.Name
		}
	}
	g.queue.Random = g.Random
	g.queue.SetShares(shares)
	g.deliver(g.queue.Resize(g.Pool.Capacity()))
}

// Resized tells the gate that the pool can lend more or fewer connections.
func (g *Gate) Resized() {
	n := g.Pool.Capacity()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Resize(n))
}

// Waiting returns how many requests wait for a connection.
func (g *Gate) Waiting() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Waiting()
}

// Borrow waits for the request's turn and lends it a connection. The error is a
// *refuser.Refusal when the request was turned away, or one of the pool.
func (g *Gate) Borrow(ctx context.Context, o Order) (*pooler.Conn, error) {
	id, err := g.enter(ctx, o)
	if err != nil {
		return nil, err
	}
	c, err := g.Pool.Borrow(ctx, o.Place)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err != nil {
		g.deliver(g.queue.Done(time.Now(), id, Outcome{Failed: true}))
		return nil, err
	}
	if o.Class == ClassTransaction {
		g.Pool.MarkInTransaction(c)
	}
	g.lent[c] = lent{id: id, since: time.Now()}
	return c, nil
}

// Return gives a connection back.
func (g *Gate) Return(c *pooler.Conn) {
	g.mutex.Lock()
	l := g.lent[c]
	delete(g.lent, c)
	g.mutex.Unlock()
	failed := c.Broken
	g.Pool.Return(c)
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Done(now, l.id, Outcome{Held: now.Sub(l.since), Failed: failed}))
}

// DropIdle closes the connections that are not lent.
func (g *Gate) DropIdle() { g.Pool.DropIdle() }

// enter waits until the request is admitted.
func (g *Gate) enter(ctx context.Context, o Order) (uint64, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxWait)
	}
	g.mutex.Lock()
	g.nextID++
	id, verdict := g.nextID, make(chan *refuser.Refusal, 1)
	g.waiters[id] = verdict
	g.deliver(g.queue.Arrive(time.Now(), Request{
		ID: id, Customer: g.users[o.User], Class: o.Class, Target: o.Place.Address, Deadline: deadline,
	}))
	g.mutex.Unlock()
	timer := time.NewTimer(min(time.Until(deadline), maxWait))
	defer timer.Stop()
	select {
	case f := <-verdict:
		return id, asError(f)
	case <-timer.C:
	case <-ctx.Done():
	}
	return id, g.leave(id, verdict)
}

// leave ends the wait of a request whose time is up, unless its turn has come in
// the same moment.
func (g *Gate) leave(id uint64, verdict chan *refuser.Refusal) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Expire(time.Now()))
	select {
	case f := <-verdict:
		return asError(f)
	default:
	}
	g.queue.Withdraw(id)
	delete(g.waiters, id)
	return refuser.New(refuser.QueueTimeout, "the caller's time is up")
}

func asError(f *refuser.Refusal) error {
	if f == nil {
		return nil
	}
	return f
}

// deliver tells the waiting what was decided; the mutex is held.
func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		if w := g.waiters[d.ID]; w != nil {
			w <- d.Refusal
			delete(g.waiters, d.ID)
		}
	}
}
