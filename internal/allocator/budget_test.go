package allocator_test

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
	// requestInterval is the time between two requests of a client.
	requestInterval = 25 * time.Millisecond
)

// fleet is nine instances in front of one group of three members.
type fleet struct {
	*stager.Fleet
	ctx        context.Context
	served     map[string]int // recently served requests, by instance
	clientDone chan struct{}
	clients    int
}

func withFleet(t *testing.T, seed uint64, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, err := stager.Start(ctx, stager.Plan{
			Seed: seed, InstancesPerZone: 3, ZoneLatency: 1500 * time.Microsecond, ClientLatency: 3 * time.Millisecond,
			ConnectTime: 10 * time.Millisecond, Slots: 3, ExecutionTime: time.Millisecond,
			Services: []configurer.Service{{
				Name: stager.DefaultService, Connections: budget, Slots: 3,
				Rules: []configurer.ReaderRule{{Kind: configurer.DefaultKind, MaxAge: 10 * time.Second}},
			}},
		})
		must.NoError(t, err)
		f := &fleet{Fleet: s, ctx: ctx, served: map[string]int{}, clientDone: make(chan struct{})}
		defer f.stop(cancel)
		time.Sleep(5 * time.Second)
		test(t, f)
		t.Logf("seed %d: at most %d connections of %d", seed, f.peakConnections(), budget)
		must.LessEq(t, budget, f.peakConnections(), must.Sprintf("seed %d", seed))
	})
}

func (f *fleet) stop(cancel context.CancelFunc) {
	cancel()
	for ; f.clients > 0; f.clients-- {
		<-f.clientDone
	}
	f.Close()
	time.Sleep(time.Minute) // for retries by the clients' drivers
}

// describe returns the division of the budget, for failure messages.
func (f *fleet) describe() string {
	p, err := f.Store.Get(f.ctx, "oriolegw/shares/"+stager.DefaultService)
	out := fmt.Sprintf("%v %s", err, p.Value)
	for _, m := range f.Members {
		s := m.Status()
		out += fmt.Sprintf("\n%s %s term %d sessions %d", s.Name, s.Role, s.Term, s.Sessions)
	}
	return out
}

func (f *fleet) peakConnections() int { return f.Members[0].Counter.Peak() }

// startClients runs clients on every instance that read and write, reconnect after errors and
// sometimes leave a transaction open.
func (f *fleet) startClients(perInstance int) {
	for _, e := range f.Instances {
		for k := range perInstance {
			f.clients++
			go func() {
				for f.ctx.Err() == nil {
					f.runClientSession(e, k)
					time.Sleep(50 * time.Millisecond)
				}
				f.clientDone <- struct{}{}
			}()
		}
	}
}

func (f *fleet) runClientSession(e *stager.Instance, k int) {
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
		time.Sleep(requestInterval)
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
			must.True(t, time.Now().Before(deadline), must.Sprintf("%s: %v\n%s", e.Name, err, f.describe()))
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// Each of nine instances under load gets a share, and their sum stays within the budget.
func TestNineInstancesShareTheBudget(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *fleet) {
		f.startClients(3)
		time.Sleep(20 * time.Second)
		f.mustServeAll(t, 10*time.Second)
	})
}

// Restarted instances take over their predecessors' shares without exceeding the budget.
func TestRestartedInstancesReplacePredecessors(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *fleet) {
		f.startClients(1)
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

// Paused instances whose leases expire are evicted, and get shares again when they resume.
func TestPausedInstancesAreEvicted(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		f.startClients(1)
		time.Sleep(5 * time.Second)
		for _, e := range f.Instances[:3] {
			f.pauseInstance(e)
		}
		time.Sleep(80 * time.Second)
		f.Network.HealAll()
		time.Sleep(5 * time.Second)
		f.mustServeAll(t, time.Minute)
	})
}

func (f *fleet) pauseInstance(e *stager.Instance) {
	for _, zone := range append([]string{"platform", "callers"}, f.Plan.Zones...) {
		f.Network.Partition(e.IP, zone)
	}
}

// A partition of a zone that outlasts its leases must not lead to more connections than the
// budget, and all instances serve after it heals.
func TestZonePartition(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fleet) {
		f.startClients(1)
		time.Sleep(5 * time.Second)
		for _, z := range []string{"b", "c", "platform"} {
			f.Network.Partition("a", z)
		}
		time.Sleep(80 * time.Second)
		f.Network.HealAll()
		time.Sleep(5 * time.Second)
		f.mustServeAll(t, time.Minute)
	})
}

// An outage of the store that outlasts all leases leaves the shares as they are, and no instance
// evicts another after it.
func TestStoreOutage(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		f.startClients(1)
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

// Random combinations of faults of instances, members, network and store keep the budget.
func TestBudgetUnderRandomFaults(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, 100+seed, func(t *testing.T, f *fleet) {
				f.startClients(1)
				f.injectRandomFaults(rand.New(rand.NewPCG(seed, 7)))
				must.LessEq(t, budget, f.peakConnections(), must.Sprintf("seed %d", seed))
			})
		})
	}
}

func (f *fleet) injectRandomFaults(random *rand.Rand) {
	for range 15 {
		e := f.Instances[random.IntN(9)]
		m := f.Members[random.IntN(3)]
		switch random.IntN(9) {
		case 0, 1:
			f.KillInstance(e)
			f.StartInstance(e)
		case 2:
			f.pauseInstance(e)
		case 3:
			f.Network.Partition(f.Plan.Zones[random.IntN(3)], "platform")
		case 4:
			f.Network.Partition("a", []string{"b", "c"}[random.IntN(2)])
		case 5:
			m.Faults.Freeze()
		case 6:
			m.BlackholeConnections()
		case 7:
			down, slow, lose := random.IntN(2) == 0, time.Duration(random.IntN(4))*time.Second, random.IntN(4)
			f.Store.SetFaults(func(x *storer.Faults) { x.Down, x.Latency, x.LoseResponses = down, slow, lose })
		case 8:
			f.Store.ExpireLeases()
		}
		time.Sleep(time.Duration(random.IntN(15)) * time.Second)
		if random.IntN(3) == 0 {
			f.Network.HealAll()
			f.Store.SetFaults(func(x *storer.Faults) { *x = storer.Faults{} })
			for _, m := range f.Members {
				m.Faults.Unfreeze()
			}
		}
	}
	f.Network.HealAll()
	for _, m := range f.Members {
		m.Faults.Unfreeze()
	}
	time.Sleep(10 * time.Second)
}
