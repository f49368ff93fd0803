package gossiper

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/gossiper/wire"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Snapshot is what this instance tells its peers. It is never changed once
	// published.
	Snapshot struct {
		Self    lister.Instance
		Version int64
		// Run tells one life of the instance from the next: sequences start
		// anew in each.
		Run      uint64
		Sequence uint64
		Leaving  bool
		// Peers are some that a new instance may ask.
		Peers []lister.Instance
		// groups are by service; nil where nothing was observed here.
		groups []*ownGroup
		signs  []heldSign
	}

	// ownGroup is what this instance observed of a group. It is never changed
	// once it stands in a snapshot: a change copies it.
	ownGroup struct {
		shard   uint32
		members []ownMember
	}

	// ownMember is what this instance observed of a target.
	ownMember struct {
		status    commander.Status
		seen      time.Time
		asked     time.Time
		failures  int
		suspected bool
		leaving   bool
		// changed is the sequence at which anything but seen last changed.
		changed uint64
	}

	// heldReport is what a peer has told so far, by service and member index.
	heldReport struct {
		version  int64
		run      uint64
		sequence uint64
		members  map[[2]uint32]*wire.Member
	}
)

// firstHand is how long ago a question may be for its answer still to be told:
// an instance that no longer observes a group soon says nothing of it.
const firstHand = 5 * time.Second

// Report makes the answer to an exchange. Members are named by their place in
// the document of the version, and those that have not changed since the report
// that the peer holds are sent as an age: a member costs 6 bytes when idle,
// where names and positions would cost 40.
func (s *Snapshot) Report(now time.Time, r *wire.ExchangeRequest) *wire.Report {
	out := &wire.Report{
		Instance: s.Self.Name, Zone: s.Self.Zone, Address: s.Self.Address,
		Version: s.Version, Run: s.Run, Sequence: s.Sequence, Leaving: s.Leaving,
	}
	for _, g := range s.signs {
		g.Age = now.Sub(g.at)
		out.Signs = append(out.Signs, signToWire(g.LeavingSign))
	}
	wanted := map[uint32]bool{}
	for _, n := range r.Shards {
		wanted[n] = true
	}
	since := r.Since
	if r.Run != s.Run {
		since = 0
	}
	for i, g := range s.groups {
		if g == nil || !wanted[g.shard] {
			continue
		}
		w := &wire.Group{Service: uint32(i)}
		for j, m := range g.members {
			if m.tells(now) {
				w.Members = append(w.Members, m.toWire(uint32(j), now, since))
			}
		}
		if len(w.Members) > 0 {
			out.Groups = append(out.Groups, w)
		}
	}
	return out
}

func (m *ownMember) tells(now time.Time) bool {
	return m.leaving || (!m.asked.IsZero() && now.Sub(m.asked) < firstHand)
}

func (m *ownMember) toWire(index uint32, now time.Time, since uint64) *wire.Member {
	w := &wire.Member{Member: index}
	if !m.seen.IsZero() {
		// Rounded up, so that an age is never told too small; 0 is never seen.
		w.AgeMs = uint32(now.Sub(m.seen)/time.Millisecond) + 1
	}
	if m.changed <= since {
		return w
	}
	w.Changed, w.Failures, w.Suspected, w.Leaving = true, uint32(m.failures), m.suspected, m.leaving
	if !m.seen.IsZero() {
		w.Status = statusToWire(m.status)
	}
	return w
}

// decode completes a report with what the peer told before, and gives members
// their names back. It returns false for a report that can't be completed: the
// next exchange then asks for the whole.
func (h *heldReport) decode(w *wire.Report, d *configurer.Document) (Report, bool) {
	out := Report{Instance: w.Instance, Zone: w.Zone, Version: w.Version}
	if h.run != w.Run || h.version != w.Version || h.members == nil {
		*h = heldReport{run: w.Run, version: w.Version, members: map[[2]uint32]*wire.Member{}}
	}
	for _, g := range w.Groups {
		if int(g.Service) >= len(d.Services) {
			return out, false
		}
		v := &d.Services[g.Service]
		r := GroupReport{Service: v.Name}
		for _, m := range g.Members {
			if int(m.Member) >= len(v.Members) {
				return out, false
			}
			at := [2]uint32{g.Service, m.Member}
			if m.Changed {
				h.members[at] = m
			}
			held := h.members[at]
			if held == nil {
				return out, false
			}
			r.Members = append(r.Members, fromWire(v.Members[m.Member].Name, m.AgeMs, held))
		}
		out.Groups = append(out.Groups, r)
	}
	h.sequence = w.Sequence
	return out, true
}

func fromWire(name string, age uint32, m *wire.Member) MemberReport {
	return MemberReport{
		Member: name, Status: statusFromWire(m.Status), Age: time.Duration(age) * time.Millisecond,
		Failures: int(m.Failures), Suspected: m.Suspected, Leaving: m.Leaving,
	}
}

var roles = []string{"", commander.RolePrimary, commander.RoleReplica, commander.RoleFenced}

func statusToWire(s commander.Status) *wire.Status {
	w := &wire.Status{Term: s.Term, Owner: s.Owner, Received: positionToWire(s.Received, s.Term)}
	if s.Replayed != s.Received {
		w.Replayed = positionToWire(s.Replayed, s.Term)
	}
	for i, r := range roles {
		if r == s.Role {
			w.Role = uint32(i)
		}
	}
	return w
}

func statusFromWire(w *wire.Status) commander.Status {
	if w == nil {
		return commander.Status{}
	}
	s := commander.Status{Term: w.Term, Owner: w.Owner, Received: positionFromWire(w.Received, w.Term)}
	s.Replayed = s.Received
	if w.Replayed != nil {
		s.Replayed = positionFromWire(w.Replayed, w.Term)
	}
	if int(w.Role) < len(roles) {
		s.Role = roles[w.Role]
	}
	return s
}

func positionToWire(p orderer.Position, term uint64) *wire.Position {
	switch {
	case p.IsZero():
		return &wire.Position{}
	case p.Term == term:
		return &wire.Position{Offset: p.Offset}
	}
	return &wire.Position{Term: p.Term, Offset: p.Offset}
}

func positionFromWire(w *wire.Position, term uint64) orderer.Position {
	switch {
	case w == nil || (w.Term == 0 && w.Offset == 0):
		return orderer.Position{}
	case w.Term == 0:
		return orderer.Position{Term: term, Offset: w.Offset}
	}
	return orderer.Position{Term: w.Term, Offset: w.Offset}
}
