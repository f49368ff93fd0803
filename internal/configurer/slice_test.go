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

func readResult(version int64, source configurer.Source) configurer.ReadResult {
	return configurer.ReadResult{Version: version, Document: &configurer.Document{}, Source: source}
}

func invalidResult(version int64) configurer.ReadResult {
	return configurer.ReadResult{Version: version, Err: errors.New("invalid"), Source: configurer.SourceStore}
}

// Late, duplicate, outdated or invalid documents must not replace the one in force.
func TestVersionInForceIsMonotonic(t *testing.T) {
	const store, peer = configurer.SourceStore, configurer.SourcePeer
	for _, c := range []struct {
		name    string
		offered []configurer.ReadResult
		want    []int64
	}{
		{"in order", []configurer.ReadResult{readResult(3, store), readResult(5, store)}, []int64{3, 5}},
		{"late response from the store", []configurer.ReadResult{readResult(5, store), readResult(3, store)}, []int64{5}},
		{"old peer", []configurer.ReadResult{readResult(5, store), readResult(4, peer)}, []int64{5}},
		{"same twice", []configurer.ReadResult{readResult(5, store), readResult(5, peer)}, []int64{5}},
		{"peer first", []configurer.ReadResult{readResult(5, peer), readResult(4, store), readResult(6, store)}, []int64{5, 6}},
		{"invalid in between", []configurer.ReadResult{readResult(5, store), invalidResult(6), readResult(7, store)}, []int64{5, 7}},
		{"invalid at a new instance", []configurer.ReadResult{invalidResult(6), readResult(5, peer)}, []int64{5}},
		{"store unavailable", []configurer.ReadResult{{Err: errors.New("down"), Source: store}, readResult(5, store)}, []int64{5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &configurer.Slice{Random: rand.New(rand.NewPCG(1, 1))}
			var got []int64
			for _, o := range c.offered {
				for _, a := range s.Step(time.Unix(1, 0), o) {
					if e, ok := a.(controller.Emit); ok {
						if f, ok := e.Event.(configurer.Activated); ok {
							got = append(got, f.Version)
						}
					}
				}
			}
			must.Eq(t, c.want, got)
		})
	}
}

// After a failed watch, the document is read before it is watched again, since the store may
// have compacted the changes in between.
func TestReadsAfterFailedWatch(t *testing.T) {
	s := &configurer.Slice{Instance: "one", Zone: "a", Random: rand.New(rand.NewPCG(1, 1))}
	now := time.Unix(1, 0)
	s.Step(now, lister.ViewChanged{Instances: []lister.Instance{{Name: "one", Zone: "a"}}})
	for _, c := range []struct {
		want   string
		answer configurer.ReadResult
	}{
		{"read-configuration", readResult(3, configurer.SourceStore)},
		{"watch-configuration", configurer.ReadResult{Err: errors.New("compacted"), Source: configurer.SourceWatch}},
		{"read-configuration", readResult(9, configurer.SourceStore)},
		{"watch-configuration", configurer.ReadResult{Source: configurer.SourceWatch}},
		{"watch-configuration", configurer.ReadResult{}},
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

// Changes after which the old and the new majority need not overlap must be refused, since a
// promotion could lose acknowledged writes.
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
