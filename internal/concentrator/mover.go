package concentrator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// highLoad is the used part of the processor limit from which an instance hands over connections,
	// below the 0.6 that it must not exceed because of them. targetLoad is the largest load that the
	// new holder may have with them, and the largest that this instance may have after taking them
	// back.
	highLoad, targetLoad = 0.5, 0.4
	// minMoveInterval is the minimum time between two moves of an instance, and minSteadyTime how
	// long the peers must not have changed before one.
	minMoveInterval, minSteadyTime = 2 * time.Second, 2 * time.Second
	// maxLoadAge is the age from which a load is unknown. Peers are contacted every 2 s.
	maxLoadAge = 5 * time.Second
	// minAwayTime is how long connections stay at another instance after the first move; it doubles
	// with each move of the same connections, up to maxAwayTime, so that moves can't alternate.
	minAwayTime, maxAwayTime = 10 * time.Second, 5 * time.Minute
	// forgetMovesAfter is how long after the return of connections their moves no longer count.
	forgetMovesAfter = 10 * time.Minute
)

type (
	// Holding describes the connections to one member that this instance holds for others.
	Holding struct {
		Member string
		// Work is the part of this instance's statements and loans that uses these connections.
		Work float64
		// Next is the instance that holds them if this one doesn't, "" if there is none.
		Next Instance
	}

	// Instance is an instance with its load.
	Instance struct {
		Name string
		// Millicores is its CPU limit in thousandths of a core, 0 if unknown.
		Millicores int
		// Load is the used part of the CPU limit, 0 if unknown, and LoadAge its age.
		Load    float64
		LoadAge time.Duration
	}

	// Situation is the input of Mover.Decide.
	Situation struct {
		Self     Instance
		Holdings []Holding
		// PeersUnchanged is how long the list of peers has not changed.
		PeersUnchanged time.Duration
		// Available reports whether an instance is available.
		Available func(name string) bool
	}

	// Move is a decision of Mover.Decide: the connections to a member are handed over to another
	// instance, or taken back from it.
	Move struct {
		Member, Other string
		TakeBack      bool
		// Load is this instance's load, OtherLoad that of the other instance, and OtherAge its age.
		Load, OtherLoad float64
		OtherAge        time.Duration
	}

	// Mover decides which connections a loaded instance hands over. It handles the load of small
	// instances that were ranked first for more connections than their processors can serve. The zero
	// value has moved nothing.
	Mover struct {
		moved   map[string]*moved
		movedAt time.Duration
	}

	// moved describes the moves of one member's connections.
	moved struct {
		// to is the current holder, "" after their return.
		to    string
		since time.Duration
		// work is the load in millicores that the connections caused.
		work  float64
		moves int
	}
)

// HandedOver returns whether the connections to a member are handed over.
func (m *Mover) HandedOver(member string) bool {
	x, ok := m.moved[member]
	return ok && x.to != ""
}

// Away returns how many members' connections are handed over.
func (m *Mover) Away() (n int) {
	for member := range m.moved {
		if m.HandedOver(member) {
			n++
		}
	}
	return n
}

// known reports whether the instance's load is usable.
func (i Instance) known() bool {
	return i.Load > 0 && !math.IsNaN(i.Load) && !math.IsInf(i.Load, 0) && i.Millicores > 0 && i.LoadAge >= 0 && i.LoadAge <= maxLoadAge
}

// Decide returns the next move, if any. now is a time on any monotonic scale.
func (m *Mover) Decide(now time.Duration, s Situation) (Move, bool) {
	for member, x := range m.moved {
		// The connections have no holder: whatever the load, this instance serves them.
		if x.to != "" && !s.Available(x.to) {
			return m.takeBack(now, member, x, s.Self), true
		}
		if x.to == "" && now-x.since > forgetMovesAfter {
			delete(m.moved, member)
		}
	}
	if !s.Self.known() || s.PeersUnchanged < minSteadyTime || m.movedAt != 0 && now-m.movedAt < minMoveInterval {
		return Move{}, false
	}
	if s.Self.Load >= highLoad {
		return m.handOver(now, s)
	}
	for member, x := range m.moved {
		if x.to != "" && now-x.since >= awayTime(x.moves) && s.Self.Load+x.work/float64(s.Self.Millicores) <= targetLoad {
			return m.takeBack(now, member, x, s.Self), true
		}
	}
	return Move{}, false
}

// awayTime returns how long connections stay away after their n-th move.
func awayTime(n int) time.Duration {
	return min(maxAwayTime, minAwayTime<<min(max(0, n-1), 8))
}

func (m *Mover) takeBack(now time.Duration, member string, x *moved, self Instance) Move {
	move := Move{Member: member, Other: x.to, TakeBack: true, Load: self.Load}
	x.to, x.since, m.movedAt = "", now, now
	return move
}

// handOver hands over the connections with the most work whose next holder has enough spare capacity.
func (m *Mover) handOver(now time.Duration, s Situation) (Move, bool) {
	list := slices.Clone(s.Holdings)
	slices.SortFunc(list, func(a, b Holding) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Member, b.Member)) })
	for _, h := range list {
		work := h.Work * s.Self.Load * float64(s.Self.Millicores)
		if m.HandedOver(h.Member) || !(work > 0) || !h.Next.known() || !s.Available(h.Next.Name) {
			continue
		}
		if h.Next.Load+work/float64(h.Next.Millicores) > targetLoad {
			continue
		}
		if m.moved == nil {
			m.moved = map[string]*moved{}
		}
		x, ok := m.moved[h.Member]
		if !ok {
			x = &moved{}
			m.moved[h.Member] = x
		}
		x.to, x.since, x.work, x.moves, m.movedAt = h.Next.Name, now, work, x.moves+1, now
		return Move{Member: h.Member, Other: h.Next.Name, Load: s.Self.Load, OtherLoad: h.Next.Load, OtherAge: h.Next.LoadAge}, true
	}
	return Move{}, false
}
