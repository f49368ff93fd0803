// Package forwarder forwards connections to targets between instances. An instance that can't
// reach a target borrows a peer's connection for one exchange or one transaction and uses it
// like its own: statements, replies and session state are handled by the borrower. If the peer
// fails, the borrower sees a broken connection. Loans are never forwarded: a peer lends only
// its own connections.
package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// dialTimeout bounds opening a stream to a peer: three round trips between regions. Each takes
	// 16 ms, and the rest is for scheduling delays on a busy machine.
	dialTimeout = 150 * time.Millisecond
	// replyGrace is added to the time that the peer may wait for a connection, to cover the
	// round trip and the admission check.
	replyGrace = 200 * time.Millisecond
	// maxPeersTried is how many peers are tried for one loan, nearest first.
	maxPeersTried = 6
	// refusalTTL is how long a peer that can't reach a member is skipped for that member.
	refusalTTL = time.Second
	// maxIdleStreams is how many idle streams are kept per peer.
	maxIdleStreams    = 8
	streamIdleTimeout = 30 * time.Second
)

var (
	// errNoPeer means that no peer lent a connection.
	errNoPeer = errors.New("no peer lends a connection")
	// errUnreachable means that the peer can't reach the members either.
	errUnreachable = errors.New("peer does not reach the members")
)

// Forwarder borrows connections from peers and lends this instance's own. Set the exported fields
// before use.
type Forwarder struct {
	Discoverer *discoverer.Discoverer
	Links      *linker.Client
	Codec      messenger.MemberCodec
	Clock      func() tracker.Timestamp
	// Pool returns the connection pool of a group, nil if the group is unknown.
	Pool func(group string) *lender.Pool
	// MemberZone, when set, returns the availability zone of a member, "" if unknown.
	MemberZone func(group, member string) string
	// Connections returns how many connections a member of a group accepts from all instances,
	// 0 if unknown.
	Connections func(group string) int
	// Customers returns how many client accounts have connections of their own.
	Customers func() int
	// Zones is the number of availability zones.
	Zones int
	// Draining reports whether this instance is draining; it then lends nothing new.
	Draining func() bool
	// Log writes a line of alternating keys and values.
	Log func(fields ...any)
	// Count, when set, counts an event by one of the Count names.
	Count func(name string)

	mutex       sync.Mutex
	idleStreams map[string][]*peerStream
	// lastLender is the address of the peer that last lent a connection to a member.
	lastLender  map[string]string
	assignments map[string]*assignment
	// zones caches the instances by zone; zoneVersions is the last version given to one.
	zones        map[string]*zoneState
	zoneVersions int
	// refusals is when a peer last refused a loan for a member, by peer address and member.
	refusals map[[2]string]tracker.Timestamp
	// holderFailures is when a holder last failed, by address and member; an empty member
	// means all members.
	holderFailures map[[2]string]tracker.Timestamp
	// pressures are the queues that holders have reported.
	pressures map[pressureKey]*holderPressure
	// pressureLoggedAt and pressureRejectedAt are when a decision by them and an invalid report were
	// last logged.
	pressureLoggedAt, pressureRejectedAt tracker.Timestamp
	// firstLoanAt is when this instance first tried a holder.
	firstLoanAt tracker.Timestamp
	closed      bool
	// moves are the connections handed over because of load.
	moves moves
	// reads is what is known about the customers' connections at other instances.
	reads reads

	lent       atomic.Int64
	borrowed   atomic.Int64
	rankings   atomic.Int64
	readsMoved atomic.Int64
}

// LentCount returns how many connections are currently lent to peers.
func (fw *Forwarder) LentCount() int { return int(fw.lent.Load()) }

// BorrowedCount returns how many connections this instance has borrowed from peers since it
// started.
func (fw *Forwarder) BorrowedCount() int { return int(fw.borrowed.Load()) }

// RankingCount returns how often this instance has ranked instances as holders since it started.
func (fw *Forwarder) RankingCount() int { return int(fw.rankings.Load()) }

// Close closes all idle streams.
func (fw *Forwarder) Close() {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	fw.closed = true
	for _, list := range fw.idleStreams {
		for _, s := range list {
			s.close()
		}
	}
	fw.idleStreams = nil
}

// BorrowRemote borrows a connection to one of the members from the first peer that lends one. It
// implements lender.Pool's BorrowRemote.
func (fw *Forwarder) BorrowRemote(ctx context.Context, group string, members []string, r lender.Request) (*lender.Conn, error) {
	for _, address := range fw.candidatePeers(members) {
		if time.Now().After(r.Deadline) || ctx.Err() != nil {
			break
		}
		conn, err := fw.borrow(ctx, address, group, members, r)
		if err == nil {
			fw.recordLender(conn.Member, address)
			fw.borrowed.Add(1)
			return conn, nil
		}
		if isFinal(err) || ctx.Err() != nil {
			return nil, err
		}
		fw.recordRefusal(address, members, err)
	}
	return nil, errNoPeer
}

// isFinal reports whether every other peer would refuse with the same error.
func isFinal(err error) bool { return errors.Is(err, lender.ErrNoConnection) || isLimitError(err) }

func isLimitError(err error) bool {
	var limit *lender.LimitError
	return errors.As(err, &limit)
}

// candidatePeers returns the peers to try: the last lender first, then the nearest peers
// without a recent refusal.
func (fw *Forwarder) candidatePeers(members []string) []string {
	now := fw.Clock()
	known := fw.Discoverer.Peers(now)
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	var list []string
	for _, m := range members {
		if a, ok := fw.lastLender[m]; ok {
			list = append(list, a)
			break
		}
	}
	for _, p := range known {
		at, refused := fw.refusals[[2]string{p.Address, members[0]}]
		if len(list) < maxPeersTried && (!refused || now-at > refusalTTL) && (len(list) == 0 || list[0] != p.Address) {
			list = append(list, p.Address)
		}
	}
	return list
}

func (fw *Forwarder) recordLender(member, address string) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if fw.lastLender == nil {
		fw.lastLender = map[string]string{}
	}
	if fw.lastLender[member] != address {
		fw.lastLender[member] = address
		fw.Log("event", "carried", "member", member, "by", address)
	}
}

// recordRefusal makes candidatePeers skip a peer for the members that it refused.
func (fw *Forwarder) recordRefusal(address string, members []string, err error) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if fw.refusals == nil {
		fw.refusals = map[[2]string]tracker.Timestamp{}
	}
	now := fw.Clock()
	for k, at := range fw.refusals {
		if now-at > refusalTTL {
			delete(fw.refusals, k)
		}
	}
	for _, m := range members {
		if fw.lastLender[m] == address {
			delete(fw.lastLender, m)
			fw.Log("event", "carrier-lost", "member", m, "by", address, "cause", err)
		}
		fw.refusals[[2]string{address, m}] = now
	}
}

// getStream returns an idle stream to a peer, or opens one.
func (fw *Forwarder) getStream(ctx context.Context, address string) (*peerStream, error) {
	fw.mutex.Lock()
	for list := fw.idleStreams[address]; len(list) > 0; list = fw.idleStreams[address] {
		s := list[len(list)-1]
		fw.idleStreams[address] = list[:len(list)-1]
		if !s.isClosed() && time.Since(s.idleSince) < streamIdleTimeout {
			fw.mutex.Unlock()
			return s, nil
		}
		s.close()
	}
	fw.mutex.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return openPeerStream(dialCtx, fw.Links, address)
}

// putStream keeps a stream for the next loan.
func (fw *Forwarder) putStream(s *peerStream) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if fw.closed || s.isClosed() || len(fw.idleStreams[s.address]) >= maxIdleStreams {
		s.close()
		return
	}
	if fw.idleStreams == nil {
		fw.idleStreams = map[string][]*peerStream{}
	}
	s.idleSince = time.Now()
	fw.idleStreams[s.address] = append(fw.idleStreams[s.address], s)
	if oldest := fw.idleStreams[s.address][0]; time.Since(oldest.idleSince) > streamIdleTimeout {
		fw.idleStreams[s.address] = fw.idleStreams[s.address][1:]
		oldest.close()
	}
}
