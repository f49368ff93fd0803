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

// publish adds a service to the configuration if its revision is still the given one.
// An instance that accepts clients of the service has applied the configuration.
func publish(ctx context.Context, s *stager.Fleet, name string, revision int64) (bool, error) {
	document := &configurer.Document{Services: append([]configurer.Service(nil), s.Document.Services...)}
	added := document.Services[0]
	added.Name, added.Members = name, nil
	for i, z := range s.Plan.Zones {
		added.Members = append(added.Members, configurer.Member{
			Name: fmt.Sprintf("%s-%d", name, i+1), Address: fmt.Sprintf("10.3.1.%d:5432", i+1), Zone: z,
		})
	}
	document.Services = append(document.Services, added)
	_, ok, err := s.Store.Swap(ctx, storer.Pair{Key: configurer.Key, Value: configurer.Encode(document), Revision: revision}, 0)
	return ok, err
}

// revision returns the current revision of the configuration.
func revision(t *testing.T, ctx context.Context, s *stager.Fleet) int64 {
	t.Helper()
	p, err := s.Store.Get(ctx, configurer.Key)
	must.NoError(t, err)
	return p.Revision
}

// mustServe fails if an instance doesn't accept clients of the service within five seconds,
// the limit for applying a configuration.
func mustServe(t *testing.T, ctx context.Context, s *stager.Fleet, e *stager.Instance, service string) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		c, err := s.Connect(ctx, e, service, nil)
		if err == nil {
			must.NoError(t, c.Close(ctx))
			return
		}
		must.Less(t, 5*time.Second, time.Since(start), must.Sprint(e.Name, ": ", err))
	}
}

// A published configuration is applied in time by all instances, despite faults of the store
// and of the network.
func TestConfigurationApplied(t *testing.T) {
	faults := func(change func(*storer.Faults)) func(*stager.Fleet) {
		return func(s *stager.Fleet) { s.Store.SetFaults(change) }
	}
	noFault := func(*stager.Fleet) {}
	for name, c := range map[string]struct{ before, after func(*stager.Fleet) }{
		"no fault":      {noFault, noFault},
		"store slow":    {faults(func(f *storer.Faults) { f.Latency = time.Second }), noFault},
		"response lost": {faults(func(f *storer.Faults) { f.LoseResponses = 1 }), noFault},
		"store down a second later": {noFault, func(s *stager.Fleet) {
			time.Sleep(time.Second)
			s.Store.SetFaults(func(f *storer.Faults) { f.Down = true })
		}},
		"zone partitioned from the platform": {func(s *stager.Fleet) { s.Network.Partition("a", "platform") }, noFault},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
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

// Of two concurrent updates of the same version, one succeeds and applies to all instances;
// the other applies to none.
func TestConcurrentConfigurationUpdates(t *testing.T) {
	withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
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

// An instance that restarts without state while the platform is down fetches the newest
// configuration from its seeds.
func TestRestartWithPlatformDown(t *testing.T) {
	withFleet(t, func(t *testing.T, ctx context.Context, s *stager.Fleet) {
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
