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

// entrySettings lists the keys of EntrySettings with their accessors.
var entrySettings = []struct {
	key   string
	value func(*EntrySettings) any
}{
	{"name", func(s *EntrySettings) any { return s.Name }},
	{"availability-zone", func(s *EntrySettings) any { return s.Zone }},
	{"regions", func(s *EntrySettings) any { return s.Regions }},
	{"callers-address", func(s *EntrySettings) any { return s.Callers }},
	{"ready-address", func(s *EntrySettings) any { return s.Ready }},
	{"metrics-address", func(s *EntrySettings) any { return s.Metrics }},
	{"peers-address", func(s *EntrySettings) any { return s.Peers }},
	{"seeds", func(s *EntrySettings) any { return s.Seeds }},
	{"store-address", func(s *EntrySettings) any { return s.Store }},
	{"promotions-address", func(s *EntrySettings) any { return s.Promotions }},
	{"cores", func(s *EntrySettings) any { return s.Cores }},
	{"in-force-ms", func(s *EntrySettings) any { return s.InForce }},
	{"limit-window-s", func(s *EntrySettings) any { return s.Limits.Window }},
	{"limit-overage", func(s *EntrySettings) any { return s.Limits.Overage }},
	{"limit-slack", func(s *EntrySettings) any { return s.Limits.Slack }},
	{"shutdown-s", func(s *EntrySettings) any { return s.Shutdown }},
	{"first-start", func(s *EntrySettings) any { return s.FirstStart }},
}

// CompareEntry returns the differences between the settings of a running instance and those
// of its next start. Changes apply only at a restart, since a new address would disconnect
// clients.
func CompareEntry(running, next *EntrySettings) []Change {
	var changes []Change
	for _, k := range entrySettings {
		from, to := fmt.Sprint(k.value(running)), fmt.Sprint(k.value(next))
		if from != to {
			changes = append(changes, Change{k.key, from, to})
		}
	}
	return changes
}

// Keys returns the keys of the changed settings.
func Keys(changes []Change) []string {
	var keys []string
	for _, c := range changes {
		keys = append(keys, c.Key)
	}
	return slices.Clip(keys)
}
