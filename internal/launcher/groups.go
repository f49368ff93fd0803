package launcher

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// maxPreparedGroups is how many groups an instance prepares before they are used. If more
	// are configured, each is prepared on first use, so that the work of an instance follows
	// its callers instead of the number of groups.
	maxPreparedGroups = 32
	// backendRetention is how long a group is kept prepared after its last use.
	backendRetention = 30 * time.Second
	// evictionInterval is the time between two checks for unused groups.
	evictionInterval = time.Second
)

// preparesAll reports whether the groups of a configuration are prepared before they are used.
func preparesAll(c *tracker.Configuration) bool {
	return c != nil && len(c.Groups) <= maxPreparedGroups
}

// backend returns the state of a group, which is created on first use.
func (i *Instance) backend(group string) *backend {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.backendLocked(group)
}

func (i *Instance) backendLocked(group string) *backend {
	b, ok := i.backends[group]
	if !ok {
		b = i.newBackend(group)
		i.backends[group] = b
		notify(i.backendAdded)
	}
	b.lastUsed = i.Clock()
	return b
}

// newBackend creates the state of a group and starts its tasks; the mutex is held.
func (i *Instance) newBackend(group string) *backend {
	g := &tracker.Group{Name: group, Zone: i.Settings.Zone, SameRegion: i.sameRegion}
	b := &backend{clock: i.Clock, codec: i.Platform.MemberCodec, log: i.stateLog.Log, suspects: make(chan string, 1), proofExpired: make(chan struct{}, 1), primaryUnknown: make(chan struct{}, 1)}
	g.NotePlacement = i.recordPlacement(group)
	b.commitHolders = func() ([]string, bool) { return i.commitHolders(group) }
	b.registry, b.statusOf = i.registry, b.queryStatus
	b.Backend = dispatcher.Backend{Group: g, Leases: i.newLeaser(group), NeedsLease: func() bool { return i.needsLease(group) }, ReportSuspect: b.reportSuspect, Pool: &lender.Pool{
		Group: g, Network: i.Network, Codec: i.Platform.MemberCodec, ClientName: i.Settings.Name, Clock: i.Clock, NoteOpened: i.recordConnect(group), MaintainedExternally: true,
		NoteBroken: i.recordIdleLoss(group), NoteLent: i.recordCheckout,
		NotePacing: func(member string, hasCapacity bool) {
			i.stateLog.Log("event", "room", "group", group, "member", member, "room", hasCapacity)
		},
		NoteDown: func(member string, outage time.Duration) {
			i.stateLog.Log("event", "path-down", "group", group, "member", member, "since-ms", outage.Milliseconds())
		},
		OpensOnDemand: func() bool { return !preparesAll(i.configuration.Load()) },
	}}
	if i.peers != nil {
		b.sendThroughPeers = func(ctx context.Context, id string, c messenger.Command) (messenger.Reply, error) {
			return i.peers.forwarder.SendThroughPeers(ctx, group, id, c)
		}
		b.Pool.BorrowRemote, b.Pool.BorrowFromHolder = i.peers.forwarder.BorrowRemote, i.peers.forwarder.BorrowFromHolder
		b.Pool.HeldElsewhere, b.Pool.HolderCount = i.peers.forwarder.HeldElsewhere, i.peers.forwarder.HolderCount
		b.Pool.Admit, b.Pool.UndoAdmit = i.peers.accountant.Admit, i.peers.accountant.UndoAdmit
	}
	g.SetMembers(i.members[group])
	if at, ok := i.restartedAt[group]; ok {
		g.RecordRestart(at)
	}
	if c := i.configuration.Load(); c != nil {
		b.Pool.Configure(c.Groups[group].Connections, c.Customers)
	}
	var ctx context.Context
	ctx, b.stop = context.WithCancel(i.ctx)
	i.background.Go(func() { b.run(ctx) })
	return b
}

// evictUnusedBackends drops the groups that are neither prepared ahead nor in use.
func (i *Instance) evictUnusedBackends() {
	if preparesAll(i.configuration.Load()) {
		return
	}
	now := i.Clock()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, b := range i.backends {
		if now-b.lastUsed < backendRetention || b.supervised || b.Transactions() > 0 || b.Pool.InUse() {
			continue
		}
		i.stateLog.Log("event", "group-evicted", "group", name, "unused-ms", (now - b.lastUsed).Milliseconds())
		b.stop()
		delete(i.backends, name)
	}
}

// backendCount returns the number of groups whose state this instance keeps.
func (i *Instance) backendCount() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.backends)
}
