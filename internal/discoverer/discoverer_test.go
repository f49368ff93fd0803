package discoverer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/shoenig/test/must"
)

func peer(name, zone string) discoverer.Peer {
	return discoverer.Peer{Name: name, Address: name + ":1", Zone: zone}
}

func newDiscoverer() *discoverer.Discoverer {
	return &discoverer.Discoverer{Self: peer("me", "a"), Seeds: []string{"me:1", "s:1"}, SameRegion: func(zone string) bool { return zone == "b" }}
}

func names(list []discoverer.Peer) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Name)
	}
	return out
}

// Peers are ordered by distance, followed by the seeds other than the instance itself.
func TestPeerOrder(t *testing.T) {
	d := newDiscoverer()
	must.Eq(t, []string{"s:1"}, d.Addresses(0, 5))
	d.RecordContact(0, peer("c1", "c"))
	d.RecordListed(0, peer("b1", "b"))
	d.RecordListed(0, peer("a1", "a"))
	d.RecordListed(0, peer("me", "a"))
	must.Eq(t, []string{"a1", "b1", "c1"}, names(d.Peers(0)))
	must.Eq(t, []string{"a1:1", "b1:1"}, d.Addresses(0, 2))
	must.Eq(t, []string{"a1:1", "b1:1", "c1:1", "s:1"}, d.Addresses(0, 9))
}

// A peer is unavailable after two failed calls, until it makes contact or some time has
// passed. Being listed by others does not make it available.
func TestFailures(t *testing.T) {
	d := newDiscoverer()
	d.RecordContact(0, peer("a1", "a"))
	d.RecordFailure(time.Second, "a1:1")
	must.Eq(t, []string{"a1"}, names(d.Peers(time.Second)))
	d.RecordFailure(time.Second, "a1:1")
	d.RecordListed(time.Second, peer("a1", "a"))
	must.SliceEmpty(t, d.Peers(time.Second))
	must.Eq(t, []string{"a1"}, names(d.Peers(10*time.Second)))
	d.RecordFailure(11*time.Second, "a1:1")
	must.SliceEmpty(t, d.Peers(11*time.Second))
	d.RecordContact(12*time.Second, peer("a1", "a"))
	must.Eq(t, []string{"a1"}, names(d.Peers(12*time.Second)))
	d.RecordFailure(5*time.Minute, "a1:1")
	must.SliceEmpty(t, d.Peers(time.Hour))
}

// A new peer replaces an old one with the same address.
func TestAddressReuse(t *testing.T) {
	d := newDiscoverer()
	d.RecordContact(0, peer("a1", "a"))
	d.RecordContact(time.Second, discoverer.Peer{Name: "a9", Address: "a1:1", Zone: "a"})
	must.Eq(t, []string{"a9"}, names(d.Peers(time.Second)))
	d.RecordListed(time.Second, discoverer.Peer{Name: "a7", Address: "a1:1", Zone: "a"})
	d.RecordContact(2*time.Second, discoverer.Peer{Name: "a7", Address: "a1:1", Zone: "a"})
	must.Eq(t, []string{"a7"}, names(d.Peers(2*time.Second)))
}

// The number of known peers and the size of replies stay bounded in a large fleet.
func TestPeerLimits(t *testing.T) {
	d := newDiscoverer()
	for n := range 2000 {
		d.RecordListed(time.Duration(n), peer(fmt.Sprint("p", n), string(rune('a'+n%11))))
	}
	all := d.Peers(time.Hour)
	must.LessEq(t, 2*182+9*8, len(all)) // two complete zones, nine limited ones
	zone := slices.DeleteFunc(all, func(p discoverer.Peer) bool { return p.Zone != "a" })
	must.Eq(t, 182, len(zone))
	must.Eq(t, 32, len(d.PeersForReply(time.Hour)))
}

// An instance must know its whole region, or instances disagree about who reads the store for whom.
func TestRegionIsComplete(t *testing.T) {
	for _, instances := range []int{986, 1828, 3656} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			d := newDiscoverer() // zones a and b are one region
			for n := range instances {
				d.RecordListed(time.Duration(n), peer(fmt.Sprint("p", n), string(rune('a'+n%6))))
			}
			must.LessEq(t, instances/3+4*8+2, len(d.Peers(time.Hour)))
			must.GreaterEq(t, instances/3, len(d.OwnRegion(time.Hour)))
		})
	}
}

// Each instance of a zone is monitored by the same number of others.
func TestMonitored(t *testing.T) {
	monitoredBy := map[string]int{}
	for n := range 9 {
		d := &discoverer.Discoverer{Self: peer(fmt.Sprint("p", n), "a"), SameRegion: func(string) bool { return false }}
		for m := range 9 {
			d.RecordListed(0, peer(fmt.Sprint("p", m), "a"))
			d.RecordListed(0, peer(fmt.Sprint("q", m), "b"))
		}
		for _, p := range d.Monitored() {
			monitoredBy[p.Name]++
		}
	}
	must.Eq(t, 9, len(monitoredBy))
	for name, n := range monitoredBy {
		must.Eq(t, 3, n, must.Sprint(name))
	}
}

// Peers known only from others are returned until there was contact.
func TestUncontacted(t *testing.T) {
	d := newDiscoverer()
	d.RecordListed(0, peer("a1", "a"))
	d.RecordListed(0, peer("b1", "b"))
	must.Eq(t, []string{"a1"}, names(d.Uncontacted(0, 1)))
	d.RecordContact(0, peer("a1", "a"))
	must.Eq(t, []string{"b1"}, names(d.Uncontacted(0, 5)))
}

// Guards against the sides of a network partition dividing limits over different instances.
func TestUnavailablePeersAreKept(t *testing.T) {
	d := newDiscoverer()
	d.RecordContact(0, peer("a1", "a"))
	d.RecordFailure(time.Second, "a1:1")
	d.RecordFailure(time.Second, "a1:1")
	must.Eq(t, []string{"me"}, names(d.AllAvailable(time.Second)))
	must.Eq(t, []string{"me", "a1"}, names(d.AllKnown()))
}
