package gossiper

import (
	"slices"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/observer"
)

// handleObserved records this instance's own observation of a member.
func (s *Slice) handleObserved(e observer.Observed) {
	if e.From != "" {
		return
	}
	m := s.editMember([2]string{e.Service, e.Member})
	if m == nil {
		return
	}
	m.queriedAt = e.Started
	s.dirty = true
	if e.Err != nil {
		m.failures++
		s.markChanged(m)
		return
	}
	previous, first := m.status, m.answeredAt.IsZero()
	m.answeredAt = e.Started
	s.newestObservation[[2]string{e.Service, e.Member}] = e.Started
	same := !first && m.failures == 0 && equalExceptOffsets(previous, e.Status)
	m.status, m.failures = e.Status, 0
	switch {
	case !same:
		s.markChanged(m)
	case previous.Received != e.Status.Received || previous.Replayed != e.Status.Replayed:
		s.sequence++
		m.offsetsChanged = s.sequence
	}
}

func equalExceptOffsets(a, b commander.Status) bool {
	return a.Role == b.Role && a.Term == b.Term && a.Owner == b.Owner &&
		a.Received.Term == b.Received.Term && a.Replayed.Term == b.Replayed.Term
}

// editMember copies the member's group and returns the member in the copy; nil if the document
// has no such member.
func (s *Slice) editMember(name [2]string) *observedMember {
	at, ok := s.positions[name]
	if !ok {
		return nil
	}
	v := &s.document.Services[at[0]]
	n := &observedGroup{shard: observer.Shard(v.Name), members: make([]observedMember, len(v.Members))}
	if o := s.observedGroups[at[0]]; o != nil {
		copy(n.members, o.members)
	}
	s.observedGroups[at[0]] = n
	return &n.members[at[1]]
}

func (s *Slice) markChanged(m *observedMember) {
	s.sequence++
	m.changed, s.dirty = s.sequence, true
}

// handleSuspicion announces a suspicion to the observers of the member's shard at once, since a
// failover waits for the votes of other zones.
func (s *Slice) handleSuspicion(e Suspicion) []controller.Action {
	at := [2]string{e.Service, e.Member}
	m := s.editMember(at)
	if m == nil || m.suspected == e.On {
		return nil
	}
	m.suspected = e.On
	if e.On {
		s.suspected[at] = true
	} else {
		delete(s.suspected, at)
	}
	s.markChanged(m)
	s.publish()
	s.choosePeers()
	shard := observer.Shard(e.Service)
	zones := s.shardZones[shard]
	if !slices.Contains(zones, s.Self.Zone) {
		zones = append(slices.Clone(zones), s.Self.Zone)
	}
	var out []controller.Action
	for _, z := range zones {
		for _, i := range observer.ShardObservers(shard, z, s.members) {
			if i.Name != s.Self.Name {
				out = append(out, s.announce(i, &wire.Announcement{Urgent: true}))
			}
		}
	}
	return out
}
