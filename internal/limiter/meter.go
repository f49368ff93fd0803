package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
)

// Verdicts on an operation.
const (
	// Admit: it may run.
	Admit Verdict = iota
	// Refuse: it is over the limit.
	Refuse
	// Ask: the accountant must be asked first.
	Ask
)

// Turns of an operation.
const (
	// First is when it is asked for.
	First Turn = iota
	// Waiting is after an answer of the accountant's has come.
	Waiting
	// Last is when it can wait no longer.
	Last
)

type (
	// Turn says how far an operation has got.
	Turn uint8

	// Verdict is what is decided about an operation.
	Verdict uint8

	// Meter counts the operations that one instance runs, and decides which may. Set the
	// exported fields before use; its methods may be called from any goroutine.
	Meter struct {
		// Instance is where this one is reached, Run tells its lives apart.
		Instance string
		Run      uint64
		// Instances is how many instances run operations, at least 1.
		Instances func() int
		// Lends reports whether the accountant expects this instance to report.
		Lends func() bool

		mutex     sync.Mutex
		customers map[string]*customer
		number    uint64
		// sent is the report that has not been answered.
		sent *Report
		// known is the life of the accountant that has answered, 0 while none has: a new one is
		// told what ran before.
		known uint64
		// answered is when a report that was answered was sent, asked when the first one
		// since then was.
		answered, asked Stamp
		// before is when the last report was sent that the accountant before has answered.
		before Stamp
	}
)

// Decide decides about an operation of a customer. After Ask, Wait is to be called and the
// answer to a report be waited for; then it is decided anew. again is when a refused caller is
// to come back.
func (m *Meter) Decide(now Stamp, name string, limit identifier.Limit, turn Turn) (v Verdict, again time.Duration) {
	if !limit.Limited() {
		return Admit, 0
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.customer(now, name, limit)
	if turn == First {
		c.want(now)
	}
	isolated := m.isolated(now)
	if isolated && !c.isolated {
		c.isolate(m.asked + isolatedAfter)
	}
	c.isolated = isolated
	c.save(now, limit, m.Instances(), m.Lends())
	switch {
	case c.tokens > 0 && now < c.until:
		c.tokens--
	case (isolated || now >= c.tight) && c.saved >= 1:
		// Of a customer whose account is not known to be short, one operation a report is
		// told afterwards. Each of dozens of instances would ask for most operations of small
		// customers otherwise, a round trip each.
		c.saved--
	case isolated:
		return Refuse, comeBack((1 - c.saved) / max(c.rate(limit, m.Instances(), m.Lends()), leastDemand))
	case now < c.refused:
		return Refuse, max(c.more-now, shortestAgain)
	case turn == Last:
		return Refuse, shortestAgain
	default:
		return Ask, 0
	}
	c.unreported.add(now, 1)
	return Admit, 0
}

// Undo takes back an operation that was admitted and has not run.
func (m *Meter) Undo(now Stamp, name string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c, ok := m.customers[name]; ok {
		c.unreported.undo(now)
	}
}

// Wait notes that operations of a customer wait for the accountant's answer; by is 1 when one
// begins to wait and -1 when it ends.
func (m *Meter) Wait(now Stamp, name string, by int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c, ok := m.customers[name]; ok {
		c.waiting = max(0, c.waiting+by)
	}
}

// isolated reports whether the accountant has not answered for long.
func (m *Meter) isolated(now Stamp) bool {
	return m.asked != 0 && m.asked > m.answered && now-m.asked > isolatedAfter
}

// Due reports whether there is something to report, and whether that should not wait for
// ReportInterval.
func (m *Meter) Due(now Stamp) (due, soon bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, c := range m.customers {
		if c.waiting > 0 {
			return true, true
		}
		due = due || c.unreported.sum(now) > 0
	}
	return due || now-m.answered > restInterval && (len(m.customers) > 0 || m.Lends()), false
}

// Report returns what is to be sent to the accountant now: the last report again, until it is
// answered.
func (m *Meter) Report(now Stamp) Report {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.asked <= m.answered {
		m.asked = now
	}
	if m.sent != nil {
		return m.again(now)
	}
	m.number++
	r := Report{Instance: m.Instance, Run: m.Run, Number: m.number, New: m.known == 0, Unheard: m.unheard(now)}
	for name, c := range m.customers {
		ended := c.ended(now)
		if !ended && c.unreported.sum(now) == 0 && c.waiting == 0 && !(r.New && (c.told != 0 || c.ran.sum(now) > 0)) {
			continue
		}
		s := Spending{Customer: name, Used: c.unreported.list(now), Waiting: c.waiting, Demand: c.now(now)}
		if now < c.until && !ended {
			s.Held = c.tokens
		}
		if r.New {
			s.Before, s.Part, s.Told = c.ran.list(now), c.part, c.told != 0
		}
		r.Spendings = append(r.Spendings, s)
		c.sent, c.unreported = c.unreported, window{}
		if ended {
			delete(m.customers, name)
		}
	}
	m.sent = &r
	return r
}

// unheard is for how long the accountant before can't have heard of this instance, 0 where
// there was none.
func (m *Meter) unheard(now Stamp) time.Duration {
	if m.before == 0 {
		return 0
	}
	return max(1, now-m.before)
}

// again returns the report that has not been answered, with what it tells as old as it is now.
func (m *Meter) again(now Stamp) Report {
	r := *m.sent
	r.Unheard = m.unheard(now)
	r.Spendings = slices.Clone(r.Spendings)
	for i := range r.Spendings {
		s := &r.Spendings[i]
		if c, ok := m.customers[s.Customer]; ok {
			s.Used = c.sent.list(now)
			if r.New {
				s.Before = c.ran.list(now)
			}
		}
	}
	return r
}

// Answer takes in the accountant's answer to a report that was sent at a moment. Leases count
// from then, so they end here before they end at the accountant.
func (m *Meter) Answer(sent Stamp, x Answer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	// One that has answered anew is told what ran before it began.
	told := m.sent != nil && m.sent.New
	if m.sent != nil {
		m.reported(sent)
	}
	m.sent, m.answered = nil, max(sent, m.asked)
	if told || m.known == x.Run {
		m.known = x.Run
	} else {
		m.known = 0
	}
	for _, a := range x.Allowances {
		c, ok := m.customers[a.Customer]
		if !ok {
			continue
		}
		if sent >= c.until {
			c.tokens = 0
		}
		c.tokens, c.until = c.tokens+a.Tokens, sent+leaseTime
		c.told, c.part = sent, a.Part
		c.tight = 0
		if a.Tight {
			c.tight = sent + tightFor
		} else {
			c.saved = max(c.saved, 1)
		}
		c.refused = 0
		if a.Again > 0 {
			c.refused, c.more = sent+min(a.Again, refusedFor), sent+a.Again
		}
	}
}

// Restart begins with another accountant: what the one before has counted is not known there.
// It returns what tells the one before that nothing is run at its word any more.
func (m *Meter) Restart(now Stamp) Report {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.known, m.before = 0, m.answered
	m.number++
	last := Report{Instance: m.Instance, Run: m.Run, Number: m.number, Leaves: true}
	for _, c := range m.customers {
		c.tokens = 0
	}
	if m.sent == nil {
		return last
	}
	for _, s := range m.sent.Spendings {
		if c, ok := m.customers[s.Customer]; ok {
			c.unreported.merge(now, &c.sent)
			c.sent = window{}
		}
	}
	m.sent = nil
	return last
}

// reported takes in that the accountant knows what the last report told.
func (m *Meter) reported(now Stamp) {
	for _, s := range m.sent.Spendings {
		if c, ok := m.customers[s.Customer]; ok {
			c.ran.merge(now, &c.sent)
			c.sent = window{}
		}
	}
}
