// Package configurer defines the document in which operators declare services, validates it,
// and determines which version of it is in force.
package configurer

import (
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
)

type (
	// Document is the configuration of a fleet.
	Document struct {
		Services []Service
		// Users are the users that may connect where password authentication is enabled.
		Users []User
	}

	// User is a client user and its password verifier.
	User struct {
		Name string
		// Verifier is derived from the password by the verifier package; the password itself is
		// not stored.
		Verifier string
	}

	// Service is a database group with its members, reader rules and connection budget. Clients
	// connect to it as their database.
	Service struct {
		Name    string
		Members []Member
		// Connections is the budget: the maximum number of connections from all instances to
		// all members of the group.
		Connections int
		// Slots is the number of statements that a member runs concurrently.
		Slots int
		// FailoverWait is how long a request that has not run yet waits for a primary.
		FailoverWait time.Duration
		// Rules bound the staleness of reads by kind of request.
		Rules []ReaderRule
		// Customers are the client accounts that share the service.
		Customers []Customer
	}

	// Member is a target of a group.
	Member struct {
		Name    string
		Address string
		Zone    string
		// Leaving members receive no new requests; a leaving primary is replaced first.
		Leaving bool
	}

	// ReaderRule bounds the staleness of reads for a kind of request. Clients specify the kind
	// in a leading comment, /* kind=drop-status */, or in the parameter oriole.kind.
	ReaderRule struct {
		Kind string
		// MaxAge is the staleness bound; 0 sends the request to the primary.
		MaxAge time.Duration
	}

	// Customer is a client account with the users that belong to it. API keys and rate limits
	// are not part of this document.
	Customer = identifier.Customer
)

// DefaultKind is the kind of requests that specify none.
const DefaultKind = "default"

// Service returns the service with the name, or nil.
func (d *Document) Service(name string) *Service {
	if d == nil {
		return nil
	}
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Services[i]
}

// Verifier returns a user's password verifier, or "" if there is no such user.
func (d *Document) Verifier(user string) string {
	for _, u := range d.Users {
		if u.Name == user {
			return u.Verifier
		}
	}
	return ""
}

// MaxAge returns the staleness bound for a kind of request; known is false if the service has a
// rule neither for it nor for the default kind.
func (s *Service) MaxAge(kind string) (age time.Duration, known bool) {
	for _, k := range []string{kind, DefaultKind} {
		for _, r := range s.Rules {
			if r.Kind == k {
				return r.MaxAge, true
			}
		}
	}
	return 0, false
}

// Quorum returns the number of members in a majority.
func (s *Service) Quorum() int { return len(s.Members)/2 + 1 }
