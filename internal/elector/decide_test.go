package elector_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

const now = time.Minute

// healthy returns a group whose primary p and replicas q and r respond.
func healthy() elector.View {
	member := func(id string, primary bool) elector.Observation {
		return elector.Observation{
			Member: tracker.Member{ID: id, Slots: 3}, Answered: true,
			Status: messenger.Status{Primary: primary, Term: 1}, StatusAt: now,
		}
	}
	return elector.View{Now: now, Primary: "p", Members: []elector.Observation{member("p", true), member("q", false), member("r", false)}}
}

// silent returns a change that makes a member unresponsive for the given time.
func silent(since time.Duration) func(*elector.Observation) {
	return func(o *elector.Observation) { o.Answered, o.FailedSince = false, now-since }
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(v *elector.View)
		want   elector.Reason
	}{
		{"healthy", func(*elector.View) {}, elector.ReasonNone},
		{"primary briefly silent", func(v *elector.View) { silent(500 * time.Millisecond)(&v.Members[0]) }, elector.ReasonNone},
		{"primary silent", func(v *elector.View) { silent(time.Second)(&v.Members[0]) }, elector.ReasonSilent},
		{"primary refuses connections", func(v *elector.View) {
			silent(300 * time.Millisecond)(&v.Members[0])
			v.Members[0].Refused = true
		}, elector.ReasonRefused},
		{"primary full, replicas busy", func(v *elector.View) {
			silent(5 * time.Second)(&v.Members[0])
			v.Members[0].ConnectionsExhausted = true
			v.Members[1].Status.Busy, v.Members[2].Status.Busy = 9, 9
		}, elector.ReasonNone},
		{"primary full, replicas free", func(v *elector.View) {
			silent(5 * time.Second)(&v.Members[0])
			v.Members[0].ConnectionsExhausted = true
		}, elector.ReasonOverloaded},
		{"primary full just after this process started", func(v *elector.View) {
			silent(2 * time.Second)(&v.Members[0])
			v.Members[0].ConnectionsExhausted, v.ProcessStart = true, now-2*time.Second
		}, elector.ReasonNone},
		{"primary leaves", func(v *elector.View) { v.Members[0].Leaving = true }, elector.ReasonLeaving},
		{"all leave", func(v *elector.View) {
			for i := range v.Members {
				v.Members[i].Leaving = true
			}
		}, elector.ReasonNone},
		{"all replicas stalled", func(v *elector.View) {
			v.Members[1].StalledSince, v.Members[2].StalledSince = now-2*time.Second, now-2*time.Second
		}, elector.ReasonReplicationStalled},
		{"one replica stalled", func(v *elector.View) { v.Members[1].StalledSince = now - 2*time.Second }, elector.ReasonNone},
		{"the only replica stalled", func(v *elector.View) {
			v.Members = v.Members[:2]
			v.Members[1].StalledSince = now - 2*time.Second
		}, elector.ReasonNone},
		{"primary overloaded, replicas free", func(v *elector.View) { v.Members[0].OverloadedSince = now - time.Second }, elector.ReasonOverloaded},
		{"primary overloaded, changed recently", func(v *elector.View) {
			v.Members[0].OverloadedSince, v.PromotionOrderedAt = now-time.Second, now-3*time.Second
		}, elector.ReasonNone},
		{"primary overloaded, changed recently, a replica lags", func(v *elector.View) {
			v.Members[0].OverloadedSince, v.PromotionOrderedAt = now-time.Second, now-3*time.Second
			v.Members[2].Status.LagMillis = 40000
		}, elector.ReasonOverloaded},
		{"primary overloaded, changed a second ago, a replica lags", func(v *elector.View) {
			v.Members[0].OverloadedSince, v.PromotionOrderedAt = now-time.Second, now-time.Second
			v.Members[2].Status.LagMillis = 40000
		}, elector.ReasonNone},
		{"no connections left, a replica lags", func(v *elector.View) {
			v.Members[0].NearlyFullSince = now - time.Second
			v.Members[2].Status.LagMillis = 5000
		}, elector.ReasonOverloaded},
		{"no connections left, no replica lags", func(v *elector.View) { v.Members[0].NearlyFullSince = now - time.Second }, elector.ReasonNone},
		{"all overloaded", func(v *elector.View) {
			v.Members[0].OverloadedSince = now - time.Second
			v.Members[1].Status.Busy, v.Members[2].Status.Busy = 9, 9
		}, elector.ReasonNone},
		{"no primary", func(v *elector.View) {
			v.Members[0].Status.Primary, v.LeaderlessSince = false, now-3*time.Second
		}, elector.ReasonLeaderless},
		{"no primary while a promotion is in progress", func(v *elector.View) {
			v.Members[0].Status.Primary, v.LeaderlessSince, v.PromotionOrderedAt = false, now-3*time.Second, now-time.Second
		}, elector.ReasonNone},
		{"no member responds", func(v *elector.View) {
			v.Primary, v.LeaderlessSince = "", now-3*time.Second
			for i := range v.Members {
				silent(time.Second)(&v.Members[i])
			}
		}, elector.ReasonNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := healthy()
			c.change(&v)
			must.Eq(t, c.want, elector.Decide(v).Reason)
		})
	}
}

// A replica left paused by a failed change is resumed, unless the pause is recent: the change
// may be in progress.
func TestDecideResumesStalePauses(t *testing.T) {
	v := healthy()
	v.Members[1].PausedSince, v.Members[2].PausedSince = now-2*time.Second, now-100*time.Millisecond
	must.Eq(t, []string{"q"}, elector.Decide(v).Resume)
}

// Guards against repeated changes of a group whose members are all overloaded.
func TestLoadBalancingChangesAreSpaced(t *testing.T) {
	v := healthy()
	v.Members[0].OverloadedSince, v.PromotionOrderedAt = now-time.Second, now-20*time.Second
	must.Eq(t, elector.ReasonOverloaded, elector.Decide(v).Reason)
	v.RebalanceInterval = 32 * time.Second
	must.Eq(t, elector.ReasonNone, elector.Decide(v).Reason)
}
