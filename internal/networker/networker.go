// Package networker abstracts network access. Instances never use package net directly, so that
// tests can run many of them in one process on a simulated network with partitions and latency.
package networker

import (
	"context"
	"net"
	"time"
)

// keepAlive is the TCP keep-alive interval. It is the fallback for dead peers; package prober
// detects silent connections sooner.
const keepAlive = 15 * time.Second

// Network opens and accepts stream connections. Addresses are "ip:port".
type Network interface {
	// Dial opens a connection; ctx applies only to establishing it.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen listens on the address.
	Listen(address string) (net.Listener, error)
}

// TCP implements Network with the host's TCP stack.
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
