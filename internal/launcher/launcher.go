// Package launcher puts an entry instance on the users' platform together, and
// starts and ends its parts.
package launcher

import (
	"context"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/exchanger"
	"github.com/oriolegw/oriolegw/internal/journaler"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/uber-go/tally/v4"
)

const (
	// rotationTime is how long after the first refusal to be ready the balancer may
	// still send callers: it asks once a second and believes the second refusal.
	rotationTime = 2200 * time.Millisecond
	// transactionPart is the part of the shutdown time that open transactions have.
	transactionPart = 0.5
	// endPart is the part after which the process ends whatever is open.
	endPart = 0.85
	// endPoll is how often it is looked whether all callers are gone.
	endPoll = 20 * time.Millisecond
)

type (
	// Platform is what the instance needs of the platform.
	Platform struct {
		Store interface {
			storer.Store
			watcher.Source
		}
		Promote        func(ctx context.Context, group, member string, fence int64) error
		PromoteRefused func(error) bool
		MemberCodec    messenger.MemberCodec
		CallerCodec    messenger.CallerCodec

		ConfigurationKey, MemberPrefix string

		DecodeConfiguration func(value []byte) (*tracker.Configuration, error)
		DecodeMember        func(key string, value []byte, revision int64) (tracker.Member, error)
	}

	// Instance is one entry instance. Set the exported fields, then call Run.
	Instance struct {
		Settings *loader.EntrySettings
		Platform Platform
		Network  networker.Network
		Journal  *journaler.Journal
		Clock    func() tracker.Timestamp
		// Leave is received from when the process is told to end.
		Leave <-chan os.Signal
		// Reload is received from when the settings may have changed; Reread reads them.
		Reload <-chan os.Signal
		Reread func() (*loader.EntrySettings, error)

		metrics    tally.Scope
		unregister io.Closer
		served     map[tracker.Rule]tally.Histogram
		// refusedOf counts the operations refused for customers' limits.
		refusedOf     tallies
		register      *reporter.Register
		configuration atomic.Pointer[tracker.Configuration]
		leaving       atomic.Bool
		booted        tracker.Timestamp
		belief        *journaler.Kind

		mutex    sync.Mutex
		backends map[string]*backend
		members  map[string][]tracker.Member
		running  sync.WaitGroup
		ctx      context.Context

		server  *dispatcher.Server
		elector *elector.Elector
		watch   *watcher.Watcher
		peers   *neighbours
	}
)

// Run serves until the process is told to end, or the context ends.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := time.Now()
	i.prepare(ctx)
	i.belief.Log("event", "start", "name", i.Settings.Name, "zone", i.Settings.Zone, "callers", i.Settings.Callers, "cores", i.Settings.Cores)

	parts, running := make(chan error, 8), 0
	run := func(part func(context.Context) error) {
		running++
		go func() { parts <- part(ctx) }()
	}
	run(func(ctx context.Context) error { return i.servePages(ctx, i.Settings.Ready, i.readyPage()) })
	if i.Settings.Metrics != "" {
		run(func(ctx context.Context) error { return i.servePages(ctx, i.Settings.Metrics, i.metricsPages()) })
	}
	run(i.server.Run)
	run(i.reload)
	run(i.watch.Run)
	run(i.tend)
	if i.peers != nil {
		run(i.peers.teller.Run)
		run(i.peers.server.Run)
		run(i.peers.accountant.Run)
	}
	electing, stopElecting := context.WithCancel(ctx)
	defer stopElecting()
	elected := make(chan error, 1)
	go func() { elected <- i.elector.Run(electing) }()

	var err error
	select {
	case s := <-i.Leave:
		i.belief.Log("event", "stop", "signal", s, "callers", i.server.Sessions())
		stopElecting()
		i.leave(ctx)
	case err = <-parts:
		running--
	case <-ctx.Done():
	}
	cancel()
	// Whoever starts next at these addresses must find them free.
	for ; running > 0; running-- {
		<-parts
	}
	<-elected
	i.running.Wait()
	if i.peers != nil {
		i.peers.carrier.Close()
		i.peers.client.Close()
	}
	if failed := i.unregister.Close(); failed != nil {
		i.belief.Log("event", "metrics-not-closed", "cause", failed)
	}
	i.belief.Log("event", "stopped", "after-ms", time.Since(started).Milliseconds(), "cause", err)
	return err
}

func (i *Instance) prepare(ctx context.Context) {
	i.ctx, i.booted = ctx, i.Clock()
	i.belief = i.Journal.Kind("belief")
	i.register = &reporter.Register{}
	i.metrics, i.unregister = i.register.Open(map[string]string{reporter.TagInstance: i.Settings.Name})
	i.backends, i.members = map[string]*backend{}, map[string][]tracker.Member{}
	requests, traces := i.Journal.Kind("request"), i.Journal.Kind("served")
	i.server = &dispatcher.Server{
		Address: i.Settings.Callers, Network: i.Network, Codec: i.Platform.CallerCodec, Clock: i.Clock,
		Configuration: i.configuration.Load, Current: func() bool { return i.watch.Current() }, InForce: i.Settings.InForce,
		Backend: func(group string) *dispatcher.Backend { return &i.backend(group).Backend },
		Decide:  func(part string, f ...any) { requests.Log(append([]any{"of", part}, f...)...) },
		Trace:   traces.Log,
		Count:   func(name string) { i.metrics.Counter(metricPrefix + name).Inc(1) },
		Refused: func(r dispatcher.Reason) { i.metrics.Counter(metricRefused + string(r)).Inc(1) },
		Limited: i.refusedOf.add,
		Retried: func(r dispatcher.Reason) { i.metrics.Counter(metricRetried + string(r)).Inc(1) },
		Served:  func(r tracker.Route, took time.Duration) { i.served[r.Rule].RecordDuration(took) },
	}
	i.elector = &elector.Elector{
		Store: i.Platform.Store, Clock: i.Clock, Name: i.Settings.Name + lifeSeparator + life(),
		ColdStart: i.Settings.FirstStart, Groups: i.groups, Supervise: i.keep, Log: i.Journal.Kind("duty").Log,
	}
	i.watch = i.watcher()
	i.elector.StoreReachable = i.watch.StoreAvailable
	if i.Settings.Peers != "" {
		i.peers = i.openNeighbours()
		i.elector.AcquireRank = i.peers.turn
		i.watch.RequestState, i.watch.OnInstance, i.watch.FollowsPeers = i.peers.teller.RequestState, i.peers.teller.HandleRecord, i.peers.teller.FollowsPeers
	}
	i.declareMetrics()
}

// lifeSeparator stands between an instance's name and what tells its lives apart.
const lifeSeparator = "-"

// life tells the lives of one instance apart.
func life() string { return time.Now().UTC().Format("150405.000000") }

func (i *Instance) watcher() *watcher.Watcher {
	return &watcher.Watcher{
		Source: i.Platform.Store, Clock: i.Clock, MaxPropagationDelay: i.Settings.InForce, FirstStart: i.Settings.FirstStart,
		ConfigurationKey: i.Platform.ConfigurationKey, MemberPrefix: i.Platform.MemberPrefix, OwnershipPrefix: elector.OwnershipPrefix, InstancePrefix: exchanger.InstancePrefix,
		DecodeConfiguration: i.Platform.DecodeConfiguration, DecodeMember: i.Platform.DecodeMember,
		OnConfiguration: i.configured, OnMembers: i.registered, OnOwnership: i.elector.HandleRecord, Log: i.belief.Log,
	}
}

func (i *Instance) configured(c *tracker.Configuration) {
	c.AppliedAt = i.Clock()
	if i.peers != nil && c.Customers != nil {
		i.peers.teller.Discoverer.KeepAllZones.Store(true)
	}
	i.noteCustomers(i.configuration.Swap(c), c)
	if i.peers != nil {
		i.peers.accountant.Wake()
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, b := range i.backends {
		b.Pool.Configure(c.Groups[name].Connections, c.Customers)
	}
	for name := range c.Groups {
		i.backendLocked(name)
	}
}

func (i *Instance) registered(list []tracker.Member) {
	byGroup := map[string][]tracker.Member{}
	for _, m := range list {
		byGroup[m.Group] = append(byGroup[m.Group], m)
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.members = byGroup
	for name, b := range i.backends {
		b.Group.SetMembers(byGroup[name])
		b.Pool.MembersChanged()
	}
}

// groups lists the groups whose duties this instance may take.
func (i *Instance) groups() []string {
	c := i.configuration.Load()
	if c == nil || i.leaving.Load() || i.Settings.Promotions == "" {
		return nil
	}
	names := make([]string, 0, len(c.Groups))
	for name := range c.Groups {
		names = append(names, name)
	}
	return names
}

func (i *Instance) backend(group string) *backend {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.backendLocked(group)
}

func (i *Instance) backendLocked(group string) *backend {
	if b, ok := i.backends[group]; ok {
		return b
	}
	g := &tracker.Group{Name: group, Zone: i.Settings.Zone, SameRegion: i.near}
	b := &backend{clock: i.Clock, codec: i.Platform.MemberCodec, log: i.belief.Log, suspicion: make(chan string, 1), aged: make(chan struct{}, 1), leaderless: make(chan struct{}, 1)}
	b.roster = func() ([]string, bool) { return i.roster(group) }
	b.Backend = dispatcher.Backend{Group: g, Suspect: b.suspect, Pool: &lender.Pool{
		Group: g, Network: i.Network, Codec: i.Platform.MemberCodec, ClientName: i.Settings.Name, Clock: i.Clock, NoteOpened: i.noteConnection(group), MaintainedByOwner: true,
		NoteBroken: i.noteLost(group), NoteLent: i.noteLent,
		NotePacing: func(member string, room bool) {
			i.belief.Log("event", "room", "group", group, "member", member, "room", room)
		},
	}}
	if i.peers != nil {
		b.Pool.BorrowRemote, b.Pool.BorrowFromHolder = i.peers.carrier.BorrowRemote, i.peers.carrier.BorrowFromHolder
		b.Pool.HeldElsewhere, b.Pool.HolderCount = i.peers.carrier.HeldElsewhere, i.peers.carrier.HolderCount
		b.Pool.Admit, b.Pool.UndoAdmit = i.peers.accountant.Admit, i.peers.accountant.UndoAdmit
	}
	g.SetMembers(i.members[group])
	if c := i.configuration.Load(); c != nil {
		b.Pool.Configure(c.Groups[group].Connections, c.Customers)
	}
	i.backends[group] = b
	i.running.Go(func() { b.run(i.ctx) })
	return b
}

// groupsInUse lists what is kept for each group.
func (i *Instance) groupsInUse() []*backend {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Collect(maps.Values(i.backends))
}

// roster lists the members whose logs may hold acknowledged commits: those that are
// registered, and those that the group's duty has on record.
func (i *Instance) roster(group string) ([]string, bool) {
	ids := i.elector.RecordedMembers(group)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, m := range i.members[group] {
		if !slices.Contains(ids, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	c := i.configuration.Load()
	return ids, c != nil && c.Groups[group].SyncReplicas > 0
}

// noteConnection logs failures to connect to a member.
func (i *Instance) noteConnection(group string) func(member string, err error) {
	connections := i.Journal.Kind("connection")
	return func(member string, err error) {
		if err == nil {
			i.metrics.Counter(metricOpened).Inc(1)
			return
		}
		i.metrics.Counter(metricFailed).Inc(1)
		connections.Log("event", "connect-failed", "group", group, "member", member, "cause", err)
	}
}

// noteLent counts connections that are lent to callers' work.
func (i *Instance) noteLent(opened bool) {
	if opened {
		i.metrics.Counter(metricLentNew).Inc(1)
		return
	}
	i.metrics.Counter(metricLentKept).Inc(1)
}

// noteLost logs connections to a member that broke while they idled.
func (i *Instance) noteLost(group string) func(member string, idle time.Duration) {
	connections := i.Journal.Kind("connection")
	return func(member string, idle time.Duration) {
		i.metrics.Counter(metricLost).Inc(1)
		connections.Log("event", "connection-lost", "group", group, "member", member, "idle-ms", idle.Milliseconds())
	}
}

// near reports whether a zone is in this instance's region.
func (i *Instance) near(zone string) bool {
	r, ok := i.Settings.Regions[zone]
	return ok && r == i.Settings.Regions[i.Settings.Zone]
}

// keep watches over a group while the duty lasts.
func (i *Instance) keep(ctx context.Context, group string, d *elector.Ownership) error {
	b := i.backend(group)
	k := &elector.Supervisor{
		Group: b.Group, Clock: i.Clock, Codec: i.Platform.MemberCodec,
		Members: func() []tracker.Member {
			i.mutex.Lock()
			defer i.mutex.Unlock()
			return i.members[group]
		},
		Connect: func(ctx context.Context, m tracker.Member) (*lender.Conn, error) {
			return lender.Connect(ctx, i.Network, i.Platform.MemberCodec, m, i.Settings.Name)
		},
		Holds: d.Holds, NextFencingToken: d.NextFencingToken, State: d.State, MarkPromotionUnanswered: d.MarkPromotionUnanswered,
		Promote: i.Platform.Promote, Refused: i.Platform.PromoteRefused,
		SynchronousReplicas: func() int {
			c := i.configuration.Load()
			return c.Groups[group].SyncReplicas
		},
		ConnectionLimit: func() int { return i.configuration.Load().Groups[group].Connections },
		ProcessStart:    i.booted, PrimaryChanged: b.Pool.MembersChanged,
		Log: i.Journal.Kind("duty").Log,
	}
	return k.Run(ctx)
}
