// Package limiter enforces customers' rate limits across all instances. It has no clock and no
// network: the caller passes in every event and its time.
//
// If each instance enforced an even share of a limit, a customer whose callers use only a few
// instances would be refused far below its limit.
//
// One instance, the accountant, keeps the customers' accounts in a Ledger. Instances that run
// operations report their usage to it and lease tokens for the operations to come. A lease that
// expires without a report counts as used. A limit of rate and burst allows rate x w + burst
// operations in any window w. An account leases at most that plus excessLeaseFraction of the
// tolerated excess:
//
//	run(w) <= rate x w + burst + excessLeaseFraction x excess + unleased + initial + gap
//
// where unleased is what runs without a lease and is reported afterwards, at most one operation
// per instance; initial is the balance of a new account, initialBurstFraction x (burst +
// excessBurstFraction x excess), if all earlier usage is lost; and gap is what an instance that
// becomes isolated runs until the accountant notices. The rest of the excess covers these.
//
// An instance that can't reach the accountant admits operations at a fallback rate: an even share
// of evenShareFraction x rate, or more where its recent demand was higher and the limit allows it.
// The fallback rates that an accountant assigns add up to at most the limit, and it reserves those
// of the instances that don't report to it. A new accountant doesn't know the fallback rates of
// instances that have not reported to it, and reserves the rate less those of the others. So the
// sides of a partition share the limit, whichever of them have an accountant:
//
//	leased per second, all sides + fallback rates of isolated instances <= rate + burst / window
//
// A process that has just started can't have a fallback rate from before. All accounts count an equal
// part of the limit for it, so that accountants which don't hear each other agree on the parts after a
// restart of all instances. Nothing is reserved for instances that are known to be dead.
//
// Within the window, a token bucket spreads the leases. It is refilled at the pace: the largest
// constant rate that keeps every window, up to one window ahead, within the limit. So a burst
// causes no gap one window later. Tokens of a throttled customer go to the waiting operations of
// the most urgent class first, on all instances.
package limiter

import (
	"math"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// excessLeaseFraction is the fraction of the tolerated excess that an account may lease.
	excessLeaseFraction = 0.25
	// urgentReserveFraction is the largest fraction of the balance that is left for bursts of the
	// most urgent class, if a customer uses several.
	// The reserve is urgentReserveDeviations standard deviations of the class's demand of a second.
	urgentReserveFraction   = 0.5
	urgentReserveDeviations = 3
	// reserveRefillFraction is the fraction of the pace that refills the reserve: refilling it with
	// the whole pace would cause a gap for the other classes after each burst.
	reserveRefillFraction = 0.15
	// throttledPeriod is how long after a lease for fewer operations than waited an account, or an
	// instance, counts as throttled.
	throttledPeriod = time.Second
	// throttledReportInterval is how often an instance reports the usage of a throttled customer,
	// since usage enters the accountant's window only when it is reported.
	throttledReportInterval = 200 * time.Millisecond
	// minRequestInterval and maxRequestInterval bound how often an instance reports operations that
	// wait while the customer is throttled. waitersTTL is how long the accountant considers them.
	minRequestInterval = 10 * time.Millisecond
	maxRequestInterval = 100 * time.Millisecond
	waitersTTL         = 300 * time.Millisecond
	// paceSmoothing is the time constant of the pace that is divided among the instances.
	paceSmoothing = time.Second
	// minPace is the least pace that is told, since 0 means unknown, in operations per second.
	minPace = 0.001
	// excessBurstFraction is the fraction of the tolerated excess that may run at once on top of
	// the burst.
	excessBurstFraction = 0.35
	// initialBurstFraction is the balance of a new account as a fraction of its maximum.
	initialBurstFraction = 0.6
	// startupBurstFraction is the fraction of the burst that all instances together may run before
	// their first report.
	startupBurstFraction = 0.25
	// lowBalanceFraction is the fraction of an account's maximum balance below which every
	// operation requires a lease.
	lowBalanceFraction = 0.25
	// unreportedPerInstance raises this threshold by a number of operations per reporting
	// instance, for those that it has run without a lease and not reported yet.
	unreportedPerInstance = 0.25
	// leaseDuration is how long a lease is valid, leaseGrace how much longer the accountant waits
	// for the report on it, to allow for the latency of its reply.
	leaseDuration = 2 * time.Second
	leaseGrace    = 500 * time.Millisecond
	// leaseHorizon is the time for which expected demand is leased ahead. It covers one lost
	// report; tokens leased beyond need are unavailable to other instances.
	leaseHorizon = 800 * time.Millisecond
	// idleReportInterval is the report interval of an instance without operations.
	idleReportInterval = 800 * time.Millisecond
	// reporterExpiry is the time without reports after which an instance counts as removed rather
	// than isolated.
	reporterExpiry = 30 * time.Second
	// ReportInterval is how often an instance reports its usage.
	ReportInterval = 500 * time.Millisecond
	// isolationTimeout is the time without a reply after which an instance admits operations at
	// its fallback rate.
	isolationTimeout = 800 * time.Millisecond
	// LeaseWaitTimeout is how long an operation may wait for a lease: two round trips between
	// regions, and scheduling delays.
	LeaseWaitTimeout = 100 * time.Millisecond
	// leaseRequiredDuration is how long an instance treats an account as low on tokens after the
	// accountant reported it so.
	leaseRequiredDuration = 3 * time.Second
	// refusalDuration bounds how long operations are refused without a new request after the
	// accountant had no tokens: the limit may be raised meanwhile.
	refusalDuration = 300 * time.Millisecond
	// demandHalfLife is the half-life of the demand estimate.
	demandHalfLife = 2 * time.Second
	// classDemandHalfLife is that of the demand by class. It is shorter: until the demand of the more
	// urgent classes is known, too much capacity is reserved for the others.
	classDemandHalfLife = 700 * time.Millisecond
	// fallbackBurstSpan is the time for which an isolated instance may accumulate unused tokens of
	// its fallback rate.
	fallbackBurstSpan = time.Second
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller may retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

type (
	// Timestamp is a point in time, as in package tracker.
	Timestamp = tracker.Timestamp

	// Tolerance is how far a customer may exceed its limit in a window because of distributed
	// counting.
	Tolerance struct {
		Window time.Duration
		// Overage is a fraction of the limit in a window, Slack a number of operations.
		Overage, Slack float64
	}

	// Usage is an instance's usage report for one customer.
	Usage struct {
		Customer string
		// Used counts the operations run since the last acknowledged report, in slots of slotTime,
		// newest last. PastUsed counts those of acknowledged reports, for an accountant that is new
		// to the instance.
		Used, PastUsed []int
		// UnusedTokens is the number of unused leased tokens.
		UnusedTokens int
		// Waiters is the number of operations that wait for a lease.
		Waiters int
		// Demand is the recent number of requested operations per second.
		Demand float64
		// WaitersByClass divides Waiters by the order in which they should be served, DemandByClass
		// Demand by class; zero if unknown.
		WaitersByClass Counts
		DemandByClass  Rates
		// Reserved is the number of refused operations that were told to retry within the next
		// second.
		Reserved int
		// FallbackRate is the fallback rate that the previous accountant assigned, in operations per
		// second; HasFallbackRate is set if it assigned one.
		FallbackRate    float64
		HasFallbackRate bool
	}

	// Report is one instance's usage report.
	Report struct {
		// Instance is the instance's address, Incarnation identifies its process incarnation.
		Instance    string
		Incarnation uint64
		// Sequence increases with each report; duplicates are ignored.
		Sequence uint64
		// NewAccountant is set if the accountant is new to the instance.
		NewAccountant bool
		// Final is set on the last report to an accountant.
		Final bool
		// SincePredecessorAck, if NewAccountant is set, is the time since the previous accountant
		// last received a report, or 0 without one. That accountant reserves the instance's
		// fallback rates once it has missed reports for long enough.
		SincePredecessorAck time.Duration
		// UpTime is how long the instance's process has been running, 0 if unknown. It has no
		// fallback rate that was assigned before.
		UpTime time.Duration
		Usages []Usage
	}

	// Reply is the accountant's reply to a report.
	Reply struct {
		// Incarnation identifies the accountant's incarnation: a new one has no accounts.
		Incarnation uint64
		Grants      []Grant
	}

	// Grant is the reply for one customer.
	Grant struct {
		Customer string
		// Tokens is the number of operations leased in addition to the unused ones. All leases of
		// the customer are valid for leaseDuration after the report was sent.
		Tokens int
		// LeaseRequired is set if every operation requires a lease.
		LeaseRequired bool
		// FallbackRate is the instance's fallback rate in operations per second.
		FallbackRate float64
		// RetryAfter is when more tokens may be available, if fewer were leased than requested.
		RetryAfter time.Duration
		// Pace is the instance's share of the pace in operations per second, 0 if unknown.
		Pace float64
		// Cause is why fewer tokens were leased than operations wait, Withheld the fraction of the
		// limit that is reserved for silent instances.
		Cause    Cause
		Withheld float64
	}
)

// excess returns how many operations above rate and burst are tolerated in a window.
func (t Tolerance) excess(l identifier.Limit) float64 {
	return t.Overage*(l.PerSecond*t.Window.Seconds()+l.Burst) + t.Slack
}

// leaseLimit returns how many operations an account may lease in a window.
func (t Tolerance) leaseLimit(l identifier.Limit) float64 {
	return max(1, l.PerSecond*t.Window.Seconds()+l.Burst+excessLeaseFraction*t.excess(l))
}

// burst returns the maximum balance of an account.
func (t Tolerance) burst(l identifier.Limit) float64 {
	return max(1, l.Burst+excessBurstFraction*t.excess(l))
}

// decayed returns what remains of n after a time, given its half-life.
func decayed(n float64, elapsed, halfLife time.Duration) float64 {
	return n * math.Exp2(-float64(max(0, elapsed))/float64(halfLife))
}
