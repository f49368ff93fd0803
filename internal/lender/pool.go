package lender

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/pacer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// connectTimeout bounds a new connection: 27 ms at the member and 24 ms of
	// network on a calm day, and a queue before it on a bad one. A member that is
	// dark doesn't answer at all.
	connectTimeout = 600 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after a refused or failed
	// connection; the pause doubles, and half of it is random, so that instances
	// which were refused together don't come back together.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
	// lastFullBackoff takes the place of lastBackoff after a refusal: the member lives,
	// and places become free all the time. At 1 s, 79 instances before 51 places refused
	// 1.2% of the statements at their busiest hours, at 0.3 s 0.6%.
	lastFullBackoff = 300 * time.Millisecond
	// connectingAtOnce is how many connections to one member are opened at a time:
	// each holds one of its 3 to 6 slots.
	connectingAtOnce = 2
	// spareFor is how long a connection beyond the kept ones may idle. What is held
	// idle here is missing elsewhere: when all instances lose power, the members keep
	// the old connections for 3 s, and the new ones find only what was free.
	spareFor = 150 * time.Millisecond
	// tendInterval is how often idle connections are looked through.
	tendInterval = 50 * time.Millisecond
	// keptFor is how long the kept connection may idle before the member is asked how
	// full it is. Whoever came first would hold a place for good that others need, and
	// would not learn that they are refused. Each of 9 instances uses a primary some 10
	// times a second, each of 79 about once.
	keptFor = 600 * time.Millisecond
	// askAgain is how long a connection that was left open may idle until the member is
	// asked again. A question takes a slot for 0.5 ms, a new connection for 12 to 27.
	askAgain = 5 * time.Second
	// askTimeout bounds the question.
	askTimeout = 300 * time.Millisecond
	// roomyPart is the part of a member's connections up to which idle ones are kept.
	// The rest is for those that come back together after all have lost power.
	roomyPart = 0.6
	// scarceFor is how long a member counts as scarce after it had no place. Where there
	// are more instances than places, none keeps an idle connection: 79 instances that
	// kept one of 51 places each refused 6% on a calm day.
	scarceFor = 5 * time.Second
	// growAfter is how long a request waits for a lent connection before another is
	// opened: a loan is 20 to 40 ms, a new connection 12 to 50.
	growAfter = 25 * time.Millisecond
	// largestPart is the part of a member's connections that one instance may hold.
	// A hot instance gets several times the mean, and can't take all.
	largestPart = 0.5
	// lendWeight is the part of a new sample in the usual time of a loan.
	lendWeight = 0.05
)

// Errors of Borrow.
var (
	// ErrFull means that the wait for a connection would be too long.
	ErrFull = errors.New("no connection in time")
	// ErrNobody means that no member fits.
	ErrNobody = errors.New("no member fits")
)

type (
	// Request asks for a connection.
	Request struct {
		// Choose names the members that fit, the best first. It is asked again when
		// something has changed while the request waits.
		Choose func() []string
		// Priority orders requests that wait; 0 goes first.
		Priority int
		// Until is when the request is of no more use.
		Until time.Time
		// Question is set for a question of the instance's own. It takes next to nothing
		// at the member and is not held back where there is no room.
		Question bool
	}

	// Pool lends the connections of one group. Set the exported fields, then call
	// Run; Borrow and Return may be called from any goroutine.
	Pool struct {
		Group   *tracker.Group
		Network networker.Network
		Codec   messenger.MemberCodec
		// Who is how this instance names itself to members.
		Who string
		// Clock gives stamps for Group.
		Clock func() tracker.Stamp
		// Kept is how many idle connections to a member are kept; 0 means 1.
		Kept int
		// Note, when set, is told of connections won and lost.
		Note func(member string, err error)

		mutex sync.Mutex
		// connections is how many a member takes from all instances, limit how many of
		// them this one may hold.
		connections, limit int
		members            map[string]*place
		waiting            []*waiter
		usual              time.Duration
		ctx                context.Context
		closed             bool
		// working are the openings and questions under way.
		working sync.WaitGroup
		// opened counts connections made, for metrics.
		opened int
	}

	place struct {
		idle       []*Conn
		open       int
		connecting int
		backoff    time.Duration
		notBefore  time.Time
		// fullAt is when the member last said that it takes no more connections.
		fullAt time.Time
		// pace holds new work back while the member has no room.
		pace pacer.Pacer
		// resume is set while work waits for it.
		resume *time.Timer
		// usedAt is when a connection to it was last lent, or when it was first known.
		usedAt time.Time
	}

	waiter struct {
		Request
		lent    chan *Conn
		arrived time.Time
	}
)

// Run keeps connections ready until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	p.mutex.Lock()
	p.ctx = ctx
	p.mutex.Unlock()
	t := time.NewTicker(tendInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.close()
			p.working.Wait()
			return ctx.Err()
		case now := <-t.C:
			p.tend(now)
		}
	}
}

// Configure sets how many connections a member takes from all instances.
func (p *Pool) Configure(connections int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections, p.limit = connections, max(1, int(float64(connections)*largestPart))
}

// Changed has waiting requests choose again, after members or the primary changed.
func (p *Pool) Changed() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.serve()
}

// Load returns how many connections are open, idle, and waited for.
func (p *Pool) Load() (open, idle, waiting, opened int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, m := range p.members {
		open += m.open
		idle += len(m.idle)
	}
	return open, idle, len(p.waiting), p.opened
}

// Borrow lends a connection to the best member that fits. The error is ErrFull or
// ErrNobody, or that of the context.
func (p *Pool) Borrow(ctx context.Context, r Request) (*Conn, error) {
	p.mutex.Lock()
	ids := r.Choose()
	if c := p.take(ids, r.Question); c != nil {
		p.mutex.Unlock()
		return c, nil
	}
	w := &waiter{Request: r, lent: make(chan *Conn, 1), arrived: time.Now()}
	if p.hopeless(w) {
		p.mutex.Unlock()
		return nil, ErrFull
	}
	if !p.expects(ids) {
		p.connectFor(ids)
	}
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.arrived.Compare(b.arrived))
	})
	p.waiting = slices.Insert(p.waiting, i, w)
	for _, id := range ids {
		p.resumeLater(p.place(id), w.arrived)
	}
	p.mutex.Unlock()

	t := time.NewTimer(time.Until(r.Until))
	defer t.Stop()
	grow := time.NewTimer(growAfter)
	defer grow.Stop()
wait:
	for {
		select {
		case c := <-w.lent:
			return c, nil
		case <-grow.C:
			p.grow(w)
		case <-t.C:
			break wait
		case <-ctx.Done():
			break wait
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(x *waiter) bool { return x == w })
	select {
	case c := <-w.lent:
		if ctx.Err() == nil {
			return c, nil
		}
		p.put(c)
	default:
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if len(ids) == 0 {
		return nil, ErrNobody
	}
	return nil, ErrFull
}

// expects reports whether a connection to one of the members is lent and may soon
// come back, or is being opened.
func (p *Pool) expects(ids []string) bool {
	for _, id := range ids {
		if m := p.members[id]; m != nil && m.open+m.connecting > 0 {
			return true
		}
	}
	return false
}

// grow opens a connection for a request that still waits.
func (p *Pool) grow(w *waiter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if slices.Contains(p.waiting, w) {
		p.connectFor(w.Choose())
	}
}

// hopeless reports whether a request's turn can't come in its time, by how long
// loans usually last. It is rejected at once then: a caller that is told so can
// go to another instance while there is time.
func (p *Pool) hopeless(w *waiter) bool {
	open := 0
	for _, m := range p.members {
		open += m.open
	}
	if open == 0 || p.usual == 0 {
		return false
	}
	ahead := 0
	for _, x := range p.waiting {
		if x.Priority <= w.Priority {
			ahead++
		}
	}
	wait := p.usual * time.Duration(ahead) / time.Duration(open)
	return wait > w.Until.Sub(w.arrived)
}

// take returns an idle connection to the first of the members that has one, and room.
func (p *Pool) take(ids []string, question bool) *Conn {
	for _, id := range ids {
		m := p.members[id]
		if m == nil || !question && m.pace.Wait(time.Now()) > 0 {
			continue
		}
		for len(m.idle) > 0 {
			c := m.idle[len(m.idle)-1]
			m.idle = m.idle[:len(m.idle)-1]
			if c.silent() {
				m.lend(c, question)
				return c
			}
			m.open--
			c.Close()
		}
	}
	return nil
}

// Return takes a connection back. A broken one is closed.
func (p *Pool) Return(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !c.lentAt.IsZero() {
		took := time.Since(c.lentAt)
		if p.usual == 0 {
			p.usual = took
		}
		p.usual += time.Duration(lendWeight * float64(took-p.usual))
	}
	p.put(c)
}

func (p *Pool) put(c *Conn) {
	m := p.place(c.Member)
	if c.broken || c.owed > 0 || p.closed {
		m.open--
		c.Close()
		p.serve()
		return
	}
	room := m.pace.Wait(time.Now()) == 0
	for i, w := range p.waiting {
		if (room || w.Question) && slices.Contains(w.Choose(), c.Member) {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			m.lend(c, w.Question)
			w.lent <- c
			return
		}
	}
	c.idleFrom = time.Now()
	m.idle = append(m.idle, c)
}

// lend notes that a connection is lent.
func (m *place) lend(c *Conn, question bool) {
	c.lentAt = time.Now()
	m.usedAt = c.lentAt
	if !question {
		m.pace.Sent(c.lentAt)
	}
}

// NoRoom takes in that a member refused a statement for want of room: new work waits,
// or goes to other members.
func (p *Pool) NoRoom(member string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	m := p.place(member)
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
	p.place(member).pace.Served()
}

// serve gives idle connections to those that wait, and opens more for the rest.
func (p *Pool) serve() {
	for i := 0; i < len(p.waiting); {
		w := p.waiting[i]
		ids := w.Choose()
		if c := p.take(ids, w.Question); c != nil {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			w.lent <- c
			continue
		}
		if time.Since(w.arrived) >= growAfter || !p.expects(ids) {
			p.connectFor(ids)
		}
		i++
	}
}

func (p *Pool) place(id string) *place {
	m, ok := p.members[id]
	if !ok {
		if p.members == nil {
			p.members = map[string]*place{}
		}
		m = &place{}
		p.members[id] = m
	}
	return m
}

// connectFor opens a connection to the first of the members that takes one.
func (p *Pool) connectFor(ids []string) {
	for _, id := range ids {
		if p.connect(id, false) {
			return
		}
	}
}

// connect begins to open a connection, if the member may take one more of this
// instance. The first connection to a member that said it is full is tried all the
// same, after its pause.
func (p *Pool) connect(id string, first bool) bool {
	m := p.place(id)
	if p.ctx == nil || p.closed || m.connecting >= connectingAtOnce || time.Now().Before(m.notBefore) {
		return false
	}
	if m.pace.Wait(time.Now()) > 0 || p.Group.Queued(id) {
		return false
	}
	if p.limit > 0 && m.open+m.connecting >= p.limit || first && m.open+m.connecting > 0 {
		return false
	}
	member, ok := p.Group.Member(id)
	if !ok {
		return false
	}
	m.connecting++
	p.opened++
	p.working.Go(func() { p.open(p.ctx, member) })
	return true
}

// open makes a connection and hands it out.
func (p *Pool) open(ctx context.Context, member tracker.Member) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := Connect(ctx, p.Network, p.Codec, member, p.Who)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.place(member.ID)
	m.connecting--
	if p.Note != nil {
		p.Note(member.ID, err)
	}
	if err == nil {
		m.backoff = 0
		m.open++
		p.put(c)
		return
	}
	var refused *RefusedError
	longest := lastBackoff
	if errors.As(err, &refused) && refused.Code == messenger.CodeTooManyConnections {
		m.fullAt, longest = time.Now(), lastFullBackoff
	} else {
		p.Group.Unanswered(p.Clock(), member.ID, false)
	}
	m.backoff = min(max(2*m.backoff, firstBackoff), longest)
	m.notBefore = time.Now().Add(m.backoff/2 + rand.N(m.backoff/2))
	p.serve()
}

// tend closes connections that have idled beyond the kept ones, and opens the
// first connection to each member.
func (p *Pool) tend(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ids := p.Group.IDs()
	for id, m := range p.members {
		p.shrink(m, now, slices.Contains(ids, id))
		if m.open+m.connecting == 0 && !slices.Contains(ids, id) {
			delete(p.members, id)
		}
	}
	for _, id := range ids {
		if m := p.place(id); !m.scarce(now) && m.wanted(now) {
			p.connect(id, true)
		}
	}
	p.serve()
}

// scarce reports whether the member had no place a short time ago.
func (m *place) scarce(now time.Time) bool { return now.Sub(m.fullAt) < scarceFor }

// wanted reports whether a connection to the member is worth to be kept: it was used a
// short time ago, or the instance is new.
func (m *place) wanted(now time.Time) bool {
	if m.usedAt.IsZero() {
		m.usedAt = now
	}
	return now.Sub(m.usedAt) < keptFor
}

// Scarce reports whether a member had no place for a connection a short time ago.
func (p *Pool) Scarce(member string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, ok := p.members[member]
	return ok && m.scarce(time.Now())
}

func (p *Pool) shrink(m *place, now time.Time, registered bool) {
	kept := max(1, p.Kept)
	if !registered || m.scarce(now) {
		kept = 0
	}
	wanted := m.wanted(now)
	m.idle = slices.DeleteFunc(m.idle, func(c *Conn) bool {
		spare := m.open > kept && now.Sub(c.idleFrom) > spareFor
		if !spare && c.silent() {
			if !wanted {
				p.working.Go(func() { p.reconsider(c) })
			}
			return !wanted
		}
		m.open--
		c.End()
		return true
	})
}

// reconsider asks the member of a connection that has idled for long whether it is
// short of places, and ends the connection if so.
func (p *Pool) reconsider(c *Conn) {
	room := p.roomy(c)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.place(c.Member)
	if !room {
		m.open--
		c.End()
		return
	}
	m.usedAt = time.Now().Add(askAgain - keptFor)
	p.put(c)
}

// roomy reports whether the member that a connection leads to has places left.
func (p *Pool) roomy(c *Conn) bool {
	replies, _, err := c.Exchange([]messenger.Command{{Kind: messenger.KindStatus}}, time.Now().Add(askTimeout))
	if err != nil {
		c.Close()
		return false
	}
	s, err := p.Codec.Status(replies[0])
	if err != nil {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return float64(s.Connections) <= roomyPart*float64(p.connections)
}

func (p *Pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, m := range p.members {
		for _, c := range m.idle {
			c.End()
		}
		m.idle = nil
	}
}
