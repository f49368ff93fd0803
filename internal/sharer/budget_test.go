package sharer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

const (
	budget = 20
	// pace is between two requests of a caller.
	pace = 25 * time.Millisecond
)

// fleet is Keyhold's: nine instances, one group of three members, 20 connections.
type fleet struct {
	*stager.Fleet
	ctx    context.Context
	served map[string]int // requests served lately, by instance
	done   chan struct{}
	open   int
}

func withFleet(t *testing.T, seed uint64, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, err := stager.Start(ctx, stager.Plan{
			Seed: seed, PerZone: 3, ZoneLatency: 1500 * time.Microsecond, CallerLatency: 3 * time.Millisecond,
			ConnectTime: 10 * time.Millisecond, Slots: 3, Work: time.Millisecond,
			Services: []configurer.Service{{
				Name: stager.DefaultService, Connections: budget, Slots: 3,
				Rules: []configurer.ReaderRule{{Kind: configurer.DefaultKind, MaxAge: 10 * time.Second}},
			}},
		})
		must.NoError(t, err)
		f := &fleet{Fleet: s, ctx: ctx, served: map[string]int{}, done: make(chan struct{})}
		defer f.end(cancel)
		time.Sleep(5 * time.Second)
		test(t, f)
		t.Logf("seed %d: at most %d connections of %d", seed, f.peak(), budget)
		must.LessEq(t, budget, f.peak(), must.Sprintf("seed %d", seed))
	})
}

func (f *fleet) end(cancel context.CancelFunc) {
	cancel()
	for ; f.open > 0; f.open-- {
		<-f.done
	}
	f.Close()
	time.Sleep(time.Minute) // what the callers' drivers still try
}

// state tells how the budget is shared out, for a failure's message.
func (f *fleet) state() string {
	p, err := f.Store.Get(f.ctx, "oriolegw/shares/"+stager.DefaultService)
	out := fmt.Sprintf("%v %s", err, p.Value)
	for _, m := range f.Members {
		s := m.Status()
		out += fmt.Sprintf("\n%s %s term %d sessions %d", s.Name, s.Role, s.Term, s.Sessions)
	}
	return out
}

func (f *fleet) peak() int { return f.Members[0].Counter.Peak() }

// call keeps callers on every instance, which read and write without pause, come
// back after any error and leave a transaction open now and then.
func (f *fleet) call(perInstance int) {
	for _, e := range f.Instances {
		for k := range perInstance {
			f.open++
			go func() {
				for f.ctx.Err() == nil {
					f.session(e, k)
					time.Sleep(50 * time.Millisecond)
				}
				f.done <- struct{}{}
			}()
		}
	}
}

func (f *fleet) session(e *stager.Entry, k int) {
	ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
	defer cancel()
	c, err := f.Connect(ctx, e, stager.DefaultService, nil)
	if err != nil {
		return
	}
	defer c.PgConn().Conn().Close()
	for i := range 100 {
		sql := "SELECT value FROM ledger WHERE key = 'a'"
		switch {
		case k == 0 && i%20 == 7:
			sql = "BEGIN"
		case k == 0 && i%20 == 8:
			sql = "ROLLBACK"
		case i%5 == 0:
			sql = fmt.Sprintf("INSERT INTO ledger (key, value) VALUES ('%s-%d-%d', 'x')", e.Name, k, time.Now().UnixNano())
		}
		if _, err := c.Exec(ctx, sql); err != nil {
			return
		}
		time.Sleep(pace)
	}
}

// mustServeAll checks that every instance serves a write within the time.
func (f *fleet) mustServeAll(t *testing.T, within time.Duration) {
	t.Helper()
	deadline := time.Now().Add(within)
	for _, e := range f.Instances {
		for {
			ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
			c, err := f.Connect(ctx, e, stager.DefaultService, nil)
			if err == nil {
				_, err = c.Exec(ctx, fmt.Sprintf("INSERT INTO ledger (key, value) VALUES ('check-%s-%d', 'x')", e.Name, time.Now().UnixNano()))
				_ = c.PgConn().Conn().Close()
			}
			cancel()
			if err == nil {
				break
			}
			must.True(t, time.Now().Before(deadline), must.Sprintf("%s: %v\n%s", e.Name, err, f.state()))
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// Nine instances under load from the start. Each gets a share, and the sum at the
// members stays within the budget without anybody who hands shares out.
func TestNineInstancesShareTheBudget(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *fleet) {
		f.call(3)
		time.Sleep(20 * time.Second)
		f.mustServeAll(t, 10*time.Second)
	})
}

// Instances crash and come back with empty memories, one every few seconds. Each
// takes over its predecessor's share only after the members have ended what the
// predecessor had open.
func TestInstancesAreReplaced(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *fleet) {
		f.call(1)
		for i := range 20 {
			e := f.Instances[i*4%9]
			f.KillInstance(e)
			time.Sleep(time.Second)
			f.StartInstance(e)
			time.Sleep(3 * time.Second)
		}
		f.mustServeAll(t, 30*time.Second)
	})
}

// Three instances stall for 80 seconds with connections open and requests on
// their way, as paused ones do; their leases lapse and the others take their
// shares. When they wake they find their connections closed and new ones
// refused, and get shares again.
func TestPausedInstancesAreEvicted(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		f.call(1)
		time.Sleep(5 * time.Second)
		for _, e := range f.Instances[:3] {
			f.pause(e)
		}
		time.Sleep(80 * time.Second)
		f.Net.HealAll()
		time.Sleep(5 * time.Second)
		f.mustServeAll(t, time.Minute)
	})
}

func (f *fleet) pause(e *stager.Entry) {
	for _, zone := range append([]string{"platform", "callers"}, f.Plan.Zones...) {
		f.Net.Cut(e.IP, zone)
	}
}

// A zone is cut off from the others and from the store for 80 seconds, and goes
// on with what it holds. Its leases lapse. After the heal nobody has opened more
// than the budget allows, and all serve.
func TestZoneCut(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fleet) {
		f.call(1)
		time.Sleep(5 * time.Second)
		for _, z := range []string{"b", "c", "platform"} {
			f.Net.Cut("a", z)
		}
		time.Sleep(80 * time.Second)
		f.Net.HealAll()
		time.Sleep(5 * time.Second)
		f.mustServeAll(t, time.Minute)
	})
}

// The store is down for 40 seconds, so that every lease lapses. Everybody keeps
// what they hold, and nobody takes another for dead when it is back.
func TestStoreDown(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		f.call(1)
		time.Sleep(5 * time.Second)
		f.Store.SetFaults(func(x *storer.Faults) { x.Down = true })
		time.Sleep(40 * time.Second)
		f.mustServeAll(t, 5*time.Second)
		f.Store.SetFaults(func(x *storer.Faults) { x.Down = false })
		time.Sleep(30 * time.Second)
		f.mustServeAll(t, 5*time.Second)
		for _, m := range f.Members {
			for _, r := range m.Journal() {
				must.NotEq(t, "OG003", r.Code)
			}
		}
	})
}

// Faults at random: instances killed, paused and restarted, members frozen,
// zones cut, the store down, slow, or losing answers; any of them together.
func TestBudgetUnderRandomFaults(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, 100+seed, func(t *testing.T, f *fleet) {
				f.call(1)
				f.strike(rand.New(rand.NewPCG(seed, 7)))
				must.LessEq(t, budget, f.peak(), must.Sprintf("seed %d", seed))
			})
		})
	}
}

func (f *fleet) strike(random *rand.Rand) {
	for range 15 {
		e := f.Instances[random.IntN(9)]
		m := f.Members[random.IntN(3)]
		switch random.IntN(9) {
		case 0, 1:
			f.KillInstance(e)
			f.StartInstance(e)
		case 2:
			f.pause(e)
		case 3:
			f.Net.Cut(f.Plan.Zones[random.IntN(3)], "platform")
		case 4:
			f.Net.Cut("a", []string{"b", "c"}[random.IntN(2)])
		case 5:
			m.Faults.Freeze()
		case 6:
			m.SilenceOpen()
		case 7:
			down, slow, lose := random.IntN(2) == 0, time.Duration(random.IntN(4))*time.Second, random.IntN(4)
			f.Store.SetFaults(func(x *storer.Faults) { x.Down, x.Latency, x.LoseResponses = down, slow, lose })
		case 8:
			f.Store.ExpireLeases()
		}
		time.Sleep(time.Duration(random.IntN(15)) * time.Second)
		if random.IntN(3) == 0 {
			f.Net.HealAll()
			f.Store.SetFaults(func(x *storer.Faults) { *x = storer.Faults{} })
			for _, m := range f.Members {
				m.Faults.Thaw()
			}
		}
	}
	f.Net.HealAll()
	for _, m := range f.Members {
		m.Faults.Thaw()
	}
	time.Sleep(10 * time.Second)
}
