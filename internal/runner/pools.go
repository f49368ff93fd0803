package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/oriolegw/oriolegw/internal/allocator"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/retrier"
	"github.com/oriolegw/oriolegw/internal/router"
)

const (
	refreshInterval = 50 * time.Millisecond
	poolExitBuffer  = 64
)

type (
	// group has the connection pool, the admission control and the retry budget of one service.
	group struct {
		pool      *pooler.Pool
		admission *admitter.Gate
		retries   *retrier.Budget
		cancel    context.CancelFunc
		// used is set by the first client session.
		used atomic.Bool
	}

	// groupTable indexes the groups for client sessions. It is immutable once published.
	groupTable struct {
		byName    map[string]*group
		byAddress map[string]*group
	}

	// groupManager creates and removes the groups. Only the goroutine of runGroups uses it.
	groupManager struct {
		instance *Instance
		control  *controller.Controller
		random   *rand.Rand

		byName       map[string]*group
		version      int64 // of the configuration that byName reflects
		poolExits    chan error
		runningPools int
	}
)

// addShareSlice adds the slice that divides each service's connections among the instances.
func (i *Instance) addShareSlice(control *controller.Controller) {
	control.Slices = append(control.Slices, &allocator.Slice{Instance: i.Settings.Name, Random: i.newRandom()})
	control.Performers = append(control.Performers, &allocator.Performer{Store: i.Store, Network: i.Network, SetShare: i.setShare})
}

// runGroups maintains a group for each service of the current configuration, and updates
// the pools' preferred targets.
func (i *Instance) runGroups(ctx context.Context, control *controller.Controller) error {
	manager := &groupManager{instance: i, control: control, random: i.newRandom(), byName: map[string]*group{}, poolExits: make(chan error, poolExitBuffer)}
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if table := i.table.Load(); table != nil && table.Document != nil {
				manager.refresh(ctx, table)
			}
			manager.reportLoad(ctx)
		case <-manager.poolExits:
			manager.runningPools--
		case <-ctx.Done():
			for ; manager.runningPools > 0; manager.runningPools-- {
				<-manager.poolExits
			}
			return ctx.Err()
		}
	}
}

// refresh updates the pools' preferred targets, and applies a changed configuration.
func (g *groupManager) refresh(ctx context.Context, table *router.Table) {
	changed := table.Version != g.version
	g.version = table.Version
	for _, service := range table.Document.Services {
		routed := table.Group(service.Name)
		entry := g.byName[service.Name]
		if entry == nil {
			entry = g.openGroup(ctx, routed)
			g.byName[service.Name] = entry
		}
		if changed {
			entry.admission.Configure(routed.Service)
		}
		entry.pool.SetWanted(preferredTargets(routed, g.instance.Settings.Zone, router.PreferenceSeed(g.instance.Settings.Name)))
	}
	if changed {
		g.publish(table)
	}
}

// publish makes the groups of the current configuration available to client sessions, and
// closes the others.
func (g *groupManager) publish(table *router.Table) {
	published := &groupTable{byName: map[string]*group{}, byAddress: map[string]*group{}}
	for _, service := range table.Document.Services {
		published.byName[service.Name] = g.byName[service.Name]
		for _, member := range service.Members {
			published.byAddress[member.Address] = g.byName[service.Name]
		}
	}
	for name, entry := range g.byName {
		if published.byName[name] == nil {
			entry.cancel()
			delete(g.byName, name)
		}
	}
	g.instance.groups.Store(published)
	for name, entry := range g.byName { // a share may have been decided before its pool existed
		entry.pool.SetShare(g.instance.shares.get(name))
	}
}

func (g *groupManager) openGroup(ctx context.Context, routed *router.Group) *group {
	i := g.instance
	ctx, cancel := context.WithCancel(ctx)
	pool := &pooler.Pool{Network: i.Network, Count: i.incrementCounter}
	opened := &group{pool: pool, admission: &admitter.Gate{Pool: pool, Random: rand.New(rand.NewPCG(g.random.Uint64(), 0))}, retries: &retrier.Budget{}, cancel: cancel}
	pool.OnCapacityChange = opened.admission.UpdateCapacity
	opened.admission.Configure(routed.Service)
	g.runningPools++
	go func() { g.poolExits <- pool.Run(ctx) }()
	return opened
}

// reportLoad posts the use of each share to the control loop.
func (g *groupManager) reportLoad(ctx context.Context) {
	for name, entry := range g.byName {
		use := entry.pool.Usage()
		g.control.Post(ctx, allocator.Load{Service: name, Use: use, RequestsWaiting: entry.admission.Waiting() > 0 || use.ControlStarved})
	}
}

// shareTable holds the newest share of each service, also before its pool exists.
type shareTable struct {
	mutex  sync.Mutex
	byName map[string]pooler.Share
}

func (s *shareTable) get(service string) pooler.Share {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byName[service]
}

func (s *shareTable) set(service string, share pooler.Share) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byName == nil {
		s.byName = map[string]pooler.Share{}
	}
	if share.Version >= s.byName[service].Version {
		s.byName[service] = share
	}
}

// setShare records a service's share and applies it to the pool.
func (i *Instance) setShare(limit allocator.PoolLimit) {
	i.shares.set(limit.Service, limit.Share)
	if entry := i.group(limit.Service); entry != nil {
		entry.pool.SetShare(limit.Share)
	}
}

// preferredTargets returns the targets to keep connections to, in order of preference: the
// primary, replicas in the own zone, then the other replicas in routing order. Without a known
// primary it returns only the members in the own zone: idle connections to both replicas would
// exhaust a share of two, leaving none to query the third member, which is the primary.
func preferredTargets(g *router.Group, zone string, seed uint64) []pooler.Endpoint {
	var ownZone, others []pooler.Endpoint
	for k := range g.Service.Members {
		i := router.PreferredMember(seed, k, len(g.Service.Members))
		member := g.Service.Members[i]
		switch {
		case i == g.Primary:
		case member.Zone == zone:
			ownZone = append(ownZone, pooler.Endpoint{Address: member.Address})
		default:
			others = append(others, pooler.Endpoint{Address: member.Address})
		}
	}
	if g.Primary >= 0 {
		primary := pooler.Endpoint{Address: g.Service.Members[g.Primary].Address, Term: g.Members[g.Primary].Status.Term}
		return append(append([]pooler.Endpoint{primary}, ownZone...), others...)
	}
	return ownZone
}

// group returns the group of a service; nil if it hasn't been created yet.
func (i *Instance) group(service string) *group {
	if table := i.groups.Load(); table != nil {
		return table.byName[service]
	}
	return nil
}

// usedServices returns the services that have had a client session.
func (i *Instance) usedServices() []string {
	var names []string
	if table := i.groups.Load(); table != nil {
		for name, entry := range table.byName {
			if entry.used.Load() {
				names = append(names, name)
			}
		}
	}
	return names
}

func (i *Instance) incrementCounter(name string) { i.Metrics.Counter(name).Inc(1) }

// runControlStatement runs a control statement on the member at an address, over the
// connections of its group.
func (i *Instance) runControlStatement(ctx context.Context, address, sql string, priority commander.Priority) ([][][]byte, error) {
	if table := i.groups.Load(); table != nil {
		if entry := table.byAddress[address]; entry != nil {
			return entry.pool.QueryControl(ctx, address, sql, priority)
		}
	}
	return nil, commander.ErrNoConnection
}
