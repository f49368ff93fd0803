package elector

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file suspends commit leases while the primary doesn't respond, and waits for their end before a
// primary that can't be demoted is replaced.

const (
	// suspensionRetryInterval is the minimum time between two attempts to record the suspension.
	suspensionRetryInterval = time.Second
	// maxLeaseWait is the longest wait for the end of leases within a change. Longer ones are left to
	// later rounds, which notice if the primary responds again.
	maxLeaseWait = 1200 * time.Millisecond
	// untilAnswered is the value in mayLeadUntil of a member whose order may be executed at any time.
	untilAnswered = tracker.Timestamp(math.MaxInt64)
	// unknownMember stands in mayLeadUntil for the members that orders of earlier owners may name.
	unknownMember = ""
)

// orderSent records that an order names a member. It may be executed until a later one is answered.
func (sv *Supervisor) orderSent(member string) { sv.mayLeadUntil[member] = untilAnswered }

// orderAnswered records that the latest order has been answered. Earlier ones are not executed any more, but
// may have been executed shortly before and not have taken effect yet.
func (sv *Supervisor) orderAnswered() {
	now := sv.Clock()
	for id, until := range sv.mayLeadUntil {
		if until == untilAnswered {
			sv.mayLeadUntil[id] = now + fencingDelay
		}
	}
}

// otherMayLead reports whether an order may yet make another member than the primary lead. That member
// would lack what is acknowledged meanwhile.
func (sv *Supervisor) otherMayLead() bool {
	now := sv.Clock()
	maps.DeleteFunc(sv.mayLeadUntil, func(_ string, until tracker.Timestamp) bool { return now >= until })
	for id := range sv.mayLeadUntil {
		if id != sv.primary {
			return true
		}
	}
	return false
}

// updateLeases allows leases while the primary responds and no other member may lead, and suspends them
// otherwise.
func (sv *Supervisor) updateLeases(ctx context.Context) {
	p := sv.members[sv.primary]
	leads, pooled := sv.leads(p)
	switch {
	case !leads:
		sv.suspendLeases(ctx)
	case !sv.stateConfirmed || sv.otherMayLead():
		sv.stopLeases()
	case pooled:
		sv.allowLeases(p.pooledStatus.Term)
	default:
		sv.allowLeases(p.Status.Term)
	}
}

// allowLeases lets instances have leases for the term of the primary.
func (sv *Supervisor) allowLeases(term uint64) {
	if term < sv.lastLeader.Term {
		return
	}
	if !sv.leasesAllowed {
		sv.Log("event", "leases-allowed", "group", sv.Group.Name, "primary", sv.primary, "term", term)
	}
	sv.leasesAllowed, sv.suspensionRecordedAt = true, 0
	sv.AllowLeases(term)
}

// stopLeases ends the granting of leases by this instance.
func (sv *Supervisor) stopLeases() {
	if !sv.leasesAllowed {
		return
	}
	sv.leasesAllowed = false
	sv.SuspendLeases()
	sv.Log("event", "leases-suspended", "group", sv.Group.Name, "primary", sv.primary)
}

// suspendLeases ends the granting of leases and records that, since instances that the owner doesn't
// reach rely on the recorded state. It is recorded as soon as the primary is suspected, so that the
// leases have expired when it is replaced.
func (sv *Supervisor) suspendLeases(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	sv.stopLeases()
	now := sv.Clock()
	if sv.suspensionRecordedAt != 0 || !sv.stateConfirmed || sv.members[sv.primary] == nil || sv.SynchronousReplicas() == 0 ||
		sv.suspensionTriedAt != 0 && now-sv.suspensionTriedAt < suspensionRetryInterval {
		return
	}
	sv.suspensionTriedAt = now
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err := sv.NextFencingToken(ctx, sv.stateToRecord())
	sv.Log("event", "suspension-recorded", "group", sv.Group.Name, "primary", sv.primary, "outcome", outcomeText(err))
	if err == nil {
		sv.suspensionRecordedAt = sv.Clock()
	}
}

// leaseWait returns how long to wait until no instance acknowledges commits of a primary that isn't
// demoted, and every member through which such commits were acknowledged is registered.
func (sv *Supervisor) leaseWait() time.Duration {
	if sv.SynchronousReplicas() == 0 {
		return 0
	}
	recorded := sv.suspensionRecordedAt
	if recorded == 0 {
		recorded = sv.Clock()
	}
	expiry := max(sv.SuspendLeases(), recorded+CommitLeaseTTL+commitLeaseMargin)
	return expiry + tracker.RegistrationDelay - sv.Clock()
}

// leasesOutstanding reports whether a change must be left to a later round, since leases don't expire
// soon.
func (sv *Supervisor) leasesOutstanding(v View, reason Reason) bool {
	wait := sv.leaseWait()
	if wait <= maxLeaseWait {
		return false
	}
	sv.Log("event", "move-waits", "group", sv.Group.Name, "reason", reason, "primary", v.Primary, "for", "end of commit leases", "ms", wait.Milliseconds())
	return true
}

// awaitLeaseExpiry waits for the end of leases before a primary that can't be demoted is replaced. It
// polls the members meanwhile, and returns a new plan if it has waited.
func (sv *Supervisor) awaitLeaseExpiry(ctx context.Context, c *primaryChange, reason Reason) (*primaryChange, error) {
	start := sv.Clock()
	var v View
	for {
		wait := sv.leaseWait()
		if wait <= 0 {
			break
		}
		if v.Members != nil && wait <= requestTimeout {
			if err := sleeper.Sleep(ctx, wait); err != nil {
				return nil, err
			}
			continue
		}
		v = sv.pollMembers(ctx)
		d := Decide(v)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if d.Reason == ReasonNone {
			return nil, errReasonCleared
		}
		reason = d.Reason
		if leads, _ := sv.leads(sv.members[sv.primary]); leads {
			break
		}
	}
	if v.Members == nil {
		return c, nil
	}
	sv.Log("event", "leases-expired", "group", sv.Group.Name, "waited-ms", (sv.Clock() - start).Milliseconds())
	return sv.plan(v, reason)
}
