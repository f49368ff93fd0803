// Package introducer keeps which other instances there are, and decides whom to ask. It has
// no clock and no network: it is told who answered, and when.
//
// Load pattern: none of its own; instances come and go one at a time, or all start
// together with nothing. One that starts again while the store turns it away knows nobody;
// unless others go on asking it, it stays alone beside neighbours that know everything.
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
	// failuresHidden is how many failed calls in a row hide a peer: one may be the cut of
	// a connection that had gone silent.
	failuresHidden = 2
	// hiddenFor is for how long. An instance that was killed is back within seconds.
	hiddenFor = 5 * time.Second
	// forgottenAfter is for how long nothing must have been heard of a peer until it is
	// forgotten: 60 of the usual intervals between two questions to a zone's peers.
	forgottenAfter = 2 * time.Minute
	// nearKept and otherKept bound how many peers are remembered of each zone of the own
	// region, and of each other zone: at 1,800 instances in 11 zones a zone has 164. All of
	// the region are needed to agree with them on who reads the store; with Wide, nearKept
	// holds for all zones.
	nearKept, otherKept = 256, 8
	// toldAtOnce is how many peers an answer names: 40 bytes each.
	toldAtOnce = 32
	// guarded is how many peers an instance asks all the time. With one, a pair that loses
	// power together has nobody who knows of it.
	guarded = 3
)

// What distance returns.
const (
	zoneDistance = iota
	regionDistance
	farDistance
)

type (
	// Peer is another instance.
	Peer struct {
		Name, Address, Zone string
		// Millicores is what it may use of a processor, in thousandths of a core; 0 where it
		// doesn't say.
		Millicores int
	}

	// Introducer knows the peers. Set the exported fields before use; its methods may be
	// called from any goroutine.
	Introducer struct {
		Self Peer
		// Seeds are addresses where peers may be.
		Seeds []string
		// Near tells which zones are in this instance's region.
		Near func(zone string) bool
		// Wide is set where all peers of all zones are to be remembered: those who borrow
		// from instances of other regions must agree on which.
		Wide atomic.Bool

		mutex sync.Mutex
		peers map[string]*known
		// added counts the peers that were ever new.
		added int
	}

	known struct {
		Peer
		// heard is when it was last met or named by another.
		heard tracker.Stamp
		// met is set once it has answered or asked itself.
		met bool
		// failures are the calls in a row that failed, since failing; failed is the last.
		failures        int
		failing, failed tracker.Stamp
	}
)

// Met takes in that a peer has asked or answered. Whoever had its address before is gone.
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
	k := i.known(p)
	*k = known{Peer: p, heard: now, met: true}
	i.trim(p.Zone)
}

// HeardOf takes in that another instance names a peer. It is no sign that it lives.
func (i *Introducer) HeardOf(now tracker.Stamp, p Peer) {
	if p.Name == "" || p.Address == "" || p.Name == i.Self.Name || p.Address == i.Self.Address {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if k, ok := i.peers[p.Name]; ok && k.met {
		return
	}
	i.known(p).heard = now
	i.trim(p.Zone)
}

func (i *Introducer) known(p Peer) *known {
	if i.peers == nil {
		i.peers = map[string]*known{}
	}
	k, ok := i.peers[p.Name]
	if !ok {
		k = &known{Peer: p}
		i.peers[p.Name] = k
		i.added++
	}
	return k
}

// Added counts the peers that were new to this instance. Whoever keeps what it has worked out
// of them begins anew when it changes: after a start all come within one reading.
func (i *Introducer) Added() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.added
}

// Failed takes in that a call to an address failed.
func (i *Introducer) Failed(now tracker.Stamp, address string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, k := range i.peers {
		if k.Address != address {
			continue
		}
		if k.failures == 0 {
			k.failing = now
		}
		k.failures, k.failed = k.failures+1, now
		if now-k.heard > forgottenAfter {
			delete(i.peers, name)
		}
	}
}

// Failing reports whether the last call to a peer failed, and since when all have.
func (i *Introducer) Failing(name string) (bool, tracker.Stamp) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	k, ok := i.peers[name]
	if !ok || k.failures == 0 {
		return false, 0
	}
	return true, k.failing
}

// Peers returns those that may live, the nearest zones first and each zone in an order of
// chance: not all instances of a zone should ask the same one.
func (i *Introducer) Peers(now tracker.Stamp) []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []Peer
	for _, k := range i.peers {
		if k.mayLive(now) {
			list = append(list, k.Peer)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b Peer) int { return cmp.Compare(i.distance(a), i.distance(b)) })
	return list
}

// Addresses returns where peers may be asked, at most n: known ones, the nearest first, and
// the seeds while few are known.
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

// Guarded returns the peers that this instance asks all the time: those of its zone whose
// names come next after its own. So each instance is asked by a few others, and one that
// starts again, with nothing, is known to them at once.
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
	return list[:min(guarded, len(list))]
}

// compareBool orders false before true.
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

// Unmet returns peers that have neither asked nor answered yet, at most n.
func (i *Introducer) Unmet(now tracker.Stamp, n int) []Peer {
	list := i.Peers(now)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	list = slices.DeleteFunc(list, func(p Peer) bool { k := i.peers[p.Name]; return k == nil || k.met })
	return list[:min(n, len(list))]
}

// Told returns the peers to name in an answer.
func (i *Introducer) Told(now tracker.Stamp) []Peer {
	list := i.Peers(now)
	return list[:min(toldAtOnce, len(list))]
}

// distance orders zones: the own one, those of the region, the others.
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

// Zone returns this instance and the peers of its availability zone that may live, in no
// order.
func (i *Introducer) Zone(now tracker.Stamp) []Peer { return i.within(now, zoneDistance) }

// Region returns this instance and the peers of its region that may live, in no order.
func (i *Introducer) Region(now tracker.Stamp) []Peer { return i.within(now, regionDistance) }

// In returns the instances of an availability zone that may live, this one among them if it
// is in that zone, in no order.
func (i *Introducer) In(now tracker.Stamp, zone string) []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []Peer
	if zone == i.Self.Zone {
		list = append(list, i.Self)
	}
	for _, k := range i.peers {
		if k.Zone == zone && k.mayLive(now) {
			list = append(list, k.Peer)
		}
	}
	return list
}

// Remembered returns this instance and all peers that are not forgotten, those that may be cut
// off among them, in no order. It is the same on both sides of a cut.
func (i *Introducer) Remembered() []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	list := []Peer{i.Self}
	for _, k := range i.peers {
		list = append(list, k.Peer)
	}
	return list
}

// All returns this instance and all peers that may live, in no order.
func (i *Introducer) All(now tracker.Stamp) []Peer { return i.within(now, farDistance) }

// within returns this instance and the peers up to a distance that may live.
func (i *Introducer) within(now tracker.Stamp, distance int) []Peer {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	list := []Peer{i.Self}
	for _, k := range i.peers {
		if k.mayLive(now) && i.distance(k.Peer) <= distance {
			list = append(list, k.Peer)
		}
	}
	return list
}

// mayLive reports whether a peer is worth asking.
func (k *known) mayLive(now tracker.Stamp) bool {
	return k.failures < failuresHidden || now-k.failed > hiddenFor
}

// trim forgets whom there is no room for in a zone, the longest unheard first. Whole lists
// come at the start, one peer at a time, so nothing is sorted while there is room.
func (i *Introducer) trim(zone string) {
	if len(i.peers) <= nearKept {
		return
	}
	kept := otherKept
	if i.Wide.Load() || i.distance(Peer{Zone: zone}) <= regionDistance {
		kept = nearKept
	}
	var list []*known
	for _, k := range i.peers {
		if k.Zone == zone {
			list = append(list, k)
		}
	}
	if len(list) <= kept {
		return
	}
	slices.SortFunc(list, func(a, b *known) int {
		return cmp.Or(cmp.Compare(b.heard, a.heard), cmp.Compare(a.Name, b.Name))
	})
	for _, k := range list[kept:] {
		delete(i.peers, k.Name)
	}
}
