// Package forecaster decides whether a request keeps waiting, is refused at once and with which
// retry time, or probes a path that is down. It handles demand above capacity, where a wait that
// can't succeed costs the caller the time for another attempt. It works on plain values and on
// times passed in: no clock, no network, no goroutine.
package forecaster

import (
	"math"
	"time"
)

const (
	// FailoverTime is the time from the first failure of a primary until another one serves:
	// at most 800 ms of silence and 200 ms to the next poll, 600 ms for the promotion, 200 ms
	// until the instances know of it. Waits during this time may succeed.
	FailoverTime = 1800 * time.Millisecond
	// typicalFailover is when most failovers have ended: a primary that refuses connections
	// is detected within 400 ms.
	typicalFailover = 1100 * time.Millisecond
	// minRetryAfter is the smallest retry time of an outage: about one round trip between
	// regions and the opening of a connection.
	minRetryAfter = 30 * time.Millisecond
	// maxOutageRetry bounds the retry time for an outage whose end is unknown: callers that retry
	// twice and give up after 2.5 s then cover most of that time.
	maxOutageRetry = 1150 * time.Millisecond
)

// The outcomes of a decision.
const (
	// Keep lets a request wait that may start in time, or of which nothing is known.
	Keep Verdict = iota
	// KeepLate lets a request wait that is expected to start before its deadline, but too late
	// for its objective. It queues behind those that are in time.
	KeepLate
	// Probe lets a request wait that tries the path.
	Probe
	// Refuse refuses the request with the decision's retry time.
	Refuse
)

// The causes of refusals, as in logs and metrics.
const (
	// CauseQueue means that the queue does not drain before the request's deadline.
	CauseQueue Cause = "queue"
	// CausePathDown means that no eligible member is reachable, directly or through others.
	CausePathDown Cause = "path-down"
	// CausePrimaryUnknown means that the primary has been unknown for longer than a failover.
	CausePrimaryUnknown Cause = "primary-unknown"
	// CauseHolder means that the instance that holds the connections refused, with a retry time
	// after the request's deadline.
	CauseHolder Cause = "holder"
	// CauseTimeout means that the request waited until its deadline.
	CauseTimeout Cause = "timeout"
)

// Causes are all causes, for metrics.
var Causes = []Cause{CauseQueue, CausePathDown, CausePrimaryUnknown, CauseHolder, CauseTimeout}

type (
	// Verdict is what happens to a request.
	Verdict uint8

	// Cause is the stable name of the cause of a refusal.
	Cause string

	// Decision is the decision on a request. The other fields are set if it is refused.
	Decision struct {
		Verdict    Verdict
		Cause      Cause
		RetryAfter time.Duration
		// Ahead and Rate are the requests ahead and the drain rate that a refusal for the queue
		// was based on, Outage is how long the path or the primary has been missing.
		Ahead  int
		Rate   float64
		Outage time.Duration
	}

	// Request holds the times of a request. LatestStart is until when it can start and still meet
	// its objective, zero without one.
	Request struct{ Now, LatestStart, Deadline time.Time }

	// Queue is the state of a queue as a new request finds it.
	Queue struct {
		// Ahead is the number of requests that are served before the new one.
		Ahead int
		// Rate is the drain rate in requests per second; 0 is unknown.
		Rate float64
		// ClassAhead and ClassRate are the same for the requests of its class, where more urgent
		// ones may overtake it; ClassRate is 0 if unknown or if none do.
		ClassAhead int
		ClassRate  float64
	}
)

// Wait returns the expected wait in the queue, and false if the drain rate is unknown.
func (q Queue) Wait() (time.Duration, bool) {
	if q.ClassRate > 0 {
		return drainTime(q.ClassAhead, q.ClassRate), true
	}
	return drainTime(q.Ahead, q.Rate), q.Rate > 0
}

// drainTime returns how long a number of requests takes to leave a queue.
func drainTime(requests int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(requests)/rate, math.MaxInt32) * float64(time.Second))
}

// Decide decides on a request that would join a queue. It handles overload: a request is refused
// only if it can't start before its deadline, since a late answer is still useful. What more urgent
// classes leave to its class can double within a second, so the rate of the class alone refuses
// nothing.
func Decide(r Request, q Queue) Decision {
	wait, known := q.Wait()
	start, earliest := r.Now.Add(wait), r.Now.Add(min(wait, drainTime(q.Ahead, q.Rate)))
	switch {
	case !known:
		return Decision{Verdict: Keep}
	case earliest.After(r.Deadline):
		return Decision{Verdict: Refuse, Cause: CauseQueue, RetryAfter: wait, Ahead: q.Ahead, Rate: q.Rate}
	case !r.LatestStart.IsZero() && start.After(r.LatestStart):
		return Decision{Verdict: KeepLate}
	default:
		return Decision{Verdict: Keep}
	}
}

// DecidePrimaryUnknown decides on a request that needs a primary while none has been known since a
// time. It handles failovers: during FailoverTime the request waits, afterwards it is refused.
func DecidePrimaryUnknown(now, since time.Time) Decision {
	if now.Sub(since) < FailoverTime {
		return Decision{Verdict: Keep}
	}
	return Decision{Verdict: Refuse, Cause: CausePrimaryUnknown, RetryAfter: OutageRetry(now, since), Outage: now.Sub(since)}
}

// OutageRetry returns when a request may be served after an outage that began at since: at the
// usual end of a failover or, after that, when the outage has lasted half as long again.
func OutageRetry(now, since time.Time) time.Duration {
	age := now.Sub(since)
	if age < typicalFailover {
		return max(typicalFailover-age, minRetryAfter)
	}
	return min(age/2, maxOutageRetry)
}
