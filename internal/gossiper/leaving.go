package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
)

const (
	// noticeTTL is how long a notice is forwarded. Its age travels with it; otherwise instances
	// would re-adopt expired notices from each other forever.
	noticeTTL = 10 * time.Minute
	// noticeEndTTL is how long the end of a notice is forwarded.
	noticeEndTTL = time.Minute
	// maxNotices bounds the notices in a report.
	maxNotices = 64
)

// storedNotice is a notice with its time of issue on this instance's clock.
type storedNotice struct {
	LeavingNotice
	givenAt time.Time
}

// handleOwnNotice records this instance's own notice that a target is leaving, or no longer is.
func (s *Slice) handleOwnNotice(now time.Time, e drainer.LocalSignal) []controller.Action {
	at := [2]string{e.Service, e.Member}
	m := s.editMember(at)
	if m == nil || m.leaving == e.Leaving {
		return nil
	}
	m.leaving = e.Leaving
	s.markChanged(m)
	defer s.publish()
	if g := s.leavingNotices[at]; g.Leaving && e.Leaving && g.Origin != s.Self.Name {
		// A peer announced it first. If every instance announced a target that all of them see
		// leaving, the number of announcements would be quadratic.
		return nil
	}
	g := LeavingNotice{Service: at[0], Member: at[1], Leaving: e.Leaving, Origin: s.Self.Name, Incarnation: s.Incarnation, Sequence: s.sequence}
	s.leavingNotices[at] = storedNotice{LeavingNotice: g, givenAt: now}
	return s.broadcast(&wire.Announcement{Leaving: []*wire.Leaving{noticeToWire(g)}})
}

// handleNotice processes a notice received from a peer and forwards it if it changes the state.
func (s *Slice) handleNotice(now time.Time, g LeavingNotice) []controller.Action {
	at := [2]string{g.Service, g.Member}
	known := s.leavingNotices[at]
	if g.Age > noticeTTL || g.Origin == s.Self.Name || (known.Origin == g.Origin && known.Incarnation == g.Incarnation && known.Sequence >= g.Sequence) {
		return nil
	}
	changed := known.Leaving != g.Leaving
	if changed || known.Origin == g.Origin {
		s.leavingNotices[at] = storedNotice{LeavingNotice: g, givenAt: now.Add(-g.Age)}
		s.dirty = true
	}
	out := []controller.Action{controller.Emit{Event: drainer.LeavingSignal{
		Service: g.Service, Member: g.Member, Leaving: g.Leaving, Source: drainer.SourcePeer, Peer: g.Origin,
	}}}
	if changed {
		out = append(out, s.broadcast(&wire.Announcement{Leaving: []*wire.Leaving{noticeToWire(g)}})...)
	}
	return out
}

// currentNotices returns the notices to report and drops expired ones. This instance's own
// notices don't expire.
func (s *Slice) currentNotices() []storedNotice {
	var out []storedNotice
	for at, g := range s.leavingNotices {
		if g.Origin == s.Self.Name && g.Leaving {
			g.givenAt = s.lastTick
			s.leavingNotices[at] = g
		}
		age := s.lastTick.Sub(g.givenAt)
		if age > noticeTTL || (!g.Leaving && age > noticeEndTTL) {
			delete(s.leavingNotices, at)
			continue
		}
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b storedNotice) int {
		return strings.Compare(a.Service+"/"+a.Member, b.Service+"/"+b.Member)
	})
	return out[:min(maxNotices, len(out))]
}

// noticeFromReport converts the leaving mark in a peer's own observation to an event.
func noticeFromReport(p *peer, from string, m MemberReport, at [2]string) []controller.Action {
	if p.reportedLeaving[at] == m.Leaving {
		return nil
	}
	if m.Leaving {
		p.reportedLeaving[at] = true
	} else {
		delete(p.reportedLeaving, at)
	}
	return []controller.Action{controller.Emit{Event: drainer.LeavingSignal{
		Service: at[0], Member: at[1], Leaving: m.Leaving, Source: drainer.SourcePeer, Peer: from,
	}}}
}

func noticeToWire(g LeavingNotice) *wire.Leaving {
	return &wire.Leaving{
		Service: g.Service, Member: g.Member, Leaving: g.Leaving,
		Origin: g.Origin, Run: g.Incarnation, Number: g.Sequence, AgeMs: uint32(g.Age / time.Millisecond),
	}
}

func noticeFromWire(w *wire.Leaving) LeavingNotice {
	return LeavingNotice{
		Service: w.GetService(), Member: w.GetMember(), Leaving: w.GetLeaving(),
		Origin: w.GetOrigin(), Incarnation: w.GetRun(), Sequence: w.GetNumber(), Age: time.Duration(w.GetAgeMs()) * time.Millisecond,
	}
}
