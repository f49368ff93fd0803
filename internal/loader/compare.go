package loader

import (
	"fmt"
	"slices"
)

// Change is a setting whose value differs between two settings files.
type Change struct {
	// Key is the name of the setting in the file.
	Key      string
	From, To string
}

// edgeSettings lists the keys of EdgeSettings with their accessors.
var edgeSettings = []struct {
	key   string
	value func(*EdgeSettings) any
}{
	{"name", func(s *EdgeSettings) any { return s.Name }},
	{"availability-zone", func(s *EdgeSettings) any { return s.Zone }},
	{"regions", func(s *EdgeSettings) any { return s.Regions }},
	{"callers-address", func(s *EdgeSettings) any { return s.Callers }},
	{"ready-address", func(s *EdgeSettings) any { return s.ReadinessAddress }},
	{"metrics-address", func(s *EdgeSettings) any { return s.MetricsAddress }},
	{"peers-address", func(s *EdgeSettings) any { return s.PeerAddress }},
	{"seeds", func(s *EdgeSettings) any { return s.Seeds }},
	{"store-address", func(s *EdgeSettings) any { return s.StoreAddress }},
	{"promotions-address", func(s *EdgeSettings) any { return s.PromotionAddress }},
	{"cores", func(s *EdgeSettings) any { return s.Cores }},
	{"in-force-ms", func(s *EdgeSettings) any { return s.MaxApplyDelay }},
	{"limit-window-s", func(s *EdgeSettings) any { return s.LimitTolerance.Window }},
	{"limit-overage", func(s *EdgeSettings) any { return s.LimitTolerance.Overage }},
	{"limit-slack", func(s *EdgeSettings) any { return s.LimitTolerance.Slack }},
	{"shutdown-s", func(s *EdgeSettings) any { return s.ShutdownTimeout }},
	{"first-start", func(s *EdgeSettings) any { return s.ColdStart }},
}

// CompareEdgeSettings returns the differences between the settings of a running instance and
// those of its next start. Changes apply only at a restart, since a new address would disconnect
// clients.
func CompareEdgeSettings(running, next *EdgeSettings) []Change {
	var changes []Change
	for _, k := range edgeSettings {
		from, to := fmt.Sprint(k.value(running)), fmt.Sprint(k.value(next))
		if from != to {
			changes = append(changes, Change{k.key, from, to})
		}
	}
	return changes
}

// ChangedKeys returns the keys of the changed settings.
func ChangedKeys(changes []Change) []string {
	var keys []string
	for _, c := range changes {
		keys = append(keys, c.Key)
	}
	return slices.Clip(keys)
}
