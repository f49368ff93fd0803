// Package canceller finds the request that a caller wants to cancel. The balancer
// sends a cancel to any instance, so a key names the instance that made it.
package canceller

import "context"

// Forwarder passes a cancel on to the instance whose keys carry this tag.
type Forwarder interface {
	ForwardCancel(ctx context.Context, instance uint16, pid, secret uint32) error
}
