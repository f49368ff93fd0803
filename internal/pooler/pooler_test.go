package pooler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/shoenig/test/must"
)

const (
	primaryIP = "10.0.0.1"
	replicaIP = "10.0.0.2"
	entryIP   = "10.0.0.9"
)

var (
	primary = pooler.Place{Address: primaryIP + ":5432", Term: 1}
	replica = pooler.Place{Address: replicaIP + ":5432"}
)

// bench is a pool beside a primary and a replica that need 10 ms for a new
// connection.
type bench struct {
	ctx   context.Context
	net   *wirer.Net
	pool  *pooler.Pool
	first *replicator.Member
	other *replicator.Member
}

// withBench runs a test on virtual time.
func withBench(t *testing.T, limit int, test func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := wirer.New(1)
		n.Latency = func(_, _ *wirer.Host) time.Duration { return time.Millisecond }
		b := &bench{ctx: ctx, net: n}
		done := make(chan error, 3)
		member := func(name, ip string) *replicator.Member {
			m := &replicator.Member{
				Name: name, Group: "g", Address: ip + ":5432", Network: n.Host(ip, ip), Log: log.NewNopLogger(), ConnectTime: 10 * time.Millisecond,
			}
			m.Bootstrap(primary.Address)
			go func() { done <- m.Run(ctx) }()
			return m
		}
		b.first, b.other = member("first", primaryIP), member("other", replicaIP)
		b.pool = &pooler.Pool{Network: n.Host(entryIP, "entry")}
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

func (b *bench) borrow(t *testing.T, p pooler.Place) *pooler.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	c, err := b.pool.Borrow(ctx, p)
	must.NoError(t, err)
	return c
}

func (b *bench) mustNotBorrow(t *testing.T, p pooler.Place) {
	t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	_, err := b.pool.Borrow(ctx, p)
	must.Error(t, err)
}

// The instance gives up a connection while its target is cut off, so the target
// goes on counting it. The place in the share stays taken until the cut heals and
// the target has read the end; else the target would count one too many then.
func TestPlaceIsFreeWhenTheTargetHasEndedTheSession(t *testing.T) {
	withBench(t, 2, func(t *testing.T, b *bench) {
		c := b.borrow(t, replica)
		b.net.Cut(entryIP, replicaIP)
		c.Broken = true
		b.pool.Return(c)
		time.Sleep(10 * time.Second)
		must.Eq(t, 1, b.pool.Use().Held)
		must.Eq(t, 1, b.pool.Lendable())
		must.Eq(t, 1, b.other.Status().Sessions)
		b.net.HealAll()
		time.Sleep(time.Second)
		must.Eq(t, 0, b.other.Status().Sessions)
		must.Eq(t, 0, b.pool.Use().Held)
		must.Eq(t, 2, b.pool.Lendable())
	})
}

// The primary freezes with a connection lent, and requests keep coming for it.
// Each new connection to it would hang and take one more place of the share, until
// none is left to reach the primary that takes over. The share keeps a place.
func TestFrozenTargetDoesNotTakeTheWholeShare(t *testing.T) {
	withBench(t, 3, func(t *testing.T, b *bench) {
		c := b.borrow(t, primary)
		b.first.Faults.Freeze()
		c.Broken = true
		b.pool.Return(c)
		for range 5 {
			b.mustNotBorrow(t, primary)
		}
		b.pool.Return(b.borrow(t, replica))
		must.LessEq(t, 3, b.pool.Use().Held)
		b.first.Faults.Thaw()
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, b.first.Status().Sessions)
		must.Eq(t, 3, b.pool.Lendable())
	})
}

// The old primary is frozen and keeps a connection; the rest of the share is idle
// at replicas when the new primary is wanted. What the frozen one keeps must not
// count as room that is about to come free: an idle connection is given up.
func TestNewPrimaryIsReachedBesideAFrozenOne(t *testing.T) {
	withBench(t, 2, func(t *testing.T, b *bench) {
		c := b.borrow(t, replica)
		b.other.Faults.Freeze()
		c.Broken = true
		b.pool.Return(c)
		b.pool.Return(b.borrow(t, pooler.Place{Address: primary.Address}))
		b.pool.Return(b.borrow(t, primary))
		b.other.Faults.Thaw()
	})
}

// All work wants the primary, which freezes with requests on every connection to
// it. One place of the share was kept from it, so that the instance can reach the
// new primary although the old one still counts the others.
func TestOnePlaceIsKeptFromOneTarget(t *testing.T) {
	withBench(t, 3, func(t *testing.T, b *bench) {
		lent := []*pooler.Conn{b.borrow(t, primary), b.borrow(t, primary)}
		b.mustNotBorrow(t, primary)
		b.first.Faults.Freeze()
		b.pool.Return(b.borrow(t, replica))
		for _, c := range lent {
			b.pool.Return(c)
		}
	})
}

// The only connection that a share of two allows at the primary is lent to a
// transaction whose caller is slow. Short work may then use the last place.
func TestShortWorkPassesAnOpenTransaction(t *testing.T) {
	withBench(t, 2, func(t *testing.T, b *bench) {
		long := b.borrow(t, primary)
		b.mustNotBorrow(t, primary)
		b.pool.Lengthen(long)
		b.pool.Return(b.borrow(t, primary))
		b.pool.Return(long)
	})
}

// An open connection goes silent for good while new ones work. Its end is never
// seen, so its place would be lost for ever; the target is asked, over a new
// connection, to end the session by its number.
func TestSilentConnectionIsEndedByNumber(t *testing.T) {
	withBench(t, 2, func(t *testing.T, b *bench) {
		c := b.borrow(t, primary)
		b.first.SilenceOpen()
		c.Broken = true
		b.pool.Return(c)
		time.Sleep(5 * time.Second)
		must.Eq(t, 2, b.pool.Lendable())
		must.LessEq(t, 1, b.first.Status().Sessions, must.Sprint("the one that asked may be idle"))
		must.Eq(t, b.first.Status().Sessions, b.pool.Use().Held)
	})
}

// The target crashes with connections lent. The reset shows that it has
// forgotten them, so their places are free at once.
func TestResetFreesThePlace(t *testing.T) {
	withBench(t, 2, func(t *testing.T, b *bench) {
		c := b.borrow(t, primary)
		b.net.Kill(primaryIP)
		c.Broken = true
		b.pool.Return(c)
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, 0, b.pool.Use().Held)
	})
}

// Another instance took this one for dead and evicted it, while it was only
// paused. What it opens when it wakes is refused by the target, so that the place
// is not used twice; under a new name it goes on.
func TestEvictedApplicationIsRefused(t *testing.T) {
	withBench(t, 2, func(t *testing.T, b *bench) {
		c := b.borrow(t, primary)
		remain, err := commander.Evict(b.ctx, b.net.Host(entryIP, "entry"), primary.Address, "entry/1", 0)
		must.NoError(t, err)
		must.Eq(t, 0, remain)
		must.Eq(t, 0, b.first.Status().Sessions)
		c.Broken = true
		b.pool.Return(c)
		b.mustNotBorrow(t, primary)
		must.True(t, b.pool.Use().Revoked)
		must.Eq(t, 0, b.first.Status().Sessions)
		b.pool.SetShare(pooler.Share{Connections: 2, Application: "entry/2", Number: 1})
		b.pool.Return(b.borrow(t, primary))
		must.False(t, b.pool.Use().Revoked)
	})
}

// Two changes of the share arrive in the wrong order. The older one must not
// raise the pool above what the ledger says by now.
func TestOlderShareIsIgnored(t *testing.T) {
	withBench(t, 0, func(t *testing.T, b *bench) {
		b.pool.SetShare(pooler.Share{Connections: 1, Application: "entry/1", Number: 3})
		b.pool.SetShare(pooler.Share{Connections: 2, Application: "entry/1", Number: 2})
		must.Eq(t, 1, b.pool.Lendable())
	})
}

// A share of one is idle at the replica when a request wants the primary. The
// place moves: the old connection has ended at its target before the new one
// starts at the other.
func TestIdleConnectionMovesToDemand(t *testing.T) {
	withBench(t, 1, func(t *testing.T, b *bench) {
		b.pool.Return(b.borrow(t, replica))
		c := b.borrow(t, primary)
		must.Eq(t, 0, b.other.Status().Sessions)
		must.Eq(t, 1, b.first.Status().Sessions)
		b.pool.Return(c)
	})
}

// Control asked a replica that has become the primary since. The connection that
// it left idle is not bound to the new term, so it can't bring work there, and
// with a share of two it is all that the address may have. It makes way.
func TestControlMakesWayAtTheNewPrimary(t *testing.T) {
	withBench(t, 2, func(t *testing.T, b *bench) {
		_, err := b.pool.Ask(b.ctx, primary.Address, "SELECT * FROM oriole_status()", commander.Routine)
		must.NoError(t, err)
		b.pool.Return(b.borrow(t, primary))
	})
}

// The whole share is open: one connection is lent at the primary, two have just
// been used at the replica. The next request for the primary waits a moment for
// the one there, in place of closing what the next read needs.
func TestAlternatingRequestsKeepTheirConnections(t *testing.T) {
	withBench(t, 3, func(t *testing.T, b *bench) {
		reads := []*pooler.Conn{b.borrow(t, replica), b.borrow(t, replica)}
		c := b.borrow(t, primary)
		b.pool.Return(reads[0])
		b.pool.Return(reads[1])
		next := make(chan *pooler.Conn)
		go func() { next <- b.borrow(t, primary) }()
		time.Sleep(5 * time.Millisecond)
		b.pool.Return(c)
		b.pool.Return(<-next)
		must.Eq(t, 2, b.other.Status().Sessions)
	})
}

// Connections to the primary and the own replica are opened before anybody asks,
// so the first requests don't wait for their start; a new primary's too.
func TestWantedPlacesAreWarm(t *testing.T) {
	withBench(t, 2, func(t *testing.T, b *bench) {
		b.pool.Want([]pooler.Place{primary, replica})
		time.Sleep(time.Second)
		before := time.Now()
		b.pool.Return(b.borrow(t, primary))
		b.pool.Return(b.borrow(t, replica))
		must.Eq(t, 0, time.Since(before))
	})
}

// Every connection is busy without pause, and status questions keep coming. They
// are asked between two requests; else what is known of targets would grow old
// exactly while they are busy.
func TestControlIsHeardUnderSaturation(t *testing.T) {
	withBench(t, 1, func(t *testing.T, b *bench) {
		asked := make(chan error, 1)
		c := b.borrow(t, primary)
		go func() {
			ctx, cancel := context.WithTimeout(b.ctx, time.Second)
			defer cancel()
			_, err := b.pool.Ask(ctx, primary.Address, "SELECT * FROM oriole_status()", commander.Routine)
			asked <- err
		}()
		time.Sleep(50 * time.Millisecond)
		b.pool.Return(c)
		c = b.borrow(t, primary)
		must.NoError(t, <-asked)
		b.pool.Return(c)
		must.Eq(t, 1, b.first.Status().Peak)
	})
}

// No connection is free for a question: the answer is ErrBusy, which is no
// evidence against the target.
func TestBusyIsNoEvidence(t *testing.T) {
	withBench(t, 1, func(t *testing.T, b *bench) {
		c := b.borrow(t, primary)
		ctx, cancel := context.WithTimeout(b.ctx, time.Second)
		defer cancel()
		_, err := b.pool.Ask(ctx, replica.Address, "SELECT * FROM oriole_status()", commander.Routine)
		must.ErrorIs(t, err, pooler.ErrBusy)
		b.pool.Return(c)
	})
}
