package allocator

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
)

// shareState is the input of desiredConnections.
type shareState struct {
	// Budget is the group's connection budget; Free is what no instance holds of it.
	Budget, Free int
	// Members is the number of the group's members.
	Members int
	// Holders is the number of instances in the ledger, this one included.
	Holders int
	// Own is what this instance holds; Peak is the most that it used recently.
	Own, Peak int
	// RequestsWaiting is set while requests wait for connections.
	RequestsWaiting bool
	// Settled is set when the instance has run for settleDuration.
	Settled bool
	// PeakComplete is set when Peak covers enough time to release connections by it.
	PeakComplete bool
}

// desiredConnections returns how many connections to hold. Without load: one per member and a
// spare, at most the fair share Budget/(Holders+1), which leaves a share for the next instance.
// Under load: the fair share, then growth by half of what is free beyond a share, reversed when
// less than a share is free. Connections unused for idleTimeout are released. The spare leaves
// enough connections to replace a primary that hangs with one of them, without the store. Growth by
// half leaves some for another instance under load at the same time.
func desiredConnections(p shareState) int {
	fairShare := max(1, p.Budget/(p.Holders+1))
	base := min(p.Members+1, fairShare)
	if !p.Settled {
		base = min(base, max(1, p.Budget/(assumedHolders+1)))
	}
	want := p.Own
	switch {
	case p.Own < base:
		want = base
	case p.RequestsWaiting && p.Own < fairShare:
		want = fairShare
	case p.RequestsWaiting && p.Free > fairShare:
		want = p.Own + (p.Free-fairShare+1)/2
	case p.Own > fairShare && p.Free < fairShare:
		want = max(fairShare, p.Own-(fairShare-p.Free))
	case !p.RequestsWaiting && p.PeakComplete && p.Own > max(base, p.Peak):
		want = max(base, p.Peak)
	}
	return min(want, p.Own+max(0, p.Free))
}

// adjustShare returns the next actions for a service whose ledger is known.
func (s *Slice) adjustShare(now time.Time, name string, v *service) []controller.Action {
	own, held := v.ledger.find(v.application)
	if a := s.evictPredecessor(name, v); a != nil {
		return a
	}
	holders := len(v.ledger.Holders)
	if !held {
		holders++
	}
	want := desiredConnections(shareState{
		Budget: v.config.Connections, Members: len(v.config.Members), Free: v.config.Connections - v.ledger.Total(), Holders: holders,
		Own: own.Connections, Peak: v.peak, RequestsWaiting: v.load.RequestsWaiting, Settled: now.Sub(v.knownSince) >= settleDuration, PeakComplete: now.Sub(v.peakSince) >= idleTimeout*9/10,
	})
	switch {
	case v.reduction != nil && v.reduction.revision != 0:
		// A write of unknown outcome may still take effect: keep the pool's limit below it and
		// repeat the write until the ledger has changed.
		return s.lowerShare(now, name, v, v.reduction.to)
	case v.load.Use.Revoked:
		return s.lowerShare(now, name, v, 0)
	case want < own.Connections:
		return s.lowerShare(now, name, v, want)
	case want > own.Connections:
		v.reduction = nil
		return s.writeShare(name, v, want)
	}
	v.reduction = nil
	if want == own.Connections && !v.load.RequestsWaiting && want > 0 && now.Sub(v.knownSince) >= startupDuration {
		v.nextRead = now.Add(s.jitter(2 * refreshInterval))
	}
	return s.checkHolder(now, name, v)
}

// lowerShare lowers the pool's limit first, and the share in the ledger only once the pool
// reports that the targets have closed the connections above it. With 0 it releases a name
// that a target refuses although the ledger still has it, after an incomplete eviction.
func (s *Slice) lowerShare(now time.Time, name string, v *service, to int) []controller.Action {
	if v.reduction == nil || v.reduction.to != to {
		v.reduction = &reduction{to: to}
		v.nextRead = now.Add(shortageInterval)
		return s.setPoolLimit(name, v, to)
	}
	if v.load.Use.Share != v.poolShare || v.load.Use.Held > to {
		v.nextRead = now.Add(shortageInterval)
		return nil
	}
	v.reduction.revision = v.revision
	return s.writeShare(name, v, to)
}

func (s *Slice) writeShare(name string, v *service, connections int) []controller.Action {
	v.callInFlight = true
	if connections == 0 {
		return []controller.Action{writeLedger{service: name, revision: v.revision, ledger: v.ledger.withoutApplication(v.application)}}
	}
	h := Holder{Instance: s.Instance, Process: s.process, Application: v.application, Connections: connections}
	return []controller.Action{writeLedger{service: name, revision: v.revision, ledger: v.ledger.withHolder(h)}}
}

// evictPredecessor evicts an earlier process of the instance of this name: the platform has
// replaced it.
func (s *Slice) evictPredecessor(name string, v *service) []controller.Action {
	for _, h := range v.ledger.Holders {
		if h.Instance == s.Instance && h.Application != v.application {
			return s.evict(name, v, h)
		}
	}
	return nil
}

// checkHolder checks whether another holder's process is alive, in turn; every other check is
// of one that was missing before.
func (s *Slice) checkHolder(now time.Time, name string, v *service) []controller.Action {
	var others, missed []string
	for _, h := range v.ledger.Holders {
		if h.Process == s.process {
			continue
		}
		others = append(others, h.Process)
		if _, ok := s.missingSince[h.Process]; ok {
			missed = append(missed, h.Process)
		}
	}
	if len(others) == 0 {
		return nil
	}
	v.checkCursor++
	if len(missed) > 0 {
		v.nextRead = now.Add(s.jitter(missingCheckInterval))
		if v.checkCursor%2 == 0 {
			others = missed
		}
	}
	return []controller.Action{checkProcess{service: name, process: others[v.checkCursor/2%len(others)]}}
}

func (s *Slice) handleProcessChecked(now time.Time, e processChecked) []controller.Action {
	if e.err != nil {
		return nil
	}
	if e.live {
		delete(s.missingSince, e.process)
		return nil
	}
	since, ok := s.missingSince[e.process]
	if !ok {
		s.missingSince[e.process] = now
		since = now
	}
	v := s.services[e.service]
	if v == nil || now.Sub(since) < missingTimeout {
		return nil
	}
	for _, h := range v.ledger.Holders {
		if h.Process == e.process {
			return s.evict(e.service, v, h)
		}
	}
	return nil
}

// evict closes a holder's connections at every member. Its share is free only after all
// members have confirmed that none is left.
func (s *Slice) evict(name string, v *service, h Holder) []controller.Action {
	if v.evicting || v.callInFlight {
		return nil
	}
	v.evicting = true
	a := Evict{Service: name, Application: h.Application}
	for _, m := range v.config.Members {
		a.Addresses = append(a.Addresses, m.Address)
	}
	return []controller.Action{a}
}

func (s *Slice) handleEvicted(now time.Time, e Evicted) []controller.Action {
	v := s.services[e.Service]
	if v == nil {
		return nil
	}
	v.evicting = false
	v.nextRead = now.Add(s.jitter(shortageInterval))
	if e.Err != nil || v.callInFlight {
		return nil
	}
	v.callInFlight = true
	return []controller.Action{writeLedger{service: e.Service, revision: v.revision, ledger: v.ledger.withoutApplication(e.Application)}}
}
