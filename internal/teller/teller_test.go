package teller_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/teller"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
)

func newTeller(name string, known *watcher.News) *teller.Teller {
	return &teller.Teller{
		Introducer: &introducer.Introducer{Self: introducer.Peer{Name: name, Address: name + ":1", Zone: "a"}, Near: func(string) bool { return false }},
		Clock:      func() tracker.Stamp { return time.Hour }, Known: func() *watcher.News { return known }, Reads: func() bool { return true }, Log: func(...any) {},
	}
}

func storeState(revision int64) *watcher.News {
	return &watcher.News{Revision: revision, Heard: time.Hour - time.Second, Pairs: []storer.Pair{{Key: "k", Value: []byte("v"), Revision: 3}}}
}

// The reply holds store items only for an outdated peer, and only peers if requested or if
// the store state is unknown.
func TestAnswer(t *testing.T) {
	x := newTeller("x", storeState(9))
	sender := &wire.Peer{Name: "y", Address: "y:1", Zone: "a"}
	a := x.Answer(&wire.TellRequest{Sender: sender, Revision: 8})
	must.Eq(t, 9, a.Revision)
	must.Eq(t, 1000, a.AgeMs)
	must.Len(t, 1, a.Items)
	must.SliceEmpty(t, x.Answer(&wire.TellRequest{Sender: sender, Revision: 9}).Items)
	peersOnly := x.Answer(&wire.TellRequest{Sender: &wire.Peer{Name: "z", Address: "z:1"}, PeersOnly: true})
	must.Eq(t, 0, peersOnly.Revision)
	must.Eq(t, 2, len(peersOnly.Peers))
	must.Eq(t, 0, newTeller("w", nil).Answer(&wire.TellRequest{}).Revision)
}

// Hear returns the newest state of several peers, with its age on the local clock, adds the
// peers they know, and tolerates a peer that does not answer.
func TestHear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := wirer.New(1)
		ctx, cancel := context.WithCancel(context.Background())
		start := time.Now()
		clock := func() tracker.Stamp { return time.Since(start) + time.Hour }
		key := []linker.Secret{{Number: 1, Value: []byte("key")}}
		ended := make(chan error, 2)
		for ip, revision := range map[string]int64{"10.0.0.1": 7, "10.0.0.2": 9} {
			x := newTeller("n"+ip, storeState(revision))
			s := &linker.Server{
				Address: ip + ":1", Network: n.Host(ip, "a"), Secrets: key, Versions: linker.CurrentVersions,
				Log: log.NewNopLogger(), Count: func(string) {}, Register: x.Register,
			}
			go func() { ended <- s.Run(ctx) }()
		}
		synctest.Wait()
		y := newTeller("y", nil)
		y.Clock, y.Links = clock, &linker.Client{Network: n.Host("10.0.0.9", "a"), Secrets: key, Versions: linker.CurrentVersions}
		y.Introducer.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		received, err := y.Hear(ctx, 0)
		must.NoError(t, err)
		must.Eq(t, 9, received.Revision)
		must.Eq(t, "n10.0.0.2", received.From)
		must.LessEq(t, clock()-time.Second, received.Heard)
		must.Eq(t, 2, len(y.Introducer.Peers(clock())))
		n.Cut("10.0.0.9", "10.0.0.2")
		received, err = y.Hear(ctx, 0)
		must.NoError(t, err)
		must.Eq(t, 7, received.Revision)
		y.Links.Close()
		cancel()
		<-ended
		<-ended
	})
}

// FuzzTell guards against malformed requests of peers.
func FuzzTell(f *testing.F) {
	good, err := proto.Marshal(&wire.TellRequest{Sender: &wire.Peer{Name: "y", Address: "y:1", Zone: "b"}, Revision: 4})
	must.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r wire.TellRequest
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		x := newTeller("x", storeState(9))
		a := x.Answer(&r)
		must.True(t, a.Revision == 0 || a.Revision == 9)
		must.LessEq(t, 1, len(x.Introducer.Peers(time.Hour)))
	})
}

// Valid instance records add peers; invalid ones are ignored.
func TestRecords(t *testing.T) {
	x := newTeller("x", nil)
	x.Saw(storer.Pair{Key: teller.InstancePrefix + "y", Value: []byte(`{"address": "y:1", "availability-zone": "a"}`), Revision: 1})
	x.Saw(storer.Pair{Key: teller.InstancePrefix + "z", Value: []byte("nonsense"), Revision: 2})
	x.Saw(storer.Pair{Key: teller.InstancePrefix + "w", Value: []byte("{}"), Revision: 3})
	must.Eq(t, []introducer.Peer{{Name: "y", Address: "y:1", Zone: "a"}}, x.Introducer.Peers(time.Hour))
}

// fleet returns a teller for each instance in the zones a to f, which form three regions of
// two zones. All instances know each other.
func fleet(perZone int) map[string]*teller.Teller {
	var peers []introducer.Peer
	for _, zone := range "abcdef" {
		for n := range perZone {
			name := fmt.Sprintf("%c%d", zone, n)
			peers = append(peers, introducer.Peer{Name: name, Address: name + ":1", Zone: string(zone)})
		}
	}
	all := map[string]*teller.Teller{}
	for _, self := range peers {
		x := newTeller(self.Name, nil)
		x.Introducer = &introducer.Introducer{Self: self, Near: func(zone string) bool { return (zone[0]-'a')/2 == (self.Zone[0]-'a')/2 }}
		for _, p := range peers {
			x.Introducer.HeardOf(time.Hour, p)
		}
		all[self.Name] = x
	}
	return all
}

// readers counts the instances that watch the store, by region.
func readers(all map[string]*teller.Teller) map[byte]int {
	n := map[byte]int{}
	for name, x := range all {
		if !x.Follows() {
			n[(name[0]-'a')/2]++
		}
	}
	return n
}

// All instances must agree on two readers in each region regardless of the fleet size. In
// small fleets each instance is a reader, and a partitioned zone selects its own.
func TestReaders(t *testing.T) {
	t.Run("few", func(t *testing.T) {
		must.Eq(t, map[byte]int{0: 4, 1: 4, 2: 4}, readers(fleet(2)))
	})
	for _, perZone := range []int{3, 13, 49, 150} {
		t.Run(fmt.Sprint(6*perZone), func(t *testing.T) {
			must.Eq(t, map[byte]int{0: 2, 1: 2, 2: 2}, readers(fleet(perZone)))
		})
	}
	t.Run("partitioned zone", func(t *testing.T) {
		all := fleet(13)
		for name, x := range all {
			for other := range all {
				if name[0] != other[0] && (name[0] == 'a' || other[0] == 'a') {
					x.Introducer.Failed(time.Hour, other+":1")
					x.Introducer.Failed(time.Hour, other+":1")
				}
			}
		}
		n := 0
		for name, x := range all {
			if name[0] == 'a' && !x.Follows() {
				n++
			}
		}
		must.Eq(t, 2, n)
	})
}

// A proof received from a peer must never appear newer than it is, despite clock offsets and
// delays, or reads could miss acknowledged commits.
func TestReceivedProofsAreNotNewer(t *testing.T) {
	cases := map[string]struct{ latency, pause, offset time.Duration }{
		"no delay":         {0, 0, 0},
		"sub-unit offset":  {0, 0, 300 * time.Nanosecond},
		"slow network":     {20 * time.Millisecond, 0, 7 * time.Microsecond},
		"paused responder": {time.Millisecond, 250 * time.Millisecond, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := wirer.New(1)
				n.Latency = func(_, _ *wirer.Host) time.Duration { return c.latency }
				ctx, cancel := context.WithCancel(context.Background())
				start := time.Now()
				key := []linker.Secret{{Number: 1, Value: []byte("key")}}
				provenAt := start.Add(c.offset)
				time.Sleep(time.Second)
				y := newTeller("y", nil)
				ended := make(chan error, 4)
				for i := range 4 {
					ip := fmt.Sprintf("10.0.0.%d", i+1)
					y.Introducer.HeardOf(9*time.Hour, introducer.Peer{Name: ip, Address: ip + ":1", Zone: "a"})
					x := newTeller(ip, storeState(7))
					x.Clock = func() tracker.Stamp { return time.Since(start) + time.Hour }
					x.Proofs = func() []teller.GroupProof {
						defer time.Sleep(c.pause)
						return []teller.GroupProof{{Group: "g", Proof: tracker.Proof{At: provenAt.Sub(start) + time.Hour, Position: orderer.Position{Term: 2, Offset: 9}}}}
					}
					s := &linker.Server{
						Address: ip + ":1", Network: n.Host(ip, "a"), Secrets: key, Versions: linker.CurrentVersions,
						Log: log.NewNopLogger(), Count: func(string) {}, Register: x.Register,
					}
					go func() { ended <- s.Run(ctx) }()
				}
				y.Clock = func() tracker.Stamp { return time.Since(start) + 9*time.Hour }
				y.Links = &linker.Client{Network: n.Host("10.0.0.9", "a"), Secrets: key, Versions: linker.CurrentVersions}
				var received []teller.GroupProof
				y.Prove = func(p teller.GroupProof) { received = append(received, p) }
				synctest.Wait()
				must.True(t, y.Follows())
				for range 4 {
					_, _ = y.Hear(ctx, 7)
				}
				must.SliceNotEmpty(t, received)
				for _, h := range received {
					at := start.Add(h.At - 9*time.Hour)
					must.False(t, at.After(provenAt), must.Sprint(at.Sub(provenAt)))
					must.LessEq(t, time.Second, provenAt.Sub(at))
					must.Eq(t, orderer.Position{Term: 2, Offset: 9}, h.Position)
				}
				y.Links.Close()
				cancel()
				for range 4 {
					<-ended
				}
			})
		})
	}
}
