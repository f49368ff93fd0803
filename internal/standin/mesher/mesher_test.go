package mesher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/internal/standin/mesher"
	"github.com/shoenig/test/must"
)

var zones = []string{"a", "b", "c"}

// newDocument returns a configuration whose services have one member per zone.
func newDocument(services int) *configurer.Document {
	d := &configurer.Document{}
	for i := range services {
		s := configurer.Service{Name: fmt.Sprintf("service-%d", i+1), Connections: 60, Slots: 3}
		for k, z := range zones {
			s.Members = append(s.Members, configurer.Member{
				Name: fmt.Sprintf("%s-%d", s.Name, k+1), Address: fmt.Sprintf("10.%d.%d.%d:5432", 2+i/250, i%250, k+1), Zone: z,
			})
		}
		d.Services = append(d.Services, s)
	}
	return d
}

func newMesh(perZone, services int, seed uint64) *mesher.Mesh {
	m := mesher.New(mesher.Plan{Seed: seed, Zones: zones, PerZone: perZone, Document: newDocument(services)})
	m.Run(10 * time.Second)
	return m
}

// requireActive runs the mesh until the version is active on every running node that
// selected accepts, and returns the time taken. It fails after 5 s.
func requireActive(t *testing.T, m *mesher.Mesh, version int64, selected func(*mesher.Node) bool) time.Duration {
	t.Helper()
	const limit = 5 * time.Second
	for start := m.Now; ; m.Run(50 * time.Millisecond) {
		missing := ""
		for _, n := range m.RunningNodes() {
			if selected(n) && n.ActiveVersion() < version {
				missing = fmt.Sprintf("%s has %d", n.Name, n.ActiveVersion())
			}
		}
		if missing == "" {
			return m.Now.Sub(start)
		}
		must.Less(t, limit, m.Now.Sub(start), must.Sprint(missing))
	}
}

// requireIncreasingVersions checks that no node went back to an older configuration.
func requireIncreasingVersions(t *testing.T, m *mesher.Mesh) {
	t.Helper()
	for _, n := range m.Nodes {
		for i := 1; i < len(n.ActivatedVersions); i++ {
			must.Greater(t, n.ActivatedVersions[i-1], n.ActivatedVersions[i], must.Sprint(n.Name))
		}
	}
}

func allNodes(*mesher.Node) bool { return true }

// A published configuration is active on every instance within 5 s despite a fault, and no
// instance goes back to an older one.
func TestActivationWithinFiveSeconds(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(m *mesher.Mesh)
	}{
		{"no fault", func(*mesher.Mesh) {}},
		{"announcements lost", func(m *mesher.Mesh) { m.DropAnnouncements = true }},
		{"list down", func(m *mesher.Mesh) { m.ListDown = true }},
		{"half the list wrong", corruptList},
		{"a third replaced, list stale", replaceThird},
		{"watchers killed", killWatchers},
		{"watchers paused", pauseWatchers},
		{"one zone cut from the store", func(m *mesher.Mesh) {
			m.Partitioned = func(a, b string) bool { return a == "a" && b == "platform" }
		}},
		{"two zones cut from the store", func(m *mesher.Mesh) {
			m.Partitioned = func(a, b string) bool { return (a == "a" || a == "b") && b == "platform" }
		}},
	} {
		for _, perZone := range []int{3, 12} {
			for seed := range seeds(perZone) {
				t.Run(fmt.Sprintf("%s/%d/%d", c.name, 3*perZone, seed), func(t *testing.T) {
					m := newMesh(perZone, 3, seed)
					c.fault(m)
					requireActive(t, m, m.Publish(newDocument(3)), allNodes)
					requireIncreasingVersions(t, m)
				})
			}
		}
	}
}

// seeds returns the number of seeds to run, fewer for large meshes.
func seeds(perZone int) uint64 {
	if perZone > 3 {
		return 1
	}
	return 4
}

// corruptList replaces a quarter of the list's entries by instances that don't exist.
func corruptList(m *mesher.Mesh) {
	list := append([]lister.Instance(nil), m.List...)
	for i := range list {
		switch i % 4 {
		case 0:
			list[i].Name, list[i].Address = list[i].Name+"-ghost", list[i].Name+"-ghost"
		}
	}
	m.List = list
	m.Run(20 * time.Second)
}

// replaceThird replaces every third instance while the list stays unchanged.
func replaceThird(m *mesher.Mesh) {
	stale := append([]lister.Instance(nil), m.List...)
	for i, n := range append([]*mesher.Node(nil), m.Nodes...) {
		if i%3 == 0 {
			n.Kill()
			m.Add(n.Name+"-next", n.Zone)
			m.Run(5 * time.Second)
		}
	}
	m.List = stale
}

func watchers(m *mesher.Mesh) []*mesher.Node {
	var out []*mesher.Node
	for _, z := range zones {
		for _, i := range lister.TopInZone("configuration", z, 2, m.List) {
			out = append(out, m.Node(i.Name))
		}
	}
	return out
}

func killWatchers(m *mesher.Mesh) {
	for _, n := range watchers(m) {
		n.Kill()
	}
	m.Run(10 * time.Second)
}

func pauseWatchers(m *mesher.Mesh) {
	for _, n := range watchers(m)[:3] {
		n.Paused = true
	}
}

// Without client traffic, when exchanges are rare, a new version still spreads at once by
// announcements and not by the slower anti-entropy.
func TestActivationWithoutTraffic(t *testing.T) {
	m := mesher.New(mesher.Plan{
		Seed: 1, Zones: zones, PerZone: 12, Document: newDocument(3),
		UsedServices: func(*mesher.Node) []string { return nil },
	})
	m.Run(10 * time.Second)
	v := m.Publish(newDocument(3))
	must.Less(t, 300*time.Millisecond, requireActive(t, m, v, allNodes))
}

// The rate of store calls doesn't grow with the fleet: only two instances per zone watch
// the store.
func TestStoreCallsIndependentOfFleetSize(t *testing.T) {
	for _, perZone := range []int{3, 12} {
		t.Run(fmt.Sprint(3*perZone), func(t *testing.T) {
			m := newMesh(perZone, 3, 1)
			before := m.Totals
			m.Run(time.Minute)
			const watchers, perMinute = 6, 6
			must.LessEq(t, watchers*(perMinute+1), m.Totals.StoreWatches-before.StoreWatches)
			must.Eq(t, before.StoreReads, m.Totals.StoreReads)
		})
	}
}

// A partitioned zone keeps its configuration. After the partition heals it has the newest
// one within 5 s, and no other instance goes back to the old one.
func TestZonePartitionedForAnHour(t *testing.T) {
	m := newMesh(2, 3, 1)
	m.Partitioned = func(a, b string) bool { return a == "c" || b == "c" }
	v := m.Publish(newDocument(4))
	m.Run(30 * time.Minute)
	v = max(v, m.Publish(newDocument(5)))
	m.Run(30 * time.Minute)
	for _, n := range m.RunningNodes() {
		must.Eq(t, n.Zone == "c", n.ActiveVersion() == 1, must.Sprint(n.Name))
	}
	m.Partitioned = nil
	requireActive(t, m, v, allNodes)
	requireIncreasingVersions(t, m)
}

// With the store and the list down, a new instance fetches the newest version from a seed
// peer, even if another peer has an older one.
func TestFreshInstanceWithPlatformDown(t *testing.T) {
	m := newMesh(3, 3, 1)
	m.Nodes[0].Paused = true
	v := m.Publish(newDocument(4))
	m.Run(5 * time.Second)
	m.StoreDown, m.ListDown = true, true
	m.Nodes[0].Resume() // has an older version
	n := m.Add("entry-a-9", "a")
	requireActive(t, m, v, func(x *mesher.Node) bool { return x == n })
	requireIncreasingVersions(t, m)
}

// A malformed configuration in the store is never activated: new instances get the last
// valid one from peers, and the next valid one replaces it.
func TestMalformedDocument(t *testing.T) {
	m := newMesh(3, 3, 1)
	m.PublishRaw([]byte(`{"services": [`))
	m.Run(20 * time.Second)
	n := m.Add("entry-a-9", "a")
	requireActive(t, m, 1, func(x *mesher.Node) bool { return x == n })
	for _, n := range m.RunningNodes() {
		must.Eq(t, 1, n.ActiveVersion())
	}
	requireActive(t, m, m.Publish(newDocument(4)), allNodes)
}

// requireFreshObservations fails if a running node's newest observation of a member of the
// service is older than limit.
func requireFreshObservations(t *testing.T, m *mesher.Mesh, service string, limit time.Duration) {
	t.Helper()
	for _, n := range m.RunningNodes() {
		for k := range zones {
			key := fmt.Sprintf("%s/%s-%d", service, service, k+1)
			must.Less(t, limit, m.Now.Sub(n.LastObserved[key]), must.Sprint(n.Name, " of ", key))
		}
	}
}

// Observations of members stay within the staleness bound when observers or the list that
// they are selected from fail.
func TestObservationsStayFresh(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(m *mesher.Mesh)
		// settle is the time allowed to recover from the fault.
		settle time.Duration
	}{
		{"no fault", func(*mesher.Mesh) {}, 0},
		{"list stale, a third replaced", replaceThird, 5 * time.Second},
		{"half the list wrong", corruptList, 0},
		{"all observers of a group killed", func(m *mesher.Mesh) { forEachObserver(m, (*mesher.Node).Kill) }, 5 * time.Second},
		{"all observers of a group paused", func(m *mesher.Mesh) { forEachObserver(m, func(n *mesher.Node) { n.Paused = true }) }, 5 * time.Second},
		{"store and list down", func(m *mesher.Mesh) { m.StoreDown, m.ListDown = true, true; m.Run(time.Minute) }, 0},
	} {
		for seed := range uint64(1) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				m := newMesh(12, 3, seed)
				c.fault(m)
				m.Run(c.settle)
				requireFreshObservations(t, m, "service-1", time.Second)
			})
		}
	}
}

func forEachObserver(m *mesher.Mesh, f func(*mesher.Node)) {
	for _, z := range zones {
		for _, i := range observer.ShardObservers(observer.Shard("service-1"), z, m.List) {
			f(m.Node(i.Name))
		}
	}
}

// A leaving mark from one source reaches every instance within 3 s, even if announcements
// are lost.
func TestLeavingMarkReachesAll(t *testing.T) {
	for _, perZone := range []int{3, 12} {
		for _, dropped := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/dropped=%v", 3*perZone, dropped), func(t *testing.T) {
				m := newMesh(perZone, 3, 1)
				m.DropAnnouncements = dropped
				target := lister.Instance{Name: "service-1-2", Kind: lister.KindTarget, Zone: "b", State: lister.StateLeaving}
				m.List = append(m.List, target)
				m.Run(3 * time.Second)
				for _, n := range m.RunningNodes() {
					must.MapContainsKey(t, n.LeavingTargets, "service-1/service-1-2", must.Sprint(n.Name))
				}
			})
		}
	}
}

// The rate of status queries is bounded if a single instance observes many groups.
func TestStatusQueryRateIsBounded(t *testing.T) {
	for _, services := range []int{3, 100, 2300} {
		t.Run(fmt.Sprint(services), func(t *testing.T) {
			m := mesher.New(mesher.Plan{Seed: 1, Zones: []string{"a"}, PerZone: 1, Document: newDocument(services)})
			m.Run(10 * time.Second)
			before := m.Nodes[0].StatusQueries
			m.Run(60 * time.Second)
			must.LessEq(t, 110*60, m.Nodes[0].StatusQueries-before)
		})
	}
}
