// Package sleeper provides a context-aware sleep.
package sleeper

import (
	"context"
	"time"
)

// Sleep sleeps for d. If the context ends before, it returns the context's error.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
