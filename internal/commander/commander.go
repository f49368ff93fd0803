// Package commander is the interface to a target's control statements: status,
// fence, promote, follow (docs/TARGET.md). Postgres speaks them over the
// PostgreSQL protocol.
package commander

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// The roles that a target reports.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
	RoleFenced  = "fenced"
)

type (
	// Status is what a target reports of itself.
	Status struct {
		Role  string
		Term  uint64
		Owner string
		// Received is the end of the target's log; Replayed is how far of it
		// reads see.
		Received, Replayed orderer.Position
		// Followers tells, on a primary, what each follower holds.
		Followers map[string]orderer.Position
		// Following is, on a replica, the address of the primary it follows.
		Following string
		// Heard is, on a replica, how long ago it last received anything from
		// that primary, a heartbeat included; negative without a stream.
		Heard time.Duration
		// Leaving says that the target is about to be shut down.
		Leaving bool
	}

	// Commander gives orders to targets. An error other than ErrRefused means
	// that no answer came: the order may have taken effect.
	Commander interface {
		// Status asks a target for its state.
		Status(ctx context.Context, address string) (Status, error)
		// Fence makes a target obey a term that it has granted to no other
		// owner: from then on it runs no work of older terms and receives no
		// entries of them.
		Fence(ctx context.Context, address string, term uint64, owner string) (Status, error)
		// Drain fences a primary like Fence, once its open transactions have
		// ended or the bound has passed. Until then it begins no other work.
		Drain(ctx context.Context, address string, term uint64, owner string, bound time.Duration) (Status, error)
		// Promote makes a target that was fenced for the term its primary.
		Promote(ctx context.Context, address string, term uint64, owner string) (Status, error)
		// Follow makes a target a replica of the term's primary.
		Follow(ctx context.Context, address string, term uint64, primary string) (Status, error)
	}
)
