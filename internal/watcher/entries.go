package watcher

import (
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// applyMember applies a changed member entry and reports whether the members changed.
func (w *Watcher) applyMember(p storer.Pair) bool {
	e := w.entries[p.Key]
	if p.Revision == 0 {
		if e == nil || e.missingSince != 0 {
			return false
		}
		w.Log("event", "member-missing", "member", e.ID, "group", e.Group, "said-it-leaves", e.leavingSince != 0)
		if e.leavingSince != 0 {
			delete(w.entries, p.Key)
			return true
		}
		e.missingSince = w.changedSince
		return true
	}
	if e != nil && e.Revision > p.Revision {
		return false
	}
	m, err := w.DecodeMember(p.Key, p.Value, p.Revision)
	if err == nil && e != nil && e.StartTime != 0 && m.StartTime == 0 {
		err = errNoStartTime
	}
	if err != nil {
		return w.rejectEntry(p, e, err)
	}
	switch {
	case e == nil:
		e = &entry{}
		w.entries[p.Key] = e
	case m.StartTime < e.StartTime:
		w.Log("event", "earlier-life-ignored", "member", m.ID, "born", m.StartTime, "known", e.StartTime, "revision", p.Revision)
		return false
	case m.StartTime > e.StartTime && e.StartTime != 0:
		w.Log("event", "member-restarted", "member", m.ID, "group", m.Group, "born", m.StartTime, "before", e.StartTime, "revision", p.Revision)
		*e = entry{}
	}
	before := *e
	expired := e.Expired && m.Leaving
	e.Member, e.missingSince = m, 0
	e.Expired = expired
	if !m.Leaving {
		e.leavingSince = 0
	} else if e.leavingSince == 0 {
		e.leavingSince = w.changedSince
	}
	same := before.Member
	same.Revision = m.Revision
	if same == e.Member && before.missingSince == 0 {
		return false
	}
	w.Log("event", "member", "member", m.ID, "group", m.Group, "zone", m.Zone, "primary", m.Primary, "leaving", m.Leaving, "revision", m.Revision, "born", m.StartTime)
	return true
}

// rejectEntry handles an invalid entry. A known member is treated as if its entry had been
// deleted: it receives no new work but still counts in a failover. A live member rewrites
// its entry with its next heartbeat.
func (w *Watcher) rejectEntry(p storer.Pair, e *entry, cause error) bool {
	w.Log("event", "entry-rejected", "key", p.Key, "revision", p.Revision, "known", e != nil, "cause", cause)
	if e == nil || e.missingSince != 0 {
		return false
	}
	e.missingSince, e.Revision = w.changedSince, p.Revision
	return true
}

// applySnapshotDeletions applies the deletion of keys that a snapshot no longer holds.
func (w *Watcher) applySnapshotDeletions(seen map[string]bool) bool {
	changed := false
	for key := range w.entries {
		if !seen[key] {
			changed = w.applyMember(storer.Pair{Key: key}) || changed
		}
	}
	for key, exists := range w.ownershipExists {
		if exists && !seen[key] {
			w.applyPair(storer.Pair{Key: key})
		}
	}
	return changed
}

// expireMembers expires and removes members whose timeouts have passed.
func (w *Watcher) expireMembers() {
	now, changed := w.Clock(), false
	for key, e := range w.entries {
		if e.leavingSince != 0 && now-e.leavingSince > leavingTimeout && !e.Expired {
			w.Log("event", "member-expired", "member", e.ID, "group", e.Group)
			e.Expired = true
			changed = true
		}
		if e.missingSince != 0 && now-w.missingFrom(e) > missingRetention {
			w.Log("event", "member-dropped", "member", e.ID, "group", e.Group)
			delete(w.entries, key)
			changed = true
		} else if e.missingSince != 0 && !e.Leaving && w.isMissing(e) {
			e.Leaving, e.Missing = true, true
			changed = true
		}
	}
	if changed {
		w.notifyMembers()
	}
}

// missingFrom returns the time from which a deleted entry counts as missing. One that
// was deleted around an outage of the store gets a grace period to register again.
func (w *Watcher) missingFrom(e *entry) tracker.Timestamp {
	if w.outageEndedAt != 0 && e.missingSince-w.outageEndedAt < registrationGrace {
		return max(e.missingSince, w.outageEndedAt+registrationGrace)
	}
	return e.missingSince
}

// isMissing reports whether a deleted entry counts as missing now.
func (w *Watcher) isMissing(e *entry) bool {
	return w.storeReachable() && w.Clock() >= w.missingFrom(e)
}

// storeReachable reports whether the store answers this instance or a peer that sends it
// updates.
func (w *Watcher) storeReachable() bool {
	return !w.storeOutage || w.peerUpdateAt != 0 && w.Clock()-w.peerUpdateAt < peerUpdateLifetime
}

// notifyMembers calls OnMembers with the current members.
func (w *Watcher) notifyMembers() {
	list := make([]tracker.Member, 0, len(w.entries))
	for _, e := range w.entries {
		m := e.Member
		if e.missingSince != 0 && w.isMissing(e) {
			m.Leaving, m.Missing = true, true
		}
		list = append(list, m)
	}
	w.OnMembers(list)
}
