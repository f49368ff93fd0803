package carrier

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file borrows from the instance that holds a zone's connections to a group, where
// they are concentrated.

const (
	// holdersFor is how long the choice of holders is kept. Who has died shows sooner, by
	// a loan that fails.
	holdersFor = 500 * time.Millisecond
	// holdersTried is how many holders are tried for a loan, until the instance connects
	// itself.
	holdersTried = 2
	// loanWait is how long a loan is waited for until the members are chosen anew: who
	// leads may have changed.
	loanWait = 300 * time.Millisecond
	// fullPause spaces the tries after a holder had no connection in time.
	fullPause = 20 * time.Millisecond
)

// holding is what is known of who holds a group's connections.
type holding struct {
	concentrator.Switch
	at tracker.Stamp
	// added is how many peers had been new by then.
	added int
	// holders are the addresses to borrow from, the first one first; "" is this instance.
	// None where connections aren't concentrated.
	holders []string
	// sharers is how many instances hold connections.
	sharers int
}

// holders returns from whom to borrow a group's connections; nothing where each instance
// has its own.
func (c *Carrier) holders(group string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.holding(group).holders
}

// Sharers returns how many instances hold connections to a group's members. It implements
// lender.Pool's Sharers.
func (c *Carrier) Sharers(group string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.holding(group).sharers
}

// holding returns who holds a group's connections; the mutex is held.
func (c *Carrier) holding(group string) *holding {
	now := c.Clock()
	if c.holdings == nil {
		c.holdings = map[string]*holding{}
	}
	h, ok := c.holdings[group]
	if !ok {
		h = &holding{}
		c.holdings[group] = h
	}
	// An instance that has just started takes itself for alone until it has read who else
	// there is. Kept for holdersFor, that has hundreds open connections to every member at
	// the moment when all come back.
	added := c.Introducer.Added()
	if ok && now-h.at < holdersFor && h.added == added {
		return h
	}
	h.added = added
	before := len(h.holders) > 0
	h.at = now
	c.chooseHolders(now, group, h)
	if after := len(h.holders) > 0; after != before {
		c.Log("event", "concentrated", "group", group, "concentrated", after, "holders", strings.Join(h.holders, ","))
	}
	return h
}

func (c *Carrier) chooseHolders(now tracker.Stamp, group string, h *holding) {
	var zone []concentrator.Candidate
	at := map[string]string{}
	for _, p := range c.Introducer.Zone(now) {
		zone = append(zone, concentrator.Candidate{Name: p.Name, Millicores: p.Millicores})
		at[p.Name] = p.Address
	}
	at[c.Introducer.Self.Name] = ""
	h.holders = nil
	// Zones have about as many instances each.
	h.sharers = len(zone) * c.Zones
	if !h.Decide(c.Connections(group), h.sharers) {
		return
	}
	h.sharers = c.Zones
	for _, name := range concentrator.Holders(group, zone)[:min(holdersTried, len(zone))] {
		h.holders = append(h.holders, at[name])
	}
}

// Elsewhere reports whether another instance holds this one's connections to a group.
func (c *Carrier) Elsewhere(group string) bool {
	list := c.holders(group)
	return len(list) > 0 && list[0] != ""
}

// Borrow borrows a connection from the holder of a group's. The error is lender.ErrLocal
// when this instance is to use its own. It implements lender.Pool's Central.
func (c *Carrier) Borrow(ctx context.Context, group string, r lender.Request) (*lender.Conn, error) {
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
			r.Until = time.Now().Add(min(loanWait, time.Until(until)))
			conn, err := c.fromHolders(ctx, group, members, r)
			if !errors.Is(err, lender.ErrFull) {
				return conn, err
			}
		}
		time.Sleep(fullPause)
	}
}

func (c *Carrier) fromHolders(ctx context.Context, group string, members []string, r lender.Request) (*lender.Conn, error) {
	for _, address := range c.holders(group) {
		if address == "" {
			break
		}
		conn, err := c.borrow(ctx, address, group, members, r)
		if err == nil {
			c.borrowed.Add(1)
			return conn, nil
		}
		if errors.Is(err, lender.ErrFull) || ctx.Err() != nil {
			return nil, lender.ErrFull
		}
	}
	return nil, lender.ErrLocal
}
