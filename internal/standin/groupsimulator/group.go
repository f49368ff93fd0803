// Package groupsimulator simulates a database group that speaks the platform's line protocol: a
// replicated log with terms, replication lag, commits acknowledged by a replica, and the
// commands that promote, pause and step down. Methods of Group inject faults.
package groupsimulator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// replicationInterval is the time between two rounds of replication.
	replicationInterval = time.Millisecond
	// notPaused is the pauseTerm of a member that replicates.
	notPaused = 0
)

type (
	// Group is a database group. Set the exported fields, then call Start.
	Group struct {
		Name string
		Net  *netsimulator.Net
		// ReplicationDelay is the time until a replica receives an entry, ApplyLag the time until it
		// then applies the entry, PromotionDelay the time a promotion takes.
		ReplicationDelay, ApplyLag, PromotionDelay time.Duration
		// MaxConnections is the connection limit of a member, StatementTime the execution time of a
		// statement.
		MaxConnections int
		StatementTime  time.Duration
		// ExtraTime, when set, returns what a statement with the given arguments takes in addition.
		ExtraTime func(arguments string) time.Duration
		// Slots limits the statements that a member runs at a time (0: no limit) and
		// MaxQueued those that wait. HandshakeTime is how long a new connection occupies a slot.
		Slots, MaxQueued int
		HandshakeTime    time.Duration

		mutex             sync.Mutex
		members           map[string]*Member
		replicationSource *Member
		// acknowledged holds the commits confirmed to clients.
		acknowledged []Entry
		// mayAcknowledge, when set, reports whether a commit of a term is confirmed to its client.
		mayAcknowledge func(term uint64) bool
		violations     []string
		goroutines     sync.WaitGroup
		ctx            context.Context
	}

	// Entry is one committed write in the log.
	Entry struct {
		Term, Number uint64
		Key, Value   string
		committedAt  time.Time
	}

	// Member is one server of a group; the group's mutex guards its fields.
	Member struct {
		ID, Zone, IP string

		group      *Group
		log        []Entry
		primary    bool
		term       uint64
		pauseTerm  uint64
		leaving    bool
		terminated bool
		// startedMillis is the start time in Unix milliseconds.
		startedMillis int64
		// replicationDelay overrides the group's ReplicationDelay when set.
		replicationDelay time.Duration
		// applyLag overrides the group's ApplyLag when set.
		applyLag time.Duration
		// unreachableSources holds the IDs of members it can't replicate from.
		unreachableSources map[string]bool
		// writeResponsesToDrop is the number of next writes that run without a response.
		writeResponsesToDrop int
		// readResponsesToDrop is the number of next reads that run without a response, on
		// connections that stay open.
		readResponsesToDrop int
		openConns           int
		acceptedConns       int
		slots               *slotPool
		// rejectStatus makes the member respond to STATUS with BUSY.
		rejectStatus bool
		// executed lists "ID TEXT" of every statement run.
		executed []string
		// executedByCustomer lists "CUSTOMER TEXT" of every statement run.
		executedByCustomer []string
	}
)

// errNoMember is returned when no running member has the ID.
var errNoMember = errors.New("no such server is running")

// Port is the port members listen on.
const Port = ":8000"

// Start adds one member per zone, the first as the primary of term 1, and runs the group
// until the context ends.
func (g *Group) Start(ctx context.Context, zones ...string) {
	g.ctx, g.members = ctx, map[string]*Member{}
	for i, z := range zones {
		m := g.Join(fmt.Sprintf("%s-%d", g.Name, i+1), z, fmt.Sprintf("10.9.%d.%d", len(g.Name), i+1))
		g.mutex.Lock()
		m.primary = i == 0
		m.term = 1
		g.mutex.Unlock()
	}
	g.goroutines.Go(g.runReplication)
}

// Wait blocks until all goroutines of the group have ended.
func (g *Group) Wait() { g.goroutines.Wait() }

// Join starts a member with a copy of the primary's log and adds it to replication.
func (g *Group) Join(id, zone, ip string) *Member {
	h := g.Net.Host(ip, zone)
	g.mutex.Lock()
	m := &Member{ID: id, Zone: zone, IP: ip, group: g, unreachableSources: map[string]bool{}, slots: newSlotPool(g.Slots, g.MaxQueued), startedMillis: time.Now().UnixMilli()}
	if p := g.currentPrimary(); p != nil {
		m.log, m.term = slices.Clone(p.log), p.term
	}
	g.members[id] = m
	g.mutex.Unlock()
	l, err := h.Listen(ip + Port)
	if err != nil {
		panic("liner: " + err.Error())
	}
	stop := context.AfterFunc(g.ctx, func() { _ = l.Close() })
	g.goroutines.Go(func() {
		defer stop()
		m.serve(l)
	})
	return m
}

// MarkLeaving marks a member as leaving; Terminate terminates it.
func (g *Group) MarkLeaving(id string) { g.updateMember(id, func(m *Member) { m.leaving = true }) }

// CancelLeaving reverts MarkLeaving.
func (g *Group) CancelLeaving(id string) {
	g.updateMember(id, func(m *Member) { m.leaving = false })
}

// Terminate terminates a member and discards its log.
func (g *Group) Terminate(id string) {
	g.updateMember(id, func(m *Member) { m.terminated, m.primary = true, false })
	g.Net.Kill(g.members[id].IP)
}

// StartEmpty starts a terminated member again under its ID with an empty log.
func (g *Group) StartEmpty(id string) {
	g.updateMember(id, func(m *Member) { m.terminated, m.leaving = false, false })
	g.Restart(id)
}

// Crash stops a member; its log survives.
func (g *Group) Crash(id string) { g.Net.Kill(g.members[id].IP) }

// Recover restarts a crashed member with its log.
func (g *Group) Recover(id string) { g.Net.Revive(g.members[id].IP) }

// Restart resets a member's connections and starts it again under its ID with an empty
// log and no term.
func (g *Group) Restart(id string) {
	ip := g.members[id].IP
	g.Net.Kill(ip)
	g.updateMember(id, func(m *Member) {
		m.log, m.term, m.pauseTerm, m.primary = nil, 0, notPaused, false
		m.startedMillis = time.Now().UnixMilli()
	})
	g.Net.Revive(ip)
}

// BlockReplication stops a member from replicating from the others.
func (g *Group) BlockReplication(id string, others ...string) {
	g.updateMember(id, func(m *Member) {
		for _, o := range others {
			m.unreachableSources[o] = true
		}
	})
}

// SetReplicationDelay sets a member's own replication delay.
func (g *Group) SetReplicationDelay(id string, delay time.Duration) {
	g.updateMember(id, func(m *Member) { m.replicationDelay = delay })
}

// UnblockReplication ends the effect of BlockReplication.
func (g *Group) UnblockReplication(id string) {
	g.updateMember(id, func(m *Member) { m.unreachableSources = map[string]bool{} })
}

// DropWriteResponses drops the responses to a member's next n writes.
func (g *Group) DropWriteResponses(id string, n int) {
	g.updateMember(id, func(m *Member) { m.writeResponsesToDrop = n })
}

// DropReadResponses drops the responses to a member's next n reads; their connections stay open.
func (g *Group) DropReadResponses(id string, n int) {
	g.updateMember(id, func(m *Member) { m.readResponsesToDrop = n })
}

// OpenConnections returns the number of a member's open connections.
func (g *Group) OpenConnections(id string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members[id].openConns
}

// SetStatusBusy sets whether a member responds to STATUS with BUSY.
func (g *Group) SetStatusBusy(id string, reject bool) {
	g.updateMember(id, func(m *Member) { m.rejectStatus = reject })
}

func (g *Group) updateMember(id string, update func(*Member)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	update(g.members[id])
}

// Registrations returns the registrations of the members.
func (g *Group) Registrations() []tracker.Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var list []tracker.Member
	for _, m := range g.members {
		if !m.terminated {
			list = append(list, tracker.Member{ID: m.ID, Group: g.Name, Address: m.IP + Port, Zone: m.Zone, Slots: cmp.Or(g.Slots, 3), Leaving: m.leaving, Primary: m.primary, Revision: 1, StartTime: m.startedMillis})
		}
	}
	return list
}

// Primary returns the ID of the primary, or "", and its term.
func (g *Group) Primary() (string, uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if p := g.currentPrimary(); p != nil {
		return p.ID, p.term
	}
	return "", 0
}

func (g *Group) currentPrimary() *Member {
	var newest *Member
	for _, m := range g.members {
		if m.primary && !m.terminated && (newest == nil || m.term > newest.term) {
			newest = m
		}
	}
	return newest
}

// ExecutedByCustomer returns "CUSTOMER TEXT" of every statement that a member has run.
func (g *Group) ExecutedByCustomer(id string) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.members[id].executedByCustomer)
}

// Executed returns "ID TEXT" of every statement that a member has run.
func (g *Group) Executed(id string) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.members[id].executed)
}

// Paused returns the sorted IDs of the members whose replication is paused.
func (g *Group) Paused() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var ids []string
	for id, m := range g.members {
		if m.pauseTerm > m.term {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Acknowledged returns the number of commits confirmed to clients.
func (g *Group) Acknowledged() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.acknowledged)
}

// Log returns the primary's log, oldest entry first.
func (g *Group) Log() []Entry {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if p := g.currentPrimary(); p != nil {
		return slices.Clone(p.log)
	}
	return nil
}

// SetMayAcknowledge sets what decides whether the client of a commit gets the confirmation, by its term,
// as for an instance that acknowledges commits under leases.
func (g *Group) SetMayAcknowledge(may func(term uint64) bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.mayAcknowledge = may
}

// Violations returns the acknowledged commits that a promoted member lacked.
func (g *Group) Violations() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.violations)
}

// Promote makes a member the primary of the next term after PromotionDelay, with the
// log it has received by then. It has no effect on a member that is primary already.
func (g *Group) Promote(id string) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.members[id]
	if !ok || m.terminated || g.Net.Dead(m.IP) {
		return errNoMember
	}
	started := m.startedMillis
	time.AfterFunc(g.PromotionDelay, func() { g.completePromotion(m, started) })
	return nil
}

// completePromotion makes a member primary unless it has restarted since the command: a
// promotion can't be revoked, and a restarted member's log is empty.
func (g *Group) completePromotion(m *Member, started int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m.primary || m.terminated || m.startedMillis != started || g.ctx.Err() != nil {
		return
	}
	var term uint64
	for _, o := range g.members {
		term = max(term, o.term)
		o.primary, o.pauseTerm = false, notPaused
	}
	m.primary, m.term = true, term+1
	for _, e := range g.acknowledged {
		if !slices.ContainsFunc(m.log, func(x Entry) bool { return x.Term == e.Term && x.Number == e.Number }) {
			g.violations = append(g.violations, fmt.Sprintf("%s lacks %d.%d", m.ID, e.Term, e.Number))
		}
	}
}

// runReplication replicates the primary's log until the context ends.
func (g *Group) runReplication() {
	t := time.NewTicker(replicationInterval)
	defer t.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-t.C:
			g.replicateOnce(time.Now())
		}
	}
}

func (g *Group) replicateOnce(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	// A primary that has stepped down still replicates what it had committed.
	if p := g.currentPrimary(); p != nil {
		g.replicationSource = p
	}
	p := g.replicationSource
	if p == nil || p.terminated || g.Net.Dead(p.IP) {
		return
	}
	for _, m := range g.members {
		if m == p || m.terminated || m.pauseTerm > m.term || m.unreachableSources[p.ID] || g.Net.Dead(m.IP) {
			continue
		}
		n := 0
		for n < len(m.log) && n < len(p.log) && m.log[n].Term == p.log[n].Term && m.log[n].Number == p.log[n].Number {
			n++
		}
		m.log, m.term = m.log[:n], p.term
		for ; n < len(p.log) && now.Sub(p.log[n].committedAt) >= cmp.Or(m.replicationDelay, g.ReplicationDelay); n++ {
			m.log = append(m.log, p.log[n])
		}
	}
}

// commit appends to the primary's log and waits until a replica has received the entry.
// It returns false if the member is not, or is no longer, the primary.
func (m *Member) commit(key, value string) (Entry, bool) {
	g := m.group
	g.mutex.Lock()
	if !m.primary {
		g.mutex.Unlock()
		return Entry{}, false
	}
	e := Entry{Term: m.term, Number: uint64(len(m.log)) + 1, Key: key, Value: value, committedAt: time.Now()}
	m.log = append(m.log, e)
	g.mutex.Unlock()
	for g.ctx.Err() == nil {
		time.Sleep(replicationInterval)
		g.mutex.Lock()
		replicated := false
		for _, o := range g.members {
			replicated = replicated || o != m && !o.terminated && !g.Net.Dead(o.IP) && slices.ContainsFunc(o.log, func(x Entry) bool { return x.Term == e.Term && x.Number == e.Number })
		}
		isPrimary := m.primary && m.term == e.Term
		if replicated && isPrimary && !g.Net.Dead(m.IP) && (g.mayAcknowledge == nil || g.mayAcknowledge(e.Term)) {
			g.acknowledged = append(g.acknowledged, e)
		}
		g.mutex.Unlock()
		if replicated || !isPrimary {
			return e, replicated && isPrimary
		}
	}
	return Entry{}, false
}
