package limiter

import (
	"math"
	"time"
)

// throttled reports whether fewer tokens were leased than operations waited a moment ago.
func (a *account) throttled(now Timestamp) bool {
	return a.throttledAt != 0 && now-a.throttledAt < throttledPeriod
}

// classDemands returns the requested operations per second on all instances.
func (a *account) classDemands(now Timestamp) Rates {
	if a.summedAt == now {
		return a.demandSum
	}
	var sum Rates
	for _, s := range a.shares {
		d := s.classDemand
		if !s.unreachable(now) {
			d = d.decayed(now-s.demandAt, classDemandHalfLife)
		}
		for k := range d {
			sum[k] += d[k]
		}
	}
	a.demandSum, a.summedAt = sum, now
	return sum
}

// urgentClass returns the most urgent class with demand; several is set if others have demand, too.
func (a *account) urgentClass(now Timestamp) (class int, several bool) {
	class = -1
	for k, d := range a.classDemands(now) {
		switch {
		case d < minDemand:
		case class < 0:
			class = k
		default:
			return class, true
		}
	}
	return max(0, class), false
}

// refillReserve adds tokens to the part that is left for bursts of the most urgent class.
func (a *account) refillReserve(now Timestamp, t Tolerance, fleet fleetStatus, pace float64, elapsed time.Duration) {
	urgent, several := a.urgentClass(now)
	if !several {
		a.reserve = 0
		return
	}
	target := urgentReserveDeviations * math.Sqrt(a.classDemands(now)[urgent])
	a.reserve = min(a.reserve+reserveRefillFraction*pace*elapsed.Seconds(), target, urgentReserveFraction*(1-a.reservedFraction(now, fleet))*t.burst(a.limit))
}

// grantWaiting leases tokens to waiting operations of an instance and returns those that get none.
// Handles demand above the limit: operations of more urgent classes on other instances go first,
// and a reserve is left for bursts of the most urgent class.
func (a *account) grantWaiting(now Timestamp, s *instanceShare, waiting Counts, available float64, t Tolerance, fleet fleetStatus) (tokens int, rest Counts) {
	urgent, several := a.urgentClass(now)
	shared := available
	if several {
		maxTokens := t.leaseLimit(a.limit) * (1 - a.reservedFraction(now, fleet))
		shared = min(a.tokens-a.reserve, maxTokens-float64(a.used.sum(now))) - a.totalLeased()
	}
	var elsewhere Counts
	for _, other := range a.shares {
		if other != s && now-other.lastReport < waitersTTL {
			for k := range elsewhere {
				elsewhere[k] += other.waiting[k]
			}
		}
	}
	ahead := 0
	for k, n := range waiting {
		limit := available
		if k > WaiterIndex(urgent, false) {
			limit = min(available, shared)
		}
		granted := max(0, min(n, int(math.Floor(limit))-ahead-tokens))
		tokens += granted
		rest[k] = n - granted
		ahead += elsewhere[k]
	}
	return tokens, rest
}

// paceShare returns an instance's share of the pace in operations per second: of the part of each
// class, according to its demand; what no class demands is divided by total demand.
func (a *account) paceShare(now Timestamp, s *instanceShare, demandShare float64) float64 {
	demand := a.classDemands(now)
	divided := DividePace(a.smoothedPace, demand)
	share := (a.smoothedPace - divided.Total()) * demandShare
	for k, d := range divided {
		if demand[k] > 0 {
			share += d * s.classDemand[k] / demand[k]
		}
	}
	return share
}

// cause returns why fewer tokens were leased than operations wait.
func (a *account) cause(now Timestamp, t Tolerance, withheld float64, waiters int) Cause {
	needed, leased, used := float64(waiters), a.totalLeased(), float64(a.used.sum(now))
	room := t.leaseLimit(a.limit)*(1-withheld) - used
	switch {
	case withheld > 0 && min(a.tokens, room)-leased+withheld*min(t.burst(a.limit), t.leaseLimit(a.limit)) >= needed:
		return CauseWithheld
	case leased > 0 && min(a.tokens, room) >= needed:
		return CauseLeasedElsewhere
	case room < a.tokens:
		return CauseWindow
	default:
		return CausePace
	}
}
