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

// peerServices holds the components that communicate with other instances.
type peerServices struct {
	client    *linker.Client
	server    *linker.Server
	exchanger *exchanger.Exchanger
	forwarder *forwarder.Forwarder
	// accountant enforces the customers' limits.
	accountant *accountant.Accountant
	// holderCache caches the result of holderAddresses.
	holderCache cached[[]string]
}

func (i *Instance) newPeerServices() *peerServices {
	peerLog := i.LogWriter.Logger("peers")
	logger := log.LoggerFunc(func(fields ...any) error {
		peerLog.Log(fields...)
		return nil
	})
	secrets := i.peerSecrets()
	s := &peerServices{client: &linker.Client{Network: i.Network, Secrets: secrets, Versions: linker.CurrentVersions}}
	s.exchanger = &exchanger.Exchanger{
		Discoverer: &discoverer.Discoverer{
			Self:  discoverer.Peer{Name: i.Settings.Name, Address: i.Settings.PeerAddress, Zone: i.Settings.Zone, Millicores: int(i.Settings.Cores * 1000)},
			Seeds: i.Settings.Seeds, SameRegion: i.sameRegion,
		},
		Links: s.client, Clock: i.Clock, StoreState: i.watcher.State, IsReader: i.watcher.IsReader, Store: i.Platform.Store, Log: peerLog.Log,
	}
	s.forwarder = &forwarder.Forwarder{
		Discoverer: s.exchanger.Discoverer, Links: s.client, Codec: i.Platform.MemberCodec, Clock: i.Clock,
		Pool: i.configuredPool, Connections: i.memberConnectionLimit, Customers: i.customerCount, Zones: len(i.Settings.Regions), Draining: i.draining.Load, Log: peerLog.Log,
	}
	s.accountant = i.newAccountant(s)
	s.exchanger.Lend, s.exchanger.Account = s.forwarder.ServeLoans, s.accountant.HandleReport
	s.exchanger.Proofs, s.exchanger.AddProof = i.recentProofs, i.acceptPeerProof
	s.server = &linker.Server{
		Address: i.Settings.PeerAddress, Network: i.Network, Secrets: secrets, Versions: linker.CurrentVersions,
		Log:      logger,
		Count:    func(name string) { i.metrics.Counter(metricPrefix + name).Inc(1) },
		Register: s.exchanger.Register,
	}
	return s
}

// acquisitionRank returns how many instances precede this one in acquiring a group's failover
// lease. Rendezvous hashing spreads the leases of the groups over instances. The last owner
// goes last, since it has probably failed.
func (s *peerServices) acquisitionRank(group, last string) int {
	self := s.exchanger.Discoverer.Self
	list := append(s.exchanger.Discoverer.Peers(s.exchanger.Clock()), self)
	list = ranker.Rank(elector.OwnershipPrefix+group, list, func(p discoverer.Peer) string { return p.Name })
	indexOf := func(name string) int {
		return slices.IndexFunc(list, func(p discoverer.Peer) bool { return p.Name == name })
	}
	rank, lastOwner := indexOf(self.Name), -1
	if i := strings.LastIndex(last, runIDSeparator); i > 0 {
		lastOwner = indexOf(last[:i])
	}
	switch {
	case lastOwner == rank:
		return len(list) - 1
	case lastOwner >= 0 && lastOwner < rank:
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
func (i *Instance) recentProofs() []exchanger.GroupProof {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []exchanger.GroupProof
	now := i.Clock()
	for name, b := range i.backends {
		if p, ok := b.Group.NewestPrimaryProof(); ok && now-p.At < peerProofTimeout {
			list = append(list, exchanger.GroupProof{Group: name, FreshnessProof: p})
		}
	}
	return list
}

// acceptPeerProof records a freshness proof that a peer got from a primary.
func (i *Instance) acceptPeerProof(p exchanger.GroupProof) {
	i.mutex.Lock()
	b := i.backends[p.Group]
	i.mutex.Unlock()
	if b != nil {
		b.acceptPeerProof(p.FreshnessProof)
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
	return i.peers.forwarder.LentCount()
}

// peerSecrets returns the shared secrets of peer authentication. They are the store's address,
// which is not confidential: they only prevent accidental connections between fleets.
func (i *Instance) peerSecrets() []linker.Secret {
	return []linker.Secret{{KeyNumber: 1, Value: []byte(i.Settings.StoreAddress)}}
}
