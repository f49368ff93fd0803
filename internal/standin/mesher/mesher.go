// Package mesher runs the control slices of many instances in one goroutine, on
// virtual time, and carries their actions out directly: calls between instances,
// the store, the platform's list and the targets are functions here, each with
// the faults that tests need. There is no network and no goroutine, so a run of
// 144 instances takes seconds and is the same every time.
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
	// Plan says what to run.
	Plan struct {
		Seed    uint64
		Zones   []string
		PerZone int
		// Document is published at the start.
		Document *configurer.Document
		// Used returns the services that callers of an instance use; nil for
		// all.
		Used func(n *Node) []string
	}

	// Mesh is the instances and what is around them. Its exported switches may
	// be changed between calls of Run.
	Mesh struct {
		Plan  Plan
		Now   time.Time
		Nodes []*Node
		// List is the platform's list as it is shown now; ListDown refuses it.
		List     []lister.Instance
		ListDown bool
		// StoreDown refuses the store's calls and ends its watches.
		StoreDown bool
		// Cut tells whether two zones can't reach each other; the store and the
		// list stand in zone "platform". nil means no cut.
		Cut func(a, b string) bool
		// Mute makes announcements get lost.
		Mute bool
		// Counts of what went over the wire, since the start.
		Counts Counts

		version  int64
		text     []byte
		waiting  []*watch
		queue    queue
		sequence int
		random   *rand.Rand
		start    time.Time
	}

	// Counts add up over all instances.
	Counts struct {
		Events    int
		Exchanges int
		Announces int
		Fetches   int
		Questions int
		// Bytes are those of exchanges, announcements and fetches, both ways.
		Bytes int64
		// FetchBytes are those of them that carried documents.
		FetchBytes int64
		// StoreCalls, by the store's method, and ListCalls.
		StoreReads, StoreWatches, ListCalls int
	}

	// Node is one instance.
	Node struct {
		Name   string
		Zone   string
		Slices []controller.Slice
		// Versions are those that came into force, in order.
		Versions []int64
		// Seen is when the observation was made that the node knows of a
		// member, by "service/member".
		Seen map[string]time.Time
		// Leaving are the targets that are leaving, with when that was learnt.
		Leaving map[string]time.Time
		// Asked counts the questions to targets.
		Asked int
		// Dead nodes neither answer nor run; Paused ones run on when woken.
		Dead   bool
		Paused bool

		mesh      *Mesh
		published atomic.Pointer[gossiper.Snapshot]
		held      atomic.Pointer[configurer.ActiveDocument]
		backlog   []controller.Event
	}

	watch struct {
		node  *Node
		since int64
		ended bool
	}

	recorder struct{ node *Node }

	item struct {
		at       time.Time
		sequence int
		run      func()
	}

	queue []item
)

const (
	// Latency is the one-way delay of every message.
	Latency = 2 * time.Millisecond
	// CallTimeout is after how long a call without answer fails.
	CallTimeout = 500 * time.Millisecond
	// Overhead is what the frames of an exchange take beside the two
	// messages themselves, as TestOverhead of package gossiper measures it.
	Overhead     = 53
	watchFor     = 10 * time.Second
	usedEvery    = 500 * time.Millisecond
	platformZone = "platform"
)

var errCut = errors.New("no answer")

// New makes a mesh with all its nodes running.
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

// Add starts a node with an empty memory and puts it into the list.
func (m *Mesh) Add(name, zone string) *Node {
	n := &Node{Name: name, Zone: zone, mesh: m, Seen: map[string]time.Time{}, Leaving: map[string]time.Time{}}
	self := n.Self()
	random := func() *rand.Rand { return rand.New(rand.NewPCG(m.random.Uint64(), m.random.Uint64())) }
	var seeds []string
	for _, o := range m.Nodes {
		seeds = append(seeds, o.Name)
	}
	n.Slices = []controller.Slice{
		&lister.Slice{Self: self, Random: random()},
		&configurer.Slice{Instance: name, Zone: zone, Random: random(), Active: &n.held},
		&drainer.Slice{},
		&observer.Slice{Instance: name, Zone: zone},
		&gossiper.Slice{Self: self, Run: m.random.Uint32(), Random: random(), Published: &n.published, Seeds: seeds},
		&recorder{node: n},
	}
	m.Nodes = append(m.Nodes, n)
	m.List = append(m.List, self)
	m.after(time.Duration(m.random.Int64N(int64(controller.DefaultInterval))), n.tick)
	m.after(0, n.use)
	return n
}

// Self is the node's row of the list. Its address is its name.
func (n *Node) Self() lister.Instance {
	return lister.Instance{Name: n.Name, Kind: lister.KindEntry, Address: n.Name, Zone: n.Zone, State: lister.StateLive}
}

// Kill ends a node as a crash does.
func (n *Node) Kill() { n.Dead = true }

// Wake lets a paused node go on: what came in the meantime is waiting.
func (n *Node) Wake() {
	n.Paused = false
	for _, e := range n.backlog {
		n.Give(e)
	}
	n.backlog = nil
}

// Give hands an event to a node and carries out what it decides.
func (n *Node) Give(e controller.Event) {
	switch {
	case n.Dead:
		return
	case n.Paused:
		n.backlog = append(n.backlog, e)
		return
	}
	n.mesh.Counts.Events++
	for _, a := range controller.Dispatch(n.Slices, n.mesh.Now, e) {
		n.perform(a)
	}
}

// InForce returns the version in force on the node.
func (n *Node) InForce() int64 {
	if len(n.Versions) == 0 {
		return 0
	}
	return n.Versions[len(n.Versions)-1]
}

// Publish puts a document into the store and returns its version.
func (m *Mesh) Publish(d *configurer.Document) int64 { return m.PublishText(configurer.Encode(d)) }

// PublishText puts any text into the store.
func (m *Mesh) PublishText(text []byte) int64 {
	m.version++
	m.text = text
	for _, w := range m.waiting {
		m.answer(w)
	}
	return m.version
}

// Run lets the time pass.
func (m *Mesh) Run(d time.Duration) {
	end := m.Now.Add(d)
	for len(m.queue) > 0 && !m.queue[0].at.After(end) {
		i := heap.Pop(&m.queue).(item)
		m.Now = i.at
		i.run()
	}
	m.Now = end
}

// Live returns the nodes that run.
func (m *Mesh) Live() []*Node {
	var out []*Node
	for _, n := range m.Nodes {
		if !n.Dead && !n.Paused {
			out = append(out, n)
		}
	}
	return out
}

// Node returns the newest node of the name.
func (m *Mesh) Node(name string) *Node {
	for i := len(m.Nodes) - 1; i >= 0; i-- {
		if m.Nodes[i].Name == name {
			return m.Nodes[i]
		}
	}
	return nil
}

func (m *Mesh) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.queue, item{at: m.Now.Add(d), sequence: m.sequence, run: run})
}

func (m *Mesh) cut(a, b string) bool { return m.Cut != nil && a != b && m.Cut(a, b) }

func (n *Node) tick() {
	if n.Dead {
		return
	}
	if !n.Paused {
		n.Give(controller.Tick{})
	}
	n.mesh.after(controller.DefaultInterval, n.tick)
}

func (n *Node) use() {
	if n.Dead {
		return
	}
	var u observer.ServicesInUse
	if f := n.mesh.Plan.Used; f != nil {
		u.Services = f(n)
	} else if d := n.mesh.Plan.Document; d != nil {
		for _, v := range d.Services {
			u.Services = append(u.Services, v.Name)
		}
	}
	n.Give(u)
	n.mesh.after(usedEvery, n.use)
}

// Step implements controller.Slice.
func (r *recorder) Step(now time.Time, e controller.Event) []controller.Action {
	n := r.node
	switch e := e.(type) {
	case configurer.Activated:
		n.Versions = append(n.Versions, e.Version)
	case observer.Observed:
		if k := e.Service + "/" + e.Member; e.Err == nil && e.Started.After(n.Seen[k]) {
			n.Seen[k] = e.Started
		}
	case drainer.TargetLeaving:
		k := e.Service + "/" + e.Member
		if e.Leaving {
			n.Leaving[k] = now
		} else {
			delete(n.Leaving, k)
		}
	}
	return nil
}

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(item)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
