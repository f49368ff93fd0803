package greeter

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	workTime = time.Millisecond
	wave     = 1000
)

// A wave of start-ups arrives at once. No more than the gate lets in are at work
// at any moment, in the order of arrival, and all are done as soon as they can be.
func TestGateBoundsAWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(workLimiter, 2)
		began := time.Now()
		var atWork, most atomic.Int64
		done := make(chan int, wave)
		for n := range wave {
			go func() {
				g.run(t.Context(), func() {
					most.Store(max(most.Load(), atWork.Add(1)))
					time.Sleep(workTime)
					atWork.Add(-1)
				})
				done <- n
			}()
			synctest.Wait() // so that they arrive in order
		}
		for n := range wave {
			must.Between(t, n-1, <-done, n+1)
		}
		must.Eq(t, 2, most.Load())
		must.Eq(t, wave/2*workTime, time.Since(began))
	})
}

// A start-up whose time is up while it waits is told at once, and no work is done
// for it.
func TestGateGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(workLimiter, 1)
		go g.run(t.Context(), func() { time.Sleep(time.Hour) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		must.False(t, g.run(ctx, func() { t.Error("work was done") }))
		must.Eq(t, 10*time.Second, time.Since(began))
		time.Sleep(time.Hour)
		must.True(t, g.run(t.Context(), func() {}))
	})
}
