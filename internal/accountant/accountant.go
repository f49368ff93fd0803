// Package accountant exchanges rate limit reports between instances: it sends this instance's
// reports to the accountant, and answers reports if this instance is the accountant. Package
// limiter makes the decisions.
package accountant

import (
	"context"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// callTimeout bounds a report: one round trip between regions, or four if a connection must be
	// opened.
	callTimeout = 300 * time.Millisecond
	// tickInterval is how often Run checks whether a report is due, inactiveInterval how often it
	// does so without customers. minReportPause is the least time between reports, so that waiting
	// operations are combined.
	tickInterval     = 100 * time.Millisecond
	inactiveInterval = 2 * time.Second
	minReportPause   = 10 * time.Millisecond
	// rateScale converts operations per second to the thousandths that are sent on the wire.
	rateScale = 1000
)

// Accountant sends and answers reports. Set the exported fields, then call Run; its other methods
// are safe for concurrent use.
type Accountant struct {
	Meter  *limiter.Meter
	Ledger *limiter.Ledger
	Links  *linker.Client
	Clock  func() tracker.Timestamp
	// Limit returns a customer's current limit.
	Limit func(customer string) identifier.Limit
	// Active reports whether customers are configured, Limits returns the limits of all customers.
	Active func() bool
	Limits func() map[string]identifier.Limit
	// CurrentAccountant returns the accountant's address, "" if unknown; self is set if this
	// instance is the accountant.
	CurrentAccountant func() (address string, self bool)
	// NoteFailed is called with the address of an instance that did not reply.
	NoteFailed func(address string)
	// Log is called with the fields of a log line.
	Log func(fields ...any)

	mutex sync.Mutex
	// replied is closed at each reply.
	replied chan struct{}
	wake    chan struct{}
	// accountantAddress is the receiver of the last report; isAccountant is set if this instance
	// is the accountant. Only Run uses them.
	accountantAddress string
	isAccountant      bool
}

// Init initializes the accountant.
func (a *Accountant) Init() *Accountant {
	a.replied, a.wake = make(chan struct{}), make(chan struct{}, 1)
	return a
}

// Wake makes Run check immediately, such as after a configuration change: a starting instance
// should report before it runs operations for long.
func (a *Accountant) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until the context ends.
func (a *Accountant) Run(ctx context.Context) error {
	tick := time.NewTimer(0)
	defer tick.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-a.wake:
		}
		if !a.Active() {
			tick.Reset(inactiveInterval)
			continue
		}
		tick.Reset(tickInterval)
		a.updateAccountant(ctx)
		due, soon := a.Meter.Due(a.Clock())
		if !due || !soon && time.Since(last) < limiter.ReportInterval {
			continue
		}
		if err := sleeper.Sleep(ctx, minReportPause-time.Since(last)); err != nil {
			return err
		}
		last = time.Now()
		a.report(ctx)
	}
}

// updateAccountant reacts to a change of the accountant.
func (a *Accountant) updateAccountant(ctx context.Context) {
	address, self := a.CurrentAccountant()
	if self != a.isAccountant {
		a.isAccountant = self
		a.Ledger.Open(a.Clock(), a.Limits())
		a.Log("event", "accounts-kept", "here", self)
	}
	if address != a.accountantAddress {
		a.sendFinalReport(ctx, a.Meter.SwitchAccountant(a.Clock()))
		a.accountantAddress = address
		a.Log("event", "accountant", "address", address)
	}
}

// sendFinalReport informs the previous accountant that this instance reports to another one. If it
// can't be reached, it reserves the instance's fallback rates.
func (a *Accountant) sendFinalReport(ctx context.Context, last limiter.Report) {
	if a.accountantAddress == "" {
		return
	}
	if _, ok := a.send(ctx, last); !ok {
		a.Log("event", "accountant-not-left", "address", a.accountantAddress)
	}
}

// report sends one report and processes the reply.
func (a *Accountant) report(ctx context.Context) {
	sent := a.Clock()
	r := a.Meter.NextReport(sent)
	reply, ok := a.send(ctx, r)
	if !ok {
		return
	}
	a.Meter.HandleReply(sent, reply)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	close(a.replied)
	a.replied = make(chan struct{})
}

// send sends a report to the accountant, which may be this instance, and returns the reply.
func (a *Accountant) send(ctx context.Context, r limiter.Report) (limiter.Reply, bool) {
	switch {
	case a.isAccountant:
		return a.Ledger.HandleReport(a.Clock(), r, a.Limit), true
	case a.accountantAddress == "":
		return limiter.Reply{}, false
	}
	var reply *wire.AccountReply
	err := a.Links.Call(ctx, callTimeout, a.accountantAddress, func(ctx context.Context, l *linker.Link) (err error) {
		reply, err = wire.NewDRPCNeighboursClient(l.Conn()).Account(ctx, toReport(r))
		return err
	})
	if err != nil {
		if ctx.Err() == nil {
			a.Log("event", "accountant-unanswered", "address", a.accountantAddress, "cause", err)
			a.NoteFailed(a.accountantAddress)
		}
		return limiter.Reply{}, false
	}
	return fromReply(reply), true
}

// HandleReport answers another instance's report, whether or not this instance considers itself the
// accountant: accountants that don't agree share the limits.
func (a *Accountant) HandleReport(r *wire.AccountRequest) *wire.AccountReply {
	return toReply(a.Ledger.HandleReport(a.Clock(), fromReport(r), a.Limit))
}

// Admit decides whether an operation of a customer may run; otherwise the error is a
// lender.LimitError. It implements lender.Pool's Admit.
func (a *Accountant) Admit(ctx context.Context, customer string) error {
	limit := a.Limit(customer)
	deadline := time.Now().Add(limiter.LeaseWaitTimeout)
	for attempt := limiter.FirstAttempt; ; attempt = limiter.AfterReply {
		if !time.Now().Before(deadline) {
			attempt = limiter.LastAttempt
		}
		next := a.nextReply()
		decision, retryAfter := a.Meter.Decide(a.Clock(), customer, limit, attempt)
		switch decision {
		case limiter.Admit:
			return nil
		case limiter.Refuse:
			return &lender.LimitError{Customer: customer, RetryAfter: retryAfter}
		}
		if err := a.awaitReply(ctx, customer, next, deadline); err != nil {
			return err
		}
	}
}

// nextReply returns a channel that is closed at the next reply.
func (a *Accountant) nextReply() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.replied
}

// awaitReply waits for the accountant's next reply.
func (a *Accountant) awaitReply(ctx context.Context, customer string, replied <-chan struct{}, deadline time.Time) error {
	a.Meter.AddWaiters(a.Clock(), customer, 1)
	defer func() { a.Meter.AddWaiters(a.Clock(), customer, -1) }()
	a.Wake()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-replied:
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// UndoAdmit reverses the admission of an operation that has not run. It implements lender.Pool's
// UndoAdmit.
func (a *Accountant) UndoAdmit(customer string) { a.Meter.Undo(a.Clock(), customer) }
