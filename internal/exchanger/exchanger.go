// Package exchanger exchanges state between instances: the state of the platform's store, the
// known peers and the freshness proofs of primaries. The watcher orders received store
// state by its revision; that state is never used as proof of a read's freshness.
package exchanger

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/distributor"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
)

const (
	// callTimeout bounds a request to a peer, including the handshake between regions, and
	// wholeStateTimeout one for the whole state, which a parent sends to many children at once.
	callTimeout       = 400 * time.Millisecond
	wholeStateTimeout = 3 * time.Second
	// maxIndependentReaders is how many instances of a region watch the store each for itself.
	// If there are more, they are arranged as a tree whose readers watch it for the others. If
	// all of them fail, the others watch the store themselves until new ones are selected.
	maxIndependentReaders = 4
	// treeTTL is how long this instance's place in the tree is cached.
	treeTTL = 200 * time.Millisecond
	// stateRequestFanout is how many peers are asked for the store state concurrently, since
	// the nearest one may have lost the store as well.
	stateRequestFanout = 3
	// contactCheckInterval is the time between two checks for peers due to be contacted, and
	// contactInterval the time between two requests to a responsive peer.
	contactCheckInterval = 250 * time.Millisecond
	contactInterval      = 2 * time.Second
	// peerListRounds is every how many checks the contacted peers are asked for lists of peers.
	peerListRounds = 80
	// unresponsiveAfter is how long a peer must fail to answer before it is contacted only
	// every unresponsiveInterval. Hosts are replaced, and the old ones never return.
	unresponsiveAfter    = 5 * time.Second
	unresponsiveInterval = 2 * time.Second
	// firstContactFanout is how many not yet contacted peers an instance contacts at a time
	// during firstContactPeriod after its start.
	firstContactFanout = 4
	firstContactPeriod = 2 * time.Second
	// maxReportedReads bounds the reads of a group in one request of a peer.
	maxReportedReads = 1 << 16
	// registerRetryDelay is the minimum time between two attempts to write the record of this
	// instance.
	registerRetryDelay = time.Second
	// loadRejectedInterval is the minimum time between two log lines on invalid loads.
	loadRejectedInterval = 10 * time.Second
	// InstancePrefix is the key prefix of instance records in the store.
	InstancePrefix = "oriolegw/instance/"
)

// errNoPeerState means that no peer returned the state of the store.
var errNoPeerState = errors.New("no peer returned the state of the store")

// GroupProof is a freshness proof of a group.
type GroupProof struct {
	Group string
	tracker.FreshnessProof
}

// GroupLoad is the load of a group's member.
type GroupLoad struct {
	Group string
	tracker.MemberLoad
}

// GroupReads counts the reads of a group that a replica may serve.
type GroupReads struct {
	Group string
	Count int
}

// Exchanger sends requests to peers and answers theirs. Set the exported fields, then call Run.
type Exchanger struct {
	Discoverer *discoverer.Discoverer
	Links      *linker.Client
	Clock      func() tracker.Timestamp
	// StoreState returns the known state of the store, nil before the first read.
	StoreState func() *watcher.KnownState
	// IsReader reports whether this instance watches the store itself and the store is available.
	// FollowsReader reports whether it follows a peer that watches the store.
	IsReader, FollowsReader func() bool
	// Proofs, if set, returns the recent proofs that this instance obtained from primaries, of
	// the given groups or, with nil, of all. AddProof is called with the proofs received from a
	// peer.
	Proofs   func(groups []string) []GroupProof
	AddProof func(GroupProof)
	// Loads, if set, returns the recent loads of the members of groups, as Proofs does. AddLoad is
	// called with the loads received from a peer.
	Loads   func(groups []string) []GroupLoad
	AddLoad func(GroupLoad)
	// TakeReads, if set, returns the groups whose proofs this instance wants from a peer, with
	// the reads since the last call, or all for every group. RecordPeerReads is called with those
	// that a peer has sent.
	TakeReads       func() (groups []GroupReads, all bool)
	RecordPeerReads func([]GroupReads)
	// Lend, if set, serves a peer that borrows connections.
	Lend func(stream wire.DRPCNeighbours_LendStream) error
	// Account, if set, handles a usage report of a peer.
	Account func(r *wire.AccountRequest) *wire.AccountReply
	// GrantLeases, if set, returns the leases, or their refusals, of the groups that a peer asks for. It
	// is called concurrently.
	GrantLeases func(groups []string) []GroupLease
	// Store is where instances register.
	Store storer.Store
	// Log writes a log line of alternating keys and values.
	Log func(fields ...any)

	// contacted is the time of the last request by peer name. It is accessed only by Run.
	contacted map[string]tracker.Timestamp
	// parentRequests counts the calls of RequestState, which are not concurrent.
	parentRequests int
	// parentDepth is the depth of the peer that last sent the state.
	parentDepth atomic.Uint32
	// compressed is the whole state as sent to peers that know nothing.
	compressed compressedState

	mutex sync.Mutex
	// parents caches the result of parentAddresses.
	parents   []string
	parentsAt tracker.Timestamp
	// peersAdded is the discoverer's count of the region's added peers at parentsAt.
	peersAdded int
	// listed is set once the records of the other instances were read.
	listed bool
	// ownRecord is the record of this instance in the store.
	ownRecord storer.Pair
	// loadRejectedAt is when an invalid load was last logged.
	loadRejectedAt tracker.Timestamp
	// registerTriedAt is when the record was last written.
	registerTriedAt tracker.Timestamp
}

// Run registers this instance and contacts its peers until the context ends.
func (e *Exchanger) Run(ctx context.Context) error {
	started := e.Clock()
	e.contacted = map[string]tracker.Timestamp{}
	var requests sync.WaitGroup
	defer requests.Wait()
	rounds := 0
	for {
		if err := sleeper.Sleep(ctx, contactCheckInterval/2+rand.N(contactCheckInterval)); err != nil {
			return err
		}
		e.register(ctx)
		starting := e.Clock()-started < firstContactPeriod
		// The store's records list the instances; lists of peers complete them while it is away.
		rounds++
		omitPeers := !starting && e.StoreState() != nil && rounds%peerListRounds != 0
		for _, p := range e.duePeers(starting) {
			requests.Go(func() {
				_, _ = e.request(ctx, p.Address, &wire.TellRequest{PeersOnly: true, OmitPeers: omitPeers})
			})
		}
	}
}

// duePeers returns the peers to contact now. A peer that has just failed is contacted at
// every check; responsive and long unresponsive ones less often.
func (e *Exchanger) duePeers(starting bool) []discoverer.Peer {
	now := e.Clock()
	list := e.Discoverer.Monitored()
	if starting {
		list = append(list, e.Discoverer.Uncontacted(now, firstContactFanout)...)
	}
	var due []discoverer.Peer
	for _, p := range list {
		interval := contactInterval
		if failing, since := e.Discoverer.Failing(p.Name); failing && now-since > unresponsiveAfter {
			interval = unresponsiveInterval
		} else if failing || !e.Links.Connected(p.Address) {
			interval = contactCheckInterval
		}
		if at, contacted := e.contacted[p.Name]; !contacted || now-at >= interval {
			due = append(due, p)
			e.contacted[p.Name] = now
		}
	}
	return due
}

// RequestState requests the store state after a revision from peers and returns the newest answer.
// It implements watcher.Watcher.RequestState and must not be called concurrently.
func (e *Exchanger) RequestState(ctx context.Context, revision int64) (watcher.StoreState, error) {
	if parents := e.parentAddresses(); len(parents) > 0 {
		return e.requestFromParents(ctx, parents, revision)
	}
	list := e.Discoverer.Addresses(e.Clock(), stateRequestFanout)
	answers := make(chan watcher.StoreState, len(list))
	for _, address := range list {
		go func() {
			state, err := e.request(ctx, address, &wire.TellRequest{Revision: revision, Compress: true})
			if err != nil {
				state = watcher.StoreState{}
			}
			answers <- state
		}()
	}
	var best watcher.StoreState
	for range list {
		state := <-answers
		senderIsReader := best.SenderIsReader || state.SenderIsReader
		if state.Revision > best.Revision || state.Revision == best.Revision && state.ConfirmedAt > best.ConfirmedAt {
			best = state
		}
		best.SenderIsReader = senderIsReader
	}
	if best.Revision == 0 {
		return best, errNoPeerState
	}
	return best, nil
}

// requestFromParents requests the store state from the parents in round-robin order, and tries
// the next one if a parent fails.
func (e *Exchanger) requestFromParents(ctx context.Context, parents []string, revision int64) (watcher.StoreState, error) {
	e.parentRequests++
	r := &wire.TellRequest{Revision: revision, Proofs: true, Changes: true, Compress: true}
	if e.TakeReads != nil {
		groups, all := e.TakeReads()
		r.Selective, r.Proofs = !all, all || len(groups) > 0
		for _, g := range groups {
			r.Reads = append(r.Reads, &wire.GroupReads{Group: g.Group, Count: uint32(g.Count)})
		}
	}
	for i := range parents {
		state, err := e.request(ctx, parents[(e.parentRequests+i)%len(parents)], r)
		if err == nil && state.Revision != 0 {
			return state, nil
		}
	}
	return watcher.StoreState{}, errNoPeerState
}

// parentAddresses returns the addresses of the instances from which this one gets the store's
// state, none if it watches the store itself. It omits unresponsive peers, so that a partitioned
// zone selects its own readers.
func (e *Exchanger) parentAddresses() []string {
	now, added := e.Clock(), e.Discoverer.RegionAddedCount()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.parentsAt == 0 || now-e.parentsAt > treeTTL || added != e.peersAdded {
		e.parents, e.parentsAt, e.peersAdded = e.computeParents(now), now, added
	}
	return e.parents
}

func (e *Exchanger) computeParents(now tracker.Timestamp) []string {
	list := e.Discoverer.OwnRegion(now)
	if len(list) <= maxIndependentReaders {
		return nil
	}
	order := treeOrder(list)
	self := slices.IndexFunc(order, func(p discoverer.Peer) bool { return p.Name == e.Discoverer.Self.Name })
	var parents []string
	for _, i := range distributor.Parents(self) {
		parents = append(parents, order[i].Address)
	}
	return parents
}

// treeOrder returns the instances of a region in the order of the tree. The largest come first: those at
// the top send the most.
func treeOrder(list []discoverer.Peer) []discoverer.Peer {
	peers := make(map[string]discoverer.Peer, len(list))
	candidates := make([]concentrator.Candidate, 0, len(list))
	for _, p := range list {
		peers[p.Name] = p
		candidates = append(candidates, concentrator.Candidate{Name: p.Name, Millicores: p.Millicores})
	}
	var order []discoverer.Peer
	for _, name := range concentrator.RankHolders(InstancePrefix, candidates) {
		order = append(order, peers[name])
	}
	slices.SortStableFunc(order, func(a, b discoverer.Peer) int { return cmp.Compare(b.Millicores, a.Millicores) })
	return order
}

// FirstReader returns the address of the first reader of the region, "" if it is this instance.
func (e *Exchanger) FirstReader() string {
	first := treeOrder(e.Discoverer.OwnRegion(e.Clock()))[0]
	if first.Name == e.Discoverer.Self.Name {
		return ""
	}
	return first.Address
}

// FollowsPeers reports whether others read the store for this instance. It implements
// watcher.Watcher's FollowsPeers.
func (e *Exchanger) FollowsPeers() bool { return len(e.parentAddresses()) > 0 }

// depth returns the number of instances from this one to the store, itself included, and 0 if
// the store isn't reached.
func (e *Exchanger) depth() uint32 {
	switch {
	case e.IsReader():
		return 1
	case e.FollowsReader != nil && e.FollowsReader():
		return min(e.parentDepth.Load(), distributor.MaxDepth) + 1
	default:
		return 0
	}
}

// request sends a request to a peer and records the peers and proofs of its reply.
func (e *Exchanger) request(ctx context.Context, address string, r *wire.TellRequest) (watcher.StoreState, error) {
	r.Sender = toPeer(e.Discoverer.SelfWithLoad())
	var reply *wire.TellReply
	requestedAt := e.Clock()
	timeout := callTimeout
	if r.Revision == 0 && !r.PeersOnly {
		timeout = wholeStateTimeout
	}
	err := e.Links.Call(ctx, timeout, address, func(ctx context.Context, l *linker.Link) (err error) {
		reply, err = wire.NewDRPCNeighboursClient(l.Conn()).Tell(ctx, r)
		if err != nil {
			return err
		}
		return decompressItems(reply)
	})
	if err != nil {
		if ctx.Err() == nil {
			e.Discoverer.RecordFailure(e.Clock(), address)
			e.Log("event", "peer-unanswered", "address", address, "cause", err)
		}
		return watcher.StoreState{}, err
	}
	now := e.Clock()
	responder := fromPeer(reply.Teller)
	e.checkLoad(now, responder)
	e.Discoverer.RecordContact(now, responder)
	for _, p := range reply.Peers {
		e.Discoverer.RecordListed(now, fromPeer(p))
	}
	e.receiveProofs(requestedAt, reply)
	if r.Changes {
		e.parentDepth.Store(max(1, reply.Depth))
	}
	state := watcher.StoreState{
		Revision: reply.Revision, Partial: reply.Partial, Sender: responder.Name, SenderIsReader: reply.Reads && reply.Depth < distributor.MaxDepth,
		ConfirmedAt: requestedAt - time.Duration(reply.AgeMs)*time.Millisecond,
	}
	for _, x := range reply.Items {
		state.Pairs = append(state.Pairs, storer.Pair{Key: x.Key, Value: x.Value, Revision: x.Revision})
	}
	return state, nil
}

// HandleRequest handles a request of a peer.
func (e *Exchanger) HandleRequest(r *wire.TellRequest) *wire.TellReply {
	now := e.Clock()
	sender := fromPeer(r.Sender)
	e.checkLoad(now, sender)
	if r.Sender != nil {
		e.Discoverer.RecordContact(now, sender)
	}
	reply := &wire.TellReply{}
	if r.Sender != nil || !r.PeersOnly {
		reply.Teller = toPeer(e.Discoverer.SelfWithLoad())
	}
	if !r.Changes && !r.OmitPeers {
		for _, p := range e.Discoverer.PeersForReply(now) {
			reply.Peers = append(reply.Peers, toPeer(p))
		}
	}
	e.recordPeerReads(r)
	if r.Proofs && e.Proofs != nil {
		reply.Proofs = e.encodeProofs(wantedGroups(r))
	}
	if r.Proofs && e.Loads != nil {
		reply.Loads = e.encodeLoads(wantedGroups(r))
	}
	state := e.StoreState()
	if state == nil || r.PeersOnly {
		return reply
	}
	reply.Depth = e.depth()
	reply.Reads = reply.Depth > 0
	reply.Revision, reply.AgeMs = state.Revision, uint32(max(0, now-state.ConfirmedAt).Milliseconds())
	if r.Revision < state.Revision {
		e.addItems(reply, r, state)
	}
	return reply
}

// addItems adds the state after the revision of a request to its reply.
func (e *Exchanger) addItems(reply *wire.TellReply, r *wire.TellRequest, state *watcher.KnownState) {
	var pairs []storer.Pair
	if r.Changes {
		pairs, reply.Partial = state.Records.Since(r.Revision)
	}
	switch {
	case reply.Partial && r.Compress:
		reply.Compressed = e.compressed.getChanges(pairs, r.Revision, state.Revision)
	case r.Compress:
		reply.Compressed, reply.Revision = e.compressed.getWhole(e.Clock(), state)
	case !reply.Partial:
		pairs, _ = state.Records.Whole()
	}
	if reply.Compressed == nil {
		reply.Items = toItems(pairs)
	}
}

// recordPeerReads passes on the reads that a peer has reported.
func (e *Exchanger) recordPeerReads(r *wire.TellRequest) {
	if e.RecordPeerReads == nil || len(r.Reads) == 0 {
		return
	}
	list := make([]GroupReads, 0, len(r.Reads))
	for _, g := range r.Reads {
		list = append(list, GroupReads{Group: g.Group, Count: int(min(g.Count, maxReportedReads))})
	}
	e.RecordPeerReads(list)
}

// wantedGroups returns the groups whose proofs and loads a request asks for, nil for all.
func wantedGroups(r *wire.TellRequest) []string {
	if !r.Selective {
		return nil
	}
	groups := make([]string, 0, len(r.Reads))
	for _, g := range r.Reads {
		groups = append(groups, g.Group)
	}
	return groups
}

// encodeProofs returns the recent proofs of groups. Ages are rounded up: a proof that
// appears newer than it is would let a read miss acknowledged commits.
func (e *Exchanger) encodeProofs(groups []string) []*wire.GroupProof {
	known := e.Proofs(groups)
	now := e.Clock()
	list := make([]*wire.GroupProof, 0, len(known))
	for _, p := range known {
		age := max(0, now-p.At) + time.Microsecond - 1
		list = append(list, &wire.GroupProof{Group: p.Group, Term: p.Position.Term, Offset: p.Position.Offset, AgeUs: uint64(age / time.Microsecond)})
	}
	return list
}

// checkLoad logs an invalid load, which the discoverer drops.
func (e *Exchanger) checkLoad(now tracker.Timestamp, p discoverer.Peer) {
	if p.LoadMilli <= discoverer.MaxLoadMilli {
		return
	}
	e.mutex.Lock()
	due := e.loadRejectedAt == 0 || now-e.loadRejectedAt >= loadRejectedInterval
	if due {
		e.loadRejectedAt = now
	}
	e.mutex.Unlock()
	if due {
		e.Log("event", "load-rejected", "peer", p.Name, "load-milli", p.LoadMilli)
	}
}

func toPeer(p discoverer.Peer) *wire.Peer {
	return &wire.Peer{Name: p.Name, Address: p.Address, Zone: p.Zone, Millicores: uint32(max(0, p.Millicores)), LoadMilli: uint32(max(0, p.LoadMilli))}
}

func fromPeer(p *wire.Peer) discoverer.Peer {
	return discoverer.Peer{Name: p.GetName(), Address: p.GetAddress(), Zone: p.GetZone(), Millicores: int(p.GetMillicores()), LoadMilli: int(p.GetLoadMilli())}
}
