// Package limiter bounds the operations of each customer over the whole fleet. It has no
// clock and no network: it is told what was asked, and when.
//
// Load pattern: a customer sends many times its limit, through all instances at once, while
// some of them are cut from the others, start again with nothing, or come and go. Counted by
// each instance for itself, with an even part of the limit, a customer whose callers happen
// to meet two instances of 80 is refused at a fortieth of its limit; counted by none, it
// takes what others need.
//
// One instance, the accountant, keeps the customers' accounts in a Ledger. Those that run
// operations report what they have run to it, and lease operations to run next. A lease that
// nobody reports on counts as used. A limit of rate and burst lets rate x w + burst run in any
// window w. So does the account: it leases no more than that and mostPart of the excess that
// is tolerated for the counting by many, which is called room:
//
//	run(w) <= rate x w + burst + mostPart x room + first + new + gap
//
// where first is what is run without a lease and reported afterwards, at most one operation an
// instance; new what an account without a past leases at once, freshPart x (burst + burstPart
// x room), after all that ran before has been lost with those that ran it; and gap what an
// instance runs from when it is cut off until it is missed. The rest of room is for these.
//
// An instance that can't reach the accountant goes by its part of the rate: an even one, of
// evenPart x rate, and beside it what it was asked for. All parts of an accountant are within
// the rate, and it withholds those of instances that it doesn't hear. One that takes over
// withholds what it can't know: the rate less the parts of those that have reported to it. So
// the sides of a cut share the rate whichever of them keep accounts, and
//
//	leased a second, all sides + parts of those cut off <= rate + burst / window
//
// Within the window a flow spreads what is run, so that a customer that sends many times its
// limit is served evenly and not all at once each window.
package limiter

import (
	"math"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// mostPart is the part of room that an account leases.
	mostPart = 0.25
	// burstPart is the part of room that may be run at once beside the burst.
	burstPart = 0.35
	// freshPart is the part of what may be run at once with which an account begins.
	freshPart = 0.6
	// firstPart is the part of the burst that all instances together may run of a customer
	// before they have asked an accountant for the first time.
	firstPart = 0.25
	// tightPart is the part of what may be run at once below which nobody runs anything
	// without a lease.
	tightPart = 0.25
	// untoldEach is how many operations are left beside it for each instance that reports:
	// what each may have run by itself and not told yet.
	untoldEach = 0.25
	// leaseTime is how long leased operations may be run, and leaseGrace how much longer the
	// accountant waits for the report: the way of the answer.
	leaseTime  = 2 * time.Second
	leaseGrace = 500 * time.Millisecond
	// leaseAhead is the time for which operations are leased that may come: one report later
	// than the next, which may be lost. All that is leased and not needed is missing elsewhere.
	leaseAhead = 800 * time.Millisecond
	// restInterval is how often an instance reports that runs nothing.
	restInterval = 800 * time.Millisecond
	// forgottenAfter is when an instance that has not reported is gone rather than cut off.
	forgottenAfter = 30 * time.Second
	// ReportInterval is how often an instance reports what it has run.
	ReportInterval = 500 * time.Millisecond
	// isolatedAfter is how long an instance must have got no answer until it goes by its
	// part of the limits.
	isolatedAfter = 800 * time.Millisecond
	// AskTime is how long an operation may wait for the accountant's answer: twice the way
	// between regions and back, and a busy machine.
	AskTime = 100 * time.Millisecond
	// tightFor is how long an account that was tight is taken to be so.
	tightFor = 3 * time.Second
	// refusedFor is how long the accountant is not asked again at most after it had nothing
	// to lease: a limit may be raised meanwhile.
	refusedFor = 300 * time.Millisecond
	// demandHalf is the time in which what is known of an instance's demand counts half.
	demandHalf = 2 * time.Second
	// isolatedSpan is for how much of its part an instance that is cut off may save up.
	isolatedSpan = time.Second
	// shortestAgain and longestAgain bound when a refused caller is to come back.
	shortestAgain = 50 * time.Millisecond
	longestAgain  = 5 * time.Second
)

type (
	// Stamp is a moment, as in tracker.
	Stamp = tracker.Stamp

	// Tolerance is how much more than its limit allows a customer may run in a window, since
	// many instances count.
	Tolerance struct {
		Window         time.Duration
		Overage, Slack float64
	}

	// Spending is what an instance reports of one customer.
	Spending struct {
		Customer string
		// Used is what it has run since the last report that was answered, by slots of
		// slotTime, the newest last. Before is what it had run by then: told to an accountant
		// that is new to it.
		Used, Before []int
		// Held is how many leased ones are left.
		Held int
		// Waiting is how many wait for a lease.
		Waiting int
		// Demand is how many were asked for a second, lately.
		Demand float64
		// Part is what the accountant before this one has told that the instance may run a
		// second while it is cut off; Told is set where one has.
		Part float64
		Told bool
	}

	// Report is one instance's.
	Report struct {
		// Instance is where it is reached, Run tells its lives apart.
		Instance string
		Run      uint64
		// Number rises with each report; one that comes twice counts once.
		Number uint64
		// New is set on reports to an accountant that is new to the instance.
		New bool
		// Leaves is set on the last report to an accountant.
		Leaves bool
		// Unheard, on a New report, is for how long the accountant before can't have heard of
		// the instance: it doesn't withhold the instance's parts sooner. 0 where there was none.
		Unheard   time.Duration
		Spendings []Spending
	}

	// Answer is the accountant's.
	Answer struct {
		// Run tells the accountant's lives apart: one that has started again knows nothing.
		Run        uint64
		Allowances []Allowance
	}

	// Allowance is the answer for one customer.
	Allowance struct {
		Customer string
		// Tokens is how many operations are leased beside those held, all for leaseTime after
		// the report was sent.
		Tokens int
		// Tight is set when nothing may be run without a lease.
		Tight bool
		// Part is how many operations a second the instance may run while it is cut off.
		Part float64
		// Again is when there may be more, where Tokens are fewer than waited for.
		Again time.Duration
	}
)

// room is how much more than rate and burst may run in a window.
func (t Tolerance) room(l identifier.Limit) float64 {
	return t.Overage*(l.PerSecond*t.Window.Seconds()+l.Burst) + t.Slack
}

// most is how many operations an account leases in a window.
func (t Tolerance) most(l identifier.Limit) float64 {
	return max(1, l.PerSecond*t.Window.Seconds()+l.Burst+mostPart*t.room(l))
}

// burst is how many it leases at once.
func (t Tolerance) burst(l identifier.Limit) float64 {
	return max(1, l.Burst+burstPart*t.room(l))
}

// rate is how many it leases a second in the long run: what most allows in a window.
func (t Tolerance) rate(l identifier.Limit) float64 {
	if t.Window <= 0 {
		return l.PerSecond
	}
	return l.PerSecond + l.Burst/t.Window.Seconds()
}

// decayed returns what is left of a count after a time in which it halves.
func decayed(n float64, past, half time.Duration) float64 {
	return n * math.Exp2(-float64(max(0, past))/float64(half))
}
