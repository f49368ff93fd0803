// Package carrier forwards connections to targets between instances. An instance that can't
// reach a target borrows a peer's connection for one exchange or one transaction and uses it
// like its own: statements, replies and session state are handled by the borrower. If the peer
// fails, the borrower sees a broken connection. Loans are never forwarded: a peer lends only
// its own connections.
package carrier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// dialTimeout bounds opening a stream to a peer: three round trips between regions.
	dialTimeout = 150 * time.Millisecond
	// replyGrace is added to the time that the peer may wait for a connection, to cover the
	// round trip and the admission check.
	replyGrace = 200 * time.Millisecond
	// maxPeersTried is how many peers are tried for one loan, nearest first.
	maxPeersTried = 6
	// refusalTTL is how long a peer that can't reach a member is not asked for it.
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

// Carrier borrows connections from peers and lends this instance's own. Set the exported fields
// before use.
type Carrier struct {
	Introducer *introducer.Introducer
	Links      *linker.Client
	Codec      messenger.MemberCodec
	Clock      func() tracker.Stamp
	// Pool returns the connection pool of a group, nil if the group is unknown.
	Pool func(group string) *lender.Pool
	// Connections returns how many connections a member of a group accepts from all instances,
	// 0 if unknown.
	Connections func(group string) int
	// Customers returns how many client accounts have connections of their own.
	Customers func() int
	// Zones is the number of availability zones.
	Zones int
	// Leaving reports whether this instance is draining; it then lends nothing new.
	Leaving func() bool
	// Log writes a line of alternating keys and values.
	Log func(fields ...any)

	mutex       sync.Mutex
	idleStreams map[string][]*peerStream
	// lastLender is the address of the peer that last lent a connection to a member.
	lastLender  map[string]string
	assignments map[string]*assignment
	// refusals is when a peer last refused a member, by peer address and member.
	refusals map[[2]string]tracker.Stamp
	// holderFailures is when a holder last failed, by address and member; an empty member
	// stands for all.
	holderFailures map[[2]string]tracker.Stamp
	closed         bool

	lent     atomic.Int64
	borrowed atomic.Int64
}

// Lent returns how many connections are currently lent to peers.
func (c *Carrier) Lent() int { return int(c.lent.Load()) }

// Borrowed returns how many loans this instance has taken since it started.
func (c *Carrier) Borrowed() int { return int(c.borrowed.Load()) }

// Close closes all idle streams.
func (c *Carrier) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, list := range c.idleStreams {
		for _, l := range list {
			l.close()
		}
	}
	c.idleStreams = nil
}

// Carry borrows a connection to one of the members from the first peer that lends one. It
// implements lender.Pool's Carry.
func (c *Carrier) Carry(ctx context.Context, group string, members []string, r lender.Request) (*lender.Conn, error) {
	for _, address := range c.candidatePeers(members) {
		if time.Now().After(r.Until) || ctx.Err() != nil {
			break
		}
		conn, err := c.borrow(ctx, address, group, members, r)
		if err == nil {
			c.rememberLender(conn.Member, address)
			c.borrowed.Add(1)
			return conn, nil
		}
		if isFinal(err) || ctx.Err() != nil {
			return nil, err
		}
		c.recordRefusal(address, members, err)
	}
	return nil, errNoPeer
}

// isFinal reports whether every other peer would refuse with the same error.
func isFinal(err error) bool { return errors.Is(err, lender.ErrFull) || isLimitError(err) }

func isLimitError(err error) bool {
	var limit *lender.LimitError
	return errors.As(err, &limit)
}

// candidatePeers returns the peers to ask: the last lender first, then the nearest peers
// without a recent refusal.
func (c *Carrier) candidatePeers(members []string) []string {
	now := c.Clock()
	known := c.Introducer.Peers(now)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []string
	for _, m := range members {
		if a, ok := c.lastLender[m]; ok {
			list = append(list, a)
			break
		}
	}
	for _, p := range known {
		at, refused := c.refusals[[2]string{p.Address, members[0]}]
		if len(list) < maxPeersTried && (!refused || now-at > refusalTTL) && (len(list) == 0 || list[0] != p.Address) {
			list = append(list, p.Address)
		}
	}
	return list
}

func (c *Carrier) rememberLender(member, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lastLender == nil {
		c.lastLender = map[string]string{}
	}
	if c.lastLender[member] != address {
		c.lastLender[member] = address
		c.Log("event", "carried", "member", member, "by", address)
	}
}

func (c *Carrier) recordRefusal(address string, members []string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.refusals == nil {
		c.refusals = map[[2]string]tracker.Stamp{}
	}
	now := c.Clock()
	for k, at := range c.refusals {
		if now-at > refusalTTL {
			delete(c.refusals, k)
		}
	}
	for _, m := range members {
		if c.lastLender[m] == address {
			delete(c.lastLender, m)
			c.Log("event", "carrier-lost", "member", m, "by", address, "cause", err)
		}
		c.refusals[[2]string{address, m}] = now
	}
}

// getStream returns an idle stream to a peer, or opens one.
func (c *Carrier) getStream(ctx context.Context, address string) (*peerStream, error) {
	c.mutex.Lock()
	for list := c.idleStreams[address]; len(list) > 0; list = c.idleStreams[address] {
		l := list[len(list)-1]
		c.idleStreams[address] = list[:len(list)-1]
		if !l.isClosed() && time.Since(l.idleSince) < streamIdleTimeout {
			c.mutex.Unlock()
			return l, nil
		}
		l.close()
	}
	c.mutex.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return openPeerStream(dialCtx, c.Links, address)
}

// putStream keeps a stream for the next loan.
func (c *Carrier) putStream(l *peerStream) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || l.isClosed() || len(c.idleStreams[l.address]) >= maxIdleStreams {
		l.close()
		return
	}
	if c.idleStreams == nil {
		c.idleStreams = map[string][]*peerStream{}
	}
	l.idleSince = time.Now()
	c.idleStreams[l.address] = append(c.idleStreams[l.address], l)
	if oldest := c.idleStreams[l.address][0]; time.Since(oldest.idleSince) > streamIdleTimeout {
		c.idleStreams[l.address] = c.idleStreams[l.address][1:]
		oldest.close()
	}
}
