package admitter_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// One customer sends a second's worth of work in one instant; another sends one
// request each 20 ms, as before. In a plain queue the small one's requests would
// wait up to a second behind the burst. They are served as if alone: behind what
// is running, not behind what waits.
func TestBurst(t *testing.T) {
	s := simulate(4, 4, 5*ms)
	for range 100 {
		s.arrive(100*ms, "large", admitter.ClassRead, "primary")
	}
	s.every(0, time.Second, 20*ms, "small", admitter.ClassRead)
	s.run(3 * time.Second)
	mustServe(t, s.seen["small"], 50)
	mustWaitLess(t, s.seen["small"], 0.99, 10*ms)
	mustServe(t, s.seen["large"], 100)
	must.Less(t, 300*ms, s.seen["large"].percentile(1), must.Sprint("the burst uses what is free"))
}

// One customer offers 20 times its share without pause, two others a little.
// Only the large one is refused, at once and with a time to come back; the
// others wait for one running request at most.
func TestOneCustomerTakesMostOfTheLoad(t *testing.T) {
	s := simulate(4, 4, 5*ms)
	s.every(0, 5*time.Second, 250*time.Microsecond, "large", admitter.ClassRead) // 4000/s against 800/s
	s.every(0, 5*time.Second, 20*ms, "small", admitter.ClassRead)
	s.every(0, 5*time.Second, 30*ms, "tiny", admitter.ClassWrite)
	s.run(8 * time.Second)
	mustServe(t, s.seen["small"], 250)
	mustServe(t, s.seen["tiny"], 167)
	mustWaitLess(t, s.seen["small"], 0.99, 12*ms)
	mustWaitLess(t, s.seen["tiny"], 0.99, 12*ms)
	must.Greater(t, 10000, s.seen["large"].refusals())
	must.Greater(t, 3000, len(s.seen["large"].latencies), must.Sprint("work-conserving"))
	mustComeBack(t, s.seen["large"])
}

// Two customers with shares 3 and 1 both offer more than there is. They get
// connection time 3 to 1, though the second one's requests take twice as long.
func TestSharesDivideConnectionTime(t *testing.T) {
	s := simulate(4, 4, 5*ms)
	s.queue.SetShares(map[string]int{"three": 3, "one": 1})
	s.service = func(_ time.Duration, r admitter.Request) time.Duration {
		if r.Customer == "one" {
			return 10 * ms
		}
		return 5 * ms
	}
	s.every(0, 5*time.Second, ms, "three", admitter.ClassRead)
	s.every(0, 5*time.Second, ms, "one", admitter.ClassWrite)
	s.run(5 * time.Second)
	ratio := float64(len(s.seen["three"].latencies)) * 5 / (float64(len(s.seen["one"].latencies)) * 10)
	must.Between(t, 2.5, ratio, 3.5)
}

// A target's statements take ten times as long for five seconds. Without the
// limit every connection of the instance would be at that target. The number
// there falls to a few, and returns once the target is quick again; it does not
// swing in between.
func TestSlowTarget(t *testing.T) {
	s := simulate(12, 3, 5*ms)
	s.service = func(at time.Duration, _ admitter.Request) time.Duration {
		if at > 5*time.Second && at < 10*time.Second {
			return 50 * ms
		}
		return 5 * ms
	}
	s.every(0, 15*time.Second, 2*ms, "crews", admitter.ClassRead)
	limits := map[time.Duration]int{}
	for _, at := range []time.Duration{4, 7, 9, 14} {
		s.at(at*time.Second, func() { limits[at] = s.queue.Limit("primary") })
	}
	s.run(20 * time.Second)
	must.Between(t, 3, limits[4], 12)
	must.LessEq(t, 2, limits[7])
	must.LessEq(t, 2, limits[9])
	must.Between(t, 3, limits[14], 12)
}

// Long transactions arrive faster than they end. Short reads and writes keep
// half of the connections and go on as if the transactions were not there.
func TestLongWorkAmongShort(t *testing.T) {
	s := simulate(4, 100, 5*ms)
	s.service = func(_ time.Duration, r admitter.Request) time.Duration {
		if r.Class == admitter.ClassTransaction {
			return 2 * time.Second
		}
		return 5 * ms
	}
	s.every(0, 10*time.Second, 500*ms, "crews", admitter.ClassTransaction)
	s.every(0, 10*time.Second, 10*ms, "crews", admitter.ClassRead)
	s.every(0, 10*time.Second, 10*ms, "office", admitter.ClassWrite)
	s.run(10 * time.Second)
	must.Eq(t, 0, s.seen["office"].refusals())
	mustWaitLess(t, s.seen["office"], 0.99, 25*ms)
	must.Eq(t, 0, s.seen["crews"].refused["queue-full"])
	must.Greater(t, 900, len(s.seen["crews"].latencies))
}

// Everybody offers three times what there is. What is let in is done within the
// bounded wait, the rest is refused at once with a time to come back, and the
// connections are never idle.
func TestSaturation(t *testing.T) {
	s := simulate(4, 4, 5*ms)
	for _, c := range []string{"a", "b", "c"} {
		s.every(0, 5*time.Second, 1250*time.Microsecond, c, admitter.ClassRead)
	}
	s.run(8 * time.Second)
	done := 0
	for _, c := range []string{"a", "b", "c"} {
		done += len(s.seen[c].latencies)
		mustWaitLess(t, s.seen[c], 1, 2*time.Second+10*ms)
		mustComeBack(t, s.seen[c])
		must.Between(t, 1200, len(s.seen[c].latencies), 1800)
	}
	must.Greater(t, 3800, done)
}

// The work is slow: what is already waiting takes longer than a request may wait.
// Without the estimate the callers would wait for two seconds and be refused
// then; they hear it at once, and when to come back.
func TestDoomedRequestsAreRefusedAtOnce(t *testing.T) {
	s := simulate(2, 2, 200*ms)
	s.every(0, 5*time.Second, 20*ms, "crews", admitter.ClassRead)
	s.run(10 * time.Second)
	c := s.seen["crews"]
	must.Greater(t, 50, c.refused["overload"])
	must.LessEq(t, 20, c.refused["queue-timeout"], must.Sprint("refused late"))
	mustComeBack(t, c)
}

// The instance holds no connections until it gets a share. Requests wait for it
// and are then served; those that waited too long hear why.
func TestNoShareYet(t *testing.T) {
	s := simulate(0, 4, 5*ms)
	s.arrive(0, "small", admitter.ClassRead, "primary")
	s.arrive(1500*ms, "late", admitter.ClassRead, "primary")
	s.at(2500*ms, func() { s.take(2500*ms, s.queue.Resize(2)) })
	s.run(4 * time.Second)
	must.Eq(t, 1, s.seen["small"].refused["no-share"])
	mustServe(t, s.seen["late"], 1)
}
