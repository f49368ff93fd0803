package launcher

import (
	"slices"
	"strings"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/exchanger"
	"github.com/oriolegw/oriolegw/internal/forwarder"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/ranker"
)

// neighbours is what connects an instance with the others.
type neighbours struct {
	client  *linker.Client
	server  *linker.Server
	teller  *exchanger.Exchanger
	carrier *forwarder.Forwarder
	// accountant keeps customers to their limits.
	accountant *accountant.Accountant
	// lenders are the instances that lend connections beside members.
	lenders cached[[]string]
}

func (i *Instance) openNeighbours() *neighbours {
	kind := i.Journal.Kind("peers")
	logger := log.LoggerFunc(func(fields ...any) error {
		kind.Log(fields...)
		return nil
	})
	secrets := i.fleetKey()
	n := &neighbours{client: &linker.Client{Network: i.Network, Secrets: secrets, Versions: linker.CurrentVersions}}
	n.teller = &exchanger.Exchanger{
		Discoverer: &discoverer.Discoverer{
			Self:  discoverer.Peer{Name: i.Settings.Name, Address: i.Settings.Peers, Zone: i.Settings.Zone, Millicores: int(i.Settings.Cores * 1000)},
			Seeds: i.Settings.Seeds, SameRegion: i.near,
		},
		Links: n.client, Clock: i.Clock, StoreState: i.watch.State, IsReader: i.watch.IsReader, Store: i.Platform.Store, Log: kind.Log,
	}
	n.carrier = &forwarder.Forwarder{
		Discoverer: n.teller.Discoverer, Links: n.client, Codec: i.Platform.MemberCodec, Clock: i.Clock,
		Pool: i.poolOf, Connections: i.connections, Customers: i.customers, Zones: len(i.Settings.Regions), Draining: i.leaving.Load, Log: kind.Log,
	}
	n.accountant = i.openAccountant(n)
	n.teller.Lend, n.teller.Account = n.carrier.ServeLoans, n.accountant.HandleReport
	n.teller.Proofs, n.teller.AddProof = i.proofs, i.heardProof
	n.server = &linker.Server{
		Address: i.Settings.Peers, Network: i.Network, Secrets: secrets, Versions: linker.CurrentVersions,
		Log:      logger,
		Count:    func(name string) { i.metrics.Counter(metricPrefix + name).Inc(1) },
		Register: n.teller.Register,
	}
	return n
}

// turn returns how many instances go before this one in taking a group's duty, by
// rendezvous hashing: each group has its own order, so duties spread. The last holder goes
// last, since it has just died or been cut off.
func (n *neighbours) turn(group, last string) int {
	self := n.teller.Discoverer.Self
	list := append(n.teller.Discoverer.Peers(n.teller.Clock()), self)
	list = ranker.Rank(elector.OwnershipPrefix+group, list, func(p discoverer.Peer) string { return p.Name })
	at := func(name string) int {
		return slices.IndexFunc(list, func(p discoverer.Peer) bool { return p.Name == name })
	}
	turn, holder := at(self.Name), -1
	if i := strings.LastIndex(last, lifeSeparator); i > 0 {
		holder = at(last[:i])
	}
	switch {
	case holder == turn:
		return len(list) - 1
	case holder >= 0 && holder < turn:
		return turn - 1
	default:
		return turn
	}
}

// poolOf returns the connections of a group that is in force, nil of any other: a peer can't
// have this instance keep state for names that it makes up.
func (i *Instance) poolOf(group string) *lender.Pool {
	c := i.configuration.Load()
	if c == nil {
		return nil
	}
	if _, ok := c.Groups[group]; !ok {
		return nil
	}
	return i.backend(group).Pool
}

// proofs returns what primaries have proved to this instance a short time ago.
func (i *Instance) proofs() []exchanger.GroupProof {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []exchanger.GroupProof
	now := i.Clock()
	for name, b := range i.backends {
		if p, ok := b.Group.NewestPrimaryProof(); ok && now-p.At < toldFor {
			list = append(list, exchanger.GroupProof{Group: name, FreshnessProof: p})
		}
	}
	return list
}

// heardProof takes in what a primary has proved to another instance.
func (i *Instance) heardProof(p exchanger.GroupProof) {
	i.mutex.Lock()
	b := i.backends[p.Group]
	i.mutex.Unlock()
	if b != nil {
		b.hear(p.FreshnessProof)
	}
}

// connections returns how many connections a member of a group takes.
func (i *Instance) connections(group string) int {
	c := i.configuration.Load()
	if c == nil {
		return 0
	}
	return c.Groups[group].Connections
}

// customers returns how many customers' connections are told apart.
func (i *Instance) customers() int {
	c := i.configuration.Load()
	if c == nil {
		return 1
	}
	return max(1, c.Customers.Len())
}

// lent returns how many connections are lent to other instances.
func (i *Instance) lent() int {
	if i.peers == nil {
		return 0
	}
	return i.peers.carrier.LentCount()
}

// fleetKey is what instances prove to each other. The platform gives them no secret, so it
// only keeps instances of two fleets from taking each other for peers by mistake: whoever
// can reach the port can learn the store's address as well.
func (i *Instance) fleetKey() []linker.Secret {
	return []linker.Secret{{KeyNumber: 1, Value: []byte(i.Settings.Store)}}
}
