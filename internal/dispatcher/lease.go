package dispatcher

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
)

// noLeaseRetryAfter is the retry hint while commits can't be acknowledged: about the time until the
// owner of the group is reached again or another one takes over.
const noLeaseRetryAfter = 500 * time.Millisecond

// checkLease returns why a write must not be sent, since its commit couldn't be acknowledged, nil if it
// may. It renews the lease in the background.
func (b *Backend) checkLease() error {
	if b.Leases == nil || !b.NeedsLease() {
		return nil
	}
	if err := b.Leases.Unavailable(); err != nil {
		return err
	}
	b.Leases.Extend()
	return nil
}

// confirmCommit waits until a commit may be acknowledged to the caller. It returns an error if the
// commit might be missing from the log of the next primary.
func (x *execution) confirmCommit(ctx context.Context, r messenger.Reply) error {
	b := x.backend
	if b.Leases == nil || !b.NeedsLease() {
		return nil
	}
	return b.Leases.Confirm(ctx, r.Position.Term, x.deadline())
}
