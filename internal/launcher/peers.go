package launcher

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/concentrator"
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
	// candidateCache caches the result of accountantCandidates.
	candidateCache cached[[]string]
	// ownerRanks caches the instances of this zone by bucket of groups, in the order in which
	// they acquire its groups. Only the elector's loop uses the map.
	ownerRanks cached[map[string][]string]
}

// ownerRanksTTL is how long ownerRanks is cached. All groups of a bucket are usually acquired at
// once.
const ownerRanksTTL = 500 * time.Millisecond

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
		Links: s.client, Clock: i.Clock, StoreState: i.watcher.State, IsReader: i.watcher.IsReader, FollowsReader: i.watcher.FollowsReader, Store: i.Platform.Store, Log: peerLog.Log,
	}
	s.forwarder = &forwarder.Forwarder{
		Discoverer: s.exchanger.Discoverer, Links: s.client, Codec: i.Platform.MemberCodec, Clock: i.Clock,
		Pool: i.configuredPool, MemberZone: i.memberZone, Connections: i.memberConnectionLimit, Customers: i.customerCount, Zones: len(i.Settings.Regions), Draining: i.draining.Load, Log: peerLog.Log,
		Count: func(name string) { i.metrics.Counter(metricPrefix + name).Inc(1) },
	}
	s.accountant = i.newAccountant(s)
	s.exchanger.GrantLeases = i.grantLeases
	s.exchanger.Lend, s.exchanger.Account = s.forwarder.ServeLoans, s.accountant.HandleReport
	s.exchanger.Proofs, s.exchanger.AddProof = i.recentProofs, i.acceptPeerProof
	s.exchanger.Loads, s.exchanger.AddLoad = i.recentLoads, i.acceptPeerLoad
	s.exchanger.TakeReads, s.exchanger.RecordPeerReads = i.takeReads, i.recordPeerReads
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
func (i *Instance) acquisitionRank(group, last string) int {
	c := i.configuration.Load()
	if preparesAll(c) {
		d := i.peers.exchanger.Discoverer
		list := append(d.Peers(i.Clock()), d.Self)
		list = ranker.Rank(elector.OwnershipPrefix+group, list, func(p discoverer.Peer) string { return p.Name })
		names := make([]string, len(list))
		for n, p := range list {
			names[n] = p.Name
		}
		return rankWithoutLast(names, i.Settings.Name, last)
	}
	return i.zoneAcquisitionRank(elector.Bucket(group, len(c.Groups)), last)
}

// zoneAcquisitionRank is acquisitionRank for one of many buckets of groups. Each has a zone whose
// instances come first, since an instance knows all instances of its own zone only. The first
// instances of the other zones follow, in case the zone has failed.
func (i *Instance) zoneAcquisitionRank(bucket, last string) int {
	key := elector.OwnershipPrefix + bucket
	zones := ranker.Rank(key, slices.Sorted(maps.Keys(i.Settings.Regions)), func(zone string) string { return zone })
	order := i.peers.ownerRanks.get(i.Clock(), ownerRanksTTL, func() map[string][]string { return map[string][]string{} })
	names, ok := order[bucket]
	if !ok {
		var list []concentrator.Candidate
		for _, p := range i.peers.exchanger.Discoverer.OwnZone(i.Clock()) {
			list = append(list, concentrator.Candidate{Name: p.Name, Millicores: p.Millicores})
		}
		names = concentrator.RankHolders(key, list)
		order[bucket] = names
	}
	rank, zone := rankWithoutLast(names, i.Settings.Name, last), slices.Index(zones, i.Settings.Zone)
	if zone <= 0 {
		return rank
	}
	return (rank+1)*len(zones) + zone
}

// rankWithoutLast returns the index of an instance in a list without the last owner, which comes
// last itself.
func rankWithoutLast(names []string, self, last string) int {
	rank, lastOwner := slices.Index(names, self), slices.Index(names, instanceOfOwner(last))
	switch {
	case lastOwner == rank:
		return len(names) - 1
	case lastOwner >= 0 && lastOwner < rank:
		return rank - 1
	default:
		return rank
	}
}

// instanceOfOwner returns the name of the instance in the name of an owner's process.
func instanceOfOwner(owner string) string {
	if i := strings.LastIndex(owner, runIDSeparator); i > 0 {
		return owner[:i]
	}
	return ""
}

// configuredPool returns the pool of a configured group, nil for any other name, so that peers
// can't make this instance allocate state for arbitrary names. While no configuration is known, it
// waits for one: a borrower that is told that this holder can't lend uses the next holder or its own
// connections for a second, and after a restart of all instances members have no room for these.
func (i *Instance) configuredPool(group string) *lender.Pool {
	i.awaitConfigured()
	c := i.configuration.Load()
	if c == nil {
		return nil
	}
	if _, ok := c.Groups[group]; !ok {
		return nil
	}
	return i.backend(group).Pool
}

// memberZone returns the availability zone of a member, "" if it is unknown.
func (i *Instance) memberZone(group, member string) string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, m := range i.members[group] {
		if m.ID == member {
			return m.Zone
		}
	}
	return ""
}

// recentProofs returns the recent freshness proofs of groups that this instance got from
// primaries, of all groups if the list is nil.
func (i *Instance) recentProofs(groups []string) []exchanger.GroupProof {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if groups == nil {
		groups = slices.Collect(maps.Keys(i.backends))
	}
	var list []exchanger.GroupProof
	now := i.Clock()
	for _, name := range groups {
		b, ok := i.backends[name]
		if !ok {
			continue
		}
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
