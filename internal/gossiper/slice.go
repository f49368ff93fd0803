package gossiper

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
)

const (
	// exchangeInterval is how often a peer is polled while the byte budget allows it.
	exchangeInterval = 200 * time.Millisecond
	// observerInterval is how often observers of different zones poll each other. They query the
	// members themselves; during a suspicion exchangeInterval applies.
	observerInterval = time.Second
	// unusedInterval is how often an instance polls for groups that it neither observes nor
	// uses, so that their first request finds a known primary.
	unusedInterval = 30 * time.Second
	// repairInterval is how often a random peer is polled for its configuration version
	// (anti-entropy). It repairs lost announcements.
	repairInterval = time.Second
	// bytesPerSecond is the budget of the exchanges that an instance starts, both directions.
	// It answers about as many, so its total traffic is twice this.
	bytesPerSecond = 4000
	// maxByteBudget is how much unused budget is kept for a burst.
	maxByteBudget = 2 * bytesPerSecond

	// peersPerZone is how many observers per other zone an observer polls, so that the failure
	// of one doesn't lose its zone's vote on a suspicion.
	peersPerZone = 2
	// announceFanOut is how many peers receive an announcement. A peer to which it is
	// new forwards it to as many; repair reaches the others.
	announceFanOut = 4

	// maxDocuments is how many versions of the document are kept to decode the reports of peers
	// with another version.
	maxDocuments = 4
	// maxSeedPeers is how many instances are returned to a new instance.
	maxSeedPeers = 32
)

type (
	// Slice decides which peers this instance polls, when, and what it announces. To bound the
	// load, it polls only observers, uses the full rate only for groups in use, and extends the
	// intervals to keep within a byte budget. Set the exported fields before use.
	Slice struct {
		Self lister.Instance
		// Incarnation is a random number for this start of the instance.
		Incarnation uint32
		Random      *rand.Rand
		// Published is the snapshot from which the server answers peers.
		Published *atomic.Pointer[Snapshot]
		// Seeds are the addresses to query while no other instance is known.
		Seeds []string

		version   int64
		document  *configurer.Document
		documents map[int64]*configurer.Document
		// positions are the service and member indexes in the document, by service and member
		// name.
		positions      map[[2]string][2]int
		members        []lister.Instance
		seedPeers      []lister.Instance
		usedShards     [observer.ShardCount]bool
		observedGroups []*observedGroup
		// shardZones are the zones with members of the shard's groups.
		shardZones     [observer.ShardCount][]string
		sequence       uint64
		dirty          bool
		leaving        bool
		leavingNotices map[[2]string]storedNotice
		// suspected are the members that this instance suspects, by service and member name.
		suspected map[[2]string]bool

		peers map[string]*peer
		// polledPeers are the peers to exchange with periodically.
		polledPeers       []*peer
		newestObservation map[[2]string]time.Time
		byteBudget        float64
		lastTick          time.Time
		nextRepair        time.Time
		nextSeed          time.Time
	}

	// peer is another instance that this one polls.
	peer struct {
		instance lister.Instance
		shards   []uint32
		interval time.Duration
		// cost is the size of the last exchange, in bytes.
		cost     float64
		received receivedReport
		inFlight bool
		due      time.Time
		// repeat requests another exchange as soon as the current one ends.
		repeat bool
		// reportedLeaving are the members that the peer reports as leaving.
		reportedLeaving map[[2]string]bool
	}

	// Exchange requests a peer's report.
	Exchange struct {
		Peer    lister.Instance
		Request *wire.ExchangeRequest
	}

	// Exchanged is the outcome of an Exchange.
	Exchanged struct {
		Peer        lister.Instance
		Report      *wire.Report
		RequestedAt time.Time
		// Bytes is the size of the exchange, both directions.
		Bytes int64
		Err   error
	}

	// Announce sends an announcement to a peer, without a delivery guarantee.
	Announce struct {
		Peer    lister.Instance
		Message *wire.Announcement
	}

	// QuerySeed requests the document and the peers from a seed address.
	QuerySeed struct{ Address string }
)

// ActionName implements controller.Action.
func (Exchange) ActionName() string { return "exchange" }

// ActionName implements controller.Action.
func (Announce) ActionName() string { return "announce" }

// ActionName implements controller.Action.
func (QuerySeed) ActionName() string { return "greet" }

// EventName implements controller.Event.
func (Exchanged) EventName() string { return "exchanged" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	s.initialize()
	switch e := e.(type) {
	case configurer.Activated:
		return s.applyDocument(e)
	case lister.ViewChanged:
		s.members = e.Instances
		s.chooseSeedPeers()
		s.choosePeers()
		s.publish()
	case observer.ServicesInUse:
		s.setUsed(e)
	case observer.Observed:
		s.handleObserved(e)
	case Suspicion:
		return s.handleSuspicion(e)
	case drainer.LocalSignal:
		return s.handleOwnNotice(now, e)
	case drainer.InstanceLeaving:
		return s.startLeaving()
	case AnnouncementReceived:
		return s.handleAnnouncement(now, e)
	case Exchanged:
		return s.handleExchanged(now, e)
	case ExchangeRequested:
		return []controller.Action{
			controller.Emit{Event: lister.PeerSeen{Instance: e.Sender}},
			controller.Emit{Event: configurer.PeerVersion{Version: e.Version, Address: e.Sender.Address}},
		}
	case SeedReplied:
		return handleSeedReply(e)
	case lister.Probe:
		return []controller.Action{s.probeExchange(e.Instance)}
	case controller.Tick:
		return s.tick(now)
	}
	return nil
}

func (s *Slice) initialize() {
	if s.peers != nil {
		return
	}
	s.peers, s.newestObservation = map[string]*peer{}, map[[2]string]time.Time{}
	s.documents, s.leavingNotices = map[int64]*configurer.Document{}, map[[2]string]storedNotice{}
	s.suspected = map[[2]string]bool{}
	s.byteBudget = maxByteBudget
}

// applyDocument replaces the document, keeps the observations of remaining members and
// announces the version.
func (s *Slice) applyDocument(e configurer.Activated) []controller.Action {
	oldPositions, oldGroups := s.positions, s.observedGroups
	s.version, s.document = e.Version, e.Document
	s.documents[e.Version] = e.Document
	s.dropOldDocuments()
	s.observedGroups, s.positions = make([]*observedGroup, len(e.Document.Services)), map[[2]string][2]int{}
	s.shardZones = [observer.ShardCount][]string{}
	for i, v := range e.Document.Services {
		shard := observer.Shard(v.Name)
		for j, m := range v.Members {
			at := [2]string{v.Name, m.Name}
			s.positions[at] = [2]int{i, j}
			if !slices.Contains(s.shardZones[shard], m.Zone) {
				s.shardZones[shard] = append(s.shardZones[shard], m.Zone)
			}
			if o, ok := oldPositions[at]; ok && oldGroups[o[0]] != nil {
				*s.editMember(at) = oldGroups[o[0]].members[o[1]]
			}
		}
	}
	s.choosePeers()
	s.publish()
	return s.broadcast(&wire.Announcement{Version: s.version})
}

// dropOldDocuments removes the oldest documents above maxDocuments.
func (s *Slice) dropOldDocuments() {
	for len(s.documents) > maxDocuments {
		oldest := s.version
		for v := range s.documents {
			oldest = min(oldest, v)
		}
		delete(s.documents, oldest)
	}
}

// setUsed records the shards of the groups that local requests use.
func (s *Slice) setUsed(e observer.ServicesInUse) {
	var used [observer.ShardCount]bool
	for _, n := range e.Services {
		used[observer.Shard(n)] = true
	}
	if used == s.usedShards {
		return
	}
	s.usedShards = used
	s.choosePeers()
}

func (s *Slice) announce(to lister.Instance, message *wire.Announcement) Announce {
	message.Sender, message.Version = peerToWire(s.Self), s.version
	return Announce{Peer: to, Message: message}
}

// broadcast sends an announcement to announceFanOut peers, at least one of them in another
// zone.
func (s *Slice) broadcast(message *wire.Announcement) []controller.Action {
	var sameZone, otherZones []lister.Instance
	for _, i := range s.members {
		switch {
		case i.Name == s.Self.Name:
		case i.Zone == s.Self.Zone:
			sameZone = append(sameZone, i)
		default:
			otherZones = append(otherZones, i)
		}
	}
	s.shuffle(sameZone)
	s.shuffle(otherZones)
	var to []lister.Instance
	to = append(to, otherZones[:min(1, len(otherZones))]...)
	to = append(to, sameZone[:min(announceFanOut-len(to), len(sameZone))]...)
	if more := announceFanOut - len(to); more > 0 && len(otherZones) > 1 {
		to = append(to, otherZones[1:min(1+more, len(otherZones))]...)
	}
	var out []controller.Action
	for _, i := range to {
		out = append(out, s.announce(i, &wire.Announcement{Leaving: message.Leaving, Urgent: message.Urgent, Gone: message.Gone}))
	}
	return out
}

func (s *Slice) shuffle(list []lister.Instance) {
	s.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// handleSeedReply publishes the document and the peers that a seed returned.
func handleSeedReply(e SeedReplied) []controller.Action {
	out := []controller.Action{controller.Emit{Event: e.Result}}
	for _, i := range e.Peers {
		out = append(out, controller.Emit{Event: lister.PeerSeen{Instance: i}})
	}
	return out
}

// startLeaving announces that this instance is leaving. Other peers see it in reports.
func (s *Slice) startLeaving() []controller.Action {
	s.leaving = true
	s.Self.State = lister.StateLeaving
	s.publish()
	return s.broadcast(&wire.Announcement{Gone: true})
}

// handleAnnouncement processes a peer's announcement.
func (s *Slice) handleAnnouncement(now time.Time, e AnnouncementReceived) []controller.Action {
	if e.SenderLeaving {
		e.Sender.State = lister.StateLeaving
	}
	out := []controller.Action{
		controller.Emit{Event: lister.PeerSeen{Instance: e.Sender}},
		controller.Emit{Event: configurer.PeerVersion{Version: e.Version, Address: e.Sender.Address}},
	}
	for _, l := range e.Leaving {
		out = append(out, s.handleNotice(now, l)...)
	}
	if p := s.peers[e.Sender.Name]; p != nil && e.Urgent && len(p.shards) > 0 {
		if p.inFlight {
			p.repeat = true
			return out
		}
		out = append(out, s.startExchange(now, p))
	}
	return out
}

func peerToWire(i lister.Instance) *wire.Peer {
	return &wire.Peer{Name: i.Name, Address: i.Address, Zone: i.Zone}
}

func peerFromWire(w *wire.Peer) lister.Instance {
	return lister.Instance{Name: w.GetName(), Kind: lister.KindEntry, Address: w.GetAddress(), Zone: w.GetZone(), State: lister.StateLive}
}

// chooseSeedPeers picks random instances to return to new instances.
func (s *Slice) chooseSeedPeers() {
	s.seedPeers = slices.Clone(s.members)
	s.shuffle(s.seedPeers)
	s.seedPeers = s.seedPeers[:min(maxSeedPeers, len(s.seedPeers))]
}

// publish makes the current state available to the server.
func (s *Slice) publish() {
	s.dirty = false
	if s.Published == nil {
		return
	}
	n := &Snapshot{Self: s.Self, Version: s.version, Incarnation: s.Incarnation, Sequence: s.sequence, Leaving: s.leaving, groups: slices.Clone(s.observedGroups)}
	n.notices = s.currentNotices()
	n.Members, n.Peers = s.members, s.seedPeers
	s.Published.Store(n)
}
