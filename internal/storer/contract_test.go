package storer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/standin/keeper"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// contract holds the tests that all stores must pass. Each gets an empty store and the memory
// store behind it for fault injection.
var contract = []struct {
	name string
	run  func(t *testing.T, ctx context.Context, s storer.Store, m *storer.Memory)
}{
	{"absent key has revision 0", func(t *testing.T, ctx context.Context, s storer.Store, _ *storer.Memory) {
		p, err := s.Get(ctx, "a")
		must.NoError(t, err)
		must.Eq(t, storer.Pair{Key: "a"}, p)
	}},
	{"swap writes only once for a revision", func(t *testing.T, ctx context.Context, s storer.Store, _ *storer.Memory) {
		first := mustSwap(t, ctx, s, storer.Pair{Key: "a", Value: []byte("1")})
		now, ok, err := s.Swap(ctx, storer.Pair{Key: "a", Value: []byte("2")}, 0)
		must.NoError(t, err)
		must.False(t, ok)
		must.Eq(t, first, now)
		second := mustSwap(t, ctx, s, storer.Pair{Key: "a", Value: []byte("2"), Revision: first.Revision})
		must.Greater(t, first.Revision, second.Revision)
	}},
	{"revisions increase across deletion", func(t *testing.T, ctx context.Context, s storer.Store, _ *storer.Memory) {
		first := mustSwap(t, ctx, s, storer.Pair{Key: "a", Value: []byte("1")})
		ok, err := s.Delete(ctx, storer.Pair{Key: "a", Revision: first.Revision + 7})
		must.NoError(t, err)
		must.False(t, ok)
		ok, err = s.Delete(ctx, first)
		must.NoError(t, err)
		must.True(t, ok)
		must.Greater(t, first.Revision, mustSwap(t, ctx, s, storer.Pair{Key: "a", Value: []byte("2")}).Revision)
	}},
	{"list returns the keys with the prefix in order", func(t *testing.T, ctx context.Context, s storer.Store, _ *storer.Memory) {
		for _, k := range []string{"b/2", "a", "b/1", "c"} {
			mustSwap(t, ctx, s, storer.Pair{Key: k, Value: []byte(k)})
		}
		list, err := s.List(ctx, "b/")
		must.NoError(t, err)
		must.Len(t, 2, list)
		must.Eq(t, "b/1", list[0].Key)
		must.Eq(t, "b/2", list[1].Key)
	}},
	{"renewed lease keeps its keys", func(t *testing.T, ctx context.Context, s storer.Store, _ *storer.Memory) {
		l, err := s.Grant(ctx, 10*time.Second)
		must.NoError(t, err)
		_, ok, err := s.Swap(ctx, storer.Pair{Key: "a", Value: []byte("1")}, l)
		must.NoError(t, err)
		must.True(t, ok)
		for range 3 {
			time.Sleep(6 * time.Second)
			must.NoError(t, s.KeepAlive(ctx, l))
		}
		mustExist(t, ctx, s, "a", true)
		time.Sleep(11 * time.Second)
		mustExist(t, ctx, s, "a", false)
		must.ErrorIs(t, s.KeepAlive(ctx, l), storer.ErrLeaseExpired)
	}},
	{"revoked lease deletes its keys", func(t *testing.T, ctx context.Context, s storer.Store, _ *storer.Memory) {
		l, err := s.Grant(ctx, 10*time.Second)
		must.NoError(t, err)
		_, _, err = s.Swap(ctx, storer.Pair{Key: "a", Value: []byte("1")}, l)
		must.NoError(t, err)
		must.NoError(t, s.Revoke(ctx, l))
		mustExist(t, ctx, s, "a", false)
	}},
	{"watch reports all changes since a revision in order", func(t *testing.T, ctx context.Context, s storer.Store, _ *storer.Memory) {
		first := mustSwap(t, ctx, s, storer.Pair{Key: "b", Value: []byte("1")})
		second := mustSwap(t, ctx, s, storer.Pair{Key: "b", Value: []byte("2"), Revision: first.Revision})
		mustSwap(t, ctx, s, storer.Pair{Key: "c", Value: []byte("3")})
		ctx, cancel := context.WithCancel(ctx)
		var got []string
		done := make(chan error, 1)
		go func() {
			done <- s.Watch(ctx, "b", first.Revision, func(p storer.Pair) { got = append(got, string(p.Value)) })
		}()
		time.Sleep(time.Second)
		third := mustSwap(t, ctx, s, storer.Pair{Key: "b", Value: []byte("4"), Revision: second.Revision})
		_, err := s.Delete(ctx, third)
		must.NoError(t, err)
		time.Sleep(time.Second)
		cancel()
		must.Error(t, <-done)
		must.Eq(t, []string{"2", "4", ""}, got)
	}},
	{"response of a completed write is lost", func(t *testing.T, ctx context.Context, s storer.Store, m *storer.Memory) {
		m.SetFaults(func(f *storer.Faults) { f.LoseResponses = 1 })
		_, _, err := s.Swap(ctx, storer.Pair{Key: "a", Value: []byte("1")}, 0)
		must.ErrorIs(t, err, storer.ErrUnavailable)
		mustExist(t, ctx, s, "a", true)
	}},
	{"calls and watches fail while the service is down", func(t *testing.T, ctx context.Context, s storer.Store, m *storer.Memory) {
		done := make(chan error, 1)
		go func() { done <- s.Watch(ctx, "a", 0, func(storer.Pair) {}) }()
		time.Sleep(time.Second)
		m.SetFaults(func(f *storer.Faults) { f.Down = true })
		must.ErrorIs(t, <-done, storer.ErrUnavailable)
		_, err := s.Get(ctx, "a")
		must.ErrorIs(t, err, storer.ErrUnavailable)
		_, _, err = s.Swap(ctx, storer.Pair{Key: "a"}, 0)
		must.ErrorIs(t, err, storer.ErrUnavailable)
	}},
}

func mustSwap(t *testing.T, ctx context.Context, s storer.Store, p storer.Pair) storer.Pair {
	t.Helper()
	now, ok, err := s.Swap(ctx, p, 0)
	must.NoError(t, err)
	must.True(t, ok)
	must.Eq(t, string(p.Value), string(now.Value))
	return now
}

func mustExist(t *testing.T, ctx context.Context, s storer.Store, key string, want bool) {
	t.Helper()
	p, err := s.Get(ctx, key)
	must.NoError(t, err)
	must.Eq(t, want, p.Revision > 0)
}

func TestMemory(t *testing.T) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := storer.NewMemory()
				c.run(t, t.Context(), m, m)
			})
		})
	}
}

// TestClient runs the contract over the HTTP protocol against the simulated platform.
func TestClient(t *testing.T) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, m := netsimulator.New(1), storer.NewMemory()
				ctx, cancel := context.WithCancel(context.Background())
				k := &keeper.Keeper{Address: "10.0.0.1:7000", Network: n.Host("10.0.0.1", "platform"), Store: m, Log: log.NewNopLogger()}
				done := make(chan error, 1)
				go func() { done <- k.Run(ctx) }()
				synctest.Wait()
				g := (&storer.Client{Address: k.Address, Network: n.Host("10.0.0.2", "a")}).Open()
				defer func() {
					g.Close()
					cancel()
					<-done
				}()
				c.run(t, ctx, g, m)
			})
		})
	}
}

// TestPlatform runs the contract over the client of the users' platform against its
// simulation.
func TestPlatform(t *testing.T) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, m := netsimulator.New(1), storer.NewMemory()
				ctx, cancel := context.WithCancel(context.Background())
				p := &platformer.Platform{Address: "10.0.0.1:7000", Network: n.Host("10.0.0.1", "platform"), Store: m}
				done := make(chan error, 1)
				go func() { done <- p.Run(ctx) }()
				synctest.Wait()
				s := (&platform.Store{Address: p.Address, Network: n.Host("10.0.0.2", "a")}).Open()
				defer func() {
					s.Close()
					cancel()
					<-done
				}()
				c.run(t, ctx, s, m)
			})
		})
	}
}
