// Package pauser provides a context-aware sleep.
package pauser

import (
	"context"
	"time"
)

// Pause sleeps for d. If the context ends before, it returns the context's error.
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
