package limiter

import (
	"maps"
	"slices"
)

type (
	// Schedule explains an account to operators.
	Schedule struct {
		Balance
		// Pace is the refill rate in operations per second, PaceByClass its division by class.
		Pace        float64
		PaceByClass Rates
		Withheld    Withheld
		// Waiting is the number of operations that got no token with the last reports.
		Waiting int
	}

	// Withheld is the part of a customer's limit that is withheld for other instances.
	Withheld struct {
		Customer  string
		PerSecond float64
		// Fraction is the withheld fraction of the limit: Silent for instances that have stopped
		// reporting here, Unseen for those that have not reported here.
		Fraction, Silent, Unseen float64
		// SilentInstances are the instances that count for Silent, in order, UnseenInstances the
		// number of those that count for Unseen.
		SilentInstances []string
		UnseenInstances int
	}
)

// Schedules returns the state of all accounts at now.
func (l *Ledger) Schedules(now Timestamp) []Schedule {
	balances := l.Balances(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fleet := l.fleetStatus(now)
	var list []Schedule
	for _, b := range balances {
		if a, ok := l.accounts[b.Customer]; ok && b.Limit.Limited() {
			list = append(list, a.schedule(now, b, fleet))
		}
	}
	return list
}

// Withheld returns what is withheld of each limit at now. Unlike Schedules, it doesn't refill the
// accounts.
func (l *Ledger) Withheld(now Timestamp) []Withheld {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fleet := l.fleetStatus(now)
	var list []Withheld
	for name, a := range l.accounts {
		if !a.limit.Limited() {
			continue
		}
		if w := a.withheld(now, fleet); w.Fraction > 0 {
			w.Customer, w.PerSecond = name, a.limit.PerSecond
			list = append(list, w)
		}
	}
	return list
}

func (a *account) schedule(now Timestamp, b Balance, fleet fleetStatus) Schedule {
	s := Schedule{Balance: b, Pace: a.smoothedPace, PaceByClass: DividePace(a.smoothedPace, a.classDemands(now)), Withheld: a.withheld(now, fleet)}
	s.Withheld.Customer, s.Withheld.PerSecond = b.Customer, a.limit.PerSecond
	for _, x := range a.shares {
		if now-x.lastReport < waitersTTL {
			s.Waiting += x.waiting.Total()
		}
	}
	return s
}

// withheld divides the withheld part of the limit by its cause.
func (a *account) withheld(now Timestamp, fleet fleetStatus) Withheld {
	w := Withheld{Fraction: a.reservedFraction(now, fleet), UnseenInstances: fleet.unseenInitial + fleet.unseenJoined + fleet.unseenRestarted}
	silent := map[string]bool{}
	for name, x := range a.shares {
		if x.unreachable(now) && !x.dead {
			silent[name] = true
			w.Silent += a.countedRate(x, fleet) / a.limit.PerSecond
		}
	}
	for name, r := range fleet.silent {
		if _, ok := a.shares[name]; !ok {
			silent[name] = true
			w.Silent += fleet.part(r.fresh)
		}
	}
	w.Silent = min(w.Silent, w.Fraction)
	w.Unseen = w.Fraction - w.Silent
	w.SilentInstances = slices.Sorted(maps.Keys(silent))
	return w
}
