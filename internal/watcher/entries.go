package watcher

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// errRegistryRefilling means that members may not have registered again since an outage of the store.
var errRegistryRefilling = errors.New("members may still be registering after an outage of the store")

// ReadRegistry reads the registrations of the members from the store and applies them. Changes that
// the watch has not shown yet are included. It returns an error if registered members may be
// missing. It is safe for concurrent use.
func (w *Watcher) ReadRegistry(ctx context.Context) error {
	if !w.StoreAvailable() {
		return storer.ErrUnavailable
	}
	pairs, revision, err := w.Source.Snapshot(ctx, w.MemberPrefix)
	if err != nil {
		return err
	}
	u := update{pairs: pairs, revision: revision, refreshed: make(chan error, 1)}
	select {
	case w.refreshChannel() <- u:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-u.refreshed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Watcher) refreshChannel() chan update {
	w.refreshOnce.Do(func() { w.refreshes = make(chan update) })
	return w.refreshes
}

// applyRegistrations applies the registrations that ReadRegistry has read. Deletions are left to the
// watch.
func (w *Watcher) applyRegistrations(u update) error {
	now := w.Clock()
	// Else the known state is at least as new, and may have deletions that are not in u.
	if u.revision > w.revision {
		w.changedSince = now
		for _, p := range u.pairs {
			w.applyMember(p)
		}
		w.notifyMembers()
	}
	if w.storeOutage || w.outageEndedAt != 0 && now-w.outageEndedAt < registrationGrace {
		return errRegistryRefilling
	}
	return nil
}

// applyMember applies a changed member entry.
func (w *Watcher) applyMember(p storer.Pair) {
	e := w.entries[p.Key]
	if p.Revision == 0 {
		w.applyDeletion(p.Key, e)
		return
	}
	if e != nil && max(e.Revision, e.disputed.Revision) > p.Revision {
		return
	}
	m, err := w.DecodeMember(p.Key, p.Value, p.Revision)
	if err == nil && e != nil && e.StartTime != 0 && m.StartTime == 0 {
		err = errNoStartTime
	}
	if err != nil {
		w.rejectEntry(p, e, err)
		return
	}
	if e == nil {
		e = &entry{}
	}
	if m.StartTime < e.StartTime && !e.confirms(m, w.Clock()) {
		w.dispute(p.Key, e, m)
		return
	}
	w.register(p.Key, e, m)
}

// register stores the registration of a member.
func (w *Watcher) register(key string, e *entry, m tracker.Member) {
	before := *e
	e.disputed, e.disputedSince = tracker.Member{}, 0
	if m.StartTime != e.StartTime && e.StartTime != 0 {
		w.Log("event", "member-restarted", "member", m.ID, "group", m.Group, "born", m.StartTime, "before", e.StartTime, "revision", m.Revision)
		*e = entry{}
	}
	expired := e.Expired && m.Leaving
	e.Member, e.missingSince = m, 0
	e.Expired = expired
	if !m.Leaving {
		e.leavingSince = 0
	} else if e.leavingSince == 0 {
		e.leavingSince = w.changedSince
	}
	w.storeEntry(key, before.Group, e)
	same := before.Member
	same.Revision = m.Revision
	if same == e.Member && before.missingSince == 0 {
		return
	}
	w.changedGroups[m.Group] = true
	w.Log("event", "member", "member", m.ID, "group", m.Group, "zone", m.Zone, "primary", m.Primary, "leaving", m.Leaving, "revision", m.Revision, "born", m.StartTime)
}

// dispute keeps a registration with a smaller start time than the known one. It may be a late one of a
// former incarnation, which the next report replaces. It is that of the running member if the known
// start time came from another writer.
func (w *Watcher) dispute(key string, e *entry, m tracker.Member) {
	if m.Revision == e.disputed.Revision {
		return
	}
	w.Log("event", "earlier-life-ignored", "member", m.ID, "born", m.StartTime, "known", e.StartTime, "revision", m.Revision)
	if e.disputedSince == 0 {
		e.disputedSince = w.Clock()
	}
	if e.DisputedStart != m.StartTime {
		e.DisputedStart = m.StartTime
		w.changedGroups[e.Group] = true
	}
	e.disputed, w.ending[key] = m, e
}

// confirms reports whether a registration repeats the disputed start time.
func (e *entry) confirms(m tracker.Member, now tracker.Timestamp) bool {
	return e.disputedSince != 0 && m.StartTime == e.DisputedStart && m.Revision > e.disputed.Revision && now-e.disputedSince >= repeatedDisputeTimeout
}

// withdrawDispute ends a dispute when the store no longer holds the registration.
func (w *Watcher) withdrawDispute(e *entry) {
	if e == nil || e.disputedSince == 0 {
		return
	}
	e.disputed, e.disputedSince, e.DisputedStart = tracker.Member{}, 0, 0
	w.changedGroups[e.Group] = true
}

// settleDispute accepts a disputed registration that no other has replaced in time, and reports whether
// it did. While the store is not reachable, the other may not be visible.
func (w *Watcher) settleDispute(key string, e *entry, now tracker.Timestamp) bool {
	if e.disputedSince == 0 {
		return false
	}
	if !w.storeReachable() {
		e.disputedSince = now
		return false
	}
	if now-e.disputedSince < disputeTimeout && !w.isDropped(e) {
		return false
	}
	w.register(key, e, e.disputed)
	return true
}

// applyDeletion applies the deletion of a member's entry, which may be unknown.
func (w *Watcher) applyDeletion(key string, e *entry) {
	w.withdrawDispute(e)
	if e == nil || e.missingSince != 0 {
		return
	}
	w.Log("event", "member-missing", "member", e.ID, "group", e.Group, "said-it-leaves", e.leavingSince != 0)
	w.changedGroups[e.Group] = true
	if e.leavingSince != 0 {
		w.dropEntry(key, e)
		return
	}
	e.missingSince = w.changedSince
	w.ending[key] = e
}

// storeEntry stores an entry that belonged to a group before, "" if it is new.
func (w *Watcher) storeEntry(key, before string, e *entry) {
	if before != "" && before != e.Group {
		delete(w.groups[before], key)
		w.changedGroups[before] = true
	}
	if w.groups[e.Group] == nil {
		w.groups[e.Group] = map[string]*entry{}
	}
	w.entries[key], w.groups[e.Group][key] = e, e
	if e.leavingSince != 0 {
		w.ending[key] = e
	} else {
		delete(w.ending, key)
	}
}

// dropEntry removes an entry.
func (w *Watcher) dropEntry(key string, e *entry) {
	delete(w.entries, key)
	delete(w.ending, key)
	delete(w.groups[e.Group], key)
	w.changedGroups[e.Group] = true
}

// rejectEntry handles an invalid entry. A known member is treated as if its entry had been
// deleted: it receives no new work but still counts in a failover. A live member rewrites
// its entry with its next heartbeat.
func (w *Watcher) rejectEntry(p storer.Pair, e *entry, cause error) {
	w.Log("event", "entry-rejected", "key", p.Key, "revision", p.Revision, "known", e != nil, "cause", cause)
	w.withdrawDispute(e)
	if e == nil || e.missingSince != 0 {
		return
	}
	e.missingSince, e.Revision = w.changedSince, p.Revision
	w.ending[p.Key], w.changedGroups[e.Group] = e, true
}

// applySnapshotDeletions applies the deletion of keys that a snapshot no longer holds.
func (w *Watcher) applySnapshotDeletions(pairs []storer.Pair) {
	seen := make(map[string]bool, len(pairs))
	for _, p := range pairs {
		seen[p.Key] = true
	}
	for key, e := range w.entries {
		if !seen[key] {
			w.applyDeletion(key, e)
		}
	}
	for key, exists := range w.ownershipExists {
		if exists && !seen[key] {
			w.applyPair(storer.Pair{Key: key})
		}
	}
	for _, e := range w.ending {
		w.changedGroups[e.Group] = true
	}
}

// expireMembers expires and removes members whose timeouts have passed.
func (w *Watcher) expireMembers() {
	now := w.Clock()
	for key, e := range w.ending {
		if w.settleDispute(key, e, now) {
			continue
		}
		if e.leavingSince != 0 && now-e.leavingSince > leavingTimeout && !e.Expired {
			w.Log("event", "member-expired", "member", e.ID, "group", e.Group)
			e.Expired = true
			w.changedGroups[e.Group] = true
		}
		if w.isDropped(e) {
			w.Log("event", "member-dropped", "member", e.ID, "group", e.Group)
			w.dropEntry(key, e)
		} else if e.missingSince != 0 && !e.Leaving && w.isMissing(e) {
			e.Leaving, e.Missing = true, true
			w.changedGroups[e.Group] = true
		}
	}
	w.notifyMembers()
}

// missingFrom returns the time from which a deleted entry counts as missing. One that
// was deleted around an outage of the store gets a grace period to register again.
func (w *Watcher) missingFrom(e *entry) tracker.Timestamp {
	if w.outageEndedAt != 0 && e.missingSince-w.outageEndedAt < registrationGrace {
		return max(e.missingSince, w.outageEndedAt+registrationGrace)
	}
	return e.missingSince
}

// isDropped reports whether a deleted entry is not to be kept any longer.
func (w *Watcher) isDropped(e *entry) bool {
	return e.missingSince != 0 && w.Clock()-w.missingFrom(e) > missingRetention
}

// isMissing reports whether a deleted entry counts as missing now.
func (w *Watcher) isMissing(e *entry) bool {
	return w.storeReachable() && w.Clock() >= w.missingFrom(e)
}

// storeReachable reports whether the store answers this instance or a peer that sends it
// updates.
func (w *Watcher) storeReachable() bool {
	return !w.storeOutage || w.peerUpdateAt != 0 && w.Clock()-w.peerUpdateAt < missedPolls*w.peerPollInterval()
}

// notifyMembers calls OnMembers with the groups that have changed.
func (w *Watcher) notifyMembers() {
	if len(w.changedGroups) == 0 {
		return
	}
	groups := make(map[string][]tracker.Member, len(w.changedGroups))
	for group := range w.changedGroups {
		list := make([]tracker.Member, 0, len(w.groups[group]))
		for _, e := range w.groups[group] {
			m := e.Member
			if e.missingSince != 0 && w.isMissing(e) {
				m.Leaving, m.Missing = true, true
			}
			list = append(list, m)
		}
		groups[group] = list
		if len(list) == 0 {
			delete(w.groups, group)
		}
	}
	clear(w.changedGroups)
	w.OnMembers(groups)
}
