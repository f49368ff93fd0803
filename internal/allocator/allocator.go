// Package allocator divides a group's connection budget among the instances, without a
// coordinator: the shares of all instances never add up to more than the budget.
//
// The shares of a group are one value in the store (Ledger), changed by compare-and-swap.
// An instance lowers its pool's limit before its share, and raises its share before its
// pool's limit. While the store is down, all instances keep their shares. To reclaim the
// share of a dead instance, its connections are closed and refused at every member before
// it is removed from the ledger. Safety thus doesn't depend on clocks or leases: an instance
// that was only paused finds its connections closed and gets a new share.
package allocator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/storer"
)

const (
	// ledgerPrefix and processPrefix are the store's keys of ledgers, by service, and of
	// live processes, each under its lease.
	ledgerPrefix  = "oriolegw/shares/"
	processPrefix = "oriolegw/processes/"

	// LeaseDuration is the duration of a process's lease, renewed every keepAliveInterval. At 1,800
	// instances, the renewals are 180 writes per second.
	LeaseDuration     = 30 * time.Second
	keepAliveInterval = 10 * time.Second
	// refreshInterval is how often an unchanged ledger is read, shortageInterval how often
	// while this instance wants more than it has.
	refreshInterval  = 10 * time.Second
	shortageInterval = time.Second
	// Instances that start together must not take the connections that later ones need:
	// for settleDuration an instance assumes at least assumedHolders others, and for
	// startupDuration it reads the ledger every shortageInterval.
	assumedHolders  = 9
	settleDuration  = 5 * time.Second
	startupDuration = 30 * time.Second
	// missingCheckInterval is the interval of reads while a holder is missing.
	missingCheckInterval = 4 * time.Second
	// maxConflictBackoff is the longest random delay before a conflicting write is retried.
	maxConflictBackoff = 200 * time.Millisecond
	// missingTimeout is how long a process must have been missing before its share is
	// reclaimed. After an outage of the store all leases have expired, and live instances need
	// keepAliveInterval to register again.
	missingTimeout = 20 * time.Second
	// idleTimeout is how long a connection must be unused before it is returned. It is
	// longer than usual swings of load. Load varies within seconds, and a share that followed it
	// would need a store call for each change.
	idleTimeout = 30 * time.Second
	// defaultBudget is the budget of a group whose configuration sets none.
	defaultBudget = 20
)

type (
	// Slice is the part of the control loop that manages this instance's shares.
	Slice struct {
		// Instance is the name of this instance.
		Instance string
		// Random generates unique names, and jitter for calls.
		Random *rand.Rand

		process      string
		lease        leaseState
		services     map[string]*service
		missingSince map[string]time.Time // by process, when it was first found missing
	}

	leaseState struct {
		id          storer.Lease
		renewing    bool
		nextRenewal time.Time
	}

	// service is the state of this instance's share of one group.
	service struct {
		config       configurer.Service
		application  string
		ledger       Ledger
		revision     int64
		ledgerKnown  bool
		knownSince   time.Time
		callInFlight bool
		nextRead     time.Time
		poolShare    pooler.Share // last set on the pool
		// reduction is set from when the pool's limit is lowered until the ledger has a
		// revision that shows the outcome.
		reduction   *reduction
		load        Load
		peak        int // most connections used since peakSince
		peakSince   time.Time
		checkCursor int
		evicting    bool
	}

	// reduction is a decrease of this instance's share that is not yet complete.
	reduction struct {
		to       int
		revision int64 // of the ledger when the write was sent; 0 before the write
	}
)

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	if s.process == "" {
		s.process = s.Instance + "/" + s.randomName()
		s.services, s.missingSince = map[string]*service{}, map[string]time.Time{}
	}
	switch e := e.(type) {
	case configurer.Activated:
		s.configure(e.Document)
	case Load:
		s.recordLoad(now, e)
	case registered:
		s.handleRegistered(now, e)
	case ledgerRead:
		return s.handleLedgerRead(now, e)
	case ledgerWritten:
		return s.handleLedgerWritten(now, e)
	case processChecked:
		return s.handleProcessChecked(now, e)
	case Evicted:
		return s.handleEvicted(now, e)
	case controller.Tick:
		return append(s.keepAlive(now), s.dueLedgerReads(now)...)
	}
	return nil
}

func (s *Slice) randomName() string { return strconv.FormatUint(s.Random.Uint64(), 36) }

func (s *Slice) configure(d *configurer.Document) {
	for _, c := range d.Services {
		v := s.services[c.Name]
		if v == nil {
			v = &service{application: s.Instance + "/" + s.randomName()}
			s.services[c.Name] = v
		}
		v.config = c
		if v.config.Connections == 0 {
			v.config.Connections = defaultBudget
		}
	}
	for name := range s.services {
		if d.Service(name) == nil {
			delete(s.services, name)
		}
	}
}

// keepAlive renews the process's lease.
func (s *Slice) keepAlive(now time.Time) []controller.Action {
	if s.lease.renewing || now.Before(s.lease.nextRenewal) {
		return nil
	}
	s.lease.renewing, s.lease.nextRenewal = true, now.Add(keepAliveInterval)
	return []controller.Action{register{process: s.process, lease: s.lease.id}}
}

func (s *Slice) handleRegistered(now time.Time, e registered) {
	s.lease.renewing, s.lease.id = false, e.lease
	if e.err != nil {
		s.lease.nextRenewal = now.Add(shortageInterval)
	}
}

// dueLedgerReads returns the reads of ledgers that are due.
func (s *Slice) dueLedgerReads(now time.Time) []controller.Action {
	var out []controller.Action
	for name, v := range s.services {
		if v.callInFlight || v.evicting || now.Before(v.nextRead) {
			continue
		}
		v.callInFlight = true
		out = append(out, readLedger{service: name})
	}
	return out
}

func (s *Slice) recordLoad(now time.Time, l Load) {
	v := s.services[l.Service]
	if v == nil || l.Use.Share.Application != v.application {
		return
	}
	v.load = l
	if now.Sub(v.peakSince) >= idleTimeout {
		v.peak, v.peakSince = 0, now
	}
	v.peak = max(v.peak, l.Use.InUse)
	if l.RequestsWaiting && v.nextRead.After(now.Add(shortageInterval)) {
		v.nextRead = now.Add(shortageInterval)
	}
}

func (s *Slice) handleLedgerRead(now time.Time, e ledgerRead) []controller.Action {
	v := s.services[e.service]
	if v == nil {
		return nil
	}
	v.callInFlight = false
	v.nextRead = now.Add(s.jitter(shortageInterval))
	if e.err != nil {
		return nil
	}
	return s.applyLedger(now, e.service, v, e.ledger, e.revision)
}

func (s *Slice) handleLedgerWritten(now time.Time, e ledgerWritten) []controller.Action {
	v := s.services[e.service]
	if v == nil {
		return nil
	}
	v.callInFlight = false
	v.nextRead = now.Add(s.jitter(maxConflictBackoff))
	if e.err != nil {
		// The outcome is unknown until the ledger is read.
		return nil
	}
	return s.applyLedger(now, e.service, v, e.ledger, e.revision)
}

// applyLedger records the ledger's state, sets the pool's limit and adjusts the share.
func (s *Slice) applyLedger(now time.Time, name string, v *service, l Ledger, revision int64) []controller.Action {
	fresh := !v.ledgerKnown
	if fresh {
		v.knownSince = now
	}
	v.ledger, v.revision, v.ledgerKnown = l, revision, true
	own, held := l.find(v.application)
	if !held && !fresh && (v.poolShare.Connections > 0 || v.reduction != nil) {
		// Another instance evicted this one: its connections are closed and its name is
		// refused. Start with a new name.
		v.application, v.reduction, v.load = s.Instance+"/"+s.randomName(), nil, Load{}
	}
	if v.reduction != nil && v.reduction.revision != 0 && v.reduction.revision != revision {
		// The ledger has changed, so a pending write can't take effect any more.
		v.reduction = nil
	}
	limit := own.Connections
	if v.reduction != nil {
		limit = min(limit, v.reduction.to)
	}
	out := s.setPoolLimit(name, v, limit)
	return append(out, s.adjustShare(now, name, v)...)
}

// setPoolLimit sets the pool's share. Shares are numbered, so that the pool can ignore an
// outdated one.
func (s *Slice) setPoolLimit(name string, v *service, connections int) []controller.Action {
	if v.poolShare.Version > 0 && v.poolShare.Connections == connections && v.poolShare.Application == v.application {
		return nil
	}
	v.poolShare = pooler.Share{Connections: connections, Application: v.application, Version: v.poolShare.Version + 1}
	return []controller.Action{PoolLimit{Service: name, Share: v.poolShare}}
}

func (s *Slice) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.Random.Int64N(int64(d)/2+1))
}
