package promoter

import (
	"sort"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// maxBacklog is the number of entries to replay above which a candidate ranks behind those
// with fewer, since callers wait for the replay. A fixed threshold keeps the order stable
// among members with little backlog (as KIP-1303 does for replicas with a small local log).
const maxBacklog = 64

// candidate is a fenced member that could be promoted.
type candidate struct {
	member int
	status commander.Status
	// avoided marks the suspected or leaving primary.
	avoided bool
}

// safePosition returns the position that a candidate must hold. Among the fenced members, the
// newest position of any majority covers every acknowledged write, so the oldest of these
// suffices. A slightly lagging replica can thus replace a partitioned primary.
func safePosition(fenced []candidate, quorum int) orderer.Position {
	positions := make([]orderer.Position, 0, len(fenced))
	for _, c := range fenced {
		positions = append(positions, c.status.Received)
	}
	sort.Slice(positions, func(i, j int) bool { return positions[i].Compare(positions[j]) < 0 })
	return positions[quorum-1]
}

// chooseCandidate returns the member to promote: among those at a safe position, preferably
// one that is not avoided, then one with a small backlog, then the newest, then the first
// configured. The newest keeps the most writes of unknown outcome.
func chooseCandidate(fenced []candidate, quorum int) candidate {
	safe := safePosition(fenced, quorum)
	var best *candidate
	for i := range fenced {
		c := &fenced[i]
		if c.status.Received.AtLeast(safe) && (best == nil || ranksBefore(c, best)) {
			best = c
		}
	}
	return *best
}

// ranksBefore reports whether a is a better candidate than b.
func ranksBefore(a, b *candidate) bool {
	if a.avoided != b.avoided {
		return b.avoided
	}
	if a.hasBacklog() != b.hasBacklog() {
		return b.hasBacklog()
	}
	if d := a.status.Received.Compare(b.status.Received); d != 0 {
		return d > 0
	}
	return a.member < b.member
}

// hasBacklog reports whether the member has much to replay. An unknown replay position counts
// as no backlog.
func (c *candidate) hasBacklog() bool {
	s := c.status
	return !s.Replayed.IsZero() && s.Received.Offset > s.Replayed.Offset+maxBacklog
}
