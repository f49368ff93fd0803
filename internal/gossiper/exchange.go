package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
)

const (
	// seedInterval is how often an instance that knows no peers queries a seed.
	seedInterval = time.Second
	// initialCost is the assumed size of a peer's first exchange, in bytes.
	initialCost = 300
)

var errNoAnswer = errors.New("observer received no reply")

// tick starts the exchanges that are due, the most overdue first, within the byte budget.
func (s *Slice) tick(now time.Time) []controller.Action {
	if s.dirty {
		s.publish()
	}
	s.refillBudget(now)
	out := s.querySeed(now)
	for _, p := range s.duePeers(now) {
		if s.byteBudget <= 0 {
			break
		}
		out = append(out, s.startExchange(now, p))
	}
	return append(out, s.repair(now)...)
}

// refillBudget adds the bytes for the time since the last tick.
func (s *Slice) refillBudget(now time.Time) {
	if !s.lastTick.IsZero() {
		s.byteBudget = min(maxByteBudget, s.byteBudget+now.Sub(s.lastTick).Seconds()*bytesPerSecond)
	}
	s.lastTick = now
}

// duePeers returns the peers that are due, the most overdue first.
func (s *Slice) duePeers(now time.Time) []*peer {
	var out []*peer
	for _, p := range s.polledPeers {
		if !p.inFlight && !now.Before(p.due) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *peer) int {
		if c := cmp.Compare(b.lateness(now), a.lateness(now)); c != 0 {
			return c
		}
		return cmp.Compare(a.instance.Name, b.instance.Name)
	})
	return out
}

// lateness returns the time since the previous due time in multiples of the interval. When the
// budget is exhausted, all intervals stretch by the same factor; sorted by time alone, the many
// peers with long intervals would displace those with short ones.
func (p *peer) lateness(now time.Time) float64 {
	return float64(now.Sub(p.due)+max(p.interval, exchangeInterval)) / float64(max(p.interval, exchangeInterval))
}

// startExchange marks a peer's exchange as in flight and charges its expected cost to the
// budget.
func (s *Slice) startExchange(now time.Time, p *peer) Exchange {
	p.inFlight, p.repeat, p.due = true, false, now.Add(max(p.interval, exchangeInterval))
	if p.cost == 0 {
		p.cost = initialCost
	}
	s.byteBudget -= p.cost // corrected by the actual cost
	return Exchange{Peer: p.instance, Request: &wire.ExchangeRequest{
		Version: s.version, Run: p.received.run, Since: p.received.sequence, Shards: p.shards, Sender: peerToWire(s.Self),
	}}
}

// repair starts an exchange with a random peer, to compare configuration versions.
func (s *Slice) repair(now time.Time) []controller.Action {
	if now.Before(s.nextRepair) || len(s.members) < 2 {
		return nil
	}
	s.nextRepair = now.Add(repairInterval/2 + time.Duration(s.Random.Int64N(int64(repairInterval))))
	i := s.members[s.Random.IntN(len(s.members))]
	p := s.peers[i.Name]
	if p == nil || p.inFlight {
		return nil
	}
	return []controller.Action{s.startExchange(now, p)}
}

// probeExchange checks whether a peer that was removed from the view responds again.
func (s *Slice) probeExchange(i lister.Instance) Exchange {
	return Exchange{Peer: i, Request: &wire.ExchangeRequest{Version: s.version, Sender: peerToWire(s.Self)}}
}

// querySeed queries a seed while no other instance is known, as after a start during an outage of
// the platform's instance list.
func (s *Slice) querySeed(now time.Time) []controller.Action {
	if len(s.members) > 1 || len(s.Seeds) == 0 || now.Before(s.nextSeed) {
		return nil
	}
	s.nextSeed = now.Add(seedInterval)
	return []controller.Action{QuerySeed{Address: s.Seeds[s.Random.IntN(len(s.Seeds))]}}
}

// handleExchanged processes a peer's report, or the failure to get one.
func (s *Slice) handleExchanged(now time.Time, e Exchanged) []controller.Action {
	p := s.peers[e.Peer.Name]
	if p == nil || !p.inFlight {
		s.byteBudget -= float64(e.Bytes)
	} else {
		s.byteBudget += p.cost - float64(e.Bytes)
		p.inFlight, p.cost = false, float64(e.Bytes)
	}
	out := []controller.Action{controller.Emit{Event: lister.PeerCalled{Name: e.Peer.Name, OK: e.Err == nil}}}
	if e.Err != nil {
		if p != nil {
			p.received = receivedReport{}
		}
		return out
	}
	if e.Report.Instance != "" && e.Report.Instance != e.Peer.Name {
		// The address belongs to another instance now, whose report must not count as this
		// peer's vote.
		return []controller.Action{controller.Emit{Event: lister.PeerCalled{Name: e.Peer.Name}}}
	}
	out = append(out, controller.Emit{Event: configurer.PeerVersion{Version: e.Report.Version, Address: e.Peer.Address}})
	if e.Report.Leaving {
		leaving := e.Peer
		leaving.State = lister.StateLeaving
		out = append(out, controller.Emit{Event: lister.PeerSeen{Instance: leaving}})
	}
	for _, notice := range e.Report.Signs {
		out = append(out, s.handleNotice(now, noticeFromWire(notice))...)
	}
	if p == nil {
		return out
	}
	out = append(out, s.applyReport(now, p, e)...)
	if p.repeat {
		out = append(out, s.startExchange(now, p))
	}
	return out
}

// applyReport emits the contents of a report.
func (s *Slice) applyReport(now time.Time, p *peer, e Exchanged) []controller.Action {
	d := s.documents[e.Report.Version]
	if d == nil {
		return nil // the version is still being fetched
	}
	r, ok := p.received.decode(p.instance, e.Report, d)
	if !ok {
		p.received = receivedReport{} // the next exchange requests a full report
		return nil
	}
	out := []controller.Action{controller.Emit{Event: ReportReceived{Report: r, RequestedAt: e.RequestedAt}}}
	for _, g := range r.Groups {
		for _, m := range g.Members {
			at := [2]string{g.Service, m.Member}
			out = append(out, noticeFromReport(p, r.Instance, m, at)...)
			out = append(out, s.relayObservation(now, r, at, m, e.RequestedAt)...)
		}
	}
	return out
}

// relayObservation emits another instance's observation if this instance makes none itself and
// it is newer than the known one. The age is added to the time before the request, so that it
// is never understated.
func (s *Slice) relayObservation(now time.Time, r Report, at [2]string, m MemberReport, requestedAt time.Time) []controller.Action {
	if s.observesDirectly(now, at) {
		// Own observations take precedence: a primary that is unreachable only from this zone must
		// appear unreachable here.
		return nil
	}
	o := observer.Observed{Service: at[0], Member: at[1], Started: requestedAt.Add(-m.Age), Status: m.Status, From: r.Instance}
	if m.Failures > 0 {
		o.Err = errors.Wrapf(errNoAnswer, "%d times, reported by %s", m.Failures, r.Instance)
		return []controller.Action{controller.Emit{Event: o}}
	}
	if m.Age == 0 || !o.Started.After(s.newestObservation[at]) {
		return nil
	}
	s.newestObservation[at] = o.Started
	return []controller.Action{controller.Emit{Event: o}}
}

// observesDirectly reports whether this instance currently queries the member itself.
func (s *Slice) observesDirectly(now time.Time, at [2]string) bool {
	position, ok := s.positions[at]
	if !ok || s.observedGroups[position[0]] == nil {
		return false
	}
	return s.observedGroups[position[0]].members[position[1]].isCurrent(now)
}
