package pooler

import (
	"context"
	"slices"
	"time"
)

const (
	maintainInterval = 100 * time.Millisecond
	// maxIdleTime is the idle time after which connections to unwanted endpoints are closed.
	maxIdleTime = time.Minute
	// maxAge limits a connection's age, since a target's memory for a session grows. maxAgeStep
	// staggers the limit by connection.
	maxAge     = 30 * time.Minute
	maxAgeStep = 10 * time.Second
)

type (
	// taskResult is the outcome of a background task of the pool.
	taskResult struct {
		socket *socket
		// sessionEnded is set when the target has ended the session.
		sessionEnded bool
		// awaitedClose is set for tasks that run awaitClose.
		awaitedClose bool
	}

	// controlWaiter is a control statement that waits for a connection.
	controlWaiter struct {
		address    string
		isFailover bool // takes precedence over client requests
		waiting    bool // for a connection; unset while the target is probed
		handoff    chan *Conn
	}
)

// Run maintains the pool until the context ends: it opens wanted connections, closes expired
// ones and waits for targets to end closed sessions.
func (p *Pool) Run(ctx context.Context) error {
	p.mutex.Lock()
	p.initialize()
	p.mutex.Unlock()
	t := time.NewTicker(maintainInterval)
	defer t.Stop()
	done := make(chan taskResult)
	running := 0
	start := func(f func() taskResult) {
		running++
		go func() { done <- f() }()
	}
	capacity := 0
	for {
		select {
		case <-p.closingSignal:
			for _, s := range p.takeNewlyClosing() {
				start(func() taskResult {
					return taskResult{socket: s, sessionEnded: p.awaitClose(ctx, s), awaitedClose: true}
				})
			}
		case e := <-done:
			running--
			p.recordResult(e)
		case <-t.C:
			for _, f := range p.maintain(ctx) {
				start(f)
			}
			if n := p.Capacity(); n != capacity {
				capacity = n
				p.capacityChanged()
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

func (p *Pool) signalClosing() {
	select {
	case p.closingSignal <- struct{}{}:
	default:
	}
}

func (p *Pool) takeNewlyClosing() []*socket {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f := p.newlyClosing
	p.newlyClosing = nil
	return f
}

func (p *Pool) recordResult(r taskResult) {
	if r.socket == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if r.sessionEnded {
		p.releaseSlot(r.socket)
		_ = r.socket.Conn.Close()
	}
	if !r.awaitedClose {
		r.socket.terminating = false
	}
}

// closeAll closes all sockets at shutdown, without waiting for the targets.
func (p *Pool) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.socket.Conn.Close()
	}
	for c := range p.checkedOut {
		_ = c.socket.Conn.Close()
	}
	for s := range p.closing {
		_ = s.Conn.Close()
	}
	p.idle = nil
}

// SetWanted sets the endpoints that requests are likely to need, the most likely first.
func (p *Pool) SetWanted(endpoints []Endpoint) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.initialize()
	if slices.Equal(p.wanted, endpoints) {
		return
	}
	p.wanted = slices.Clone(endpoints)
	for _, w := range endpoints {
		p.discardStale(w)
	}
}

// maintain closes expired connections and returns the tasks to start.
func (p *Pool) maintain(ctx context.Context) []func() taskResult {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.closeIdleIf(func(c *Conn) bool {
		old := now.Sub(c.opened) >= maxAge+time.Duration(c.PID%64)*maxAgeStep
		return old || (now.Sub(c.used) >= maxIdleTime && !slices.Contains(p.wanted, c.Endpoint))
	})
	out := p.warm(ctx)
	for s := range p.closing {
		if s.pid == 0 || s.terminating || now.Sub(s.closingSince) < terminateAfter || now.Sub(s.terminatedAt) < terminateInterval {
			continue
		}
		s.terminating, s.terminatedAt = true, now
		out = append(out, func() taskResult {
			ctx, cancel := context.WithTimeout(ctx, terminateInterval)
			defer cancel()
			return taskResult{socket: s, sessionEnded: p.terminateSession(ctx, s)}
		})
	}
	return out
}

// warm opens a connection to the first wanted endpoint without one, to save requests the dial
// time. It opens one at a time, and none while requests are waiting.
func (p *Pool) warm(ctx context.Context) []func() taskResult {
	if p.waiters > 0 || len(p.dialing) > 0 || p.failoverWaiting() {
		return nil
	}
	for i, w := range p.wanted {
		if i >= p.share.Connections {
			return nil
		}
		if p.hasConnTo(w) || !p.mayOpenAt(w.Address) || p.mayHang(w.Address) {
			continue
		}
		if p.held() >= p.share.Connections {
			p.evictOneIdle(func(c *Conn) bool { return !slices.Contains(p.wanted[:i+1], c.Endpoint) })
			return nil
		}
		p.dialing[w.Address]++
		return []func() taskResult{func() taskResult {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			if c, err := p.dial(ctx, w); err == nil {
				p.Return(c)
			}
			return taskResult{}
		}}
	}
	return nil
}

func (p *Pool) hasConnTo(w Endpoint) bool {
	for _, c := range p.idle {
		if c.Endpoint == w {
			return true
		}
	}
	for c := range p.checkedOut {
		if c.Endpoint == w {
			return true
		}
	}
	return false
}

// evictOneIdle closes the least recently used idle connection that matches, unless one is
// closing already.
func (p *Pool) evictOneIdle(match func(*Conn) bool) {
	if p.countClosingSoon() > 0 {
		return
	}
	for i, c := range p.idle {
		if match(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			p.closeIdle(c)
			return
		}
	}
}
