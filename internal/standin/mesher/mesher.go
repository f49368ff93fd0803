// Package mesher simulates the control plane of many instances deterministically, in one
// goroutine and on virtual time. Calls between instances and to the store, the platform's
// instance list and the targets are functions with injectable faults, without a network.
package mesher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
)

type (
	// Plan configures a mesh.
	Plan struct {
		Seed    uint64
		Zones   []string
		PerZone int
		// Document is the configuration published at the start.
		Document *configurer.Document
		// UsedServices returns the services that clients of an instance use; nil means
		// all.
		UsedServices func(n *Node) []string
	}

	// Mesh is a set of simulated instances with their store, list and targets. Its
	// exported faults may be changed between calls of Run.
	Mesh struct {
		Plan  Plan
		Now   time.Time
		Nodes []*Node
		// List is the platform's instance list; ListDown makes reading it fail.
		List     []lister.Instance
		ListDown bool
		// StoreDown makes calls to the store and its watches fail.
		StoreDown bool
		// Partitioned reports whether two zones are partitioned; nil means none are. The
		// store and the list are in the zone "platform".
		Partitioned func(a, b string) bool
		// DropAnnouncements drops all announcements.
		DropAnnouncements bool
		// Totals counts messages and bytes since the start.
		Totals Counters

		version      int64
		text         []byte
		watches      []*watch
		events       eventQueue
		lastSequence int
		random       *rand.Rand
		start        time.Time
	}

	// Counters holds totals over all instances.
	Counters struct {
		Events        int
		Exchanges     int
		Announcements int
		Fetches       int
		StatusQueries int
		// Bytes is the size of exchanges, announcements and fetches in both directions.
		Bytes int64
		// FetchBytes is the part of Bytes for fetches.
		FetchBytes                          int64
		StoreReads, StoreWatches, ListCalls int
	}

	// Node is one simulated instance.
	Node struct {
		Name   string
		Zone   string
		Slices []controller.Slice
		// ActivatedVersions lists the configuration versions in order of activation.
		ActivatedVersions []int64
		// LastObserved is the time of the newest known observation per "service/member".
		LastObserved map[string]time.Time
		// LeavingTargets maps each leaving "service/member" to when the node learned of it.
		LeavingTargets map[string]time.Time
		// StatusQueries counts the status queries to targets.
		StatusQueries int
		// Dead and Paused nodes neither run nor respond; Resume continues a paused one.
		Dead   bool
		Paused bool

		mesh           *Mesh
		gossipSnapshot atomic.Pointer[gossiper.Snapshot]
		activeDocument atomic.Pointer[configurer.ActiveDocument]
		deferredEvents []controller.Event
	}

	watch struct {
		node         *Node
		sinceVersion int64
		ended        bool
	}

	eventRecorder struct{ node *Node }

	scheduledEvent struct {
		at       time.Time
		sequence int
		run      func()
	}

	eventQueue []scheduledEvent
)

const (
	// Latency is the one-way delay of every message.
	Latency = 2 * time.Millisecond
	// CallTimeout is the time after which a call without response fails.
	CallTimeout = 500 * time.Millisecond
	// ExchangeOverhead is the size in bytes of an exchange's frames without the two messages;
	// TestOverhead of package gossiper checks it.
	ExchangeOverhead = 49
	watchTimeout     = 10 * time.Second
	usageInterval    = 500 * time.Millisecond
	platformZone     = "platform"
)

var errNoResponse = errors.New("no response")

// New returns a mesh with all nodes of the plan running.
func New(p Plan) *Mesh {
	m := &Mesh{Plan: p, Now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(p.Seed, 1))}
	m.start = m.Now
	if p.Document != nil {
		m.Publish(p.Document)
	}
	for _, z := range p.Zones {
		for k := range p.PerZone {
			m.Add(fmt.Sprintf("entry-%s-%d", z, k+1), z)
		}
	}
	return m
}

// Add starts a node without state and adds it to the list.
func (m *Mesh) Add(name, zone string) *Node {
	n := &Node{Name: name, Zone: zone, mesh: m, LastObserved: map[string]time.Time{}, LeavingTargets: map[string]time.Time{}}
	entry := n.ListEntry()
	newRandom := func() *rand.Rand { return rand.New(rand.NewPCG(m.random.Uint64(), m.random.Uint64())) }
	var seeds []string
	for _, o := range m.Nodes {
		seeds = append(seeds, o.Name)
	}
	n.Slices = []controller.Slice{
		&lister.Slice{Self: entry, Random: newRandom()},
		&configurer.Slice{Instance: name, Zone: zone, Random: newRandom(), Active: &n.activeDocument},
		&drainer.Slice{},
		&observer.Slice{Instance: name, Zone: zone},
		&gossiper.Slice{Self: entry, Incarnation: m.random.Uint32(), Random: newRandom(), Published: &n.gossipSnapshot, Seeds: seeds},
		&eventRecorder{node: n},
	}
	m.Nodes = append(m.Nodes, n)
	m.List = append(m.List, entry)
	m.schedule(time.Duration(m.random.Int64N(int64(controller.DefaultInterval))), n.tick)
	m.schedule(0, n.reportUsage)
	return n
}

// ListEntry returns the node's entry in the list; its address is its name.
func (n *Node) ListEntry() lister.Instance {
	return lister.Instance{Name: n.Name, Kind: lister.KindEntry, Address: n.Name, Zone: n.Zone, State: lister.StateLive}
}

// Kill crashes a node.
func (n *Node) Kill() { n.Dead = true }

// Resume continues a paused node and delivers the events deferred meanwhile.
func (n *Node) Resume() {
	n.Paused = false
	for _, e := range n.deferredEvents {
		n.Deliver(e)
	}
	n.deferredEvents = nil
}

// Deliver passes an event to a node's slices and performs the actions they return.
func (n *Node) Deliver(e controller.Event) {
	switch {
	case n.Dead:
		return
	case n.Paused:
		n.deferredEvents = append(n.deferredEvents, e)
		return
	}
	n.mesh.Totals.Events++
	for _, a := range controller.Dispatch(n.Slices, n.mesh.Now, e) {
		n.perform(a)
	}
}

// ActiveVersion returns the node's active configuration version, 0 if there is none.
func (n *Node) ActiveVersion() int64 {
	if len(n.ActivatedVersions) == 0 {
		return 0
	}
	return n.ActivatedVersions[len(n.ActivatedVersions)-1]
}

// Publish writes a configuration to the store and returns its version.
func (m *Mesh) Publish(d *configurer.Document) int64 { return m.PublishRaw(configurer.Encode(d)) }

// PublishRaw writes arbitrary text to the store as the configuration.
func (m *Mesh) PublishRaw(text []byte) int64 {
	m.version++
	m.text = text
	for _, w := range m.watches {
		m.scheduleWatchResponse(w)
	}
	return m.version
}

// Run advances virtual time by d.
func (m *Mesh) Run(d time.Duration) {
	end := m.Now.Add(d)
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		i := heap.Pop(&m.events).(scheduledEvent)
		m.Now = i.at
		i.run()
	}
	m.Now = end
}

// RunningNodes returns the nodes that are neither dead nor paused.
func (m *Mesh) RunningNodes() []*Node {
	var out []*Node
	for _, n := range m.Nodes {
		if !n.Dead && !n.Paused {
			out = append(out, n)
		}
	}
	return out
}

// Node returns the latest node added under a name.
func (m *Mesh) Node(name string) *Node {
	for i := len(m.Nodes) - 1; i >= 0; i-- {
		if m.Nodes[i].Name == name {
			return m.Nodes[i]
		}
	}
	return nil
}

func (m *Mesh) schedule(d time.Duration, run func()) {
	m.lastSequence++
	heap.Push(&m.events, scheduledEvent{at: m.Now.Add(d), sequence: m.lastSequence, run: run})
}

func (m *Mesh) partitioned(a, b string) bool {
	return m.Partitioned != nil && a != b && m.Partitioned(a, b)
}

func (n *Node) tick() {
	if n.Dead {
		return
	}
	if !n.Paused {
		n.Deliver(controller.Tick{})
	}
	n.mesh.schedule(controller.DefaultInterval, n.tick)
}

func (n *Node) reportUsage() {
	if n.Dead {
		return
	}
	var u observer.ServicesInUse
	if f := n.mesh.Plan.UsedServices; f != nil {
		u.Services = f(n)
	} else if d := n.mesh.Plan.Document; d != nil {
		for _, v := range d.Services {
			u.Services = append(u.Services, v.Name)
		}
	}
	n.Deliver(u)
	n.mesh.schedule(usageInterval, n.reportUsage)
}

// Step implements controller.Slice.
func (r *eventRecorder) Step(now time.Time, e controller.Event) []controller.Action {
	n := r.node
	switch e := e.(type) {
	case configurer.Activated:
		n.ActivatedVersions = append(n.ActivatedVersions, e.Version)
	case observer.Observed:
		if k := e.Service + "/" + e.Member; e.Err == nil && e.Started.After(n.LastObserved[k]) {
			n.LastObserved[k] = e.Started
		}
	case drainer.TargetLeaving:
		k := e.Service + "/" + e.Member
		if e.Leaving {
			n.LeavingTargets[k] = now
		} else {
			delete(n.LeavingTargets, k)
		}
	}
	return nil
}

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
