// Package networker is the one way to reach other processes. The code of an
// instance never calls package net itself, so that a test can put many
// instances into one process, on a network that it cuts, slows and freezes.
package networker

import (
	"context"
	"net"
	"time"
)

// keepAlive is how often the kernel probes an idle connection. It is only the
// last resort for a peer that is gone for good: package prober finds silent
// connections far sooner, through fresh ones.
const keepAlive = 15 * time.Second

// Network opens and accepts byte streams. Addresses are "ip:port".
type Network interface {
	// Dial opens a connection; the context bounds the opening only.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at the address.
	Listen(address string) (net.Listener, error)
}

// TCP is the network of the machine.
type TCP struct{}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
