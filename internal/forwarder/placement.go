package forwarder

import (
	"cmp"
	"slices"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/discoverer"
)

// MemberHolders returns the addresses of the instances that hold connections for the members of
// groups with placement concentrator.PerMember. It considers all known instances,
// reachable or not, so that both sides of a network partition compute the same list.
func (fw *Forwarder) MemberHolders(groups map[string][]string) []string {
	zones := map[string][]discoverer.Peer{}
	for _, p := range fw.Discoverer.AllKnown() {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	var list []string
	for group, members := range groups {
		if fw.placement(group) != concentrator.PerMember {
			continue
		}
		for _, m := range members {
			inZone := zones[fw.memberZone(group, m)]
			if len(inZone) == 0 {
				inZone = zones[fw.Discoverer.Self.Zone]
			}
			ranked := fw.rank(m, inZone, maxHoldersTried)
			if len(ranked) == 0 {
				continue
			}
			address := cmp.Or(ranked[0], fw.Discoverer.Self.Address)
			if !slices.Contains(list, address) {
				list = append(list, address)
			}
		}
	}
	return list
}

// RankInstances returns the addresses of instances in the order of preference for a key; "" is this
// instance, which is omitted while it is draining.
func (fw *Forwarder) RankInstances(key string, list []discoverer.Peer) []string {
	return fw.rank(key, list, len(list))
}

// rank returns the first limit instances as holders for a key, without this one while it is draining.
func (fw *Forwarder) rank(key string, list []discoverer.Peer, limit int) holders {
	var candidates []concentrator.Candidate
	addresses := map[string]string{}
	for _, p := range list {
		if p.Name == fw.Discoverer.Self.Name {
			if fw.Draining != nil && fw.Draining() {
				continue
			}
			p.Address = ""
		}
		candidates = append(candidates, concentrator.Candidate{Name: p.Name, Millicores: p.Millicores})
		addresses[p.Name] = p.Address
	}
	var ranked holders
	for _, name := range concentrator.RankHolders(key, candidates)[:min(limit, len(candidates))] {
		ranked = append(ranked, addresses[name])
	}
	return ranked
}

// memberZone returns a member's availability zone, "" if unknown.
func (fw *Forwarder) memberZone(group, member string) string {
	if fw.MemberZone == nil {
		return ""
	}
	return fw.MemberZone(group, member)
}

func (fw *Forwarder) customerCount() int {
	if fw.Customers == nil {
		return 1
	}
	return fw.Customers()
}
