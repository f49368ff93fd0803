package exchanger_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/exchanger"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

var fleetScale = flag.Bool("fleet-scale", false, "print what a start and a change cost at several sizes")

const (
	scaleZones = 6
	storeIP    = "10.200.0.1"
)

type (
	// scaleFleet is a fleet that distributes the state of a store, on virtual time.
	scaleFleet struct {
		instances, groups int
		net               *netsimulator.Net
		store             *storer.Memory
		platform          *platformer.Platform
		random            *rand.Rand
		nodes             []*scaleNode

		mutex sync.Mutex
		// sent are the bytes that each host has sent, and second those in the current second.
		sent, second map[string]int
		secondStart  time.Time
		busiest      int
	}

	scaleNode struct {
		name, zone, ip string
		mutex          sync.Mutex
		// versions maps configuration versions, and removed members, to when they were seen.
		versions map[int64]time.Time
		members  map[string]bool
		removed  map[string]time.Time
		// parent is the address of the instance's only parent, "" to have it choose its parents.
		parent string
		stop   context.CancelFunc
		ended  chan error
	}

	// scaleResult is what one event cost: the time until the median, almost all and all
	// instances knew of it, the bytes that the busiest instance sent, in all and within a
	// second, and the whole reads of the store.
	scaleResult struct {
		half, almost, last time.Duration
		bytes, perSecond   int
		wholeReads         int64
	}
)

func newScaleFleet(ctx context.Context, instances, groups int) *scaleFleet {
	f := &scaleFleet{instances: instances, groups: groups, net: netsimulator.New(1), store: storer.NewMemory(), sent: map[string]int{}, second: map[string]int{}, random: rand.New(rand.NewPCG(1, 1))}
	f.net.Latency = func(from, to *netsimulator.Host) time.Duration {
		switch {
		case from.Zone == to.Zone:
			return 100 * time.Microsecond
		case from.IP == storeIP || to.IP == storeIP:
			return 2 * time.Millisecond
		default:
			return 1400 * time.Microsecond
		}
	}
	f.net.OnSend = f.countBytes
	f.platform = &platformer.Platform{Address: storeIP + ":7000", Network: f.net.Host(storeIP, "store"), Store: f.store, PageSize: 500}
	go func() { _ = f.platform.Run(ctx) }()
	f.put(ctx, platform.ConfigurationKey, f.document(1))
	for g := range groups {
		for m := range 3 {
			f.put(ctx, memberKey(g, m), f.entry(g, m))
		}
	}
	for n := range instances {
		f.nodes = append(f.nodes, &scaleNode{
			name: fmt.Sprint("edge-", n), zone: string(rune('a' + n%scaleZones)), ip: fmt.Sprintf("10.%d.%d.%d", 1+n%scaleZones, n/250, n%250),
			versions: map[int64]time.Time{}, members: map[string]bool{}, removed: map[string]time.Time{},
		})
	}
	return f
}

func memberKey(group, member int) string {
	return fmt.Sprintf("%sgroup-%d-%d", platform.MemberPrefix, group, member)
}

// entry returns the entry of a member.
func (f *scaleFleet) entry(group, member int) []byte {
	return platformer.EncodeMember(tracker.Member{
		ID: memberKey(group, member), Group: fmt.Sprint("ledger-", group), Zone: fmt.Sprint("zone-", f.random.IntN(6)), Slots: 4, Primary: member == 0,
		Address:   fmt.Sprintf("10.%d.%d.%d:8784", f.random.IntN(250), f.random.IntN(250), f.random.IntN(250)),
		StartTime: 1796000000000 + f.random.Int64N(1e8),
	})
}

// document returns a configuration with a route for each group.
func (f *scaleFleet) document(version int64) []byte {
	c := tracker.Configuration{Version: version, Routes: map[string]tracker.Route{}, Groups: map[string]tracker.GroupSettings{}}
	for g := range f.groups {
		group, database := fmt.Sprint("ledger-", g), fmt.Sprintf("locker%x", uint32(g)*2654435761)
		c.Groups[group] = tracker.GroupSettings{Connections: 296, SyncReplicas: 1}
		c.Routes[database] = tracker.Route{
			Database: database, Group: group, Rule: tracker.RuleReadYourWrites, Priority: 2,
			Timeout: time.Second, LatencyObjective: 800 * time.Millisecond, Staleness: 2500 * time.Millisecond,
		}
	}
	return platformer.EncodeConfiguration(c)
}

func (f *scaleFleet) put(ctx context.Context, key string, value []byte) {
	p, _ := f.store.Get(ctx, key)
	p.Value = value
	_, _, _ = f.store.Swap(ctx, p, 0)
}

// countBytes counts what instances send to each other.
func (f *scaleFleet) countBytes(from, to *netsimulator.Host, data []byte) {
	if from.IP == storeIP || to.IP == storeIP {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now := time.Now(); now.Sub(f.secondStart) >= time.Second {
		clear(f.second)
		f.secondStart = now
	}
	f.sent[from.IP] += len(data)
	f.second[from.IP] += len(data)
	f.busiest = max(f.busiest, f.second[from.IP])
}

// start starts an instance: what of it reads the store and exchanges its state.
func (f *scaleFleet) start(ctx context.Context, n *scaleNode) {
	ctx, n.stop = context.WithCancel(ctx)
	n.ended = make(chan error, 3)
	host := f.net.Host(n.ip, n.zone)
	store := (&platform.Store{Address: storeIP + ":7000", Network: host}).Open()
	started := time.Now()
	clock := func() tracker.Timestamp { return time.Since(started) + time.Hour }
	links := &linker.Client{Network: host, Secrets: scaleKey, Versions: linker.CurrentVersions}
	sameRegion := func(zone string) bool { return (zone[0]-'a')/2 == (n.zone[0]-'a')/2 }
	w := &watcher.Watcher{
		Source: store, Clock: clock, MaxPropagationDelay: 8 * time.Second,
		ConfigurationKey: platform.ConfigurationKey, MemberPrefix: platform.MemberPrefix, OwnershipPrefix: "duty/", InstancePrefix: exchanger.InstancePrefix,
		DecodeConfiguration: platform.DecodeConfiguration,
		DecodeMember: func(key string, _ []byte, revision int64) (tracker.Member, error) {
			return tracker.Member{ID: key, Group: key[:len(key)-2], Revision: revision}, nil
		},
		OnConfiguration: n.noteConfiguration, OnMembers: n.noteMembers, OnOwnership: func(storer.Pair) {}, Log: func(...any) {},
	}
	x := &exchanger.Exchanger{
		Discoverer: &discoverer.Discoverer{Self: discoverer.Peer{Name: n.name, Address: n.ip + ":7100", Zone: n.zone, Millicores: 192}, SameRegion: sameRegion},
		Links:      links, Clock: clock, StoreState: w.State, IsReader: w.IsReader, FollowsReader: w.FollowsReader, Store: store, Log: func(...any) {},
	}
	if n.parent != "" {
		for _, p := range f.nodes {
			x.Discoverer.RecordListed(clock(), discoverer.Peer{Name: p.name, Address: p.ip + ":7100", Zone: p.zone})
		}
		x.FixParents(n.parent)
	}
	w.RequestState, w.OnInstance, w.FollowsPeers, w.OnListed = x.RequestState, x.HandleRecord, x.FollowsPeers, x.SetListed
	w.InstanceKey = exchanger.RecordPrefix(n.zone) + n.name
	w.ListInstances = func(ctx context.Context, _ bool) (all []storer.Pair, err error) {
		for z := range scaleZones {
			zone := string(rune('a' + z))
			if !sameRegion(zone) {
				continue
			}
			list, err := store.ListStale(ctx, exchanger.RecordPrefix(zone))
			if err != nil {
				return nil, err
			}
			all = append(all, list...)
		}
		return all, nil
	}
	server := &linker.Server{Address: n.ip + ":7100", Network: host, Secrets: scaleKey, Versions: linker.CurrentVersions, Log: log.NewNopLogger(), Count: func(string) {}, Register: x.Register}
	for _, run := range []func(context.Context) error{w.Run, x.Run, server.Run} {
		go func() { n.ended <- run(ctx) }()
	}
	context.AfterFunc(ctx, func() {
		links.Close()
		store.Close()
	})
}

var scaleKey = []linker.Secret{{KeyNumber: 1, Value: []byte("key")}}

func (n *scaleNode) noteConfiguration(c *tracker.Configuration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if _, ok := n.versions[c.Version]; !ok {
		n.versions[c.Version] = time.Now()
	}
}

func (n *scaleNode) noteMembers(groups map[string][]tracker.Member) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, list := range groups {
		for _, m := range list {
			if _, ok := n.removed[m.ID]; m.Missing && !ok {
				n.removed[m.ID] = time.Now()
			}
		}
	}
}

// seen returns when each instance knew of an event.
func (f *scaleFleet) seen(at func(n *scaleNode) (time.Time, bool)) []time.Time {
	var list []time.Time
	for _, n := range f.nodes {
		n.mutex.Lock()
		if t, ok := at(n); ok {
			list = append(list, t)
		}
		n.mutex.Unlock()
	}
	return list
}

// measure runs an event and waits until all instances know of it.
func (f *scaleFleet) measure(t *testing.T, event func(), at func(n *scaleNode) (time.Time, bool)) scaleResult {
	t.Helper()
	f.mutex.Lock()
	clear(f.sent)
	clear(f.second)
	f.busiest = 0
	f.mutex.Unlock()
	reads, begin := f.platform.WholeReads.Load(), time.Now()
	event()
	var times []time.Time
	for len(times) < f.instances {
		must.Less(t, time.Minute, time.Since(begin), must.Sprint(len(times), " of ", f.instances))
		time.Sleep(100 * time.Millisecond)
		times = f.seen(at)
	}
	slices.SortFunc(times, time.Time.Compare)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := scaleResult{
		half: times[len(times)/2].Sub(begin), almost: times[len(times)*99/100].Sub(begin), last: times[len(times)-1].Sub(begin),
		perSecond: f.busiest, wholeReads: f.platform.WholeReads.Load() - reads,
	}
	for _, b := range f.sent {
		r.bytes = max(r.bytes, b)
	}
	return r
}

// measureScale measures a restart of all instances, a change of the configuration and the loss
// of a member.
func measureScale(t *testing.T, instances, groups int) map[string]scaleResult {
	results := map[string]scaleResult{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newScaleFleet(ctx, instances, groups)
		// The records of the instances outlive them.
		for _, n := range f.nodes {
			value := fmt.Sprintf(`{"address":"%s:7100","availability-zone":"%s","millicores":192}`, n.ip, n.zone)
			f.put(ctx, exchanger.RecordPrefix(n.zone)+n.name, []byte(value))
		}
		hasVersion := func(v int64) func(n *scaleNode) (time.Time, bool) {
			return func(n *scaleNode) (time.Time, bool) { at, ok := n.versions[v]; return at, ok }
		}
		results["restart"] = f.measure(t, func() {
			for _, n := range f.nodes {
				f.start(ctx, n)
			}
		}, hasVersion(1))
		time.Sleep(5 * time.Second)
		results["configuration"] = f.measure(t, func() { f.put(ctx, platform.ConfigurationKey, f.document(2)) }, hasVersion(2))
		time.Sleep(5 * time.Second)
		results["member"] = f.measure(t, func() {
			p, _ := f.store.Get(ctx, memberKey(0, 0))
			_, _ = f.store.Delete(ctx, p)
		}, func(n *scaleNode) (time.Time, bool) { at, ok := n.removed[memberKey(0, 0)]; return at, ok })
		time.Sleep(2 * time.Second)
		// Everyone knows the version already, so this measures ten seconds without an event.
		results["idle"] = f.measure(t, func() { time.Sleep(10 * time.Second) }, hasVersion(2))
		cancel()
		for _, n := range f.nodes {
			for range 3 {
				<-n.ended
			}
		}
		time.Sleep(time.Minute) // lets connections of HTTP clients time out
	})
	return results
}

// Time, bytes of the busiest instance and reads of the store must not grow with the fleet: at
// twice the size a restart takes at most one hop more. Run with -fleet-scale, it prints the
// figures at all sizes.
func TestFleetScale(t *testing.T) {
	sizes := [][2]int{{120, 60}, {240, 60}}
	if *fleetScale {
		sizes = [][2]int{{9, 9}, {83, 84}, {295, 300}, {986, 1000}, {1828, 2300}}
	}
	var all []map[string]scaleResult
	for _, s := range sizes {
		r := measureScale(t, s[0], s[1])
		all = append(all, r)
		for _, event := range []string{"restart", "configuration", "member"} {
			x := r[event]
			t.Logf("fleet-scale %d instances %d groups %s: p50 %d ms, p99 %d ms, last %d ms, busiest %d B, %d B in a second, %d whole reads",
				s[0], s[1], event, x.half.Milliseconds(), x.almost.Milliseconds(), x.last.Milliseconds(), x.bytes, x.perSecond, x.wholeReads)
		}
		t.Logf("fleet-scale %d instances %d groups idle: busiest %d B in 10 s", s[0], s[1], r["idle"].bytes)
	}
	small, large := all[0], all[len(all)-1]
	must.LessEq(t, 6, large["restart"].wholeReads)
	must.LessEq(t, 6*time.Second, large["restart"].last)
	must.LessEq(t, 3*time.Second, large["configuration"].last)
	if !*fleetScale {
		must.LessEq(t, float64(small["restart"].bytes)*1.5, float64(large["restart"].bytes))
		must.LessEq(t, float64(small["configuration"].bytes)*1.5, float64(large["configuration"].bytes))
		must.LessEq(t, float64(small["idle"].bytes)*1.5, float64(large["idle"].bytes))
	}
}
