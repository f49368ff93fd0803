package elector

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// This file decides whose logs count when the primary changes: registered members, missing
// members, and former incarnations of restarted members.

// lastPrimaryComplete reports whether the last primary, demoted or not, still holds every
// acknowledged commit: all members respond, none has seen a newer term, and it has not
// restarted. Without this rule, a group whose candidate restarted during a change would lack a
// primary permanently, since only a primary can show that nothing of the candidate's former
// incarnation is missing.
func (sv *Supervisor) lastPrimaryComplete() bool {
	found := false
	for id, m := range sv.members {
		if isFormerIncarnation(id) {
			continue
		}
		if !m.Answered || max(m.Status.Term, m.Status.Received.Term) > sv.lastLeader.Term {
			return false
		}
		found = found || id == sv.lastLeader.ID && m.StartTime == sv.lastLeader.StartTime && m.DisputedStart == 0
	}
	return found
}

// excludeDeparted excludes members that have left, once a replica holds everything that the
// primary held after they left. Until then they may hold the only copy of a commit.
func (sv *Supervisor) excludeDeparted() {
	now, primaryComplete := sv.Clock(), sv.lastPrimaryComplete()
	for id, m := range sv.members {
		if m.Answered && sv.excluded[id] {
			sv.include(id)
		}
		departed := m.departed || isFormerIncarnation(id)
		if sv.excluded[id] || !departed && (m.Answered || sv.registered[id] || !sv.announcedLeave[id]) {
			m.departedAt = 0
			continue
		}
		if m.departedAt == 0 {
			m.departedAt = now
		}
		if by := sv.coveredBy(m.departedAt); by != "" {
			sv.exclude(id, by)
		} else if primaryComplete && isFormerIncarnation(id) {
			sv.exclude(id, sv.lastLeader.ID)
		}
	}
}

// coveredBy returns a replica that holds everything the primary held at the given time or
// later, "" if there is none.
func (sv *Supervisor) coveredBy(at tracker.Timestamp) string {
	for _, r := range sv.members {
		if r.Answered && !r.Leaving && r.coveredAt > at {
			return r.ID
		}
	}
	return ""
}

// exclude removes a departed member from those whose logs count, since replica by covers it.
func (sv *Supervisor) exclude(id, by string) {
	sv.Log("event", "member-counted-out", "group", sv.Group.Name, "member", id, "covered-by", by, "position", sv.positionOf(by))
	sv.excluded[id] = true
	delete(sv.formerIncarnations, id)
	delete(sv.startTimes, id)
}

// positionOf returns a member's last known log position.
func (sv *Supervisor) positionOf(id string) orderer.Position {
	if m := sv.members[id]; m != nil {
		return m.Status.Received
	}
	return orderer.Position{}
}

// countedStartTimes returns the start times of the members whose logs count, as far as they are known.
func (sv *Supervisor) countedStartTimes() map[string]int64 {
	times := map[string]int64{}
	for id := range sv.memberAddresses() {
		if t := sv.startTimes[id]; t != 0 {
			times[id] = t
		}
	}
	return times
}

// handleRestart treats a restarted member as new. Its former incarnation counts as a missing
// member until a replica is known to hold everything it may have acknowledged; a former
// primary's commits are on a replica already.
func (sv *Supervisor) handleRestart(m *memberState) {
	sv.Log("event", "member-restarted", "group", sv.Group.Name, "member", m.ID, "before", m.StartTime, "led", m.ID == sv.primary)
	m.close()
	m.departed = true
	delete(sv.resumePendingUntil, m.ID)
	if m.ID == sv.primary || sv.SynchronousReplicas() == 0 {
		return
	}
	id := incarnationID(m.Member)
	// Incarnations whose start time was disputed share an ID: an earlier one may be excluded.
	delete(sv.excluded, id)
	sv.formerIncarnations[id] = m.Address
	sv.members[id] = &memberState{departed: true, Observation: Observation{Member: sv.missingMember(id, m.Address)}}
}

// include reverses exclude for a member that has returned.
func (sv *Supervisor) include(id string) {
	if sv.excluded[id] {
		sv.Log("event", "member-counted-in", "group", sv.Group.Name, "member", id)
	}
	delete(sv.announcedLeave, id)
	delete(sv.excluded, id)
}

// incarnationID returns the ID that represents a former incarnation of a member. Connections
// for it are refused, because no running member has this ID.
func incarnationID(m tracker.Member) string {
	return m.ID + incarnationSeparator + strconv.FormatInt(m.StartTime, 10)
}

func isFormerIncarnation(id string) bool { return strings.Contains(id, incarnationSeparator) }

// withMissing adds the recorded members that are no longer registered. They may be running,
// partitioned from the store, or may have held the only copy of a commit.
func (sv *Supervisor) withMissing(members []tracker.Member) []tracker.Member {
	all := slices.Clone(members)
	recorded := maps.Clone(sv.formerIncarnations)
	maps.Copy(recorded, sv.State().Members)
	for id, address := range recorded {
		if !sv.registered[id] && !sv.excluded[id] {
			all = append(all, sv.missingMember(id, address))
		}
	}
	return all
}

// missingMember represents a recorded member that is not registered.
func (sv *Supervisor) missingMember(id, address string) tracker.Member {
	return tracker.Member{ID: id, Group: sv.Group.Name, Address: address, StartTime: sv.startTimes[id], Leaving: true, Missing: true}
}
