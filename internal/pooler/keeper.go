package pooler

import (
	"context"
	"slices"
	"time"
)

const (
	maintainEvery = 100 * time.Millisecond
	// maxIdle closes a connection beyond the wanted ones that nobody used.
	maxIdle = time.Minute
	// maxAge closes a connection between two requests, so that what a target
	// keeps for a session doesn't grow without end; ageStep spreads the ends.
	maxAge  = 30 * time.Minute
	ageStep = 10 * time.Second
)

type (
	// ended is what a goroutine of the pool reports at its end.
	ended struct {
		socket *socket
		// gone: the target has ended the session.
		gone bool
		// waited is set for the goroutine that waits for the target.
		waited bool
	}

	// asker waits for a connection to ask a control question over.
	asker struct {
		address string
		order   bool // it goes before traffic
		waits   bool // for a connection; it does not while its target is proved
		given   chan *Conn
	}
)

// Run looks after the connections until the context ends: it warms those that
// are wanted, closes what is old and waits for targets to end what was closed.
func (p *Pool) Run(ctx context.Context) error {
	p.mutex.Lock()
	p.open()
	p.mutex.Unlock()
	t := time.NewTicker(maintainEvery)
	defer t.Stop()
	done := make(chan ended)
	running := 0
	start := func(f func() ended) {
		running++
		go func() { done <- f() }()
	}
	lendable := 0
	for {
		select {
		case <-p.fresher:
			for _, s := range p.takeFresh() {
				start(func() ended { return ended{socket: s, gone: p.finish(ctx, s), waited: true} })
			}
		case e := <-done:
			running--
			p.note(e)
		case <-t.C:
			for _, f := range p.maintain(ctx) {
				start(f)
			}
			if n := p.Lendable(); n != lendable {
				lendable = n
				p.resized()
			}
		case <-ctx.Done():
			p.closeAll()
			for ; running > 0; running-- {
				<-done
			}
			return ctx.Err()
		}
	}
}

func (p *Pool) signal() {
	select {
	case p.fresher <- struct{}{}:
	default:
	}
}

func (p *Pool) takeFresh() []*socket {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f := p.fresh
	p.fresh = nil
	return f
}

func (p *Pool) note(e ended) {
	if e.socket == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e.gone {
		p.freed(e.socket)
		_ = e.socket.Conn.Close()
	}
	if !e.waited {
		e.socket.asking = false
	}
}

// closeAll really closes everything; the process is ending.
func (p *Pool) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.socket.Conn.Close()
	}
	for c := range p.lent {
		_ = c.socket.Conn.Close()
	}
	for s := range p.linger {
		_ = s.Conn.Close()
	}
	p.idle = nil
}

// Want tells which places traffic is likely to need, the most likely first.
func (p *Pool) Want(places []Place) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open()
	if slices.Equal(p.wanted, places) {
		return
	}
	p.wanted = slices.Clone(places)
	for _, w := range places {
		p.discardOld(w)
	}
}

// maintain returns what is to be done now.
func (p *Pool) maintain(ctx context.Context) []func() ended {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.discard(func(c *Conn) bool {
		old := now.Sub(c.opened) >= maxAge+time.Duration(c.PID%64)*ageStep
		return old || (now.Sub(c.used) >= maxIdle && !slices.Contains(p.wanted, c.Place))
	})
	out := p.warm(ctx)
	for s := range p.linger {
		if s.pid == 0 || s.asking || now.Sub(s.since) < endAfter || now.Sub(s.asked) < endEvery {
			continue
		}
		s.asking, s.asked = true, now
		out = append(out, func() ended {
			ctx, cancel := context.WithTimeout(ctx, endEvery)
			defer cancel()
			return ended{socket: s, gone: p.end(ctx, s)}
		})
	}
	return out
}

// warm opens connections to wanted places that have none, so that the request
// that needs one doesn't pay for its start: one at a time, and none while
// traffic waits for the places of the share.
func (p *Pool) warm(ctx context.Context) []func() ended {
	if p.waiting > 0 || len(p.dialing) > 0 || p.pressed() {
		return nil
	}
	for i, w := range p.wanted {
		if i >= p.share.Connections {
			return nil
		}
		if p.has(w) || !p.mayAdd(w.Address) || p.risky(w.Address) {
			continue
		}
		if p.held() >= p.share.Connections {
			p.discardOne(func(c *Conn) bool { return !slices.Contains(p.wanted[:i+1], c.Place) })
			return nil
		}
		p.dialing[w.Address]++
		return []func() ended{func() ended {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			if c, err := p.dial(ctx, w); err == nil {
				p.Return(c)
			}
			return ended{}
		}}
	}
	return nil
}

func (p *Pool) has(w Place) bool {
	for _, c := range p.idle {
		if c.Place == w {
			return true
		}
	}
	for c := range p.lent {
		if c.Place == w {
			return true
		}
	}
	return false
}

// discardOne closes the matching idle connection that was unused for longest,
// unless one is already on its way out.
func (p *Pool) discardOne(match func(*Conn) bool) {
	if p.leaving() > 0 {
		return
	}
	for i, c := range p.idle {
		if match(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			p.retire(c)
			return
		}
	}
}
