package accountant

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/reserver"
	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// minCountedWait is the least wait for a lease that is counted: one round trip between regions
	// is part of every lease.
	minCountedWait = 50 * time.Millisecond
	// withheldInterval is how often what is withheld is counted. A count is for at most twice that
	// time, since a paused process withholds nothing.
	withheldInterval = time.Second

	// CauseUnanswered is the cause of a refusal if no accountant has told this instance a rate. It
	// is a stable name in log lines and counts.
	CauseUnanswered = "no-accountant-reply"
	// The causes of the other counts.
	causeLimit  = "limit"
	causeSilent = "silent-instances"
	causeUnseen = "unseen-instances"
)

// limitedCause returns the cause of a refusal by a limit.
func limitedCause(r reserver.Refusal) string {
	if !r.Known {
		return CauseUnanswered
	}
	return r.Balance.Cause.String()
}

// recordWithheld counts what this instance, if it is the accountant, withholds of the limits.
func (a *Accountant) recordWithheld(now tracker.Timestamp) {
	elapsed := now - a.withheldAt
	if elapsed < withheldInterval {
		return
	}
	a.withheldAt = now
	if !a.isAccountant {
		return
	}
	for _, w := range a.Ledger.Withheld(now) {
		for cause, n := range withheldOperations(w, min(elapsed, 2*withheldInterval)) {
			a.Tabulator.Add(now, tabulator.Key{Customer: w.Customer, Class: tabulator.ClassUnknown, Kind: tabulator.Withheld, Cause: cause}, n)
		}
	}
}

// withheldOperations returns how many operations of a limit are withheld over a time, by cause.
func withheldOperations(w limiter.Withheld, over time.Duration) map[string]float64 {
	operations := w.PerSecond * over.Seconds()
	return map[string]float64{causeSilent: w.Silent * operations, causeUnseen: w.Unseen * operations}
}

// Schedules returns the accounts that this instance keeps, none if it isn't the accountant.
func (a *Accountant) Schedules() []limiter.Schedule {
	if !a.keepsAccounts.Load() {
		return nil
	}
	return a.Ledger.Schedules(a.Clock())
}
