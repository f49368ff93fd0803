package configurer

import (
	"fmt"
	"slices"
	"strings"
)

type (
	// Change is a difference between two documents. An empty Old means added, an empty New
	// removed.
	Change struct {
		// Path identifies the item, such as "service lockers member m1".
		Path     string
		Old, New string
	}

	entry struct{ path, value string }
)

// String formats the change as "+ path: value", "- path: value" or "~ path: old -> new".
func (c Change) String() string {
	switch {
	case c.Old == "":
		return "+ " + c.Path + ": " + c.New
	case c.New == "":
		return "- " + c.Path + ": " + c.Old
	}
	return "~ " + c.Path + ": " + c.Old + " -> " + c.New
}

// Diff returns the differences between two documents, either of which may be nil. Items are
// matched by name; their order and comments are ignored.
func Diff(old, now *Document) []Change {
	before, after := entries(old), entries(now)
	var out []Change
	for _, f := range after {
		if o := lookup(before, f.path); o != f.value {
			out = append(out, Change{Path: f.path, Old: o, New: f.value})
		}
	}
	for _, f := range before {
		if lookup(after, f.path) == "" {
			out = append(out, Change{Path: f.path, Old: f.value})
		}
	}
	return out
}

func lookup(list []entry, path string) string {
	i := slices.IndexFunc(list, func(f entry) bool { return f.path == path })
	if i < 0 {
		return ""
	}
	return list[i].value
}

// entries flattens a document into paths and values.
func entries(d *Document) []entry {
	if d == nil {
		return nil
	}
	var out []entry
	for _, s := range d.Services {
		at := "service " + s.Name
		out = append(out,
			entry{at + " connections", fmt.Sprint(s.Connections)},
			entry{at + " slots", fmt.Sprint(s.Slots)},
			entry{at + " hold", s.FailoverWait.String()})
		for _, m := range s.Members {
			out = append(out, entry{at + " member " + m.Name, memberText(m)})
		}
		for _, r := range s.Rules {
			out = append(out, entry{at + " reader rule " + r.Kind, "at most " + r.MaxAge.String() + " old"})
		}
		for _, c := range s.Customers {
			users := slices.Sorted(slices.Values(c.Users))
			out = append(out, entry{at + " customer " + c.Name, fmt.Sprintf("share %d, users %s", c.Share, strings.Join(users, " "))})
		}
	}
	for _, u := range d.Users {
		out = append(out, entry{"user " + u.Name, "verifier ending in " + verifierSuffix(u.Verifier)})
	}
	return out
}

func memberText(m Member) string {
	text := m.Address + " in " + m.Zone
	if m.Leaving {
		text += ", leaving"
	}
	return text
}

// verifierSuffix returns enough of a verifier to show that it changed.
func verifierSuffix(verifier string) string {
	return verifier[max(0, len(verifier)-6):]
}
