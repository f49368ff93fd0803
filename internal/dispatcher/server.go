// Package dispatcher serves callers' sessions: it routes each statement to a member of the
// group, retries where that is safe, and reports the outcome to the caller. It is
// independent of the wire protocol.
package dispatcher

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/forecaster"
	"github.com/oriolegw/oriolegw/internal/leaser"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// startTimeout bounds the wait for a caller's first message.
	startTimeout = 5 * time.Second
	// callerWriteTimeout bounds sending a reply to a caller that has stopped reading.
	callerWriteTimeout = 5 * time.Second
	// shutdownPollInterval is how often a session checks for the end of a shutdown phase.
	shutdownPollInterval = 100 * time.Millisecond
	// defaultTransactionIdleTimeout applies until a configuration sets the limit.
	defaultTransactionIdleTimeout = 3 * time.Second
	// minRetryAfter is the smallest retry hint, before the part for queued statements. It is about
	// the time of a few statements.
	minRetryAfter = 50 * time.Millisecond
	// failoverRetryAfter is the retry hint while the group has no primary: about the
	// duration of a promotion.
	failoverRetryAfter = time.Second
	// maxRetryAfter leaves callers time for another attempt within their own timeout. It is half of
	// the shortest timeout of callers with a retry left.
	maxRetryAfter = 3 * time.Second
)

type (
	// Backend is the state of a group that sessions share.
	Backend struct {
		Group *tracker.Group
		Pool  *lender.Pool
		// ReportSuspect reports a member that did not answer or is no longer primary, so that
		// it is checked.
		ReportSuspect func(member string)
		// Leases, when set, holds the lease under which commits are acknowledged, if NeedsLease reports
		// that they need one.
		Leases     *leaser.Leaser
		NeedsLease func() bool

		transactions atomic.Int32
	}

	// Server accepts callers. Set the exported fields, then call Run.
	Server struct {
		Address string
		Network networker.Network
		Codec   messenger.CallerCodec
		Clock   func() tracker.Timestamp
		// Configuration returns the version in force, nil before the first.
		Configuration func() *tracker.Configuration
		// ConfigurationKnown, when set, is closed once Configuration returns the first version and
		// the members are known; a session that starts earlier waits for it.
		ConfigurationKnown <-chan struct{}
		// ConfigurationCurrent, when set, reports whether the version in force is known to be no
		// older than MaxConfigurationDelay.
		ConfigurationCurrent func() bool
		// MaxConfigurationDelay is the time within which a configuration change must take effect.
		MaxConfigurationDelay time.Duration
		// Backend returns the backend of a group, creating it on first use.
		Backend func(group string) *Backend
		// LogDecision logs a decision; LogServed logs a served statement.
		LogDecision func(part string, fields ...any)
		LogServed   func(fields ...any)
		// Count, CountRefused, CountRetried and RecordServed update the metrics.
		Count                      func(name string)
		CountRefused, CountRetried func(reason Reason)
		// CountLimited, when set, is called for each operation refused by a customer's limit.
		CountLimited func(customer string)
		// CountWaitRefused, when set, is called for each request with a latency objective that got no
		// connection, with the cause.
		CountWaitRefused func(cause forecaster.Cause)
		RecordServed     func(r tracker.Route, took time.Duration)
		// RecordAffected, when set, is called for each refused, aborted or late statement and each
		// that waited.
		RecordAffected func(k tabulator.Key)
		// RecordRead, when set, is called for each read that a replica may serve.
		RecordRead func(group string)

		started  time.Time
		sessions sync.WaitGroup
		mutex    sync.Mutex
		active   map[*session]struct{}
		// shutdownPhase is 0 while serving, then phaseCloseIdle, then phaseCloseAll.
		shutdownPhase atomic.Int32
		// awaiting counts the sessions that wait for the first configuration; startLoggedAt is when
		// one was last logged.
		awaiting      atomic.Int32
		startLoggedAt time.Time
	}
)

const (
	phaseCloseIdle = 1
	phaseCloseAll  = 2

	// The names of the counters passed to Server.Count.
	CountAccepted     = "callers-accepted"
	CountDisconnected = "callers-cut"
	CountMalformed    = "callers-malformed"
	CountStatements   = "statements"
	CountAwaited      = "callers-awaited-configuration"
)

// Run accepts callers until the context ends, and returns when all sessions have ended.
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
		s.startSession(ctx, c)
	}
	s.CloseSessions(true)
	s.sessions.Wait()
	return ctx.Err()
}

func (s *Server) startSession(ctx context.Context, c net.Conn) {
	s.count(CountAccepted)
	x := &session{
		server: s, net: c, accepted: time.Now(), statements: s.Codec.Statements(c),
		values: lender.Values{}, prepared: map[string]lender.Prepared{}, lastCommits: map[string]tracker.LastCommit{},
	}
	s.mutex.Lock()
	if s.active == nil {
		s.active = map[*session]struct{}{}
	}
	s.active[x] = struct{}{}
	s.mutex.Unlock()
	s.sessions.Add(1)
	go func() {
		defer s.sessions.Done()
		x.run(ctx)
		s.mutex.Lock()
		delete(s.active, x)
		s.mutex.Unlock()
	}()
}

// SessionCount returns the number of connected callers.
func (s *Server) SessionCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.active)
}

// CloseSessions closes the sessions outside a transaction or, with all, every session. A statement
// in progress is answered first.
func (s *Server) CloseSessions(all bool) {
	if all {
		s.shutdownPhase.Store(phaseCloseAll)
	} else {
		s.shutdownPhase.CompareAndSwap(0, phaseCloseIdle)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for x := range s.active {
		_ = x.net.SetReadDeadline(time.Now())
	}
}

func (s *Server) closesIdle() bool { return s.shutdownPhase.Load() >= phaseCloseIdle }
func (s *Server) closesAll() bool  { return s.shutdownPhase.Load() >= phaseCloseAll }

func (s *Server) transactionIdleTimeout() time.Duration {
	if c := s.Configuration(); c != nil && c.TransactionIdleTimeout > 0 {
		return c.TransactionIdleTimeout
	}
	return defaultTransactionIdleTimeout
}

// rollBack rolls back the connection's transaction in the background and returns it to the pool.
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

// awaitLateReply waits in the background for a reply that is no longer needed, so that the
// member isn't interrupted, and returns the connection to the pool.
func (s *Server) awaitLateReply(b *Backend, c *lender.Conn, until time.Time) {
	go func() {
		if err := c.ReadRemaining(until); err != nil {
			c.Close()
		}
		b.Pool.Return(c)
	}()
}

func (s *Server) logDecision(part string, fields ...any) { s.LogDecision(part, fields...) }
func (s *Server) count(name string)                      { s.Count(name) }
func (s *Server) countRefused(reason Reason)             { s.CountRefused(reason) }
func (s *Server) countRetried(reason Reason)             { s.CountRetried(reason) }

func (s *Server) recordServed(r tracker.Route, took time.Duration) { s.RecordServed(r, took) }

// Transactions returns the number of callers with an open transaction.
func (b *Backend) Transactions() int { return int(b.transactions.Load()) }

func (s *Server) recordRead(group string) {
	if s.RecordRead != nil {
		s.RecordRead(group)
	}
}

// handleNotPrimary records that a member replied that it is not the primary.
func (b *Backend) handleNotPrimary(member string) {
	b.Group.ClearPrimary(member)
	b.ReportSuspect(member)
}

func (b *Backend) suspect(member string) { b.ReportSuspect(member) }

// retryAfter returns the retry hint for a refused caller.
func (b *Backend) retryAfter() time.Duration {
	if b.Group.Primary() == "" {
		return failoverRetryAfter
	}
	_, _, waiting, _ := b.Pool.Stats()
	return minRetryAfter + time.Duration(waiting)*minBusyBackoff
}
