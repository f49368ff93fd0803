package watcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

// member returns the registration of a member as passed to OnMembers.
func (f *fixture) member(id string) tracker.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.members[id]
}

// mustRecover keeps a member reporting its entry at each heartbeat, and requires that it is used again
// with its own start time, while another member is usable throughout.
func (f *fixture) mustRecover(t *testing.T, value string, startTime int64, within time.Duration) {
	t.Helper()
	const heartbeat = 1200 * time.Millisecond
	for range within / heartbeat {
		f.put(t, "member/m", value)
		time.Sleep(heartbeat)
		must.True(t, f.usable("n"))
	}
	must.True(t, f.usable("m"))
	must.Eq(t, startTime, f.startTime("m"))
	must.Eq(t, 0, f.member("m").DisputedStart)
}

// runWithMembers runs members m and n, both started at 10.
func runWithMembers(t *testing.T, run func(t *testing.T, f *fixture)) {
	t.Helper()
	runFixture(t, func(t *testing.T, f *fixture) {
		f.put(t, "member/m", "ready@10")
		f.put(t, "member/n", "ready@10")
		time.Sleep(time.Second)
		run(t, f)
	})
}

// Guards against a member that is lost because an entry with a later start time than its own was
// written over its entry.
func TestStartTimeOfAnotherWriter(t *testing.T) {
	for _, odd := range []string{"ready@9000000000000", "leaving@9000000000000", "ready@11", "ready@9", "nonsense", "ready"} {
		t.Run(odd, func(t *testing.T) {
			runWithMembers(t, func(t *testing.T, f *fixture) {
				f.put(t, "member/m", odd)
				time.Sleep(time.Second)
				f.mustRecover(t, "ready@10", 10, 6*time.Second)
			})
		})
	}
	t.Run("entry changes once", func(t *testing.T) {
		runWithMembers(t, func(t *testing.T, f *fixture) {
			f.put(t, "member/m", "leaving@9000000000000")
			time.Sleep(time.Second)
			f.put(t, "member/m", "ready@10")
			time.Sleep(12 * time.Second)
			must.True(t, f.usable("m"))
			must.True(t, f.usable("n"))
			must.Eq(t, 10, f.startTime("m"))
		})
	})
	t.Run("member restarts meanwhile", func(t *testing.T) {
		runWithMembers(t, func(t *testing.T, f *fixture) {
			f.put(t, "member/m", "ready@9000000000000")
			time.Sleep(time.Second)
			f.mustRecover(t, "ready@20", 20, 6*time.Second)
		})
	})
	t.Run("entry is deleted before the member reports", func(t *testing.T) {
		runWithMembers(t, func(t *testing.T, f *fixture) {
			f.put(t, "member/m", "ready@9000000000000")
			time.Sleep(time.Second)
			f.remove(t, "member/m")
			time.Sleep(time.Second)
			f.put(t, "member/m", "ready@10")
			time.Sleep(8 * time.Second)
			must.True(t, f.usable("m"))
			must.Eq(t, 10, f.startTime("m"))
		})
	})
	t.Run("entry of its own", func(t *testing.T) {
		runWithMembers(t, func(t *testing.T, f *fixture) {
			f.put(t, "member/x", "ready@9000000000000")
			time.Sleep(time.Second)
			f.mustRecover(t, "ready@10", 10, 3*time.Second)
		})
	})
}

// Guards against stale reads and lost commits: a smaller start time may be that of a restarted member, so
// it counts as a restart before it is accepted. That of a late report is withdrawn by the next one.
func TestDisputedStartTime(t *testing.T) {
	t.Run("counts as a restart at once", func(t *testing.T) {
		runWithMembers(t, func(t *testing.T, f *fixture) {
			f.put(t, "member/m", "ready@30")
			time.Sleep(time.Second)
			before := f.member("m")
			f.put(t, "member/m", "ready@20")
			must.NoError(t, f.watcher.ReadRegistry(t.Context()))
			must.Eq(t, 30, f.startTime("m"))
			must.Eq(t, 20, f.member("m").DisputedStart)
			must.True(t, f.member("m").RestartedSince(before))
		})
	})
	t.Run("late report", func(t *testing.T) {
		runWithMembers(t, func(t *testing.T, f *fixture) {
			f.put(t, "member/m", "ready@30")
			time.Sleep(time.Second)
			f.put(t, "member/m", "leaving@10")
			time.Sleep(time.Second)
			must.Eq(t, 10, f.member("m").DisputedStart)
			f.put(t, "member/m", "ready@30")
			time.Sleep(time.Second)
			must.Eq(t, 0, f.member("m").DisputedStart)
			time.Sleep(20 * time.Second)
			must.True(t, f.usable("m"))
			must.Eq(t, 30, f.startTime("m"))
		})
	})
	t.Run("store unavailable meanwhile", func(t *testing.T) {
		runWithMembers(t, func(t *testing.T, f *fixture) {
			f.put(t, "member/m", "ready@30")
			time.Sleep(time.Second)
			f.put(t, "member/m", "leaving@10")
			time.Sleep(time.Second)
			f.setStoreDown(true)
			time.Sleep(30 * time.Second)
			must.Eq(t, 30, f.startTime("m"))
			f.setStoreDown(false)
			time.Sleep(time.Second)
			f.put(t, "member/m", "ready@30")
			time.Sleep(20 * time.Second)
			must.True(t, f.usable("m"))
			must.Eq(t, 30, f.startTime("m"))
		})
	})
}

// Guards against instances that can't pass on their state to peers, as another writer has added values that
// exceed the size of a message between instances.
func TestOversizedValues(t *testing.T) {
	oversized := strings.Repeat("x", 1<<20)
	for _, key := range []string{"member/m", "member/x", "duty/g"} {
		t.Run(key, func(t *testing.T) {
			runWithMembers(t, func(t *testing.T, f *fixture) {
				f.put(t, key, oversized)
				time.Sleep(time.Second)
				pairs, _ := f.watcher.State().Records.Whole()
				size := 0
				for _, p := range pairs {
					size += len(p.Value)
				}
				must.Less(t, 1<<10, size)
				must.SliceLen(t, len(f.pairs), pairs)
				f.mustRecover(t, "ready@10", 10, 3*time.Second)
			})
		})
	}
	t.Run("configuration", func(t *testing.T) {
		runWithMembers(t, func(t *testing.T, f *fixture) {
			f.put(t, "configuration", strings.Repeat(" ", 1<<19)+"9")
			time.Sleep(time.Second)
			must.Eq(t, []int64{7, 9}, f.configured())
		})
	})
}
