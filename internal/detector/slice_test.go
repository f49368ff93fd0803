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

// scenario describes what an instance in zone b observes of a group with the primary m-1 in
// zone a and replicas m-2 in b and m-3 in c.
type scenario struct {
	// primaryErr is the result of status requests to the primary during the fault.
	primaryErr error
	// heartbeatAge, if positive, makes the replicas miss heartbeats during the fault; a negative
	// value closes their streams.
	heartbeatAge time.Duration
	// writes makes the primary receive writes that the replicas do not.
	writes bool
	// primaryNeverSeen makes the primary fail before this instance has polled it.
	primaryNeverSeen bool
	// relayed makes another instance report statuses of the primary.
	relayed bool
	// entryInFlight makes the last response before the fault show an entry that no replica holds
	// yet.
	entryInFlight bool
	// zoneReports are the reports of other availability zones: true is a suspicion.
	zoneReports map[string]bool
}

const (
	pollInterval  = 100 * time.Millisecond
	faultDuration = 5 * time.Second
)

// simulate returns the time from the fault to the agreed failure, 0 if there is none.
func simulate(sc scenario) time.Duration {
	now := time.Unix(1000, 0)
	s := &detector.Slice{Zone: "b"}
	service := configurer.Service{Name: "s"}
	for i, z := range []string{"a", "b", "c"} {
		n := "m-" + string(rune('1'+i))
		service.Members = append(service.Members, configurer.Member{Name: n, Address: n, Zone: z})
	}
	var agreed time.Duration
	faultAt := now
	deliver := func(e controller.Event) {
		for _, a := range append(s.Step(now, e), s.Step(now, controller.Tick{})...) {
			if m, ok := a.(controller.Emit); ok {
				if g, ok := m.Event.(detector.FailureAgreed); ok && g.Active && agreed == 0 {
					agreed = now.Sub(faultAt)
				}
			}
		}
	}
	deliver(configurer.Activated{Version: 1, Document: &configurer.Document{Services: []configurer.Service{service}}})
	offset := uint64(5)
	poll := func(fault error, heartbeatAge time.Duration) {
		primary := commander.Status{
			Role: commander.RolePrimary, Term: 1, Received: orderer.Position{Term: 1, Offset: offset},
			Followers: map[string]orderer.Position{"m-2": {Term: 1, Offset: 5}, "m-3": {Term: 1, Offset: 5}},
		}
		switch {
		case fault != nil:
			deliver(observer.Observed{Service: "s", Member: "m-1", Started: now, Err: fault})
		case !sc.primaryNeverSeen:
			deliver(observer.Observed{Service: "s", Member: "m-1", Started: now, Status: primary})
		}
		if sc.relayed {
			deliver(observer.Observed{Service: "s", Member: "m-1", Started: now, Status: primary, From: "entry-c"})
		}
		for _, n := range []string{"m-2", "m-3"} {
			deliver(observer.Observed{Service: "s", Member: n, Started: now, Status: commander.Status{
				Role: commander.RoleReplica, Term: 1, Following: "m-1", LastMessageAge: heartbeatAge, Received: orderer.Position{Term: 1, Offset: 5},
			}})
		}
	}
	for i := range 10 {
		if i == 9 && sc.entryInFlight {
			offset++
		}
		poll(nil, pollInterval)
		now = now.Add(pollInterval)
	}
	faultAt = now
	for now.Sub(faultAt) < faultDuration {
		heartbeatAge := sc.heartbeatAge
		if heartbeatAge > 0 {
			heartbeatAge = now.Sub(faultAt) // the last heartbeat was received at the fault
		}
		if sc.writes {
			offset++
		}
		poll(sc.primaryErr, heartbeatAge)
		for z, suspects := range sc.zoneReports {
			m := gossiper.MemberReport{Member: "m-1", Status: commander.Status{Role: commander.RolePrimary, Term: 1}, Suspected: suspects}
			if suspects {
				m.Failures = 3
			}
			deliver(gossiper.ReportReceived{RequestedAt: now, Report: gossiper.Report{
				Instance: "entry-" + z, Zone: z, Groups: []gossiper.GroupReport{{Service: "s", Members: []gossiper.MemberReport{m}}},
			}})
		}
		now = now.Add(pollInterval)
	}
	return agreed
}

// Guards against acting too early, too late, or on a network fault of the instance itself.
func TestAgreement(t *testing.T) {
	const never = 0
	tests := []struct {
		name     string
		scenario scenario
		from, to time.Duration
	}{
		{"healthy", scenario{}, never, never},
		{"crash: connections refused, replication streams broken", scenario{primaryErr: commander.ErrUnreachable, heartbeatAge: -1}, 200 * time.Millisecond, 400 * time.Millisecond},
		{"freeze: silent, replicas miss heartbeats", scenario{primaryErr: commander.ErrTimeout, heartbeatAge: 1}, 1100 * time.Millisecond, 1300 * time.Millisecond},
		{"silent, replicas receive heartbeats", scenario{primaryErr: commander.ErrTimeout}, never, never},
		{"connections refused, replicas receive heartbeats", scenario{primaryErr: commander.ErrUnreachable}, never, never},
		{"silent, reached by another instance, replicas miss heartbeats", scenario{primaryErr: commander.ErrTimeout, heartbeatAge: 1, relayed: true}, 1100 * time.Millisecond, 1300 * time.Millisecond},
		{"silent, alive in other zones", scenario{primaryErr: commander.ErrTimeout, zoneReports: map[string]bool{"a": false, "c": false}}, never, never},
		{"never seen, replicas receive heartbeats", scenario{primaryErr: commander.ErrTimeout, primaryNeverSeen: true}, never, never},
		{"never seen, replicas miss heartbeats", scenario{primaryErr: commander.ErrTimeout, primaryNeverSeen: true, heartbeatAge: -1}, 700 * time.Millisecond, 1200 * time.Millisecond},
		{"partitioned from its replicas, idle", scenario{heartbeatAge: 1}, 1000 * time.Millisecond, 1300 * time.Millisecond},
		// Guards against treating one old response as a lasting stall.
		{"no free connection, last response shows an entry in flight", scenario{primaryErr: commander.ErrNoConnection, entryInFlight: true}, never, never},
		{"writes unconfirmed, heartbeats received", scenario{writes: true}, 1500 * time.Millisecond, 1800 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			got := simulate(c.scenario)
			if c.to == never {
				must.Eq(t, never, got)
				return
			}
			must.Between(t, c.from, got, c.to)
		})
	}
}

// Guards against treating a single response in the middle of a promotion as a lasting term
// without a primary.
func TestLeaderlessAfterSingleResponse(t *testing.T) {
	for _, c := range []struct {
		name       string
		responding bool
		agreed     bool
	}{
		{"responses continue", true, true},
		{"no free connection", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.agreed, detectsLeaderless(c.responding))
		})
	}
}

// detectsLeaderless reports whether a failure is agreed after a first response without a
// primary; responding is whether the members keep responding.
func detectsLeaderless(responding bool) (agreed bool) {
	s, now := &detector.Slice{Zone: "b"}, time.Unix(1000, 0)
	service := configurer.Service{Name: "s", Members: []configurer.Member{{Name: "m-1"}, {Name: "m-2"}, {Name: "m-3"}}}
	s.Step(now, configurer.Activated{Version: 1, Document: &configurer.Document{Services: []configurer.Service{service}}})
	for i := range 15 {
		var out []controller.Action
		for _, m := range service.Members {
			o := observer.Observed{Service: "s", Member: m.Name, Started: now, Status: commander.Status{Role: commander.RoleFenced, Term: 2}}
			if i > 0 && !responding {
				o.Err = commander.ErrNoConnection
			}
			out = append(out, s.Step(now, o)...)
		}
		for _, a := range append(out, s.Step(now, controller.Tick{})...) {
			if m, ok := a.(controller.Emit); ok {
				e, ok := m.Event.(detector.FailureAgreed)
				agreed = agreed || ok && e.Active
			}
		}
		now = now.Add(pollInterval)
	}
	return agreed
}
