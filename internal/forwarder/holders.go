package forwarder

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/forecaster"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// holdersTTL is how long the list of a zone's instances is cached. Failed loans reveal dead
	// holders sooner.
	holdersTTL = 500 * time.Millisecond
	// maxRankedMembers bounds the cached rankings of a group, whose members may be replaced.
	maxRankedMembers = 32
	// maxHoldersTried is how many holders are tried before the instance opens its own connection. A
	// partition may separate the instance from half of the holders in a zone.
	maxHoldersTried = 4
	// attemptTimeout bounds the first attempt to borrow, and is the interval at which later ones check
	// that the member is still eligible, since the primary may have changed.
	attemptTimeout = 200 * time.Millisecond
	// holderBackoff is how long an unreachable holder is skipped. A partition may hide a whole
	// zone: if each statement tried its holders, it would use up the time in which another member
	// could have replied.
	holderBackoff = time.Second
	// failureTTL is how long failures of holders are remembered.
	failureTTL = 30 * time.Second
	// retryDelay is the pause after a holder had no free connection.
	retryDelay = 20 * time.Millisecond
)

type (
	// assignment is the cached choice of the instances that hold a group's connections.
	assignment struct {
		concentrator.Selector
		// fleet is the input of the last decision.
		fleet concentrator.Fleet
		// zoneHolders hold this zone's connections to all members; they are computed on demand
		// and unused unless the placement is concentrator.PerZone.
		zoneHolders ranking
		// memberHolders are the holders per member, computed on demand.
		memberHolders map[string]ranking
		// holderCount is how many instances hold connections to a member.
		holderCount int
	}

	// ranking is a list of holders with the version of the zone that it was computed from.
	ranking struct {
		zone    string
		version int
		holders holders
	}

	// zoneState is the cached list of a zone's available instances.
	zoneState struct {
		instances []discoverer.Peer
		// version changes with instances, so that holders are ranked again only after a change.
		version   int
		updatedAt tracker.Timestamp
		// peersAdded is the discoverer's count of the zone's added peers at updatedAt, and
		// draining whether this instance was draining.
		peersAdded int
		draining   bool
	}

	// holders are addresses in order of preference; "" is this instance.
	holders []string
)

// isRemote reports whether another instance is the preferred holder.
func (h holders) isRemote() bool { return len(h) > 0 && h[0] != "" }

// HolderCount returns how many instances hold connections to a member. It implements lender.Pool's
// HolderCount.
func (fw *Forwarder) HolderCount(group, _ string) int {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.assignment(group).holderCount
}

// HeldElsewhere reports whether another instance holds this instance's connections to a member. It
// implements lender.Pool's HeldElsewhere.
func (fw *Forwarder) HeldElsewhere(group, member string) bool {
	return fw.holders(group, member).isRemote() && !fw.isActing(member)
}

// holders returns the holders of a group's connections to a member, without this instance if it has
// handed them over; empty if each instance holds its own.
func (fw *Forwarder) holders(group, member string) holders {
	list := fw.rankedHolders(group, member)
	if len(list) == 0 {
		return list
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if fw.moves.mover.HandedOver(member) {
		return list.withoutSelf()
	}
	return list
}

// rankedHolders returns the holders of a group's connections to a member by their ranking; empty if
// each instance holds its own.
func (fw *Forwarder) rankedHolders(group, member string) holders {
	// Must precede the lock: memberZone takes locks of its own.
	zone := fw.memberZone(group, member)
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	h := fw.assignment(group)
	switch h.Placement() {
	case concentrator.PerZone:
		fw.refresh(&h.zoneHolders, group, fw.Discoverer.Self.Zone)
		return h.zoneHolders.holders
	case concentrator.PerMember:
		r, ok := h.memberHolders[member]
		if !ok && len(h.memberHolders) >= maxRankedMembers {
			clear(h.memberHolders)
		}
		fw.refresh(&r, member, zone)
		h.memberHolders[member] = r
		return r.holders
	default:
		return nil
	}
}

// refresh ranks the instances of a zone for a key again if they have changed. Instances of this
// zone replace those of one that has none. The mutex is held.
func (fw *Forwarder) refresh(r *ranking, key, zone string) {
	z := fw.zone(zone)
	if len(z.instances) == 0 {
		zone = fw.Discoverer.Self.Zone
		z = fw.zone(zone)
	}
	if r.version == z.version && r.zone == zone {
		return
	}
	fw.rankings.Add(1)
	*r = ranking{zone: zone, version: z.version, holders: fw.rank(key, z.instances, maxHoldersTried)}
}

// zone returns the available instances of a zone. The mutex is held.
func (fw *Forwarder) zone(name string) *zoneState {
	now := fw.Clock()
	z, ok := fw.zones[name]
	if !ok {
		z = &zoneState{}
		if fw.zones == nil {
			fw.zones = map[string]*zoneState{}
		}
		fw.zones[name] = z
	}
	// A just started instance knows no peers yet. Newly discovered peers invalidate the cache,
	// so that a fleet-wide restart doesn't make every instance connect to every member.
	added := fw.Discoverer.AddedCount(name)
	if ok && now-z.updatedAt < holdersTTL && z.peersAdded == added {
		return z
	}
	z.updatedAt, z.peersAdded = now, added
	list := fw.Discoverer.InZone(now, name)
	slices.SortFunc(list, func(a, b discoverer.Peer) int { return strings.Compare(a.Name, b.Name) })
	draining := fw.Draining != nil && fw.Draining()
	if !ok || draining != z.draining || !slices.Equal(list, z.instances) {
		fw.zoneVersions++
		z.instances, z.draining, z.version = list, draining, fw.zoneVersions
	}
	return z
}

// assignment returns the current placement of a group's connections. The mutex is held.
func (fw *Forwarder) assignment(group string) *assignment {
	if fw.assignments == nil {
		fw.assignments = map[string]*assignment{}
	}
	h, ok := fw.assignments[group]
	if !ok {
		h = &assignment{memberHolders: map[string]ranking{}}
		fw.assignments[group] = h
	}
	// Assumes that all zones have about as many instances.
	instances := len(fw.zone(fw.Discoverer.Self.Zone).instances)
	f := concentrator.Fleet{Connections: fw.Connections(group), Instances: instances * fw.Zones, Zones: fw.Zones, Customers: fw.customerCount()}
	if f == h.fleet {
		return h
	}
	h.fleet = f
	before := h.Placement()
	switch h.Decide(f) {
	case concentrator.PerInstance:
		h.holderCount = f.Instances
	case concentrator.PerZone:
		h.holderCount = fw.Zones
	case concentrator.PerMember:
		h.holderCount = 1
	}
	if after := h.Placement(); after != before {
		if after == concentrator.PerZone {
			fw.refresh(&h.zoneHolders, group, fw.Discoverer.Self.Zone)
		}
		fw.Log("event", "concentrated", "group", group, "placement", after, "holders", strings.Join(h.zoneHolders.holders, ","))
	}
	return h
}

// BorrowFromHolder borrows a connection from a holder of the group's connections. It returns
// lender.ErrUseLocal if this instance should use its own. It implements lender.Pool's
// BorrowFromHolder.
func (fw *Forwarder) BorrowFromHolder(ctx context.Context, group string, r lender.Request) (*lender.Conn, error) {
	if fw.placement(group) == concentrator.PerInstance {
		return nil, lender.ErrUseLocal
	}
	fw.countRequest("")
	until, wait := r.Deadline, attemptTimeout
	last := lender.ErrNoConnection
	for {
		members := r.EligibleMembers()
		if time.Now().After(until) || ctx.Err() != nil {
			return nil, fw.timeoutError(group, r, len(members) == 0, last)
		}
		if len(members) == 0 {
			if p := fw.Pool(group); p != nil {
				if err := p.DecideNoMember(r); err != nil {
					return nil, err
				}
			}
		} else {
			r.Deadline = time.Now().Add(min(wait, time.Until(until)))
			if !r.StatusQuery {
				members = fw.preferKept(r.Customer, members)
			}
			attemptCtx, end := ctx, context.CancelFunc(func() {})
			if wait > attemptTimeout {
				attemptCtx, end = whileEligible(ctx, r.EligibleMembers, members[0])
			}
			conn, err := fw.borrowFromHolders(attemptCtx, group, members, r, until)
			end()
			if isOverload(err) {
				fw.count(CountLoanRefused)
			}
			if isOverload(err) || !errors.Is(err, lender.ErrNoConnection) {
				return conn, err
			}
			last = err
			if refusedByHolder(err, time.Now(), r.Deadline, until) {
				return nil, err
			}
			// The holder has answered, so that its queue may be waited for. With short attempts,
			// requests would join the queue again and again behind later ones.
			wait = time.Until(until)
		}
		time.Sleep(retryDelay)
	}
}

// refusedByHolder reports whether a holder refused an attempt at once and expects to serve the request
// after its deadline. The retry time of an attempt that waited until attemptEnd is only a guess, for
// example while a failover may end sooner. Such a reply may arrive a little before attemptEnd, which is
// sent in whole milliseconds.
func refusedByHolder(err error, now, attemptEnd, deadline time.Time) bool {
	wait := waitError(err)
	return wait != nil && now.Add(retryDelay).Before(attemptEnd) && now.Add(wait.RetryAfter).After(deadline)
}

// soonest returns the error of a and b with the shorter expected wait; an unknown wait may be the
// shortest.
func soonest(a, b error) error {
	if wa, wb := waitError(a), waitError(b); errors.Is(a, lender.ErrNoConnection) && (wa == nil || wb != nil && wa.RetryAfter < wb.RetryAfter) {
		return a
	}
	return b
}

// waitError returns the lender.WaitError that err wraps, nil if there is none.
func waitError(err error) *lender.WaitError {
	var wait *lender.WaitError
	errors.As(err, &wait)
	return wait
}

// timeoutError returns the error of a request that waited until its deadline; last is the error of
// the last attempt.
func (fw *Forwarder) timeoutError(group string, r lender.Request, noMember bool, last error) error {
	e := &lender.WaitError{Err: lender.ErrNoConnection, Decision: forecaster.Decision{Cause: forecaster.CauseTimeout}}
	if noMember {
		e.Err = lender.ErrNoMember
	}
	if r.LatestStart.IsZero() {
		return e.Err
	}
	if wait := waitError(last); !noMember && wait != nil {
		e.RetryAfter = wait.RetryAfter
	} else if p := fw.Pool(group); p != nil {
		e.RetryAfter, _ = p.RetryAfter(r)
	}
	return e
}

// whileEligible returns a context that ends when a member is no longer eligible, which is checked
// every attemptTimeout. The caller calls end.
func whileEligible(ctx context.Context, eligible func() []string, member string) (attempt context.Context, end context.CancelFunc) {
	attempt, end = context.WithCancel(ctx)
	go func() {
		t := time.NewTicker(attemptTimeout)
		defer t.Stop()
		for {
			select {
			case <-attempt.Done():
				return
			case <-t.C:
				if !slices.Contains(eligible(), member) {
					end()
					return
				}
			}
		}
	}()
	return attempt, end
}

func (fw *Forwarder) placement(group string) concentrator.Placement {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.assignment(group).Placement()
}

// borrowFromHolders tries the holders in the order of the members. Members with the same
// holders are requested together. If a holder's queue is longer than the request may wait to meet its
// objective, the others come first. If those of all are longer than it may wait until its deadline, no
// holder is asked and the error is a lender.OverloadError.
func (fw *Forwarder) borrowFromHolders(ctx context.Context, group string, members []string, r lender.Request, deadline time.Time) (*lender.Conn, error) {
	if !r.LatestStart.IsZero() && r.LatestStart.Before(deadline) && len(members) > 1 {
		conn, err := fw.borrowWithin(ctx, group, members, r, r.LatestStart)
		if !isOverload(err) {
			return conn, err
		}
	}
	return fw.borrowWithin(ctx, group, members, r, deadline)
}

// borrowWithin is borrowFromHolders with one limit for the holders' queues.
func (fw *Forwarder) borrowWithin(ctx context.Context, group string, members []string, r lender.Request, limit time.Time) (*lender.Conn, error) {
	result := lender.ErrUseLocal
	var overload error
	for len(members) > 0 {
		var list holders
		list, members = fw.nextHolders(group, members, &r)
		conn, err := fw.borrowFromFirst(ctx, group, list, r, limit)
		if err == nil && overload != nil {
			fw.count(CountLoanElsewhere)
		}
		if err == nil || isLimitError(err) {
			return conn, err
		}
		switch {
		case isOverload(err):
			overload = cmp.Or(overload, err)
		case errors.Is(err, lender.ErrNoConnection):
			result = soonest(result, err)
		}
		if ctx.Err() != nil {
			return nil, lender.ErrNoConnection
		}
	}
	if overload != nil && errors.Is(result, lender.ErrUseLocal) {
		return nil, overload
	}
	return nil, result
}

// nextHolders returns the holders of the first member and restricts the request to members with
// the same holders; rest are the other members.
func (fw *Forwarder) nextHolders(group string, members []string, r *lender.Request) (list holders, rest []string) {
	var same []string
	for _, m := range members {
		x := fw.holders(group, m)
		switch {
		case len(same) == 0, slices.Equal(x, list):
			list = x
			same = append(same, m)
		default:
			rest = append(rest, m)
		}
	}
	r.EligibleMembers = func() []string { return same }
	return list, rest
}

// borrowFromFirst borrows from the first reachable holder. It returns lender.ErrUseLocal if none
// is reachable or this instance comes first, and a lender.OverloadError if the holder's queue is
// longer than the time to the limit.
func (fw *Forwarder) borrowFromFirst(ctx context.Context, group string, list holders, r lender.Request, limit time.Time) (*lender.Conn, error) {
	for _, address := range list {
		if address == "" {
			return fw.borrowOwn(ctx, group, r)
		}
		if !fw.mayTry(address, r.EligibleMembers()) {
			continue
		}
		if err := fw.beginRequest(address, group, r.EligibleMembers(), r, time.Until(limit)); err != nil {
			return nil, err
		}
		begin := fw.Clock()
		conn, err := fw.borrow(ctx, address, group, r.EligibleMembers(), r)
		fw.endRequest(address, group, r.EligibleMembers())
		if err == nil {
			if !r.StatusQuery {
				fw.recordLoan(r.Customer, conn.Member, fw.Clock()-begin)
			}
			fw.borrowed.Add(1)
			fw.recordSuccess(address, r.EligibleMembers())
			return conn, nil
		}
		if isLimitError(err) || errors.Is(err, lender.ErrNoConnection) {
			fw.recordSuccess(address, r.EligibleMembers())
		}
		if isLimitError(err) {
			return nil, err
		}
		if errors.Is(err, lender.ErrNoConnection) {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, lender.ErrNoConnection
		}
		fw.recordFailure(address, r.EligibleMembers(), err)
	}
	return nil, lender.ErrUseLocal
}

// borrowOwn borrows one of this instance's own connections.
func (fw *Forwarder) borrowOwn(ctx context.Context, group string, r lender.Request) (*lender.Conn, error) {
	if fw.placement(group) == concentrator.PerZone {
		return nil, lender.ErrUseLocal
	}
	p := fw.Pool(group)
	if p == nil || len(p.Reachable(r.EligibleMembers())) == 0 {
		return nil, lender.ErrUseLocal
	}
	r.LocalOnly = true
	return p.Borrow(ctx, r)
}
