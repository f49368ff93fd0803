package recorder_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/oriolegw/oriolegw/internal/recorder"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

func pair(key string, revision int64) storer.Pair {
	return storer.Pair{Key: key, Value: fmt.Append(nil, key, revision), Revision: revision}
}

func keys(pairs []storer.Pair) []string {
	var list []string
	for _, p := range pairs {
		list = append(list, fmt.Sprint(p.Key, p.Revision))
	}
	return list
}

func ExampleRecorder() {
	var r recorder.Recorder
	r.Apply([]storer.Pair{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, 4, true)
	r.Apply([]storer.Pair{{Key: "a"}, {Key: "c", Revision: 6}}, 6, false)
	changes, complete := r.Since(4)
	fmt.Println(len(changes), complete)
	// Output: 2 true
}

func TestSince(t *testing.T) {
	var r recorder.Recorder
	r.Apply([]storer.Pair{pair("a", 1), pair("b", 2), pair("c", 3)}, 3, true)
	r.Apply([]storer.Pair{pair("b", 5), {Key: "c"}}, 6, false)
	r.Apply([]storer.Pair{pair("d", 7), pair("b", 8)}, 8, false)
	for _, c := range []struct {
		name     string
		revision int64
		want     []string
		complete bool
	}{
		{"nothing known", 0, nil, false},
		{"before the first snapshot", 2, nil, false},
		{"deletion included", 3, []string{"c0", "d7", "b8"}, true},
		{"after the deletion", 6, []string{"d7", "b8"}, true},
		{"up to date", 8, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			pairs, complete := r.Since(c.revision)
			must.Eq(t, c.want, keys(pairs))
			must.Eq(t, c.complete, complete)
		})
	}
	pairs, revision := r.Whole()
	must.Eq(t, []string{"a1", "b8", "d7"}, keys(pairs))
	must.Eq(t, 8, revision)
}

// A deleted key that is written again must not be reported as deleted.
func TestRecreatedKey(t *testing.T) {
	var r recorder.Recorder
	r.Apply([]storer.Pair{pair("a", 1)}, 1, true)
	r.Apply([]storer.Pair{{Key: "a"}}, 2, false)
	r.Apply([]storer.Pair{pair("a", 3)}, 3, false)
	pairs, _ := r.Since(1)
	must.Eq(t, []string{"a3"}, keys(pairs))
}

// Guards against losing a key that is deleted and written again within one update.
func TestKeyRecreatedWithinUpdate(t *testing.T) {
	r := &recorder.Recorder{}
	r.Apply([]storer.Pair{pair("a", 5)}, 10, true)
	r.Apply([]storer.Pair{pair("a", 0), pair("a", 12)}, 13, false)
	pairs, _ := r.Whole()
	must.Eq(t, []string{"a12"}, keys(pairs))
	pairs, complete := r.Since(10)
	must.True(t, complete)
	must.Eq(t, []string{"a12"}, keys(pairs))
}

// Pages of a snapshot may hold pairs newer than its revision, and a later update repeats them.
func TestSnapshotReadDuringChanges(t *testing.T) {
	var r recorder.Recorder
	r.Apply([]storer.Pair{pair("a", 1), pair("z", 9)}, 5, true)
	r.Apply([]storer.Pair{pair("b", 7), pair("z", 9)}, 9, false)
	pairs, complete := r.Since(5)
	must.True(t, complete)
	must.Eq(t, []string{"b7", "z9"}, keys(pairs))
	r.Apply([]storer.Pair{pair("b", 7)}, 11, true)
	pairs, _ = r.Since(9)
	must.Eq(t, []string{"a0", "z0"}, keys(pairs))
}

// A follower that applies what Since returns must reach the recorder's state, whatever it
// missed.
func TestFollowersConverge(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var r recorder.Recorder
		followers, known := make([]map[string]int64, 5), make([]int64, 5)
		for n := range followers {
			followers[n] = map[string]int64{}
		}
		state := map[string]int64{}
		for revision := int64(1); revision < 2000; revision++ {
			key := fmt.Sprint("k", random.IntN(60))
			p := pair(key, revision)
			if _, exists := state[key]; exists && random.IntN(2) == 0 {
				p = storer.Pair{Key: key}
				delete(state, key)
			} else {
				state[key] = revision
			}
			r.Apply([]storer.Pair{p}, revision, false)
			n := random.IntN(len(followers))
			if n > 0 && random.IntN(n*40) > 0 {
				continue
			}
			pairs, complete := r.Since(known[n])
			if !complete {
				clear(followers[n])
				pairs, _ = r.Whole()
			}
			for _, p := range pairs {
				delete(followers[n], p.Key)
				if p.Revision != 0 {
					followers[n][p.Key] = p.Revision
				}
			}
			known[n] = revision
			must.True(t, maps.Equal(state, followers[n]), must.Sprint(seed, revision, n))
		}
	}
}

// steps returns the work of 100 updates, each asked for by a follower, on a state of n keys.
func steps(n int) int {
	var r recorder.Recorder
	var all []storer.Pair
	for k := range n {
		all = append(all, pair(fmt.Sprint("k", k), int64(k+1)))
	}
	r.Apply(all, int64(n), true)
	before := r.Steps()
	for u := range int64(100) {
		revision := int64(n) + u + 1
		r.Apply([]storer.Pair{pair(fmt.Sprint("k", u), revision)}, revision, false)
		r.Since(revision - 1)
	}
	return r.Steps() - before
}

// The work of an update must not grow with the number of keys.
func TestWorkFollowsChanges(t *testing.T) {
	must.Eq(t, steps(1000), steps(2000))
	must.LessEq(t, 300, steps(4000))
}

// Deletions are bounded; a follower that has missed dropped ones gets the whole state.
func TestDeletionsAreBounded(t *testing.T) {
	var r recorder.Recorder
	r.Apply([]storer.Pair{pair("keep", 1)}, 1, true)
	revision := int64(1)
	for n := range 5000 {
		revision += 2
		r.Apply([]storer.Pair{pair(fmt.Sprint("k", n), revision-1)}, revision-1, false)
		r.Apply([]storer.Pair{{Key: fmt.Sprint("k", n)}}, revision, false)
	}
	_, complete := r.Since(1)
	must.False(t, complete)
	pairs, _ := r.Whole()
	must.Eq(t, []string{"keep1"}, keys(pairs))
	pairs, complete = r.Since(revision - 20)
	must.True(t, complete)
	must.SliceLen(t, 10, pairs)
	must.False(t, slices.ContainsFunc(pairs, func(p storer.Pair) bool { return p.Revision != 0 }))
}
