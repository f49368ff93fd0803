package introducer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/shoenig/test/must"
)

func peer(name, zone string) introducer.Peer {
	return introducer.Peer{Name: name, Address: name + ":1", Zone: zone}
}

func newIntroducer() *introducer.Introducer {
	return &introducer.Introducer{Self: peer("me", "a"), Seeds: []string{"me:1", "s:1"}, Near: func(zone string) bool { return zone == "b" }}
}

func names(list []introducer.Peer) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Name)
	}
	return out
}

// Peers are ordered by distance, followed by the seeds other than the instance itself.
func TestPeerOrder(t *testing.T) {
	i := newIntroducer()
	must.Eq(t, []string{"s:1"}, i.Addresses(0, 5))
	i.Met(0, peer("c1", "c"))
	i.HeardOf(0, peer("b1", "b"))
	i.HeardOf(0, peer("a1", "a"))
	i.HeardOf(0, peer("me", "a"))
	must.Eq(t, []string{"a1", "b1", "c1"}, names(i.Peers(0)))
	must.Eq(t, []string{"a1:1", "b1:1"}, i.Addresses(0, 2))
	must.Eq(t, []string{"a1:1", "b1:1", "c1:1", "s:1"}, i.Addresses(0, 9))
}

// A peer is unavailable after two failed calls, until it makes contact or some time has
// passed. Being listed by others does not make it available.
func TestFailures(t *testing.T) {
	i := newIntroducer()
	i.Met(0, peer("a1", "a"))
	i.Failed(time.Second, "a1:1")
	must.Eq(t, []string{"a1"}, names(i.Peers(time.Second)))
	i.Failed(time.Second, "a1:1")
	i.HeardOf(time.Second, peer("a1", "a"))
	must.SliceEmpty(t, i.Peers(time.Second))
	must.Eq(t, []string{"a1"}, names(i.Peers(10*time.Second)))
	i.Failed(11*time.Second, "a1:1")
	must.SliceEmpty(t, i.Peers(11*time.Second))
	i.Met(12*time.Second, peer("a1", "a"))
	must.Eq(t, []string{"a1"}, names(i.Peers(12*time.Second)))
	i.Failed(5*time.Minute, "a1:1")
	must.SliceEmpty(t, i.Peers(time.Hour))
}

// A new peer replaces an old one with the same address.
func TestAddressReuse(t *testing.T) {
	i := newIntroducer()
	i.Met(0, peer("a1", "a"))
	i.Met(time.Second, introducer.Peer{Name: "a9", Address: "a1:1", Zone: "a"})
	must.Eq(t, []string{"a9"}, names(i.Peers(time.Second)))
}

// The number of known peers and the size of replies stay bounded in a large fleet.
func TestPeerLimits(t *testing.T) {
	i := newIntroducer()
	for n := range 2000 {
		i.HeardOf(time.Duration(n), peer(fmt.Sprint("p", n), string(rune('a'+n%11))))
	}
	all := i.Peers(time.Hour)
	must.LessEq(t, 2*182+9*8, len(all)) // two complete zones, nine limited ones
	zone := slices.DeleteFunc(all, func(p introducer.Peer) bool { return p.Zone != "a" })
	must.Eq(t, 182, len(zone))
	must.Eq(t, 32, len(i.Told(time.Hour)))
}

// Each instance of a zone is monitored by the same number of others.
func TestGuarded(t *testing.T) {
	monitoredBy := map[string]int{}
	for n := range 9 {
		i := &introducer.Introducer{Self: peer(fmt.Sprint("p", n), "a"), Near: func(string) bool { return false }}
		for m := range 9 {
			i.HeardOf(0, peer(fmt.Sprint("p", m), "a"))
			i.HeardOf(0, peer(fmt.Sprint("q", m), "b"))
		}
		for _, p := range i.Guarded() {
			monitoredBy[p.Name]++
		}
	}
	must.Eq(t, 9, len(monitoredBy))
	for name, n := range monitoredBy {
		must.Eq(t, 3, n, must.Sprint(name))
	}
}

// Peers known only from others are returned until there was contact.
func TestUnmet(t *testing.T) {
	i := newIntroducer()
	i.HeardOf(0, peer("a1", "a"))
	i.HeardOf(0, peer("b1", "b"))
	must.Eq(t, []string{"a1"}, names(i.Unmet(0, 1)))
	i.Met(0, peer("a1", "a"))
	must.Eq(t, []string{"b1"}, names(i.Unmet(0, 5)))
}

// Guards against the sides of a network partition dividing limits over different instances.
func TestUnavailablePeersAreKept(t *testing.T) {
	i := newIntroducer()
	i.Met(0, peer("a1", "a"))
	i.Failed(time.Second, "a1:1")
	i.Failed(time.Second, "a1:1")
	must.Eq(t, []string{"me"}, names(i.All(time.Second)))
	must.Eq(t, []string{"me", "a1"}, names(i.Remembered()))
}
