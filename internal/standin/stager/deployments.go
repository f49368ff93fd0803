package stager

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
)

// Keyhold is the deployment of the locker service: short latencies, three groups,
// few slots and a budget of 20 connections each, nine instances.
func Keyhold() Plan {
	return Plan{
		Zones: []string{"hobart", "launceston", "burnie"}, PerZone: 3,
		ZoneLatency: 1500 * time.Microsecond, CallerLatency: 3 * time.Millisecond, Jitter: 200 * time.Microsecond,
		ConnectTime: 10 * time.Millisecond, Slots: 3, Work: time.Millisecond,
		Services: groups([]string{"lockers", "bookings", "custody"}, 20, 3, []configurer.ReaderRule{
			{Kind: configurer.DefaultKind, MaxAge: 5 * time.Second},
			{Kind: "drop-status", MaxAge: 2 * time.Second},
			{Kind: "release", MaxAge: 0},
		}),
	}
}

// Kellerman is the deployment of the job sheets: three groups with a budget of 60
// connections each, slow new connections, nine instances.
func Kellerman() Plan {
	return Plan{
		Zones: []string{"perth", "pilbara", "south-west"}, PerZone: 3,
		ZoneLatency: time.Millisecond, CallerLatency: 3 * time.Millisecond, Jitter: 200 * time.Microsecond,
		ConnectTime: 30 * time.Millisecond, Slots: 5, Work: time.Millisecond,
		Services: groups([]string{"sheets", "results", "hours"}, 60, 5, []configurer.ReaderRule{
			{Kind: configurer.DefaultKind, MaxAge: 30 * time.Second},
			{Kind: "past-sheets", MaxAge: time.Minute},
			{Kind: "own-sheets", MaxAge: 5 * time.Second},
			{Kind: "sign-off", MaxAge: 0},
		}),
	}
}

func groups(names []string, connections, slots int, rules []configurer.ReaderRule) []configurer.Service {
	var out []configurer.Service
	for _, n := range names {
		out = append(out, configurer.Service{Name: n, Connections: connections, Slots: slots, Rules: rules})
	}
	return out
}
