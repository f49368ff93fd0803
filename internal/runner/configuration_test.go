package runner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

// publish writes the document with one more service, of the name, over the
// revision. Whoever serves the name has the document in force.
func publish(ctx context.Context, s *stager.Fleet, name string, revision int64) (bool, error) {
	d := &configurer.Document{Services: append([]configurer.Service(nil), s.Document.Services...)}
	added := d.Services[0]
	added.Name, added.Members = name, nil
	for i, z := range s.Plan.Zones {
		added.Members = append(added.Members, configurer.Member{
			Name: fmt.Sprintf("%s-%d", name, i+1), Address: fmt.Sprintf("10.3.1.%d:5432", i+1), Zone: z,
		})
	}
	d.Services = append(d.Services, added)
	_, ok, err := s.Store.Swap(ctx, storer.Pair{Key: configurer.Key, Value: configurer.Encode(d), Revision: revision}, 0)
	return ok, err
}

func revision(t *testing.T, ctx context.Context, s *stager.Fleet) int64 {
	t.Helper()
	p, err := s.Store.Get(ctx, configurer.Key)
	must.NoError(t, err)
	return p.Revision
}

// mustServe fails when an instance does not take callers of the service within
// the five seconds that a configuration has.
func mustServe(t *testing.T, ctx context.Context, s *stager.Fleet, e *stager.Entry, service string) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		c, err := s.Connect(ctx, e, service, nil)
		if err == nil {
			must.NoError(t, c.Close(ctx))
			return
		}
		must.Less(t, 5*time.Second, time.Since(began), must.Sprint(e.Name, ": ", err))
	}
}

// Operators publish over the real protocols, while the store is slow, loses an
// answer, is gone right after, or one zone can't reach it.
func TestConfigurationInForce(t *testing.T) {
	faults := func(change func(*storer.Faults)) func(*stager.Fleet) {
		return func(s *stager.Fleet) { s.Store.SetFaults(change) }
	}
	nothing := func(*stager.Fleet) {}
	for name, c := range map[string]struct{ before, after func(*stager.Fleet) }{
		"no fault":    {nothing, nothing},
		"store slow":  {faults(func(f *storer.Faults) { f.Latency = time.Second }), nothing},
		"answer lost": {faults(func(f *storer.Faults) { f.LoseResponses = 1 }), nothing},
		"store gone a second later": {nothing, func(s *stager.Fleet) {
			time.Sleep(time.Second)
			s.Store.SetFaults(func(f *storer.Faults) { f.Down = true })
		}},
		"zone cut from the platform": {func(s *stager.Fleet) { s.Net.Cut("a", "platform") }, nothing},
	} {
		t.Run(name, func(t *testing.T) {
			staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
				time.Sleep(10 * time.Second)
				at := revision(t, ctx, s)
				c.before(s)
				ok, err := publish(ctx, s, "added", at)
				must.True(t, ok || err != nil)
				c.after(s)
				for _, e := range s.Instances {
					mustServe(t, ctx, s, e, "added")
				}
			})
		})
	}
}

// Two operators publish over the same version at once. One wins; its document is
// in force everywhere, and the other's nowhere, then or later.
func TestRacingOperators(t *testing.T) {
	staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		time.Sleep(10 * time.Second)
		at := revision(t, ctx, s)
		first, err := publish(ctx, s, "one", at)
		must.NoError(t, err)
		second, err := publish(ctx, s, "two", at)
		must.NoError(t, err)
		must.True(t, first)
		must.False(t, second)
		for _, e := range s.Instances {
			mustServe(t, ctx, s, e, "one")
			_, err := s.Connect(ctx, e, "two", nil)
			must.Error(t, err)
		}
	})
}

// The platform, with the store and the list, goes down after a change. An
// instance is replaced, has an empty memory, and learns the newest version from
// the peers that its settings name.
func TestReplacedInstanceWithPlatformDown(t *testing.T) {
	staged(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
		time.Sleep(10 * time.Second)
		_, err := publish(ctx, s, "added", revision(t, ctx, s))
		must.NoError(t, err)
		for _, e := range s.Instances {
			mustServe(t, ctx, s, e, "added")
		}
		s.Store.SetFaults(func(f *storer.Faults) { f.Down = true })
		s.KillInstance(s.Instances[1])
		time.Sleep(time.Minute)
		s.StartInstance(s.Instances[1])
		mustServe(t, ctx, s, s.Instances[1], "added")
	})
}
