package limiter

import (
	"slices"
	"time"
)

const (
	// evenShareFraction is the fraction of the limit that isolated instances share evenly,
	// whatever their demand: a partition also moves callers to other instances, and instances
	// without an assigned fallback rate have no other share.
	evenShareFraction = 0.5
	// fallbackHeadroom is the factor by which a fallback rate may exceed the instance's recent
	// demand, if the limit allows it. The rest of the limit is left for the other instances.
	fallbackHeadroom = 1.6
	// silenceTimeout is the time without a report after which an instance may be isolated. It
	// exceeds idleReportInterval.
	silenceTimeout = 1300 * time.Millisecond
	// discoveryPeriod is the time in which a new accountant learns which instances were running
	// operations when it took over.
	discoveryPeriod = 5 * time.Second
	// pauseTimeout is the time without any report after which an accountant was paused. It exceeds
	// idleReportInterval by scheduling delays on a busy machine.
	pauseTimeout = 2 * time.Second
	// freshPeriod is how long after the start of its process an instance counts with an equal part
	// of the limit. It covers the time in which a restarted fleet agrees on an accountant.
	freshPeriod = 5 * time.Second
	// deathPeriod is how long an observed death is valid. It must be observed again by then: an
	// instance that has restarted may be isolated, and run operations.
	deathPeriod = 2 * time.Second
)

// fleetStatus counts the expected instances by whether they report to this accountant.
type fleetStatus struct {
	now Timestamp
	// expected is the number of expected instances.
	expected int
	// seenParts is the sum of the parts of expected instances that have reported here,
	// predecessorParts of those among them whose fallback rates the previous accountant reserves.
	seenParts, predecessorParts float64
	// restarted counts the instances that have reported here and whose process had just started,
	// notRestarted the others that have.
	restarted, notRestarted int
	// handedOver counts the reporters that the previous accountant had given up when they reported
	// here first.
	handedOver int
	// hasPredecessor is set if another accountant may still serve the missing instances.
	hasPredecessor bool
	// silent holds the instances that have reported here and may be isolated now. The others have
	// never reported here: unseenInitial ran operations when the accounts were opened, and
	// unseenJoined were added later. None of these includes instances that are known to be dead.
	silent                      map[string]*reporter
	unseenInitial, unseenJoined int
	// unseenRestarted counts those that were dead and may have started since.
	unseenRestarted int
}

// evenPart returns the part of a limit that an instance may run without an assigned fallback rate.
func (f fleetStatus) evenPart() float64 { return evenShareFraction * f.equalPart() }

// equalPart returns the part of a limit that counts for an instance whose process has just started.
func (f fleetStatus) equalPart() float64 { return 1 / float64(max(1, f.expected)) }

// part returns the least part of a limit that all accountants count for an instance. A process that
// has just started can't have a fallback rate from before. All accountants count an equal part for
// it, so that after a restart of all instances the sides of a partition have parts in proportion to
// their instances, without knowing what was assigned on the other side.
func (f fleetStatus) part(fresh bool) float64 {
	if fresh {
		return f.equalPart()
	}
	return f.evenPart()
}

// countedRate returns the operations per second that the accounts count for an instance.
func (a *account) countedRate(s *instanceShare, fleet fleetStatus) float64 {
	if s.fresh && s.expected {
		return max(s.fallbackRate, fleet.equalPart()*a.limit.PerSecond)
	}
	return s.fallbackRate
}

// openAfterPause opens the accounts if there are none, and anew after a time without any report. All
// expected instances report more often, this one included, so this process was paused meanwhile.
// Reports that arrived during the pause would make instances appear to report that have another
// accountant by now, and the balance would have been refilled beside that one's. The earlier accounts
// count as those of a predecessor.
func (l *Ledger) openAfterPause(now Timestamp) {
	switch {
	case l.accounts == nil:
		l.open(now)
	case now-l.handledAt > pauseTimeout:
		l.open(now)
		l.hasPredecessor = true
	}
	l.handledAt = now
}

// RecordDeath records that no process of an instance is running: its address refuses connections,
// or its record in the store is gone. Nothing is reserved for it for deathPeriod. After that at least
// an equal part is, since a process that has started meanwhile counts with that elsewhere, and its
// former fallback rate, since another accountant to which it reports now may have known that, too.
// Its leases stay reserved until they expire. first is set unless the death was known.
func (l *Ledger) RecordDeath(now Timestamp, instance string) (first bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.deaths == nil {
		l.deaths = map[string]Timestamp{}
	}
	first = !l.dead(now, instance)
	l.deaths[instance] = now
	if r, ok := l.reporters[instance]; ok {
		r.fresh = true
	}
	return first
}

// RecordAlive records that an instance has answered a probe without a report: it may run operations
// that it reports to another accountant.
func (l *Ledger) RecordAlive(now Timestamp, instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.dead(now, instance) {
		l.deaths[instance] = now - deathPeriod - 1
	}
}

// Missing returns the instances for which a part of the limits may be withheld: the expected ones
// that have not reported recently, and other reporters that have become silent.
func (l *Ledger) Missing(now Timestamp) (instances []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.accounts == nil || l.ExpectedInstances == nil {
		return nil
	}
	expected := l.ExpectedInstances()
	for _, name := range expected {
		if r, ok := l.reporters[name]; !ok || r.unreachable(now) {
			instances = append(instances, name)
		}
	}
	for name, r := range l.reporters {
		if r.unreachable(now) && now-r.lastReport <= reporterExpiry && !slices.Contains(expected, name) {
			instances = append(instances, name)
		}
	}
	return instances
}

// dead reports whether an instance is known to be dead.
func (l *Ledger) dead(now Timestamp, instance string) bool {
	at, ok := l.deaths[instance]
	return ok && now-at <= deathPeriod
}

// fleetStatus determines which expected instances report to this accountant.
func (l *Ledger) fleetStatus(now Timestamp) fleetStatus {
	if l.ExpectedInstances == nil {
		return fleetStatus{}
	}
	for name, r := range l.reporters {
		r.expected, r.dead = false, l.dead(now, name)
	}
	expected := l.ExpectedInstances()
	fleet := fleetStatus{now: now, expected: len(expected), hasPredecessor: l.hasPredecessor, silent: map[string]*reporter{}}
	for _, name := range expected {
		if now-l.openedAt < discoveryPeriod {
			l.initialInstances[name] = true
		}
		// What an instance has run and may run is unknown until it is synced. Counting it as seen
		// would let those that sync first use the window of the others.
		r, ok := l.reporters[name]
		ok = ok && r.synced
		if ok {
			r.expected = true
			fleet.seenParts += fleet.part(r.fresh)
			if r.handedOver {
				fleet.handedOver++
			}
			if r.freshAtSync {
				fleet.restarted++
			} else {
				fleet.notRestarted++
			}
		}
		_, diedBefore := l.deaths[name]
		switch {
		case (!ok || r.unreachable(now)) && l.dead(now, name):
		case !ok && diedBefore:
			fleet.unseenRestarted++
		case !ok && l.initialInstances[name]:
			fleet.unseenInitial++
		case !ok:
			fleet.unseenJoined++
		case r.unreachable(now):
			fleet.silent[name] = r
		}
		if ok && now >= r.reservedFrom {
			fleet.predecessorParts += fleet.part(r.freshAtSync)
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
		if s.unreachable(now) && !s.dead {
			sum += a.countedRate(s, fleet)
		}
	}
	return min(1, sum/a.limit.PerSecond)
}

// releaseInitial adds to the balance the part of the initial balance that is not withheld any more.
// Without it, an account that is opened before all instances have reported, as after a restart of
// all of them, would begin with the part of the first reporter only. Where a previous accountant may
// still serve others, only the parts of instances that it has given up are added: it may have spent
// the burst on those that it serves.
func (a *account) releaseInitial(now Timestamp, unreserved float64, t Tolerance, fleet fleetStatus) {
	if fleet.hasPredecessor && fleet.unseenInitial > 0 {
		unreserved = min(unreserved, float64(fleet.handedOver)*fleet.equalPart())
	}
	if target := unreserved * initialBurstFraction * t.burst(a.limit); target > a.released && now-a.openedAt <= discoveryPeriod {
		a.tokens, a.released = a.tokens+target-a.released, target
	}
}

// lostUsage estimates what instances have run in the window before they restarted, which nobody
// reports to an accountant that has opened its accounts since: what the others have run in the mean.
// An accountant that restarts under load would otherwise lease its own earlier usage a second time.
func (a *account) lostUsage(now Timestamp, fleet fleetStatus) float64 {
	age := now - a.openedAt
	if fleet.notRestarted == 0 || age >= WindowSlots*slotTime {
		return 0
	}
	return float64(a.inherited*fleet.restarted) / float64(fleet.notRestarted) * (1 - age.Seconds()/(WindowSlots*slotTime).Seconds())
}

func sumCounts(counts []int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// unknownRate returns an upper bound of the operations per second of instances that have not
// reported the customer here. All fallback rates add up to at most the limit, so those that the
// previous accountant assigned to the missing instances are at most the limit less those of the
// others. Without a previous accountant, each may run an equal part of the limit.
func (a *account) unknownRate(fleet fleetStatus) float64 {
	unassigned, restarted := float64(fleet.unseenJoined)*fleet.evenPart(), float64(fleet.unseenRestarted)*fleet.equalPart()
	for name, r := range fleet.silent {
		if _, ok := a.shares[name]; !ok {
			unassigned += fleet.part(r.fresh)
		}
	}
	var inherited float64
	switch {
	case fleet.hasPredecessor && fleet.unseenInitial > 0:
		// The rest of the limit covers the instances that have restarted, too.
		inherited = max((float64(fleet.unseenInitial)*fleet.evenPart()+restarted)*a.limit.PerSecond, a.limit.PerSecond-a.predecessorReservedRate(fleet))
	case fleet.unseenInitial > 0:
		inherited = (float64(fleet.unseenInitial)*fleet.equalPart() + restarted) * a.limit.PerSecond
	default:
		inherited = restarted * a.limit.PerSecond
	}
	return min(a.limit.PerSecond, unassigned*a.limit.PerSecond+inherited)
}

// predecessorReservedRate returns the operations per second that the previous accountant reserves
// for instances that report here now.
func (a *account) predecessorReservedRate(fleet fleetStatus) float64 {
	var sum float64
	unassigned := fleet.predecessorParts
	for r, rate := range a.predecessorRates {
		if fleet.now < r.reservedFrom {
			continue
		}
		if r.expected {
			part := fleet.part(r.freshAtSync)
			unassigned -= part
			if r.freshAtSync {
				rate = max(rate, part*a.limit.PerSecond)
			}
		}
		sum += rate
	}
	return sum + max(0, unassigned)*a.limit.PerSecond
}

// fallbackRate returns an instance's fallback rate in operations per second: an even share, or
// more according to its demand while all fallback rates stay within the limit.
func (a *account) fallbackRate(s *instanceShare, fleet fleetStatus, demandShare float64) float64 {
	var evenShare float64
	if s.expected {
		evenShare = evenShareFraction * a.limit.PerSecond / float64(fleet.expected)
	}
	remaining := a.limit.PerSecond - a.assignedRate(s, fleet) - a.unknownRate(fleet) - a.unassignedRate(fleet)
	wanted := min(demandShare*a.limit.PerSecond, fallbackHeadroom*s.demand)
	return max(evenShare, min(wanted, remaining))
}

// unassignedRate returns the parts of expected instances that report here and have no fallback
// rate for this customer.
func (a *account) unassignedRate(fleet fleetStatus) float64 {
	parts := fleet.seenParts
	for _, s := range a.shares {
		if s.expected {
			parts -= fleet.part(s.fresh)
		}
	}
	return max(0, parts) * a.limit.PerSecond
}

// assignedRate returns the sum of the other instances' rates.
func (a *account) assignedRate(except *instanceShare, fleet fleetStatus) float64 {
	var sum float64
	for _, s := range a.shares {
		if s != except {
			sum += a.countedRate(s, fleet)
		}
	}
	return sum
}
