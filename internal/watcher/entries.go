package watcher

import (
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file keeps the members' entries: who is there, who leaves, who has vanished and for
// how long that may have been the store's doing.

func (w *Watcher) member(p storer.Pair) bool {
	e := w.entries[p.Key]
	if p.Revision == 0 {
		if e == nil || e.missing != 0 {
			return false
		}
		w.Log("event", "member-missing", "member", e.ID, "group", e.Group, "said-it-leaves", e.leaving != 0)
		if e.leaving != 0 {
			delete(w.entries, p.Key)
			return true
		}
		e.missing = w.since
		return true
	}
	if e != nil && e.Revision > p.Revision {
		return false
	}
	m, err := w.DecodeMember(p.Key, p.Value, p.Revision)
	if err == nil && e != nil && e.Born != 0 && m.Born == 0 {
		err = errNoBirth
	}
	if err != nil {
		return w.reject(p, e, err)
	}
	switch {
	case e == nil:
		e = &entry{}
		w.entries[p.Key] = e
	case m.Born < e.Born:
		w.Log("event", "earlier-life-ignored", "member", m.ID, "born", m.Born, "known", e.Born, "revision", p.Revision)
		return false
	case m.Born > e.Born && e.Born != 0:
		w.Log("event", "member-restarted", "member", m.ID, "group", m.Group, "born", m.Born, "before", e.Born, "revision", p.Revision)
		*e = entry{}
	}
	before := *e
	expired := e.Expired && m.Leaving
	e.Member, e.missing = m, 0
	e.Expired = expired
	if !m.Leaving {
		e.leaving = 0
	} else if e.leaving == 0 {
		e.leaving = w.since
	}
	same := before.Member
	same.Revision = m.Revision
	if same == e.Member && before.missing == 0 {
		return false
	}
	w.Log("event", "member", "member", m.ID, "group", m.Group, "zone", m.Zone, "primary", m.Primary, "leaving", m.Leaving, "revision", m.Revision, "born", m.Born)
	return true
}

// reject takes in an entry that no member can have written. It names no member to use,
// so one that was known by it is treated as if the entry were gone: nothing new is sent
// there, and its log still counts when the lead moves. A member that lives writes its
// entry again with its next heartbeat.
func (w *Watcher) reject(p storer.Pair, e *entry, cause error) bool {
	w.Log("event", "entry-rejected", "key", p.Key, "revision", p.Revision, "known", e != nil, "cause", cause)
	if e == nil || e.missing != 0 {
		return false
	}
	e.missing, e.Revision = w.since, p.Revision
	return true
}

// missing notes what a whole reading no longer has.
func (w *Watcher) missing(seen map[string]bool) bool {
	changed := false
	for key := range w.entries {
		if !seen[key] {
			changed = w.member(storer.Pair{Key: key}) || changed
		}
	}
	for key, held := range w.duties {
		if held && !seen[key] {
			w.take(storer.Pair{Key: key})
		}
	}
	return changed
}

// expire drops members whose time is up.
func (w *Watcher) expire() {
	now, changed := w.Clock(), false
	for key, e := range w.entries {
		if e.leaving != 0 && now-e.leaving > leavingKept && !e.Expired {
			w.Log("event", "member-expired", "member", e.ID, "group", e.Group)
			e.Expired = true
			changed = true
		}
		if e.missing != 0 && now-w.lapsed(e) > goneKept {
			w.Log("event", "member-dropped", "member", e.ID, "group", e.Group)
			delete(w.entries, key)
			changed = true
		} else if e.missing != 0 && !e.Leaving && w.gone(e) {
			e.Leaving, e.Missing = true, true
			changed = true
		}
	}
	if changed {
		w.publish()
	}
}

// lapsed is since when an entry counts as gone. One that vanished around an outage
// of the store gets the time to come back.
func (w *Watcher) lapsed(e *entry) tracker.Stamp {
	if w.restored != 0 && e.missing-w.restored < lapseGrace {
		return max(e.missing, w.restored+lapseGrace)
	}
	return e.missing
}

func (w *Watcher) gone(e *entry) bool { return w.heardOfStore() && w.Clock() >= w.lapsed(e) }

// heardOfStore reports whether the store answers, this instance or one that tells it.
func (w *Watcher) heardOfStore() bool {
	return !w.outage || w.told != 0 && w.Clock()-w.told < toldFor
}

func (w *Watcher) publish() {
	list := make([]tracker.Member, 0, len(w.entries))
	for _, e := range w.entries {
		m := e.Member
		if e.missing != 0 && w.gone(e) {
			m.Leaving, m.Missing = true, true
		}
		list = append(list, m)
	}
	w.Members(list)
}
