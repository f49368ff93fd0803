package leaser_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/leaser"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

const ttl = 500 * time.Millisecond

var errCutOff = errors.New("cut off")

// source grants leases for a term unless it fails.
type source struct {
	clock func() tracker.Timestamp

	mutex    sync.Mutex
	term     uint64
	err      error
	latency  time.Duration
	renewals int
}

func (s *source) renew(ctx context.Context) (leaser.Lease, error) {
	requestedAt := s.clock()
	s.mutex.Lock()
	latency := s.latency
	s.renewals++
	s.mutex.Unlock()
	time.Sleep(latency)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return leaser.Lease{Term: s.term, ExpiresAt: requestedAt + ttl}, s.err
}

func (s *source) set(term uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.term, s.err = term, err
}

func (s *source) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.renewals
}

// run runs a scenario with a leaser whose source grants leases for term 1.
func run(t *testing.T, scenario func(t *testing.T, l *leaser.Leaser, s *source)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) + time.Hour }
		s := &source{clock: clock, term: 1, latency: 5 * time.Millisecond}
		l := &leaser.Leaser{Clock: clock, Renew: s.renew}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx) }()
		scenario(t, l, s)
		cancel()
		must.ErrorIs(t, <-ended, context.Canceled)
	})
}

// confirm returns how long a confirmation within a time took, and its result.
func confirm(t *testing.T, l *leaser.Leaser, term uint64, within time.Duration) (took time.Duration, err error) {
	t.Helper()
	start := time.Now()
	err = l.Confirm(t.Context(), term, start.Add(within))
	return time.Since(start), err
}

// Guards against acknowledging a commit after the lease under which it was written has ended, when
// no other is granted.
func TestNoAcknowledgementAfterExpiry(t *testing.T) {
	run(t, func(t *testing.T, l *leaser.Leaser, s *source) {
		_, err := confirm(t, l, 1, time.Second)
		must.NoError(t, err)
		s.set(1, errCutOff)
		time.Sleep(ttl - 10*time.Millisecond)
		took, err := confirm(t, l, 1, time.Second)
		must.NoError(t, err)
		must.Eq(t, 0, took)
		time.Sleep(10 * time.Millisecond)
		took, err = confirm(t, l, 1, time.Second)
		must.ErrorIs(t, err, leaser.ErrNoLease)
		must.Eq(t, time.Second, took)
	})
}

// Guards against failing a commit whose lease is granted before the deadline.
func TestCommitWaitsForLease(t *testing.T) {
	run(t, func(t *testing.T, l *leaser.Leaser, s *source) {
		s.set(1, errCutOff)
		time.AfterFunc(700*time.Millisecond, func() { s.set(1, nil) })
		took, err := confirm(t, l, 1, 2*time.Second)
		must.NoError(t, err)
		must.Between(t, 700*time.Millisecond, took, 850*time.Millisecond)
	})
}

// Guards against acknowledging a commit of a primary that has been replaced, and against refusing one
// of a primary that the owner doesn't know yet.
func TestLeaseIsForOneTerm(t *testing.T) {
	t.Run("earlier term", func(t *testing.T) {
		run(t, func(t *testing.T, l *leaser.Leaser, s *source) {
			s.set(2, nil)
			took, err := confirm(t, l, 1, time.Second)
			must.ErrorIs(t, err, leaser.ErrSuperseded)
			must.Less(t, 50*time.Millisecond, took)
		})
	})
	t.Run("later term", func(t *testing.T) {
		run(t, func(t *testing.T, l *leaser.Leaser, s *source) {
			_, err := confirm(t, l, 1, time.Second)
			must.NoError(t, err)
			time.AfterFunc(300*time.Millisecond, func() { s.set(2, nil) })
			took, err := confirm(t, l, 2, time.Second)
			must.NoError(t, err)
			must.Between(t, 300*time.Millisecond, took, 450*time.Millisecond)
		})
	})
	t.Run("term unknown", func(t *testing.T) {
		run(t, func(t *testing.T, l *leaser.Leaser, _ *source) {
			_, err := confirm(t, l, 0, time.Second)
			must.ErrorIs(t, err, leaser.ErrUnknownTerm)
		})
	})
	t.Run("stale grant", func(t *testing.T) {
		run(t, func(t *testing.T, l *leaser.Leaser, s *source) {
			s.set(3, nil)
			_, err := confirm(t, l, 3, time.Second)
			must.NoError(t, err)
			s.set(2, nil)
			time.Sleep(ttl)
			_, err = confirm(t, l, 3, time.Second)
			must.ErrorIs(t, err, leaser.ErrNoLease)
		})
	})
}

// Guards against sending writes whose commits can't be acknowledged, and against refusing them once
// leases are granted again.
func TestWritesAreRefusedWithoutLease(t *testing.T) {
	run(t, func(t *testing.T, l *leaser.Leaser, s *source) {
		must.NoError(t, l.Unavailable())
		s.set(1, errCutOff)
		l.Extend()
		time.Sleep(10 * time.Millisecond)
		must.ErrorIs(t, l.Unavailable(), errCutOff)
		s.set(1, nil)
		time.Sleep(200 * time.Millisecond)
		must.NoError(t, l.Unavailable())
	})
}

// Guards against renewals by instances that write nothing, and against one for each write.
func TestRenewalsFollowWrites(t *testing.T) {
	run(t, func(t *testing.T, l *leaser.Leaser, s *source) {
		time.Sleep(10 * time.Second)
		must.Eq(t, 0, s.count())
		for range 1000 {
			l.Extend()
			time.Sleep(time.Millisecond)
		}
		must.Between(t, 3, s.count(), 6)
	})
}

// Guards against renewing without a pause while the owner doesn't know the term of a commit.
func TestRenewalsPauseForUnknownTerm(t *testing.T) {
	run(t, func(t *testing.T, l *leaser.Leaser, s *source) {
		_, err := confirm(t, l, 7, time.Second)
		must.ErrorIs(t, err, leaser.ErrNoLease)
		must.LessEq(t, 12, s.count())
	})
}
