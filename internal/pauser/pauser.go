// Package pauser waits.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d, or until the context ends, whose error it then returns.
func Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
