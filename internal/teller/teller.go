// Package teller exchanges state between instances: the state of the platform's store, the
// known peers and the freshness proofs of primaries. The watcher orders received store
// state by its revision; that state is never used as proof of a read's freshness.
package teller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/pauser"
	"github.com/oriolegw/oriolegw/internal/ranker"
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
	// introductionFanout is how many not yet contacted peers an instance contacts at a time
	// during introductionPeriod after its start.
	introductionFanout = 4
	introductionPeriod = 2 * time.Second
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
	tracker.Proof
}

// Teller sends requests to peers and answers theirs. Set the exported fields, then call Run.
type Teller struct {
	Introducer *introducer.Introducer
	Links      *linker.Client
	Clock      func() tracker.Stamp
	// Known returns the known state of the store, nil before the first read.
	Known func() *watcher.News
	// Reads reports whether this instance watches the store itself and the store is available.
	Reads func() bool
	// Proofs, if set, returns the recent proofs that this instance obtained from primaries.
	// Prove is called with the proofs received from a peer.
	Proofs func() []GroupProof
	Prove  func(GroupProof)
	// Lend, if set, serves a peer that borrows connections.
	Lend func(stream wire.DRPCNeighbours_LendStream) error
	// Account, if set, handles a usage report of a peer.
	Account func(r *wire.AccountRequest) *wire.AccountReply
	// Store is where instances register.
	Store storer.Store
	// Log writes a log line of key-value pairs.
	Log func(fields ...any)

	// contacted is the time of the last request by peer name. It is accessed only by Run.
	contacted map[string]tracker.Stamp
	// readerRequests counts the calls of Hear, which are not concurrent.
	readerRequests int

	mutex sync.Mutex
	// ownRecord is the record of this instance in the store.
	ownRecord storer.Pair
	// registerTriedAt is when the record was last written.
	registerTriedAt tracker.Stamp
}

// Run registers this instance and contacts its peers until the context ends.
func (t *Teller) Run(ctx context.Context) error {
	started := t.Clock()
	t.contacted = map[string]tracker.Stamp{}
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		if err := pauser.Pause(ctx, contactCheckInterval/2+rand.N(contactCheckInterval)); err != nil {
			return err
		}
		t.register(ctx)
		for _, p := range t.duePeers(t.Clock()-started < introductionPeriod) {
			requests.Go(func() { _, _ = t.request(ctx, p.Address, &wire.TellRequest{PeersOnly: true}) })
		}
	}
}

// duePeers returns the peers to contact now. A peer that has just failed is contacted at
// every check; responsive and long unresponsive ones less often.
func (t *Teller) duePeers(starting bool) []introducer.Peer {
	now := t.Clock()
	list := t.Introducer.Guarded()
	if starting {
		list = append(list, t.Introducer.Unmet(now, introductionFanout)...)
	}
	var duePeers []introducer.Peer
	for _, p := range list {
		pause := contactInterval
		if failing, since := t.Introducer.Failing(p.Name); failing && now-since > unresponsiveAfter {
			pause = unresponsiveInterval
		} else if failing || !t.Links.Connected(p.Address) {
			pause = contactCheckInterval
		}
		if at, contacted := t.contacted[p.Name]; !contacted || now-at >= pause {
			duePeers = append(duePeers, p)
			t.contacted[p.Name] = now
		}
	}
	return duePeers
}

// Hear requests the store state after a revision from peers and returns the newest answer.
// It implements watcher.Watcher.Hear and must not be called concurrently.
func (t *Teller) Hear(ctx context.Context, revision int64) (watcher.News, error) {
	if readerAddresses := t.readerAddresses(); !slices.Contains(readerAddresses, "") {
		return t.requestFromReader(ctx, readerAddresses, revision)
	}
	list := t.Introducer.Addresses(t.Clock(), stateRequestFanout)
	answers := make(chan watcher.News, len(list))
	for _, address := range list {
		go func() {
			n, err := t.request(ctx, address, &wire.TellRequest{Revision: revision})
			if err != nil {
				n = watcher.News{}
			}
			answers <- n
		}()
	}
	var best watcher.News
	for range list {
		n := <-answers
		reads := best.Reads || n.Reads
		if n.Revision > best.Revision || n.Revision == best.Revision && n.Heard > best.Heard {
			best = n
		}
		best.Reads = reads
	}
	if best.Revision == 0 {
		return best, errNoPeerState
	}
	return best, nil
}

// requestFromReader requests the store state from the readers in round-robin order, and
// tries the next one if a reader fails.
func (t *Teller) requestFromReader(ctx context.Context, readers []string, revision int64) (watcher.News, error) {
	t.readerRequests++
	for i := range readers {
		n, err := t.request(ctx, readers[(t.readerRequests+i)%len(readers)], &wire.TellRequest{Revision: revision, Proofs: true, Changes: true})
		if err == nil && n.Revision != 0 {
			return n, nil
		}
	}
	return watcher.News{}, errNoPeerState
}

// readerAddresses returns the addresses of the instances that watch the store for this
// region, "" standing for this instance. It omits unresponsive peers, so that a partitioned
// zone selects its own readers.
func (t *Teller) readerAddresses() []string {
	list := t.Introducer.Region(t.Clock())
	if len(list) <= maxIndependentReaders {
		return []string{""}
	}
	var addresses []string
	for _, p := range ranker.Rank(InstancePrefix, list, peerName)[:readersPerRegion] {
		if p.Name == t.Introducer.Self.Name {
			p.Address = ""
		}
		addresses = append(addresses, p.Address)
	}
	return addresses
}

func peerName(p introducer.Peer) string { return p.Name }

// Follows reports whether others read the store for this instance. It implements
// watcher.Watcher's Follows.
func (t *Teller) Follows() bool { return !slices.Contains(t.readerAddresses(), "") }

// request sends a request to a peer and records the peers and proofs of its reply.
func (t *Teller) request(ctx context.Context, address string, r *wire.TellRequest) (watcher.News, error) {
	r.Sender = toPeer(t.Introducer.Self)
	var a *wire.TellReply
	requestedAt := t.Clock()
	err := t.Links.Call(ctx, callTimeout, address, func(ctx context.Context, l *linker.Link) (err error) {
		a, err = wire.NewDRPCNeighboursClient(l.Conn()).Tell(ctx, r)
		return err
	})
	if err != nil {
		if ctx.Err() == nil {
			t.Introducer.Failed(t.Clock(), address)
			t.Log("event", "peer-unanswered", "address", address, "cause", err)
		}
		return watcher.News{}, err
	}
	now := t.Clock()
	responder := fromPeer(a.Teller)
	t.Introducer.Met(now, responder)
	for _, p := range a.Peers {
		t.Introducer.HeardOf(now, fromPeer(p))
	}
	// Ages are relative to the time before the request, so that delays can only make the
	// received state appear older.
	for _, p := range a.Proofs {
		t.Prove(GroupProof{Group: p.Group, Proof: tracker.Proof{
			At: requestedAt - time.Duration(p.AgeUs)*time.Microsecond, Position: orderer.Position{Term: p.Term, Offset: p.Offset},
		}})
	}
	n := watcher.News{Revision: a.Revision, Partial: a.Partial, From: responder.Name, Reads: a.Reads, Heard: requestedAt - time.Duration(a.AgeMs)*time.Millisecond}
	for _, x := range a.Items {
		n.Pairs = append(n.Pairs, storer.Pair{Key: x.Key, Value: x.Value, Revision: x.Revision})
	}
	return n, nil
}

// Answer handles a request of a peer.
func (t *Teller) Answer(r *wire.TellRequest) *wire.TellReply {
	now := t.Clock()
	t.Introducer.Met(now, fromPeer(r.Sender))
	a := &wire.TellReply{Teller: toPeer(t.Introducer.Self)}
	if !r.Changes {
		for _, p := range t.Introducer.Told(now) {
			a.Peers = append(a.Peers, toPeer(p))
		}
	}
	if r.Proofs && t.Proofs != nil {
		a.Proofs = t.encodeProofs()
	}
	k := t.Known()
	if k == nil || r.PeersOnly {
		return a
	}
	a.Reads = t.Reads()
	a.Revision, a.AgeMs = k.Revision, uint32(max(0, now-k.Heard).Milliseconds())
	if r.Revision >= k.Revision {
		return a
	}
	pairs := k.Pairs
	if r.Changes {
		pairs, a.Partial = k.Since(r.Revision)
	}
	for _, p := range pairs {
		a.Items = append(a.Items, &wire.StoreItem{Key: p.Key, Value: p.Value, Revision: p.Revision})
	}
	return a
}

// encodeProofs returns the recent proofs for a reply. Ages are rounded up: a proof taken for
// newer than it is would let a read miss acknowledged commits.
func (t *Teller) encodeProofs() []*wire.GroupProof {
	known := t.Proofs()
	now := t.Clock()
	list := make([]*wire.GroupProof, 0, len(known))
	for _, p := range known {
		age := max(0, now-p.At) + time.Microsecond - 1
		list = append(list, &wire.GroupProof{Group: p.Group, Term: p.Position.Term, Offset: p.Position.Offset, AgeUs: uint64(age / time.Microsecond)})
	}
	return list
}

func toPeer(p introducer.Peer) *wire.Peer {
	return &wire.Peer{Name: p.Name, Address: p.Address, Zone: p.Zone, Millicores: uint32(max(0, p.Millicores))}
}

func fromPeer(p *wire.Peer) introducer.Peer {
	return introducer.Peer{Name: p.GetName(), Address: p.GetAddress(), Zone: p.GetZone(), Millicores: int(p.GetMillicores())}
}
