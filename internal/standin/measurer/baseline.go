package measurer

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// The baseline is lease-based failover: an agent renews the primary's lease in the store
// while the primary responds, and promotes a replica once the lease has expired, so that
// every failover needs the store.
const (
	leaseDuration        = 10 * time.Second
	leaseRenewalInterval = 3 * time.Second
	leasePollInterval    = time.Second
	agentTimeout         = time.Second
	writeInterval        = 20 * time.Millisecond
	baselineDuration     = 45 * time.Second
	leaseKey             = "baseline/leader"
	agentZone            = "agents"
)

// leaseBaseline is a group whose failover depends on a lease, without instances.
type leaseBaseline struct {
	fleet    *stager.Fleet
	host     *netsimulator.Host
	members  []*stager.Target
	commands *commander.Postgres
	ackTimes []time.Time
}

// measureBaselineGap returns the longest time between two acknowledged writes after the
// failure, or the rest of the run if none follows.
func measureBaselineGap(ctx context.Context, p stager.Plan, failure Failure, storeDown bool) (time.Duration, error) {
	p.InstancesPerZone = -1 // no instances, so that only the agent promotes
	f, err := stager.Start(ctx, p)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	b := &leaseBaseline{fleet: f, host: f.Network.Host("10.9.9.9", agentZone), members: f.Members}
	b.commands = &commander.Postgres{Network: b.host, Application: "baseline", Timeout: agentTimeout}
	defer b.commands.Close()
	ctx, cancel := context.WithTimeout(ctx, baselineDuration)
	defer cancel()
	ended := make(chan struct{})
	go func() { b.runAgent(ctx); ended <- struct{}{} }()
	go func() { b.runWriter(ctx); ended <- struct{}{} }()
	time.Sleep(5*time.Second + time.Duration(p.Seed%30)*100*time.Millisecond)
	f.Store.SetFaults(func(s *storer.Faults) { s.Down = storeDown })
	time.Sleep(time.Second)
	failedAt := time.Now()
	if failure.Name == "planned" { // the agent promotes another member at its next poll
		f.Store.ExpireLeases()
	} else {
		failure.Inject(f, f.Members[0])
	}
	<-ended
	<-ended
	if failure.Heal != nil {
		failure.Heal(f, f.Members[0])
	}
	return b.longestGap(failedAt), nil
}

func (b *leaseBaseline) longestGap(failedAt time.Time) time.Duration {
	last, longest := failedAt, time.Duration(0)
	for _, a := range b.ackTimes {
		if a.After(failedAt) {
			longest = max(longest, a.Sub(last))
			last = a
		}
	}
	return max(longest, time.Since(last))
}

// runAgent acts for the agents of all members: it renews the lease while the primary
// responds, and promotes a replica when the lease has expired.
func (b *leaseBaseline) runAgent(ctx context.Context) {
	store := b.fleet.Store
	var lease storer.Lease
	term, primary := uint64(1), b.members[0]
	renewed := time.Time{}
	for ctx.Err() == nil {
		if time.Since(renewed) >= leaseRenewalInterval {
			if _, err := b.commands.Status(ctx, primary.Address); err == nil {
				if lease == 0 || store.KeepAlive(ctx, lease) != nil {
					if lease = b.acquireLease(ctx, primary); lease != 0 {
						renewed = time.Now()
					}
				} else {
					renewed = time.Now()
				}
			}
		}
		if p, err := store.Get(ctx, leaseKey); err == nil && p.Revision == 0 && !renewed.IsZero() {
			if n := b.promoteBest(ctx, term+1, primary); n != nil {
				term, primary = term+1, n
				lease = b.acquireLease(ctx, primary)
				renewed = time.Now()
			}
		}
		time.Sleep(leasePollInterval)
	}
}

func (b *leaseBaseline) acquireLease(ctx context.Context, t *stager.Target) storer.Lease {
	l, err := b.fleet.Store.Grant(ctx, leaseDuration)
	if err != nil {
		return 0
	}
	if _, ok, err := b.fleet.Store.Swap(ctx, storer.Pair{Key: leaseKey, Value: []byte(t.Name)}, l); err != nil || !ok {
		return 0
	}
	return l
}

func (b *leaseBaseline) promoteBest(ctx context.Context, term uint64, old *stager.Target) *stager.Target {
	var best *stager.Target
	var bestStatus commander.Status
	for _, t := range b.members {
		if t == old {
			continue
		}
		if s, err := b.commands.Fence(ctx, t.Address, term, "baseline"); err == nil && (best == nil || s.Received.Compare(bestStatus.Received) > 0) {
			best, bestStatus = t, s
		}
	}
	if best == nil {
		return nil
	}
	if _, err := b.commands.Promote(ctx, best.Address, term, "baseline"); err != nil {
		return nil
	}
	for _, t := range b.members {
		if t != best && t != old {
			_, _ = b.commands.Follow(ctx, t.Address, term, best.Address)
		}
	}
	return best
}

// runWriter writes to the current primary continuously; unlike a real client it needs no
// discovery.
func (b *leaseBaseline) runWriter(ctx context.Context) {
	for ctx.Err() == nil {
		if t := b.fleet.Primary(b.fleet.Document.Services[0].Name); t != nil && t.Status().Role == replicator.RolePrimary {
			b.writeUntilError(ctx, t)
		}
		time.Sleep(writeInterval)
	}
}

func (b *leaseBaseline) writeUntilError(ctx context.Context, t *stager.Target) {
	dialCtx, cancelDial := context.WithTimeout(ctx, agentTimeout)
	c, err := commander.Dial(dialCtx, b.host, t.Address, nil)
	cancelDial()
	if err != nil {
		return
	}
	defer func() { _ = c.Conn().Close() }()
	for n := 0; ctx.Err() == nil; n++ {
		if b.writeOnce(ctx, c) != nil {
			return
		}
		b.ackTimes = append(b.ackTimes, time.Now())
		time.Sleep(writeInterval)
	}
}

func (b *leaseBaseline) writeOnce(ctx context.Context, c *pgconn.PgConn) error {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	_, err := c.Exec(ctx, "DELETE FROM ledger WHERE key = 'none'; INSERT INTO ledger (key, value) VALUES ('"+time.Now().String()+"', '1')").ReadAll()
	return err
}
