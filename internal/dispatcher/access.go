package dispatcher

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// revokedKeyGraceFraction is the fraction of Server.MaxConfigurationDelay for which an open
	// transaction may continue after its caller's key was revoked. Most transactions end within it
	// by themselves; the rest of the time is for the change to reach this instance.
	revokedKeyGraceFraction = 0.2
	// uncertainKeyRetryAfter is the retry hint for a key that a configuration not yet
	// received may contain.
	uncertainKeyRetryAfter = 500 * time.Millisecond
)

// access is what the configuration in force grants a caller.
type access struct {
	route   tracker.Route
	backend *Backend
	// customer is the client account reported to members; empty when callers are not
	// identified.
	customer string
}

// authorize resolves the session's database to a route and a customer. Configuration
// changes apply from the next transaction on. On failure it returns the refusal.
func (s *session) authorize(part, id string) (access, messenger.Reply, bool) {
	c := s.server.Configuration()
	r, ok := c.Routes[s.database]
	if !ok {
		if c.Customers != nil && !s.hasKey {
			// Without a database name, the key may be sent instead of it: keep it out of the logs.
			s.database = ""
		}
		return access{}, s.refuse(part, id, messenger.CodeUnknownDatabase, reasonForCode(messenger.CodeUnknownDatabase), s.database, "version", c.Version), false
	}
	customer, known := s.customer(c, r)
	switch {
	case known:
		return access{route: r, backend: s.server.Backend(r.Group), customer: customer}, messenger.Reply{}, true
	case s.server.ConfigurationCurrent != nil && !s.server.ConfigurationCurrent():
		return access{}, s.refuse(part, id, messenger.CodeBusy, ReasonKeyUncertain, retryDetail(ReasonKeyUncertain, uncertainKeyRetryAfter), "version", c.Version), false
	default:
		return access{}, s.refuse(part, id, messenger.CodeDenied, ReasonUnknownKey, string(ReasonUnknownKey)+", not run", "version", c.Version), false
	}
}

// customer returns the client account that the caller acts for on a route.
func (s *session) customer(c *tracker.Configuration, r tracker.Route) (string, bool) {
	switch {
	case c.Customers == nil:
		return "", true
	case r.Anonymous:
		return identifier.Anonymous, true
	case !s.hasKey:
		return "", false
	}
	account, ok := c.Customers.ByKey(s.key)
	if !ok {
		return "", false
	}
	return account.Name, true
}

// checkKey reports whether the open transaction may continue: the caller's key is valid or
// was revoked within the grace period. Otherwise it aborts the transaction, so that an idle
// caller can't keep working for a customer that revoked its key.
func (x *execution) checkKey() (messenger.Reply, bool) {
	s, t := x.session, x.session.tx
	c := s.server.Configuration()
	if customer, ok := s.customer(c, t.route); ok && customer == t.customer {
		t.keyRevokedAt = 0
		return messenger.Reply{}, true
	}
	if t.keyRevokedAt == 0 {
		t.keyRevokedAt = c.AppliedAt
	}
	if s.server.Clock()-t.keyRevokedAt <= time.Duration(revokedKeyGraceFraction*float64(s.server.MaxConfigurationDelay)) {
		return messenger.Reply{}, true
	}
	return x.abort(ReasonKeyRevoked), false
}
