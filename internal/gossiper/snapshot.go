package gossiper

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Snapshot is the immutable state that this instance reports to its peers.
	Snapshot struct {
		Self    lister.Instance
		Version int64
		// Incarnation identifies this start of the instance; sequence numbers restart with each.
		Incarnation uint32
		Sequence    uint64
		Leaving     bool
		// Members are all live instances known to this one.
		Members []lister.Instance
		// Peers are instances that a new instance may query.
		Peers []lister.Instance
		// groups are indexed by service; nil where nothing was observed.
		groups  []*observedGroup
		notices []storedNotice
	}

	// observedGroup is this instance's observations of a group. It is immutable once published;
	// changes copy it.
	observedGroup struct {
		shard   uint32
		members []observedMember
	}

	// observedMember is this instance's observation of a target.
	observedMember struct {
		status     commander.Status
		answeredAt time.Time
		queriedAt  time.Time
		failures   int
		suspected  bool
		leaving    bool
		// changed is the sequence number of the last change of anything but answeredAt and the
		// offsets; offsetsChanged is that of the last change of the offsets.
		changed, offsetsChanged uint64
	}

	// receivedReport is the state accumulated from a peer's reports, by service and member
	// index.
	receivedReport struct {
		version  int64
		run      uint32
		sequence uint64
		members  map[[2]uint32]MemberReport
	}
)

// observationTTL is how long after its last query a member is still reported, so that former
// observers stop reporting it.
const observationTTL = 5 * time.Second

// Report returns the reply to an exchange. Members are identified by their index in the
// document. For members unchanged since the peer's last report only the age is sent, and for
// those whose log position advanced, the lag behind the group's most advanced member.
func (s *Snapshot) Report(now time.Time, r *wire.ExchangeRequest) *wire.Report {
	out := &wire.Report{Version: s.Version, Run: s.Incarnation, Sequence: s.Sequence, Leaving: s.Leaving}
	since := r.Since
	if r.Run != s.Incarnation {
		since, out.Instance = 0, s.Self.Name
	}
	for _, g := range s.notices {
		g.Age = now.Sub(g.givenAt)
		out.Signs = append(out.Signs, noticeToWire(g.LeavingNotice))
	}
	var requested [observer.ShardCount]bool
	for _, n := range r.Shards {
		if n < observer.ShardCount {
			requested[n] = true
		}
	}
	for i, g := range s.groups {
		if g == nil || !requested[g.shard] {
			continue
		}
		if w := g.toWire(now, since); w != nil {
			w.Service = uint32(i)
			out.Groups = append(out.Groups, w)
		}
	}
	return out
}

func (g *observedGroup) toWire(now time.Time, since uint64) *wire.Group {
	w := &wire.Group{}
	for i := range g.members {
		if m := &g.members[i]; m.onlyOffsetsChanged(since) {
			w.Offset = max(w.Offset, m.status.Received.Offset)
		}
	}
	for i := range g.members {
		if m := &g.members[i]; m.isCurrent(now) {
			w.Members = append(w.Members, m.toWire(uint32(i), now, since, w.Offset))
		}
	}
	if len(w.Members) == 0 {
		return nil
	}
	return w
}

// isCurrent reports whether the observation is recent enough to be reported.
func (m *observedMember) isCurrent(now time.Time) bool {
	return m.leaving || (!m.queriedAt.IsZero() && now.Sub(m.queriedAt) < observationTTL)
}

// onlyOffsetsChanged reports whether only the offsets have changed since a sequence number.
func (m *observedMember) onlyOffsetsChanged(since uint64) bool {
	return m.changed <= since && m.offsetsChanged > since
}

func (m *observedMember) toWire(index uint32, now time.Time, since, offset uint64) *wire.Member {
	w := &wire.Member{Member: index}
	if !m.answeredAt.IsZero() {
		// Rounded up, so that the age is never understated; 0 means never answered.
		w.AgeMs = uint32(now.Sub(m.answeredAt)/time.Millisecond) + 1
	}
	switch {
	case m.onlyOffsetsChanged(since):
		w.Change = wire.Change_POSITION
		w.ReceivedBehind = offset - m.status.Received.Offset
		w.ReplayedBehind = offset - m.status.Replayed.Offset
	case m.changed > since:
		w.Change, w.Failures, w.Suspected, w.Leaving = wire.Change_EVERYTHING, uint32(m.failures), m.suspected, m.leaving
		if !m.answeredAt.IsZero() {
			w.Status = statusToWire(m.status)
		}
	}
	return w
}

// decode merges an incremental report into the received state and resolves member names. It
// returns false if the report doesn't fit; the next exchange then requests a full one.
func (s *receivedReport) decode(from lister.Instance, w *wire.Report, d *configurer.Document) (Report, bool) {
	out := Report{Instance: from.Name, Zone: from.Zone, Version: w.Version}
	if s.run != w.Run || s.version != w.Version || s.members == nil {
		*s = receivedReport{run: w.Run, version: w.Version, members: map[[2]uint32]MemberReport{}}
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
			n, ok := applyChange(s.members[at], v.Members[m.Member].Name, m, g.Offset)
			if !ok {
				return out, false
			}
			s.members[at] = n
			r.Members = append(r.Members, n)
		}
		out.Groups = append(out.Groups, r)
	}
	s.sequence = w.Sequence
	return out, true
}

// applyChange merges a change into a member's previous report.
func applyChange(previous MemberReport, name string, m *wire.Member, offset uint64) (MemberReport, bool) {
	n := previous
	switch m.Change {
	case wire.Change_EVERYTHING:
		n = MemberReport{
			Member: name, Status: statusFromWire(m.Status),
			Failures: int(m.Failures), Suspected: m.Suspected, Leaving: m.Leaving,
		}
	case wire.Change_POSITION:
		n.Status.Received.Offset = offset - m.ReceivedBehind
		n.Status.Replayed.Offset = offset - m.ReplayedBehind
	}
	n.Age = time.Duration(m.AgeMs) * time.Millisecond
	return n, n.Member == name
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
