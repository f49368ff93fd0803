// Package storer defines the interface of the platform's key-value store: reads,
// compare-and-swap, leases and watches. Client implements it over HTTP, Memory in memory
// for tests. contract_test.go holds the tests that all implementations must pass.
package storer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Pair is a key with its value. An absent key has Revision 0.
	Pair struct {
		Key   string
		Value []byte
		// Revision is the store's revision at the key's last change.
		Revision int64
	}

	// Lease is the ID of a lease, 0 for none.
	Lease int64

	// Store is the platform's key-value store. Each method is one call against the rate
	// limit of the service; a waiting watch counts as one call. After any error other than
	// ErrLeaseExpired, a write may or may not have taken effect.
	Store interface {
		// Get returns a key. Revision is 0 if it is absent.
		Get(ctx context.Context, key string) (Pair, error)
		// List returns the keys with a prefix, in key order.
		List(ctx context.Context, prefix string) ([]Pair, error)
		// Swap writes p.Value if the key's revision is p.Revision, and returns the key
		// after the call; ok reports whether this call wrote it. If a lease is given, the
		// key is deleted when the lease expires.
		Swap(ctx context.Context, p Pair, lease Lease) (now Pair, ok bool, err error)
		// Delete removes the key if its revision is p.Revision.
		Delete(ctx context.Context, p Pair) (ok bool, err error)
		// Grant creates a lease that expires ttl after its last KeepAlive.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// KeepAlive renews a lease, or returns ErrLeaseExpired if it has expired.
		KeepAlive(ctx context.Context, lease Lease) error
		// Revoke ends a lease and deletes its keys.
		Revoke(ctx context.Context, lease Lease) error
		// Watch calls changed for each change after the revision of a key with the prefix,
		// in order, until the context ends or the service fails. A deleted key has
		// Revision 0.
		Watch(ctx context.Context, prefix string, since int64, changed func(Pair)) error
	}
)

// MaxSwaps is the maximum number of swaps in a call of BatchStore.Commit.
const MaxSwaps = 32

type (
	// Swap writes the value of a pair if the key's revision is that of the pair. If a lease is
	// given, the key is deleted when the lease expires.
	Swap struct {
		Pair
		Lease Lease
	}

	// BatchStore is a Store with atomic writes of several keys.
	BatchStore interface {
		Store
		// Commit writes all swaps if each key's revision is that of its pair, otherwise none. It
		// returns the keys after the call, in the order of the swaps. All written keys get the same
		// revision.
		Commit(ctx context.Context, swaps []Swap) (now []Pair, ok bool, err error)
	}
)

// Errors of the store.
var (
	// ErrLeaseExpired means that a lease has ended and its keys are deleted.
	ErrLeaseExpired = errors.New("lease lost")
	// ErrCompacted means that the requested changes are no longer retained, so that a new
	// snapshot is required.
	ErrCompacted = errors.New("history of the store is no longer available")
	// ErrUnavailable means that the store did not answer.
	ErrUnavailable = errors.New("store unavailable")
)
