package accountant

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/nominator"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// The counters of Accountant.Count.
const (
	CountChanges     = "accountant-changes"
	CountUnanswered  = "accountant-unanswered"
	CountProbeFailed = "accountant-probes-failed"
	CountDeaths      = "instances-found-dead"
)

const (
	// deathProbeInterval is how often the accountant probes instances that don't report. A death must
	// be observed again within the limiter's deathPeriod of 2 s.
	deathProbeInterval = 500 * time.Millisecond
	// maxDeathProbes bounds the instances probed at a time, maxCallsInFlight all probes in flight.
	maxDeathProbes   = 32
	maxCallsInFlight = 64
	// maxMissingLogged bounds the addresses in a log line.
	maxMissingLogged = 8
)

type (
	// selection is the state of Run that selects the accountant. Only Run uses it; probes report
	// their outcome on a channel.
	selection struct {
		nominator nominator.Nominator
		outcomes  chan outcome
		inFlight  int
		// deathsProbedAt is when silent instances were last probed, nextMissing the first one of the
		// next round.
		deathsProbedAt tracker.Timestamp
		nextMissing    int
		// missing is the number of silent instances at the last round.
		missing int
	}

	// outcome is the result of a probe. ofDeath is set if it was sent to a silent instance.
	outcome struct {
		at      tracker.Timestamp
		address string
		err     error
		ofDeath bool
	}
)

// refused reports whether nothing listens on the address of a call.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// probe calls a peer without a report and sends the outcome to Run.
func (a *Accountant) probe(ctx context.Context, address string, ofDeath bool) {
	if a.selection.inFlight >= maxCallsInFlight {
		return
	}
	a.selection.inFlight++
	go func() {
		err := a.Links.Call(ctx, callTimeout, address, func(ctx context.Context, l *linker.Link) error {
			_, err := wire.NewDRPCNeighboursClient(l.Conn()).Account(ctx, &wire.AccountRequest{})
			return err
		})
		a.selection.outcomes <- outcome{at: a.Clock(), address: address, err: err, ofDeath: ofDeath}
	}()
}

// awaitProbes waits until all probes have ended.
func (a *Accountant) awaitProbes() {
	for ; a.selection.inFlight > 0; a.selection.inFlight-- {
		<-a.selection.outcomes
	}
}

// handleOutcomes processes the probes that have ended.
func (a *Accountant) handleOutcomes() {
	for {
		select {
		case o := <-a.selection.outcomes:
			a.selection.inFlight--
			a.handleOutcome(o)
		default:
			return
		}
	}
}

func (a *Accountant) handleOutcome(o outcome) {
	if o.err == nil {
		a.selection.nominator.RecordAnswer(o.at, o.address)
		if o.ofDeath {
			a.Ledger.RecordAlive(a.Clock(), o.address)
		}
		return
	}
	a.Count(CountProbeFailed)
	if o.ofDeath && refused(o.err) {
		a.recordDeath(o.address, "connection-refused")
	}
	if !o.ofDeath {
		a.selection.nominator.RecordFailure(o.at, o.address, refused(o.err))
	}
}

func (a *Accountant) recordDeath(address, cause string) {
	if a.Ledger.RecordDeath(a.Clock(), address) {
		a.Count(CountDeaths)
		a.Log("event", "instance-dead", "address", address, "cause", cause)
	}
}

// updateAccountant selects the accountant, probes other candidates if necessary, and reacts to a
// change.
func (a *Accountant) updateAccountant(ctx context.Context) {
	a.handleOutcomes()
	now, ranked := a.Clock(), a.Candidates()
	c := a.selection.nominator.Choose(now, ranked)
	for _, address := range a.selection.nominator.Probes(now, ranked) {
		a.probe(ctx, address, false)
	}
	if c.Changed && (c.Address != a.accountantAddress || c.Reason == nominator.ReasonStart) {
		a.changeAccountant(ctx, c)
	}
	if a.isAccountant {
		a.probeMissing(ctx, now)
	}
}

func (a *Accountant) changeAccountant(ctx context.Context, c nominator.Choice) {
	a.Count(CountChanges)
	a.Log("event", "accountant", "address", c.Address, "before", a.accountantAddress, "cause", c.Reason, "failures", c.Failures, "failing-ms", c.FailingFor.Milliseconds(), "reachable-ms", c.ReachableFor.Milliseconds())
	if c.Reason != nominator.ReasonStart {
		a.leaveAccountant(ctx, c)
	}
	a.accountantAddress = c.Address
	if self := c.Address == ""; self != a.isAccountant {
		a.isAccountant = self
		a.keepsAccounts.Store(self)
		a.Ledger.Open(a.Clock(), a.Limits())
		a.Log("event", "accounts-kept", "here", self)
	}
}

// leaveAccountant informs the previous accountant that this instance reports to another one. One
// that is lost isn't called: it reserves the instance's fallback rates when it notices the silence.
func (a *Accountant) leaveAccountant(ctx context.Context, c nominator.Choice) {
	last := a.Meter.SwitchAccountant(a.Clock())
	if c.Reason == nominator.ReasonUnanswered || c.Reason == nominator.ReasonRefused {
		return
	}
	if _, err := a.send(ctx, last); err != nil {
		a.Log("event", "accountant-not-left", "address", a.accountantAddress, "cause", err)
		return
	}
	a.Meter.HandleFinalReply(a.Clock())
}

// probeMissing finds out which of the instances that don't report here are dead.
func (a *Accountant) probeMissing(ctx context.Context, now tracker.Timestamp) {
	if now-a.selection.deathsProbedAt < deathProbeInterval {
		return
	}
	a.selection.deathsProbedAt = now
	missing := a.Ledger.Missing(now)
	if len(missing) != a.selection.missing {
		a.selection.missing = len(missing)
		a.Log("event", "reporters-missing", "missing", len(missing), "addresses", strings.Join(missing[:min(maxMissingLogged, len(missing))], ","))
	}
	for i := range min(maxDeathProbes, len(missing)) {
		address := missing[(a.selection.nextMissing+i)%len(missing)]
		switch {
		case address == a.Meter.Instance:
		case a.Removed(address):
			a.recordDeath(address, "record-removed")
		default:
			a.probe(ctx, address, true)
		}
	}
	if len(missing) > maxDeathProbes {
		a.selection.nextMissing = (a.selection.nextMissing + maxDeathProbes) % len(missing)
	}
}

// send sends a report to the accountant, which may be this instance, and returns the reply.
func (a *Accountant) send(ctx context.Context, r limiter.Report) (limiter.Reply, error) {
	if a.isAccountant {
		return a.Ledger.HandleReport(a.Clock(), r, a.Limit), nil
	}
	var reply *wire.AccountReply
	err := a.Links.Call(ctx, callTimeout, a.accountantAddress, func(ctx context.Context, l *linker.Link) (err error) {
		reply, err = wire.NewDRPCNeighboursClient(l.Conn()).Account(ctx, toReport(r))
		return err
	})
	if err != nil {
		return limiter.Reply{}, err
	}
	x, invalid := fromReply(reply)
	if invalid > 0 {
		a.Log("event", "invalid-allowances", "address", a.accountantAddress, "dropped", invalid)
	}
	return x, nil
}
