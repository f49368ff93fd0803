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

// document has a member of each service in each zone.
func document(services int) *configurer.Document {
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

func mesh(perZone, services int, seed uint64) *mesher.Mesh {
	m := mesher.New(mesher.Plan{Seed: seed, Zones: zones, PerZone: perZone, Document: document(services)})
	m.Run(10 * time.Second)
	return m
}

// mustBeInForce runs until the version is in force on every live node that the
// test names, and fails when that takes longer than the brief allows.
func mustBeInForce(t *testing.T, m *mesher.Mesh, version int64, where func(*mesher.Node) bool) time.Duration {
	t.Helper()
	const limit = 5 * time.Second
	for began := m.Now; ; m.Run(50 * time.Millisecond) {
		missing := ""
		for _, n := range m.Live() {
			if where(n) && n.InForce() < version {
				missing = fmt.Sprintf("%s has %d", n.Name, n.InForce())
			}
		}
		if missing == "" {
			return m.Now.Sub(began)
		}
		must.Less(t, limit, m.Now.Sub(began), must.Sprint(missing))
	}
}

func mustOnlyRise(t *testing.T, m *mesher.Mesh) {
	t.Helper()
	for _, n := range m.Nodes {
		for i := 1; i < len(n.Versions); i++ {
			must.Greater(t, n.Versions[i-1], n.Versions[i], must.Sprint(n.Name))
		}
	}
}

func everywhere(*mesher.Node) bool { return true }

// Operators publish while something else goes wrong. Every instance that can be
// reached has the version in force within 5 s, and none ever goes back.
func TestInForceWithinFiveSeconds(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(m *mesher.Mesh)
	}{
		{"no fault", func(*mesher.Mesh) {}},
		{"announcements lost", func(m *mesher.Mesh) { m.Mute = true }},
		{"list down", func(m *mesher.Mesh) { m.ListDown = true }},
		{"half the list wrong", wrongList},
		{"a third replaced, list stale", replaceThird},
		{"watchers killed", killWatchers},
		{"watchers paused", pauseWatchers},
		{"one zone cut from the store", func(m *mesher.Mesh) {
			m.Cut = func(a, b string) bool { return a == "a" && b == "platform" }
		}},
		{"two zones cut from the store", func(m *mesher.Mesh) {
			m.Cut = func(a, b string) bool { return (a == "a" || a == "b") && b == "platform" }
		}},
	} {
		for _, perZone := range []int{3, 12} {
			for seed := range seeds(perZone) {
				t.Run(fmt.Sprintf("%s/%d/%d", c.name, 3*perZone, seed), func(t *testing.T) {
					m := mesh(perZone, 3, seed)
					c.fault(m)
					mustBeInForce(t, m, m.Publish(document(3)), everywhere)
					mustOnlyRise(t, m)
				})
			}
		}
	}
}

// seeds runs small meshes with more seeds than large ones.
func seeds(perZone int) uint64 {
	if perZone > 3 {
		return 1
	}
	return 4
}

// wrongList loses a quarter of the instances and shows as many that never were.
func wrongList(m *mesher.Mesh) {
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

// replaceThird replaces every third instance within the last minute, of which
// the list knows nothing.
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
		for _, i := range lister.Top("configuration", z, 2, m.List) {
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

// No caller uses any group, as at night, so reports are asked for rarely.
// Instances tell each other of a version at once, and do not wait for the
// repair, which takes seconds.
func TestInForceAtOnce(t *testing.T) {
	m := mesher.New(mesher.Plan{
		Seed: 1, Zones: zones, PerZone: 12, Document: document(3),
		Used: func(*mesher.Node) []string { return nil },
	})
	m.Run(10 * time.Second)
	v := m.Publish(document(3))
	must.Less(t, 300*time.Millisecond, mustBeInForce(t, m, v, everywhere))
}

// The fleet grows, the calls to the store do not: two watchers in each zone, and
// an instance that starts.
func TestStoreCallsDoNotGrow(t *testing.T) {
	for _, perZone := range []int{3, 12} {
		t.Run(fmt.Sprint(3*perZone), func(t *testing.T) {
			m := mesh(perZone, 3, 1)
			before := m.Counts
			m.Run(time.Minute)
			const watchers, perMinute = 6, 6
			must.LessEq(t, watchers*(perMinute+1), m.Counts.StoreWatches-before.StoreWatches)
			must.Eq(t, before.StoreReads, m.Counts.StoreReads)
		})
	}
}

// A zone is cut off for an hour, from the store and from the other zones, while
// operators publish. Its instances keep what they have. Healed, they have the
// newest within 5 s, and nobody takes their old document over.
func TestZoneCutForAnHour(t *testing.T) {
	m := mesh(2, 3, 1)
	m.Cut = func(a, b string) bool { return a == "c" || b == "c" }
	v := m.Publish(document(4))
	m.Run(30 * time.Minute)
	v = max(v, m.Publish(document(5)))
	m.Run(30 * time.Minute)
	for _, n := range m.Live() {
		must.Eq(t, n.Zone == "c", n.InForce() == 1, must.Sprint(n.Name))
	}
	m.Cut = nil
	mustBeInForce(t, m, v, everywhere)
	mustOnlyRise(t, m)
}

// The store and the list are down when an instance is started with an empty
// memory. It learns the newest version from a peer that its settings name, also
// when another peer still holds an older one.
func TestFreshInstanceWithPlatformDown(t *testing.T) {
	m := mesh(3, 3, 1)
	m.Nodes[0].Paused = true
	v := m.Publish(document(4))
	m.Run(5 * time.Second)
	m.StoreDown, m.ListDown = true, true
	m.Nodes[0].Wake() // an old peer with an old document
	n := m.Add("entry-a-9", "a")
	mustBeInForce(t, m, v, func(x *mesher.Node) bool { return x == n })
	mustOnlyRise(t, m)
}

// Someone writes a document into the store that can't be read. It is in force
// nowhere, a fresh instance gets the last one that can be from its peers, and
// the next readable one replaces it.
func TestUnreadableDocument(t *testing.T) {
	m := mesh(3, 3, 1)
	m.PublishText([]byte(`{"services": [`))
	m.Run(20 * time.Second)
	n := m.Add("entry-a-9", "a")
	mustBeInForce(t, m, 1, func(x *mesher.Node) bool { return x == n })
	for _, n := range m.Live() {
		must.Eq(t, 1, n.InForce())
	}
	mustBeInForce(t, m, m.Publish(document(4)), everywhere)
}

// mustBeFresh fails when a live node of the zones knows a member of the service
// only as it was longer than limit ago.
func mustBeFresh(t *testing.T, m *mesher.Mesh, service string, limit time.Duration) {
	t.Helper()
	for _, n := range m.Live() {
		for k := range zones {
			key := fmt.Sprintf("%s/%s-%d", service, service, k+1)
			must.Less(t, limit, m.Now.Sub(n.Seen[key]), must.Sprint(n.Name, " of ", key))
		}
	}
}

// Instances know the state of every member of the groups that they use, no older
// than the bound, whatever happens to the observers: nothing that is chosen by
// the list may fail with the list.
func TestObservationsStayFresh(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(m *mesher.Mesh)
		// settle is how long the fault may show.
		settle time.Duration
	}{
		{"no fault", func(*mesher.Mesh) {}, 0},
		{"list stale, a third replaced", replaceThird, 5 * time.Second},
		{"half the list wrong", wrongList, 0},
		{"all observers of a group killed", func(m *mesher.Mesh) { onObservers(m, (*mesher.Node).Kill) }, 5 * time.Second},
		{"all observers of a group paused", func(m *mesher.Mesh) { onObservers(m, func(n *mesher.Node) { n.Paused = true }) }, 5 * time.Second},
		{"store and list down", func(m *mesher.Mesh) { m.StoreDown, m.ListDown = true, true; m.Run(time.Minute) }, 0},
	} {
		for seed := range uint64(1) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				m := mesh(12, 3, seed)
				c.fault(m)
				m.Run(c.settle)
				mustBeFresh(t, m, "service-1", time.Second)
			})
		}
	}
}

func onObservers(m *mesher.Mesh, f func(*mesher.Node)) {
	for _, z := range zones {
		for _, i := range observer.ShardObservers(observer.Shard("service-1"), z, m.List) {
			f(m.Node(i.Name))
		}
	}
}

// A leaving sign that one source gives reaches every instance within 3 s, also
// when the announcements are lost, and its end does.
func TestLeavingSignReachesAll(t *testing.T) {
	for _, perZone := range []int{3, 12} {
		for _, mute := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/mute=%v", 3*perZone, mute), func(t *testing.T) {
				m := mesh(perZone, 3, 1)
				m.Mute = mute
				target := lister.Instance{Name: "service-1-2", Kind: lister.KindTarget, Zone: "b", State: lister.StateLeaving}
				m.List = append(m.List, target)
				m.Run(3 * time.Second)
				for _, n := range m.Live() {
					must.MapContainsKey(t, n.Leaving, "service-1/service-1-2", must.Sprint(n.Name))
				}
			})
		}
	}
}

// One instance is alone before many groups, which would take 69,000 questions a
// second at the full pace. It asks no more than its bound.
func TestQuestionsAreBounded(t *testing.T) {
	for _, services := range []int{3, 100, 2300} {
		t.Run(fmt.Sprint(services), func(t *testing.T) {
			m := mesher.New(mesher.Plan{Seed: 1, Zones: []string{"a"}, PerZone: 1, Document: document(services)})
			m.Run(10 * time.Second)
			before := m.Nodes[0].Asked
			m.Run(60 * time.Second)
			must.LessEq(t, 110*60, m.Nodes[0].Asked-before)
		})
	}
}
