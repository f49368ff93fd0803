package elector

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file decides whose logs count when the primary changes: registered members, missing
// members, and former incarnations of restarted members.

// lastPrimaryComplete reports whether the last primary, demoted or not, still holds every
// acknowledged commit: all members respond, none has seen a newer term, and it has not
// restarted.
func (k *Keeper) lastPrimaryComplete() bool {
	found := false
	for id, l := range k.members {
		if isFormerIncarnation(id) {
			continue
		}
		if !l.Answered || max(l.Status.Term, l.Status.Received.Term) > k.lastLeader.Term {
			return false
		}
		found = found || id == k.lastLeader.ID && l.Born == k.lastLeader.Born
	}
	return found
}

// excludeDeparted excludes members that have left, once a replica holds everything that the
// primary held after they left. Until then they may hold the only copy of a commit.
func (k *Keeper) excludeDeparted() {
	now, primaryComplete := k.Clock(), k.lastPrimaryComplete()
	for id, l := range k.members {
		if l.Answered && k.excluded[id] {
			k.include(id)
		}
		departed := l.departed || isFormerIncarnation(id)
		if k.excluded[id] || !departed && (l.Answered || k.registered[id] || !k.announcedLeave[id]) {
			l.departedAt = 0
			continue
		}
		if l.departedAt == 0 {
			l.departedAt = now
		}
		if by := k.coveredBy(l.departedAt); by != "" {
			k.exclude(id, by)
		} else if primaryComplete && isFormerIncarnation(id) {
			k.exclude(id, k.lastLeader.ID)
		}
	}
}

// coveredBy returns a replica that holds everything the primary held at the given time or
// later, "" if there is none.
func (k *Keeper) coveredBy(at tracker.Stamp) string {
	for _, r := range k.members {
		if r.Answered && !r.Leaving && r.coveredAt > at {
			return r.ID
		}
	}
	return ""
}

// exclude removes a departed member from those whose logs count, since replica by covers it.
func (k *Keeper) exclude(id, by string) {
	k.Log("event", "member-counted-out", "group", k.Group.Name, "member", id, "covered-by", by)
	k.excluded[id] = true
	delete(k.formerIncarnations, id)
}

// handleRestart treats a restarted member as new. Its former incarnation counts as a missing
// member until a replica is known to hold everything it may have acknowledged; a former
// primary's commits are on a replica already.
func (k *Keeper) handleRestart(l *memberState) {
	k.Log("event", "member-restarted", "group", k.Group.Name, "member", l.ID, "before", l.Born, "led", l.ID == k.primary)
	l.close()
	l.departed = true
	delete(k.resumePendingUntil, l.ID)
	if l.ID == k.primary || k.Synchronous() == 0 {
		return
	}
	id := incarnationID(l.Member)
	k.formerIncarnations[id] = l.Address
	k.members[id] = &memberState{departed: true, Observation: Observation{Member: k.missingMember(id, l.Address)}}
}

// include reverses exclude for a member that has returned.
func (k *Keeper) include(id string) {
	if k.excluded[id] {
		k.Log("event", "member-counted-in", "group", k.Group.Name, "member", id)
	}
	delete(k.announcedLeave, id)
	delete(k.excluded, id)
}

// incarnationID returns the ID that represents a former incarnation of a member. Connections
// for it are refused, because no running member has this ID.
func incarnationID(m tracker.Member) string {
	return m.ID + incarnationSeparator + strconv.FormatInt(m.Born, 10)
}

func isFormerIncarnation(id string) bool { return strings.Contains(id, incarnationSeparator) }

// withMissing adds the recorded members that are no longer registered. They may be running,
// partitioned from the store, or may have held the only copy of a commit.
func (k *Keeper) withMissing(members []tracker.Member) []tracker.Member {
	all := slices.Clone(members)
	recorded := maps.Clone(k.formerIncarnations)
	maps.Copy(recorded, k.Facts().Members)
	for id, address := range recorded {
		if !k.registered[id] && !k.excluded[id] {
			all = append(all, k.missingMember(id, address))
		}
	}
	return all
}

// missingMember represents a recorded member that is not registered.
func (k *Keeper) missingMember(id, address string) tracker.Member {
	return tracker.Member{ID: id, Group: k.Group.Name, Address: address, Leaving: true, Missing: true}
}
