package dispatcher

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file decides for whom a caller's statements run, and where.

const (
	// withdrawnPart is the part of the time until a change must be in force for which an
	// open transaction may go on after its caller's key was taken away: most end within it
	// by themselves, and the rest is for the change to get here.
	withdrawnPart = 0.2
	// uncertainComeBack is what a caller is told whose key may be in a configuration that
	// has not come here yet: instances ask each other twice a second.
	uncertainComeBack = 500 * time.Millisecond
)

// access is what the configuration in force allows a caller.
type access struct {
	route   tracker.Route
	backend *Backend
	// customer is for whom members are told that the statement runs; "" where callers are
	// not told apart.
	customer string
}

// access finds where the session's database leads now, and for whom. A change binds from the
// next transaction on, of routes as of keys. Where there is no way, the reply tells why.
func (s *session) access(part, id string) (access, messenger.Reply, bool) {
	c := s.server.Configuration()
	r, ok := c.Routes[s.database]
	if !ok {
		if c.Customers != nil && !s.hasKey {
			// A caller that leaves the database out presents its key in that place.
			s.database = ""
		}
		return access{}, s.refuse(part, id, messenger.CodeUnknownDatabase, reasonOfCode(messenger.CodeUnknownDatabase), s.database, "version", c.Version), false
	}
	customer, known := s.customer(c, r)
	switch {
	case known:
		return access{route: r, backend: s.server.Backend(r.Group), customer: customer}, messenger.Reply{}, true
	case s.server.Current != nil && !s.server.Current():
		return access{}, s.refuse(part, id, messenger.CodeBusy, ReasonKeyUncertain, retryText(ReasonKeyUncertain, uncertainComeBack), "version", c.Version), false
	default:
		return access{}, s.refuse(part, id, messenger.CodeDenied, ReasonUnknownKey, string(ReasonUnknownKey)+", not run", "version", c.Version), false
	}
}

// customer returns for whom the caller acts on a route, if that is known.
func (s *session) customer(c *tracker.Configuration, r tracker.Route) (string, bool) {
	switch {
	case c.Customers == nil:
		return "", true
	case r.Anonymous:
		return identifier.Anonymous, true
	case !s.hasKey:
		return "", false
	}
	holder, ok := c.Customers.ByKey(s.key)
	if !ok {
		return "", false
	}
	return holder.Name, true
}

// keyHeld reports whether the open transaction may go on: the caller's key is still the
// customer's, or was taken away only a moment ago. Else it is rolled back. Without this, a
// caller that rests between statements would go on working for a customer that has locked
// it out.
func (x *exchange) keyHeld() (messenger.Reply, bool) {
	s, t := x.session, x.session.tx
	c := s.server.Configuration()
	if customer, ok := s.customer(c, t.route); ok && customer == t.customer {
		t.keyLost = 0
		return messenger.Reply{}, true
	}
	if t.keyLost == 0 {
		t.keyLost = c.AppliedAt
	}
	if s.server.Clock()-t.keyLost <= time.Duration(withdrawnPart*float64(s.server.InForce)) {
		return messenger.Reply{}, true
	}
	return x.abort(ReasonKeyWithdrawn), false
}
