package stager

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
)

// KeyholdPlan returns the plan of the locker service's deployment: nine instances and
// three groups with low latency, few execution slots and small connection budgets.
func KeyholdPlan() Plan {
	return Plan{
		Zones: []string{"hobart", "launceston", "burnie"}, InstancesPerZone: 3,
		ZoneLatency: 1500 * time.Microsecond, ClientLatency: 3 * time.Millisecond, Jitter: 200 * time.Microsecond,
		ConnectTime: 10 * time.Millisecond, Slots: 3, ExecutionTime: time.Millisecond,
		Services: newServices([]string{"lockers", "bookings", "custody"}, 20, 3, []configurer.ReaderRule{
			{Kind: configurer.DefaultKind, MaxAge: 5 * time.Second},
			{Kind: "drop-status", MaxAge: 2 * time.Second},
			{Kind: "release", MaxAge: 0},
		}),
	}
}

// KellermanPlan returns the plan of the job sheet deployment: nine instances and three
// groups with large connection budgets and slow connection establishment.
func KellermanPlan() Plan {
	return Plan{
		Zones: []string{"perth", "pilbara", "south-west"}, InstancesPerZone: 3,
		ZoneLatency: time.Millisecond, ClientLatency: 3 * time.Millisecond, Jitter: 200 * time.Microsecond,
		ConnectTime: 30 * time.Millisecond, Slots: 5, ExecutionTime: time.Millisecond,
		Services: newServices([]string{"sheets", "results", "hours"}, 60, 5, []configurer.ReaderRule{
			{Kind: configurer.DefaultKind, MaxAge: 30 * time.Second},
			{Kind: "past-sheets", MaxAge: time.Minute},
			{Kind: "own-sheets", MaxAge: 5 * time.Second},
			{Kind: "sign-off", MaxAge: 0},
		}),
	}
}

func newServices(names []string, connections, slots int, rules []configurer.ReaderRule) []configurer.Service {
	var services []configurer.Service
	for _, name := range names {
		services = append(services, configurer.Service{Name: name, Connections: connections, Slots: slots, Rules: rules})
	}
	return services
}
