package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/nominator"
	"github.com/shoenig/test/must"
)

type (
	// mesh is a fleet in which each instance selects its accountant, as package accountant does, and
	// any link may fail. Instance 0 has the highest rank.
	mesh struct {
		*fleet
		// real is the time without the skew of the instance that is running.
		real   limiter.Timestamp
		peers  []*peer
		events []event
		// side is the side of the partition that an instance is on. down instances are dead; their
		// addresses refuse connections if refusing is set.
		side     []int
		down     []bool
		refusing bool
	}

	// peer is the state of one instance in addition to its node.
	peer struct {
		ledger              *limiter.Ledger
		choice              nominator.Nominator
		accountant, changes int
		skew                time.Duration
		tickAt, probedAt    limiter.Timestamp
	}

	// event happens to an instance at a time, or when it resumes if it is paused then.
	event struct {
		at   limiter.Timestamp
		node int
		f    func()
	}
)

func newMesh(seed uint64, instances int, scale float64) *mesh {
	l := identifier.Limit{PerSecond: limits[0].PerSecond * scale, Burst: limits[0].Burst * scale}
	m := &mesh{fleet: newFleet(seed, instances, l), side: make([]int, instances), down: make([]bool, instances)}
	for n := range m.nodes {
		m.peers = append(m.peers, &peer{})
		m.start(n)
	}
	return m
}

// start starts an instance without state.
func (m *mesh) start(n int) {
	m.restart(n)
	m.down[n], m.peers[n] = false, &peer{ledger: m.newLedger(), skew: m.peers[n].skew, accountant: n}
	m.nodes[n].meter.StartedAt = m.now + m.peers[n].skew
}

func (m *mesh) stop(n int) { m.down[n], m.nodes[n].waitingSince = true, nil }

func (m *mesh) run(duration time.Duration, perSecond func(n int) float64) {
	for end := m.now + duration; m.now < end; m.now += step {
		m.ran, m.refused, m.real = append(m.ran, 0), append(m.refused, 0), m.now
		events := m.events
		m.events = nil
		for _, e := range events {
			if e.at > m.now || m.nodes[e.node].paused {
				m.events = append(m.events, e)
			} else {
				e.f()
			}
		}
		for n, x := range m.nodes {
			if x.paused || m.down[n] {
				continue
			}
			m.now += m.peers[n].skew
			for want := perSecond(n) * step.Seconds(); want > 0; want-- {
				if m.random.Float64() < want {
					m.request(n, m.now, limiter.FirstAttempt)
				}
			}
			m.retryWaiting(n)
			m.tick(n, x, m.peers[n])
			m.now = m.real
		}
	}
}

// tick does what Accountant.Run does every 100 ms, or at once if operations wait.
func (m *mesh) tick(n int, x *node, p *peer) {
	due, soon := x.meter.Due(m.now)
	if x.waiting || m.now < p.tickAt && !soon {
		return
	}
	p.tickAt = m.now + 100*time.Millisecond
	var ranked []string
	for i := range m.nodes {
		ranked = append(ranked, name(n, i))
	}
	if c := p.choice.Choose(m.now, ranked); c.Changed {
		m.change(n, x, p, c)
	}
	for _, a := range p.choice.Probes(m.now, ranked) {
		m.call(n, number(a), nil)
	}
	if p.accountant == n && m.now-p.probedAt >= 500*time.Millisecond {
		p.probedAt = m.now
		for _, a := range p.ledger.Missing(m.now) {
			switch i := number(a); {
			case m.side[i] != m.side[n] || m.nodes[i].paused:
			case !m.down[i]:
				p.ledger.RecordAlive(m.now, a)
			case m.refusing:
				p.ledger.RecordDeath(m.now, a)
			}
		}
	}
	if p.choice.Failing() || due && (soon || m.now-x.sentAt >= limiter.ReportInterval) {
		r := x.meter.NextReport(m.now)
		x.waiting, x.sentAt = true, m.now
		m.call(n, p.accountant, &r)
	}
}

func (m *mesh) change(n int, x *node, p *peer, c nominator.Choice) {
	before := p.accountant
	p.accountant = n
	if c.Address != "" {
		p.accountant = number(c.Address)
	}
	if p.accountant == n {
		p.ledger.Open(m.now, nil)
	}
	if c.Reason == nominator.ReasonStart {
		return
	}
	p.changes++
	last := x.meter.SwitchAccountant(m.now)
	if c.Reason == nominator.ReasonRank && m.side[n] == m.side[before] && !m.down[before] && !m.nodes[before].paused {
		m.handle(before, last)
		x.meter.HandleFinalReply(m.now)
	}
}

func (m *mesh) handle(n int, r limiter.Report) limiter.Reply {
	return m.peers[n].ledger.HandleReport(m.real+m.peers[n].skew, r, func(string) identifier.Limit { return m.limit })
}

// call sends a report, or a probe if report is nil. A paused instance handles it when it resumes,
// although the caller has given up.
func (m *mesh) call(from, to int, report *limiter.Report) {
	x, p, sent, ended := m.nodes[from], m.peers[from], m.now, false
	incarnation, delay := x.incarnation, min(2, time.Duration(max(from-to, to-from)))*step
	end := func(ok, refused bool, reply limiter.Reply) {
		if ended || m.down[from] || x.incarnation != incarnation {
			return
		}
		ended = true
		if ok {
			p.choice.RecordAnswer(m.now+p.skew, name(from, to))
		} else {
			p.choice.RecordFailure(m.now+p.skew, name(from, to), refused)
		}
		if report != nil {
			x.waiting = false
			if ok {
				x.meter.HandleReply(sent, reply)
			}
		}
	}
	after := func(delay time.Duration, node int, f func()) {
		m.events = append(m.events, event{m.real + delay, node, f})
	}
	after(300*time.Millisecond, from, func() { end(false, false, limiter.Reply{}) })
	after(delay, to, func() {
		switch {
		case m.side[from] != m.side[to] || m.down[to] && !m.refusing:
		case m.down[to]:
			end(false, true, limiter.Reply{})
		case report == nil:
			after(delay, from, func() { end(true, false, limiter.Reply{}) })
		default:
			reply := m.handle(to, *report)
			after(delay, from, func() { end(m.side[from] == m.side[to], false, reply) })
		}
	})
}

// name returns the candidate's name on an instance, number its number.
func name(on, candidate int) string {
	if on == candidate {
		return ""
	}
	return fmt.Sprint("i", candidate)
}

func number(name string) (n int) {
	_, _ = fmt.Sscanf(name, "i%d", &n)
	return n
}

// mustChange checks how often the instances have changed their accountant since the last check.
func (m *mesh) mustChange(t *testing.T, times, accountant, from, to int) {
	t.Helper()
	for n, p := range m.peers[from:to] {
		must.Eq(t, times, p.changes, must.Sprintf("changes of instance %d", from+n))
		must.Eq(t, accountant, p.accountant, must.Sprintf("accountant of instance %d", from+n))
		p.changes = 0
	}
}

// mustUse checks that under a demand above the limit, at least 0.9 of it runs.
func (m *mesh) mustUse(t *testing.T) {
	t.Helper()
	ran := sum(m.ran)
	m.run(2*window, m.load(8))
	must.GreaterEq(t, 0.9*m.limit.PerSecond*2*window.Seconds(), float64(sum(m.ran)-ran))
}

// load returns an even load of a multiple of the limit.
func (m *mesh) load(times float64) func(int) float64 {
	return func(int) float64 { return times * m.limit.PerSecond / float64(len(m.nodes)) }
}

// cut separates the first instances from the others; all of them end the partition.
func (m *mesh) cut(first int) {
	for n := range m.side {
		m.side[n] = min(1, n/max(first, 1))
	}
}

// repair starts the dead instances and resumes the paused ones.
func (m *mesh) repair() {
	for n, x := range m.nodes {
		if x.paused = false; m.down[n] {
			m.start(n)
		}
	}
}

// Guards against accountants in turn on the side that lost the accountant, any change on the other
// side, an unused limit and an exceeded one, whatever the clocks say.
func TestPartitionIntoHalves(t *testing.T) {
	for _, skew := range []time.Duration{0, 20 * time.Second} {
		for _, before := range []float64{0.2, 0.6, 3} {
			t.Run(fmt.Sprintf("clock skew %s, load %.1f before", skew, before), func(t *testing.T) {
				m := newMesh(*from, 24, 1)
				for n, p := range m.peers {
					p.skew = time.Duration(n-12) * skew
					m.start(n)
				}
				m.run(10*time.Second, m.load(before))
				m.mustChange(t, 0, 0, 0, 24)
				m.cut(12)
				m.run(3*time.Second, m.load(8)) // evidence after 1 s
				m.mustChange(t, 1, 12, 12, 24)
				m.mustChange(t, 0, 0, 0, 12)
				m.mustUse(t)
				m.cut(24)
				m.run(6*time.Second, m.load(8))
				m.mustChange(t, 1, 0, 12, 24)
				m.mustChange(t, 0, 0, 0, 12)
				m.mustUse(t)
				m.checkWindows(t)
			})
		}
	}
}

// Guards against withholding the fallback rates of instances that are known to be dead, with the
// accountant among them.
func TestDeadInstancesReleaseLimit(t *testing.T) {
	m := newMesh(*from, 24, 1)
	m.run(10*time.Second, m.load(0.9))
	m.refusing = true
	for n := range 12 {
		m.stop(n)
	}
	m.run(3*time.Second, m.load(8))
	m.mustChange(t, 1, 12, 12, 24)
	m.mustUse(t)
	m.repair()
	m.run(6*time.Second, m.load(8))
	m.mustChange(t, 1, 0, 12, 24)
	m.mustUse(t)
	m.checkWindows(t)
}

// Guards against refusing customers below their limit after a restart of all instances, some of which
// start late or not at all.
func TestNoRefusalsAfterRestartOfAll(t *testing.T) {
	for _, load := range []float64{0.3, 1 / 1.6, 0.8} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			m := newMesh(*from, 24, 1)
			m.run(10*time.Second, m.load(load))
			for n := range 24 {
				m.stop(n)
			}
			m.refusing = true
			m.run(2*time.Second, m.load(load))
			ran, refused := sum(m.ran), sum(m.refused)
			for _, n := range m.random.Perm(24) {
				if n != 3 && n != 0 {
					m.start(n)
				}
				m.run(30*time.Millisecond, m.load(load))
			}
			m.run(5*time.Second, m.load(load))
			m.start(0)
			m.run(20*time.Second, m.load(load))
			// An instance that reports first to a new accountant may have run more than its part.
			must.LessEq(t, 0.002, float64(sum(m.refused)-refused)/float64(sum(m.ran)-ran))
			m.checkWindows(t)
		})
	}
}

// Guards against exceeding the limit when the accountant is paused, and handles the reports that have
// arrived meanwhile when it resumes.
func TestFrozenAccountantResumes(t *testing.T) {
	for _, pause := range []time.Duration{700 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			m := newMesh(*from, 24, 1)
			m.run(10*time.Second, m.load(3))
			m.nodes[0].paused = true
			m.run(pause, m.load(8))
			m.nodes[0].paused = false
			m.run(6*time.Second, m.load(8))
			m.mustChange(t, 0, 0, 0, 1)
			must.LessEq(t, 2, m.peers[5].changes)
			m.mustUse(t)
			m.checkWindows(t)
		})
	}
}

// Guards against a change at each interruption, and against exceeding the limit meanwhile, if the
// accountant is reachable and unreachable in turn.
func TestAccountantAlternatelyReachable(t *testing.T) {
	for _, period := range []time.Duration{600 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
		t.Run(period.String(), func(t *testing.T) {
			m := newMesh(*from, 24, 1)
			m.run(5*time.Second, m.load(0.6))
			for range 20 {
				m.side[0] = 1 - m.side[0]
				m.run(period, m.load(8))
			}
			for _, p := range m.peers {
				must.LessEq(t, 1, p.changes)
			}
			m.checkWindows(t)
		})
	}
}

// Guards against exceeding the limit under random partitions, deaths, restarts and pauses while each
// instance selects its accountant.
func TestLimitHoldsWithSelectedAccountants(t *testing.T) {
	for seed := *from; seed < *from+uint64(*seeds)/4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newMesh(seed, 12, []float64{1, 0.2, 0.03}[seed%3])
			m.refusing = seed%2 == 0
			for range 12 {
				n := m.random.IntN(12)
				[]func(){
					func() { m.cut(n) }, func() { m.cut(12) }, func() { m.stop(n) }, func() { m.start(n) },
					func() { m.nodes[n].paused = true }, func() { m.repair() },
				}[m.random.IntN(6)]()
				quiet, times := m.random.IntN(12), []float64{0, 0.6, 1, 2, 8}[m.random.IntN(5)]
				m.run(time.Duration(500+m.random.IntN(4000))*time.Millisecond, func(n int) float64 {
					if n < quiet {
						return times * m.limit.PerSecond / 60
					}
					return times * m.limit.PerSecond / 8
				})
			}
			m.checkWindows(t)
		})
	}
}
