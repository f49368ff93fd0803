// Package commander is the interface to a target's control statements: status,
// fence, drain, promote, follow (docs/TARGET.md). Postgres sends them over the
// PostgreSQL protocol.
package commander

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// The roles of targets.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
	RoleFenced  = "fenced"
)

type (
	// Status is the state that a target reports.
	Status struct {
		Role  string
		Term  uint64
		Owner string
		// Received is the end of the target's log; Replayed is the position visible to
		// reads.
		Received, Replayed orderer.Position
		// Followers is, on a primary, the received position of each replica.
		Followers map[string]orderer.Position
		// Following is, on a replica, the address of the primary it follows.
		Following string
		// LastMessageAge is, on a replica, the time since the last message or heartbeat from
		// that primary; negative without a replication stream.
		LastMessageAge time.Duration
		// Leaving is set when the target is about to be shut down.
		Leaving bool
	}

	// Commander sends control commands to targets. After an error other than ErrRefused
	// the command may have taken effect.
	Commander interface {
		// Status returns the state of a target.
		Status(ctx context.Context, address string) (Status, error)
		// Fence grants a term to the owner, unless the target has granted it to
		// another. The target then rejects requests and log entries of older terms.
		Fence(ctx context.Context, address string, term uint64, owner string) (Status, error)
		// Drain fences a primary like Fence once its open transactions have ended or
		// the bound has passed. Until then it starts no other work.
		Drain(ctx context.Context, address string, term uint64, owner string, bound time.Duration) (Status, error)
		// Promote makes a target that was fenced for the term the primary of that term.
		Promote(ctx context.Context, address string, term uint64, owner string) (Status, error)
		// Follow makes a target a replica of the term's primary.
		Follow(ctx context.Context, address string, term uint64, primary string) (Status, error)
	}
)
