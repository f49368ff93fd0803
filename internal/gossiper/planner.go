package gossiper

import (
	"slices"
	"strconv"
	"time"

	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
)

// choosePeers selects the peers to poll for each shard. For a shard that this instance doesn't
// observe, it is one observer of its own zone; for one that it observes, peersPerZone observers
// in each other zone with members, whose suspicions count as votes. Ranking by the polling
// instance's name spreads the load over the observers.
func (s *Slice) choosePeers() {
	if s.document == nil {
		return
	}
	shards := map[string]map[uint32]bool{}
	intervals := map[string]time.Duration{}
	for shard := range uint32(observer.ShardCount) {
		if s.shardZones[shard] == nil {
			continue
		}
		peers, interval := s.peersForShard(shard)
		for _, i := range peers {
			if shards[i.Name] == nil {
				shards[i.Name], intervals[i.Name] = map[uint32]bool{}, interval
			}
			shards[i.Name][shard] = true
			intervals[i.Name] = min(intervals[i.Name], interval)
		}
	}
	s.setPeers(shards, intervals)
}

// peersForShard returns the peers to poll for a shard, and how often.
func (s *Slice) peersForShard(shard uint32) ([]lister.Instance, time.Duration) {
	zoneObservers := observer.ShardObservers(shard, s.Self.Zone, s.members)
	key := s.Self.Name + "/" + strconv.Itoa(int(shard))
	if !lister.Contains(zoneObservers, s.Self.Name) {
		r := lister.Rank(key, zoneObservers)
		if s.usedShards[shard] {
			return r[:min(1, len(r))], exchangeInterval
		}
		return r[:min(1, len(r))], unusedInterval
	}
	var out []lister.Instance
	for _, z := range s.shardZones[shard] {
		if z == s.Self.Zone {
			continue
		}
		r := lister.Rank(key, observer.ShardObservers(shard, z, s.members))
		out = append(out, r[:min(peersPerZone, len(r))]...)
	}
	if s.hasSuspicion(shard) {
		return out, exchangeInterval
	}
	return out, observerInterval
}

func (s *Slice) hasSuspicion(shard uint32) bool {
	for at := range s.suspected {
		if observer.Shard(at[0]) == shard {
			return true
		}
	}
	return false
}

func (s *Slice) setPeers(shards map[string]map[uint32]bool, intervals map[string]time.Duration) {
	old := s.peers
	s.peers, s.polledPeers = map[string]*peer{}, nil
	for _, i := range s.members {
		if i.Name == s.Self.Name {
			continue
		}
		p := old[i.Name]
		if p == nil {
			p = &peer{reportedLeaving: map[[2]string]bool{}}
		}
		p.instance = i
		var list []uint32
		for n := range shards[i.Name] {
			list = append(list, n)
		}
		slices.Sort(list)
		if !slices.Equal(list, p.shards) {
			// Reports are incremental, so added shards need a full report.
			p.received, p.due = receivedReport{}, time.Time{}
		}
		if intervals[i.Name] < p.interval {
			p.due = time.Time{}
		}
		p.shards, p.interval = list, intervals[i.Name]
		s.peers[i.Name] = p
		if len(list) > 0 {
			s.polledPeers = append(s.polledPeers, p)
		}
	}
}
