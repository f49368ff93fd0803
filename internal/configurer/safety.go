package configurer

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// ErrUnsafeChange means that a document must not directly follow another.
var ErrUnsafeChange = errors.New("a version may add or remove one member of a service")

// CheckChange reports whether a document may follow another. Instances apply a version at
// different times, so majorities of both versions must overlap. They do if at most one member
// is added or removed; after a replacement or a changed address, a promotion could miss writes
// acknowledged by the old majority. All violations are returned in one error.
func CheckChange(old, next *Document) error {
	var violations []string
	for _, service := range next.Services {
		previous := old.Service(service.Name)
		if previous == nil {
			continue
		}
		added, removed := membersMissingIn(service.Members, previous.Members), membersMissingIn(previous.Members, service.Members)
		if len(added)+len(removed) > 1 {
			violations = append(violations, "service "+service.Name+" adds ["+strings.Join(added, " ")+"] and removes ["+strings.Join(removed, " ")+"]")
		}
	}
	if len(violations) > 0 {
		return errors.Wrap(ErrUnsafeChange, strings.Join(violations, "; "))
	}
	return nil
}

// membersMissingIn returns the members of a that b lacks. Members are identified by name and
// address: another process with the same name has another log.
func membersMissingIn(a, b []Member) []string {
	var out []string
	for _, m := range a {
		same := func(n Member) bool { return n.Name == m.Name && n.Address == m.Address }
		if !slices.ContainsFunc(b, same) {
			out = append(out, m.Name+" "+m.Address)
		}
	}
	return out
}

// HasMember reports whether the service has a member with the name.
func (s *Service) HasMember(name string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == name })
}
