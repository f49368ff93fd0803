package configurer

import (
	"fmt"
	"slices"
	"strings"
)

type (
	// Change is one difference between two documents. An empty Old was added,
	// an empty New removed.
	Change struct {
		// Path names the thing: "service lockers member m1".
		Path     string
		Old, New string
	}

	fact struct{ path, value string }
)

// String is one line: "+ path: value", "- path: value" or "~ path: old -> new".
func (c Change) String() string {
	switch {
	case c.Old == "":
		return "+ " + c.Path + ": " + c.New
	case c.New == "":
		return "- " + c.Path + ": " + c.Old
	}
	return "~ " + c.Path + ": " + c.Old + " -> " + c.New
}

// Diff lists what differs between two documents, by names: the order of
// services, members, rules and customers means nothing, nor do comments. Either
// may be nil, for none.
func Diff(old, now *Document) []Change {
	before, after := facts(old), facts(now)
	var out []Change
	for _, f := range after {
		if o := value(before, f.path); o != f.value {
			out = append(out, Change{Path: f.path, Old: o, New: f.value})
		}
	}
	for _, f := range before {
		if value(after, f.path) == "" {
			out = append(out, Change{Path: f.path, Old: f.value})
		}
	}
	return out
}

func value(list []fact, path string) string {
	i := slices.IndexFunc(list, func(f fact) bool { return f.path == path })
	if i < 0 {
		return ""
	}
	return list[i].value
}

// facts flattens a document into lines that have a name and a value.
func facts(d *Document) []fact {
	if d == nil {
		return nil
	}
	var out []fact
	for _, s := range d.Services {
		at := "service " + s.Name
		out = append(out,
			fact{at + " connections", fmt.Sprint(s.Connections)},
			fact{at + " slots", fmt.Sprint(s.Slots)},
			fact{at + " hold", s.Hold.String()})
		for _, m := range s.Members {
			out = append(out, fact{at + " member " + m.Name, memberText(m)})
		}
		for _, r := range s.Rules {
			out = append(out, fact{at + " reader rule " + r.Kind, "at most " + r.MaxAge.String() + " old"})
		}
		for _, c := range s.Customers {
			users := slices.Sorted(slices.Values(c.Users))
			out = append(out, fact{at + " customer " + c.Name, fmt.Sprintf("share %d, users %s", c.Share, strings.Join(users, " "))})
		}
	}
	for _, u := range d.Users {
		out = append(out, fact{"user " + u.Name, "verifier ending in " + tail(u.Verifier)})
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

// tail shows enough of a verifier to see that it changed.
func tail(verifier string) string {
	return verifier[max(0, len(verifier)-6):]
}
