package configurer

import "slices"

// Holds reports whether the service has a member of the name.
func (s *Service) Holds(name string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == name })
}
