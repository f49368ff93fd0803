package configurer

import (
	"fmt"
	"time"

	"github.com/oriolegw/oriolegw/internal/inspector"
	"github.com/oriolegw/oriolegw/pkg/verifier"
)

// Limits of a document. They catch wrong units and typing errors, and bound the memory of an
// instance.
const (
	maxServices     = 10000
	maxUsers        = 10000
	maxMembers      = 15
	maxConnections  = 10000
	maxSlots        = 10000
	maxFailoverWait = time.Minute
	maxRules        = 100
	maxAge          = 24 * time.Hour
	maxCustomers    = 1000
	maxShare        = 1000
)

// Check decodes a document and reports all its problems; the document is valid only if there
// are none. The operators' program, the console and the instances use it alike.
func Check(file string, text []byte) (*Document, inspector.Problems) {
	d := &Document{}
	problems := inspector.Read(file, text, func(n inspector.Node) {
		c := reader{
			checkAddress: inspector.Unique("address"),
			checkService: inspector.Unique("service"),
			checkUser:    inspector.Unique("user"),
		}
		n.Object(
			inspector.Required("services", func(n inspector.Node) {
				n.Elements(0, maxServices, func(n inspector.Node) { d.Services = append(d.Services, c.readService(n)) })
			}),
			inspector.Optional("users", func(n inspector.Node) {
				n.Elements(0, maxUsers, func(n inspector.Node) { d.Users = append(d.Users, c.readUser(n)) })
			}),
		)
	})
	return d, problems
}

// reader decodes a document and tracks the names that must be unique in it.
type reader struct {
	checkAddress, checkService, checkUser func(inspector.Node, string)
}

func (r *reader) readService(n inspector.Node) Service {
	var s Service
	var members inspector.Node
	n.Object(
		inspector.Required("name", func(n inspector.Node) { s.Name = n.Name(); r.checkService(n, s.Name) }),
		inspector.Required("members", func(n inspector.Node) { members = n; s.Members = r.readMembers(n) }),
		inspector.Required("connections", func(n inspector.Node) { s.Connections = n.Int(1, maxConnections) }),
		inspector.Required("slots", func(n inspector.Node) { s.Slots = n.Int(0, maxSlots) }),
		inspector.Optional("hold-ms", func(n inspector.Node) { s.FailoverWait = n.Milliseconds(0, maxFailoverWait) }),
		inspector.Optional("reader-rules", func(n inspector.Node) { s.Rules = readRules(n) }),
		inspector.Optional("customers", func(n inspector.Node) { s.Customers = readCustomers(n) }),
	)
	rejectAllLeaving(members, s.Members)
	return s
}

func (r *reader) readMembers(n inspector.Node) []Member {
	var out []Member
	unique := inspector.Unique("member")
	n.Elements(1, maxMembers, func(n inspector.Node) {
		var m Member
		n.Object(
			inspector.Required("name", func(n inspector.Node) { m.Name = n.Name(); unique(n, m.Name) }),
			inspector.Required("address", func(n inspector.Node) { m.Address = n.Address(); r.checkAddress(n, m.Address) }),
			inspector.Required("availability-zone", func(n inspector.Node) { m.Zone = n.Name() }),
			inspector.Optional("leaving", func(n inspector.Node) { m.Leaving = n.Bool() }),
		)
		out = append(out, m)
	})
	return out
}

// rejectAllLeaving reports a group in which all members are leaving, since none could become
// primary.
func rejectAllLeaving(n inspector.Node, members []Member) {
	for _, m := range members {
		if !m.Leaving {
			return
		}
	}
	if len(members) > 0 {
		n.Problem(fmt.Sprintf("all %d members leaving", len(members)), "at least one member that is not leaving")
	}
}

func readRules(n inspector.Node) []ReaderRule {
	var out []ReaderRule
	unique := inspector.Unique("kind")
	n.Elements(0, maxRules, func(n inspector.Node) {
		var r ReaderRule
		n.Object(
			inspector.Required("kind", func(n inspector.Node) { r.Kind = n.Name(); unique(n, r.Kind) }),
			inspector.Required("max-age-ms", func(n inspector.Node) { r.MaxAge = n.Milliseconds(0, maxAge) }),
		)
		out = append(out, r)
	})
	return out
}

func readCustomers(n inspector.Node) []Customer {
	var out []Customer
	uniqueName, uniqueUser := inspector.Unique("customer"), inspector.Unique("user")
	n.Elements(0, maxCustomers, func(n inspector.Node) {
		var c Customer
		n.Object(
			inspector.Required("name", func(n inspector.Node) { c.Name = n.Name(); uniqueName(n, c.Name) }),
			inspector.Required("share", func(n inspector.Node) { c.Share = n.Int(1, maxShare) }),
			inspector.Required("users", func(n inspector.Node) {
				n.Elements(0, maxUsers, func(n inspector.Node) {
					u := n.Text()
					uniqueUser(n, u)
					c.Users = append(c.Users, u)
				})
			}),
		)
		out = append(out, c)
	})
	return out
}

func (r *reader) readUser(n inspector.Node) User {
	var u User
	n.Object(
		inspector.Required("name", func(n inspector.Node) { u.Name = n.Text(); r.checkUser(n, u.Name) }),
		inspector.Required("password-verifier", func(n inspector.Node) {
			u.Verifier = n.Text()
			if _, err := verifier.Parse(u.Verifier); err != nil && u.Verifier != "" {
				n.Problem(err.Error(), "SCRAM-SHA-256$ITERATIONS:SALT$STORED-KEY:SERVER-KEY, as oriolegwctl verifier writes it")
			}
		}),
	)
	return u
}
