package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
)

// The decisions on an operation.
const (
	// Admit allows the operation.
	Admit Decision = iota
	// Refuse rejects it as over the limit.
	Refuse
	// RequestLease requires a report to the accountant before the next decision.
	RequestLease
)

// The attempts of an operation.
const (
	// FirstAttempt is the decision when the operation is requested.
	FirstAttempt Attempt = iota
	// AfterReply is a decision after a reply of the accountant.
	AfterReply
	// LastAttempt is the decision when the operation's wait has timed out.
	LastAttempt
)

type (
	// Attempt is the stage of an operation's admission.
	Attempt uint8

	// Decision is the decision on an operation.
	Decision uint8

	// Meter counts the operations that one instance runs and decides which to admit. Set the
	// exported fields before use; its methods are safe for concurrent use.
	Meter struct {
		// Instance is this instance's address, Incarnation identifies its process incarnation.
		Instance    string
		Incarnation uint64
		// StartedAt is when the process started, 0 if unknown.
		StartedAt Timestamp
		// Instances returns how many instances run operations, at least 1.
		Instances func() int
		// ReportExpected reports whether the accountant expects reports from this instance.
		ReportExpected func() bool

		mutex     sync.Mutex
		customers map[string]*customer
		sequence  uint64
		// pending is the report that awaits a reply.
		pending *Report
		// accountantIncarnation identifies the accountant that replied last, 0 before the first
		// reply. A new accountant needs the past usage.
		accountantIncarnation uint64
		// lastAcked is when the last acknowledged report was sent, unackedSince when the first
		// report after it was sent.
		lastAcked, unackedSince Timestamp
		// predecessorAcked is when the last report was sent that the previous accountant
		// acknowledged.
		predecessorAcked Timestamp
	}
)

// Decide decides on an operation of the most urgent class, as DecideClass does.
func (m *Meter) Decide(now Timestamp, name string, limit identifier.Limit, attempt Attempt) (decision Decision, retryAfter time.Duration) {
	return m.DecideClass(now, name, limit, 0, attempt)
}

// DecideClass decides on an operation of a customer. After RequestLease, the caller calls
// SetWaiters or AddWaiters, waits for the reply to a report, and calls it again. retryAfter is the
// delay after which a refused caller may retry.
func (m *Meter) DecideClass(now Timestamp, name string, limit identifier.Limit, class int, attempt Attempt) (decision Decision, retryAfter time.Duration) {
	if !limit.Limited() {
		return Admit, 0
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.customer(now, name, limit)
	if attempt == FirstAttempt {
		c.countDemand(now, class)
	}
	isolated := m.isolated(now)
	if isolated && !c.isolated {
		c.enterIsolation(m.unackedSince + isolationTimeout)
	}
	c.isolated = isolated
	c.refill(now, limit, m.Instances(), m.ReportExpected())
	switch {
	case c.tokens > 0 && now < c.leasedUntil:
		c.tokens--
	case (isolated || now >= c.leaseRequiredUntil) && c.fallbackTokens >= 1:
		// While the balance isn't low, one operation per report runs without a lease. Otherwise
		// many instances would need a round trip for most operations of small customers.
		c.fallbackTokens--
	case isolated:
		return Refuse, clampRetryAfter((1 - c.fallbackTokens) / max(c.currentFallbackRate(limit, m.Instances(), m.ReportExpected()), minDemand))
	case now < c.refuseUntil:
		return Refuse, max(c.retryAt-now, minRetryAfter)
	case attempt == LastAttempt:
		return Refuse, m.lastRetryAfter(now, c)
	default:
		return RequestLease, 0
	}
	c.unreported.add(now, 1)
	return Admit, 0
}

// lastRetryAfter returns the retry delay of an operation whose wait has timed out: until a token of
// the instance's share is due, or until the instance counts as isolated.
func (m *Meter) lastRetryAfter(now Timestamp, c *customer) time.Duration {
	if c.pace > 0 {
		return clampRetryAfter(float64(1+c.waiters.Total()) / c.pace)
	}
	return max(minRetryAfter, m.unackedSince+isolationTimeout-now)
}

// CountDemand counts a requested operation that is not decided yet, because others wait.
func (m *Meter) CountDemand(now Timestamp, name string, limit identifier.Limit, class int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.customer(now, name, limit).countDemand(now, class)
}

// Supply returns what is known of a customer's limit.
func (m *Meter) Supply(now Timestamp, name string, limit identifier.Limit) Supply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c, isolated := m.customer(now, name, limit), m.isolated(now)
	s := Supply{Rate: c.pace, Demand: c.pacedDemand, Throttled: isolated || now < c.throttledUntil}
	if isolated {
		s.Rate, s.Demand = c.currentFallbackRate(limit, m.Instances(), m.ReportExpected()), c.currentClassDemand(now)
	}
	s.Balance = InstanceBalance{Used: c.unreported.sum(now) + c.inFlight.sum(now) + c.reported.sum(now), Cause: c.cause, Withheld: c.withheld}
	if now < c.leasedUntil {
		s.Balance.Leased = c.tokens
	}
	return s
}

// Undo reverses the admission of an operation that has not run.
func (m *Meter) Undo(now Timestamp, name string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c, ok := m.customers[name]; ok {
		c.unreported.undo(now)
	}
}

// AddWaiters changes the number of operations that wait for a lease: by is 1 when one starts to
// wait and -1 when it stops.
func (m *Meter) AddWaiters(now Timestamp, name string, by int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c, ok := m.customers[name]; ok {
		c.waiters[0] = max(0, c.waiters[0]+by)
		c.requestAt = 0
	}
}

// SetWaiters sets how many operations wait for a lease, and how many refused ones were told to
// retry within the next second.
func (m *Meter) SetWaiters(now Timestamp, name string, waiters Counts, reserved int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c, ok := m.customers[name]
	if !ok {
		return
	}
	for k := range waiters {
		if waiters[k] > 0 {
			// The first of a class more urgent than those that wait is reported at once.
			if c.waiters[k] == 0 {
				c.requestAt = 0
			}
			break
		}
		if c.waiters[k] > 0 {
			break
		}
	}
	c.waiters, c.reserved = waiters, reserved
}

// isolated reports whether the accountant has not replied within isolationTimeout.
func (m *Meter) isolated(now Timestamp) bool {
	return m.unackedSince != 0 && m.unackedSince > m.lastAcked && now-m.unackedSince > isolationTimeout
}

// Due reports whether a report is due, and whether it should be sent before ReportInterval has
// passed.
func (m *Meter) Due(now Timestamp) (due, soon bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, c := range m.customers {
		used := c.unreported.sum(now) > 0 || c.relinquishes(now)
		if c.waiters.Total() > 0 && now >= c.requestAt || used && now < c.throttledUntil && m.pending == nil && now-m.lastAcked >= throttledReportInterval {
			return true, true
		}
		due = due || used
	}
	return due || now-m.lastAcked > idleReportInterval && (len(m.customers) > 0 || m.ReportExpected()), false
}

// NextRequest returns how long after now waiting operations are reported again; ok is false if none
// waits.
func (m *Meter) NextRequest(now Timestamp) (in time.Duration, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, c := range m.customers {
		if c.waiters.Total() > 0 && (!ok || c.requestAt-now < in) {
			in, ok = c.requestAt-now, true
		}
	}
	return max(0, in), ok
}

// NextReport returns the next report for the accountant. An unacknowledged report is repeated.
func (m *Meter) NextReport(now Timestamp) Report {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.unackedSince <= m.lastAcked {
		m.unackedSince = now
	}
	if m.pending != nil {
		return m.resend(now)
	}
	m.sequence++
	r := Report{Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.sequence, NewAccountant: m.accountantIncarnation == 0, SincePredecessorAck: m.sincePredecessorAck(now), UpTime: m.upTime(now)}
	for name, c := range m.customers {
		inactive := c.inactive(now)
		if !inactive && c.unreported.sum(now) == 0 && c.waiters.Total() == 0 && !c.relinquishes(now) && !(r.NewAccountant && (c.grantedAt != 0 || c.reported.sum(now) > 0)) {
			continue
		}
		s := Usage{Customer: name, Used: c.unreported.list(now), Waiters: c.waiters.Total(), Demand: c.currentDemand(now), WaitersByClass: c.waiters, DemandByClass: c.currentClassDemand(now), Reserved: c.reserved}
		if c.relinquishes(now) {
			c.tokens = 0
		}
		if now < c.leasedUntil && !inactive {
			s.UnusedTokens = c.tokens
		}
		if r.NewAccountant {
			s.PastUsed, s.FallbackRate, s.HasFallbackRate = c.reported.list(now), c.fallbackRate, c.grantedAt != 0
		}
		r.Usages = append(r.Usages, s)
		c.inFlight, c.unreported = c.unreported, window{}
		if inactive {
			delete(m.customers, name)
		}
	}
	m.pending = &r
	return r
}

// sincePredecessorAck returns the time since the previous accountant acknowledged a report, 0
// without a previous accountant.
func (m *Meter) sincePredecessorAck(now Timestamp) time.Duration {
	if m.predecessorAcked == 0 {
		return 0
	}
	return max(1, now-m.predecessorAcked)
}

// upTime returns how long the process has been running, 0 if unknown.
func (m *Meter) upTime(now Timestamp) time.Duration {
	if m.StartedAt == 0 {
		return 0
	}
	return max(1, now-m.StartedAt)
}

// HandleFinalReply records that the previous accountant has acknowledged the final report. It
// reserves this instance's fallback rates from then on, so the new one need not wait for it to
// notice the silence.
func (m *Meter) HandleFinalReply(now Timestamp) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.predecessorAcked = min(m.predecessorAcked, now-silenceTimeout)
}

// resend returns the unacknowledged report with its slots and ages updated to now.
func (m *Meter) resend(now Timestamp) Report {
	r := *m.pending
	r.SincePredecessorAck, r.UpTime = m.sincePredecessorAck(now), m.upTime(now)
	r.Usages = slices.Clone(r.Usages)
	for i := range r.Usages {
		s := &r.Usages[i]
		if c, ok := m.customers[s.Customer]; ok {
			s.Used = c.inFlight.list(now)
			if r.NewAccountant {
				s.PastUsed = c.reported.list(now)
			}
		}
	}
	return r
}

// HandleReply processes the reply to the report sent at sent. Leases count from then, so they expire
// here before they expire at the accountant.
func (m *Meter) HandleReply(sent Timestamp, r Reply) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	// A new incarnation is known once it has acknowledged the past usage.
	pastReported := m.pending != nil && m.pending.NewAccountant
	if m.pending != nil {
		m.markReported(sent)
		for _, s := range m.pending.Usages {
			if c, ok := m.customers[s.Customer]; ok {
				c.pacedDemand = s.DemandByClass
			}
		}
	}
	m.pending, m.lastAcked = nil, max(sent, m.unackedSince)
	if pastReported || m.accountantIncarnation == r.Incarnation {
		m.accountantIncarnation = r.Incarnation
	} else if m.accountantIncarnation != 0 {
		// The accountant's accounts were opened anew. Without a predecessor, it would take the
		// fallback rates of instances that it can't reach for equal parts.
		m.accountantIncarnation, m.predecessorAcked = 0, sent-silenceTimeout
	}
	for _, g := range r.Grants {
		c, ok := m.customers[g.Customer]
		if !ok {
			continue
		}
		if sent >= c.leasedUntil {
			c.tokens = 0
		}
		c.tokens, c.leasedUntil = c.tokens+g.Tokens, sent+leaseDuration
		c.grantedAt, c.fallbackRate = sent, g.FallbackRate
		c.leaseRequiredUntil = 0
		if g.LeaseRequired {
			c.leaseRequiredUntil = sent + leaseRequiredDuration
		} else {
			c.fallbackTokens = max(c.fallbackTokens, 1)
		}
		c.pace, c.cause, c.withheld = g.Pace, g.Cause, g.Withheld
		c.requestAt = 0
		if g.Cause != CauseNone {
			c.throttledUntil = sent + throttledPeriod
			c.requestAt = sent + min(max(time.Duration(float64(time.Second)/max(g.Pace, minPace)), minRequestInterval), maxRequestInterval)
		}
		c.refuseUntil = 0
		if g.RetryAfter > 0 && g.Pace == 0 {
			// The accountant runs an earlier version.
			c.refuseUntil, c.retryAt = sent+min(g.RetryAfter, refusalDuration), sent+g.RetryAfter
		}
	}
}

// SwitchAccountant switches to another accountant, which has none of this instance's usage. It
// returns the final report for the previous one.
func (m *Meter) SwitchAccountant(now Timestamp) Report {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accountantIncarnation, m.predecessorAcked = 0, m.lastAcked
	m.sequence++
	last := Report{Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.sequence, Final: true}
	for _, c := range m.customers {
		c.tokens = 0
	}
	if m.pending == nil {
		return last
	}
	for _, s := range m.pending.Usages {
		if c, ok := m.customers[s.Customer]; ok {
			c.unreported.merge(now, &c.inFlight)
			c.inFlight = window{}
		}
	}
	m.pending = nil
	return last
}

// markReported moves the operations of the acknowledged report to the reported ones.
func (m *Meter) markReported(now Timestamp) {
	for _, s := range m.pending.Usages {
		if c, ok := m.customers[s.Customer]; ok {
			c.reported.merge(now, &c.inFlight)
			c.inFlight = window{}
		}
	}
}
