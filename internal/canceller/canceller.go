// Package canceller routes cancel requests to the session that they refer to. The load balancer
// may deliver a cancel request to any instance, so each key identifies the instance that issued
// it.
package canceller

import "context"

// Forwarder forwards a cancel request to the instance with the given tag.
type Forwarder interface {
	ForwardCancel(ctx context.Context, instance uint16, pid, secret uint32) error
}
