// Package sharer decides how many connections to each group this instance may
// hold, so that the shares of all instances never add up to more than the group's
// budget, with no owner in the middle.
//
// The shares of a group are one value of the store (Ledger) and change by
// compare-and-swap. An instance lowers its pool before it lowers its share, and
// raises its share before its pool. It needs the store only for changes: while
// the store is down everybody keeps what they hold. The share of an instance
// that is gone is taken back by terminating, and refusing from then on, its
// connections at every member of the group, and only then removing it from the
// ledger. So safety doesn't rest on clocks or leases: an instance that was only
// paused finds its connections closed and new ones refused, and starts anew.
package sharer

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
	// ledgerPrefix and processPrefix are where the store holds the ledgers, by
	// service, and the live processes, each under its lease.
	ledgerPrefix  = "oriolegw/shares/"
	processPrefix = "oriolegw/processes/"

	// LeaseTime is how long a process counts as live without a word, and
	// keepAliveEvery how often it says one: 180 writes a second at 1,800
	// instances. Three may be lost before the lease ends.
	LeaseTime      = 30 * time.Second
	keepAliveEvery = 10 * time.Second
	// refreshEvery is how often a ledger is read that needs no change, and
	// hungryEvery when this instance wants more than it has.
	refreshEvery = 10 * time.Second
	hungryEvery  = time.Second
	// A fleet that starts as one shares out the budget before its members know
	// of one another: those that come first must not take what the last need. So
	// for settleFor an instance counts on startHolders others and itself, and it
	// reads the ledger at the pace of the hungry for startFor, so that it sees
	// soon who else has come. Both deployments of today have 9 instances.
	startHolders = 9
	settleFor    = 5 * time.Second
	startFor     = 30 * time.Second
	// missedEvery is the same while a holder is missed.
	missedEvery = 4 * time.Second
	// Conflicts are retried after a random time of up to conflictPause.
	conflictPause = 200 * time.Millisecond
	// missingFor is how long a process must have been seen missing, by reads
	// that the store answered, before its share is taken back. After an outage
	// of the store every lease has lapsed; the instances come back within
	// keepAliveEvery and must not take one another for dead until then.
	missingFor = 20 * time.Second
	// idleFor is how long a connection must have been unused to be given back.
	// Load swings within seconds; a share that followed it would cost a call of
	// the store at each swing.
	idleFor = 30 * time.Second
	// defaultBudget stands in for a budget that is not set.
	defaultBudget = 20
)

type (
	// Slice holds this instance's shares.
	Slice struct {
		// Instance is the name of this instance.
		Instance string
		// Random gives names that were never used, and spreads calls.
		Random *rand.Rand

		process  string
		lease    leaseState
		services map[string]*service
		missing  map[string]time.Time // processes, by when they were first missed
	}

	leaseState struct {
		id   storer.Lease
		busy bool
		next time.Time
	}

	// service is the share of one group.
	service struct {
		config      configurer.Service
		application string
		ledger      Ledger
		revision    int64
		known       bool // the ledger has been read
		since       time.Time
		busy        bool // a call is open
		next        time.Time
		share       pooler.Share // what the pool has been given
		// lowering is set from before the pool's limit falls until the ledger
		// has a revision that shows its outcome.
		lowering *lowering
		load     Load
		peak     int // most connections used since peakSince
		peakFrom time.Time
		cursor   int
		evicting bool
	}

	lowering struct {
		to       int
		revision int64 // the ledger's when the write was sent; 0 before it
	}
)

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	if s.process == "" {
		s.process = s.Instance + "/" + s.name()
		s.services, s.missing = map[string]*service{}, map[string]time.Time{}
	}
	switch e := e.(type) {
	case configurer.Activated:
		s.configure(e.Document)
	case Load:
		s.note(now, e)
	case registered:
		s.registered(now, e)
	case ledgerRead:
		return s.read(now, e)
	case ledgerWritten:
		return s.written(now, e)
	case processChecked:
		return s.checked(now, e)
	case Evicted:
		return s.evicted(now, e)
	case controller.Tick:
		return append(s.keepAlive(now), s.due(now)...)
	}
	return nil
}

func (s *Slice) name() string { return strconv.FormatUint(s.Random.Uint64(), 36) }

func (s *Slice) configure(d *configurer.Document) {
	for _, c := range d.Services {
		v := s.services[c.Name]
		if v == nil {
			v = &service{application: s.Instance + "/" + s.name()}
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

// keepAlive keeps the process's key in the store.
func (s *Slice) keepAlive(now time.Time) []controller.Action {
	if s.lease.busy || now.Before(s.lease.next) {
		return nil
	}
	s.lease.busy, s.lease.next = true, now.Add(keepAliveEvery)
	return []controller.Action{register{process: s.process, lease: s.lease.id}}
}

func (s *Slice) registered(now time.Time, e registered) {
	s.lease.busy, s.lease.id = false, e.lease
	if e.err != nil {
		s.lease.next = now.Add(hungryEvery)
	}
}

// due reads the ledgers whose time has come.
func (s *Slice) due(now time.Time) []controller.Action {
	var out []controller.Action
	for name, v := range s.services {
		if v.busy || v.evicting || now.Before(v.next) {
			continue
		}
		v.busy = true
		out = append(out, readLedger{service: name})
	}
	return out
}

func (s *Slice) note(now time.Time, l Load) {
	v := s.services[l.Service]
	if v == nil || l.Use.Share.Application != v.application {
		return
	}
	v.load = l
	if now.Sub(v.peakFrom) >= idleFor {
		v.peak, v.peakFrom = 0, now
	}
	v.peak = max(v.peak, l.Use.InUse)
	if l.Pressed && v.next.After(now.Add(hungryEvery)) {
		v.next = now.Add(hungryEvery)
	}
}

func (s *Slice) read(now time.Time, e ledgerRead) []controller.Action {
	v := s.services[e.service]
	if v == nil {
		return nil
	}
	v.busy = false
	v.next = now.Add(s.spread(hungryEvery))
	if e.err != nil {
		return nil
	}
	return s.learn(now, e.service, v, e.ledger, e.revision)
}

func (s *Slice) written(now time.Time, e ledgerWritten) []controller.Action {
	v := s.services[e.service]
	if v == nil {
		return nil
	}
	v.busy = false
	v.next = now.Add(s.spread(conflictPause))
	if e.err != nil {
		// It may have taken effect, or may do so later: only a read tells.
		return nil
	}
	return s.learn(now, e.service, v, e.ledger, e.revision)
}

// learn takes in the ledger as it stands, gives the pool its limit and decides
// what to change.
func (s *Slice) learn(now time.Time, name string, v *service, l Ledger, revision int64) []controller.Action {
	fresh := !v.known
	if fresh {
		v.since = now
	}
	v.ledger, v.revision, v.known = l, revision, true
	mine, held := l.find(v.application)
	if !held && !fresh && (v.share.Connections > 0 || v.lowering != nil) {
		// Another instance took this one for dead, so its connections are closed
		// and its name is refused. It starts anew with a new one.
		v.application, v.lowering, v.load = s.Instance+"/"+s.name(), nil, Load{}
	}
	if v.lowering != nil && v.lowering.revision != 0 && v.lowering.revision != revision {
		// The ledger has moved on, so a write that is still on its way can't
		// take effect any more.
		v.lowering = nil
	}
	limit := mine.Connections
	if v.lowering != nil {
		limit = min(limit, v.lowering.to)
	}
	out := s.give(name, v, limit)
	return append(out, s.change(now, name, v)...)
}

// give sets the pool's share; each has a number, so that the pool can tell which
// of two is the newer.
func (s *Slice) give(name string, v *service, connections int) []controller.Action {
	if v.share.Version > 0 && v.share.Connections == connections && v.share.Application == v.application {
		return nil
	}
	v.share = pooler.Share{Connections: connections, Application: v.application, Version: v.share.Version + 1}
	return []controller.Action{Limit{Service: name, Share: v.share}}
}

func (s *Slice) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.Random.Int64N(int64(d)/2+1))
}
