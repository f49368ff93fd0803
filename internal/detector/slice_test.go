package detector_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

// world is what an instance of availability zone b sees of a group with its
// primary m-1 in a and replicas m-2 in b and m-3 in c.
type world struct {
	// primary is what the primary's questions end with from the fault on.
	primary error
	// heard is what the replicas tell of it; a negative value is no stream.
	heard time.Duration
	// grows tells whether the primary takes writes, which followers never hold.
	grows bool
	// neverSeen: the primary failed before this instance asked it.
	neverSeen bool
	// relayed: another instance reaches the primary and tells of it.
	relayed bool
	// underWay: the last answer before the fault shows an entry that no replica holds yet.
	underWay bool
	// zones are what other availability zones report: true is a suspicion.
	zones map[string]bool
}

const (
	step  = 100 * time.Millisecond
	lasts = 5 * time.Second
)

// play returns how long after the fault the failure was agreed; 0 is never.
func play(w world) time.Duration {
	now := time.Unix(1000, 0)
	s := &detector.Slice{Zone: "b"}
	service := configurer.Service{Name: "s"}
	for i, z := range []string{"a", "b", "c"} {
		n := "m-" + string(rune('1'+i))
		service.Members = append(service.Members, configurer.Member{Name: n, Address: n, Zone: z})
	}
	var agreed time.Duration
	began := now
	give := func(e controller.Event) {
		for _, a := range append(s.Step(now, e), s.Step(now, controller.Tick{})...) {
			if m, ok := a.(controller.Emit); ok {
				if g, ok := m.Event.(detector.Agreed); ok && g.On && agreed == 0 {
					agreed = now.Sub(began)
				}
			}
		}
	}
	give(configurer.InForce{Version: 1, Document: &configurer.Document{Services: []configurer.Service{service}}})
	offset := uint64(5)
	round := func(fault error, heard time.Duration) {
		primary := commander.Status{
			Role: commander.RolePrimary, Term: 1, Received: orderer.Position{Term: 1, Offset: offset},
			Followers: map[string]orderer.Position{"m-2": {Term: 1, Offset: 5}, "m-3": {Term: 1, Offset: 5}},
		}
		switch {
		case fault != nil:
			give(observer.Observed{Service: "s", Member: "m-1", Started: now, Err: fault})
		case !w.neverSeen:
			give(observer.Observed{Service: "s", Member: "m-1", Started: now, Status: primary})
		}
		if w.relayed {
			give(observer.Observed{Service: "s", Member: "m-1", Started: now, Status: primary, From: "entry-c"})
		}
		for _, n := range []string{"m-2", "m-3"} {
			give(observer.Observed{Service: "s", Member: n, Started: now, Status: commander.Status{
				Role: commander.RoleReplica, Term: 1, Following: "m-1", Heard: heard, Received: orderer.Position{Term: 1, Offset: 5},
			}})
		}
	}
	for i := range 10 {
		if i == 9 && w.underWay {
			offset++
		}
		round(nil, step)
		now = now.Add(step)
	}
	began = now
	for now.Sub(began) < lasts {
		heard := w.heard
		if heard > 0 {
			heard = now.Sub(began) // it heard the primary for the last time at the fault
		}
		if w.grows {
			offset++
		}
		round(w.primary, heard)
		for z, suspects := range w.zones {
			m := gossiper.MemberReport{Member: "m-1", Status: commander.Status{Role: commander.RolePrimary, Term: 1}, Suspected: suspects}
			if suspects {
				m.Failures = 3
			}
			give(gossiper.Heard{Asked: now, Report: gossiper.Report{
				Instance: "entry-" + z, Zone: z, Groups: []gossiper.GroupReport{{Service: "s", Members: []gossiper.MemberReport{m}}},
			}})
		}
		now = now.Add(step)
	}
	return agreed
}

// What an instance sees, and when it acts on it: neither early, nor because of
// its own network, nor late.
func TestAgreement(t *testing.T) {
	const never = 0
	tests := []struct {
		name     string
		world    world
		from, to time.Duration
	}{
		{"all is well", world{}, never, never},
		{"crash: refused here, streams broken", world{primary: commander.ErrUnreachable, heard: -1}, 200 * time.Millisecond, 400 * time.Millisecond},
		{"freeze: silent here, replicas deaf", world{primary: commander.ErrSilent, heard: 1}, 1100 * time.Millisecond, 1300 * time.Millisecond},
		{"silent here, the replicas hear it", world{primary: commander.ErrSilent}, never, never},
		{"refused here, the replicas hear it", world{primary: commander.ErrUnreachable}, never, never},
		{"silent here, another instance reaches it, replicas deaf", world{primary: commander.ErrSilent, heard: 1, relayed: true}, 1100 * time.Millisecond, 1300 * time.Millisecond},
		{"silent here, hears are mixed: others see it", world{primary: commander.ErrSilent, zones: map[string]bool{"a": false, "c": false}}, never, never},
		{"never seen, the replicas hear it", world{primary: commander.ErrSilent, neverSeen: true}, never, never},
		{"never seen, replicas deaf", world{primary: commander.ErrSilent, neverSeen: true, heard: -1}, 700 * time.Millisecond, 1200 * time.Millisecond},
		{"cut from its replicas, idle", world{heard: 1}, 1000 * time.Millisecond, 1300 * time.Millisecond},
		// Guards against one old answer counting as a lasting stall.
		{"no connection to ask over, the last answer shows an entry under way", world{primary: commander.ErrBusy, underWay: true}, never, never},
		{"writes are not confirmed, heartbeats come", world{grows: true}, 1500 * time.Millisecond, 1800 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			got := play(c.world)
			if c.to == never {
				must.Eq(t, never, got)
				return
			}
			must.Between(t, c.from, got, c.to)
		})
	}
}

// Guards against members that answered once, in the middle of a promotion, and were not asked
// again counting as a lasting term without primary.
func TestHeadlessOnOneAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer bool
		agreed bool
	}{
		{"answers go on", true, true},
		{"no connection to ask over", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.agreed, headless(c.answer))
		})
	}
}

// headless reports whether the failure of a term that had no primary in the first answers is
// agreed; answer tells whether more of them come.
func headless(answer bool) (agreed bool) {
	s, now := &detector.Slice{Zone: "b"}, time.Unix(1000, 0)
	service := configurer.Service{Name: "s", Members: []configurer.Member{{Name: "m-1"}, {Name: "m-2"}, {Name: "m-3"}}}
	s.Step(now, configurer.InForce{Version: 1, Document: &configurer.Document{Services: []configurer.Service{service}}})
	for i := range 15 {
		var out []controller.Action
		for _, m := range service.Members {
			o := observer.Observed{Service: "s", Member: m.Name, Started: now, Status: commander.Status{Role: commander.RoleFenced, Term: 2}}
			if i > 0 && !answer {
				o.Err = commander.ErrBusy
			}
			out = append(out, s.Step(now, o)...)
		}
		for _, a := range append(out, s.Step(now, controller.Tick{})...) {
			if m, ok := a.(controller.Emit); ok {
				e, ok := m.Event.(detector.Agreed)
				agreed = agreed || ok && e.On
			}
		}
		now = now.Add(step)
	}
	return agreed
}
