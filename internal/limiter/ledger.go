package limiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
)

type (
	// Ledger keeps the customers' accounts, on the instance that is their accountant. Set the
	// exported fields before use; its methods may be called from any goroutine.
	Ledger struct {
		Tolerance Tolerance
		// Run tells the lives of this instance apart; it rises each time that accounts are
		// opened.
		Run uint64
		// Expected, when set, lists the instances that run operations. What one may run that
		// doesn't report here is withheld: it may be cut off, or report to another that takes
		// itself for the accountant. So several of them share the limits, whatever they know
		// of each other.
		Expected func() []string

		// began is when this instance became the accountant, earlier who ran operations then.
		began   Stamp
		earlier map[string]bool
		// succeeds is set where a reporter knows of an accountant before this one, which may
		// still keep accounts for others.
		succeeds  bool
		mutex     sync.Mutex
		accounts  map[string]*account
		reporters map[string]*reporter
	}

	// reporter is an instance that reports.
	reporter struct {
		run, number uint64
		heard       Stamp
		// expected is set where it is one of the expected instances.
		expected bool
		// free is from when the accountant before withholds what this instance may run.
		free Stamp
		// told is set once it has told what it ran before these accounts began, left once it
		// reports to another.
		told, left bool
	}

	// account is one customer's.
	account struct {
		limit identifier.Limit
		// used is what was run in the window, by reports.
		used window
		// flow is what may be run now by the rate, leases included; it is below 0 when more
		// was run.
		flow  float64
		at    Stamp
		parts map[string]*part
		// inherited are the parts that reporters were told before these accounts began.
		inherited map[*reporter]float64
	}

	// part is an instance's part in an account.
	part struct {
		*reporter
		// leased may be run until a moment. assumed were leased, and count as used since a
		// moment as nothing was heard of them.
		leased, assumed  int
		until, assumedAt Stamp
		// demand is how many operations a second were asked for at a moment.
		demand float64
		told   Stamp
		// isolatedRate is what the instance may run a second while it is cut off.
		isolatedRate float64
	}

	// Balance is an account as operators see it.
	Balance struct {
		Customer string
		Limit    identifier.Limit
		// Used is what was run in the window; Available may be leased now, Leased is.
		Used, Available, Leased float64
		// Demand is how many operations a second all instances were asked for.
		Demand    float64
		Instances int
	}
)

// Begin opens the accounts of all customers, when this instance takes itself for their
// accountant; others may have before.
func (l *Ledger) Begin(now Stamp, limits map[string]identifier.Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range l.reporters {
		if now-r.heard < Slots*slotTime {
			return
		}
	}
	l.open(now)
	for name, limit := range limits {
		if limit.Limited() {
			l.account(now, name, limit, absence{})
		}
	}
}

func (l *Ledger) open(now Stamp) {
	l.accounts, l.reporters, l.earlier, l.began = map[string]*account{}, map[string]*reporter{}, map[string]bool{}, now
	l.succeeds = false
	l.Run++
}

// Take takes a report in and answers it. limits returns a customer's limit; one that has none
// is not answered for.
func (l *Ledger) Take(now Stamp, r Report, limits func(customer string) identifier.Limit) Answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.accounts == nil {
		l.open(now)
	}
	from, ok := l.reporters[r.Instance]
	if !ok {
		from = &reporter{}
		l.reporters[r.Instance] = from
	}
	gap := now - from.heard
	from.heard = now
	again := from.run == r.Run && r.Number <= from.number
	if ok && from.run != r.Run {
		l.ended(now, r.Instance)
	}
	if !again {
		from.run, from.number = r.Run, r.Number
	}
	from.left = r.Leaves
	away := l.away(now)
	answer := Answer{Run: l.Run}
	if !from.told && !r.New {
		// It has not noticed that these accounts are new, and will tell what ran before.
		return answer
	}
	inherits := !from.told
	if inherits {
		gap = now // nothing was told here before
	}
	if inherits && r.Unheard > 0 {
		from.free = now + silentAfter - min(silentAfter, r.Unheard)
		l.succeeds = true
	}
	for _, s := range r.Spendings {
		limit := limits(s.Customer)
		if !limit.Limited() {
			continue
		}
		a := l.account(now, s.Customer, limit, away)
		if inherits && s.Told {
			a.inherited[from] = s.Part
		}
		if again {
			s.Used = nil
		}
		if r.New && !again {
			a.remember(now, s.Before, gap)
		}
		a.useLate(now, s.Used, gap-silentAfter)
		answer.Allowances = append(answer.Allowances, a.take(now, r.Instance, from, s, l.Tolerance, away, len(l.reporters)))
	}
	from.told = from.told || r.New
	if r.Leaves {
		l.left(r.Instance)
	}
	return answer
}

// ended takes in that an instance has started again: what it had leased may have been run.
func (l *Ledger) ended(now Stamp, instance string) {
	for _, a := range l.accounts {
		if p, ok := a.parts[instance]; ok {
			a.use(now, p.leased)
			p.leased, p.assumed = 0, 0
		}
	}
}

// left takes in that an instance reports to another, which shares out its part.
func (l *Ledger) left(instance string) {
	for _, a := range l.accounts {
		if p, ok := a.parts[instance]; ok {
			p.leased = 0
		}
	}
}

func (l *Ledger) account(now Stamp, customer string, limit identifier.Limit, away absence) *account {
	a, ok := l.accounts[customer]
	if !ok {
		a = &account{flow: freshPart * l.Tolerance.burst(limit), at: now, parts: map[string]*part{}, inherited: map[*reporter]float64{}}
		l.accounts[customer] = a
	}
	a.limit = limit
	a.advance(now, l.Tolerance, away)
	return a
}

// advance brings an account to a moment.
func (a *account) advance(now Stamp, t Tolerance, away absence) {
	for name, p := range a.parts {
		if p.leased > 0 && now > p.until {
			// Whoever leased them has been cut off or is gone: they may have been run.
			a.use(now, p.leased)
			p.assumed, p.assumedAt = p.assumed+p.leased, now
			p.leased = 0
		}
		if now-p.heard > forgottenAfter && !slices.Contains(away.silent, name) {
			delete(a.parts, name)
		}
	}
	left := 1 - a.withheld(now, away)
	a.flow = min(left*t.burst(a.limit), a.flow+left*t.rate(a.limit)*(now-a.at).Seconds())
	a.at = now
}

// use takes in that operations were run.
func (a *account) use(now Stamp, n int) {
	a.used.add(now, n)
	a.flow -= float64(n)
}

// useLate takes in what was run until now, by slots. What ran in the last part of the time was
// withheld already, while the instance was silent.
func (a *account) useLate(now Stamp, used []int, withheld time.Duration) {
	a.used.addList(now, used)
	for i, n := range used {
		if slotAge(used, i) >= withheld {
			a.flow -= float64(n)
		}
	}
}

// remember takes in what an instance has reported to others since it was heard here.
func (a *account) remember(now Stamp, before []int, unheard time.Duration) {
	for i, n := range before {
		age := slotAge(before, i)
		if age >= unheard {
			continue
		}
		a.used.add(now-age, n)
		if age < time.Second {
			a.flow -= float64(n)
		}
	}
}

// available is what may be leased now.
func (a *account) available(now Stamp, t Tolerance, away absence) float64 {
	leased := a.leased()
	most := t.most(a.limit) * (1 - a.withheld(now, away))
	return min(a.flow, most-float64(a.used.sum(now))) - leased
}

// now is the demand at the instance: that of one that is cut off goes on as it was.
func (p *part) now(now Stamp) float64 {
	if p.away(now) {
		return p.demand
	}
	return decayed(p.demand, now-p.told, demandHalf)
}

// demand is what all instances were asked for a second.
func (a *account) demand(now Stamp) float64 {
	var sum float64
	for _, p := range a.parts {
		sum += p.now(now)
	}
	return sum
}

// leased is what all instances have leased.
func (a *account) leased() float64 {
	var sum float64
	for _, p := range a.parts {
		sum += float64(p.leased)
	}
	return sum
}

func (a *account) take(now Stamp, instance string, from *reporter, s Spending, t Tolerance, away absence, reporters int) Allowance {
	p, ok := a.parts[instance]
	if !ok {
		p = &part{reporter: from}
		a.parts[instance] = p
	}
	if p.assumed > 0 {
		// It has told what it ran of them.
		a.used.add(p.assumedAt, -p.assumed)
		a.flow += float64(p.assumed)
		p.assumed = 0
	}
	p.leased, p.told, p.demand = s.Held, now, s.Demand
	available := a.available(now, t, away)
	share := 1.0
	if all := a.demand(now); all > 0 {
		share = p.demand / all
	}
	x := Allowance{Customer: s.Customer, Tight: available < tightPart*t.burst(a.limit)+untoldEach*float64(reporters)}
	p.isolatedRate = a.isolatedRate(p, away, share)
	x.Part = p.isolatedRate
	// What waits now may take all there is; what may come, the instance's part of it. An
	// operation that may not come is leased to nobody: dozens of instances with one each
	// would hold all that a small customer has.
	wanted := float64(s.Waiting) + math.Floor(s.Demand*leaseAhead.Seconds()) - float64(s.Held)
	x.Tokens = max(0, int(min(available, max(share*available, float64(s.Waiting)), wanted)))
	if x.Tokens < s.Waiting {
		x.Again = comeBack((float64(s.Waiting-x.Tokens) - (available - float64(x.Tokens))) / t.rate(a.limit))
	}
	p.leased, p.until = p.leased+x.Tokens, now+leaseTime+leaseGrace
	if p.leased == 0 && s.Demand < leastDemand {
		delete(a.parts, instance)
	}
	return x
}

// leastDemand is the demand a second below which an instance counts as not asked.
const leastDemand = 0.02

// comeBack bounds when a caller is to come back.
func comeBack(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), shortestAgain), longestAgain)
}

// Balances returns the accounts as they are.
func (l *Ledger) Balances(now Stamp) []Balance {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []Balance
	away := l.away(now)
	for name, a := range l.accounts {
		a.advance(now, l.Tolerance, away)
		list = append(list, Balance{
			Customer: name, Limit: a.limit, Used: float64(a.used.sum(now)), Available: a.available(now, l.Tolerance, away),
			Leased: a.leased(), Demand: a.demand(now), Instances: len(a.parts),
		})
	}
	return list
}
