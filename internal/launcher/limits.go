package launcher

import (
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/reserver"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// accountantRankKey is the rendezvous hashing key that selects the accountant.
	accountantRankKey = "accounts"
	// holdersTTL is how long the list of connection holders is cached.
	holdersTTL = 500 * time.Millisecond
)

// cached holds a value that is expensive to compute.
type cached[T any] struct {
	mutex sync.Mutex
	value T
	at    tracker.Timestamp
}

// get returns the value, computed again when it is older than ttl.
func (c *cached[T]) get(now tracker.Timestamp, ttl time.Duration, compute func() T) T {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.at == 0 || now-c.at > ttl {
		c.value, c.at = compute(), now
	}
	return c.value
}

func (i *Instance) newAccountant(peers *peerServices) *accountant.Accountant {
	holders := func() []string { return i.holderAddresses(peers) }
	run := uint64(time.Now().UnixNano())
	meter := &limiter.Meter{
		Instance: i.Settings.PeerAddress, Incarnation: run, StartedAt: i.Clock(),
		Instances:      func() int { return max(1, len(holders())) },
		ReportExpected: func() bool { return slices.Contains(holders(), i.Settings.PeerAddress) },
	}
	return (&accountant.Accountant{
		Meter: meter, Reserver: &reserver.Reserver{Meter: meter}, Tabulator: &i.affected,
		Ledger: &limiter.Ledger{Tolerance: i.Settings.LimitTolerance, Incarnation: run, ExpectedInstances: holders},
		Links:  peers.client, Clock: i.Clock, Limit: i.limit, Active: i.customersEnabled, Limits: i.limits, Log: i.LogWriter.Logger("limits").Log,
		Candidates: func() []string { return i.accountantCandidates(peers) },
		Removed:    peers.exchanger.Discoverer.Removed,
		Count:      func(name string) { i.metrics.Counter(metricPrefix + name).Inc(1) },
		NoteFailed: func(address string) { peers.exchanger.Discoverer.RecordFailure(i.Clock(), address) },
	}).Init()
}

// logCustomerChanges logs the customers that a version adds, removes or changes. Of the first
// version it logs only the number of customers, since many instances may restart at once.
func (i *Instance) logCustomerChanges(before, now *tracker.Configuration) {
	if before == nil {
		i.stateLog.Log("event", "customers", "version", now.Version, "customers", now.Customers.Len())
		return
	}
	old := before.Customers
	for c := range now.Customers.All {
		o := old.ByName(c.Name)
		if o == nil || o.Limit != c.Limit || len(o.Keys) != len(c.Keys) {
			i.stateLog.Log("event", "customer", "customer", c.Name, "version", now.Version, "per-second", c.Limit.PerSecond, "burst", c.Limit.Burst, "keys", len(c.Keys), "new", o == nil)
		}
	}
	for c := range old.All {
		if now.Customers.ByName(c.Name) == nil {
			i.stateLog.Log("event", "customer-gone", "customer", c.Name, "version", now.Version)
		}
	}
}

// customersEnabled reports whether clients are assigned to customers.
func (i *Instance) customersEnabled() bool {
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

// limit returns a customer's limit in force, the zero Limit for an unknown customer.
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

// accountantCandidates returns the addresses of the instances that may keep the customers' accounts,
// in the order of weighted rendezvous hashing; "" is this instance. It includes unavailable
// instances: package nominator decides by evidence of its own, and both sides of a partition must
// have the same order.
func (i *Instance) accountantCandidates(peers *peerServices) []string {
	return peers.candidateCache.get(i.Clock(), holdersTTL, func() []string {
		return peers.forwarder.RankInstances(accountantRankKey, peers.exchanger.Discoverer.AllKnown())
	})
}

// holderAddresses returns the instances that hold connections to members: those placed near
// members, or all where connections have no such placement.
func (i *Instance) holderAddresses(peers *peerServices) []string {
	return peers.holderCache.get(i.Clock(), holdersTTL, func() []string {
		i.mutex.Lock()
		members := make(map[string][]string, len(i.members))
		for group, list := range i.members {
			for _, m := range list {
				members[group] = append(members[group], m.ID)
			}
		}
		i.mutex.Unlock()
		if list := peers.forwarder.MemberHolders(members); len(list) > 0 {
			return list
		}
		var all []string
		for _, p := range peers.exchanger.Discoverer.AllKnown() {
			all = append(all, p.Address)
		}
		return all
	})
}
