package lender

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/forecaster"
	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/scheduler"
	"github.com/oriolegw/oriolegw/internal/throttler"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// MaintenanceInterval is the interval between calls of Maintain.
	MaintenanceInterval = 50 * time.Millisecond
	// maxInstanceFraction is the fraction of a member's connections that one instance may hold, so
	// that an instance with high load can't take all of them.
	maxInstanceFraction = 0.5
	// loanTimeWeight is the weight of a new sample in the moving average of loan times.
	loanTimeWeight = 0.05
)

// Errors of Borrow.
var (
	// ErrNoConnection means that no connection becomes available in time.
	ErrNoConnection = errors.New("no connection available in time")
	// ErrNoMember means that no member is eligible.
	ErrNoMember = errors.New("no eligible member")
	// ErrUseLocal is returned by Pool.BorrowFromHolder if the instance must use its own connections.
	ErrUseLocal = errors.New("the instance's own connections must be used")
)

// LimitError rejects an operation of a customer that is over its rate limit.
type LimitError struct {
	Customer string
	// RetryAfter is the delay after which the caller may retry; Reserved is set if capacity is
	// reserved for that time.
	RetryAfter time.Duration
	Reserved   bool
	// Waited is how long the operation waited for its admission.
	Waited time.Duration
	// Balance explains the refusal; nil if another instance refused.
	Balance *LimitBalance
}

// LimitBalance is what an instance knew of a customer's limit when it refused an operation.
type LimitBalance struct {
	PerSecond, Burst float64
	// Used is how many operations this instance ran in the last 6 s, Leased how many leased ones it
	// had left.
	Used, Leased int
	// Withheld is the fraction of the limit reserved for silent instances, Cause the accountant's
	// reason for leasing no more.
	Withheld float64
	Cause    string
}

// LogFields returns what explains the refusal, for a log line; nothing if Balance is nil.
func (e *LimitError) LogFields() []any {
	b := e.Balance
	if b == nil {
		return nil
	}
	return []any{
		"reserved", e.Reserved, "limit-waited-ms", e.Waited.Milliseconds(), "per-second", b.PerSecond, "burst", b.Burst,
		"used-here", b.Used, "leased-here", b.Leased, "withheld", math.Round(1000*b.Withheld) / 1000, "cause", b.Cause,
	}
}

// Error implements error.
func (e *LimitError) Error() string { return "customer " + e.Customer + " is over its limit" }

type (
	// Request describes a requested connection.
	Request struct {
		// EligibleMembers returns the eligible members, best first. It is called again when the
		// state of the members has changed while the request waits.
		EligibleMembers func() []string
		// Customer is the customer that the connection must have been opened for, "" without
		// customers.
		Customer string
		// Priority orders waiting requests; 0 goes first.
		Priority int
		// Deadline is the deadline of the wait.
		Deadline time.Time
		// LatestStart is until when the request can start and still meet the caller's latency
		// objective; zero without an objective.
		LatestStart time.Time
		// StatusQuery is set for a status query of the instance itself. It costs the member little
		// and is sent to overloaded members, too.
		StatusQuery bool
		// Transaction is set for a transaction, which keeps its connection until the caller ends it.
		Transaction bool
		// RateLimited is set for a new operation that counts against the customer's rate limit.
		RateLimited bool
		// LocalOnly requires a connection that this instance holds itself.
		LocalOnly bool
	}

	// Pool lends the connections of one group. Set the exported fields, then call Run; Borrow and
	// Return are safe for concurrent use.
	Pool struct {
		Group   *tracker.Group
		Network networker.Network
		Codec   messenger.MemberCodec
		// ClientName is the name of this instance in connection starts.
		ClientName string
		// Clock returns the current time for Group.
		Clock func() tracker.Timestamp
		// HolderCount, when set, returns how many instances hold connections to a member.
		HolderCount func(group, member string) int
		// BorrowRemote, when set, borrows a connection through another instance.
		BorrowRemote func(ctx context.Context, group string, members []string, r Request) (*Conn, error)
		// BorrowFromHolder, when set, borrows from the instance that holds the connections to the
		// group's members for others. HeldElsewhere reports whether another instance holds those to
		// a member.
		BorrowFromHolder func(ctx context.Context, group string, r Request) (*Conn, error)
		HeldElsewhere    func(group, member string) bool
		// Admit, when set, decides whether a new operation of a customer may run on one of this
		// instance's connections; UndoAdmit reverses the admission of an operation that has not run.
		Admit     func(ctx context.Context, r Request) error
		UndoAdmit func(customer string)
		// NoteLent, when set, is called for each connection lent to a caller; opened is set if it
		// was newly opened.
		NoteLent func(opened bool)
		// NoteOpened, when set, is called with the result of each opening.
		NoteOpened func(member string, err error)
		// MaintainedExternally is set if the owner calls Maintain instead of Run, for many pools at
		// once.
		MaintainedExternally bool
		// OpensOnDemand, when set and true, makes Maintain open no connection before a request needs
		// one.
		OpensOnDemand func() bool
		// NoteBroken, when set, is called for each idle connection found broken, with its idle time.
		NoteBroken func(member string, idle time.Duration)
		// NotePacing, when set, is called with false when new work to a member starts to be paced
		// because the member is overloaded, and with true when pacing ends.
		NotePacing func(member string, hasCapacity bool)

		// NoteDown, when set, is called once for each outage of the path to a member, with the time
		// since its first failure.
		NoteDown func(member string, outage time.Duration)

		mutex sync.Mutex
		// memberConnections is how many connections a member accepts from all instances,
		// instanceLimit how many of them this instance may hold.
		memberConnections, instanceLimit int
		// customers are the configured customers, nil if connections are not per customer.
		customers   *identifier.Directory
		members     map[string]*memberPool
		waiting     []*waiter
		averageLoan time.Duration
		ctx         context.Context
		startedAt   time.Time
		closed      bool
		// fairQueues order waiting work of customers by class, flows are their positions in them.
		fairQueues map[int]*fairQueue
		flows      map[flowKey]*flow
		// backgroundTasks counts running openings and status queries.
		backgroundTasks sync.WaitGroup
		// primaryUnknownSince is since when no primary is known, zero while one is.
		primaryUnknownSince time.Time
		// remoteOutage is the outage of the paths through other instances, remoteLoans the number of
		// loans requested from them.
		remoteOutage forecaster.Outage
		remoteLoans  int
		// classes are the priorities of the requests so far, by bit.
		classes uint64
		// openedTotal counts openings, for metrics.
		openedTotal int
	}

	// memberPool holds the connections to one member.
	memberPool struct {
		id string
		// startTime identifies the incarnation of the member that the other fields describe.
		startTime int64
		idle      []*Conn
		// open counts the connections, idle or lent; opening counts running openings.
		open    int
		opening int
		// lentByCustomer and openingByCustomer count a customer's lent connections and those being
		// opened.
		lentByCustomer, openingByCustomer map[string]int
		// usage is how often each customer uses a connection to the member.
		usage usage
		// shortLoans counts connections lent for single statements, longLoansByCustomer those lent
		// for a customer's transactions.
		shortLoans          int
		longLoansByCustomer map[string]int
		backoff             time.Duration
		retryAt             time.Time
		// lastFull is when the member last refused a connection because it has too many.
		lastFull time.Time
		// full is set if retryAt follows such a refusal; vacated is set if an idle connection was
		// closed since then whose place is unused.
		full, vacated bool
		// throttler limits the rate of new work while the member is overloaded.
		throttler throttler.Throttler
		// resumeTimer is set while waiting requests are paced.
		resumeTimer *time.Timer
		// lastUsed is when a connection was last lent, or when the member became known.
		lastUsed time.Time
		// capacityCheckedAt is when the member last reported free connections.
		capacityCheckedAt time.Time
		// openingSince is when opening last became positive. noResponse is set if the last one
		// got no response.
		openingSince time.Time
		noResponse   bool
		// timeouts counts consecutive exchanges without a reply.
		timeouts int
		// outage is the outage of the path to the member.
		outage forecaster.Outage
		// notedDown is set once the outage was reported to Pool.NoteDown.
		notedDown bool
		// drain is the rate at which waiting requests get connections to the member, queued the
		// number of requests that wait for one.
		drain  forecaster.DrainRate
		queued int
		// queuedByClass counts the waiting requests with an objective by class, classDrains are the
		// rates at which these get connections, shares divides the slot time among classes, and
		// meter measures it.
		queuedByClass map[int]int
		classDrains   map[int]*forecaster.DrainRate
		shares        scheduler.ClassShares
		meter         *slotMeter
	}

	// waiter is a request that waits for a connection.
	waiter struct {
		Request
		// local receives one of this instance's connections.
		local   chan *Conn
		arrived time.Time
		// members are the eligible members when they were last determined.
		members []string
		// late is set if the request queues behind those that can meet their objective, overdue once
		// its own has passed, and probe if it probes a path that is down.
		late, overdue, probe bool
		// customerPriority is the customer's priority, virtualStart its start in the fair queue, and
		// charge its charge there.
		customerPriority int
		virtualStart     float64
		charge           charge
		// remote receives a connection that another instance lends; remotePending is set while one
		// is requested.
		remote        chan *Conn
		remotePending bool
		// abandoned is set once the request no longer waits.
		abandoned bool
	}
)

// Run maintains the connections until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	p.mutex.Lock()
	p.ctx, p.startedAt = ctx, time.Now()
	p.mutex.Unlock()
	var ticks <-chan time.Time
	if !p.MaintainedExternally {
		t := time.NewTicker(MaintenanceInterval)
		defer t.Stop()
		ticks = t.C
	}
	for {
		select {
		case <-ctx.Done():
			p.close()
			p.backgroundTasks.Wait()
			return ctx.Err()
		case now := <-ticks:
			p.Maintain(now)
		}
	}
}

// Configure sets how many connections a member accepts from all instances, and the configured
// customers.
func (p *Pool) Configure(connections int, customers *identifier.Directory) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.memberConnections, p.instanceLimit = connections, max(1, int(float64(connections)*maxInstanceFraction))
	p.customers = customers
	p.dropUnknownCustomers()
}

// MembersChanged re-evaluates the eligible members of waiting requests after the members or the
// primary changed.
func (p *Pool) MembersChanged() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id, m := range p.members {
		if x, ok := p.Group.Member(id); ok && x.StartTime != 0 && x.StartTime != m.startTime {
			p.resetMember(m, x.StartTime)
		}
	}
	p.serveWaiting()
}

// Stats returns the numbers of open and idle connections, waiting requests and openings so far.
func (p *Pool) Stats() (open, idle, waiting, opened int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, m := range p.members {
		open += m.open
		idle += len(m.idle)
	}
	return open, idle, len(p.waiting), p.openedTotal
}

// CountByCustomer adds the number of connections of each customer to byCustomer.
func (p *Pool) CountByCustomer(byCustomer map[string]int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, m := range p.members {
		for _, c := range m.idle {
			byCustomer[c.Customer]++
		}
		for customer, n := range m.lentByCustomer {
			byCustomer[customer] += n
		}
	}
}

// Borrow lends a connection to the best eligible member. The error is ErrNoConnection, ErrNoMember,
// a LimitError, or that of the context.
func (p *Pool) Borrow(ctx context.Context, r Request) (*Conn, error) {
	if !r.LocalOnly && p.BorrowFromHolder != nil {
		if c, err := p.BorrowFromHolder(ctx, p.Group.Name, r); !errors.Is(err, ErrUseLocal) {
			return c, err
		}
	}
	if !r.RateLimited || p.Admit == nil || !p.limited(r.Customer) {
		return p.borrow(ctx, r)
	}
	if err := p.Admit(ctx, r); err != nil {
		return nil, err
	}
	c, err := p.borrow(ctx, r)
	if err != nil {
		p.UndoAdmit(r.Customer)
	}
	return c, err
}

// borrow lends one of this instance's connections, or one through another instance.
func (p *Pool) borrow(ctx context.Context, r Request) (*Conn, error) {
	p.mutex.Lock()
	ids := p.choose(&r)
	if c := p.takeIdle(ids, &r); c != nil {
		p.chargeDirect(c, &r)
		p.mutex.Unlock()
		return c, nil
	}
	w := &waiter{Request: r, local: make(chan *Conn, 1), remote: make(chan *Conn, 1), arrived: time.Now()}
	if err := p.enqueue(w, ids); err != nil {
		p.mutex.Unlock()
		return nil, err
	}
	if w.probe || !p.mayReturnSoon(ids, r.Customer) {
		p.openFor(ids, &r)
	}
	for _, id := range ids {
		p.scheduleResume(p.member(id), w.arrived)
	}
	p.mutex.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.borrowRemote(ctx, w)
	defer p.abandon(w)

	t := time.NewTimer(time.Until(r.Deadline))
	defer t.Stop()
	retry := time.NewTimer(openAfterWait)
	defer retry.Stop()
	for {
		select {
		case c := <-w.local:
			return c, nil
		case c := <-w.remote:
			return c, nil
		case <-retry.C:
			if err := p.reconsider(w); err != nil {
				return nil, err
			}
			p.openForWaiter(w)
			p.borrowRemote(ctx, w)
			retry.Reset(remoteRetryInterval)
		case <-t.C:
			return nil, p.timeoutError(w, len(ids) == 0)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// heldElsewhere reports whether another instance holds the connections to a member.
func (p *Pool) heldElsewhere(member string) bool {
	return p.HeldElsewhere != nil && p.HeldElsewhere(p.Group.Name, member)
}

// holders returns how many instances hold connections to a member, at least 1, or 0 if unknown.
func (p *Pool) holders(member string) int {
	if p.HolderCount == nil {
		return 0
	}
	return max(1, p.HolderCount(p.Group.Name, member))
}

// member returns the state of a member, which is created on first use.
func (p *Pool) member(id string) *memberPool {
	m, ok := p.members[id]
	if !ok {
		if p.members == nil {
			p.members = map[string]*memberPool{}
		}
		m = &memberPool{id: id, meter: &slotMeter{}}
		if x, ok := p.Group.Member(id); ok {
			m.startTime = x.StartTime
		}
		p.members[id] = m
	}
	return m
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
