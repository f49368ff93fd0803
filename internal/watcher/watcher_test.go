package watcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/shoenig/test/must"
)

// stage is a watcher over a store, and what it has told.
type stage struct {
	store   *storer.Memory
	pairs   map[string]storer.Pair
	watcher *watcher.Watcher

	follows atomic.Bool

	mutex    sync.Mutex
	told     *watcher.News
	versions []int64
	members  map[string]tracker.Member
}

func play(t *testing.T, happens func(t *testing.T, s *stage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &stage{store: storer.NewMemory(), pairs: map[string]storer.Pair{}}
		begin := time.Now()
		w := &watcher.Watcher{
			Source: s.store, InForce: 3 * time.Second, Clock: func() tracker.Stamp { return time.Since(begin) + time.Hour },
			ConfigurationKey: "configuration", MemberPrefix: "member/", DutyPrefix: "duty/",
			DecodeConfiguration: func(value []byte) (*tracker.Configuration, error) {
				c := &tracker.Configuration{}
				return c, json.Unmarshal(value, &c.Version)
			},
			DecodeMember: decodeMember,
			Configured: func(c *tracker.Configuration) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				s.versions = append(s.versions, c.Version)
			},
			Members: func(list []tracker.Member) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				s.members = map[string]tracker.Member{}
				for _, m := range list {
					s.members[m.ID] = m
				}
			},
			Duty: func(storer.Pair) {}, Log: func(...any) {}, Hear: s.hear, Follows: s.follows.Load,
		}
		s.watcher = w
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		defer func() {
			cancel()
			<-ended
		}()
		s.put(t, "configuration", "7")
		s.put(t, "member/m", "ready")
		time.Sleep(time.Second)
		must.True(t, s.usable("m"))
		happens(t, s)
	})
}

// decodeMember reads "ready", "leaving", and either with "@" and the moment of birth.
func decodeMember(key string, value []byte, revision int64) (tracker.Member, error) {
	state, born, _ := strings.Cut(string(value), "@")
	if state != "ready" && state != "leaving" {
		return tracker.Member{}, errors.New("unknown state")
	}
	m := tracker.Member{ID: strings.TrimPrefix(key, "member/"), Leaving: state == "leaving", Revision: revision}
	if born == "" {
		return m, nil
	}
	var err error
	m.Born, err = strconv.ParseInt(born, 10, 64)
	return m, err
}

func (s *stage) put(t *testing.T, key, value string) {
	t.Helper()
	p, ok, err := s.store.Swap(t.Context(), storer.Pair{Key: key, Value: []byte(value), Revision: s.pairs[key].Revision}, 0)
	must.NoError(t, err)
	must.True(t, ok)
	s.pairs[key] = p
}

// tell is what another instance answers from now on.
func (s *stage) tell(n watcher.News) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.told = &n
}

func (s *stage) hear(context.Context, int64) (watcher.News, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.told == nil {
		return watcher.News{}, errors.New("nobody has news")
	}
	return *s.told, nil
}

func (s *stage) remove(t *testing.T, key string) {
	t.Helper()
	ok, err := s.store.Delete(t.Context(), s.pairs[key])
	must.NoError(t, err)
	must.True(t, ok)
	s.pairs[key] = storer.Pair{}
}

// usable reports whether new work may go to a member.
func (s *stage) usable(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m, ok := s.members[id]
	return ok && !m.Leaving && !m.Expired
}

// configured returns the versions that came into force.
func (s *stage) configured() []int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.versions)
}

func (s *stage) known(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, ok := s.members[id]
	return ok
}

func (s *stage) away(away bool) { s.store.SetFaults(func(f *storer.Faults) { f.Down = away }) }

// Versions only rise, whatever is read in which order, and a value that can't be read
// leaves the one in force.
func TestVersionsRise(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		for _, v := range []string{"9", "8", "nonsense", "9", "12"} {
			s.put(t, "configuration", v)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		must.Eq(t, []int64{7, 9, 12}, s.configured())
	})
}

// An entry that vanishes while the store is well is gone at once: nothing new is sent.
func TestEntryVanishes(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		s.remove(t, "member/m")
		time.Sleep(500 * time.Millisecond)
		must.False(t, s.usable("m"))
		must.True(t, s.known("m"))
		time.Sleep(6 * time.Second)
		must.False(t, s.known("m"))
	})
}

// The store was away, and entries have lapsed meanwhile. Members that live are back two
// seconds after its return; until then they must be used, or all would stand still.
func TestEntryLapsesInOutage(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		s.away(true)
		time.Sleep(4 * time.Second)
		// The store drops the entry, and answers nobody before and after.
		s.away(false)
		s.remove(t, "member/m")
		s.away(true)
		time.Sleep(time.Second)
		s.away(false)
		time.Sleep(1500 * time.Millisecond)
		must.True(t, s.usable("m"))
		time.Sleep(2 * time.Second)
		must.False(t, s.usable("m"))
	})
}

// A member said that it leaves while this instance was turned away by the store. The
// time in which it may still be used runs from when the store was last heard, not from
// when the news came: else requests reach it long after it may be gone.
func TestLeavingLearnedLate(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		s.put(t, "member/m", "leaving")
		s.away(true)
		time.Sleep(8 * time.Second)
		s.away(false)
		time.Sleep(time.Second)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		must.True(t, s.members["m"].Expired)
	})
}

// A member that leaves is used no more, but stays known while it is registered: it may
// still acknowledge commits.
func TestLeaving(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		s.put(t, "member/m", "leaving")
		time.Sleep(time.Second)
		must.False(t, s.usable("m"))
		time.Sleep(10 * time.Second)
		must.True(t, s.known("m"))
		s.remove(t, "member/m")
		time.Sleep(500 * time.Millisecond)
		must.False(t, s.known("m"))
	})
}

func (s *stage) born(id string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.members[id].Born
}

// A member says that it leaves, ends, and starts again under its ID before anybody has
// seen it gone. Callers' work goes to its new life. What its earlier life had written
// comes late, with a newer revision: it is no news, or a member that is well would be
// left alone, and what its earlier life was taken for believed of it.
func TestMemberStartsAgain(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		s.put(t, "member/m", "leaving@10")
		time.Sleep(time.Second)
		must.False(t, s.usable("m"))
		s.put(t, "member/m", "ready@20")
		time.Sleep(time.Second)
		must.True(t, s.usable("m"))
		must.Eq(t, 20, s.born("m"))
		s.put(t, "member/m", "leaving@10")
		time.Sleep(time.Second)
		must.True(t, s.usable("m"))
		must.Eq(t, 20, s.born("m"))
		time.Sleep(8 * time.Second)
		must.True(t, s.usable("m"))
	})
}

// Somebody else writes under a member's key, and under one that no member has. Callers'
// work goes to nobody by such an entry, and on to the others; the member is used again
// when it has written its own entry.
func TestForeignEntry(t *testing.T) {
	for _, value := range []string{"nonsense", "starting@10", "ready", "ready@x"} {
		t.Run(value, func(t *testing.T) {
			play(t, func(t *testing.T, s *stage) {
				s.put(t, "member/m", "ready@10")
				s.put(t, "member/n", "ready@10")
				time.Sleep(time.Second)
				s.put(t, "member/m", value)
				s.put(t, "member/x", "nonsense")
				time.Sleep(time.Second)
				must.False(t, s.usable("m"))
				must.False(t, s.usable("x"))
				must.True(t, s.usable("n"))
				must.True(t, s.known("m"))
				s.put(t, "member/m", "ready@10")
				time.Sleep(time.Second)
				must.True(t, s.usable("m"))
			})
		})
	}
}

// The store turns this instance away, and another one tells what it has read. What is newer
// comes into force; what is older, told later by one that has been cut off for longer,
// changes nothing: no version goes back, and no member that has gone returns.
func TestToldNews(t *testing.T) {
	told := func(revision int64, version string, members ...string) watcher.News {
		n := watcher.News{Revision: revision, From: "peer", Heard: time.Hour, Pairs: []storer.Pair{{Key: "configuration", Value: []byte(version), Revision: revision}}}
		for _, m := range members {
			n.Pairs = append(n.Pairs, storer.Pair{Key: "member/" + m, Value: []byte("ready"), Revision: revision})
		}
		return n
	}
	play(t, func(t *testing.T, s *stage) {
		s.tell(told(90, "20", "n"))
		time.Sleep(time.Second)
		must.Eq(t, []int64{7}, s.configured()) // the store answers: nobody is asked
		s.away(true)
		time.Sleep(4 * time.Second)
		must.Eq(t, []int64{7, 20}, s.configured())
		must.True(t, s.usable("n"))
		must.False(t, s.usable("m"))
		s.tell(told(80, "19", "m", "n"))
		time.Sleep(2 * time.Second)
		must.Eq(t, []int64{7, 20}, s.configured())
		must.False(t, s.usable("m"))
	})
}

// Others of the zone read the store for this instance. It asks the store no more, and what
// they tell is in force as soon. When none of them says that the store answers it, this
// instance reads for itself again within two seconds: callers must not be served by what
// nobody reads any more.
func TestFollow(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		n := watcher.News{Revision: 1, From: "peer", Heard: time.Hour, Reads: true}
		s.tell(n)
		s.follows.Store(true)
		time.Sleep(4 * time.Second)
		s.put(t, "configuration", "20")
		n.Revision = s.pairs["configuration"].Revision
		n.Pairs = []storer.Pair{s.pairs["configuration"], s.pairs["member/m"]}
		s.tell(n)
		time.Sleep(time.Second)
		must.Eq(t, []int64{7, 20}, s.configured())
		calls := total(s.store.Calls())
		time.Sleep(10 * time.Second)
		must.Eq(t, calls, total(s.store.Calls()))
		n.Reads = false
		s.tell(n)
		s.put(t, "configuration", "31")
		time.Sleep(2500 * time.Millisecond)
		must.Eq(t, []int64{7, 20, 31}, s.configured())
	})
}

func total(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}

// The store is down for ten seconds. Instances that others of the region read it for leave
// it to those to find out when it answers again, and then do as those say: hundreds that
// ask twice a second use up the store's rate when it returns.
func TestFollowersSpareTheStore(t *testing.T) {
	asked := func(t *testing.T, follows bool) (n int) {
		play(t, func(t *testing.T, s *stage) {
			s.follows.Store(follows)
			s.tell(watcher.News{Revision: 2, From: "peer"})
			s.store.SetFaults(func(f *storer.Faults) { f.Down = true })
			time.Sleep(3 * time.Second)
			before := s.store.Calls()["list"]
			time.Sleep(10 * time.Second)
			n = s.store.Calls()["list"] - before
			s.store.SetFaults(func(f *storer.Faults) { f.Down = false })
			s.put(t, "configuration", "9")
			time.Sleep(2 * time.Second)
			versions := s.configured()
			must.Eq(t, int64(9), versions[len(versions)-1])
		})
		return n
	}
	must.Greater(t, 20, asked(t, false))
	must.LessEq(t, 14, asked(t, true))
}

// An instance is told by another only what has changed since it last heard: keys that come,
// change, end and come again, more ends than are remembered, and pauses in which it hears
// nothing. It must hold just what the other holds. A member that has ended and is still held
// would be sent work for good.
func TestChangesAddUp(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, func(t *testing.T, s *stage) {
				var deaf atomic.Bool
				partial := 0
				ctx, cancel := context.WithCancel(t.Context())
				away := storer.NewMemory()
				away.SetFaults(func(f *storer.Faults) { f.Down = true })
				follower := &watcher.Watcher{
					Source: away, InForce: s.watcher.InForce, Clock: s.watcher.Clock,
					ConfigurationKey: "configuration", MemberPrefix: "member/", DutyPrefix: "duty/", InstancePrefix: "instance/",
					DecodeConfiguration: s.watcher.DecodeConfiguration, DecodeMember: decodeMember,
					Configured: func(*tracker.Configuration) {}, Members: func([]tracker.Member) {}, Duty: func(storer.Pair) {}, Log: func(...any) {},
					Hear: func(_ context.Context, revision int64) (watcher.News, error) {
						if deaf.Load() {
							return watcher.News{}, errors.New("cut off")
						}
						k := s.watcher.Known()
						n := watcher.News{Revision: k.Revision, Heard: k.Heard, Reads: true, From: "peer"}
						n.Pairs, n.Partial = k.Since(revision)
						if n.Partial && len(n.Pairs) > 0 {
							partial++
						}
						return n, nil
					},
				}
				ended := make(chan error, 1)
				go func() { ended <- follower.Run(ctx) }()
				r := rand.New(rand.NewPCG(seed, seed))
				for range 40 {
					deaf.Store(r.IntN(3) > 0)
					for range r.IntN(60) {
						key := fmt.Sprint("member/x", r.IntN(12))
						if s.pairs[key].Revision != 0 && r.IntN(2) == 0 {
							s.remove(t, key)
						} else {
							s.put(t, key, "ready")
						}
					}
					time.Sleep(time.Second)
				}
				mustAgree := func() {
					t.Helper()
					deaf.Store(false)
					time.Sleep(2 * time.Second)
					must.Eq(t, s.watcher.Known().Pairs, follower.Known().Pairs)
				}
				s.put(t, "member/first", "ready")
				mustAgree()
				deaf.Store(true)
				s.remove(t, "member/first")
				for range 300 {
					s.put(t, "member/other", "ready")
					s.remove(t, "member/other")
				}
				time.Sleep(time.Second)
				mustAgree()
				must.Greater(t, 5, partial)
				cancel()
				<-ended
			})
		})
	}
}

// What is told since a revision is only what has changed; to one that has missed ends which
// are no longer remembered, everything.
func TestSince(t *testing.T) {
	n := &watcher.News{
		Revision: 9, Pairs: []storer.Pair{{Key: "a", Revision: 3}, {Key: "b", Revision: 8}},
		Gone: []watcher.Gone{{Key: "b", Revision: 6}, {Key: "c", Revision: 7}}, GoneSince: 5,
	}
	mustTell := func(revision int64, partial bool, keys ...string) {
		t.Helper()
		pairs, p := n.Since(revision)
		var got []string
		for _, x := range pairs {
			got = append(got, fmt.Sprint(x.Key, x.Revision))
		}
		must.Eq(t, partial, p)
		must.Eq(t, keys, got)
	}
	mustTell(0, false, "a3", "b8")
	mustTell(4, false, "a3", "b8")
	mustTell(5, true, "b8", "c0")
	mustTell(7, true, "b8")
	mustTell(9, true)
}
