// Package accountant exchanges rate limit reports between instances: it sends this instance's
// reports to the accountant, and answers reports if this instance is the accountant. Package
// limiter makes the decisions.
package accountant

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/reserver"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tabulator"
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
	// Reserver orders operations that wait for a lease; its Meter is Meter.
	Reserver *reserver.Reserver
	Links    *linker.Client
	Clock    func() tracker.Timestamp
	// Limit returns a customer's current limit.
	Limit func(customer string) identifier.Limit
	// Active reports whether customers are configured, Limits returns the limits of all customers.
	Active func() bool
	Limits func() map[string]identifier.Limit
	// Candidates returns the addresses of the instances that may be the accountant, in the order of
	// their rank; "" is this instance.
	Candidates func() []string
	// Removed reports whether an instance's record was removed from the store.
	Removed func(address string) bool
	// NoteFailed is called with the address of an instance that did not reply.
	NoteFailed func(address string)
	// Log is called with the fields of a log line.
	Log func(fields ...any)
	// Count increments a counter, one of those in Counters.
	Count func(name string)
	// Tabulator counts the operations that a limit refuses or delays, and what is withheld. Init
	// sets one if it is nil.
	Tabulator *tabulator.Tabulator

	wake chan struct{}
	// accountantAddress is the accountant's address, "" if it is unknown or isAccountant is set, since
	// this instance is the accountant. Only Run uses them and selection.
	accountantAddress string
	isAccountant      bool
	selection         selection
	// keepsAccounts is isAccountant for other goroutines.
	keepsAccounts atomic.Bool
	// withheldAt is when Run last counted what is withheld.
	withheldAt tracker.Timestamp
}

// Init initializes the accountant.
func (a *Accountant) Init() *Accountant {
	a.wake = make(chan struct{}, 1)
	if a.Tabulator == nil {
		a.Tabulator = &tabulator.Tabulator{}
	}
	a.selection.outcomes = make(chan outcome, maxCallsInFlight)
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
	defer a.awaitProbes()
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
		a.recordWithheld(a.Clock())
		// Also without a reply: the fallback rate admits waiting operations.
		a.Reserver.Advance(a.Clock(), a.Limit)
		if in, ok := a.Meter.NextRequest(a.Clock()); ok {
			tick.Reset(min(max(in, minReportPause), tickInterval))
		}
		due, soon := a.Meter.Due(a.Clock())
		if a.selection.nominator.Failing() {
			due, soon = true, true
		}
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

// report sends one report and processes the reply.
func (a *Accountant) report(ctx context.Context) {
	sent := a.Clock()
	r := a.Meter.NextReport(sent)
	if !a.isAccountant && a.accountantAddress == "" {
		return // the only candidate is draining
	}
	reply, err := a.send(ctx, r)
	if err != nil {
		if ctx.Err() == nil {
			a.Count(CountUnanswered)
			a.Log("event", "accountant-unanswered", "address", a.accountantAddress, "cause", err)
			a.selection.nominator.RecordFailure(a.Clock(), a.accountantAddress, refused(err))
			a.NoteFailed(a.accountantAddress)
		}
		return
	}
	a.selection.nominator.RecordAnswer(a.Clock(), a.accountantAddress)
	a.Meter.HandleReply(sent, reply)
	a.Reserver.Advance(a.Clock(), a.Limit)
}

// HandleReport answers another instance's report, whether or not this instance considers itself the
// accountant: accountants that don't agree share the limits. A request without an instance is a
// probe.
func (a *Accountant) HandleReport(r *wire.AccountRequest) *wire.AccountReply {
	if r.Instance == "" {
		return &wire.AccountReply{}
	}
	x, invalid := fromReport(r)
	if invalid > 0 {
		a.Log("event", "invalid-spendings", "address", r.Instance, "dropped", invalid)
	}
	return toReply(a.Ledger.HandleReport(a.Clock(), x, a.Limit))
}

// Admit decides whether an operation of a customer may run, and waits for a lease while that may
// still be useful; otherwise the error is a lender.LimitError. It implements lender.Pool's Admit.
func (a *Accountant) Admit(ctx context.Context, r lender.Request) error {
	limit := a.Limit(r.Customer)
	if !limit.Limited() {
		return nil
	}
	now := a.Clock()
	o := reserver.Operation{Class: r.Priority}
	if !r.LatestStart.IsZero() {
		latest := r.LatestStart
		if r.Deadline.Before(latest) {
			latest = r.Deadline
		}
		o.LatestStart = now + time.Until(latest)
	}
	t := a.Reserver.Request(now, r.Customer, limit, o)
	if t.Decided() != nil {
		if err := a.awaitDecision(ctx, t); err != nil {
			return err
		}
	}
	if t.Outcome == reserver.Admitted {
		if t.Decided() != nil && a.Clock()-now >= minCountedWait {
			a.Tabulator.Add(now, tabulator.Key{Customer: r.Customer, Class: r.Priority, Kind: tabulator.LeaseWaited, Cause: causeLimit}, 1)
		}
		return nil
	}
	a.Tabulator.Add(a.Clock(), tabulator.Key{Customer: r.Customer, Class: r.Priority, Kind: tabulator.Limited, Cause: limitedCause(t.Refusal)}, 1)
	err := &lender.LimitError{Customer: r.Customer, RetryAfter: t.Refusal.RetryAfter, Waited: t.Refusal.Waited, Reserved: t.Refusal.Reserved}
	b := t.Refusal.Balance
	if !t.Refusal.Known {
		b = a.Meter.Supply(a.Clock(), r.Customer, limit).Balance
	}
	err.Balance = &lender.LimitBalance{PerSecond: limit.PerSecond, Burst: limit.Burst, Used: b.Used, Leased: b.Leased, Withheld: b.Withheld, Cause: limitedCause(t.Refusal)}
	return err
}

// awaitDecision waits until an operation is decided.
func (a *Accountant) awaitDecision(ctx context.Context, t *reserver.Ticket) error {
	a.Wake()
	expired := time.NewTimer(t.Deadline() - a.Clock())
	defer expired.Stop()
	for {
		select {
		case <-t.Decided():
			return nil
		case <-expired.C:
			a.Reserver.Advance(a.Clock(), a.Limit)
			expired.Reset(minReportPause)
		case <-ctx.Done():
			if a.Reserver.Cancel(a.Clock(), t) == reserver.Admitted {
				a.UndoAdmit(t.Customer())
			}
			return ctx.Err()
		}
	}
}

// UndoAdmit reverses the admission of an operation that has not run. It implements lender.Pool's
// UndoAdmit.
func (a *Accountant) UndoAdmit(customer string) { a.Meter.Undo(a.Clock(), customer) }
