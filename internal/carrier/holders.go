package carrier

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// holdersTTL is how long the choice of holders is cached. Failed loans reveal dead holders
	// sooner.
	holdersTTL = 500 * time.Millisecond
	// maxHoldersTried is how many holders are tried before the instance connects itself.
	maxHoldersTried = 4
	// attemptTimeout bounds one attempt to borrow; the members are then chosen again, since the
	// primary may have changed.
	attemptTimeout = 200 * time.Millisecond
	// holderBackoff is how long an unreachable holder is skipped.
	holderBackoff = time.Second
	// failureTTL is how long failures of holders are remembered.
	failureTTL = 30 * time.Second
	// retryDelay is the pause after a holder had no free connection.
	retryDelay = 20 * time.Millisecond
)

type (
	// assignment is the cached choice of the instances that hold a group's connections.
	assignment struct {
		concentrator.Switch
		updatedAt tracker.Stamp
		// peersAdded is the introducer's count of added peers at updatedAt.
		peersAdded int
		// zoneHolders hold this zone's connections to all members; empty unless the placement
		// is concentrator.PlaceZone.
		zoneHolders holders
		// memberHolders are the holders per member, computed on demand.
		memberHolders map[string]holders
		// holderCount is how many instances hold connections to a member.
		holderCount int
	}

	// holders are addresses in order of preference; "" is this instance.
	holders []string
)

// isRemote reports whether another instance is the preferred holder.
func (h holders) isRemote() bool { return len(h) > 0 && h[0] != "" }

// Sharers returns how many instances hold connections to a member. It implements lender.Pool's
// Sharers.
func (c *Carrier) Sharers(group, _ string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.assignment(group).holderCount
}

// Elsewhere reports whether another instance holds this instance's connections to a member. It
// implements lender.Pool's Elsewhere.
func (c *Carrier) Elsewhere(group, member string) bool {
	return c.holders(group, member).isRemote()
}

// holders returns the holders of a group's connections to a member; empty if each instance
// holds its own.
func (c *Carrier) holders(group, member string) holders {
	// Must precede the lock: memberZone takes locks of the group's pool.
	zone := c.memberZone(group, member)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.assignment(group)
	if h.Placement() != concentrator.PlaceMember {
		return h.zoneHolders
	}
	list, ok := h.memberHolders[member]
	if !ok {
		list = c.rankInZone(member, zone)
		h.memberHolders[member] = list
	}
	return list
}

// assignment returns the current holders of a group's connections. The mutex is held.
func (c *Carrier) assignment(group string) *assignment {
	now := c.Clock()
	if c.assignments == nil {
		c.assignments = map[string]*assignment{}
	}
	h, ok := c.assignments[group]
	if !ok {
		h = &assignment{}
		c.assignments[group] = h
	}
	// A just started instance knows no peers yet. Newly discovered peers invalidate the cache,
	// so that a fleet-wide restart doesn't make every instance connect to every member.
	added := c.Introducer.Added()
	if ok && now-h.updatedAt < holdersTTL && h.peersAdded == added {
		return h
	}
	h.peersAdded, h.updatedAt = added, now
	before := h.Placement()
	c.updatePlacement(now, group, h)
	if after := h.Placement(); after != before {
		c.Log("event", "concentrated", "group", group, "placement", after, "holders", strings.Join(h.zoneHolders, ","))
	}
	return h
}

// Borrow borrows a connection from a holder of the group's connections. It returns
// lender.ErrLocal if this instance should use its own. It implements lender.Pool's Central.
func (c *Carrier) Borrow(ctx context.Context, group string, r lender.Request) (*lender.Conn, error) {
	if c.placement(group) == concentrator.PlaceOwn {
		return nil, lender.ErrLocal
	}
	until := r.Until
	for {
		members := r.Choose()
		if time.Now().After(until) || ctx.Err() != nil {
			if len(members) == 0 {
				return nil, lender.ErrNobody
			}
			return nil, lender.ErrFull
		}
		if len(members) > 0 {
			r.Until = time.Now().Add(min(attemptTimeout, time.Until(until)))
			conn, err := c.borrowFromHolders(ctx, group, members, r)
			if !errors.Is(err, lender.ErrFull) {
				return conn, err
			}
		}
		time.Sleep(retryDelay)
	}
}

func (c *Carrier) placement(group string) concentrator.Placement {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.assignment(group).Placement()
}

// borrowFromHolders tries the holders in the order of the members. Members with the same
// holders are requested together.
func (c *Carrier) borrowFromHolders(ctx context.Context, group string, members []string, r lender.Request) (*lender.Conn, error) {
	result := lender.ErrLocal
	for len(members) > 0 {
		var list holders
		list, members = c.nextHolders(group, members, &r)
		conn, err := c.borrowFromFirst(ctx, group, list, r)
		if err == nil || isLimitError(err) {
			return conn, err
		}
		if errors.Is(err, lender.ErrFull) {
			result = err
		}
		if ctx.Err() != nil {
			return nil, lender.ErrFull
		}
	}
	return nil, result
}

// nextHolders returns the holders of the first member and restricts the request to members with
// the same holders; rest are the other members.
func (c *Carrier) nextHolders(group string, members []string, r *lender.Request) (list holders, rest []string) {
	var same []string
	for _, m := range members {
		x := c.holders(group, m)
		switch {
		case len(same) == 0, slices.Equal(x, list):
			list = x
			same = append(same, m)
		default:
			rest = append(rest, m)
		}
	}
	r.Choose = func() []string { return same }
	return list, rest
}

// borrowFromFirst borrows from the first reachable holder. It returns lender.ErrLocal if none
// is reachable or this instance comes first.
func (c *Carrier) borrowFromFirst(ctx context.Context, group string, list holders, r lender.Request) (*lender.Conn, error) {
	for _, address := range list {
		if address == "" {
			return c.borrowOwn(ctx, group, r)
		}
		if !c.mayTry(address, r.Choose()) {
			continue
		}
		conn, err := c.borrow(ctx, address, group, r.Choose(), r)
		if err == nil {
			c.borrowed.Add(1)
			c.recordSuccess(address, r.Choose())
			return conn, nil
		}
		if isLimitError(err) || errors.Is(err, lender.ErrFull) {
			c.recordSuccess(address, r.Choose())
		}
		if isLimitError(err) {
			return nil, err
		}
		if errors.Is(err, lender.ErrFull) || ctx.Err() != nil {
			return nil, lender.ErrFull
		}
		c.recordFailure(address, r.Choose(), err)
	}
	return nil, lender.ErrLocal
}

// borrowOwn borrows one of this instance's own connections.
func (c *Carrier) borrowOwn(ctx context.Context, group string, r lender.Request) (*lender.Conn, error) {
	if c.placement(group) == concentrator.PlaceZone {
		return nil, lender.ErrLocal
	}
	p := c.Pool(group)
	if p == nil || len(p.Reached(r.Choose())) == 0 {
		return nil, lender.ErrLocal
	}
	r.Own = true
	return p.Borrow(ctx, r)
}
