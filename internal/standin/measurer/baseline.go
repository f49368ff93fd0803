package measurer

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// The baseline is what is common in this field: a lease in the store names the
// primary, an agent renews it while the primary answers, and others promote when
// it has lapsed for a fixed time. It needs the store for every failover.
const (
	leaseTime    = 10 * time.Second
	leaseRenewal = 3 * time.Second
	leaseLook    = time.Second
	agentTimeout = time.Second
	writePause   = 20 * time.Millisecond
	baselineRun  = 45 * time.Second
	leaseKey     = "baseline/leader"
	agentsZone   = "agents"
)

// baseline is a group with a lease-holding agent, without instances.
type baseline struct {
	fleet   *stager.Fleet
	host    *wirer.Host
	targets []*stager.Target
	orders  *commander.Postgres
	acks    []time.Time
}

// baselineGap returns the longest time between two acknowledged writes after the
// failure; with the store down it is the rest of the run.
func baselineGap(ctx context.Context, p stager.Plan, w Failure, storeDown bool) (time.Duration, error) {
	p.InstancesPerZone = -1 // no instances: nothing else promotes
	f, err := stager.Start(ctx, p)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	b := &baseline{fleet: f, host: f.Network.Host("10.9.9.9", agentsZone), targets: f.Members}
	b.orders = &commander.Postgres{Network: b.host, Application: "baseline", Timeout: agentTimeout}
	defer b.orders.Close()
	ctx, cancel := context.WithTimeout(ctx, baselineRun)
	defer cancel()
	ended := make(chan struct{})
	go func() { b.agent(ctx); ended <- struct{}{} }()
	go func() { b.write(ctx); ended <- struct{}{} }()
	time.Sleep(5*time.Second + time.Duration(p.Seed%30)*100*time.Millisecond)
	f.Store.SetFaults(func(s *storer.Faults) { s.Down = storeDown })
	time.Sleep(time.Second)
	struck := time.Now()
	if w.Name == "planned" { // the agent hands over at its next look
		f.Store.ExpireLeases()
	} else {
		w.Throw(f, f.Members[0])
	}
	<-ended
	<-ended
	if w.Heal != nil {
		w.Heal(f, f.Members[0])
	}
	return b.longest(struck), nil
}

func (b *baseline) longest(struck time.Time) time.Duration {
	last, most := struck, time.Duration(0)
	for _, a := range b.acks {
		if a.After(struck) {
			most = max(most, a.Sub(last))
			last = a
		}
	}
	return max(most, time.Since(last))
}

// agent stands for the agents of all members: it renews the lease while the
// primary answers, and promotes when the lease has lapsed.
func (b *baseline) agent(ctx context.Context) {
	store := b.fleet.Store
	var lease storer.Lease
	term, primary := uint64(1), b.targets[0]
	renewed := time.Time{}
	for ctx.Err() == nil {
		if time.Since(renewed) >= leaseRenewal {
			if _, err := b.orders.Status(ctx, primary.Address); err == nil {
				if lease == 0 || store.KeepAlive(ctx, lease) != nil {
					if lease = b.claim(ctx, primary); lease != 0 {
						renewed = time.Now()
					}
				} else {
					renewed = time.Now()
				}
			}
		}
		if p, err := store.Get(ctx, leaseKey); err == nil && p.Revision == 0 && !renewed.IsZero() {
			if n := b.elect(ctx, term+1, primary); n != nil {
				term, primary = term+1, n
				lease = b.claim(ctx, primary)
				renewed = time.Now()
			}
		}
		time.Sleep(leaseLook)
	}
}

func (b *baseline) claim(ctx context.Context, t *stager.Target) storer.Lease {
	l, err := b.fleet.Store.Grant(ctx, leaseTime)
	if err != nil {
		return 0
	}
	if _, ok, err := b.fleet.Store.Swap(ctx, storer.Pair{Key: leaseKey, Value: []byte(t.Name)}, l); err != nil || !ok {
		return 0
	}
	return l
}

func (b *baseline) elect(ctx context.Context, term uint64, old *stager.Target) *stager.Target {
	var best *stager.Target
	var newest commander.Status
	for _, t := range b.targets {
		if t == old {
			continue
		}
		if s, err := b.orders.Fence(ctx, t.Address, term, "baseline"); err == nil && (best == nil || s.Received.Compare(newest.Received) > 0) {
			best, newest = t, s
		}
	}
	if best == nil {
		return nil
	}
	if _, err := b.orders.Promote(ctx, best.Address, term, "baseline"); err != nil {
		return nil
	}
	for _, t := range b.targets {
		if t != best && t != old {
			_, _ = b.orders.Follow(ctx, t.Address, term, best.Address)
		}
	}
	return best
}

// write writes to whatever member is the primary of the newest term, at once
// after a failure: the baseline's callers lose no time to find it.
func (b *baseline) write(ctx context.Context) {
	for ctx.Err() == nil {
		if t := b.fleet.Primary(b.fleet.Document.Services[0].Name); t != nil && t.Status().Role == replicator.RolePrimary {
			b.session(ctx, t)
		}
		time.Sleep(writePause)
	}
}

func (b *baseline) session(ctx context.Context, t *stager.Target) {
	dial, stop := context.WithTimeout(ctx, agentTimeout)
	c, err := commander.Dial(dial, b.host, t.Address, nil)
	stop()
	if err != nil {
		return
	}
	defer func() { _ = c.Conn().Close() }()
	for n := 0; ctx.Err() == nil; n++ {
		if b.once(ctx, c) != nil {
			return
		}
		b.acks = append(b.acks, time.Now())
		time.Sleep(writePause)
	}
}

func (b *baseline) once(ctx context.Context, c *pgconn.PgConn) error {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	_, err := c.Exec(ctx, "DELETE FROM ledger WHERE key = 'none'; INSERT INTO ledger (key, value) VALUES ('"+time.Now().String()+"', '1')").ReadAll()
	return err
}
