package sharer

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
)

// position is what a decision on the size of a share looks at.
type position struct {
	// Budget is the group's; Free what nobody holds.
	Budget, Free int
	// Members is how many the group has.
	Members int
	// Holders counts those in the ledger, this instance included.
	Holders int
	// Mine is what this instance holds; Peak the most that it has used lately.
	Mine, Peak int
	// Pressed is set while requests wait for connections.
	Pressed bool
	// Settled is set when the instance has run for settleFor.
	Settled bool
	// Rested is set once Peak covers long enough to give something back.
	Rested bool
}

// size decides how many connections this instance should hold.
//
// Without load that is one to each member and one more, as far as the fair part
// goes: control asks the members over them, requests find them open, and a primary
// that freezes with one of them leaves enough to replace it without the store.
//
// It answers load that is uneven among instances, and instances that come: equal
// parts for all would leave connections idle on one while requests queue on
// another, and would leave nothing for an instance that starts. The fair part is
// the budget over one more holder than there are, so about one part is always
// free for the next. Above it an instance takes half of what is free beyond that
// part, so that two which are pressed at once both get some; it gives that back
// when the free part is used up, and what it did not use for idleFor in any case.
func size(p position) int {
	fair := max(1, p.Budget/(p.Holders+1))
	base := min(p.Members+1, fair)
	if !p.Settled {
		base = min(base, max(1, p.Budget/(startHolders+1)))
	}
	want := p.Mine
	switch {
	case p.Mine < base:
		want = base
	case p.Pressed && p.Mine < fair:
		want = fair
	case p.Pressed && p.Free > fair:
		want = p.Mine + (p.Free-fair+1)/2
	case p.Mine > fair && p.Free < fair:
		want = max(fair, p.Mine-(fair-p.Free))
	case !p.Pressed && p.Rested && p.Mine > max(base, p.Peak):
		want = max(base, p.Peak)
	}
	return min(want, p.Mine+max(0, p.Free))
}

// change decides the next call for a service whose ledger is known.
func (s *Slice) change(now time.Time, name string, v *service) []controller.Action {
	mine, held := v.ledger.find(v.application)
	if a := s.succeed(name, v); a != nil {
		return a
	}
	holders := len(v.ledger.Holders)
	if !held {
		holders++
	}
	want := size(position{
		Budget: v.config.Connections, Members: len(v.config.Members), Free: v.config.Connections - v.ledger.Total(), Holders: holders,
		Mine: mine.Connections, Peak: v.peak, Pressed: v.load.Pressed, Settled: now.Sub(v.since) >= settleFor, Rested: now.Sub(v.peakFrom) >= idleFor*9/10,
	})
	switch {
	case v.lowering != nil && v.lowering.revision != 0:
		// A write of unknown outcome, which may still take effect: the pool must
		// stay below it until the ledger has moved on. It is sent again for that.
		return s.lower(now, name, v, v.lowering.to)
	case v.load.Use.Revoked:
		return s.lower(now, name, v, 0)
	case want < mine.Connections:
		return s.lower(now, name, v, want)
	case want > mine.Connections:
		v.lowering = nil
		return s.write(name, v, want)
	}
	v.lowering = nil
	if want == mine.Connections && !v.load.Pressed && want > 0 && now.Sub(v.since) >= startFor {
		v.next = now.Add(s.spread(2 * refreshEvery))
	}
	return s.check(now, name, v)
}

// lower gives connections back: first the pool's limit falls, then, once the pool
// reports under that limit that the targets have ended what was above it, the
// share. To 0 it gives up a name that a target refuses, although nobody has taken
// the share back: whoever evicted this instance was stopped halfway.
func (s *Slice) lower(now time.Time, name string, v *service, to int) []controller.Action {
	if v.lowering == nil || v.lowering.to != to {
		v.lowering = &lowering{to: to}
		v.next = now.Add(hungryEvery)
		return s.give(name, v, to)
	}
	if v.load.Use.Share != v.share || v.load.Use.Held > to {
		v.next = now.Add(hungryEvery)
		return nil
	}
	v.lowering.revision = v.revision
	return s.write(name, v, to)
}

func (s *Slice) write(name string, v *service, connections int) []controller.Action {
	v.busy = true
	if connections == 0 {
		return []controller.Action{writeLedger{service: name, revision: v.revision, ledger: v.ledger.without(v.application)}}
	}
	h := Holder{Instance: s.Instance, Process: s.process, Application: v.application, Connections: connections}
	return []controller.Action{writeLedger{service: name, revision: v.revision, ledger: v.ledger.with(h)}}
}

// succeed takes over from an earlier run of the instance of this name: it is
// gone, since the platform has replaced it.
func (s *Slice) succeed(name string, v *service) []controller.Action {
	for _, h := range v.ledger.Holders {
		if h.Instance == s.Instance && h.Application != v.application {
			return s.evict(name, v, h)
		}
	}
	return nil
}

// check looks at whether one other holder is still there: in turns, and every
// other time at one that was missed before.
func (s *Slice) check(now time.Time, name string, v *service) []controller.Action {
	var others, missed []string
	for _, h := range v.ledger.Holders {
		if h.Process == s.process {
			continue
		}
		others = append(others, h.Process)
		if _, ok := s.missing[h.Process]; ok {
			missed = append(missed, h.Process)
		}
	}
	if len(others) == 0 {
		return nil
	}
	v.cursor++
	if len(missed) > 0 {
		v.next = now.Add(s.spread(missedEvery))
		if v.cursor%2 == 0 {
			others = missed
		}
	}
	return []controller.Action{checkProcess{service: name, process: others[v.cursor/2%len(others)]}}
}

func (s *Slice) checked(now time.Time, e processChecked) []controller.Action {
	if e.err != nil {
		return nil
	}
	if e.live {
		delete(s.missing, e.process)
		return nil
	}
	since, ok := s.missing[e.process]
	if !ok {
		s.missing[e.process] = now
		since = now
	}
	v := s.services[e.service]
	if v == nil || now.Sub(since) < missingFor {
		return nil
	}
	for _, h := range v.ledger.Holders {
		if h.Process == e.process {
			return s.evict(e.service, v, h)
		}
	}
	return nil
}

// evict has a holder's connections ended at every member. What it holds is free
// only after all of them have said that none is left.
func (s *Slice) evict(name string, v *service, h Holder) []controller.Action {
	if v.evicting || v.busy {
		return nil
	}
	v.evicting = true
	a := Evict{Service: name, Application: h.Application}
	for _, m := range v.config.Members {
		a.Addresses = append(a.Addresses, m.Address)
	}
	return []controller.Action{a}
}

func (s *Slice) evicted(now time.Time, e Evicted) []controller.Action {
	v := s.services[e.Service]
	if v == nil {
		return nil
	}
	v.evicting = false
	v.next = now.Add(s.spread(hungryEvery))
	if e.Err != nil || v.busy {
		return nil
	}
	v.busy = true
	return []controller.Action{writeLedger{service: e.Service, revision: v.revision, ledger: v.ledger.without(e.Application)}}
}
