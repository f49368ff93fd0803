// Package leaser holds the lease under which an instance acknowledges the commits of a group to its
// callers. The owner of the group replaces a primary that it can't demote only once every lease for
// the primary's term has expired. Otherwise an instance that reaches the primary, but neither the
// owner nor the store, would acknowledge commits that the next primary lacks.
package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// renewAhead is the remaining time of a lease below which a write renews it, so that it lasts until
	// the write is acknowledged.
	renewAhead = 300 * time.Millisecond
	// retryInterval is the minimum time between a failed renewal and the next one.
	retryInterval = 100 * time.Millisecond
	// failureMaxAge is how long a failed renewal keeps writes from being sent.
	failureMaxAge = time.Second
)

var (
	// ErrSuperseded means that the commit is of an earlier term than the group's present one. It may
	// have been rolled back.
	ErrSuperseded = errors.New("the commit is of an earlier term")
	// ErrUnknownTerm means that the member hasn't reported the commit's term.
	ErrUnknownTerm = errors.New("the term of the commit is unknown")
	// errEarlierTerm rejects a lease that was granted by an instance which missed a change of the primary.
	errEarlierTerm = errors.New("lease for an earlier term")
	// ErrNoLease means that no lease was obtained in time.
	ErrNoLease = errors.New("no lease to acknowledge commits")
)

type (
	// Lease allows an instance to acknowledge the commits of a term.
	Lease struct {
		Term uint64
		// ExpiresAt is when the lease ends. It counts from the sending of the request.
		ExpiresAt tracker.Timestamp
	}

	// Leaser holds the lease of one group and renews it on demand. Set the exported fields, then call
	// Run. The other methods are safe for concurrent use.
	Leaser struct {
		Clock func() tracker.Timestamp
		// Renew obtains a lease.
		Renew func(ctx context.Context) (Lease, error)
		// Log, when set, is called when renewals begin to fail, and when one succeeds again.
		Log func(fields ...any)

		once sync.Once
		// wanted wakes Run.
		wanted chan struct{}

		mutex sync.Mutex
		lease Lease
		// wantedTerm is the newest term of a commit that waits to be acknowledged.
		wantedTerm uint64
		// failure is the error of the last renewal, at failedAt; nil if it succeeded.
		failure  error
		failedAt tracker.Timestamp
		// changed is closed when a renewal ends.
		changed chan struct{}
	}
)

// Run renews the lease when it is wanted, until the context ends.
func (l *Leaser) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wantedChannel():
		}
		if !l.needsRenewal() {
			continue
		}
		lease, err := l.Renew(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		l.record(lease, err)
		// The owner may not know a new term yet.
		if err != nil || l.needsRenewal() {
			if err := sleeper.Sleep(ctx, retryInterval); err != nil {
				return err
			}
		}
	}
}

// Extend renews the lease in the background if it ends soon. It is called when a write is sent.
func (l *Leaser) Extend() {
	if l.needsRenewal() {
		l.want()
	}
}

// Unavailable returns why commits can't be acknowledged now, nil if they can or if that isn't known.
// A write must not be sent then.
func (l *Leaser) Unavailable() error {
	l.mutex.Lock()
	now := l.Clock()
	err := l.failure
	if now < l.lease.ExpiresAt || now-l.failedAt > failureMaxAge {
		err = nil
	}
	l.mutex.Unlock()
	if err != nil {
		l.want()
	}
	return err
}

// Confirm waits until a commit of a term may be acknowledged. It returns ErrSuperseded if another term has
// begun, ErrNoLease at the deadline, and ErrUnknownTerm if the term is 0.
func (l *Leaser) Confirm(ctx context.Context, term uint64, deadline time.Time) error {
	var timeout <-chan time.Time
	for {
		ok, changed, err := l.check(term)
		if ok || err != nil {
			return err
		}
		l.want()
		if timeout == nil {
			t := time.NewTimer(time.Until(deadline))
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-changed:
		case <-timeout:
			return errors.Wrapf(ErrNoLease, "%v", l.lastFailure())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// check reports whether a commit of a term may be acknowledged now. If it may not yet, the channel is
// closed when the next renewal ends.
func (l *Leaser) check(term uint64) (ok bool, changed <-chan struct{}, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if term == 0 {
		return false, nil, ErrUnknownTerm
	}
	if term < l.lease.Term {
		return false, nil, ErrSuperseded
	}
	if l.Clock() < l.lease.ExpiresAt && term == l.lease.Term {
		return true, nil, nil
	}
	l.wantedTerm = max(l.wantedTerm, term)
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return false, l.changed, nil
}

// record stores the result of a renewal.
func (l *Leaser) record(lease Lease, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err == nil && lease.Term < l.lease.Term {
		err = errors.Wrapf(errEarlierTerm, "%d instead of %d", lease.Term, l.lease.Term)
	}
	before := l.failure
	l.failure = err
	if err != nil {
		l.failedAt = l.Clock()
	} else {
		l.lease = lease
	}
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	if l.Log == nil {
		return
	}
	if err != nil && before == nil {
		l.Log("event", "commit-lease-lost", "term", l.lease.Term, "remaining-ms", (l.lease.ExpiresAt - l.Clock()).Milliseconds(), "cause", err)
	} else if err == nil && before != nil {
		l.Log("event", "commit-lease-regained", "term", l.lease.Term)
	}
}

func (l *Leaser) lastFailure() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure
}

// needsRenewal reports whether the lease ends soon or is for an earlier term than wanted.
func (l *Leaser) needsRenewal() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lease.ExpiresAt-l.Clock() < renewAhead || l.wantedTerm > l.lease.Term
}

// want wakes Run.
func (l *Leaser) want() {
	select {
	case l.wantedChannel() <- struct{}{}:
	default:
	}
}

func (l *Leaser) wantedChannel() chan struct{} {
	l.once.Do(func() { l.wanted = make(chan struct{}, 1) })
	return l.wanted
}
