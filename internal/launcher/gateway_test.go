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
	// gateway passes connections from a real address of this machine on to a stand-in,
	// and does to them what networks do.
	gateway struct {
		// dial connects to the stand-in.
		dial func(ctx context.Context) (net.Conn, error)

		listener net.Listener
		// away is set while new connections are reset, and delay what each piece waits.
		away  atomic.Bool
		delay atomic.Int64

		mutex    sync.Mutex
		passages map[*passage]struct{}
		running  sync.WaitGroup
	}

	// passage is one connection with its two directions.
	passage struct {
		near, far net.Conn
		// mute swallows, for good, what goes to the stand-in and what comes back.
		mute [2]atomic.Bool
	}
)

// newGateway accepts at an address until the context ends.
func newGateway(ctx context.Context, address string, dial func(ctx context.Context) (net.Conn, error)) (*gateway, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gateway{dial: dial, listener: l, passages: map[*passage]struct{}{}}
	g.running.Go(func() { g.accept(ctx) })
	return g, nil
}

// close ends the gateway with all that passes through it.
func (g *gateway) close() {
	_ = g.listener.Close()
	g.each(func(p *passage) { p.cut() })
	g.running.Wait()
}

func (g *gateway) accept(ctx context.Context) {
	for {
		near, err := g.listener.Accept()
		if err != nil {
			return
		}
		if g.away.Load() {
			reset(near)
			continue
		}
		g.running.Go(func() { g.pass(ctx, near) })
	}
}

func (g *gateway) pass(ctx context.Context, near net.Conn) {
	dial, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	far, err := g.dial(dial)
	if err != nil {
		reset(near)
		return
	}
	p := &passage{near: near, far: far}
	g.mutex.Lock()
	g.passages[p] = struct{}{}
	g.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { g.pump(far, near, &p.mute[0]) })
	both.Go(func() { g.pump(near, far, &p.mute[1]) })
	both.Wait()
	g.mutex.Lock()
	delete(g.passages, p)
	g.mutex.Unlock()
}

// pump copies one direction until either end closes.
func (g *gateway) pump(to, from net.Conn, mute *atomic.Bool) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !mute.Load() {
			time.Sleep(time.Duration(g.delay.Load()))
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

// each does something to every connection that passes now.
func (g *gateway) each(do func(p *passage)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for p := range g.passages {
		do(p)
	}
}

// cut resets a connection.
func (p *passage) cut() {
	reset(p.near)
	_ = p.far.Close()
}

// silence swallows all that comes from now on, in one direction or in both.
func (p *passage) silence(there, back bool) {
	p.mute[0].Store(there)
	p.mute[1].Store(back)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
