package launcher_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// faultProxy forwards TCP connections on a loopback address to a simulated member or
	// store, and injects network faults.
	faultProxy struct {
		// dial connects to the simulated server.
		dial func(ctx context.Context) (net.Conn, error)

		listener net.Listener
		// refusing is set while new connections are reset; delay in nanoseconds is applied
		// to each chunk of data.
		refusing atomic.Bool
		delay    atomic.Int64

		mutex   sync.Mutex
		conns   map[*proxiedConn]struct{}
		running sync.WaitGroup
	}

	// proxiedConn is a connection through the proxy.
	proxiedConn struct {
		client, upstream net.Conn
		// dropping discards data towards upstream (index 0) and towards the client (index 1).
		dropping [2]atomic.Bool
	}
)

// newFaultProxy listens on an address until close is called.
func newFaultProxy(ctx context.Context, address string, dial func(ctx context.Context) (net.Conn, error)) (*faultProxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &faultProxy{dial: dial, listener: l, conns: map[*proxiedConn]struct{}{}}
	f.running.Go(func() { f.accept(ctx) })
	return f, nil
}

// close stops the proxy and resets its connections.
func (f *faultProxy) close() {
	_ = f.listener.Close()
	f.forEachConn(func(p *proxiedConn) { p.reset() })
	f.running.Wait()
}

func (f *faultProxy) accept(ctx context.Context) {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		if f.refusing.Load() {
			reset(client)
			continue
		}
		f.running.Go(func() { f.proxyConn(ctx, client) })
	}
}

func (f *faultProxy) proxyConn(ctx context.Context, client net.Conn) {
	dialContext, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	upstream, err := f.dial(dialContext)
	if err != nil {
		reset(client)
		return
	}
	p := &proxiedConn{client: client, upstream: upstream}
	f.mutex.Lock()
	f.conns[p] = struct{}{}
	f.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { f.forward(upstream, client, &p.dropping[0]) })
	both.Go(func() { f.forward(client, upstream, &p.dropping[1]) })
	both.Wait()
	f.mutex.Lock()
	delete(f.conns, p)
	f.mutex.Unlock()
}

// forward copies one direction until either end closes.
func (f *faultProxy) forward(to, from net.Conn, dropping *atomic.Bool) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !dropping.Load() {
			time.Sleep(time.Duration(f.delay.Load()))
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = from.Close()
			}
			return
		}
	}
}

// forEachConn calls do with every open connection.
func (f *faultProxy) forEachConn(do func(p *proxiedConn)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for p := range f.conns {
		do(p)
	}
}

// reset sends a TCP reset to the client and closes the upstream connection.
func (p *proxiedConn) reset() {
	reset(p.client)
	_ = p.upstream.Close()
}

// drop sets for each direction whether data is discarded from now on.
func (p *proxiedConn) drop(toUpstream, toClient bool) {
	p.dropping[0].Store(toUpstream)
	p.dropping[1].Store(toClient)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
