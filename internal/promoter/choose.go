package promoter

import (
	"sort"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// maxBacklog is how many entries a candidate may have to replay before it is
// passed over for one that has fewer. Replaying is part of the gap: a member that
// is far behind in it makes callers wait for all of it. An absolute threshold, and
// not the least backlog, keeps the order stable among members that are near enough
// (KIP-1303's idea for replicas with little local log, used here for replay).
const maxBacklog = 64

// candidate is a fenced member that may be promoted.
type candidate struct {
	member int
	status commander.Status
	// avoided marks the suspected or leaving primary.
	avoided bool
}

// safePosition returns the position that a candidate must hold. Each majority of
// the fenced members holds every acknowledged write at its newest position, so
// the oldest of these newest positions is enough. It lets a replica that is a
// little behind replace a primary that answers but is cut off from its replicas.
func safePosition(fenced []candidate, quorum int) orderer.Position {
	positions := make([]orderer.Position, 0, len(fenced))
	for _, c := range fenced {
		positions = append(positions, c.status.Received)
	}
	sort.Slice(positions, func(i, j int) bool { return positions[i].Compare(positions[j]) < 0 })
	return positions[quorum-1]
}

// choose returns the member to promote: among those at a safe position, one that
// is not avoided, then one with little to replay, then the newest, then the first
// in the configuration's order.
// The newest keeps the most writes whose outcome callers don't know.
func choose(fenced []candidate, quorum int) candidate {
	safe := safePosition(fenced, quorum)
	var best *candidate
	for i := range fenced {
		c := &fenced[i]
		if c.status.Received.AtLeast(safe) && (best == nil || better(c, best)) {
			best = c
		}
	}
	return *best
}

func better(a, b *candidate) bool {
	if a.avoided != b.avoided {
		return b.avoided
	}
	if a.behind() != b.behind() {
		return b.behind()
	}
	if d := a.status.Received.Compare(b.status.Received); d != 0 {
		return d > 0
	}
	return a.member < b.member
}

// behind reports whether the member has much to replay. A member that has told
// nothing of it counts as near enough.
func (c *candidate) behind() bool {
	s := c.status
	return !s.Replayed.IsZero() && s.Received.Offset > s.Replayed.Offset+maxBacklog
}
