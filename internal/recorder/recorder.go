// Package recorder records the latest value of each key of the store, and answers which keys have
// changed after a revision. The cost of an update and of an answer follows the number of changes,
// not the number of keys.
package recorder

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/oriolegw/oriolegw/internal/storer"
)

const (
	// maxDeletions bounds the retained deletions. A reader that has missed more needs the
	// whole state.
	maxDeletions = 256
	// minObsolete is how many obsolete changes are kept at least before the log is compacted,
	// so that a small state isn't compacted at each update.
	minObsolete = 256
)

type (
	// Recorder holds the state of the store. The zero value is empty. It is safe for concurrent
	// use.
	Recorder struct {
		mutex    sync.Mutex
		revision int64
		// latest is the revision of the last change of each key, including recent deletions.
		latest map[string]int64
		// log holds the changes in the order of their revisions. A change is obsolete if latest
		// has a newer one of its key.
		log []change
		// live and deleted count the keys that exist, and the retained deletions.
		live, deleted int
		// completeSince is the revision after which all deletions are retained.
		completeSince int64
		steps         int
	}

	// change is a written pair, or a deletion that was detected at a revision.
	change struct {
		storer.Pair
		revision int64
	}
)

// Apply records the changes up to a revision, in their order; a pair with revision 0 is a deletion.
// With snapshot set, the pairs are the whole state, and other keys have been deleted.
func (r *Recorder) Apply(pairs []storer.Pair, revision int64, snapshot bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision < r.revision {
		return
	}
	if r.latest == nil {
		r.latest, r.completeSince = map[string]int64{}, revision
	}
	if snapshot {
		pairs = r.withDeletions(pairs)
	} else {
		pairs = lastOfEachKey(pairs)
	}
	added := len(r.log)
	for _, p := range pairs {
		r.steps++
		r.record(p, revision)
	}
	r.sortFrom(added)
	r.revision = revision
	if len(r.log)-r.live-r.deleted > max(minObsolete, r.live) || r.deleted > 2*maxDeletions {
		r.compact()
	}
}

// withDeletions adds a deletion for each existing key that a snapshot no longer holds.
func (r *Recorder) withDeletions(pairs []storer.Pair) []storer.Pair {
	present := make(map[string]bool, len(pairs))
	for _, p := range pairs {
		present[p.Key] = true
	}
	all := slices.Clone(pairs)
	for _, c := range r.log {
		if c.Revision != 0 && !r.obsolete(c) && !present[c.Key] {
			all = append(all, storer.Pair{Key: c.Key})
		}
	}
	return all
}

// lastOfEachKey drops the changes that a later one of the same key follows. A deletion has no
// revision of its own and is recorded at that of the update, so a key that is deleted and written
// again within one update would count as deleted.
func lastOfEachKey(pairs []storer.Pair) []storer.Pair {
	last := make(map[string]int, len(pairs))
	for n, p := range pairs {
		last[p.Key] = n
	}
	if len(last) == len(pairs) {
		return pairs
	}
	kept := make([]storer.Pair, 0, len(last))
	for n, p := range pairs {
		if last[p.Key] == n {
			kept = append(kept, p)
		}
	}
	return kept
}

// record appends one change to the log.
func (r *Recorder) record(p storer.Pair, revision int64) {
	c := change{Pair: p, revision: cmp.Or(p.Revision, revision)}
	previous, known := r.latest[p.Key]
	exists := known && previous > 0
	switch {
	case p.Revision == 0 && !exists, p.Revision != 0 && known && abs(previous) >= c.revision:
		return
	case p.Revision == 0:
		r.live--
		r.deleted++
		r.latest[p.Key] = -c.revision
	default:
		if !exists {
			r.live++
		}
		if known && !exists {
			r.deleted--
		}
		r.latest[p.Key] = c.revision
	}
	r.log = append(r.log, c)
}

// sortFrom restores the order of the log after changes were appended at an index. They are newer
// than the others but for pairs of a snapshot that was read while the store changed.
func (r *Recorder) sortFrom(added int) {
	byRevision := func(a, b change) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), strings.Compare(a.Key, b.Key))
	}
	tail := r.log[added:]
	slices.SortFunc(tail, byRevision)
	if added > 0 && len(tail) > 0 && tail[0].revision < r.log[added-1].revision {
		r.steps += len(r.log)
		slices.SortFunc(r.log, byRevision)
	}
}

// obsolete reports whether a newer change of the key is recorded. The revision of a deletion is
// negative in latest.
func (r *Recorder) obsolete(c change) bool {
	want := c.revision
	if c.Revision == 0 {
		want = -want
	}
	return r.latest[c.Key] != want
}

// compact drops obsolete changes and the oldest deletions.
func (r *Recorder) compact() {
	r.steps += len(r.log)
	excess := max(0, r.deleted-maxDeletions)
	r.log = slices.DeleteFunc(r.log, func(c change) bool {
		if r.obsolete(c) {
			return true
		}
		if c.Revision != 0 || excess == 0 {
			return false
		}
		excess--
		r.deleted--
		delete(r.latest, c.Key)
		r.completeSince = c.revision
		return true
	})
}

// Since returns the changes after a revision. complete is false if a reader at that revision needs
// the whole state, because not all deletions since then are retained.
func (r *Recorder) Since(revision int64) (pairs []storer.Pair, complete bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision == 0 || revision < r.completeSince {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(r.log, revision+1, func(c change, target int64) int { return cmp.Compare(c.revision, target) })
	for _, c := range r.log[first:] {
		r.steps++
		if !r.obsolete(c) {
			pairs = append(pairs, c.Pair)
		}
	}
	return pairs, true
}

// Whole returns all existing pairs by key, and their revision.
func (r *Recorder) Whole() (pairs []storer.Pair, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.steps += len(r.log)
	pairs = make([]storer.Pair, 0, r.live)
	for _, c := range r.log {
		if c.Revision != 0 && !r.obsolete(c) {
			pairs = append(pairs, c.Pair)
		}
	}
	slices.SortFunc(pairs, func(a, b storer.Pair) int { return strings.Compare(a.Key, b.Key) })
	return pairs, r.revision
}

// Steps returns how many changes were read or written so far.
func (r *Recorder) Steps() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.steps
}

func abs(n int64) int64 { return max(n, -n) }
