package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
)

type (
	// Ledger keeps the customers' accounts on the accountant. Set the exported fields before use;
	// its methods are safe for concurrent use.
	Ledger struct {
		Tolerance Tolerance
		// Incarnation identifies the incarnation of the accounts; it increases each time they are
		// opened.
		Incarnation uint64
		// ExpectedInstances, when set, lists the instances that run operations. The fallback rates
		// of those that don't report here are reserved: an instance may be isolated or report to
		// another accountant. So several accountants share the limits without coordination.
		ExpectedInstances func() []string

		// openedAt is when the accounts were opened, initialInstances which instances ran
		// operations then.
		openedAt         Timestamp
		initialInstances map[string]bool
		// hasPredecessor is set if an instance has reported to an earlier accountant, which may
		// still serve others.
		hasPredecessor bool
		// handledAt is when the last report was handled.
		handledAt Timestamp
		mutex     sync.Mutex
		accounts  map[string]*account
		reporters map[string]*reporter
		// deaths holds when instances that have not reported since were last known to be dead.
		deaths map[string]Timestamp
	}

	// reporter is an instance that reports here.
	reporter struct {
		incarnation, sequence uint64
		lastReport            Timestamp
		// expected is set for an instance that ExpectedInstances lists, dead for one that is known to
		// be dead.
		expected, dead bool
		// reservedFrom is when the previous accountant starts to reserve the instance's fallback
		// rates.
		reservedFrom Timestamp
		// synced is set once it has reported its usage from before the accounts were opened,
		// hasLeft once it reports to another accountant.
		synced, hasLeft bool
		// fresh is set if its process had run for less than freshPeriod at the last report,
		// freshAtSync if it had at the report that set synced.
		fresh, freshAtSync bool
		// handedOver is set if the previous accountant had given it up when it reported here first.
		handedOver bool
	}

	// account is one customer's token bucket and usage.
	account struct {
		limit identifier.Limit
		// used counts the reported operations of the window.
		used *history
		// tokens is the balance of the token bucket before outstanding leases, as of updatedAt;
		// negative after an overrun.
		tokens    float64
		updatedAt Timestamp
		// released is the part of the initial balance that was added to tokens since openedAt.
		released float64
		openedAt Timestamp
		// inherited counts the operations from before the accounts were opened that instances have
		// reported.
		inherited int
		shares    map[string]*instanceShare
		// smoothedPace is the moving average of the refill rate per second, throttledAt when fewer
		// tokens were leased than operations waited, 0 if never.
		smoothedPace float64
		// reserve is the part of the tokens that is left for the most urgent class.
		reserve float64
		// demandSum is the demand of all instances by class as of summedAt.
		demandSum   Rates
		summedAt    Timestamp
		throttledAt Timestamp
		// predecessorRates are the fallback rates that the previous accountant assigned.
		predecessorRates map[*reporter]float64
	}

	// instanceShare is one instance's leases and demand in an account.
	instanceShare struct {
		*reporter
		// leased tokens are valid until leasedUntil. assumedUsed are expired leases that count as
		// used since assumedAt, until a report contains the actual usage.
		leased, assumedUsed    int
		leasedUntil, assumedAt Timestamp
		// demand is the requested operations per second as of demandAt, classDemand the same by
		// class.
		demand      float64
		classDemand Rates
		demandAt    Timestamp
		// waiting is the number of operations that waited at the last report and got no token.
		waiting Counts
		// fallbackRate is the instance's rate in operations per second while it is isolated.
		fallbackRate float64
	}

	// Balance is an account's state for operators.
	Balance struct {
		Customer string
		Limit    identifier.Limit
		// Used is the window's usage, Available can be leased now, Leased is outstanding.
		Used, Available, Leased float64
		// Demand is the requested operations per second on all instances.
		Demand    float64
		Instances int
	}
)

// Open opens new accounts when this instance becomes the accountant. It keeps the old ones if
// they have received reports within the window.
func (l *Ledger) Open(now Timestamp, limits map[string]identifier.Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range l.reporters {
		if now-r.lastReport < WindowSlots*slotTime {
			return
		}
	}
	l.open(now)
	for name, limit := range limits {
		if limit.Limited() {
			l.account(now, name, limit, l.fleetStatus(now))
		}
	}
}

// open replaces all accounts by empty ones.
func (l *Ledger) open(now Timestamp) {
	l.accounts, l.reporters, l.initialInstances, l.openedAt = map[string]*account{}, map[string]*reporter{}, map[string]bool{}, now
	l.hasPredecessor, l.handledAt = false, now
	l.Incarnation++
}

// HandleReport processes a report and returns the reply. limitOf returns a customer's limit; the
// reply omits customers without one.
func (l *Ledger) HandleReport(now Timestamp, r Report, limitOf func(customer string) identifier.Limit) Reply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.openAfterPause(now)
	from, ok := l.reporters[r.Instance]
	if !ok {
		from = &reporter{}
		l.reporters[r.Instance] = from
	}
	sinceLast := now - from.lastReport
	from.lastReport = now
	duplicate := from.incarnation == r.Incarnation && r.Sequence <= from.sequence
	if ok && from.incarnation != r.Incarnation {
		l.instanceRestarted(now, r.Instance)
	}
	if !duplicate {
		from.incarnation, from.sequence = r.Incarnation, r.Sequence
	}
	from.hasLeft = r.Final
	from.fresh = r.UpTime > 0 && r.UpTime < freshPeriod
	delete(l.deaths, r.Instance)
	firstSync := !from.synced && r.NewAccountant
	if firstSync {
		sinceLast = now // nothing was reported here before
		from.synced, from.freshAtSync = true, from.fresh
		from.handedOver = r.SincePredecessorAck == 0 || r.SincePredecessorAck >= silenceTimeout
		if r.SincePredecessorAck > 0 {
			from.reservedFrom = now + silenceTimeout - min(silenceTimeout, r.SincePredecessorAck)
			l.hasPredecessor = true
		}
	}
	fleet := l.fleetStatus(now)
	reply := Reply{Incarnation: l.Incarnation}
	if !from.synced {
		// The instance will resend with its past usage once it sees the new incarnation.
		return reply
	}
	for _, s := range r.Usages {
		limit := limitOf(s.Customer)
		if !limit.Limited() {
			continue
		}
		a := l.account(now, s.Customer, limit, fleet)
		if firstSync && s.HasFallbackRate {
			a.predecessorRates[from] = s.FallbackRate
		}
		if duplicate {
			s.Used = nil
		}
		if r.NewAccountant && !duplicate {
			a.addPastUsage(now, s.PastUsed, sinceLast)
			if firstSync {
				a.inherited += sumCounts(s.PastUsed) + sumCounts(s.Used)
			}
		}
		a.consumeReported(now, s.Used, sinceLast-silenceTimeout)
		reply.Grants = append(reply.Grants, a.grant(now, r.Instance, from, s, l.Tolerance, fleet, len(l.reporters)))
	}
	if r.Final {
		l.instanceLeft(r.Instance)
	}
	return reply
}

// instanceRestarted counts the leases of an instance's previous incarnation as used.
func (l *Ledger) instanceRestarted(now Timestamp, instance string) {
	for _, a := range l.accounts {
		if s, ok := a.shares[instance]; ok {
			a.consume(now, s.leased)
			s.leased, s.assumedUsed = 0, 0
		}
	}
}

// instanceLeft drops the leases of an instance that reports to another accountant.
func (l *Ledger) instanceLeft(instance string) {
	for _, a := range l.accounts {
		if s, ok := a.shares[instance]; ok {
			s.leased = 0
		}
	}
}

// account returns a customer's account as of now, which is opened on first use.
func (l *Ledger) account(now Timestamp, customer string, limit identifier.Limit, fleet fleetStatus) *account {
	a, ok := l.accounts[customer]
	if !ok {
		a = &account{smoothedPace: limit.PerSecond, used: newHistory(l.Tolerance.Window), updatedAt: now, openedAt: now, shares: map[string]*instanceShare{}, predecessorRates: map[*reporter]float64{}}
		l.accounts[customer] = a
	}
	a.limit = limit
	a.advance(now, l.Tolerance, fleet)
	return a
}

// advance refills the token bucket and expires leases and instances.
func (a *account) advance(now Timestamp, t Tolerance, fleet fleetStatus) {
	for name, s := range a.shares {
		if s.leased > 0 && now > s.leasedUntil {
			// The instance has been isolated or removed: it may have used them.
			a.consume(now, s.leased)
			s.assumedUsed, s.assumedAt = s.assumedUsed+s.leased, now
			s.leased = 0
		}
		if _, silent := fleet.silent[name]; now-s.lastReport > reporterExpiry && !silent {
			delete(a.shares, name)
		}
	}
	a.releaseInitial(now, 1-a.reservedFraction(now, fleet), t, fleet)
	pace, elapsed := a.pace(now, t, fleet, 0), now-a.updatedAt
	a.tokens = min((1-a.reservedFraction(now, fleet))*t.burst(a.limit), a.tokens+pace*elapsed.Seconds())
	told := a.pace(now, t, fleet, paceSmoothing)
	a.smoothedPace = told + (a.smoothedPace-told)*math.Exp(-elapsed.Seconds()/paceSmoothing.Seconds())
	a.refillReserve(now, t, fleet, pace, elapsed)
	a.updatedAt = now
}

// pace returns the refill rate of the account per second, from a time ahead on.
func (a *account) pace(now Timestamp, t Tolerance, fleet fleetStatus, ahead time.Duration) float64 {
	return max(0, a.used.pace(now, t.leaseLimit(a.limit)*(1-a.reservedFraction(now, fleet))-a.totalLeased(), ahead))
}

// consume records operations as run now.
func (a *account) consume(now Timestamp, n int) {
	a.used.add(now, n)
	a.tokens -= float64(n)
}

// consumeReported records reported operations by slot. Those of the last reserved time are not
// deducted from the balance: the instance's fallback rate was reserved meanwhile.
func (a *account) consumeReported(now Timestamp, used []int, reserved time.Duration) {
	a.used.addList(now, used)
	for i, n := range used {
		if slotAge(used, i) >= reserved {
			a.tokens -= float64(n)
		}
	}
}

// addPastUsage records what an instance has reported to other accountants since its last report
// here.
func (a *account) addPastUsage(now Timestamp, past []int, sinceLastReport time.Duration) {
	for i, n := range past {
		age := slotAge(past, i)
		if age >= sinceLastReport {
			continue
		}
		a.used.add(now-age, n)
		if age < time.Second {
			a.tokens -= float64(n)
		}
	}
}

// available returns how many tokens can be leased now.
func (a *account) available(now Timestamp, t Tolerance, fleet fleetStatus) float64 {
	leased := a.totalLeased()
	maxTokens := t.leaseLimit(a.limit) * (1 - a.reservedFraction(now, fleet))
	return min(a.tokens, maxTokens-float64(a.used.sum(now))-a.lostUsage(now, fleet)) - leased
}

// currentDemand returns the instance's demand. That of an unreachable instance doesn't decay.
func (s *instanceShare) currentDemand(now Timestamp) float64 {
	if s.unreachable(now) {
		return s.demand
	}
	return decayed(s.demand, now-s.demandAt, demandHalfLife)
}

// totalDemand returns the requested operations per second on all instances.
func (a *account) totalDemand(now Timestamp) float64 {
	var sum float64
	for _, s := range a.shares {
		sum += s.currentDemand(now)
	}
	return sum
}

// totalLeased returns the outstanding leases of all instances.
func (a *account) totalLeased() float64 {
	var sum float64
	for _, s := range a.shares {
		sum += float64(s.leased)
	}
	return sum
}

// grant processes one customer's usage report and leases tokens to the instance.
func (a *account) grant(now Timestamp, instance string, from *reporter, usage Usage, t Tolerance, fleet fleetStatus, reporters int) Grant {
	s, ok := a.shares[instance]
	if !ok {
		s = &instanceShare{reporter: from}
		a.shares[instance] = s
	}
	if s.assumedUsed > 0 {
		// The report contains the actual usage.
		a.used.add(s.assumedAt, -s.assumedUsed)
		a.tokens += float64(s.assumedUsed)
		s.assumedUsed = 0
	}
	s.leased, s.demandAt, s.demand, s.classDemand = usage.UnusedTokens, now, usage.Demand, usage.classDemand()
	s.waiting, a.summedAt = Counts{}, 0
	available := a.available(now, t, fleet)
	demandShare := 1.0
	if total := a.totalDemand(now); total > 0 {
		demandShare = s.demand / total
	}
	g := Grant{Customer: usage.Customer, LeaseRequired: available < lowBalanceFraction*t.burst(a.limit)+unreportedPerInstance*float64(reporters)}
	s.fallbackRate = a.fallbackRate(s, fleet, demandShare)
	g.FallbackRate = s.fallbackRate
	// Waiting operations may take the whole balance, expected ones the instance's share of it.
	// Fractions of expected operations are not leased: one token on each of many instances would
	// exhaust a small customer's limit.
	wanted := float64(usage.Waiters) + math.Floor(usage.Demand*leaseHorizon.Seconds()) - float64(usage.UnusedTokens)
	g.Tokens = max(0, int(min(available, max(demandShare*available, float64(usage.Waiters)), wanted)))
	if g.Tokens < usage.Waiters || a.throttled(now) {
		g.Tokens, s.waiting = a.grantWaiting(now, s, usage.waiting(), available, t, fleet)
	}
	a.reserve = max(0, min(a.reserve, a.tokens-a.totalLeased()-float64(g.Tokens)))
	g.Pace = max(minPace, a.paceShare(now, s, demandShare))
	g.Withheld = a.reservedFraction(now, fleet)
	if g.Tokens < usage.Waiters {
		a.throttledAt = now
		g.RetryAfter = clampRetryAfter(float64(usage.Waiters-g.Tokens) / g.Pace)
		g.Cause = a.cause(now, t, g.Withheld, usage.Waiters)
	}
	s.leased, s.leasedUntil = s.leased+g.Tokens, now+leaseDuration+leaseGrace
	if s.leased == 0 && usage.Demand < minDemand {
		delete(a.shares, instance)
	}
	return g
}

// minDemand is the demand per second below which a customer counts as inactive on an instance.
const minDemand = 0.02

// clampRetryAfter converts seconds to a delay within minRetryAfter and maxRetryAfter.
func clampRetryAfter(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// Balances returns the current state of all accounts.
func (l *Ledger) Balances(now Timestamp) []Balance {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []Balance
	fleet := l.fleetStatus(now)
	for name, a := range l.accounts {
		a.advance(now, l.Tolerance, fleet)
		list = append(list, Balance{
			Customer: name, Limit: a.limit, Used: float64(a.used.sum(now)), Available: a.available(now, l.Tolerance, fleet),
			Leased: a.totalLeased(), Demand: a.totalDemand(now), Instances: len(a.shares),
		})
	}
	return list
}
