package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// actingCheckInterval is the minimum time between two checks whether the first holder of a
	// member's connections lends them, actingTTL how long a result is valid.
	actingCheckInterval, actingTTL = time.Second, 3 * time.Second
	// actingCheckTimeout bounds a check.
	actingCheckTimeout = 200 * time.Millisecond
)

// moves is the state of connections that were handed over because of load. The Forwarder's mutex
// guards it.
type moves struct {
	mover concentrator.Mover
	// loans counts the loans to peers by member since the last decision, requests all loans and
	// requests of own callers.
	loans    map[string]int
	requests int
	// peers are the names of the available instances, peersChangedAt is when they last changed.
	peers          []string
	peersChangedAt tracker.Timestamp
	// acting is when the first holder of a member's connections last declined to lend them to this
	// instance, checkedAt when this was last checked.
	acting, checkedAt map[string]tracker.Timestamp
}

// Balance decides whether this instance hands over connections, or takes them back. load is the used
// part of its CPU limit, 0 if unknown. groups holds the members of each group. It returns the number
// of moves, 0 or 1.
func (fw *Forwarder) Balance(load float64, groups map[string][]string) int {
	now := fw.Clock()
	available := fw.Discoverer.AllAvailable(now)
	names := make([]string, len(available))
	for i, p := range available {
		names[i] = p.Name
	}
	slices.Sort(names)
	var holdings []concentrator.Holding
	for group, members := range groups {
		for _, member := range members {
			if next, ok := fw.nextHolder(group, member, available); ok {
				holdings = append(holdings, concentrator.Holding{Member: member, Next: next})
			}
		}
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	m := &fw.moves
	if !slices.Equal(names, m.peers) {
		m.peers, m.peersChangedAt = names, now
	}
	for i := range holdings {
		holdings[i].Work = float64(m.loans[holdings[i].Member]) / float64(max(1, m.requests))
	}
	self := fw.Discoverer.Self
	move, ok := m.mover.Decide(now, concentrator.Situation{
		Self:     concentrator.Instance{Name: self.Name, Millicores: self.Millicores, Load: load},
		Holdings: holdings, PeersUnchanged: now - m.peersChangedAt,
		Available: func(name string) bool { return slices.Contains(names, name) },
	})
	m.loans, m.requests = nil, 0
	if !ok {
		return 0
	}
	outcome := "handed-over"
	if move.TakeBack {
		outcome = "taken-back"
	}
	fw.Log("event", "connections-moved", "member", move.Member, "outcome", outcome, "other", move.Other,
		"load", move.Load, "other-load", move.OtherLoad, "age-ms", move.OtherAge.Milliseconds(), "moved", m.mover.Away())
	return 1
}

// nextHolder returns the instance that holds the connections to a member if this one, which is the
// first in the ranking, hands them over.
func (fw *Forwarder) nextHolder(group, member string, available []discoverer.Peer) (concentrator.Instance, bool) {
	list := fw.rankedHolders(group, member)
	if len(list) < 2 || list[0] != "" {
		return concentrator.Instance{}, false
	}
	i := slices.IndexFunc(available, func(p discoverer.Peer) bool { return p.Address == list[1] })
	if i < 0 {
		return concentrator.Instance{}, false
	}
	p := available[i]
	milli, at := fw.Discoverer.Load(p.Name)
	return concentrator.Instance{Name: p.Name, Millicores: p.Millicores, Load: float64(milli) / 1000, LoadAge: fw.Clock() - at}, true
}

// withoutSelf returns the other holders, or all if there is no other.
func (h holders) withoutSelf() holders {
	others := slices.DeleteFunc(slices.Clone(h), func(address string) bool { return address == "" })
	if len(others) == 0 {
		return h
	}
	return others
}

// lendable returns the members whose connections this instance has not handed over.
func (fw *Forwarder) lendable(members []string) []string {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(members), fw.moves.mover.HandedOver)
}

// countRequest counts a request of an own caller or, with the member, a loan to a peer.
func (fw *Forwarder) countRequest(lentMember string) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	fw.moves.requests++
	if lentMember == "" {
		return
	}
	if fw.moves.loans == nil {
		fw.moves.loans = map[string]int{}
	}
	fw.moves.loans[lentMember]++
}

// isActing reports whether this instance holds the connections to a member instead of the first
// holder, which declines to lend them. An instance that is only tried because the first one does not
// answer keeps no idle connections: both could then hold more than the member accepts.
func (fw *Forwarder) isActing(member string) bool {
	now := fw.Clock()
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	at, ok := fw.moves.acting[member]
	return ok && now-at < actingTTL
}

// checkActingIfDue calls checkActing in the background if another instance is the first holder.
func (fw *Forwarder) checkActingIfDue(ctx context.Context, group, member string) {
	if fw.Connections == nil {
		return // this instance only lends
	}
	if list := fw.holders(group, member); list.isRemote() && fw.mayCheckActing(member) {
		go fw.checkActing(ctx, list[0], group, member)
	}
}

// checkActing asks the first holder of a member's connections whether it lends them, after this
// instance has lent one in its place. The first holder lends nothing to a member that it has handed
// over or does not reach.
func (fw *Forwarder) checkActing(ctx context.Context, first, group, member string) {
	ctx, cancel := context.WithTimeout(ctx, actingCheckTimeout)
	defer cancel()
	conn, err := fw.borrow(ctx, first, group, []string{member}, lender.Request{StatusQuery: true, LocalOnly: true, Deadline: time.Now().Add(actingCheckTimeout)})
	if err == nil {
		if pool := fw.Pool(group); pool != nil {
			pool.Return(conn)
		}
	}
	now := fw.Clock()
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if !errors.Is(err, errUnreachable) {
		delete(fw.moves.acting, member)
		return
	}
	if fw.moves.acting == nil {
		fw.moves.acting = map[string]tracker.Timestamp{}
	}
	fw.moves.acting[member] = now
}

// mayCheckActing limits the rate of checks.
func (fw *Forwarder) mayCheckActing(member string) bool {
	now := fw.Clock()
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if at, ok := fw.moves.checkedAt[member]; ok && now-at < actingCheckInterval {
		return false
	}
	if fw.moves.checkedAt == nil || len(fw.moves.checkedAt) >= maxRankedMembers {
		fw.moves.checkedAt = map[string]tracker.Timestamp{}
	}
	fw.moves.checkedAt[member] = now
	return true
}

// MovedCount returns how many members' connections this instance has handed over now.
func (fw *Forwarder) MovedCount() int {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.moves.mover.Away()
}
