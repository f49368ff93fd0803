package configurer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/shoenig/test/must"
)

func offer(version int64, source configurer.Source) configurer.Offered {
	return configurer.Offered{Version: version, Document: &configurer.Document{}, Source: source}
}

func unreadable(version int64) configurer.Offered {
	return configurer.Offered{Version: version, Err: errors.New("unreadable"), Source: configurer.SourceStore}
}

// Documents arrive late, twice, from an old peer, or can't be read. The version
// in force only rises, and what can't be read changes nothing.
func TestVersionsOnlyRise(t *testing.T) {
	const store, peer = configurer.SourceStore, configurer.SourcePeer
	for _, c := range []struct {
		name    string
		offered []configurer.Offered
		want    []int64
	}{
		{"in order", []configurer.Offered{offer(3, store), offer(5, store)}, []int64{3, 5}},
		{"late answer of the store", []configurer.Offered{offer(5, store), offer(3, store)}, []int64{5}},
		{"old peer", []configurer.Offered{offer(5, store), offer(4, peer)}, []int64{5}},
		{"same twice", []configurer.Offered{offer(5, store), offer(5, peer)}, []int64{5}},
		{"peer first", []configurer.Offered{offer(5, peer), offer(4, store), offer(6, store)}, []int64{5, 6}},
		{"unreadable in between", []configurer.Offered{offer(5, store), unreadable(6), offer(7, store)}, []int64{5, 7}},
		{"unreadable at a fresh instance", []configurer.Offered{unreadable(6), offer(5, peer)}, []int64{5}},
		{"no answer", []configurer.Offered{{Err: errors.New("down"), Source: store}, offer(5, store)}, []int64{5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &configurer.Slice{Random: rand.New(rand.NewPCG(1, 1))}
			var got []int64
			for _, o := range c.offered {
				for _, a := range s.Step(time.Unix(1, 0), o) {
					if e, ok := a.(controller.Emit); ok {
						if f, ok := e.Event.(configurer.InForce); ok {
							got = append(got, f.Version)
						}
					}
				}
			}
			must.Eq(t, c.want, got)
		})
	}
}

// A watch fails, and the store may have forgotten what changed meanwhile: the
// next call reads the document whole before it watches again.
func TestReadsAfterFailedWatch(t *testing.T) {
	s := &configurer.Slice{Instance: "one", Zone: "a", Random: rand.New(rand.NewPCG(1, 1))}
	now := time.Unix(1, 0)
	s.Step(now, lister.Changed{Instances: []lister.Instance{{Name: "one", Zone: "a"}}})
	for _, c := range []struct {
		want   string
		answer configurer.Offered
	}{
		{"read-configuration", offer(3, configurer.SourceStore)},
		{"watch-configuration", configurer.Offered{Err: errors.New("compacted"), Source: configurer.SourceWatch}},
		{"read-configuration", offer(9, configurer.SourceStore)},
		{"watch-configuration", configurer.Offered{Source: configurer.SourceWatch}},
		{"watch-configuration", configurer.Offered{}},
	} {
		now = now.Add(time.Minute)
		a := s.Step(now, controller.Tick{})
		must.Len(t, 1, a)
		must.Eq(t, c.want, a[0].ActionName())
		s.Step(now, c.answer)
	}
}

func service(members ...string) configurer.Service {
	s := configurer.Service{Name: "lockers"}
	for _, m := range members {
		s.Members = append(s.Members, configurer.Member{Name: m, Address: "10.0.0." + m[1:] + ":5432"})
	}
	return s
}

// While one version gives way to the next, some instances count a majority of
// the old members and some of the new. If the two need share no member, a write
// is acknowledged by one majority that a promotion by the other never sees.
func TestCheckChange(t *testing.T) {
	moved := service("m1", "m2", "m3")
	moved.Members[0].Address = "10.9.9.9:5432"
	leaving := service("m1", "m2", "m3")
	leaving.Members[0].Leaving = true
	for _, c := range []struct {
		name     string
		old, new configurer.Service
		bad      bool
	}{
		{"same", service("m1", "m2", "m3"), service("m1", "m2", "m3"), false},
		{"other order", service("m1", "m2", "m3"), service("m3", "m1", "m2"), false},
		{"one added", service("m1", "m2", "m3"), service("m1", "m2", "m3", "m4"), false},
		{"one removed", service("m1", "m2", "m3"), service("m1", "m2"), false},
		{"one replaced", service("m1", "m2", "m3"), service("m1", "m2", "m4"), true},
		{"two added", service("m1", "m2", "m3"), service("m1", "m2", "m3", "m4", "m5"), true},
		{"one leaving", service("m1", "m2", "m3"), leaving, false},
		{"one moved", service("m1", "m2", "m3"), moved, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			old := &configurer.Document{Services: []configurer.Service{c.old}}
			changed := &configurer.Document{Services: []configurer.Service{c.new}}
			must.Eq(t, c.bad, configurer.CheckChange(old, changed) != nil)
		})
	}
	t.Run("service added or removed", func(t *testing.T) {
		some := &configurer.Document{Services: []configurer.Service{service("m1", "m2", "m3")}}
		must.NoError(t, configurer.CheckChange(&configurer.Document{}, some))
		must.NoError(t, configurer.CheckChange(some, &configurer.Document{}))
	})
}
