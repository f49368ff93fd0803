package configurer

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// ErrUnsafeChange means that a document must not follow another directly.
var ErrUnsafeChange = errors.New("a version may add or remove one member of a service")

// CheckChange reports whether a document may follow another. Instances take a
// version over at different moments, so majorities of neighbouring versions
// count at the same time. One member added or removed leaves any majority of the
// one with a member in common with any of the other; with a member replaced, or
// moved to another address, {1,2} of the old and {3,4} of the new share none,
// and a write that the old one acknowledged is lost by a promotion of the new.
// All faults are returned, joined.
func CheckChange(old, next *Document) error {
	var faults []string
	for _, n := range next.Services {
		o := old.Service(n.Name)
		if o == nil {
			continue
		}
		added, removed := without(n.Members, o.Members), without(o.Members, n.Members)
		if len(added)+len(removed) > 1 {
			faults = append(faults, "service "+n.Name+" adds ["+strings.Join(added, " ")+"] and removes ["+strings.Join(removed, " ")+"]")
		}
	}
	if len(faults) > 0 {
		return errors.Wrap(ErrUnsafeChange, strings.Join(faults, "; "))
	}
	return nil
}

// without names the members of a that b lacks. A member is its name and its
// address: another process under the same name has another log.
func without(a, b []Member) []string {
	var out []string
	for _, m := range a {
		same := func(n Member) bool { return n.Name == m.Name && n.Address == m.Address }
		if !slices.ContainsFunc(b, same) {
			out = append(out, m.Name+" "+m.Address)
		}
	}
	return out
}

// Holds reports whether the service has a member of the name.
func (s *Service) Holds(name string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == name })
}
