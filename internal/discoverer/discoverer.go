// Package discoverer keeps the list of peer instances and selects the ones to contact. It
// does no I/O and reads no clock; callers pass observations and timestamps.
//
// An instance that restarts while the store rejects it knows no peers. Unless others keep
// contacting it, it stays isolated although its neighbours have the state.
package discoverer

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
	// unavailablePeriod is how long a peer is unavailable after its last failure. An instance that
	// was killed is back within seconds.
	unavailablePeriod = 5 * time.Second
	// peerRetention is how long a failing peer is kept after it was last seen.
	peerRetention = 2 * time.Minute
	// maxPeersNearZone and maxPeersRemoteZone bound the peers kept of each zone inside and
	// outside the region. A region must be complete, so that its instances agree on the tree
	// by which the store's state is distributed; with KeepAllZones, maxPeersNearZone applies to
	// all zones.
	maxPeersNearZone, maxPeersRemoteZone = 1024, 8
	// unlimitedPeers is the number of peers up to which all are kept.
	unlimitedPeers = 256
	// maxPeersInReply bounds the peers listed in a reply. Each takes about 40 bytes.
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
		// LoadMilli is the used part of the CPU limit in thousandths, 0 if unknown. It is set in
		// messages only; Discoverer.Load returns the last one of a peer.
		LoadMilli int
	}

	// Discoverer keeps the known peers. Set the exported fields before use. It is safe for
	// concurrent use.
	Discoverer struct {
		Self Peer
		// Seeds are the addresses of potential peers.
		Seeds []string
		// SameRegion reports whether a zone is in this instance's region.
		SameRegion func(zone string) bool
		// KeepAllZones keeps the peers of all zones, so that instances which borrow connections
		// across regions select the same lenders.
		KeepAllZones atomic.Bool

		// selfLoad is the load of this instance in thousandths, 0 if unknown.
		selfLoad atomic.Int64

		mutex sync.Mutex
		peers map[string]*peerState
		// added counts the peers added since the start, by zone.
		added map[string]int
	}

	// peerState is the contact history of a peer.
	peerState struct {
		Peer
		// lastSeen is when the peer was last in contact or listed by another peer.
		lastSeen tracker.Timestamp
		// contacted is set once the peer has sent a request or a reply.
		contacted bool
		// removed is set if its record was removed from the store since then.
		removed bool
		// failures counts the consecutive failed calls. The first was at failingSince, the last
		// at failedAt.
		failures               int
		failingSince, failedAt tracker.Timestamp
		// load is the peer's last reported load in thousandths, 0 if unknown, at loadAt.
		load   int
		loadAt tracker.Timestamp
	}
)

// MaxLoadMilli is the largest valid load: ten times the CPU limit, which short samples may exceed.
const MaxLoadMilli = 10_000

// SetLoad sets the load of this instance in thousandths of its CPU limit, 0 if unknown.
func (d *Discoverer) SetLoad(milli int) { d.selfLoad.Store(int64(milli)) }

// SelfWithLoad returns this instance with its load, for messages.
func (d *Discoverer) SelfWithLoad() Peer {
	p := d.Self
	p.LoadMilli = int(d.selfLoad.Load())
	return p
}

// Load returns the last load that a peer has reported itself, in thousandths of its CPU limit, and
// when; 0 if unknown.
func (d *Discoverer) Load(name string) (milli int, at tracker.Timestamp) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, ok := d.peers[name]
	if !ok {
		return 0, 0
	}
	return s.load, s.loadAt
}

// RecordContact records a request or reply of a peer. It removes other peers with the same address.
func (d *Discoverer) RecordContact(now tracker.Timestamp, p Peer) {
	if p.Name == "" || p.Address == "" || p.Name == d.Self.Name {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s, ok := d.peers[p.Name]; !ok || !s.contacted || s.Address != p.Address {
		d.removeOthersAt(p)
	}
	s := d.peerState(p)
	load, loadAt := s.load, s.loadAt
	if p.LoadMilli > 0 && p.LoadMilli <= MaxLoadMilli {
		load, loadAt = p.LoadMilli, now
	}
	p.LoadMilli = 0
	*s = peerState{Peer: p, lastSeen: now, contacted: true, load: load, loadAt: loadAt}
	d.evict(p.Zone)
}

// removeOthersAt removes the other peers with a peer's address.
func (d *Discoverer) removeOthersAt(p Peer) {
	for name, s := range d.peers {
		if s.Address == p.Address && name != p.Name {
			delete(d.peers, name)
		}
	}
}

// SetRemoved records whether a known peer's record is missing from the store.
func (d *Discoverer) SetRemoved(name string, removed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s, ok := d.peers[name]; ok {
		s.removed = removed
	}
}

// Removed reports whether the record of the peer at an address was removed from the store, and it
// has not been in contact since.
func (d *Discoverer) Removed(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range d.peers {
		if s.Address == address {
			return s.removed
		}
	}
	return false
}

// RecordListed records a peer listed by another instance. It does not imply that the peer is
// available.
func (d *Discoverer) RecordListed(now tracker.Timestamp, p Peer) {
	if p.Name == "" || p.Address == "" || p.Name == d.Self.Name || p.Address == d.Self.Address {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p.LoadMilli = 0 // of unknown age
	s, known := d.peers[p.Name]
	if known && s.contacted || !known && d.zoneFull(p.Zone) {
		return
	}
	d.peerState(p).lastSeen = now
	d.evict(p.Zone)
}

// zoneFull reports whether a zone has as many peers as are kept, and none of them fails. Adding
// one and evicting another for each listed peer would cost more than it is worth.
func (d *Discoverer) zoneFull(zone string) bool {
	if len(d.peers) < unlimitedPeers {
		return false
	}
	n := 0
	for _, s := range d.peers {
		if s.Zone != zone {
			continue
		}
		if s.failures > 0 {
			return false
		}
		n++
	}
	return n == d.zoneLimit(zone)
}

// zoneLimit returns how many peers of a zone are kept.
func (d *Discoverer) zoneLimit(zone string) int {
	if d.KeepAllZones.Load() || d.distance(Peer{Zone: zone}) <= regionDistance {
		return maxPeersNearZone
	}
	return maxPeersRemoteZone
}

// peerState returns the state of a peer, which it adds if it is unknown.
func (d *Discoverer) peerState(p Peer) *peerState {
	if d.peers == nil {
		d.peers, d.added = map[string]*peerState{}, map[string]int{}
	}
	s, ok := d.peers[p.Name]
	if !ok {
		s = &peerState{Peer: p}
		d.peers[p.Name] = s
		d.added[p.Zone]++
	}
	return s
}

// AddedCount returns how many peers of a zone were added since the start. Callers that cache results
// derived from the zone's peers use it to detect changes.
func (d *Discoverer) AddedCount(zone string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.added[zone]
}

// RegionAddedCount is AddedCount for all zones of this instance's region.
func (d *Discoverer) RegionAddedCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n := 0
	for zone, added := range d.added {
		if d.distance(Peer{Zone: zone}) <= regionDistance {
			n += added
		}
	}
	return n
}

// RecordFailure records a failed call to an address.
func (d *Discoverer) RecordFailure(now tracker.Timestamp, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name, s := range d.peers {
		if s.Address != address {
			continue
		}
		if s.failures == 0 {
			s.failingSince = now
		}
		s.failures, s.failedAt = s.failures+1, now
		if now-s.lastSeen > peerRetention {
			delete(d.peers, name)
		}
	}
}

// Failing reports whether the last call to a peer failed, and since when all calls have failed.
func (d *Discoverer) Failing(name string) (bool, tracker.Timestamp) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, ok := d.peers[name]
	if !ok || s.failures == 0 {
		return false, 0
	}
	return true, s.failingSince
}

// Peers returns the available peers, nearest zones first. The order within a zone is random
// to distribute the requests.
func (d *Discoverer) Peers(now tracker.Timestamp) []Peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var list []Peer
	for _, s := range d.peers {
		if s.available(now) {
			list = append(list, s.Peer)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b Peer) int { return cmp.Compare(d.distance(a), d.distance(b)) })
	return list
}

// Addresses returns at most n addresses to contact: those of available peers, nearest first,
// then the seeds.
func (d *Discoverer) Addresses(now tracker.Timestamp, n int) []string {
	var list []string
	for _, p := range d.Peers(now) {
		list = append(list, p.Address)
	}
	for _, s := range d.Seeds {
		if s != d.Self.Address && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list[:min(n, len(list))]
}

// Monitored returns the peers that this instance contacts regularly: its successors in the
// cyclic order of names in its zone. Each instance thus is contacted by a few peers, also
// after a restart without any state.
func (d *Discoverer) Monitored() []Peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var list []Peer
	for _, s := range d.peers {
		if s.Zone == d.Self.Zone {
			list = append(list, s.Peer)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(compareBool(a.Name < d.Self.Name, b.Name < d.Self.Name), cmp.Compare(a.Name, b.Name))
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

// Uncontacted returns at most n available peers without any contact so far.
func (d *Discoverer) Uncontacted(now tracker.Timestamp, n int) []Peer {
	list := d.Peers(now)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list = slices.DeleteFunc(list, func(p Peer) bool { s := d.peers[p.Name]; return s == nil || s.contacted })
	return list[:min(n, len(list))]
}

// PeersForReply returns the peers to list in a reply.
func (d *Discoverer) PeersForReply(now tracker.Timestamp) []Peer {
	list := d.Peers(now)
	return list[:min(maxPeersInReply, len(list))]
}

// distance returns the distance of a peer's zone.
func (d *Discoverer) distance(p Peer) int {
	switch {
	case p.Zone == d.Self.Zone:
		return zoneDistance
	case d.SameRegion(p.Zone):
		return regionDistance
	default:
		return farDistance
	}
}

// OwnZone returns this instance and the available peers of its zone, unordered.
func (d *Discoverer) OwnZone(now tracker.Timestamp) []Peer { return d.peersWithin(now, zoneDistance) }

// OwnRegion returns this instance and the available peers of its region, unordered.
func (d *Discoverer) OwnRegion(now tracker.Timestamp) []Peer {
	return d.peersWithin(now, regionDistance)
}

// InZone returns the available instances of a zone, which may include this one, unordered.
func (d *Discoverer) InZone(now tracker.Timestamp, zone string) []Peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var list []Peer
	if zone == d.Self.Zone {
		list = append(list, d.Self)
	}
	for _, s := range d.peers {
		if s.Zone == zone && s.available(now) {
			list = append(list, s.Peer)
		}
	}
	return list
}

// AllKnown returns this instance and all known peers, unordered. It includes unavailable
// peers, so both sides of a network partition get the same result.
func (d *Discoverer) AllKnown() []Peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := []Peer{d.Self}
	for _, s := range d.peers {
		list = append(list, s.Peer)
	}
	return list
}

// AllAvailable returns this instance and all available peers, unordered.
func (d *Discoverer) AllAvailable(now tracker.Timestamp) []Peer {
	return d.peersWithin(now, farDistance)
}

// peersWithin returns this instance and the available peers up to a distance.
func (d *Discoverer) peersWithin(now tracker.Timestamp, distance int) []Peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := []Peer{d.Self}
	for _, s := range d.peers {
		if s.available(now) && d.distance(s.Peer) <= distance {
			list = append(list, s.Peer)
		}
	}
	return list
}

// available reports whether a peer is presumed to be reachable.
func (s *peerState) available(now tracker.Timestamp) bool {
	return s.failures < maxFailures || now-s.failedAt > unavailablePeriod
}

// evict removes the least recently seen peers of a zone that exceeds its limit.
func (d *Discoverer) evict(zone string) {
	if len(d.peers) <= unlimitedPeers {
		return
	}
	limit := d.zoneLimit(zone)
	var list []*peerState
	for _, s := range d.peers {
		if s.Zone == zone {
			list = append(list, s)
		}
	}
	if len(list) <= limit {
		return
	}
	slices.SortFunc(list, func(a, b *peerState) int {
		return cmp.Or(cmp.Compare(b.lastSeen, a.lastSeen), cmp.Compare(a.Name, b.Name))
	})
	for _, s := range list[limit:] {
		delete(d.peers, s.Name)
	}
}
