// Package netsimulator simulates a network in memory for tests: hosts, one-way latencies between
// availability zones, partitions that stall connections without closing them, and host
// failures. It implements networker.Network and runs under the virtual clock of
// testing/synctest.
package netsimulator

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/networker"
)

type (
	// Net is a simulated network. Set Latency before the first connection.
	Net struct {
		// Latency returns the one-way delay between two hosts; nil means none.
		Latency func(from, to *Host) time.Duration
		// OnSend, when set, is called with all data that hosts send.
		OnSend func(from, to *Host, sent []byte)

		mutex      sync.Mutex
		hosts      map[string]*Host
		listeners  map[string]*listener
		conns      map[*conn]struct{}
		partitions map[[2]string]bool
		refusals   map[[2]string]bool
		changed    chan struct{}
		random     *rand.Rand
		nextPort   int
	}

	// Host is one machine on the network; it implements networker.Network.
	Host struct {
		IP   string
		Zone string

		net  *Net
		dead bool
	}

	listener struct {
		net     *Net
		address string
		queue   chan *conn
		closed  chan struct{}
		once    sync.Once
	}
)

var (
	_ networker.Network = (*Host)(nil)

	// ErrRefused is returned by Dial when nothing listens on the address. It wraps the error of the
	// operating system, by which instances tell a dead peer from one that is cut off.
	ErrRefused = errors.Wrap(syscall.ECONNREFUSED, "nothing listens")
)

// New returns an empty network; seed initializes the random source of Jitter.
func New(seed uint64) *Net {
	return &Net{
		hosts: map[string]*Host{}, listeners: map[string]*listener{}, conns: map[*conn]struct{}{},
		partitions: map[[2]string]bool{}, refusals: map[[2]string]bool{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Host returns the host with the IP, adding it if it is new.
func (n *Net) Host(ip, zone string) *Host {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	h := n.hosts[ip]
	if h == nil {
		h = &Host{IP: ip, Zone: zone, net: n}
		n.hosts[ip] = h
	}
	return h
}

// Partition stalls all traffic between a and b in both directions; each is an IP or a zone.
func (n *Net) Partition(a, b string) { n.update(func() { n.partitions[[2]string{a, b}] = true }) }

// PartitionOneWay stalls the traffic from a to b only.
func (n *Net) PartitionOneWay(a, b string) {
	n.update(func() { n.partitions[[2]string{a, "> " + b}] = true })
}

// Refuse resets the connections between a and b, each an IP, and refuses new ones in both directions.
func (n *Net) Refuse(a, b string) {
	n.update(func() {
		n.refusals[[2]string{a, b}] = true
		for c := range n.conns {
			if c.local.IP == a && c.remote.IP == b || c.local.IP == b && c.remote.IP == a {
				c.reset()
			}
		}
	})
}

// refuses reports whether connections between two hosts are refused; the mutex is held.
func (n *Net) refuses(a, b *Host) bool {
	return n.refusals[[2]string{a.IP, b.IP}] || n.refusals[[2]string{b.IP, a.IP}]
}

// Heal removes the partition between a and b; stalled data is delivered.
func (n *Net) Heal(a, b string) {
	n.update(func() {
		delete(n.partitions, [2]string{a, b})
		delete(n.partitions, [2]string{b, a})
		delete(n.partitions, [2]string{a, "> " + b})
	})
}

// HealAll removes all partitions and refusals.
func (n *Net) HealAll() {
	n.update(func() { n.partitions, n.refusals = map[[2]string]bool{}, map[[2]string]bool{} })
}

// Kill resets all connections of a host and refuses new ones until Revive.
func (n *Net) Kill(ip string) {
	n.update(func() {
		n.hosts[ip].dead = true
		for c := range n.conns {
			if c.local.IP == ip || c.remote.IP == ip {
				c.reset()
			}
		}
	})
}

// Revive lets a killed host listen and dial again.
func (n *Net) Revive(ip string) { n.update(func() { n.hosts[ip].dead = false }) }

func (n *Net) update(f func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// partitioned reports whether traffic from one host to another is stalled, and returns a
// channel that is closed when that may have changed.
func (n *Net) partitioned(from, to *Host) (bool, chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, f := range []string{from.IP, from.Zone} {
		for _, t := range []string{to.IP, to.Zone} {
			if n.partitions[[2]string{f, t}] || n.partitions[[2]string{t, f}] || n.partitions[[2]string{f, "> " + t}] {
				return true, n.changed
			}
		}
	}
	return false, n.changed
}

func (n *Net) latency(from, to *Host) time.Duration {
	if n.Latency == nil {
		return 0
	}
	return n.Latency(from, to)
}

// Jitter returns a random duration in [0, limit].
func (n *Net) Jitter(limit time.Duration) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return time.Duration(n.random.Int64N(int64(limit) + 1))
}

// waitForDelivery blocks for the latency from one host to another, and while they are
// partitioned.
func (n *Net) waitForDelivery(ctx context.Context, from, to *Host) error {
	for {
		partitioned, changed := n.partitioned(from, to)
		if !partitioned {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-time.After(n.latency(from, to)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dial implements networker.Network.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := h.net
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	n.mutex.Lock()
	to, dead := n.hosts[ip], h.dead
	n.mutex.Unlock()
	if to == nil || dead {
		return nil, errors.Wrapf(ErrRefused, "dial %s", address)
	}
	if err := n.waitForDelivery(ctx, h, to); err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	n.mutex.Lock()
	l := n.listeners[address]
	if l == nil || to.dead || n.refuses(h, to) {
		n.mutex.Unlock()
		if err := n.waitForDelivery(ctx, to, h); err != nil {
			return nil, errors.Wrapf(err, "dial %s", address)
		}
		return nil, errors.Wrapf(ErrRefused, "dial %s", address)
	}
	n.nextPort++
	a, b := newConnPair(n, h, to, n.nextPort, address)
	n.conns[a], n.conns[b] = struct{}{}, struct{}{}
	n.mutex.Unlock()
	select {
	case l.queue <- b:
	case <-l.closed:
		a.reset()
		return nil, errors.Wrapf(ErrRefused, "dial %s", address)
	case <-ctx.Done():
		a.reset()
		return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
	}
	if err := n.waitForDelivery(ctx, to, h); err != nil {
		a.reset()
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return a, nil
}

// Listen implements networker.Network.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.net
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if h.dead {
		return nil, errors.New("host is dead")
	}
	if n.listeners[address] != nil {
		return nil, errors.Errorf("listen %s: address already in use", address)
	}
	l := &listener{net: n, address: address, queue: make(chan *conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mutex.Lock()
		defer l.net.mutex.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// Dead reports whether a host has been killed.
func (n *Net) Dead(ip string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	h, ok := n.hosts[ip]
	return ok && h.dead
}
