package promoter

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/observer"
)

// Instances that detect the same failure must not compete: if each fenced a minority for the
// same term, none would get a majority. So an instance waits according to its rank, and stops
// when it sees a newer term.
const (
	// rankDelay exceeds the duration of a promotion, so that the next in rank starts only if the
	// first has failed.
	rankDelay = 150 * time.Millisecond
	// rankJitter separates instances that have not discovered each other.
	rankJitter    = 100 * time.Millisecond
	peerReportTTL = 3 * time.Second
	// takenIntentDelay is the wait after another promoter's intent, so that it can finish.
	takenIntentDelay = 700 * time.Millisecond
	retryDelay       = 300 * time.Millisecond
	// stallCooldown doubles with each change for a stall, up to maxStallCooldown, so that
	// replication lag does not cause repeated changes.
	stallCooldown    = 3 * time.Second
	maxStallCooldown = 60 * time.Second
	// repairDelay is how long a member must need repair before it is repaired, so that the
	// promoter can reach it first.
	repairDelay     = 300 * time.Millisecond
	repairInterval  = time.Second
	maxStatusAge    = time.Second
	publishInterval = 2 * time.Second
	// primarySearchTimeout bounds the polling for a new primary on each tick.
	primarySearchTimeout = 10 * time.Second
)

type (
	// Slice decides when to promote a member, and runs the steps of a promotion. Set the exported
	// fields before the first Step.
	Slice struct {
		Name string
		// Owner identifies this process to the members and the store. It must change on restart,
		// because members grant a term to one owner and orders of the former process may still be in
		// flight.
		Owner  string
		Random *rand.Rand

		views  detector.Views
		groups map[string]*group
		// sortedGroups holds the groups by name.
		sortedGroups []*group
		lastAttempt  uint64
	}

	// peer is the last report of another instance.
	peer struct {
		reportedAt time.Time
		suspects   bool
	}

	// group is the promotion state of one group.
	group struct {
		slice         *Slice
		view          *detector.View
		agreedFailure *detector.FailureAgreed
		// leaving lists the members that announced their shutdown.
		leaving map[string]bool
		// peers are the other instances that monitor the group, by name.
		peers map[string]peer
		// newestStoredTerm is the newest term seen in the store.
		newestStoredTerm uint64
		// startAt is when the next attempt starts; zero without a reason.
		startAt time.Time
		// cooldownUntil is the earliest start of the next attempt.
		cooldownUntil time.Time
		stallChanges  int
		attempt       *attempt
		// unpublished is the record to be stored, zero if none.
		unpublished     Record
		publishing      bool
		nextPublishAt   time.Time
		nextRepairAt    map[string]time.Time
		statusPending   map[string]bool
		leaderlessSince time.Time
	}
)

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.Activated:
		s.applyConfiguration(e.Document)
	case observer.Observed:
		s.views.Observe(e)
	case gossiper.ReportReceived:
		s.handleReport(now, e)
	case detector.FailureAgreed:
		if g := s.groups[e.Service]; g != nil {
			g.handleFailureAgreed(e)
			return g.step(now)
		}
	case drainer.TargetLeaving:
		if g := s.groups[e.Service]; g != nil {
			g.leaving[e.Member] = e.Leaving
			return g.step(now)
		}
	case OrderResult:
		if g := s.groups[e.Order.Service]; g != nil {
			return g.handleOrdered(now, e)
		}
	case IntentRecorded:
		if g := s.groups[e.Service]; g != nil && g.isCurrent(e.Attempt) {
			return g.handleIntent(now, e)
		}
	case Published:
		if g := s.groups[e.Service]; g != nil {
			g.handlePublished(e)
		}
	case controller.Tick:
		return s.tick(now)
	}
	return nil
}

func (s *Slice) applyConfiguration(d *configurer.Document) {
	s.views = s.views.Apply(d)
	old := s.groups
	s.groups = map[string]*group{}
	for n, v := range s.views {
		g := old[n]
		if g == nil {
			g = &group{slice: s, peers: map[string]peer{}, leaving: map[string]bool{}, nextRepairAt: map[string]time.Time{}, statusPending: map[string]bool{}}
		}
		if g.view != nil && len(g.view.Members) != len(v.Members) {
			g.attempt = nil // an attempt refers to members by index
		}
		g.view = v
		s.groups[n] = g
	}
	names := slices.Sorted(maps.Keys(s.groups))
	s.sortedGroups = nil
	for _, n := range names {
		s.sortedGroups = append(s.sortedGroups, s.groups[n])
	}
}

func (s *Slice) handleReport(now time.Time, e gossiper.ReportReceived) {
	for _, r := range e.Report.Groups {
		g := s.groups[r.Service]
		if g == nil || len(r.Members) == 0 {
			continue
		}
		p := peer{reportedAt: now}
		for _, m := range r.Members {
			p.suspects = p.suspects || m.Suspected
		}
		g.peers[e.Report.Instance] = p
	}
}

func (s *Slice) tick(now time.Time) []controller.Action {
	var out []controller.Action
	for _, g := range s.sortedGroups {
		out = append(out, g.step(now)...)
		out = append(out, g.publishPending(now)...)
		out = append(out, g.repairMembers(now)...)
		out = append(out, g.searchPrimary(now)...)
	}
	return out
}

// startDelay returns how long to wait for other instances. For a suspected member, only
// instances that suspect it as well are ranked, since others may be partitioned or will not
// act.
func (g *group) startDelay(now time.Time) time.Duration {
	s := g.slice
	suspected := g.agreedFailure != nil && g.agreedFailure.Member != ""
	own, rank := rankWeight(g.view.Service.Name, g.view.Term(), s.Name), 0
	for n, p := range g.peers {
		if n == s.Name || now.Sub(p.reportedAt) >= peerReportTTL || (suspected && !p.suspects) {
			continue
		}
		if rankWeight(g.view.Service.Name, g.view.Term(), n) < own {
			rank++
		}
	}
	return time.Duration(rank)*rankDelay + time.Duration(s.Random.Int64N(int64(rankJitter)))
}

// rankWeight orders the instances, differently for each group and term.
func rankWeight(service string, term uint64, instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service + "/" + strconv.FormatUint(term, 10) + "/" + instance))
	return h.Sum64()
}

func (g *group) handleFailureAgreed(e detector.FailureAgreed) {
	if e.Active {
		g.agreedFailure = &e
	} else if g.agreedFailure != nil && g.agreedFailure.Term == e.Term && g.agreedFailure.Member == e.Member {
		g.agreedFailure = nil
	}
}

// step starts an attempt when there is a reason and its delay has passed, and checks the
// timeouts of a running one.
func (g *group) step(now time.Time) []controller.Action {
	if g.attempt != nil && !g.reasonHolds() {
		return g.abandon(now, AbandonReasonEnded, 0)
	}
	if g.attempt != nil {
		return g.checkProgress(now)
	}
	planned, member := g.primaryToReplace()
	if member < 0 && !g.lacksPrimary() {
		g.startAt = time.Time{}
		return nil
	}
	if g.startAt.IsZero() {
		from := now
		if g.cooldownUntil.After(from) {
			from = g.cooldownUntil
		}
		g.startAt = from.Add(g.startDelay(now))
	}
	if now.Before(g.startAt) {
		return nil
	}
	g.startAt = time.Time{}
	return g.startAttempt(now, planned, member)
}

// reasonHolds reports whether the reason of the running attempt still applies. Once a member
// has been moved to the new term, the attempt must end with a primary.
func (g *group) reasonHolds() bool {
	a := g.attempt
	switch {
	case a.step >= stepDrain:
		return true
	case a.planned:
		return g.leaving[g.view.Service.Members[a.oldPrimary].Name]
	}
	return g.agreedFailure != nil && g.view.Index(g.agreedFailure.Member) == a.oldPrimary
}

// lacksPrimary reports whether the detected failure is a term without a primary.
func (g *group) lacksPrimary() bool { return g.agreedFailure != nil && g.agreedFailure.Member == "" }

// primaryToReplace returns the index of the primary to replace, or -1, and whether the change
// is planned.
func (g *group) primaryToReplace() (planned bool, member int) {
	if g.agreedFailure != nil {
		return false, g.view.Index(g.agreedFailure.Member)
	}
	p := g.view.Primary()
	if p < 0 || !g.leaving[g.view.Service.Members[p].Name] || g.view.Members[p].Failures > 0 {
		return false, -1
	}
	for i, m := range g.view.Service.Members {
		if i != p && !g.leaving[m.Name] && g.view.Members[i].Status.Role == commander.RoleReplica && g.view.Members[i].Failures == 0 {
			return true, p
		}
	}
	return false, -1
}

// publishPending publishes the newest record until the store holds it.
func (g *group) publishPending(now time.Time) []controller.Action {
	if g.unpublished.Term == 0 || g.publishing || now.Before(g.nextPublishAt) {
		return nil
	}
	if g.view.Term() > g.unpublished.Term {
		g.unpublished = Record{} // the newer term's promoter publishes it
		return nil
	}
	g.publishing, g.nextPublishAt = true, now.Add(publishInterval)
	return []controller.Action{Publish{Service: g.view.Service.Name, Record: g.unpublished}}
}

func (g *group) handlePublished(e Published) {
	g.publishing = false
	if e.Done && e.Record == g.unpublished {
		g.unpublished = Record{}
	}
}

// repairMembers makes members that missed a change follow the primary. A member of a newer
// term is not moved back to the primary's: it may belong to a fenced majority, and
// acknowledging entries of the old term again would undo the fence. It takes a newer term.
func (g *group) repairMembers(now time.Time) []controller.Action {
	p := g.view.Primary()
	if p < 0 || g.attempt != nil || !g.reachable(now, p) {
		return nil
	}
	var out []controller.Action
	for i, m := range g.view.Service.Members {
		if i == p || !g.reachable(now, i) || !g.needsRepair(i, p) {
			delete(g.nextRepairAt, m.Name)
			continue
		}
		next, known := g.nextRepairAt[m.Name]
		if !known {
			g.nextRepairAt[m.Name] = now.Add(repairDelay)
			continue
		}
		if now.Before(next) {
			continue
		}
		g.nextRepairAt[m.Name] = now.Add(repairInterval)
		out = append(out, g.followOrder(i, p, g.view.Term()))
	}
	return out
}

// reachable reports whether a member has responded recently.
func (g *group) reachable(now time.Time, i int) bool {
	k := g.view.Members[i]
	return k.Failures == 0 && !k.StatusAt.IsZero() && now.Sub(k.StatusAt) < maxStatusAge
}

// needsRepair reports whether member i does not follow primary p in the newest term.
func (g *group) needsRepair(i, p int) bool {
	s := g.view.Members[i].Status
	return s.Term < g.view.Term() || s.Role != commander.RoleReplica || s.Following != g.view.Service.Members[p].Address
}

// followOrder returns the order for member i to follow primary p.
func (g *group) followOrder(i, p int, term uint64) Order {
	m := g.view.Service.Members[i]
	return Order{
		Service: g.view.Service.Name, Kind: OrderFollow, Member: m.Name, Address: m.Address,
		Term: term, Primary: g.view.Service.Members[p].Address,
	}
}

// searchPrimary polls the members on each tick while the newest term has no primary, so that
// waiting requests resume as soon as there is one.
func (g *group) searchPrimary(now time.Time) []controller.Action {
	if g.view.Term() == 0 || g.view.Primary() >= 0 {
		g.leaderlessSince = time.Time{}
		return nil
	}
	if g.leaderlessSince.IsZero() {
		g.leaderlessSince = now
	}
	if g.attempt != nil || now.Sub(g.leaderlessSince) > primarySearchTimeout {
		return nil
	}
	var out []controller.Action
	for _, m := range g.view.Service.Members {
		if !g.statusPending[m.Name] {
			g.statusPending[m.Name] = true
			out = append(out, Order{Service: g.view.Service.Name, Kind: OrderStatus, Member: m.Name, Address: m.Address})
		}
	}
	return out
}

// handleOrdered processes the result of an order and emits it as an observation.
func (g *group) handleOrdered(now time.Time, e OrderResult) []controller.Action {
	if e.Order.Attempt == 0 && e.Order.Kind == OrderStatus {
		g.statusPending[e.Order.Member] = false
	}
	var out []controller.Action
	if e.Err == nil {
		o := observer.Observed{Service: e.Order.Service, Member: e.Order.Member, Started: e.Started, Status: e.Status}
		g.slice.views.Observe(o)
		out = append(out, controller.Emit{Event: o})
	}
	if g.isCurrent(e.Order.Attempt) {
		out = append(out, g.handleAnswer(now, e)...)
	}
	return out
}

// isCurrent reports whether an attempt is the running one.
func (g *group) isCurrent(attempt uint64) bool { return g.attempt != nil && g.attempt.id == attempt }

func isRefused(err error) bool { return errors.Is(err, commander.ErrRefused) }
