package carrier

import (
	"cmp"
	"slices"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// Lenders returns the addresses of the instances that hold connections for the members of
// groups with placement concentrator.PlaceMember. It considers all remembered instances,
// reachable or not, so that both sides of a network partition compute the same list.
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
			inZone := zones[c.memberZone(group, m)]
			if len(inZone) == 0 {
				inZone = zones[c.Introducer.Self.Zone]
			}
			ranked := c.rank(m, inZone)
			if len(ranked) == 0 {
				continue
			}
			address := cmp.Or(ranked[0], c.Introducer.Self.Address)
			if !slices.Contains(list, address) {
				list = append(list, address)
			}
		}
	}
	return list
}

// First returns the preferred instance for a key, or this one if no other is available.
func (c *Carrier) First(key string, list []introducer.Peer) introducer.Peer {
	ranked := c.rank(key, list)
	if len(ranked) == 0 || ranked[0] == "" {
		return c.Introducer.Self
	}
	i := slices.IndexFunc(list, func(p introducer.Peer) bool { return p.Address == ranked[0] })
	return list[i]
}

// rankInZone ranks the instances of a member's availability zone as holders, or those of this
// instance's zone if that zone has none. The mutex is held.
func (c *Carrier) rankInZone(member, zone string) holders {
	now := c.Clock()
	inZone := c.Introducer.In(now, zone)
	if len(inZone) == 0 {
		inZone = c.Introducer.Zone(now)
	}
	return c.rank(member, inZone)
}

// rank orders instances as holders for a key, without this one while it is draining.
func (c *Carrier) rank(key string, list []introducer.Peer) holders {
	var candidates []concentrator.Candidate
	addresses := map[string]string{}
	for _, p := range list {
		if p.Name == c.Introducer.Self.Name {
			if c.Leaving != nil && c.Leaving() {
				continue
			}
			p.Address = ""
		}
		candidates = append(candidates, concentrator.Candidate{Name: p.Name, Millicores: p.Millicores})
		addresses[p.Name] = p.Address
	}
	var ranked holders
	for _, name := range concentrator.Holders(key, candidates)[:min(maxHoldersTried, len(candidates))] {
		ranked = append(ranked, addresses[name])
	}
	return ranked
}

// memberZone returns a member's availability zone, "" if unknown.
func (c *Carrier) memberZone(group, member string) string {
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

// updatePlacement recomputes a group's placement and holders.
func (c *Carrier) updatePlacement(now tracker.Stamp, group string, h *assignment) {
	zone := c.Introducer.Zone(now)
	// Assumes that all zones have about as many instances.
	f := concentrator.Fleet{Connections: c.Connections(group), Instances: len(zone) * c.Zones, Zones: c.Zones, Customers: c.customerCount()}
	h.zoneHolders, h.memberHolders = nil, map[string]holders{}
	switch h.Decide(f) {
	case concentrator.PlaceOwn:
		h.holderCount = f.Instances
	case concentrator.PlaceZone:
		h.holderCount = c.Zones
		h.zoneHolders = c.rank(group, zone)
	case concentrator.PlaceMember:
		h.holderCount = 1
	}
}

func (c *Carrier) customerCount() int {
	if c.Customers == nil {
		return 1
	}
	return c.Customers()
}
