package forwarder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/forwarder"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// Guards against requests that are sent to a holder again and again although its queue is longer than
// they may wait, against a wait that counts for another member, and against a report that still counts
// when the holder has died.
func TestLongQueueIsNotAsked(t *testing.T) {
	withLender(t, func(t *testing.T, f *fixture) {
		refused := 0
		d := &discoverer.Discoverer{Self: discoverer.Peer{Name: "borrower", Address: "10.8.0.2:7100", Zone: "a", Millicores: 1}, SameRegion: func(string) bool { return false }}
		d.RecordListed(f.pool.Clock(), discoverer.Peer{Name: "lender", Address: lenderAddress, Zone: "a", Millicores: 8000})
		b := &forwarder.Forwarder{
			Discoverer: d, Links: f.links, Codec: platform.LineCodec{}, Clock: f.pool.Clock, Connections: func(string) int { return 1 }, Zones: 1,
			Pool: func(string) *lender.Pool { return nil }, Log: func(...any) {}, Count: func(string) { refused++ },
		}
		defer b.Close()
		request := func(member string, wait time.Duration) lender.Request {
			return lender.Request{EligibleMembers: func() []string { return []string{member} }, Deadline: time.Now().Add(wait)}
		}
		borrow := func(member string) error {
			c, err := b.BorrowFromHolder(t.Context(), "g", request(member, 60*time.Millisecond))
			if err == nil {
				f.pool.Return(c)
			}
			return err
		}
		for range 20 {
			f.mustExchange(t) // gives the average time of a loan
		}
		ctx, cancel := context.WithCancel(t.Context())
		var waiting sync.WaitGroup
		for range 204 { // of which four take all of the instance's connections
			waiting.Go(func() {
				if c, err := f.pool.Borrow(ctx, request("g-1", time.Minute)); err == nil {
					<-ctx.Done()
					f.pool.Return(c)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		waits, queued := f.pool.Drain("g-1")
		must.Eq(t, 200, queued)
		must.Between(t, 200*time.Millisecond, waits[0], 500*time.Millisecond)
		must.ErrorIs(t, borrow("g-1"), lender.ErrNoConnection) // learns of the queue
		probe := make(chan error)
		go func() { probe <- borrow("g-1") }()
		time.Sleep(time.Millisecond)
		began := time.Now()
		var overload *lender.OverloadError
		must.True(t, errors.As(borrow("g-1"), &overload))
		must.Eq(t, 0, time.Since(began))
		must.Between(t, 200*time.Millisecond, overload.RetryAfter, 500*time.Millisecond)
		must.Eq(t, 1, refused)
		must.NoError(t, borrow("g-2"))
		must.ErrorIs(t, <-probe, lender.ErrNoConnection)
		f.net.Kill("10.8.0.1")
		time.Sleep(501 * time.Millisecond)
		must.False(t, errors.As(borrow("g-1"), &overload))
		cancel()
		waiting.Wait()
		f.net.Revive("10.8.0.1")
	})
}
