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

// Load pattern: every instance that observes a failed primary wants to replace it
// at the same moment. Without order among them each fences a part of the members
// for the same term, none gets a majority, and the gap grows with each round. So
// an instance waits by its rank, and gives up when it sees a newer term.
const (
	// rankStep is more than a whole promotion takes between the availability
	// zones of the brief: the next in rank starts only if the first has died.
	rankStep = 150 * time.Millisecond
	// rankJitter parts instances that don't know of one another.
	rankJitter = 100 * time.Millisecond
	peerFresh  = 3 * time.Second
	// takenPause leaves the promoter whose intent the store holds the time to end.
	takenPause = 700 * time.Millisecond
	retryPause = 300 * time.Millisecond
	// stallPause doubles with each change for a stall, up to stallPauseMost: lag
	// that looks like a cut must not move the primary round and round.
	stallPause     = 3 * time.Second
	stallPauseMost = 60 * time.Second
	// repairAfter leaves a promoter the time to tell the members itself.
	repairAfter  = 300 * time.Millisecond
	repairEvery  = time.Second
	repairFresh  = time.Second
	publishEvery = 2 * time.Second
	// chaseFor bounds how long members are asked at each tick for the new primary.
	chaseFor = 10 * time.Second
)

type (
	// Slice decides when to promote, and takes a promotion through its steps. Set
	// the exported fields before the first Step.
	Slice struct {
		// Name is the instance's name.
		Name string
		// Owner names this process to members and store. It must differ between
		// two processes of one name: members grant a term to an owner, and an
		// order of the former process may still be under way.
		Owner  string
		Random *rand.Rand

		views  detector.Views
		groups map[string]*group
		// order has the groups by name, sorted once for each configuration.
		order    []*group
		attempts uint64
	}

	peer struct {
		heard    time.Time
		suspects bool
	}

	group struct {
		slice   *Slice
		view    *detector.View
		agreed  *detector.Agreed
		leaving map[string]bool
		// peers are the instances that observe the group as well, by name.
		peers map[string]peer
		// floor is the newest term that the store showed.
		floor uint64
		// due is when the next attempt begins; zero while there is no reason.
		due       time.Time
		notBefore time.Time
		stalls    int
		attempt   *attempt
		// unpublished is the record that the store has not confirmed yet.
		unpublished Record
		publishing  bool
		publishNext time.Time
		repairs     map[string]time.Time
		chased      map[string]bool
		headless    time.Time
	}
)

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case configurer.InForce:
		s.apply(e.Document)
	case observer.Observed:
		s.views.Observe(e)
	case gossiper.Heard:
		s.hear(now, e)
	case detector.Agreed:
		if g := s.groups[e.Service]; g != nil {
			g.agree(e)
			return g.step(now)
		}
	case drainer.TargetLeaving:
		if g := s.groups[e.Service]; g != nil {
			g.leaving[e.Member] = e.Leaving
			return g.step(now)
		}
	case Ordered:
		if g := s.groups[e.Order.Service]; g != nil {
			return g.ordered(now, e)
		}
	case Intended:
		if g := s.groups[e.Service]; g != nil && g.current(e.Attempt) {
			return g.intended(now, e)
		}
	case Published:
		if g := s.groups[e.Service]; g != nil {
			g.published(e)
		}
	case controller.Tick:
		return s.tick(now)
	}
	return nil
}

func (s *Slice) apply(d *configurer.Document) {
	s.views = s.views.Apply(d)
	old := s.groups
	s.groups = map[string]*group{}
	for n, v := range s.views {
		g := old[n]
		if g == nil {
			g = &group{slice: s, peers: map[string]peer{}, leaving: map[string]bool{}, repairs: map[string]time.Time{}, chased: map[string]bool{}}
		}
		if g.view != nil && len(g.view.Members) != len(v.Members) {
			g.attempt = nil // its members are counted by place
		}
		g.view = v
		s.groups[n] = g
	}
	names := slices.Sorted(maps.Keys(s.groups))
	s.order = nil
	for _, n := range names {
		s.order = append(s.order, s.groups[n])
	}
}

func (s *Slice) hear(now time.Time, e gossiper.Heard) {
	for _, r := range e.Report.Groups {
		g := s.groups[r.Service]
		if g == nil || len(r.Members) == 0 {
			continue
		}
		p := peer{heard: now}
		for _, m := range r.Members {
			p.suspects = p.suspects || m.Suspected
		}
		g.peers[e.Report.Instance] = p
	}
}

func (s *Slice) tick(now time.Time) []controller.Action {
	var out []controller.Action
	for _, g := range s.order {
		out = append(out, g.step(now)...)
		out = append(out, g.publish(now)...)
		out = append(out, g.repair(now)...)
		out = append(out, g.chase(now)...)
	}
	return out
}

// delay is how long this instance lets others go first. Of a suspected member,
// only those count that suspect it: the others may be cut off, or will not act.
func (g *group) delay(now time.Time) time.Duration {
	s := g.slice
	suspected := g.agreed != nil && g.agreed.Member != ""
	own, rank := weight(g.view.Service.Name, g.view.Term(), s.Name), 0
	for n, p := range g.peers {
		if n == s.Name || now.Sub(p.heard) >= peerFresh || (suspected && !p.suspects) {
			continue
		}
		if weight(g.view.Service.Name, g.view.Term(), n) < own {
			rank++
		}
	}
	return time.Duration(rank)*rankStep + time.Duration(s.Random.Int64N(int64(rankJitter)))
}

func weight(service string, term uint64, instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service + "/" + strconv.FormatUint(term, 10) + "/" + instance))
	return h.Sum64()
}

func (g *group) agree(e detector.Agreed) {
	if e.On {
		g.agreed = &e
	} else if g.agreed != nil && g.agreed.Term == e.Term && g.agreed.Member == e.Member {
		g.agreed = nil
	}
}

// step begins an attempt when there is a reason and its time has come, and lets
// the running one notice that time passes.
func (g *group) step(now time.Time) []controller.Action {
	if g.attempt != nil && !g.founded() {
		return g.abandon(now, AbandonUnfounded, 0)
	}
	if g.attempt != nil {
		return g.advance(now)
	}
	planned, member := g.reason()
	if member < 0 && !g.without() {
		g.due = time.Time{}
		return nil
	}
	if g.due.IsZero() {
		from := now
		if g.notBefore.After(from) {
			from = g.notBefore
		}
		g.due = from.Add(g.delay(now))
	}
	if now.Before(g.due) {
		return nil
	}
	g.due = time.Time{}
	return g.begin(now, planned, member)
}

// founded reports whether the running attempt still has its reason. Once a member has
// been told to obey the new term, the attempt must end in a primary whatever happens.
func (g *group) founded() bool {
	a := g.attempt
	switch {
	case a.step >= stepDrain:
		return true
	case a.planned:
		return g.leaving[g.view.Service.Members[a.old].Name]
	}
	return g.agreed != nil && g.view.Index(g.agreed.Member) == a.old
}

// without reports an agreed failure that is not that of a member.
func (g *group) without() bool { return g.agreed != nil && g.agreed.Member == "" }

// reason returns the primary that is to be replaced, or -1, and whether the
// change is planned.
func (g *group) reason() (planned bool, member int) {
	if g.agreed != nil {
		return false, g.view.Index(g.agreed.Member)
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

// publish keeps asking the store until it holds the newest record.
func (g *group) publish(now time.Time) []controller.Action {
	if g.unpublished.Term == 0 || g.publishing || now.Before(g.publishNext) {
		return nil
	}
	if g.view.Term() > g.unpublished.Term {
		g.unpublished = Record{} // whoever made the newer term publishes it
		return nil
	}
	g.publishing, g.publishNext = true, now.Add(publishEvery)
	return []controller.Action{Publish{Service: g.view.Service.Name, Record: g.unpublished}}
}

func (g *group) published(e Published) {
	g.publishing = false
	if e.Done && e.Record == g.unpublished {
		g.unpublished = Record{}
	}
}

// repair tells members that missed a change whom to follow: one that was dead or
// cut off, or whose promoter died before it could. A member that obeys a newer
// term than the primary is not sent back to the older one: it may have been one
// of a majority that was fenced to stop that primary, and letting it acknowledge
// the old term's entries again would undo the fence. Only a newer term helps.
func (g *group) repair(now time.Time) []controller.Action {
	p := g.view.Primary()
	if p < 0 || g.attempt != nil || !g.usable(now, p) {
		return nil
	}
	var out []controller.Action
	for i, m := range g.view.Service.Members {
		if i == p || !g.usable(now, i) || !g.astray(i, p) {
			delete(g.repairs, m.Name)
			continue
		}
		next, known := g.repairs[m.Name]
		if !known {
			g.repairs[m.Name] = now.Add(repairAfter)
			continue
		}
		if now.Before(next) {
			continue
		}
		g.repairs[m.Name] = now.Add(repairEvery)
		out = append(out, g.follow(i, p, g.view.Term()))
	}
	return out
}

func (g *group) usable(now time.Time, i int) bool {
	k := g.view.Members[i]
	return k.Failures == 0 && !k.Seen.IsZero() && now.Sub(k.Seen) < repairFresh
}

func (g *group) astray(i, p int) bool {
	s := g.view.Members[i].Status
	return s.Term < g.view.Term() || s.Role != commander.RoleReplica || s.Following != g.view.Service.Members[p].Address
}

func (g *group) follow(i, p int, term uint64) Order {
	m := g.view.Service.Members[i]
	return Order{
		Service: g.view.Service.Name, Kind: OrderFollow, Member: m.Name, Address: m.Address,
		Term: term, Primary: g.view.Service.Members[p].Address,
	}
}

// chase asks the members at each tick while the newest term has no primary, so
// that held requests go on as soon as there is one.
func (g *group) chase(now time.Time) []controller.Action {
	if g.view.Term() == 0 || g.view.Primary() >= 0 {
		g.headless = time.Time{}
		return nil
	}
	if g.headless.IsZero() {
		g.headless = now
	}
	if g.attempt != nil || now.Sub(g.headless) > chaseFor {
		return nil
	}
	var out []controller.Action
	for _, m := range g.view.Service.Members {
		if !g.chased[m.Name] {
			g.chased[m.Name] = true
			out = append(out, Order{Service: g.view.Service.Name, Kind: OrderStatus, Member: m.Name, Address: m.Address})
		}
	}
	return out
}

// ordered takes in the answer of a member, which all slices hear of.
func (g *group) ordered(now time.Time, e Ordered) []controller.Action {
	if e.Order.Attempt == 0 && e.Order.Kind == OrderStatus {
		g.chased[e.Order.Member] = false
	}
	var out []controller.Action
	if e.Err == nil {
		o := observer.Observed{Service: e.Order.Service, Member: e.Order.Member, Started: e.Started, Status: e.Status}
		g.slice.views.Observe(o)
		out = append(out, controller.Emit{Event: o})
	}
	if g.current(e.Order.Attempt) {
		out = append(out, g.answered(now, e)...)
	}
	return out
}

func (g *group) current(attempt uint64) bool { return g.attempt != nil && g.attempt.id == attempt }

func refused(err error) bool { return errors.Is(err, commander.ErrRefused) }
