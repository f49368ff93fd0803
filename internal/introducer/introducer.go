// Package introducer keeps the list of peer instances and selects the ones to contact. It
// does no I/O and reads no clock; callers pass observations and timestamps.
package introducer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// maxFailures is how many consecutive failed calls make a peer unavailable. A single
	// failure may only be a stale connection.
	maxFailures = 2
	// unavailablePeriod is how long a peer is unavailable after its last failure.
	unavailablePeriod = 5 * time.Second
	// peerRetention is how long a failing peer is kept after it was last seen.
	peerRetention = 2 * time.Minute
	// maxPeersNearZone and maxPeersRemoteZone bound the peers kept of each zone inside and
	// outside the region. A region must be complete, so that its instances agree on the
	// readers of the store; with Wide, maxPeersNearZone applies to all zones.
	maxPeersNearZone, maxPeersRemoteZone = 256, 8
	// maxPeersInReply bounds the peers listed in a reply.
	maxPeersInReply = 32
	// monitoredPeers is how many peers an instance contacts regularly. More than one, so that
	// instances that fail together are still monitored.
	monitoredPeers = 3
)

// Distances between zones.
const (
	zoneDistance = iota
	regionDistance
	farDistance
)

type (
	// Peer is another instance.
	Peer struct {
		Name, Address, Zone string
		// Millicores is its CPU limit in thousandths of a core, 0 if unknown.
		Millicores int
	}

	// Introducer keeps the known peers. Set the exported fields before use. It is safe for
	// concurrent use.
	Introducer struct {
		Self Peer
		// Seeds are the addresses of potential peers.
		Seeds []string
		// Near reports whether a zone is in this instance's region.
		Near func(zone string) bool
		// Wide keeps the peers of all zones, so that instances which borrow connections
		// across regions select the same lenders.
		Wide atomic.Bool

		mutex sync.Mutex
		peers map[string]*peerState
		// added counts the peers added since the start.
		added int
	}

	peerState struct {
		Peer
		// lastSeen is when the peer was last in contact or listed by another peer.
		lastSeen tracker.Stamp
		// contacted is set once the peer has sent a request or a reply.
		contacted bool
		// failures counts the consecutive failed calls. The first was at failingSince, the last
		// at failedAt.
		failures               int
		failingSince, failedAt tracker.Stamp
	}
)

// Met records a request or reply of a peer. It removes other peers with the same address.
func (i *Introducer) Met(now tracker.Stamp, p Peer) {
	if p.Name == "" || p.Address == "" || p.Name == i.Self.Name {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, k := range i.peers {
		if k.Address == p.Address && name != p.Name {
			delete(i.peers, name)
		}
	}
	k := i.peerState(p)
	*k = peerState{Peer: p, lastSeen: now, contacted: true}
	i.evict(p.Zone)
}

// HeardOf records a peer listed by another instance. It does not imply that the peer is
// available.
func (i *Introducer) HeardOf(now tracker.Stamp, p Peer) {
	if p.Name == "" || p.Address == "" || p.Name == i.Self.Name || p.Address == i.Self.Address {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if k, ok := i.peers[p.Name]; ok && k.contacted {
		return
	}
	i.peerState(p).lastSeen = now
	i.evict(p.Zone)
}

// peerState returns the state of a peer, which it adds if it is unknown.
func (i *Introducer) peerState(p Peer) *peerState {
	if i.peers == nil {
		i.peers = map[string]*peerState{}
	}
	k, ok := i.peers[p.Name]
	if !ok {
		k = &peerState{Peer: p}
		i.peers[p.Name] = k
		i.added++
	}
	return k
}

// Added returns how many peers were added since the start. Callers that cache results derived
// from the peers use it to detect changes.
func (i *Introducer) Added() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.added
}

// Failed records a failed call to an address.
func (i *Introducer) Failed(now tracker.Stamp, address string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, k := range i.peers {
		if k.Address != address {
			continue
		}
		if k.failures == 0 {
			k.failingSince = now
		}
		k.failures, k.failedAt = k.failures+1, now
		if now-k.lastSeen > peerRetention {
			delete(i.peers, name)
		}
	}
}

// Failing reports whether the last call to a peer failed, and since when all calls have failed.
func (i *Introducer) Failing(name string) (bool, tracker.Stamp) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	k, ok := i.peers[name]
	if !ok || k.failures == 0 {
		return false, 0
	}
	return true, k.failingSince
}

// Peers returns the available peers, nearest zones first. The order within a zone is random
// to distribute the requests.
func (i *Introducer) Peers(now tracker.Stamp) []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []Peer
	for _, k := range i.peers {
		if k.available(now) {
			list = append(list, k.Peer)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b Peer) int { return cmp.Compare(i.distance(a), i.distance(b)) })
	return list
}

// Addresses returns at most n addresses to contact: those of available peers, nearest first,
// then the seeds.
func (i *Introducer) Addresses(now tracker.Stamp, n int) []string {
	var list []string
	for _, p := range i.Peers(now) {
		list = append(list, p.Address)
	}
	for _, s := range i.Seeds {
		if s != i.Self.Address && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list[:min(n, len(list))]
}

// Guarded returns the peers that this instance contacts regularly: its successors in the
// cyclic order of names in its zone. Each instance thus is contacted by a few peers, also
// after a restart without any state.
func (i *Introducer) Guarded() []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []Peer
	for _, k := range i.peers {
		if k.Zone == i.Self.Zone {
			list = append(list, k.Peer)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(compareBool(a.Name < i.Self.Name, b.Name < i.Self.Name), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(monitoredPeers, len(list))]
}

// compareBool compares two booleans; false is less than true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Unmet returns at most n available peers without any contact so far.
func (i *Introducer) Unmet(now tracker.Stamp, n int) []Peer {
	list := i.Peers(now)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	list = slices.DeleteFunc(list, func(p Peer) bool { k := i.peers[p.Name]; return k == nil || k.contacted })
	return list[:min(n, len(list))]
}

// Told returns the peers to list in a reply.
func (i *Introducer) Told(now tracker.Stamp) []Peer {
	list := i.Peers(now)
	return list[:min(maxPeersInReply, len(list))]
}

// distance returns the distance of a peer's zone.
func (i *Introducer) distance(p Peer) int {
	switch {
	case p.Zone == i.Self.Zone:
		return zoneDistance
	case i.Near(p.Zone):
		return regionDistance
	default:
		return farDistance
	}
}

// Zone returns this instance and the available peers of its zone, unordered.
func (i *Introducer) Zone(now tracker.Stamp) []Peer { return i.peersWithin(now, zoneDistance) }

// Region returns this instance and the available peers of its region, unordered.
func (i *Introducer) Region(now tracker.Stamp) []Peer { return i.peersWithin(now, regionDistance) }

// In returns the available instances of a zone, which may include this one, unordered.
func (i *Introducer) In(now tracker.Stamp, zone string) []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []Peer
	if zone == i.Self.Zone {
		list = append(list, i.Self)
	}
	for _, k := range i.peers {
		if k.Zone == zone && k.available(now) {
			list = append(list, k.Peer)
		}
	}
	return list
}

// Remembered returns this instance and all known peers, unordered. It includes unavailable
// peers, so both sides of a network partition get the same result.
func (i *Introducer) Remembered() []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	list := []Peer{i.Self}
	for _, k := range i.peers {
		list = append(list, k.Peer)
	}
	return list
}

// All returns this instance and all available peers, unordered.
func (i *Introducer) All(now tracker.Stamp) []Peer { return i.peersWithin(now, farDistance) }

// peersWithin returns this instance and the available peers up to a distance.
func (i *Introducer) peersWithin(now tracker.Stamp, distance int) []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	list := []Peer{i.Self}
	for _, k := range i.peers {
		if k.available(now) && i.distance(k.Peer) <= distance {
			list = append(list, k.Peer)
		}
	}
	return list
}

// available reports whether a peer is presumed to be reachable.
func (k *peerState) available(now tracker.Stamp) bool {
	return k.failures < maxFailures || now-k.failedAt > unavailablePeriod
}

// evict removes the least recently seen peers of a zone that exceeds its limit.
func (i *Introducer) evict(zone string) {
	if len(i.peers) <= maxPeersNearZone {
		return
	}
	kept := maxPeersRemoteZone
	if i.Wide.Load() || i.distance(Peer{Zone: zone}) <= regionDistance {
		kept = maxPeersNearZone
	}
	var list []*peerState
	for _, k := range i.peers {
		if k.Zone == zone {
			list = append(list, k)
		}
	}
	if len(list) <= kept {
		return
	}
	slices.SortFunc(list, func(a, b *peerState) int {
		return cmp.Or(cmp.Compare(b.lastSeen, a.lastSeen), cmp.Compare(a.Name, b.Name))
	})
	for _, k := range list[kept:] {
		delete(i.peers, k.Name)
	}
}
