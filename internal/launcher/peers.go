package launcher

import (
	"slices"
	"strings"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/carrier"
	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/ranker"
	"github.com/oriolegw/oriolegw/internal/teller"
)

// peerServices holds the components that communicate with other instances.
type peerServices struct {
	client  *linker.Client
	server  *linker.Server
	teller  *teller.Teller
	carrier *carrier.Carrier
	// accountant enforces the customers' limits.
	accountant *accountant.Accountant
	// lenderCache caches the result of lenderAddresses.
	lenderCache cached[[]string]
}

func (i *Instance) newPeerServices() *peerServices {
	kind := i.Journal.Kind("peers")
	logger := log.LoggerFunc(func(fields ...any) error {
		kind.Log(fields...)
		return nil
	})
	secrets := i.peerSecrets()
	n := &peerServices{client: &linker.Client{Network: i.Network, Secrets: secrets, Versions: linker.CurrentVersions}}
	n.teller = &teller.Teller{
		Introducer: &introducer.Introducer{
			Self:  introducer.Peer{Name: i.Settings.Name, Address: i.Settings.Peers, Zone: i.Settings.Zone, Millicores: int(i.Settings.Cores * 1000)},
			Seeds: i.Settings.Seeds, Near: i.sameRegion,
		},
		Links: n.client, Clock: i.Clock, Known: i.watcher.Known, Reads: i.watcher.Reads, Store: i.Platform.Store, Log: kind.Log,
	}
	n.carrier = &carrier.Carrier{
		Introducer: n.teller.Introducer, Links: n.client, Codec: i.Platform.MemberCodec, Clock: i.Clock,
		Pool: i.configuredPool, Connections: i.memberConnectionLimit, Customers: i.customerCount, Zones: len(i.Settings.Regions), Leaving: i.draining.Load, Log: kind.Log,
	}
	n.accountant = i.newAccountant(n)
	n.teller.Lend, n.teller.Account = n.carrier.Lend, n.accountant.Answer
	n.teller.Proofs, n.teller.Prove = i.recentProofs, i.acceptPeerProof
	n.server = &linker.Server{
		Address: i.Settings.Peers, Network: i.Network, Secrets: secrets, Versions: linker.CurrentVersions,
		Log:      logger,
		Count:    func(name string) { i.metrics.Counter(metricPrefix + name).Inc(1) },
		Register: n.teller.Register,
	}
	return n
}

// acquisitionRank returns how many instances precede this one in acquiring a group's failover
// lease. Rendezvous hashing spreads the leases of the groups over instances. The last holder
// goes last, since it has probably failed.
func (n *peerServices) acquisitionRank(group, last string) int {
	self := n.teller.Introducer.Self
	list := append(n.teller.Introducer.Peers(n.teller.Clock()), self)
	list = ranker.Rank(elector.DutyPrefix+group, list, func(p introducer.Peer) string { return p.Name })
	indexOf := func(name string) int {
		return slices.IndexFunc(list, func(p introducer.Peer) bool { return p.Name == name })
	}
	rank, holder := indexOf(self.Name), -1
	if i := strings.LastIndex(last, runIDSeparator); i > 0 {
		holder = indexOf(last[:i])
	}
	switch {
	case holder == rank:
		return len(list) - 1
	case holder >= 0 && holder < rank:
		return rank - 1
	default:
		return rank
	}
}

// configuredPool returns the pool of a configured group, nil for any other name, so that peers
// can't make this instance allocate state for arbitrary names.
func (i *Instance) configuredPool(group string) *lender.Pool {
	c := i.configuration.Load()
	if c == nil {
		return nil
	}
	if _, ok := c.Groups[group]; !ok {
		return nil
	}
	return i.backend(group).Pool
}

// recentProofs returns the groups' recent freshness proofs that this instance got from primaries.
func (i *Instance) recentProofs() []teller.GroupProof {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []teller.GroupProof
	now := i.Clock()
	for name, b := range i.backends {
		if p, ok := b.Group.FromPrimary(); ok && now-p.At < peerProofTimeout {
			list = append(list, teller.GroupProof{Group: name, Proof: p})
		}
	}
	return list
}

// acceptPeerProof records a freshness proof that a peer got from a primary.
func (i *Instance) acceptPeerProof(p teller.GroupProof) {
	i.mutex.Lock()
	b := i.backends[p.Group]
	i.mutex.Unlock()
	if b != nil {
		b.acceptPeerProof(p.Proof)
	}
}

// memberConnectionLimit returns how many connections a member of a group accepts.
func (i *Instance) memberConnectionLimit(group string) int {
	c := i.configuration.Load()
	if c == nil {
		return 0
	}
	return c.Groups[group].Connections
}

// customerCount returns the number of customers whose connections are kept separate, at least 1.
func (i *Instance) customerCount() int {
	c := i.configuration.Load()
	if c == nil {
		return 1
	}
	return max(1, c.Customers.Len())
}

// lentConnections returns the number of connections lent to peers.
func (i *Instance) lentConnections() int {
	if i.peers == nil {
		return 0
	}
	return i.peers.carrier.Lent()
}

// peerSecrets returns the shared secrets of peer authentication. They are the store's address,
// which is not confidential: they only prevent accidental connections between fleets.
func (i *Instance) peerSecrets() []linker.Secret {
	return []linker.Secret{{Number: 1, Value: []byte(i.Settings.Store)}}
}
