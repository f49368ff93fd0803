package acceptor

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	workDuration = time.Millisecond
	startUps     = 1000
)

// Many start-ups arrive at once: no more than the limit run at a time, in the order of arrival,
// and none waits while there is capacity.
func TestWorkLimiterConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := make(workLimiter, 2)
		start := time.Now()
		var running, peak atomic.Int64
		done := make(chan int, startUps)
		for n := range startUps {
			go func() {
				limiter.run(t.Context(), func() {
					peak.Store(max(peak.Load(), running.Add(1)))
					time.Sleep(workDuration)
					running.Add(-1)
				})
				done <- n
			}()
			synctest.Wait() // preserves the order of arrival
		}
		for n := range startUps {
			must.Between(t, n-1, <-done, n+1)
		}
		must.Eq(t, 2, peak.Load())
		must.Eq(t, startUps/2*workDuration, time.Since(start))
	})
}

// The work of a start-up that times out while waiting is not done.
func TestWorkLimiterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := make(workLimiter, 1)
		go limiter.run(t.Context(), func() { time.Sleep(time.Hour) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		must.False(t, limiter.run(ctx, func() { t.Error("work was done after the timeout") }))
		must.Eq(t, 10*time.Second, time.Since(start))
		time.Sleep(time.Hour)
		must.True(t, limiter.run(t.Context(), func() {}))
	})
}
