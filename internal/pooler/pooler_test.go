package pooler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/shoenig/test/must"
)

const (
	primaryIP  = "10.0.0.1"
	replicaIP  = "10.0.0.2"
	instanceIP = "10.0.0.9"
)

var (
	primary = pooler.Endpoint{Address: primaryIP + ":5432", Term: 1}
	replica = pooler.Endpoint{Address: replicaIP + ":5432"}
)

// fixture is a pool with a primary and a replica that take 10 ms to open a connection.
type fixture struct {
	ctx     context.Context
	net     *netsimulator.Net
	pool    *pooler.Pool
	primary *replicator.Member
	replica *replicator.Member
}

// withFixture runs a test on virtual time.
func withFixture(t *testing.T, limit int, test func(t *testing.T, b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := netsimulator.New(1)
		n.Latency = func(_, _ *netsimulator.Host) time.Duration { return time.Millisecond }
		b := &fixture{ctx: ctx, net: n}
		done := make(chan error, 3)
		member := func(name, ip string) *replicator.Member {
			m := &replicator.Member{
				Name: name, Group: "g", Address: ip + ":5432", Network: n.Host(ip, ip), Log: log.NewNopLogger(), ConnectTime: 10 * time.Millisecond,
			}
			m.Bootstrap(primary.Address)
			go func() { done <- m.Run(ctx) }()
			return m
		}
		b.primary, b.replica = member("first", primaryIP), member("other", replicaIP)
		b.pool = &pooler.Pool{Network: n.Host(instanceIP, "entry")}
		b.pool.SetShare(pooler.Share{Connections: limit, Application: "entry/1"})
		go func() { done <- b.pool.Run(ctx) }()
		defer func() {
			cancel()
			for range 3 {
				<-done
			}
		}()
		time.Sleep(10 * time.Millisecond)
		test(t, b)
	})
}

func (f *fixture) borrow(t *testing.T, p pooler.Endpoint) *pooler.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	c, err := f.pool.Borrow(ctx, p)
	must.NoError(t, err)
	return c
}

func (f *fixture) mustNotBorrow(t *testing.T, p pooler.Endpoint) {
	t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	_, err := f.pool.Borrow(ctx, p)
	must.Error(t, err)
}

// A connection is closed while its target is unreachable and still counts it. Its slot must
// stay occupied until the target has ended the session.
func TestSlotIsReleasedWhenTargetEndsSession(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, b *fixture) {
		c := b.borrow(t, replica)
		b.net.Partition(instanceIP, replicaIP)
		c.Broken = true
		b.pool.Return(c)
		time.Sleep(10 * time.Second)
		must.Eq(t, 1, b.pool.Usage().Held)
		must.Eq(t, 1, b.pool.Capacity())
		must.Eq(t, 1, b.replica.Status().Sessions)
		b.net.HealAll()
		time.Sleep(time.Second)
		must.Eq(t, 0, b.replica.Status().Sessions)
		must.Eq(t, 0, b.pool.Usage().Held)
		must.Eq(t, 2, b.pool.Capacity())
	})
}

// Requests to a frozen primary must not use up the share, which is needed to reach its
// successor.
func TestFrozenTargetDoesNotExhaustShare(t *testing.T) {
	withFixture(t, 3, func(t *testing.T, b *fixture) {
		c := b.borrow(t, primary)
		b.primary.Faults.Freeze()
		c.Broken = true
		b.pool.Return(c)
		for range 5 {
			b.mustNotBorrow(t, primary)
		}
		b.pool.Return(b.borrow(t, replica))
		must.LessEq(t, 3, b.pool.Usage().Held)
		b.primary.Faults.Unfreeze()
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, b.primary.Status().Sessions)
		must.Eq(t, 3, b.pool.Capacity())
	})
}

// Connections that a frozen target keeps must not count as slots that are about to be released;
// an idle connection is evicted instead.
func TestNewPrimaryIsReachableWhileOldOneIsFrozen(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, b *fixture) {
		c := b.borrow(t, replica)
		b.replica.Faults.Freeze()
		c.Broken = true
		b.pool.Return(c)
		b.pool.Return(b.borrow(t, pooler.Endpoint{Address: primary.Address}))
		b.pool.Return(b.borrow(t, primary))
		b.replica.Faults.Unfreeze()
	})
}

// All requests use the primary, which freezes. One slot remains for reaching another member.
func TestOneSlotIsReservedForOtherTargets(t *testing.T) {
	withFixture(t, 3, func(t *testing.T, b *fixture) {
		borrowed := []*pooler.Conn{b.borrow(t, primary), b.borrow(t, primary)}
		b.mustNotBorrow(t, primary)
		b.primary.Faults.Freeze()
		b.pool.Return(b.borrow(t, replica))
		for _, c := range borrowed {
			b.pool.Return(c)
		}
	})
}

// The reserved slot may be used while all other connections to the primary are in open
// transactions.
func TestShortWorkUsesLastSlotBesideOpenTransaction(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, b *fixture) {
		inTransaction := b.borrow(t, primary)
		b.mustNotBorrow(t, primary)
		b.pool.MarkInTransaction(inTransaction)
		b.pool.Return(b.borrow(t, primary))
		b.pool.Return(inTransaction)
	})
}

// The end of a silent connection is never seen, so the target is queried over a new connection to
// terminate the session; otherwise the slot would leak.
func TestSilentConnectionIsTerminatedByPID(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, b *fixture) {
		c := b.borrow(t, primary)
		b.primary.BlackholeConnections()
		c.Broken = true
		b.pool.Return(c)
		time.Sleep(5 * time.Second)
		must.Eq(t, 2, b.pool.Capacity())
		must.LessEq(t, 1, b.primary.Status().Sessions, must.Sprint("the connection that terminated it may be idle"))
		must.Eq(t, b.primary.Status().Sessions, b.pool.Usage().Held)
	})
}

// A reset shows that a crashed target has dropped its sessions, so their slots are released at
// once.
func TestResetReleasesSlot(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, b *fixture) {
		c := b.borrow(t, primary)
		b.net.Kill(primaryIP)
		c.Broken = true
		b.pool.Return(c)
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, 0, b.pool.Usage().Held)
	})
}

// An instance that was evicted while paused must not open connections under its old application
// name, since its slots have been reassigned.
func TestEvictedApplicationIsRefused(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, b *fixture) {
		c := b.borrow(t, primary)
		remain, err := commander.Evict(b.ctx, b.net.Host(instanceIP, "entry"), primary.Address, "entry/1", 0)
		must.NoError(t, err)
		must.Eq(t, 0, remain)
		must.Eq(t, 0, b.primary.Status().Sessions)
		c.Broken = true
		b.pool.Return(c)
		b.mustNotBorrow(t, primary)
		must.True(t, b.pool.Usage().Revoked)
		must.Eq(t, 0, b.primary.Status().Sessions)
		b.pool.SetShare(pooler.Share{Connections: 2, Application: "entry/2", Version: 1})
		b.pool.Return(b.borrow(t, primary))
		must.False(t, b.pool.Usage().Revoked)
	})
}

// Share updates arrive out of order. The older one must not raise the limit.
func TestOlderShareIsIgnored(t *testing.T) {
	withFixture(t, 0, func(t *testing.T, b *fixture) {
		b.pool.SetShare(pooler.Share{Connections: 1, Application: "entry/1", Version: 3})
		b.pool.SetShare(pooler.Share{Connections: 2, Application: "entry/1", Version: 2})
		must.Eq(t, 1, b.pool.Capacity())
	})
}

// An idle connection's session has ended at its target before its slot is used at another one.
func TestIdleConnectionMovesToDemand(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, b *fixture) {
		b.pool.Return(b.borrow(t, replica))
		c := b.borrow(t, primary)
		must.Eq(t, 0, b.replica.Status().Sessions)
		must.Eq(t, 1, b.primary.Status().Sessions)
		b.pool.Return(c)
	})
}

// An idle control connection that isn't bound to the new primary's term must not block the only
// slot allowed for its address.
func TestIdleControlConnectionIsReplacedAfterPromotion(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, b *fixture) {
		_, err := b.pool.QueryControl(b.ctx, primary.Address, "SELECT * FROM oriole_status()", commander.Routine)
		must.NoError(t, err)
		b.pool.Return(b.borrow(t, primary))
	})
}

// A request waits for a connection that is about to be returned, and doesn't evict recently
// used ones that the next reads need.
func TestAlternatingRequestsKeepTheirConnections(t *testing.T) {
	withFixture(t, 3, func(t *testing.T, b *fixture) {
		reads := []*pooler.Conn{b.borrow(t, replica), b.borrow(t, replica)}
		c := b.borrow(t, primary)
		b.pool.Return(reads[0])
		b.pool.Return(reads[1])
		next := make(chan *pooler.Conn)
		go func() { next <- b.borrow(t, primary) }()
		time.Sleep(5 * time.Millisecond)
		b.pool.Return(c)
		b.pool.Return(<-next)
		must.Eq(t, 2, b.replica.Status().Sessions)
	})
}

// Wanted connections are opened in advance, so that the first requests don't wait for the dial.
func TestWantedEndpointsAreOpenedAhead(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, b *fixture) {
		b.pool.SetWanted([]pooler.Endpoint{primary, replica})
		time.Sleep(time.Second)
		before := time.Now()
		b.pool.Return(b.borrow(t, primary))
		b.pool.Return(b.borrow(t, replica))
		must.Eq(t, 0, time.Since(before))
	})
}

// Control statements run between two requests when all connections are busy; otherwise the
// members' states would become stale under load.
func TestControlStatementsRunUnderSaturation(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, b *fixture) {
		queried := make(chan error, 1)
		c := b.borrow(t, primary)
		go func() {
			ctx, cancel := context.WithTimeout(b.ctx, time.Second)
			defer cancel()
			_, err := b.pool.QueryControl(ctx, primary.Address, "SELECT * FROM oriole_status()", commander.Routine)
			queried <- err
		}()
		time.Sleep(50 * time.Millisecond)
		b.pool.Return(c)
		c = b.borrow(t, primary)
		must.NoError(t, <-queried)
		b.pool.Return(c)
		must.Eq(t, 1, b.primary.Status().Peak)
	})
}

// A control statement that gets no connection fails with ErrBusy, which doesn't indicate a
// target failure.
func TestBusyIsNotReportedAsTargetFailure(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, b *fixture) {
		c := b.borrow(t, primary)
		ctx, cancel := context.WithTimeout(b.ctx, time.Second)
		defer cancel()
		_, err := b.pool.QueryControl(ctx, replica.Address, "SELECT * FROM oriole_status()", commander.Routine)
		must.ErrorIs(t, err, pooler.ErrBusy)
		b.pool.Return(c)
	})
}
