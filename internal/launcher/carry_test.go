package launcher_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// playCarried runs two instances of one zone, of which the second is cut off from the
// primary and the first is not.
func playCarried(t *testing.T, happens func(f *fleet, a, b *instance)) {
	t.Helper()
	play(t, func(f *fleet) {
		f.dutiless = true // whoever holds the duty and is cut off would move the lead
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "a")
		time.Sleep(3 * time.Second)
		must.Eq(t, "I", f.call(b, "strict")("PUT k v0"))
		f.net.Cut("10.5.0.2", "10.9.1.1")
		time.Sleep(3 * time.Second)
		happens(f, a, b)
	})
}

// An instance can't reach the primary, which another one reaches. Its callers' writes,
// reads and transactions go through that one's connections; values that a caller has set
// stay with it, and are not left on a connection that others use.
func TestCarriedStatements(t *testing.T) {
	playCarried(t, func(f *fleet, a, b *instance) {
		ask := f.call(b, "strict")
		must.Eq(t, "I", ask("PUT k v1"))
		must.Eq(t, "v1 I", ask("FETCH k"))
		must.Eq(t, "I", ask("SET colour red"))
		must.Eq(t, "v1 I", ask("FETCH k"))
		must.Eq(t, "T", ask("BEGIN"))
		must.Eq(t, "T", ask("PUT k v2"))
		must.Eq(t, "I", ask("COMMIT"))
		for range 5 {
			must.Eq(t, "v2 I", f.call(a, "strict")("FETCH k"))
		}
		must.Eq(t, "v2 I", f.call(b, "own")("FETCH k"))
	})
}

// The carrier dies with a caller's transaction open on its connection: the caller learns
// that the transaction was rolled back, and nothing of it is kept. Its next transaction
// finds another way.
func TestCarrierDies(t *testing.T) {
	playCarried(t, func(f *fleet, a, b *instance) {
		c := f.start("10.5.0.3", "b")
		time.Sleep(3 * time.Second)
		ask := f.call(b, "strict")
		must.Eq(t, "T", ask("BEGIN"))
		must.Eq(t, "T", ask("PUT k lost"))
		f.net.Kill("10.5.0.1")
		a.kill()
		must.Eq(t, "ABORTED E", ask("FETCH k"))
		must.Eq(t, "I", ask("ROLLBACK"))
		must.Eq(t, "v0 I", f.call(c, "strict")("FETCH k"))
		time.Sleep(time.Second)
		must.Eq(t, "I", ask("PUT k v3"))
	})
}

// The carrier dies with a write in hand that the primary runs: the caller must not be told
// that it has not run.
func TestCarrierDiesWithAWrite(t *testing.T) {
	playCarried(t, func(f *fleet, a, b *instance) {
		f.group.LoseAnswers("g-1", 1)
		ask := f.call(b, "strict")
		time.AfterFunc(300*time.Millisecond, func() {
			f.net.Kill("10.5.0.1")
			a.kill()
		})
		must.Eq(t, "INDOUBT I", ask("PUT k v4"))
	})
}

// The carrier is told to end while a caller's transaction uses its connection. The
// transaction goes on to its commit; new ones go elsewhere.
func TestCarrierLeaves(t *testing.T) {
	playCarried(t, func(f *fleet, a, b *instance) {
		f.start("10.5.0.3", "b")
		time.Sleep(3 * time.Second)
		ask := f.call(b, "strict")
		must.Eq(t, "T", ask("BEGIN"))
		must.Eq(t, "T", ask("PUT k v5"))
		a.leave <- syscall.SIGTERM
		time.Sleep(2500 * time.Millisecond)
		must.Eq(t, "I", f.call(b, "strict")("PUT j v"))
		must.Eq(t, "I", ask("COMMIT"))
		must.Eq(t, "v5 I", ask("FETCH k"))
	})
}

// A connection has rested at the carrier for longer than the deadlines of its last use. A
// caller's first statement on it must get through, and not be told that its outcome is
// unknown.
func TestCarriedOnARestedConnection(t *testing.T) {
	playCarried(t, func(f *fleet, a, b *instance) {
		must.Eq(t, "I", f.call(a, "strict")("PUT k v6"))
		for range 5 {
			time.Sleep(450 * time.Millisecond)
			must.Eq(t, "I", f.call(b, "strict")("PUT k v7"))
		}
	})
}

// Six instances of a zone before members with 12 places: one holds the connections for all.
// All lose power and come back together, and the store tells each of them members and
// instances in one reading. Taking itself for alone, each would open a connection to each
// member, and ask each for a proof: with hundreds, that keeps every slot and the small
// instances' processors from callers' statements for a second. Two ask for all.
func TestReturningInstancesTakeTurns(t *testing.T) {
	play(t, func(f *fleet) {
		f.dutiless = true // a duty's holder has connections of its own
		var all []*instance
		start := func() {
			all = nil
			for n := range 6 {
				all = append(all, f.start(fmt.Sprintf("10.5.0.%d", n+1), "a"))
			}
		}
		opened := func() (sum int) {
			for _, id := range []string{"g-1", "g-2", "g-3"} {
				sum += f.group.Opened(id)
			}
			return sum
		}
		asked := func() (sum int) {
			for _, id := range []string{"g-1", "g-2", "g-3"} {
				sum += len(f.group.Ran(id))
			}
			return sum
		}
		start()
		time.Sleep(6 * time.Second)
		for n, i := range all {
			f.net.Kill(fmt.Sprintf("10.5.0.%d", n+1))
			i.kill()
		}
		time.Sleep(5 * time.Second)
		for n := range all {
			f.net.Revive(fmt.Sprintf("10.5.0.%d", n+1))
		}
		before, ran := opened(), asked()
		start()
		time.Sleep(time.Second)
		must.LessEq(t, 16, asked()-ran)
		time.Sleep(time.Second)
		must.LessEq(t, 6, opened()-before)
		must.Eq(t, "I", f.call(all[0], "strict")("PUT k v"))
	})
}
