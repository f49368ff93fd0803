package admitter_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// A burst of one customer must not delay another's requests behind its backlog.
func TestBurstDoesNotDelayOtherCustomers(t *testing.T) {
	s := newSimulation(4, 4, 5*ms)
	for range 100 {
		s.submit(100*ms, "large", admitter.ClassRead, "primary")
	}
	s.submitPeriodically(0, time.Second, 20*ms, "small", admitter.ClassRead)
	s.run(3 * time.Second)
	mustServeAll(t, s.results["small"], 50)
	mustLatencyWithin(t, s.results["small"], 0.99, 10*ms)
	mustServeAll(t, s.results["large"], 100)
	must.Less(t, 300*ms, s.results["large"].percentile(1), must.Sprint("the burst uses idle connections"))
}

// A customer that offers 20 times its share is refused with a retry hint, and delays others by
// at most one running request.
func TestOverloadingCustomerDoesNotDelayOthers(t *testing.T) {
	s := newSimulation(4, 4, 5*ms)
	s.submitPeriodically(0, 5*time.Second, 250*time.Microsecond, "large", admitter.ClassRead) // five times the capacity
	s.submitPeriodically(0, 5*time.Second, 20*ms, "small", admitter.ClassRead)
	s.submitPeriodically(0, 5*time.Second, 30*ms, "tiny", admitter.ClassWrite)
	s.run(8 * time.Second)
	mustServeAll(t, s.results["small"], 250)
	mustServeAll(t, s.results["tiny"], 167)
	mustLatencyWithin(t, s.results["small"], 0.99, 12*ms)
	mustLatencyWithin(t, s.results["tiny"], 0.99, 12*ms)
	must.Greater(t, 10000, s.results["large"].refusals())
	must.Greater(t, 3000, len(s.results["large"].latencies), must.Sprint("work-conserving"))
	mustRetryAfterInRange(t, s.results["large"])
}

// Customers with shares 3 and 1 get connection time in the ratio 3 to 1, regardless of their
// requests' durations.
func TestSharesDivideConnectionTime(t *testing.T) {
	s := newSimulation(4, 4, 5*ms)
	s.queue.SetShares(map[string]int{"three": 3, "one": 1})
	s.serviceTime = func(_ time.Duration, r admitter.Request) time.Duration {
		if r.Customer == "one" {
			return 10 * ms
		}
		return 5 * ms
	}
	s.submitPeriodically(0, 5*time.Second, ms, "three", admitter.ClassRead)
	s.submitPeriodically(0, 5*time.Second, ms, "one", admitter.ClassWrite)
	s.run(5 * time.Second)
	ratio := float64(len(s.results["three"].latencies)) * 5 / (float64(len(s.results["one"].latencies)) * 10)
	must.Between(t, 2.5, ratio, 3.5)
}

// The limit of a target that becomes slow falls to a few requests, without oscillating, and
// recovers when the target does.
func TestSlowTargetLowersLimit(t *testing.T) {
	s := newSimulation(12, 3, 5*ms)
	s.serviceTime = func(at time.Duration, _ admitter.Request) time.Duration {
		if at > 5*time.Second && at < 10*time.Second {
			return 50 * ms
		}
		return 5 * ms
	}
	s.submitPeriodically(0, 15*time.Second, 2*ms, "crews", admitter.ClassRead)
	limits := map[time.Duration]int{}
	for _, at := range []time.Duration{4, 7, 9, 14} {
		s.schedule(at*time.Second, func() { limits[at] = s.queue.Limit("primary") })
	}
	s.run(20 * time.Second)
	must.Between(t, 3, limits[4], 12)
	must.LessEq(t, 2, limits[7])
	must.LessEq(t, 2, limits[9])
	must.Between(t, 3, limits[14], 12)
}

// A backlog of transactions must not delay short requests, which keep half of the connections.
func TestTransactionsLeaveConnectionsForShortRequests(t *testing.T) {
	s := newSimulation(4, 100, 5*ms)
	s.serviceTime = func(_ time.Duration, r admitter.Request) time.Duration {
		if r.Class == admitter.ClassTransaction {
			return 2 * time.Second
		}
		return 5 * ms
	}
	s.submitPeriodically(0, 10*time.Second, 500*ms, "crews", admitter.ClassTransaction)
	s.submitPeriodically(0, 10*time.Second, 10*ms, "crews", admitter.ClassRead)
	s.submitPeriodically(0, 10*time.Second, 10*ms, "office", admitter.ClassWrite)
	s.run(10 * time.Second)
	must.Eq(t, 0, s.results["office"].refusals())
	mustLatencyWithin(t, s.results["office"], 0.99, 25*ms)
	must.Eq(t, 0, s.results["crews"].refused["queue-full"])
	must.Greater(t, 900, len(s.results["crews"].latencies))
}

// Under overload of all customers, admitted requests finish within the bounded wait, the rest is
// refused with a retry hint, and the connections stay busy.
func TestSaturation(t *testing.T) {
	s := newSimulation(4, 4, 5*ms)
	for _, c := range []string{"a", "b", "c"} {
		s.submitPeriodically(0, 5*time.Second, 1250*time.Microsecond, c, admitter.ClassRead)
	}
	s.run(8 * time.Second)
	done := 0
	for _, c := range []string{"a", "b", "c"} {
		done += len(s.results[c].latencies)
		mustLatencyWithin(t, s.results[c], 1, 2*time.Second+10*ms)
		mustRetryAfterInRange(t, s.results[c])
		must.Between(t, 1200, len(s.results[c].latencies), 1800)
	}
	must.Greater(t, 3800, done)
}

// Requests that would miss their deadline are refused on arrival, with a retry hint.
func TestRequestsBeyondDeadlineAreRefusedOnArrival(t *testing.T) {
	s := newSimulation(2, 2, 200*ms)
	s.submitPeriodically(0, 5*time.Second, 20*ms, "crews", admitter.ClassRead)
	s.run(10 * time.Second)
	c := s.results["crews"]
	must.Greater(t, 50, c.refused["overload"])
	must.LessEq(t, 20, c.refused["queue-timeout"], must.Sprint("refused after waiting"))
	mustRetryAfterInRange(t, c)
}

// Without connections requests wait for a share, and are refused with that reason in the end.
func TestRequestsWaitForConnectionShare(t *testing.T) {
	s := newSimulation(0, 4, 5*ms)
	s.submit(0, "small", admitter.ClassRead, "primary")
	s.submit(1500*ms, "late", admitter.ClassRead, "primary")
	s.schedule(2500*ms, func() { s.applyDecisions(2500*ms, s.queue.Resize(2)) })
	s.run(4 * time.Second)
	must.Eq(t, 1, s.results["small"].refused["no-share"])
	mustServeAll(t, s.results["late"], 1)
}
