package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/retrier"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/internal/sharer"
)

const (
	refreshEvery = 50 * time.Millisecond
	groupQueue   = 64
)

type (
	// group is what the instance keeps for one service: its connections, its
	// admission and its retries.
	group struct {
		pool    *pooler.Pool
		gate    *admitter.Gate
		retries *retrier.Budget
		cancel  context.CancelFunc
		// used is set by the first caller.
		used atomic.Bool
	}

	// groupTable is what traffic looks groups up in. It is never changed once
	// published.
	groupTable struct {
		byName    map[string]*group
		byAddress map[string]*group
	}

	// groups are those of all services. Traffic looks them up; run owns them.
	groups struct {
		instance *Instance
		control  *controller.Controller
		random   *rand.Rand

		byName  map[string]*group
		version int64 // of the configuration that byName follows
		ended   chan error
		running int
	}
)

// addShares gives control the slice that agrees on shares.
func (i *Instance) addShares(control *controller.Controller) {
	control.Slices = append(control.Slices, &sharer.Slice{Instance: i.Settings.Name, Random: i.random()})
	control.Performers = append(control.Performers, &sharer.Performer{Store: i.Store, Network: i.Network, SetShare: i.setShare})
}

// runGroups keeps a group for each service of the configuration in force, and
// tells its pool where connections are likely to be needed.
func (i *Instance) runGroups(ctx context.Context, control *controller.Controller) error {
	g := &groups{instance: i, control: control, random: i.random(), byName: map[string]*group{}, ended: make(chan error, groupQueue)}
	t := time.NewTicker(refreshEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if table := i.table.Load(); table != nil && table.Document != nil {
				g.refresh(ctx, table)
			}
			g.report(ctx)
		case <-g.ended:
			g.running--
		case <-ctx.Done():
			for ; g.running > 0; g.running-- {
				<-g.ended
			}
			return ctx.Err()
		}
	}
}

// refresh tells the pools where traffic is likely to go, and follows a change of
// the configuration.
func (g *groups) refresh(ctx context.Context, t *router.Table) {
	configured := t.Version != g.version
	g.version = t.Version
	for _, c := range t.Document.Services {
		s := t.Group(c.Name)
		v := g.byName[c.Name]
		if v == nil {
			v = g.open(ctx, s)
			g.byName[c.Name] = v
		}
		if configured {
			v.gate.Configure(s.Service)
		}
		v.pool.SetWanted(places(s, g.instance.Settings.Zone, router.HomeOf(g.instance.Settings.Name)))
	}
	if configured {
		g.publish(t)
	}
}

// publish shows traffic the groups of the configuration in force.
func (g *groups) publish(t *router.Table) {
	m := &groupTable{byName: map[string]*group{}, byAddress: map[string]*group{}}
	for _, s := range t.Document.Services {
		m.byName[s.Name] = g.byName[s.Name]
		for _, member := range s.Members {
			m.byAddress[member.Address] = g.byName[s.Name]
		}
	}
	for name, v := range g.byName {
		if m.byName[name] == nil {
			v.cancel()
			delete(g.byName, name)
		}
	}
	g.instance.groups.Store(m)
	for name, v := range g.byName { // a share may have come before the pool
		v.pool.SetShare(g.instance.shares.get(name))
	}
}

func (g *groups) open(ctx context.Context, s *router.Group) *group {
	i := g.instance
	ctx, cancel := context.WithCancel(ctx)
	p := &pooler.Pool{Network: i.Network, Count: i.count}
	v := &group{pool: p, gate: &admitter.Gate{Pool: p, Random: rand.New(rand.NewPCG(g.random.Uint64(), 0))}, retries: &retrier.Budget{}, cancel: cancel}
	p.OnCapacityChange = v.gate.Resized
	v.gate.Configure(s.Service)
	g.running++
	go func() { g.ended <- p.Run(ctx) }()
	return v
}

// report tells the control loop how much of each share is used.
func (g *groups) report(ctx context.Context) {
	for name, v := range g.byName {
		u := v.pool.Usage()
		g.control.Post(ctx, sharer.Load{Service: name, Use: u, Pressed: v.gate.Waiting() > 0 || u.ControlStarved})
	}
}

// shares keeps those that were decided before their pools were made.
type shares struct {
	mutex  sync.Mutex
	byName map[string]pooler.Share
}

func (s *shares) get(service string) pooler.Share {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byName[service]
}

func (s *shares) set(service string, v pooler.Share) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byName == nil {
		s.byName = map[string]pooler.Share{}
	}
	if v.Version >= s.byName[service].Version {
		s.byName[service] = v
	}
}

// setShare gives a pool its share.
func (i *Instance) setShare(l sharer.Limit) {
	i.shares.set(l.Service, l.Share)
	if v := i.group(l.Service); v != nil {
		v.pool.SetShare(l.Share)
	}
}

// places returns where connections of a group are likely to be needed: the
// primary, the own zone's replica, then the other replicas in the order in which
// routing prefers them. While no primary is
// known, only the own zone's member is kept: a share of two, idle at two replicas,
// would otherwise never be used to ask the third member, which is the primary.
func places(g *router.Group, zone string, home uint64) []pooler.Endpoint {
	var own, others []pooler.Endpoint
	for k := range g.Service.Members {
		i := router.Order(home, k, len(g.Service.Members))
		m := g.Service.Members[i]
		switch {
		case i == g.Primary:
		case m.Zone == zone:
			own = append(own, pooler.Endpoint{Address: m.Address})
		default:
			others = append(others, pooler.Endpoint{Address: m.Address})
		}
	}
	if g.Primary >= 0 {
		primary := pooler.Endpoint{Address: g.Service.Members[g.Primary].Address, Term: g.Members[g.Primary].Status.Term}
		return append(append([]pooler.Endpoint{primary}, own...), others...)
	}
	return own
}

// group returns what the instance keeps for a service; nil for a service that
// was configured only just now.
func (i *Instance) group(service string) *group {
	if m := i.groups.Load(); m != nil {
		return m.byName[service]
	}
	return nil
}

// used returns the services that callers have come for.
func (i *Instance) used() []string {
	var out []string
	if m := i.groups.Load(); m != nil {
		for n, v := range m.byName {
			if v.used.Load() {
				out = append(out, n)
			}
		}
	}
	return out
}

func (i *Instance) count(name string) { i.Metrics.Counter(name).Inc(1) }

// ask runs a control statement over the connections of the group that has a
// member at the address.
func (i *Instance) ask(ctx context.Context, address, sql string, u commander.Urgency) ([][][]byte, error) {
	if m := i.groups.Load(); m != nil {
		if v := m.byAddress[address]; v != nil {
			return v.pool.QueryControl(ctx, address, sql, u)
		}
	}
	return nil, commander.ErrBusy
}
