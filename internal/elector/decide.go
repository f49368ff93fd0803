// Package elector keeps one instance in charge of each group's primary, and moves
// the lead when the primary is lost, cut off or about to leave.
package elector

import (
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// Load pattern: none of its own; a member under load answers late, and must not be
// taken for a dead one. STATUS takes a slot, so a member that runs six times slower
// with a full queue may need half a second.
const (
	// refusedAfter is for how long new connections must have been refused. A process
	// that is gone refuses at once; a restart that was seen in between would be
	// answered by a process that has its log.
	refusedAfter = 200 * time.Millisecond
	// silentAfter is for how long a member must have been silent on an old and on two
	// new connections, from when it was asked. A member that is only slow loses the
	// lead unharmed: the change needs no proof that it is dead.
	silentAfter = 800 * time.Millisecond
	// standstillAfter is for how long the primary must have moved on without any
	// replica: its commits are not acknowledged meanwhile. Replicas receive within a
	// network trip, at most 12 ms one way.
	standstillAfter = 1200 * time.Millisecond
	// leaderlessAfter is for how long no member must lead: longer than a promotion that
	// another instance has ordered takes to show, 600 to 1,000 ms.
	leaderlessAfter = 2 * time.Second
	// overloadedAfter is for how long the primary must have had a long queue while a
	// replica had none: longer than usual bursts, and short against the
	// seconds that a member stays slow.
	overloadedAfter = 800 * time.Millisecond
	// queueFactor is how many statements a slot must have for the queue to be long. At
	// three, a statement waits twice as long as it runs.
	queueFactor = 3
	// crowdedPart is the part of a member's connections that are taken when the rest is
	// only changing hands.
	crowdedPart = 0.9
	// firstMovePause is the least time between the last change of the lead and one that
	// only evens out load: open transactions are rolled back by each. When a group is
	// overloaded again soon, the move was no cure, as where all slots are too few; the
	// pause is four times as long then, up to lastMovePause.
	firstMovePause = 8 * time.Second
	lastMovePause  = 2 * time.Minute
	// lateMovePause takes its place while a replica that is late could take the lead. Such
	// a move is a cure each time: the member that was late leads, and the old primary
	// answers reads. With two late replicas, one member had all the reads for 12 s.
	lateMovePause = 2500 * time.Millisecond
	// lingerTime is how long members keep connections whose other end has lost power.
	// An instance that has just started may find a member full of those.
	lingerTime = 3500 * time.Millisecond
	// lateReplica is how late a replica is that can answer few reads: they may be 1.5 to
	// 2.5 s old on the users' routes, proofs take up to 0.4 s of it.
	lateReplica = time.Second
	// leftPausedAfter is for how long a replica must have been paused while nobody changes
	// the primary, before it is resumed.
	leftPausedAfter = time.Second
)

type (
	// Observation is what is known of a member from being asked.
	Observation struct {
		tracker.Member
		// Answered is set when the member answered the last question.
		Answered bool
		// Refused is set when a new connection was refused rather than unanswered.
		Refused bool
		// Full is set when the member said that it takes no more connections: it lives.
		Full bool
		// FailedSince is when it first did not answer, since it last did.
		FailedSince tracker.Stamp
		Status      messenger.Status
		// Known is when Status was last told.
		Known tracker.Stamp
		// BehindSince is since when the replica has stood still at a position that the
		// primary has passed, 0 when it does not; PausedSince since when it is paused.
		BehindSince, PausedSince tracker.Stamp
		// OverloadedSince is since when the member's queue is long, 0 when it is not;
		// CrowdedSince since when nearly all of its connections are taken.
		OverloadedSince, CrowdedSince tracker.Stamp
	}

	// View is what the holder of a duty knows of its group.
	View struct {
		Now     tracker.Stamp
		Members []Observation
		// Primary is the member that led when it was last asked.
		Primary string
		// LeaderlessSince is since when no member is known to lead, 0 when one is.
		LeaderlessSince tracker.Stamp
		// Ordered is when a promotion was last ordered.
		Ordered tracker.Stamp
		// MovePause is the least time between two changes that only even out load.
		MovePause time.Duration
		// Booted is when this process started.
		Booted tracker.Stamp
	}

	// Reason says why the lead is moved.
	Reason string

	// Verdict is what should be done.
	Verdict struct {
		// Move is why the lead should move, "" when it should not.
		Move Reason
		// Resume names replicas that were left paused.
		Resume []string
	}
)

// The reasons to move the lead.
const (
	ReasonNone       Reason = ""
	ReasonRefused    Reason = "primary-refuses-connections"
	ReasonSilent     Reason = "primary-silent"
	ReasonLeaving    Reason = "primary-leaving"
	ReasonStandstill Reason = "replicas-standing-still"
	ReasonLeaderless Reason = "nobody-leads"
	ReasonOverloaded Reason = "primary-overloaded"
)

// primaryLives reports whether the lead moves away from a primary that still works.
func (r Reason) primaryLives() bool {
	return r == ReasonLeaving || r == ReasonStandstill || r == ReasonOverloaded
}

// Decide says whether the lead should move.
func Decide(v View) Verdict {
	var p *Observation
	for i := range v.Members {
		if v.Members[i].ID == v.Primary {
			p = &v.Members[i]
		}
	}
	if p == nil || p.Answered && !p.Status.Primary {
		if v.LeaderlessSince != 0 && anyAnswered(v) && v.Now-v.LeaderlessSince > leaderlessAfter && v.Now-v.Ordered > leaderlessAfter {
			return Verdict{Move: ReasonLeaderless}
		}
		return Verdict{}
	}
	if p.Full {
		if full(v, p) {
			return Verdict{Move: ReasonOverloaded}
		}
		return Verdict{}
	}
	if !p.Answered {
		return Verdict{Move: lost(v, p)}
	}
	if p.Leaving && hasSuccessor(v, p) {
		return Verdict{Move: ReasonLeaving}
	}
	if standstill(v, p) {
		return Verdict{Move: ReasonStandstill}
	}
	if overloaded(v, p) || crowded(v, p) {
		return Verdict{Move: ReasonOverloaded}
	}
	return Verdict{Resume: leftPaused(v)}
}

// overloaded reports whether the primary can't keep up while a replica could.
//
// Two patterns of load bring this about. The primary's machine is slow: all writes
// and transactions wait there. Or the replicas apply the log so late that no read
// may go to them: then all reads come to the primary; with the lead at one of the
// late replicas, the old primary answers reads as a replica that isn't late.
func overloaded(v View, p *Observation) bool {
	if p.OverloadedSince == 0 || v.Now-p.OverloadedSince < overloadedAfter {
		return false
	}
	return mayRelieve(v, p)
}

// crowded reports whether the primary has no place left for another connection while a
// replica is too late for reads. Its queue may be short: transactions rest on most of its
// connections, and the reads that replicas can't answer find none.
func crowded(v View, p *Observation) bool {
	if p.CrowdedSince == 0 || v.Now-p.CrowdedSince < overloadedAfter {
		return false
	}
	return slices.ContainsFunc(v.Members, func(m Observation) bool { return m.ID != p.ID && m.relieves(v.Now) && m.late() }) && mayRelieve(v, p)
}

// full reports whether the primary has had no place for a connection for too long,
// while a replica has little to do.
func full(v View, p *Observation) bool {
	return v.Now-p.FailedSince >= overloadedAfter && v.Now-v.Booted > lingerTime && mayRelieve(v, p)
}

// mayRelieve reports whether a replica could take the lead over from an overloaded
// primary, and the last change is long enough ago.
func mayRelieve(v View, p *Observation) bool {
	free, late := false, false
	for _, m := range v.Members {
		if m.ID != p.ID && m.relieves(v.Now) {
			free, late = true, late || m.late()
		}
	}
	pause := max(v.MovePause, firstMovePause)
	if late {
		pause = lateMovePause
	}
	return free && (v.Ordered == 0 || v.Now-v.Ordered >= pause)
}

func anyAnswered(v View) bool {
	for _, m := range v.Members {
		if m.Answered {
			return true
		}
	}
	return false
}

// lost says why a primary that did not answer is given up, if it is.
func lost(v View, p *Observation) Reason {
	failing := v.Now - p.FailedSince
	switch {
	case p.Refused && failing >= refusedAfter:
		return ReasonRefused
	case failing >= silentAfter:
		return ReasonSilent
	}
	return ReasonNone
}

// hasSuccessor reports whether a member that stays could take the lead.
func hasSuccessor(v View, p *Observation) bool {
	for _, m := range v.Members {
		if m.ID != p.ID && m.Answered && !m.Leaving {
			return true
		}
	}
	return false
}

// standstill reports whether the primary has gone on alone: it is cut off from its
// replicas, so what it commits is acknowledged to nobody.
func standstill(v View, p *Observation) bool {
	answered := 0
	for _, m := range v.Members {
		if m.ID == p.ID || !m.Answered {
			continue
		}
		answered++
		// From answer to answer: a member without a slot for questions tells nothing of its log.
		if m.BehindSince == 0 || m.Known-m.BehindSince < standstillAfter {
			return false
		}
	}
	// With one replica, the new primary would be as alone as the old one.
	return answered > 1
}

// standsStill reports whether the member has not moved for longer than a commit takes
// to reach it, though the primary has. Under load a replica that receives is always a
// commit or two behind.
func (o *Observation) standsStill(now tracker.Stamp) bool {
	return o.BehindSince != 0 && now-o.BehindSince > catchUpTime
}

// relieves reports whether the member could lead and has little to do.
func (o *Observation) relieves(now tracker.Stamp) bool {
	return o.Answered && !o.Leaving && !o.standsStill(now) && o.Status.Busy <= o.Slots
}

// late reports whether the member is too late to answer most reads.
func (o *Observation) late() bool {
	return o.Status.LagMillis >= lateReplica.Milliseconds()
}

// leftPaused names the replicas that a try which came to nothing has left paused.
func leftPaused(v View) []string {
	var ids []string
	for _, m := range v.Members {
		if m.Answered && !m.Status.Primary && m.PausedSince != 0 && v.Now-m.PausedSince > leftPausedAfter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
