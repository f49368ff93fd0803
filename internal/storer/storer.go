// Package storer is the interface to the platform's key-value service: reads,
// compare-and-swap, leases and watches. Three things implement it: Gateway, for
// the published HTTP protocol; Memory, the fake, which is also the heart of the
// stand-in; and whatever another platform needs. contract_test.go is what all of
// them have to pass.
package storer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Pair is one key with its value. A key that is absent has Revision 0.
	Pair struct {
		Key   string
		Value []byte
		// Revision is the store's revision at the key's last change.
		Revision int64
	}

	// Lease is the identity of a lease; 0 is none.
	Lease int64

	// Store is the platform's service. Each method is one call against the
	// service's rates; a watch counts as one call while it waits. Any error but
	// ErrLeaseLost means that the service gave no answer: a change may have
	// taken effect all the same, and only a read tells.
	Store interface {
		// Get returns a key; Revision is 0 when it is absent.
		Get(ctx context.Context, key string) (Pair, error)
		// List returns the keys with a prefix, in key order.
		List(ctx context.Context, prefix string) ([]Pair, error)
		// Swap writes p.Value if the key's revision still is p.Revision, and
		// returns the key as it stands after the call: ok tells whether this
		// call wrote it. The key ends with the lease, if one is given.
		Swap(ctx context.Context, p Pair, lease Lease) (now Pair, ok bool, err error)
		// Delete removes the key if its revision still is p.Revision.
		Delete(ctx context.Context, p Pair) (ok bool, err error)
		// Grant makes a lease that ends when it is not kept alive for ttl.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// KeepAlive prolongs a lease; ErrLeaseLost when it has ended.
		KeepAlive(ctx context.Context, lease Lease) error
		// Revoke ends a lease and deletes its keys.
		Revoke(ctx context.Context, lease Lease) error
		// Watch calls changed for each change of a key with the prefix since
		// the revision, in order, until the context ends or the service fails.
		// A deleted key has Revision 0.
		Watch(ctx context.Context, prefix string, since int64, changed func(Pair)) error
	}
)

// Errors of the store.
var (
	// ErrLeaseLost means that a lease has ended: what hung on it is gone.
	ErrLeaseLost = errors.New("lease lost")
	// ErrHistoryLost means that the store no longer has the changes asked for:
	// only a read of everything tells what they were.
	ErrHistoryLost = errors.New("store's history lost")
	// ErrUnavailable means that the store did not answer.
	ErrUnavailable = errors.New("store unavailable")
)
