package lister_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/standin/keeper"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

func instances(n int) []lister.Instance {
	var out []lister.Instance
	for i := range n {
		out = append(out, lister.Instance{
			Name: fmt.Sprintf("entry-%d", i), Kind: lister.KindEntry, Address: fmt.Sprintf("10.0.0.%d:7100", i), Zone: "a", State: lister.StateLive,
		})
	}
	return out
}

// Removing an instance moves only the keys assigned to it, and keys are distributed evenly.
func TestTopIsConsistent(t *testing.T) {
	const keys = 3000
	all := instances(30)
	share := map[string]int{}
	for k := range keys {
		key := fmt.Sprint(k)
		before, after := lister.TopInZone(key, "a", 3, all), lister.TopInZone(key, "a", 3, all[1:])
		for _, i := range before {
			share[i.Name]++
			must.True(t, i.Name == all[0].Name || lister.Contains(after, i.Name))
		}
	}
	for _, i := range all {
		must.Between(t, keys/10*8/10, share[i.Name], keys/10*12/10)
	}
}

// The list returned over HTTP includes registrations after the lag. Reading it fails while the
// service is down.
func TestClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, m := netsimulator.New(1), storer.NewMemory()
		ctx, cancel := context.WithCancel(context.Background())
		k := &keeper.Keeper{Address: "10.0.0.1:7000", Network: n.Host("10.0.0.1", "platform"), Store: m, Log: log.NewNopLogger(), ListLag: time.Minute}
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		synctest.Wait()
		p := (&lister.Client{Address: k.Address, Network: n.Host("10.0.0.2", "a")}).Open()
		defer func() {
			p.Close()
			cancel()
			<-ended
		}()
		one := instances(1)[0]
		k.Register(one)
		must.SliceEmpty(t, mustList(t, ctx, p))
		time.Sleep(time.Minute)
		must.Eq(t, []lister.Instance{one}, mustList(t, ctx, p))
		one.State = lister.StateLeaving
		k.Register(one)
		time.Sleep(time.Minute)
		must.Eq(t, []lister.Instance{one}, mustList(t, ctx, p))
		m.SetFaults(func(f *storer.Faults) { f.Down = true })
		_, err := p.Instances(ctx)
		must.Error(t, err)
	})
}

func mustList(t *testing.T, ctx context.Context, l lister.List) []lister.Instance {
	t.Helper()
	out, err := l.Instances(ctx)
	must.NoError(t, err)
	return out
}

// Calls and shutdown announcements correct the view where the list is outdated.
func TestView(t *testing.T) {
	all := instances(3)
	unlisted := lister.Instance{Name: "fresh", Kind: lister.KindEntry, Address: "10.0.0.9:7100", Zone: "a", State: lister.StateLive}
	leaving := all[2]
	leaving.State = lister.StateLeaving
	for _, c := range []struct {
		name   string
		events []controller.Event
		pause  time.Duration
		want   []string
	}{
		{"list only", nil, 0, []string{"entry-0", "entry-1", "entry-2"}},
		{"one call failed", []controller.Event{lister.PeerCalled{Name: "entry-2"}}, 0, []string{"entry-0", "entry-1", "entry-2"}},
		{"two calls failed", []controller.Event{lister.PeerCalled{Name: "entry-2"}, lister.PeerCalled{Name: "entry-2"}}, 0, []string{"entry-0", "entry-1"}},
		{"unresponsive instance stays removed", []controller.Event{lister.PeerCalled{Name: "entry-2"}, lister.PeerCalled{Name: "entry-2"}, controller.Tick{}, controller.Tick{}}, time.Minute, []string{"entry-0", "entry-1"}},
		{"unresponsive instance answers again", []controller.Event{lister.PeerCalled{Name: "entry-2"}, lister.PeerCalled{Name: "entry-2"}, lister.PeerCalled{Name: "entry-2", OK: true}}, 0, []string{"entry-0", "entry-1", "entry-2"}},
		{"unresponsive instance calls", []controller.Event{lister.PeerCalled{Name: "entry-2"}, lister.PeerCalled{Name: "entry-2"}, lister.PeerSeen{Instance: all[2]}}, 0, []string{"entry-0", "entry-1", "entry-2"}},
		{"unlisted instance calls", []controller.Event{lister.PeerSeen{Instance: unlisted}}, 0, []string{"entry-0", "entry-1", "entry-2", "fresh"}},
		{"unlisted instance expires", []controller.Event{lister.PeerSeen{Instance: unlisted}, controller.Tick{}, controller.Tick{}}, 2 * time.Minute, []string{"entry-0", "entry-1", "entry-2"}},
		{"instance announces its shutdown", []controller.Event{lister.PeerSeen{Instance: leaving}}, 0, []string{"entry-0", "entry-1"}},
		{"list shows a leaving instance", []controller.Event{lister.Listed{Instances: []lister.Instance{all[0], all[1], leaving}}}, 0, []string{"entry-0", "entry-1"}},
		{"list is unavailable", []controller.Event{lister.Listed{Err: context.DeadlineExceeded}}, 0, []string{"entry-0", "entry-1", "entry-2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &lister.Slice{Self: all[0], Random: rand.New(rand.NewPCG(1, 1))}
			now := time.Unix(1_000_000, 0)
			var got []string
			for _, e := range append([]controller.Event{lister.Listed{Instances: all}}, c.events...) {
				for _, a := range s.Step(now, e) {
					m, ok := a.(controller.Emit)
					if !ok {
						continue
					}
					if v, ok := m.Event.(lister.ViewChanged); ok {
						got = nil
						for _, i := range v.Instances {
							got = append(got, i.Name)
						}
					}
				}
				now = now.Add(c.pause)
			}
			must.Eq(t, c.want, got)
		})
	}
}
