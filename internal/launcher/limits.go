package launcher

import (
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file tells the accountant who keeps customers' accounts, and who reports to it.

const (
	// accountsKey ranks the instances.
	accountsKey = "accounts"
	// lendersFor is how long the list of instances that lend is kept.
	lendersFor = 500 * time.Millisecond
)

// cached keeps a value that is costly to work out.
type cached[T any] struct {
	mutex sync.Mutex
	value T
	at    tracker.Timestamp
}

// get returns the value, made anew when it is older than lasts.
func (c *cached[T]) get(now tracker.Timestamp, lasts time.Duration, compute func() T) T {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.at == 0 || now-c.at > lasts {
		c.value, c.at = compute(), now
	}
	return c.value
}

func (i *Instance) openAccountant(n *neighbours) *accountant.Accountant {
	lenders := func() []string { return i.lenders(n) }
	run := uint64(time.Now().UnixNano())
	return (&accountant.Accountant{
		Meter: &limiter.Meter{
			Instance: i.Settings.Peers, Incarnation: run,
			Instances:      func() int { return max(1, len(lenders())) },
			ReportExpected: func() bool { return slices.Contains(lenders(), i.Settings.Peers) },
		},
		Ledger: &limiter.Ledger{Tolerance: i.Settings.Limits, Incarnation: run, ExpectedInstances: lenders},
		Links:  n.client, Clock: i.Clock, Limit: i.limit, Active: i.tellsApart, Limits: i.limits, Log: i.Journal.Kind("limits").Log,
		CurrentAccountant: func() (string, bool) { return i.keepsAccounts(n) },
		NoteFailed:        func(address string) { n.teller.Discoverer.RecordFailure(i.Clock(), address) },
	}).Init()
}

// noteCustomers logs which customers a version adds, takes away or changes. The first version
// is told by its number only: all instances of a fleet that has lost power would write a line
// for each customer in the moment in which callers come back.
func (i *Instance) noteCustomers(before, now *tracker.Configuration) {
	if before == nil {
		i.belief.Log("event", "customers", "version", now.Version, "customers", now.Customers.Len())
		return
	}
	old := before.Customers
	for c := range now.Customers.All {
		o := old.ByName(c.Name)
		if o == nil || o.Limit != c.Limit || len(o.Keys) != len(c.Keys) {
			i.belief.Log("event", "customer", "customer", c.Name, "version", now.Version, "per-second", c.Limit.PerSecond, "burst", c.Limit.Burst, "keys", len(c.Keys), "new", o == nil)
		}
	}
	for c := range old.All {
		if now.Customers.ByName(c.Name) == nil {
			i.belief.Log("event", "customer-gone", "customer", c.Name, "version", now.Version)
		}
	}
}

// tellsApart reports whether callers are told apart by their customers.
func (i *Instance) tellsApart() bool {
	c := i.configuration.Load()
	return c != nil && c.Customers != nil
}

// limits returns the limits of all customers.
func (i *Instance) limits() map[string]identifier.Limit {
	c := i.configuration.Load()
	if c == nil {
		return nil
	}
	limits := make(map[string]identifier.Limit, c.Customers.Len())
	for x := range c.Customers.All {
		limits[x.Name] = x.Limit
	}
	return limits
}

// limit returns a customer's limit as it is in force.
func (i *Instance) limit(customer string) identifier.Limit {
	c := i.configuration.Load()
	if c == nil {
		return identifier.Limit{}
	}
	x := c.Customers.ByName(customer)
	if x == nil {
		return identifier.Limit{}
	}
	return x.Limit
}

// keepsAccounts returns who keeps the customers' accounts: the first by rendezvous hashing of
// the instances that may live, larger ones more likely. Nothing has to be agreed on: whoever
// takes another for the accountant has its part of the limits there.
func (i *Instance) keepsAccounts(n *neighbours) (address string, self bool) {
	first := n.carrier.PreferredInstance(accountsKey, n.teller.Discoverer.AllAvailable(i.Clock()))
	if first.Name == i.Settings.Name {
		return "", true
	}
	return first.Address, false
}

// lenders lists the instances that lend connections to members: those beside them, or all
// where connections are not placed so.
func (i *Instance) lenders(n *neighbours) []string {
	return n.lenders.get(i.Clock(), lendersFor, func() []string {
		i.mutex.Lock()
		members := make(map[string][]string, len(i.members))
		for group, list := range i.members {
			for _, m := range list {
				members[group] = append(members[group], m.ID)
			}
		}
		i.mutex.Unlock()
		if list := n.carrier.MemberHolders(members); len(list) > 0 {
			return list
		}
		var all []string
		for _, p := range n.teller.Discoverer.AllKnown() {
			all = append(all, p.Address)
		}
		return all
	})
}
