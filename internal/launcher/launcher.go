// Package launcher assembles an entry instance on the hosting platform, runs its
// components and shuts them down.
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

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/exchanger"
	"github.com/oriolegw/oriolegw/internal/forecaster"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/logwriter"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/uber-go/tally/v4"
)

const (
	// balancerDetectionTime is how long the load balancer may still send clients to an
	// instance that is not ready: it polls once a second and acts on the second failure.
	balancerDetectionTime = 2200 * time.Millisecond
	// transactionDrainFraction is the fraction of the shutdown time after which open
	// transactions are aborted.
	transactionDrainFraction = 0.5
	// drainFraction is the fraction of the shutdown time after which the process exits
	// even if connections are open.
	drainFraction     = 0.85
	drainPollInterval = 20 * time.Millisecond
	// maxLoanConfigurationWait bounds the wait of a peer's loan for the first configuration. It is
	// less than a borrower gives one attempt.
	maxLoanConfigurationWait = 150 * time.Millisecond
)

type (
	// Platform holds the store, codecs and functions of the hosting platform.
	Platform struct {
		Store interface {
			storer.BatchStore
			watcher.Source
			// ListStale is List with a result that may be some seconds old, at a lower price.
			ListStale(ctx context.Context, prefix string) ([]storer.Pair, error)
		}
		Promote            func(ctx context.Context, group, member string, fence int64) error
		IsPromotionRefused func(error) bool
		MemberCodec        messenger.MemberCodec
		CallerCodec        messenger.CallerCodec

		ConfigurationKey, MemberPrefix string

		DecodeConfiguration func(value []byte) (*tracker.Configuration, error)
		DecodeMember        func(key string, value []byte, revision int64) (tracker.Member, error)
	}

	// Instance is one entry instance. Set the exported fields, then call Run.
	Instance struct {
		Settings  *loader.EdgeSettings
		Platform  Platform
		Network   networker.Network
		LogWriter *logwriter.Writer
		Clock     func() tracker.Timestamp
		// Shutdown receives the signals that start a graceful shutdown.
		Shutdown <-chan os.Signal
		// Reload receives the signals to check the settings for changes; LoadSettings loads them.
		Reload       <-chan os.Signal
		LoadSettings func() (*loader.EdgeSettings, error)
		// ProcessorTime, when set, returns the processor time that the process has used.
		ProcessorTime func() time.Duration

		metrics       tally.Scope
		metricsCloser io.Closer
		latencies     map[tracker.Rule]tally.Histogram
		// affected counts the operations that a lack of capacity refuses, delays or makes late.
		affected tabulator.Tabulator
		// limitRefusals counts the operations refused because a customer was over its limit.
		limitRefusals customerCounter
		// placements counts the decisions where reads go, by balancer.Outcome.
		placements      []tally.Counter
		metricsRegistry *reporter.Registry
		configuration   atomic.Pointer[tracker.Configuration]
		// configured is closed once the first configuration and the members read with it have been
		// applied; only markConfigured closes it.
		configured chan struct{}
		draining   atomic.Bool
		// loadMilli is the used part of the CPU limit in thousandths, 0 if unknown.
		loadMilli atomic.Int64
		startedAt tracker.Timestamp
		stateLog  *logwriter.Logger

		// backendAdded wakes maintainBackends.
		backendAdded chan struct{}

		mutex    sync.Mutex
		backends map[string]*backend
		members  map[string][]tracker.Member
		// restartedAt is when a restart of a group's member was last detected. Its state is
		// created on first use and would not know of earlier restarts.
		restartedAt map[string]tracker.Timestamp
		// loadRejections and loadFailures limit the log lines about loads of members.
		loadRejections, loadFailures logLimit
		// reads are the reads of each group, by this instance's callers and by peers'.
		reads      readRates
		background sync.WaitGroup
		ctx        context.Context

		server   *dispatcher.Server
		elector  *elector.Elector
		watcher  *watcher.Watcher
		registry *registryReader
		peers    *peerServices
		// denials are the replies of other instances that they know of no later owner of groups.
		denials denials
	}
)

// Run serves until Shutdown receives a signal, a component fails or the context is canceled.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := time.Now()
	i.prepare(ctx)
	i.stateLog.Log("event", "start", "name", i.Settings.Name, "zone", i.Settings.Zone, "callers", i.Settings.Callers, "cores", i.Settings.Cores)

	exits, running := make(chan error, 12), 0
	run := func(component func(context.Context) error) {
		running++
		go func() { exits <- component(ctx) }()
	}
	run(func(ctx context.Context) error {
		return i.serveHTTP(ctx, i.Settings.ReadinessAddress, i.readyHandler())
	})
	if i.Settings.MetricsAddress != "" {
		run(func(ctx context.Context) error { return i.serveHTTP(ctx, i.Settings.MetricsAddress, i.metricsMux()) })
	}
	run(i.server.Run)
	run(i.handleReloads)
	run(i.watcher.Run)
	run(i.maintainBackends)
	if i.peers != nil {
		run(i.peers.exchanger.Run)
		run(i.peers.server.Run)
		run(i.peers.accountant.Run)
		run(i.requestLoads)
		run(i.balanceLoad)
		run(i.confirmUnclaimed)
	}
	electorContext, stopElector := context.WithCancel(ctx)
	defer stopElector()
	electorExit := make(chan error, 1)
	go func() { electorExit <- i.elector.Run(electorContext) }()

	var err error
	select {
	case s := <-i.Shutdown:
		i.stateLog.Log("event", "stop", "signal", s, "callers", i.server.SessionCount())
		stopElector()
		i.drain(ctx)
	case err = <-exits:
		running--
	case <-ctx.Done():
	}
	cancel()
	// The next process on these addresses must find them free.
	for ; running > 0; running-- {
		<-exits
	}
	<-electorExit
	i.background.Wait()
	if i.peers != nil {
		i.peers.forwarder.Close()
		i.peers.client.Close()
	}
	if closeErr := i.metricsCloser.Close(); closeErr != nil {
		i.stateLog.Log("event", "metrics-not-closed", "cause", closeErr)
	}
	i.stateLog.Log("event", "stopped", "after-ms", time.Since(started).Milliseconds(), "cause", err)
	return err
}

func (i *Instance) prepare(ctx context.Context) {
	i.ctx, i.startedAt = ctx, i.Clock()
	i.stateLog = i.LogWriter.Logger("belief")
	i.metricsRegistry = &reporter.Registry{}
	i.metrics, i.metricsCloser = i.metricsRegistry.NewScope(map[string]string{reporter.TagInstance: i.Settings.Name})
	i.backendAdded, i.configured = make(chan struct{}, 1), make(chan struct{})
	i.backends, i.members, i.restartedAt = map[string]*backend{}, map[string][]tracker.Member{}, map[string]tracker.Timestamp{}
	requests, traces := i.LogWriter.Logger("request"), i.LogWriter.Logger("served")
	i.server = &dispatcher.Server{
		Address: i.Settings.Callers, Network: i.Network, Codec: i.Platform.CallerCodec, Clock: i.Clock,
		Configuration: i.configuration.Load, ConfigurationKnown: i.configured, ConfigurationCurrent: func() bool { return i.watcher.Current() }, MaxConfigurationDelay: i.Settings.MaxApplyDelay,
		Backend:          func(group string) *dispatcher.Backend { return &i.backend(group).Backend },
		LogDecision:      func(component string, f ...any) { requests.Log(append([]any{"of", component}, f...)...) },
		LogServed:        traces.Log,
		Count:            func(name string) { i.metrics.Counter(metricPrefix + name).Inc(1) },
		CountRefused:     func(r dispatcher.Reason) { i.metrics.Counter(metricRefused + string(r)).Inc(1) },
		CountLimited:     i.limitRefusals.add,
		RecordAffected:   i.recordAffected,
		CountWaitRefused: func(cause forecaster.Cause) { i.metrics.Counter(metricWaitRefused + string(cause)).Inc(1) },
		CountRetried:     func(r dispatcher.Reason) { i.metrics.Counter(metricRetried + string(r)).Inc(1) },
		RecordServed:     func(r tracker.Route, took time.Duration) { i.latencies[r.Rule].RecordDuration(took) },
		RecordRead:       i.reads.record,
	}
	i.elector = &elector.Elector{
		Store: i.Platform.Store, Clock: i.Clock, Name: i.Settings.Name + runIDSeparator + newRunID(), Instance: i.Settings.Name,
		DeniedAt: i.denials.deniedAt, ColdStart: i.Settings.ColdStart, Groups: i.promotableGroups, Supervise: i.superviseGroup, Log: i.LogWriter.Logger("duty").Log,
	}
	i.watcher = i.newWatcher()
	i.registry = &registryReader{Read: i.watcher.ReadRegistry, Available: i.watcher.StoreAvailable, Clock: i.Clock}
	i.elector.StoreReachable = i.watcher.StoreAvailable
	if i.Settings.PeerAddress != "" {
		i.peers = i.newPeerServices()
		i.elector.AcquireRank = i.acquisitionRank
		i.watcher.RequestState, i.watcher.OnInstance, i.watcher.FollowsPeers = i.peers.exchanger.RequestState, i.peers.exchanger.HandleRecord, i.peers.exchanger.FollowsPeers
		i.watcher.ListInstances, i.watcher.OnListed = i.listInstances, i.peers.exchanger.SetListed
		i.watcher.NeedsProofs = i.needsProofs
		i.watcher.InstanceKey = exchanger.RecordPrefix(i.Settings.Zone) + i.Settings.Name
	}
	i.declareMetrics()
}

// runIDSeparator separates an instance's name from its run ID.
const runIDSeparator = "-"

// newRunID returns a value that distinguishes the runs of an instance.
func newRunID() string { return time.Now().UTC().Format("150405.000000") }

func (i *Instance) newWatcher() *watcher.Watcher {
	return &watcher.Watcher{
		Source: i.Platform.Store, Clock: i.Clock, MaxPropagationDelay: i.Settings.MaxApplyDelay, ColdStart: i.Settings.ColdStart,
		ConfigurationKey: i.Platform.ConfigurationKey, MemberPrefix: i.Platform.MemberPrefix, OwnershipPrefix: elector.OwnershipPrefix, StatePrefix: elector.StatePrefix, InstancePrefix: exchanger.InstancePrefix,
		DecodeConfiguration: i.Platform.DecodeConfiguration, DecodeMember: i.Platform.DecodeMember,
		OnConfiguration: i.applyConfiguration, OnMembers: i.applyMembers, OnOwnership: i.elector.HandleRecord, OnApplied: i.markConfigured, Log: i.stateLog.Log,
	}
}

// markConfigured lets the waiting sessions start once a configuration is in force. The watcher does
// not call it concurrently.
func (i *Instance) markConfigured() {
	if i.configuration.Load() == nil {
		return
	}
	select {
	case <-i.configured:
	default:
		close(i.configured)
		i.stateLog.Log("event", "configured", "after-ms", (i.Clock() - i.startedAt).Milliseconds())
	}
}

// awaitConfigured waits until the first configuration is in force, for at most maxLoanConfigurationWait.
func (i *Instance) awaitConfigured() {
	select {
	case <-i.configured:
		return
	default:
	}
	t := time.NewTimer(maxLoanConfigurationWait)
	defer t.Stop()
	select {
	case <-i.configured:
	case <-t.C:
	case <-i.ctx.Done():
	}
}

// listInstances reads the records of the instances in this region or, if the result must not be
// stale, in this zone, which is enough to find the others.
func (i *Instance) listInstances(ctx context.Context, stale bool) ([]storer.Pair, error) {
	if !stale {
		return i.Platform.Store.List(ctx, exchanger.RecordPrefix(i.Settings.Zone))
	}
	zones := slices.DeleteFunc(slices.Sorted(maps.Keys(i.Settings.Regions)), func(zone string) bool { return !i.sameRegion(zone) })
	lists, errs := make([][]storer.Pair, len(zones)), make([]error, len(zones))
	var calls sync.WaitGroup
	for n, zone := range zones {
		calls.Go(func() { lists[n], errs[n] = i.Platform.Store.ListStale(ctx, exchanger.RecordPrefix(zone)) })
	}
	calls.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return slices.Concat(lists...), nil
}

func (i *Instance) applyConfiguration(c *tracker.Configuration) {
	c.AppliedAt = i.Clock()
	if i.peers != nil && c.Customers != nil {
		i.peers.exchanger.Discoverer.KeepAllZones.Store(true)
	}
	i.logCustomerChanges(i.configuration.Swap(c), c)
	if i.peers != nil {
		i.peers.accountant.Wake()
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, b := range i.backends {
		b.Pool.Configure(c.Groups[name].Connections, c.Customers)
	}
	if !preparesAll(c) {
		return
	}
	for name := range c.Groups {
		i.backendLocked(name)
	}
}

// applyMembers applies the members of groups that have changed.
func (i *Instance) applyMembers(groups map[string][]tracker.Member) {
	now := i.Clock()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, list := range groups {
		if anyRestarted(i.members[name], list) {
			i.restartedAt[name] = now
		}
		if len(list) == 0 {
			delete(i.members, name)
			delete(i.restartedAt, name)
		} else {
			i.members[name] = list
		}
		if b, ok := i.backends[name]; ok {
			b.Group.SetMembers(list)
			b.Pool.MembersChanged()
		}
	}
}

// anyRestarted reports whether a member has restarted between two lists.
func anyRestarted(before, now []tracker.Member) bool {
	for _, m := range now {
		for _, old := range before {
			if old.ID == m.ID && m.RestartedSince(old) {
				return true
			}
		}
	}
	return false
}

// promotableGroups returns the groups whose failover lease this instance may acquire.
func (i *Instance) promotableGroups() []string {
	c := i.configuration.Load()
	if c == nil || i.draining.Load() || i.Settings.PromotionAddress == "" {
		return nil
	}
	names := make([]string, 0, len(c.Groups))
	for name := range c.Groups {
		names = append(names, name)
	}
	return names
}

func (i *Instance) allBackends() []*backend {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Collect(maps.Values(i.backends))
}

// commitHolders returns the members whose logs may hold acknowledged commits, which are the
// registered ones and those in the group's failover record, and whether commits are
// acknowledged by a replica.
func (i *Instance) commitHolders(group string) ([]string, bool) {
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

// recordConnect counts connection attempts to members and logs the failed ones.
func (i *Instance) recordConnect(group string) func(member string, err error) {
	connections := i.LogWriter.Logger("connection")
	return func(member string, err error) {
		if err == nil {
			i.metrics.Counter(metricOpened).Inc(1)
			return
		}
		i.metrics.Counter(metricConnectFailed).Inc(1)
		connections.Log("event", "connect-failed", "group", group, "member", member, "cause", err)
	}
}

// recordCheckout counts connections checked out for clients' work.
func (i *Instance) recordCheckout(opened bool) {
	if opened {
		i.metrics.Counter(metricCheckoutOpened).Inc(1)
		return
	}
	i.metrics.Counter(metricCheckoutReused).Inc(1)
}

// recordIdleLoss counts and logs connections to a member that broke while idle.
func (i *Instance) recordIdleLoss(group string) func(member string, idle time.Duration) {
	connections := i.LogWriter.Logger("connection")
	return func(member string, idle time.Duration) {
		i.metrics.Counter(metricIdleLost).Inc(1)
		connections.Log("event", "connection-lost", "group", group, "member", member, "idle-ms", idle.Milliseconds())
	}
}

// sameRegion reports whether an availability zone is in this instance's region.
func (i *Instance) sameRegion(zone string) bool {
	r, ok := i.Settings.Regions[zone]
	return ok && r == i.Settings.Regions[i.Settings.Zone]
}

// superviseGroup runs a group's failover while this instance owns the group.
func (i *Instance) superviseGroup(ctx context.Context, group string, o *elector.Ownership) error {
	b := i.backend(group)
	i.setSupervised(b, true)
	defer i.setSupervised(b, false)
	s := &elector.Supervisor{
		Group: b.Group, Clock: i.Clock, Codec: i.Platform.MemberCodec,
		Members: func() []tracker.Member {
			i.mutex.Lock()
			defer i.mutex.Unlock()
			return i.members[group]
		},
		Connect: func(ctx context.Context, m tracker.Member) (*lender.Conn, error) {
			return lender.Connect(ctx, i.Network, i.Platform.MemberCodec, m, i.Settings.Name)
		},
		SendPooled: b.sendPooled, ReadRegistry: i.watcher.ReadRegistry,
		AllowLeases: o.AllowLeases, SuspendLeases: o.SuspendLeases, Candidates: func() []string { return i.ownerCandidates(group) },
		Holds: o.Holds, NextFencingToken: o.NextFencingToken, State: o.State, StateStored: o.StateStored, StateConfirmed: o.StateConfirmed, ReadState: o.ReadState,
		Promote: i.Platform.Promote, Refused: i.Platform.IsPromotionRefused,
		SynchronousReplicas: func() int {
			c := i.configuration.Load()
			return c.Groups[group].SyncReplicas
		},
		ConnectionLimit: func() int { return i.configuration.Load().Groups[group].Connections },
		ProcessStart:    i.startedAt, PrimaryChanged: b.Pool.MembersChanged,
		Log: i.LogWriter.Logger("duty").Log,
	}
	return s.Run(ctx)
}

// setSupervised marks a group that this instance supervises, which is then kept.
func (i *Instance) setSupervised(b *backend, supervised bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	b.supervised, b.lastUsed = supervised, i.Clock()
}
