// Package liner is the stand-in for a database group that speaks the platform's line
// protocol: a log with terms, replication with lag, acknowledgement by a replica, and
// the orders that promote, pause and step down. Its faults are switches.
package liner

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// step is how often replicas receive.
	step = time.Millisecond
	// never stands for a paused term of a member that receives.
	never = 0
)

type (
	// Group is a database group. Set the exported fields, then call Start.
	Group struct {
		Name string
		Net  *wirer.Net
		// Travel is how long a commit takes to a replica, Lag how much later it is
		// applied there, Promotion how long an order to promote takes.
		Travel, Lag, Promotion time.Duration
		// Connections is how many a member takes; Work how long a statement takes.
		Connections int
		Work        time.Duration
		// Slots is how many statements a member runs at a time and Queue how many may
		// wait; a member with no Slots runs everything at once. Handshake is how long a
		// new connection holds a slot.
		Slots, Queue int
		Handshake    time.Duration

		mutex   sync.Mutex
		members map[string]*Member
		sender  *Member
		// acknowledged are the commits that callers were told of, for Violations.
		acknowledged []Entry
		violations   []string
		running      sync.WaitGroup
		ctx          context.Context
	}

	// Entry is one commit.
	Entry struct {
		Term, Number uint64
		Key, Value   string
		at           time.Time
	}

	// Member is one member. Its fields are the group's, under its mutex.
	Member struct {
		ID, Zone, IP string

		group   *Group
		log     []Entry
		primary bool
		term    uint64
		paused  uint64
		leaving bool
		gone    bool
		// born is the Unix millisecond of its start.
		born int64
		// travel, when set, goes before the group's.
		travel time.Duration
		// lag, when set, goes before the group's.
		lag time.Duration
		// cut names the members that it doesn't hear.
		cut map[string]bool
		// loseAnswers is how many of the next writes run without an answer.
		loseAnswers int
		// loseReads is how many of the next reads run without an answer, on connections
		// that stay open.
		loseReads int
		conns     int
		opened    int
		room      *room
		// busy members have no slot for a question about their status.
		busy bool
		// Ran lists the ids and texts of what was run, for tests.
		ran []string
		// ranFor lists for whom, and the texts.
		ranFor []string
	}
)

// errNoMember is returned for an order that names nobody.
var errNoMember = errors.New("no such server is running")

// Port is where members listen.
const Port = ":8000"

// Start adds the first members, the first of them the primary of term 1, and runs
// the group until the context ends.
func (g *Group) Start(ctx context.Context, zones ...string) {
	g.ctx, g.members = ctx, map[string]*Member{}
	for i, z := range zones {
		m := g.Join(fmt.Sprintf("%s-%d", g.Name, i+1), z, fmt.Sprintf("10.9.%d.%d", len(g.Name), i+1))
		g.mutex.Lock()
		m.primary = i == 0
		m.term = 1
		g.mutex.Unlock()
	}
	g.running.Go(g.replicate)
}

// Wait returns when the group has ended.
func (g *Group) Wait() { g.running.Wait() }

// Join adds a member with a copy of the primary's log. It receives from now on.
func (g *Group) Join(id, zone, ip string) *Member {
	h := g.Net.Host(ip, zone)
	g.mutex.Lock()
	m := &Member{ID: id, Zone: zone, IP: ip, group: g, cut: map[string]bool{}, room: newRoom(g.Slots, g.Queue), born: time.Now().UnixMilli()}
	if p := g.leader(); p != nil {
		m.log, m.term = slices.Clone(p.log), p.term
	}
	g.members[id] = m
	g.mutex.Unlock()
	l, err := h.Listen(ip + Port)
	if err != nil {
		panic("liner: " + err.Error())
	}
	stop := context.AfterFunc(g.ctx, func() { _ = l.Close() })
	g.running.Go(func() {
		defer stop()
		m.serve(l)
	})
	return m
}

// Leave has a member say that it leaves; Gone ends it.
func (g *Group) Leave(id string) { g.set(id, func(m *Member) { m.leaving = true }) }

// Gone ends a member; its log goes with it.
func (g *Group) Gone(id string) {
	g.set(id, func(m *Member) { m.gone, m.primary = true, false })
	g.Net.Kill(g.members[id].IP)
}

// Back has a member that is gone start again under its ID, with nothing of before.
func (g *Group) Back(id string) {
	g.set(id, func(m *Member) { m.gone, m.leaving = false, false })
	g.Restart(id)
}

// Crash stops a member with its log.
func (g *Group) Crash(id string) { g.Net.Kill(g.members[id].IP) }

// Return brings a crashed member back with its log.
func (g *Group) Return(id string) { g.Net.Revive(g.members[id].IP) }

// Restart has a member start again under its ID: its connections are cut, and it holds
// and knows nothing of before.
func (g *Group) Restart(id string) {
	ip := g.members[id].IP
	g.Net.Kill(ip)
	g.set(id, func(m *Member) {
		m.log, m.term, m.paused, m.primary = nil, 0, never, false
		m.born = time.Now().UnixMilli()
	})
	g.Net.Revive(ip)
}

// Isolate keeps a replica from receiving from whoever leads.
func (g *Group) Isolate(id string, others ...string) {
	g.set(id, func(m *Member) {
		for _, o := range others {
			m.cut[o] = true
		}
	})
}

// Near has a member receive sooner than the others.
func (g *Group) Near(id string, travel time.Duration) {
	g.set(id, func(m *Member) { m.travel = travel })
}

// Rejoin ends Isolate.
func (g *Group) Rejoin(id string) { g.set(id, func(m *Member) { m.cut = map[string]bool{} }) }

// LoseAnswers has the next writes at a member run without an answer.
func (g *Group) LoseAnswers(id string, n int) { g.set(id, func(m *Member) { m.loseAnswers = n }) }

// LoseReads has the next reads at a member run without an answer; their connections stay
// open.
func (g *Group) LoseReads(id string, n int) { g.set(id, func(m *Member) { m.loseReads = n }) }

// Connected returns how many connections a member has.
func (g *Group) Connected(id string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members[id].conns
}

// Busy has a member answer questions about its status with BUSY, or no more.
func (g *Group) Busy(id string, busy bool) { g.set(id, func(m *Member) { m.busy = busy }) }

func (g *Group) set(id string, change func(*Member)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(g.members[id])
}

// Registered lists the members as they register themselves.
func (g *Group) Registered() []tracker.Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var list []tracker.Member
	for _, m := range g.members {
		if !m.gone {
			list = append(list, tracker.Member{ID: m.ID, Group: g.Name, Address: m.IP + Port, Zone: m.Zone, Slots: 3, Leaving: m.leaving, Primary: m.primary, Revision: 1, StartTime: m.born})
		}
	}
	return list
}

// Leader returns who leads, "" if nobody does, and the term.
func (g *Group) Leader() (string, uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if p := g.leader(); p != nil {
		return p.ID, p.term
	}
	return "", 0
}

func (g *Group) leader() *Member {
	var best *Member
	for _, m := range g.members {
		if m.primary && !m.gone && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// RanFor returns for whom a member's connections were opened that ran something, each with
// the text of what it ran.
func (g *Group) RanFor(id string) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.members[id].ranFor)
}

// Ran returns what a member has run: ids and texts.
func (g *Group) Ran(id string) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.members[id].ran)
}

// Paused returns the members that are paused, in order.
func (g *Group) Paused() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var ids []string
	for id, m := range g.members {
		if m.paused > m.term {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Acknowledged returns how many commits callers were told of.
func (g *Group) Acknowledged() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.acknowledged)
}

// Log returns the commits that the leader has, oldest first.
func (g *Group) Log() []Entry {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if p := g.leader(); p != nil {
		return slices.Clone(p.log)
	}
	return nil
}

// Violations returns the acknowledged commits that a promoted member lacked.
func (g *Group) Violations() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.violations)
}

// Promote orders that a member leads the next term. It does so after Promotion, with
// what it has received until then; for the member that leads at that time nothing
// changes.
func (g *Group) Promote(id string) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok || m.gone || g.Net.Dead(m.IP) {
		return errNoMember
	}
	born := m.born
	time.AfterFunc(g.Promotion, func() { g.lead(m, born) })
	return nil
}

// lead has a member lead, in the life in which it was ordered to: one that starts again
// meanwhile has lost the order with all else. Nobody could keep it from leading without a
// log otherwise, since an order can't be taken back.
func (g *Group) lead(m *Member, born int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m.primary || m.gone || m.born != born || g.ctx.Err() != nil {
		return
	}
	var term uint64
	for _, o := range g.members {
		term = max(term, o.term)
		o.primary, o.paused = false, never
	}
	m.primary, m.term = true, term+1
	for _, e := range g.acknowledged {
		if !slices.ContainsFunc(m.log, func(x Entry) bool { return x.Term == e.Term && x.Number == e.Number }) {
			g.violations = append(g.violations, fmt.Sprintf("%s lacks %d.%d", m.ID, e.Term, e.Number))
		}
	}
}

// replicate has replicas receive what was committed a travel's time ago.
func (g *Group) replicate() {
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-t.C:
			g.receive(time.Now())
		}
	}
}

func (g *Group) receive(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	// A primary that has stepped down still sends what it had committed.
	if p := g.leader(); p != nil {
		g.sender = p
	}
	p := g.sender
	if p == nil || p.gone || g.Net.Dead(p.IP) {
		return
	}
	for _, m := range g.members {
		if m == p || m.gone || m.paused > m.term || m.cut[p.ID] || g.Net.Dead(m.IP) {
			continue
		}
		n := 0
		for n < len(m.log) && n < len(p.log) && m.log[n].Term == p.log[n].Term && m.log[n].Number == p.log[n].Number {
			n++
		}
		m.log, m.term = m.log[:n], p.term
		for ; n < len(p.log) && now.Sub(p.log[n].at) >= cmp.Or(m.travel, g.Travel); n++ {
			m.log = append(m.log, p.log[n])
		}
	}
}

// commit appends to the primary's log and waits until a replica has the entry. It is
// false when the member does not lead, or leads no more.
func (m *Member) commit(key, value string) (Entry, bool) {
	g := m.group
	g.mutex.Lock()
	if !m.primary {
		g.mutex.Unlock()
		return Entry{}, false
	}
	e := Entry{Term: m.term, Number: uint64(len(m.log)) + 1, Key: key, Value: value, at: time.Now()}
	m.log = append(m.log, e)
	g.mutex.Unlock()
	for g.ctx.Err() == nil {
		time.Sleep(step)
		g.mutex.Lock()
		held := false
		for _, o := range g.members {
			held = held || o != m && !o.gone && !g.Net.Dead(o.IP) && slices.ContainsFunc(o.log, func(x Entry) bool { return x.Term == e.Term && x.Number == e.Number })
		}
		leads := m.primary && m.term == e.Term
		if held && leads && !g.Net.Dead(m.IP) {
			g.acknowledged = append(g.acknowledged, e)
		}
		g.mutex.Unlock()
		if held || !leads {
			return e, held && leads
		}
	}
	return Entry{}, false
}
