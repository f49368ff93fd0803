package gossiper

import (
	"slices"
	"strconv"
	"time"

	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
)

// plan chooses whom to ask for which shards. For a shard that this instance
// does not observe, one observer of its own zone; for one that it does, perZone
// observers in each other zone that has members of the shard's groups, whose
// suspicions count beside its own. Each instance ranks the observers by its own
// name too, which spreads the askers over them.
func (s *Slice) plan() {
	if s.document == nil {
		return
	}
	shards := map[string]map[uint32]bool{}
	paces := map[string]time.Duration{}
	for shard := range uint32(observer.Shards) {
		if s.zones[shard] == nil {
			continue
		}
		sources, pause := s.from(shard)
		for _, i := range sources {
			if shards[i.Name] == nil {
				shards[i.Name], paces[i.Name] = map[uint32]bool{}, pause
			}
			shards[i.Name][shard] = true
			paces[i.Name] = min(paces[i.Name], pause)
		}
	}
	s.setPeers(shards, paces)
}

// from returns whom to ask for a shard, and how often.
func (s *Slice) from(shard uint32) ([]lister.Instance, time.Duration) {
	mine := observer.Of(shard, s.Self.Zone, s.members)
	key := s.Self.Name + "/" + strconv.Itoa(int(shard))
	if !lister.Holds(mine, s.Self.Name) {
		r := lister.Rank(key, mine)
		if s.used[shard] {
			return r[:min(1, len(r))], pace
		}
		return r[:min(1, len(r))], strangerPace
	}
	var out []lister.Instance
	for _, z := range s.zones[shard] {
		if z == s.Self.Zone {
			continue
		}
		r := lister.Rank(key, observer.Of(shard, z, s.members))
		out = append(out, r[:min(perZone, len(r))]...)
	}
	if s.suspecting(shard) {
		return out, pace
	}
	return out, observersPace
}

func (s *Slice) suspecting(shard uint32) bool {
	for at := range s.suspects {
		if observer.Shard(at[0]) == shard {
			return true
		}
	}
	return false
}

func (s *Slice) setPeers(shards map[string]map[uint32]bool, paces map[string]time.Duration) {
	old := s.peers
	s.peers, s.sources = map[string]*peer{}, nil
	for _, i := range s.members {
		if i.Name == s.Self.Name {
			continue
		}
		p := old[i.Name]
		if p == nil {
			p = &peer{doubted: map[[2]string]bool{}}
		}
		p.instance = i
		var list []uint32
		for n := range shards[i.Name] {
			list = append(list, n)
		}
		slices.Sort(list)
		if !slices.Equal(list, p.shards) {
			// A peer tells what has changed since the last report: to hear of
			// further shards in full, begin anew.
			p.held, p.next = heldReport{}, time.Time{}
		}
		if paces[i.Name] < p.pace {
			p.next = time.Time{}
		}
		p.shards, p.pace = list, paces[i.Name]
		s.peers[i.Name] = p
		if len(list) > 0 {
			s.sources = append(s.sources, p)
		}
	}
}
