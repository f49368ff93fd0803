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
	// Gate is one group's admission control in front of its pool. Set the exported fields,
	// then call Configure before Borrow and Return.
	Gate struct {
		Pool *pooler.Pool
		// Random adds jitter to the retry hints of refused callers.
		Random *rand.Rand

		mutex     sync.Mutex
		queue     Queue
		users     map[string]string
		nextID    uint64
		waiters   map[uint64]chan *refuser.Refusal
		checkouts map[*pooler.Conn]checkout
	}

	// ConnectionRequest describes the connection that a request needs.
	ConnectionRequest struct {
		Endpoint pooler.Endpoint
		// User is the caller's user, which determines the customer.
		User  string
		Class Class
	}

	checkout struct {
		id    uint64
		since time.Time
	}
)

// Configure applies a service's customers and their shares. Running requests are unaffected.
func (g *Gate) Configure(s *configurer.Service) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.waiters == nil {
		g.waiters, g.checkouts = map[uint64]chan *refuser.Refusal{}, map[*pooler.Conn]checkout{}
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
	g.notify(g.queue.Resize(g.Pool.Capacity()))
}

// UpdateCapacity applies a change of the number of connections that the pool can check out.
func (g *Gate) UpdateCapacity() {
	n := g.Pool.Capacity()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.queue.Resize(n))
}

// Waiting returns the number of requests that wait for a connection.
func (g *Gate) Waiting() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Waiting()
}

// Borrow waits until the request is admitted and checks out a connection. The error is a
// *refuser.Refusal if the request was refused, or an error of the pool.
func (g *Gate) Borrow(ctx context.Context, r ConnectionRequest) (*pooler.Conn, error) {
	id, err := g.awaitAdmission(ctx, r)
	if err != nil {
		return nil, err
	}
	c, err := g.Pool.Borrow(ctx, r.Endpoint)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err != nil {
		g.notify(g.queue.Finish(time.Now(), id, Outcome{Failed: true}))
		return nil, err
	}
	if r.Class == ClassTransaction {
		g.Pool.MarkInTransaction(c)
	}
	g.checkouts[c] = checkout{id: id, since: time.Now()}
	return c, nil
}

// Return returns a connection to the pool.
func (g *Gate) Return(c *pooler.Conn) {
	g.mutex.Lock()
	l := g.checkouts[c]
	delete(g.checkouts, c)
	g.mutex.Unlock()
	failed := c.Broken
	g.Pool.Return(c)
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.queue.Finish(now, l.id, Outcome{Held: now.Sub(l.since), Failed: failed}))
}

// DropIdle closes the idle connections.
func (g *Gate) DropIdle() { g.Pool.DropIdle() }

// awaitAdmission waits until the request is admitted or refused.
func (g *Gate) awaitAdmission(ctx context.Context, r ConnectionRequest) (uint64, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxWait)
	}
	g.mutex.Lock()
	g.nextID++
	id, decision := g.nextID, make(chan *refuser.Refusal, 1)
	g.waiters[id] = decision
	g.notify(g.queue.Enqueue(time.Now(), Request{
		ID: id, Customer: g.users[r.User], Class: r.Class, Target: r.Endpoint.Address, Deadline: deadline,
	}))
	g.mutex.Unlock()
	timer := time.NewTimer(min(time.Until(deadline), maxWait))
	defer timer.Stop()
	select {
	case f := <-decision:
		return id, asError(f)
	case <-timer.C:
	case <-ctx.Done():
	}
	return id, g.cancelWait(id, decision)
}

// cancelWait ends the wait of a request whose time is up, unless it was decided meanwhile.
func (g *Gate) cancelWait(id uint64, decision chan *refuser.Refusal) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.queue.Expire(time.Now()))
	select {
	case f := <-decision:
		return asError(f)
	default:
	}
	g.queue.Cancel(id)
	delete(g.waiters, id)
	return refuser.New(refuser.QueueTimeout, "the caller's deadline has passed")
}

func asError(f *refuser.Refusal) error {
	if f == nil {
		return nil
	}
	return f
}

// notify passes decisions to the waiting requests. The mutex must be held.
func (g *Gate) notify(decisions []Decision) {
	for _, d := range decisions {
		if w := g.waiters[d.ID]; w != nil {
			w <- d.Refusal
			delete(g.waiters, d.ID)
		}
	}
}
