// Package elector elects one owner instance per group. The owner replaces the group's primary
// when it fails, is partitioned or is about to leave.
package elector

import (
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// A member under load responds late and must not be taken for a failed one.
const (
	// refusedTimeout is how long new connections must be refused before the primary counts as
	// crashed. The host of a crashed process refuses at once.
	refusedTimeout = 200 * time.Millisecond
	// silenceTimeout is how long the primary must be unresponsive before it is replaced. A status
	// request occupies a slot, so a slow member with a full queue may take half a second to reply.
	// A primary that is only slow is replaced without harm: the change needs no proof that it is
	// dead.
	silenceTimeout = 800 * time.Millisecond
	// stallTimeout is how long no replica may follow the primary's log. Its commits are not
	// acknowledged meanwhile. Replicas usually receive an entry within one network trip.
	stallTimeout = 1200 * time.Millisecond
	// leaderlessTimeout is how long a group must lack a primary. It exceeds the time of a
	// promotion ordered by another instance. Such a promotion takes 300 to 1,000 ms.
	leaderlessTimeout = 2 * time.Second
	// overloadTimeout is how long the primary must be overloaded, so that short bursts do not
	// change it.
	overloadTimeout = 800 * time.Millisecond
	// longQueueFactor is the number of statements per slot at which a queue counts as long. At
	// three, a statement waits twice as long as it runs.
	longQueueFactor = 3
	// nearlyFullRatio is the share of a member's connections in use at which it is nearly full. The
	// rest are connections that are being replaced.
	nearlyFullRatio = 0.9
	// minRebalanceInterval separates changes made only to balance load, since each rolls back open
	// transactions. It grows up to maxRebalanceInterval while they do not help. A group that is
	// soon overloaded again, as when all members lack slots, is not helped by them.
	minRebalanceInterval = 8 * time.Second
	maxRebalanceInterval = 2 * time.Minute
	// laggingRebalanceInterval replaces minRebalanceInterval when a lagging replica can be
	// promoted, since the old primary then serves reads instead. Otherwise one member would serve
	// all reads in the meantime.
	laggingRebalanceInterval = 2500 * time.Millisecond
	// deadConnectionTimeout is how long members keep the connections of hosts that failed without
	// closing them. These may exhaust the connection limits when this instance starts.
	deadConnectionTimeout = 3500 * time.Millisecond
	// laggingThreshold is the replication lag at which a replica is too stale for most reads. Routes
	// with a staleness bound usually allow 1.5 to 2.5 s.
	laggingThreshold = time.Second
	// stalePauseTimeout is how long a replica stays paused without a change in progress before it
	// is resumed.
	stalePauseTimeout = time.Second
)

type (
	// Observation is the last known state of a polled member.
	Observation struct {
		tracker.Member
		// Answered is set when the member answered the last poll.
		Answered bool
		// Refused is set when a new connection was refused, not timed out.
		Refused bool
		// ConnectionsExhausted is set when the member rejected the connection for its limit.
		ConnectionsExhausted bool
		// FailedSince is when the first of the current failed polls was sent.
		FailedSince tracker.Timestamp
		Status      messenger.Status
		// StatusAt is when Status was received.
		StatusAt tracker.Timestamp
		// StalledSince is when the replica stopped at a position behind the primary's, 0 when it
		// follows; PausedSince is when it was paused.
		StalledSince, PausedSince tracker.Timestamp
		// OverloadedSince is when the member's queue became long, 0 when it is not; NearlyFullSince
		// is when nearly all of its connections were in use, 0 when they are not.
		OverloadedSince, NearlyFullSince tracker.Timestamp
	}

	// View is the state of a group as its owner sees it.
	View struct {
		Now     tracker.Timestamp
		Members []Observation
		// Primary is the last known primary.
		Primary string
		// LeaderlessSince is when the group lost its primary, 0 when it has one.
		LeaderlessSince tracker.Timestamp
		// PromotionOrderedAt is when a promotion was last ordered.
		PromotionOrderedAt tracker.Timestamp
		// RebalanceInterval is the minimum interval between changes made only to balance load.
		RebalanceInterval time.Duration
		// ProcessStart is when this process started.
		ProcessStart tracker.Timestamp
	}

	// Reason is why the primary is replaced.
	Reason string

	// Decision is the outcome of Decide.
	Decision struct {
		// Reason is why the primary should be replaced, ReasonNone when it should not.
		Reason Reason
		// Resume lists replicas that were left paused.
		Resume []string
	}
)

// The reasons to replace the primary.
const (
	ReasonNone    Reason = ""
	ReasonRefused Reason = "primary-refuses-connections"
	ReasonSilent  Reason = "primary-silent"
	ReasonLeaving Reason = "primary-leaving"
	// ReasonReplicationStalled means that no known replica follows the primary. None can replace it
	// then, as each lacks commits.
	ReasonReplicationStalled Reason = "replicas-standing-still"
	// ReasonLeaderless means that the group has no primary.
	ReasonLeaderless Reason = "nobody-leads"
	ReasonOverloaded Reason = "primary-overloaded"
)

// primaryAlive reports whether the replaced primary still works.
func (r Reason) primaryAlive() bool {
	return r == ReasonLeaving || r == ReasonReplicationStalled || r == ReasonOverloaded
}

// Decide determines whether the primary should be replaced.
func Decide(v View) Decision {
	var p *Observation
	for i := range v.Members {
		if v.Members[i].ID == v.Primary {
			p = &v.Members[i]
		}
	}
	if p == nil || p.Answered && !p.Status.Primary {
		if v.LeaderlessSince != 0 && anyAnswered(v) && v.Now-v.LeaderlessSince > leaderlessTimeout && v.Now-v.PromotionOrderedAt > leaderlessTimeout {
			return Decision{Reason: ReasonLeaderless}
		}
		return Decision{}
	}
	if p.ConnectionsExhausted {
		if connectionsExhausted(v, p) {
			return Decision{Reason: ReasonOverloaded}
		}
		return Decision{}
	}
	if !p.Answered {
		return Decision{Reason: lossReason(v, p)}
	}
	if p.Leaving && hasSuccessor(v, p) {
		return Decision{Reason: ReasonLeaving}
	}
	if replicationStalled(v, p) {
		return Decision{Reason: ReasonReplicationStalled, Resume: stalePaused(v)}
	}
	if overloaded(v, p) || nearlyFull(v, p) {
		return Decision{Reason: ReasonOverloaded}
	}
	return Decision{Resume: stalePaused(v)}
}

// overloaded reports whether the primary is overloaded while a replica has spare capacity.
// Either the primary's host is slow, or the replicas lag too much for reads, which then all go
// to the primary.
func overloaded(v View, p *Observation) bool {
	if p.OverloadedSince == 0 || v.Now-p.OverloadedSince < overloadTimeout {
		return false
	}
	return canOffload(v, p)
}

// nearlyFull reports whether the primary has nearly no connections left while a replica lags too
// much for reads. The primary's queue may be short if its connections are held by idle
// transactions.
func nearlyFull(v View, p *Observation) bool {
	if p.NearlyFullSince == 0 || v.Now-p.NearlyFullSince < overloadTimeout {
		return false
	}
	return slices.ContainsFunc(v.Members, func(m Observation) bool { return m.ID != p.ID && m.hasSpareCapacity(v.Now) && m.lagging() }) && canOffload(v, p)
}

// connectionsExhausted reports whether the primary has rejected connections for too long while a
// replica has spare capacity.
func connectionsExhausted(v View, p *Observation) bool {
	return v.Now-p.FailedSince >= overloadTimeout && v.Now-v.ProcessStart > deadConnectionTimeout && canOffload(v, p)
}

// canOffload reports whether a replica could replace an overloaded primary, and the last
// change is long enough ago.
func canOffload(v View, p *Observation) bool {
	available, lagging := false, false
	for _, m := range v.Members {
		if m.ID != p.ID && m.hasSpareCapacity(v.Now) {
			available, lagging = true, lagging || m.lagging()
		}
	}
	interval := max(v.RebalanceInterval, minRebalanceInterval)
	if lagging {
		interval = laggingRebalanceInterval
	}
	return available && (v.PromotionOrderedAt == 0 || v.Now-v.PromotionOrderedAt >= interval)
}

func anyAnswered(v View) bool {
	for _, m := range v.Members {
		if m.Answered {
			return true
		}
	}
	return false
}

// lossReason returns why an unresponsive primary is replaced, if it is.
func lossReason(v View, p *Observation) Reason {
	failing := v.Now - p.FailedSince
	switch {
	case p.Refused && failing >= refusedTimeout:
		return ReasonRefused
	case failing >= silenceTimeout:
		return ReasonSilent
	}
	return ReasonNone
}

// hasSuccessor reports whether a member that is not leaving could become primary.
func hasSuccessor(v View, p *Observation) bool {
	for _, m := range v.Members {
		if m.ID != p.ID && m.Answered && !m.Leaving {
			return true
		}
	}
	return false
}

// replicationStalled reports whether no replica follows the primary, so that its commits are
// not acknowledged.
func replicationStalled(v View, p *Observation) bool {
	answered := 0
	for _, m := range v.Members {
		if m.ID == p.ID || !m.Answered {
			continue
		}
		answered++
		// Uses the time of the last status: a busy member's log position is unknown.
		if m.StalledSince == 0 || m.StatusAt-m.StalledSince < stallTimeout {
			return false
		}
	}
	// With one replica, a new primary would have no replica either.
	return answered > 1
}

// stalled reports whether the member has not advanced for longer than a commit takes to reach
// it, although the primary has.
func (o *Observation) stalled(now tracker.Timestamp) bool {
	return o.StalledSince != 0 && now-o.StalledSince > catchUpTimeout
}

// hasSpareCapacity reports whether the member could become primary and has free slots.
func (o *Observation) hasSpareCapacity(now tracker.Timestamp) bool {
	return o.Answered && !o.Leaving && !o.stalled(now) && o.Status.Busy <= o.Slots
}

// lagging reports whether the replica is too stale for most reads.
func (o *Observation) lagging() bool {
	return o.Status.LagMillis >= laggingThreshold.Milliseconds()
}

// stalePaused lists the replicas that a failed change has left paused.
func stalePaused(v View) []string {
	var ids []string
	for _, m := range v.Members {
		if m.Answered && !m.Status.Primary && m.PausedSince != 0 && v.Now-m.PausedSince > stalePauseTimeout {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
