// Package exchanger exchanges state between instances: the state of the platform's store, the
// known peers and the freshness proofs of primaries. The watcher orders received store
// state by its revision; that state is never used as proof of a read's freshness.
package exchanger

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/ranker"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	// callTimeout bounds a request to a peer, including the handshake between regions.
	callTimeout = 400 * time.Millisecond
	// readersPerRegion is how many instances of a region watch the store for the others, if
	// there are more than maxIndependentReaders. If all of them fail, the others watch the store
	// themselves until new ones are selected.
	readersPerRegion, maxIndependentReaders = 2, 4
	// stateRequestFanout is how many peers are asked for the store state concurrently, since
	// the nearest one may have lost the store as well.
	stateRequestFanout = 3
	// contactCheckInterval is the time between two checks for peers due to be contacted, and
	// contactInterval the time between two requests to a responsive peer.
	contactCheckInterval = 250 * time.Millisecond
	contactInterval      = time.Second
	// unresponsiveAfter is how long a peer must fail to answer before it is contacted only
	// every unresponsiveInterval.
	unresponsiveAfter    = 5 * time.Second
	unresponsiveInterval = 2 * time.Second
	// firstContactFanout is how many not yet contacted peers an instance contacts at a time
	// during firstContactPeriod after its start.
	firstContactFanout = 4
	firstContactPeriod = 2 * time.Second
	// registerRetryDelay is the minimum time between two attempts to write the record of this
	// instance.
	registerRetryDelay = time.Second
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

// Exchanger sends requests to peers and answers theirs. Set the exported fields, then call Run.
type Exchanger struct {
	Discoverer *discoverer.Discoverer
	Links      *linker.Client
	Clock      func() tracker.Timestamp
	// StoreState returns the known state of the store, nil before the first read.
	StoreState func() *watcher.StoreState
	// IsReader reports whether this instance watches the store itself and the store is available.
	IsReader func() bool
	// Proofs, if set, returns the recent proofs that this instance obtained from primaries.
	// AddProof is called with the proofs received from a peer.
	Proofs   func() []GroupProof
	AddProof func(GroupProof)
	// Lend, if set, serves a peer that borrows connections.
	Lend func(stream wire.DRPCNeighbours_LendStream) error
	// Account, if set, handles a usage report of a peer.
	Account func(r *wire.AccountRequest) *wire.AccountReply
	// Store is where instances register.
	Store storer.Store
	// Log writes a log line of alternating keys and values.
	Log func(fields ...any)

	// contacted is the time of the last request by peer name. It is accessed only by Run.
	contacted map[string]tracker.Timestamp
	// readerRequests counts the calls of RequestState, which are not concurrent.
	readerRequests int

	mutex sync.Mutex
	// ownRecord is the record of this instance in the store.
	ownRecord storer.Pair
	// registerTriedAt is when the record was last written.
	registerTriedAt tracker.Timestamp
}

// Run registers this instance and contacts its peers until the context ends.
func (e *Exchanger) Run(ctx context.Context) error {
	started := e.Clock()
	e.contacted = map[string]tracker.Timestamp{}
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		if err := sleeper.Sleep(ctx, contactCheckInterval/2+rand.N(contactCheckInterval)); err != nil {
			return err
		}
		e.register(ctx)
		for _, p := range e.duePeers(e.Clock()-started < firstContactPeriod) {
			requests.Go(func() { _, _ = e.request(ctx, p.Address, &wire.TellRequest{PeersOnly: true}) })
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
	if readers := e.readerAddresses(); !slices.Contains(readers, "") {
		return e.requestFromReader(ctx, readers, revision)
	}
	list := e.Discoverer.Addresses(e.Clock(), stateRequestFanout)
	answers := make(chan watcher.StoreState, len(list))
	for _, address := range list {
		go func() {
			state, err := e.request(ctx, address, &wire.TellRequest{Revision: revision})
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

// requestFromReader requests the store state from the readers in round-robin order, and
// tries the next one if a reader fails.
func (e *Exchanger) requestFromReader(ctx context.Context, readers []string, revision int64) (watcher.StoreState, error) {
	e.readerRequests++
	for i := range readers {
		state, err := e.request(ctx, readers[(e.readerRequests+i)%len(readers)], &wire.TellRequest{Revision: revision, Proofs: true, Changes: true})
		if err == nil && state.Revision != 0 {
			return state, nil
		}
	}
	return watcher.StoreState{}, errNoPeerState
}

// readerAddresses returns the addresses of the instances that watch the store for this
// region, "" for this instance. It omits unresponsive peers, so that a partitioned
// zone selects its own readers.
func (e *Exchanger) readerAddresses() []string {
	list := e.Discoverer.OwnRegion(e.Clock())
	if len(list) <= maxIndependentReaders {
		return []string{""}
	}
	var addresses []string
	for _, p := range ranker.Rank(InstancePrefix, list, peerName)[:readersPerRegion] {
		if p.Name == e.Discoverer.Self.Name {
			p.Address = ""
		}
		addresses = append(addresses, p.Address)
	}
	return addresses
}

func peerName(p discoverer.Peer) string { return p.Name }

// FollowsPeers reports whether others read the store for this instance. It implements
// watcher.Watcher's FollowsPeers.
func (e *Exchanger) FollowsPeers() bool { return !slices.Contains(e.readerAddresses(), "") }

// request sends a request to a peer and records the peers and proofs of its reply.
func (e *Exchanger) request(ctx context.Context, address string, r *wire.TellRequest) (watcher.StoreState, error) {
	r.Sender = toPeer(e.Discoverer.Self)
	var reply *wire.TellReply
	requestedAt := e.Clock()
	err := e.Links.Call(ctx, callTimeout, address, func(ctx context.Context, l *linker.Link) (err error) {
		reply, err = wire.NewDRPCNeighboursClient(l.Conn()).Tell(ctx, r)
		return err
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
	e.Discoverer.RecordContact(now, responder)
	for _, p := range reply.Peers {
		e.Discoverer.RecordListed(now, fromPeer(p))
	}
	// Ages are relative to the time before the request, so that delays can only make the
	// received state appear older.
	for _, p := range reply.Proofs {
		e.AddProof(GroupProof{Group: p.Group, FreshnessProof: tracker.FreshnessProof{
			At: requestedAt - time.Duration(p.AgeUs)*time.Microsecond, Position: orderer.Position{Term: p.Term, Offset: p.Offset},
		}})
	}
	state := watcher.StoreState{Revision: reply.Revision, Partial: reply.Partial, Sender: responder.Name, SenderIsReader: reply.Reads, ConfirmedAt: requestedAt - time.Duration(reply.AgeMs)*time.Millisecond}
	for _, x := range reply.Items {
		state.Pairs = append(state.Pairs, storer.Pair{Key: x.Key, Value: x.Value, Revision: x.Revision})
	}
	return state, nil
}

// HandleRequest handles a request of a peer.
func (e *Exchanger) HandleRequest(r *wire.TellRequest) *wire.TellReply {
	now := e.Clock()
	e.Discoverer.RecordContact(now, fromPeer(r.Sender))
	reply := &wire.TellReply{Teller: toPeer(e.Discoverer.Self)}
	if !r.Changes {
		for _, p := range e.Discoverer.PeersForReply(now) {
			reply.Peers = append(reply.Peers, toPeer(p))
		}
	}
	if r.Proofs && e.Proofs != nil {
		reply.Proofs = e.encodeProofs()
	}
	state := e.StoreState()
	if state == nil || r.PeersOnly {
		return reply
	}
	reply.Reads = e.IsReader()
	reply.Revision, reply.AgeMs = state.Revision, uint32(max(0, now-state.ConfirmedAt).Milliseconds())
	if r.Revision >= state.Revision {
		return reply
	}
	pairs := state.Pairs
	if r.Changes {
		pairs, reply.Partial = state.ChangesSince(r.Revision)
	}
	for _, p := range pairs {
		reply.Items = append(reply.Items, &wire.StoreItem{Key: p.Key, Value: p.Value, Revision: p.Revision})
	}
	return reply
}

// encodeProofs returns the recent proofs for a reply. Ages are rounded up: a proof that
// appears newer than it is would let a read miss acknowledged commits.
func (e *Exchanger) encodeProofs() []*wire.GroupProof {
	known := e.Proofs()
	now := e.Clock()
	list := make([]*wire.GroupProof, 0, len(known))
	for _, p := range known {
		age := max(0, now-p.At) + time.Microsecond - 1
		list = append(list, &wire.GroupProof{Group: p.Group, Term: p.Position.Term, Offset: p.Position.Offset, AgeUs: uint64(age / time.Microsecond)})
	}
	return list
}

func toPeer(p discoverer.Peer) *wire.Peer {
	return &wire.Peer{Name: p.Name, Address: p.Address, Zone: p.Zone, Millicores: uint32(max(0, p.Millicores))}
}

func fromPeer(p *wire.Peer) discoverer.Peer {
	return discoverer.Peer{Name: p.GetName(), Address: p.GetAddress(), Zone: p.GetZone(), Millicores: int(p.GetMillicores())}
}
