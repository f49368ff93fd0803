package forecaster

import "time"

const (
	// establishedAfter and establishedFailures are how long and how often a path must have failed
	// without a success to count as down: a single lost packet must not refuse requests. One
	// attempt without a response for establishedAfter is enough.
	establishedAfter    = 150 * time.Millisecond
	establishedFailures = 2
	// minProbeInterval and maxProbeInterval bound the time between two probes.
	minProbeInterval = 50 * time.Millisecond
	maxProbeInterval = time.Second
)

type (
	// Outage tells whether a path is down: it had no success since the first failure. It handles
	// partitions and dead members, where each request would wait for its whole timeout although
	// the first has shown the failure. The zero value is a path without failures.
	Outage struct {
		since     time.Time
		failures  int
		nextProbe time.Time
		// silent is set after an attempt that got no response for establishedAfter.
		silent bool
	}

	// Paths is what is known of the paths that may serve a request.
	Paths struct {
		// Since is the time of the first failure of the path that failed last.
		Since time.Time
		// Failover reports whether another member, reachable from here, may become primary.
		Failover bool
		// MayProbe reports whether no other request probes and the next probe is due, Probing
		// whether a probe has begun so recently that its result is expected soon.
		MayProbe, Probing bool
		// NextProbe is when the next probe may serve a request.
		NextProbe time.Time
	}
)

// RecordFailure records the failure of an attempt that began at a time. The next probe follows after
// half of the outage's age.
func (o *Outage) RecordFailure(began, now time.Time) {
	if o.failures == 0 {
		o.since = began
	}
	o.failures++
	o.silent = o.silent || now.Sub(began) >= establishedAfter
	o.nextProbe = now.Add(min(max(now.Sub(o.since)/2, minProbeInterval), maxProbeInterval))
}

// RecordSuccess ends the outage.
func (o *Outage) RecordSuccess() { *o = Outage{} }

// Since returns the time of the first failure without a success after it, zero if there is none.
func (o *Outage) Since() time.Time { return o.since }

// NextProbe returns when the path may be probed again.
func (o *Outage) NextProbe() time.Time { return o.nextProbe }

// Down reports whether the path counts as down.
func (o *Outage) Down(now time.Time) bool {
	return o.silent || o.failures >= establishedFailures && now.Sub(o.since) >= establishedAfter
}

// DecideDown decides on a request whose paths are all down. It waits while a failover may still end
// or the result of a probe is expected soon; otherwise one request at a time probes. The others are
// refused until the next probe, but for no less than the outage is expected to last: callers retry
// only a few times.
func DecideDown(now time.Time, p Paths) Decision {
	switch {
	case p.Probing, p.Failover && now.Sub(p.Since) < FailoverTime:
		return Decision{Verdict: Keep}
	case p.MayProbe:
		return Decision{Verdict: Probe}
	default:
		return Decision{Verdict: Refuse, Cause: CausePathDown, RetryAfter: max(p.NextProbe.Sub(now), OutageRetry(now, p.Since)), Outage: now.Sub(p.Since)}
	}
}
