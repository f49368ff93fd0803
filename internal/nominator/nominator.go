// Package nominator selects the instance that keeps the customers' accounts. It has no clock and no
// network: the caller passes in the ranked candidates, the outcome of each call and its time.
//
// The load it handles: a network partition, in which instances notice one after the other that
// others are unreachable. Choosing the first reachable instance anew each time then makes several
// instances accountant in turn, and each change moves all reports. So the choice is kept while there
// is no evidence against it:
//
//   - The accountant is kept while it answers. It is lost after lossFailures failed calls in a row,
//     or one refused connection.
//   - It is replaced by the first candidate that has answered after the first of these failures, so
//     that a candidate behind the same partition isn't tried with reports.
//   - A candidate ranked before the accountant replaces it after it has been reachable without
//     interruption for takeoverPeriod.
//
// Instances that reach the same candidates select the same one, without communication. If they
// don't, each of the accountants withholds what the others may lease (package limiter).
package nominator

import (
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// lossFailures is the number of failed calls in a row after which the accountant is lost. A
	// single one may only be a stale connection.
	lossFailures = 2
	// takeoverPeriod is how long a candidate must have been reachable without interruption to
	// replace an accountant that answers, and how long after the start the ranking is followed
	// without this condition, since peers are still being discovered.
	takeoverPeriod = 2 * time.Second
	// lossTimeout bounds the wait for answers of better candidates once the accountant is lost. All
	// calls end before, unless very many candidates are unreachable.
	lossTimeout = 2 * time.Second
	// probeInterval is the interval of the probes of a candidate. It is shorter than the timeout of a
	// call, so that one of them fails in each interruption of twice that timeout.
	// downProbeInterval is that of a candidate that has failed for downPeriod.
	probeInterval     = 250 * time.Millisecond
	downProbeInterval = 2 * time.Second
	downPeriod        = 10 * time.Second
	// answerPeriod is how long an answer is valid. It exceeds downProbeInterval and the timeout of a
	// call.
	answerPeriod = 3 * time.Second
	// pauseThreshold is the time between two calls of Choose from which this process was paused.
	// Calls that were in flight have failed for that reason.
	pauseThreshold = time.Second
	// maxProbes bounds the candidates that are probed at a time.
	maxProbes = 16
	// maxTakeoverProbes bounds the candidates that are probed because they are ranked before the
	// accountant.
	maxTakeoverProbes = 4
)

// The reasons of a choice.
const (
	ReasonStart        = "start"
	ReasonUnanswered   = "unanswered"
	ReasonRefused      = "connection-refused"
	ReasonNotCandidate = "not-a-candidate"
	ReasonRank         = "higher-rank"
)

type (
	// Nominator holds the choice and its evidence. The zero value has chosen nobody. It is not safe
	// for concurrent use.
	Nominator struct {
		current         string
		chosen          bool
		startedAt, last tracker.Timestamp
		peers           map[string]*evidence
	}

	// Choice is a decision. Address is "" for this instance.
	Choice struct {
		Address string
		// Changed is set if the accountant has changed, for Reason.
		Changed bool
		Reason  string
		// Failures is the number of failed calls in a row of the previous accountant, FailingFor the
		// time since the first of them.
		Failures   int
		FailingFor time.Duration
		// ReachableFor is how long the chosen candidate has been reachable without interruption.
		ReachableFor time.Duration
	}

	// evidence is what is known of a candidate.
	evidence struct {
		// answeredAt is when it last answered, reachableSince since when without interruption; 0 if
		// its last call failed.
		answeredAt, reachableSince tracker.Timestamp
		// failures counts the failed calls in a row, the first of them at failingSince, the last at
		// failedAt. refused is set if its address refused the connection.
		failures               int
		failingSince, failedAt tracker.Timestamp
		refused                bool
		// lostAt is when it was lost by these failures, probedAt when it was last probed.
		lostAt, probedAt tracker.Timestamp
	}
)

// RecordAnswer records that a candidate has answered a call.
func (n *Nominator) RecordAnswer(now tracker.Timestamp, address string) {
	e := n.peer(address)
	if e.reachableSince == 0 || now-e.answeredAt > answerPeriod {
		e.reachableSince = now
	}
	e.answeredAt, e.failures, e.refused = now, 0, false
}

// RecordFailure records a call to a candidate that failed. refused is set if the address refused the
// connection.
func (n *Nominator) RecordFailure(now tracker.Timestamp, address string, refused bool) {
	e := n.peer(address)
	if e.failures == 0 {
		e.failingSince = now
	}
	wasLost := e.lost()
	e.failures, e.failedAt, e.refused, e.reachableSince = e.failures+1, now, refused, 0
	if !wasLost && e.lost() {
		e.lostAt = now
	}
}

// Choose returns the accountant, given the candidates in the order of their rank; "" is this
// instance. It must be called several times per second.
func (n *Nominator) Choose(now tracker.Timestamp, ranked []string) Choice {
	n.forgetPaused(now)
	n.last = now
	for a := range n.peers {
		if a != n.current && !slices.Contains(ranked, a) {
			delete(n.peers, a)
		}
	}
	switch {
	case len(ranked) == 0:
		return Choice{Address: n.current}
	case !n.chosen:
		n.startedAt, n.chosen = now, true
		return n.choose(now, ranked[0], ReasonStart)
	}
	if reason := n.lossReason(ranked); reason != "" {
		if next, ok := n.successor(now, ranked); ok {
			return n.choose(now, next, reason)
		}
		return Choice{Address: n.current}
	}
	for _, a := range n.betterRanked(ranked) {
		switch reachableFor := n.reachableFor(now, a); {
		case reachableFor == 0:
			continue
		case reachableFor < takeoverPeriod && now-n.startedAt >= takeoverPeriod:
			// Changing to a lower one now would make two changes.
			return Choice{Address: n.current}
		default:
			return n.choose(now, a, ReasonRank)
		}
	}
	return Choice{Address: n.current}
}

// Probes returns the candidates to call now: after a failed call of the accountant its possible
// successors, otherwise those ranked before it.
func (n *Nominator) Probes(now tracker.Timestamp, ranked []string) (addresses []string) {
	if !n.chosen {
		return nil
	}
	list, limit := n.betterRanked(ranked), maxTakeoverProbes
	since, failing := n.failingSince(ranked)
	if failing {
		list, limit = ranked, maxProbes
	}
	considered := 0
	for _, a := range list {
		e := n.peer(a)
		switch {
		case a == "" || failing && e.answeredSince(since):
			return addresses // reachable; those after it are not needed
		case a == n.current || failing && e.failures > 0 && e.failedAt >= since:
			continue
		}
		if considered++; considered > limit {
			break
		}
		interval := probeInterval
		if e.failures > 0 && now-e.failingSince > downPeriod {
			interval = downProbeInterval
		}
		if e.probedAt != 0 && now-e.probedAt < interval && !(failing && e.probedAt < since) {
			continue
		}
		e.probedAt = now
		addresses = append(addresses, a)
	}
	return addresses
}

// Failing reports whether the last call to the accountant has failed, so that it should be called
// again at once.
func (n *Nominator) Failing() bool { return n.chosen && n.peer(n.current).failures > 0 }

// forgetPaused discards the evidence from before a pause of this process.
func (n *Nominator) forgetPaused(now tracker.Timestamp) {
	if n.last == 0 || now-n.last <= pauseThreshold {
		return
	}
	for _, e := range n.peers {
		*e = evidence{}
	}
}

// lossReason returns why the accountant is lost, "" if it isn't.
func (n *Nominator) lossReason(ranked []string) string {
	e := n.peer(n.current)
	switch {
	case !slices.Contains(ranked, n.current):
		return ReasonNotCandidate
	case n.current == "":
		return ""
	case e.refused:
		return ReasonRefused
	case e.failures >= lossFailures:
		return ReasonUnanswered
	}
	return ""
}

// failingSince returns since when the accountant fails, and whether it does.
func (n *Nominator) failingSince(ranked []string) (tracker.Timestamp, bool) {
	e := n.peer(n.current)
	return e.failingSince, e.failures > 0 || !slices.Contains(ranked, n.current)
}

// successor returns the first candidate that has answered since the accountant fails. It waits for
// the answers of candidates before it, at most for lossTimeout.
func (n *Nominator) successor(now tracker.Timestamp, ranked []string) (address string, ok bool) {
	since, _ := n.failingSince(ranked)
	for _, a := range ranked {
		e := n.peer(a)
		switch {
		case a == n.current:
		case a == "" || e.answeredSince(since):
			return a, true
		case e.failures > 0 && e.failedAt >= since:
		case now-n.peer(n.current).lostAt < lossTimeout:
			return "", false
		}
	}
	return "", false
}

// answeredSince reports whether the last call was answered, not before a time.
func (e *evidence) answeredSince(since tracker.Timestamp) bool {
	return e.answeredAt != 0 && e.answeredAt >= since && e.failures == 0
}

// lost reports whether the accountant is lost with this evidence.
func (e *evidence) lost() bool { return e.refused || e.failures >= lossFailures }

// betterRanked returns the candidates ranked before the accountant.
func (n *Nominator) betterRanked(ranked []string) []string {
	return ranked[:max(0, slices.Index(ranked, n.current))]
}

// reachableFor returns how long a candidate has been reachable without interruption until its last
// answer, 0 if it isn't reachable.
func (n *Nominator) reachableFor(now tracker.Timestamp, address string) time.Duration {
	if address == "" {
		return max(1, now-n.startedAt)
	}
	e := n.peer(address)
	if e.reachableSince == 0 || now-e.answeredAt > answerPeriod {
		return 0
	}
	return max(1, e.answeredAt-e.reachableSince)
}

// choose makes a candidate the accountant.
func (n *Nominator) choose(now tracker.Timestamp, address, reason string) Choice {
	c := Choice{Address: address, Changed: true, Reason: reason}
	if e := n.peer(n.current); e.failures > 0 {
		c.Failures, c.FailingFor = e.failures, now-e.failingSince
	}
	c.ReachableFor = n.reachableFor(now, address)
	n.current = address
	return c
}

func (n *Nominator) peer(address string) *evidence {
	if n.peers == nil {
		n.peers = map[string]*evidence{}
	}
	e, ok := n.peers[address]
	if !ok {
		e = &evidence{}
		n.peers[address] = e
	}
	return e
}
