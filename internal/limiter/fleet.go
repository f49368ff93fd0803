package limiter

import "time"

const (
	// evenShareFraction is the fraction of the limit that isolated instances share evenly,
	// whatever their demand: a partition also moves callers to other instances, and instances
	// without an assigned fallback rate have no other share.
	evenShareFraction = 0.5
	// fallbackHeadroom is the factor by which a fallback rate may exceed the instance's recent
	// demand, if the limit allows it.
	fallbackHeadroom = 1.6
	// silenceTimeout is the time without a report after which an instance may be isolated. It
	// exceeds idleReportInterval.
	silenceTimeout = 1300 * time.Millisecond
	// discoveryPeriod is the time in which a new accountant learns which instances were running
	// operations when it took over.
	discoveryPeriod = 5 * time.Second
)

// fleetStatus counts the expected instances by whether they report to this accountant.
type fleetStatus struct {
	now Timestamp
	// expected is the number of expected instances. reservedByPredecessor counts those that have
	// reported past usage here and whose fallback rates the previous accountant reserves.
	expected, reservedByPredecessor int
	// hasPredecessor is set if another accountant may still serve the missing instances.
	hasPredecessor bool
	// silent lists instances that have reported here and may be isolated now. The others have
	// never reported here: unseenInitial ran operations when the accounts were opened, and
	// unseenJoined were added later.
	silent                      []string
	unseenInitial, unseenJoined int
}

// fleetStatus determines which expected instances report to this accountant.
func (l *Ledger) fleetStatus(now Timestamp) fleetStatus {
	if l.ExpectedInstances == nil {
		return fleetStatus{}
	}
	for _, r := range l.reporters {
		r.expected = false
	}
	expected := l.ExpectedInstances()
	fleet := fleetStatus{now: now, expected: len(expected), hasPredecessor: l.hasPredecessor}
	for _, name := range expected {
		if now-l.openedAt < discoveryPeriod {
			l.initialInstances[name] = true
		}
		r, ok := l.reporters[name]
		if ok {
			r.expected = true
		}
		switch {
		case !ok && l.initialInstances[name]:
			fleet.unseenInitial++
		case !ok:
			fleet.unseenJoined++
		case r.unreachable(now):
			fleet.silent = append(fleet.silent, name)
		}
		if ok && r.synced && now >= r.reservedFrom {
			fleet.reservedByPredecessor++
		}
	}
	return fleet
}

// unreachable reports whether the instance may be isolated or report to another accountant.
func (r *reporter) unreachable(now Timestamp) bool {
	return r.hasLeft || now-r.lastReport > silenceTimeout
}

// reservedFraction returns the fraction of the limit reserved for unreachable instances, which
// admit operations at their assigned fallback rates, or else at an even share.
func (a *account) reservedFraction(now Timestamp, fleet fleetStatus) float64 {
	sum := a.unknownRate(fleet)
	for _, s := range a.shares {
		if s.unreachable(now) {
			sum += s.fallbackRate
		}
	}
	return min(1, sum/a.limit.PerSecond)
}

// unknownRate returns an upper bound of the operations per second of instances that have not
// reported the customer here. All fallback rates add up to at most the limit, so those that the
// previous accountant assigned to the missing instances are at most the limit less those of the
// others. Without a previous accountant, each may run an equal part of the limit.
func (a *account) unknownRate(fleet fleetStatus) float64 {
	evenShare := evenShareFraction * a.limit.PerSecond / float64(max(1, fleet.expected))
	unassigned := float64(fleet.unseenJoined)
	for _, name := range fleet.silent {
		if _, ok := a.shares[name]; !ok {
			unassigned++
		}
	}
	var inherited float64
	switch {
	case fleet.hasPredecessor && fleet.unseenInitial > 0:
		inherited = max(float64(fleet.unseenInitial)*evenShare, a.limit.PerSecond-a.predecessorReservedRate(fleet, evenShare))
	case fleet.unseenInitial > 0:
		inherited = float64(fleet.unseenInitial) / float64(fleet.expected) * a.limit.PerSecond
	}
	return min(a.limit.PerSecond, unassigned*evenShare+inherited)
}

// predecessorReservedRate returns the operations per second that the previous accountant reserves
// for instances that report here now.
func (a *account) predecessorReservedRate(fleet fleetStatus, evenShare float64) float64 {
	var sum float64
	unassigned := fleet.reservedByPredecessor
	for r, rate := range a.predecessorRates {
		if fleet.now < r.reservedFrom {
			continue
		}
		sum += rate
		if r.expected {
			unassigned--
		}
	}
	return sum + evenShare*float64(max(0, unassigned))
}

// fallbackRate returns an instance's fallback rate in operations per second: an even share, or
// more according to its demand while all fallback rates stay within the limit.
func (a *account) fallbackRate(s *instanceShare, fleet fleetStatus, demandShare float64) float64 {
	var evenShare float64
	if s.expected {
		evenShare = evenShareFraction * a.limit.PerSecond / float64(fleet.expected)
	}
	remaining := a.limit.PerSecond - a.assignedRate(s) - a.unknownRate(fleet) - a.unassignedRate(fleet)
	wanted := min(demandShare*a.limit.PerSecond, fallbackHeadroom*s.demand)
	return max(evenShare, min(wanted, remaining))
}

// unassignedRate returns the even shares of expected instances that report here and have no
// fallback rate for this customer.
func (a *account) unassignedRate(fleet fleetStatus) float64 {
	n := fleet.expected - fleet.unseenInitial - fleet.unseenJoined
	for _, s := range a.shares {
		if s.expected {
			n--
		}
	}
	return evenShareFraction * a.limit.PerSecond * float64(max(0, n)) / float64(max(1, fleet.expected))
}

// assignedRate returns the sum of the other instances' fallback rates.
func (a *account) assignedRate(except *instanceShare) float64 {
	var sum float64
	for _, s := range a.shares {
		if s != except {
			sum += s.fallbackRate
		}
	}
	return sum
}
