// Package dispatcher serves callers' sessions: it takes each statement, decides
// which member may run it, and turns what members answer into promises to the
// caller. It knows no protocol.
package dispatcher

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// startTimeout bounds the wait for a caller's first message.
	startTimeout = 5 * time.Second
	// callerWriteTimeout bounds the sending of an answer to a caller that has stopped
	// reading.
	callerWriteTimeout = 5 * time.Second
	// endInterval is how often a session looks whether the leaving server waits for it.
	endInterval = 100 * time.Millisecond
	// defaultTransactionIdle is used until a configuration says how long a
	// transaction may rest.
	defaultTransactionIdle = 3 * time.Second
	// shortestComeBack is the least that a refused caller is told to wait: the time of
	// a few statements.
	shortestComeBack = 50 * time.Millisecond
	// changeComeBack is what a caller is told while the group has no primary: about
	// what a promotion takes.
	changeComeBack = time.Second
	// longestComeBack is the most that a caller is told to wait: half of the shortest
	// deadline of the users' requests with a try to spare, 6 s.
	longestComeBack = 3 * time.Second
)

type (
	// Backend is a group as sessions use it.
	Backend struct {
		Group *tracker.Group
		Pool  *lender.Pool
		// Suspect is told of a member that did not answer or lost the lead, so that
		// it is looked at.
		Suspect func(member string)
	}

	// Server accepts callers. Set the exported fields, then call Run.
	Server struct {
		Address string
		Network networker.Network
		Codec   messenger.CallerCodec
		Clock   func() tracker.Timestamp
		// Configuration returns the version in force, nil before the first.
		Configuration func() *tracker.Configuration
		// Current, when set, reports that the version in force is not older than InForce
		// allows, as far as this instance can know.
		Current func() bool
		// InForce is how soon a change of the configuration must be in force.
		InForce time.Duration
		// Backend returns a group's; it makes one for a group not seen before.
		Backend func(group string) *Backend
		// Decide logs a decision; Trace logs a served statement.
		Decide func(part string, fields ...any)
		Trace  func(fields ...any)
		// Count, Refused, Retried and Served feed the metrics.
		Count            func(name string)
		Refused, Retried func(reason Reason)
		// Limited, when set, is told of each operation refused for a customer's limit.
		Limited func(customer string)
		Served  func(r tracker.Route, took time.Duration)

		// started is when Run was called.
		started  time.Time
		sessions sync.WaitGroup
		mutex    sync.Mutex
		open     map[*session]struct{}
		// leaving is 0, then mayEndNow once idle sessions end, then mustEndNow once
		// open transactions do too.
		leaving atomic.Int32
	}
)

const (
	mayEndNow  = 1
	mustEndNow = 2

	// CountAccepted and those that follow are what Count is told.
	CountAccepted   = "callers-accepted"
	CountCut        = "callers-cut"
	CountMalformed  = "callers-malformed"
	CountStatements = "statements"
)

// Run accepts callers until the context ends, and returns when all sessions have.
func (s *Server) Run(ctx context.Context) error {
	s.started = time.Now()
	l, err := s.Network.Listen(s.Address)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		s.start(ctx, c)
	}
	s.End(true)
	s.sessions.Wait()
	return ctx.Err()
}

func (s *Server) start(ctx context.Context, c net.Conn) {
	s.count(CountAccepted)
	x := &session{
		server: s, net: c, statements: s.Codec.Statements(c),
		values: lender.Values{}, prepared: map[string]lender.Prepared{},
	}
	s.mutex.Lock()
	if s.open == nil {
		s.open = map[*session]struct{}{}
	}
	s.open[x] = struct{}{}
	s.mutex.Unlock()
	s.sessions.Add(1)
	go func() {
		defer s.sessions.Done()
		x.run(ctx)
		s.mutex.Lock()
		delete(s.open, x)
		s.mutex.Unlock()
	}()
}

// Sessions returns how many callers are connected.
func (s *Server) Sessions() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// End has sessions end: those outside a transaction at once, or, with all, those
// inside one as well. A statement that is being answered is answered first.
func (s *Server) End(all bool) {
	if all {
		s.leaving.Store(mustEndNow)
	} else {
		s.leaving.CompareAndSwap(0, mayEndNow)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for x := range s.open {
		_ = x.net.SetReadDeadline(time.Now())
	}
}

func (s *Server) mayEnd() bool  { return s.leaving.Load() >= mayEndNow }
func (s *Server) mustEnd() bool { return s.leaving.Load() >= mustEndNow }

func (s *Server) transactionIdle() time.Duration {
	if c := s.Configuration(); c != nil && c.TransactionIdle > 0 {
		return c.TransactionIdle
	}
	return defaultTransactionIdle
}

// rollBack ends what is open on a connection and gives it back.
func (s *Server) rollBack(b *Backend, c *lender.Conn) {
	s.sessions.Add(1)
	go func() {
		defer s.sessions.Done()
		replies, _, err := c.Exchange([]messenger.Command{{Kind: messenger.KindRollback}}, time.Now().Add(beginTimeout))
		if err != nil || replies[0].State != messenger.StateIdle {
			c.Close()
		}
		b.Pool.Return(c)
	}()
}

// finish waits for a late answer that nobody needs, so that the member isn't cut
// off at work, and gives the connection back.
func (s *Server) finish(b *Backend, c *lender.Conn, until time.Time) {
	go func() {
		if err := c.ReadRemaining(until); err != nil {
			c.Close()
		}
		b.Pool.Return(c)
	}()
}

func (s *Server) decide(part string, fields ...any) { s.Decide(part, fields...) }
func (s *Server) count(name string)                 { s.Count(name) }
func (s *Server) refused(reason Reason)             { s.Refused(reason) }
func (s *Server) retried(reason Reason)             { s.Retried(reason) }

func (s *Server) served(r tracker.Route, took time.Duration) { s.Served(r, took) }

// lost takes in that a member says it is not the primary.
func (b *Backend) lost(member string) {
	b.Group.ClearPrimary(member)
	b.Suspect(member)
}

func (b *Backend) suspect(member string) { b.Suspect(member) }

// comeBack is when a refused caller should try again.
func (b *Backend) comeBack() time.Duration {
	if b.Group.Primary() == "" {
		return changeComeBack
	}
	_, _, waiting, _ := b.Pool.Stats()
	return shortestComeBack + time.Duration(waiting)*busyPause
}
