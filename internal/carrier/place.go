package carrier

import (
	"cmp"
	"slices"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file finds who holds connections.

// Lenders returns the addresses of the instances that lend connections beside members while
// none is cut off, as far as groups are placed so; groups lists the members of each. Both sides
// of a cut agree on them.
func (c *Carrier) Lenders(groups map[string][]string) []string {
	zones := map[string][]introducer.Peer{}
	for _, p := range c.Introducer.Remembered() {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	var list []string
	for group, members := range groups {
		if c.placement(group) != concentrator.PlaceMember {
			continue
		}
		for _, m := range members {
			near := zones[c.zoneOf(group, m)]
			if len(near) == 0 {
				near = zones[c.Introducer.Self.Zone]
			}
			at := c.rank(m, near)
			if len(at) == 0 {
				continue
			}
			address := cmp.Or(at[0], c.Introducer.Self.Address)
			if !slices.Contains(list, address) {
				list = append(list, address)
			}
		}
	}
	return list
}

// First returns the instance that comes first for a key, as rank orders them; this one if it is
// alone and leaves.
func (c *Carrier) First(key string, list []introducer.Peer) introducer.Peer {
	ranked := c.rank(key, list)
	if len(ranked) == 0 || ranked[0] == "" {
		return c.Introducer.Self
	}
	i := slices.IndexFunc(list, func(p introducer.Peer) bool { return p.Address == ranked[0] })
	return list[i]
}

// beside ranks the instances of a member's availability zone as holders of its connections,
// or those of this one's where that has none; the mutex is held.
func (c *Carrier) beside(member, zone string) holders {
	now := c.Clock()
	near := c.Introducer.In(now, zone)
	if len(near) == 0 {
		near = c.Introducer.Zone(now)
	}
	return c.rank(member, near)
}

// rank orders instances as holders. One that leaves holds nothing any more.
func (c *Carrier) rank(key string, list []introducer.Peer) holders {
	var candidates []concentrator.Candidate
	at := map[string]string{}
	for _, p := range list {
		if p.Name == c.Introducer.Self.Name {
			if c.Leaving != nil && c.Leaving() {
				continue
			}
			p.Address = ""
		}
		candidates = append(candidates, concentrator.Candidate{Name: p.Name, Millicores: p.Millicores})
		at[p.Name] = p.Address
	}
	var ranked holders
	for _, name := range concentrator.Holders(key, candidates)[:min(holdersTried, len(candidates))] {
		ranked = append(ranked, at[name])
	}
	return ranked
}

// zoneOf returns a member's availability zone, "" where that isn't known.
func (c *Carrier) zoneOf(group, member string) string {
	if c.Pool == nil {
		return ""
	}
	p := c.Pool(group)
	if p == nil {
		return ""
	}
	m, _ := p.Group.Member(member)
	return m.Zone
}

// place decides a group's placement anew.
func (c *Carrier) place(now tracker.Stamp, group string, h *holding) {
	zone := c.Introducer.Zone(now)
	// Zones have about as many instances each.
	f := concentrator.Fleet{Connections: c.Connections(group), Instances: len(zone) * c.Zones, Zones: c.Zones, Customers: c.customers()}
	h.zone, h.members = nil, map[string]holders{}
	switch h.Decide(f) {
	case concentrator.PlaceOwn:
		h.sharers = f.Instances
	case concentrator.PlaceZone:
		h.sharers = c.Zones
		h.zone = c.rank(group, zone)
	case concentrator.PlaceMember:
		h.sharers = 1
	}
}

func (c *Carrier) customers() int {
	if c.Customers == nil {
		return 1
	}
	return c.Customers()
}
