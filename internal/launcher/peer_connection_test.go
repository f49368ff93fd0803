package launcher_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// runWithPrimaryUnreachable runs a scenario with two instances of one zone. Instance b can't
// reach the primary, instance a can.
func runWithPrimaryUnreachable(t *testing.T, scenario func(f *fleet, a, b *instance)) {
	t.Helper()
	runFleet(t, func(f *fleet) {
		f.noPromotions = true // a lease holder without a connection to the primary would fail over
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "a")
		time.Sleep(3 * time.Second)
		must.Eq(t, "I", f.openSession(b, "strict")("PUT k v0"))
		f.net.Partition("10.5.0.2", "10.9.1.1")
		time.Sleep(3 * time.Second)
		scenario(f, a, b)
	})
}

// Statements of an instance that can't reach the primary must run through a peer's
// connections. Session variables must not remain on these connections.
func TestStatementsThroughPeer(t *testing.T) {
	runWithPrimaryUnreachable(t, func(f *fleet, a, b *instance) {
		query := f.openSession(b, "strict")
		must.Eq(t, "I", query("PUT k v1"))
		must.Eq(t, "v1 I", query("FETCH k"))
		must.Eq(t, "I", query("SET colour red"))
		must.Eq(t, "v1 I", query("FETCH k"))
		must.Eq(t, "T", query("BEGIN"))
		must.Eq(t, "T", query("PUT k v2"))
		must.Eq(t, "I", query("COMMIT"))
		for range 5 {
			must.Eq(t, "v2 I", f.openSession(a, "strict")("FETCH k"))
		}
		must.Eq(t, "v2 I", f.openSession(b, "own")("FETCH k"))
	})
}

// When the lending peer dies, a transaction on its connection must be reported as aborted
// and leave no effect. The next write must succeed through another peer.
func TestPeerKilledDuringTransaction(t *testing.T) {
	runWithPrimaryUnreachable(t, func(f *fleet, a, b *instance) {
		c := f.start("10.5.0.3", "b")
		time.Sleep(3 * time.Second)
		query := f.openSession(b, "strict")
		must.Eq(t, "T", query("BEGIN"))
		must.Eq(t, "T", query("PUT k lost"))
		f.net.Kill("10.5.0.1")
		a.kill()
		must.Eq(t, "ABORTED E", query("FETCH k"))
		must.Eq(t, "I", query("ROLLBACK"))
		must.Eq(t, "v0 I", f.openSession(c, "strict")("FETCH k"))
		time.Sleep(time.Second)
		must.Eq(t, "I", query("PUT k v3"))
	})
}

// When the lending peer dies while the primary runs a write, the outcome must be reported as
// unknown.
func TestPeerKilledDuringWrite(t *testing.T) {
	runWithPrimaryUnreachable(t, func(f *fleet, a, b *instance) {
		f.group.DropWriteResponses("g-1", 1)
		query := f.openSession(b, "strict")
		time.AfterFunc(300*time.Millisecond, func() {
			f.net.Kill("10.5.0.1")
			a.kill()
		})
		must.Eq(t, "INDOUBT I", query("PUT k v4"))
	})
}

// A peer that shuts down must let transactions on its lent connections commit. New ones must
// use another peer.
func TestPeerShutdownDuringTransaction(t *testing.T) {
	runWithPrimaryUnreachable(t, func(f *fleet, a, b *instance) {
		f.start("10.5.0.3", "b")
		time.Sleep(3 * time.Second)
		query := f.openSession(b, "strict")
		must.Eq(t, "T", query("BEGIN"))
		must.Eq(t, "T", query("PUT k v5"))
		a.shutdown <- syscall.SIGTERM
		time.Sleep(2500 * time.Millisecond)
		must.Eq(t, "I", f.openSession(b, "strict")("PUT j v"))
		must.Eq(t, "I", query("COMMIT"))
		must.Eq(t, "v5 I", query("FETCH k"))
	})
}

// Deadlines of a previous use must not fail the first statement on a peer's connection that
// has been idle.
func TestIdleConnectionThroughPeer(t *testing.T) {
	runWithPrimaryUnreachable(t, func(f *fleet, a, b *instance) {
		must.Eq(t, "I", f.openSession(a, "strict")("PUT k v6"))
		for range 5 {
			time.Sleep(450 * time.Millisecond)
			must.Eq(t, "I", f.openSession(b, "strict")("PUT k v7"))
		}
	})
}

// Instances that restart at the same time must not each open connections to all members and
// query them, which would take the members' slots from clients' statements.
func TestSimultaneousRestartLoad(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.noPromotions = true // a lease holder opens connections of its own
		var all []*instance
		startAll := func() {
			all = nil
			for n := range 6 {
				all = append(all, f.start(fmt.Sprintf("10.5.0.%d", n+1), "a"))
			}
		}
		opened := func() (sum int) {
			for _, id := range []string{"g-1", "g-2", "g-3"} {
				sum += f.group.AcceptedConnections(id)
			}
			return sum
		}
		statementsRun := func() (sum int) {
			for _, id := range []string{"g-1", "g-2", "g-3"} {
				sum += len(f.group.Executed(id))
			}
			return sum
		}
		startAll()
		time.Sleep(6 * time.Second)
		for n, i := range all {
			f.net.Kill(fmt.Sprintf("10.5.0.%d", n+1))
			i.kill()
		}
		time.Sleep(5 * time.Second)
		for n := range all {
			f.net.Revive(fmt.Sprintf("10.5.0.%d", n+1))
		}
		openedBefore, ranBefore := opened(), statementsRun()
		startAll()
		time.Sleep(time.Second)
		must.LessEq(t, 16, statementsRun()-ranBefore)
		time.Sleep(time.Second)
		must.LessEq(t, 6, opened()-openedBefore)
		must.Eq(t, "I", f.openSession(all[0], "strict")("PUT k v"))
	})
}
