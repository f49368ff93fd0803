package forwarder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/forwarder"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// newBorrower returns an instance whose zone's connections the lender holds.
func (f *fixture) newBorrower(count func(string)) *forwarder.Forwarder {
	d := &discoverer.Discoverer{Self: discoverer.Peer{Name: "borrower", Address: "10.8.0.2:7100", Zone: "a", Millicores: 1}, SameRegion: func(string) bool { return false }}
	d.RecordListed(f.pool.Clock(), discoverer.Peer{Name: "lender", Address: lenderAddress, Zone: "a", Millicores: 8000})
	return &forwarder.Forwarder{
		Discoverer: d, Links: f.links, Codec: platform.LineCodec{}, Clock: f.pool.Clock, Connections: func(string) int { return 1 }, Zones: 1,
		Pool: func(string) *lender.Pool { return nil }, Log: func(...any) {}, Count: count,
	}
}

// occupy lends all connections of the lender's pool to the primary and queues requests for them. The
// returned function ends both.
func (f *fixture) occupy(t *testing.T, queued int) func() {
	t.Helper()
	for range 20 {
		f.mustExchange(t) // gives the average time of a loan
	}
	ctx, cancel := context.WithCancel(t.Context())
	request := lender.Request{EligibleMembers: func() []string { return []string{"g-1"} }, Deadline: time.Now().Add(time.Minute)}
	var lent []*lender.Conn
	for range 4 {
		c, err := f.pool.Borrow(ctx, request)
		must.NoError(t, err)
		lent = append(lent, c)
	}
	ended := make(chan struct{}, queued)
	for range queued {
		go func() {
			if c, err := f.pool.Borrow(ctx, request); err == nil {
				f.pool.Return(c)
			}
			ended <- struct{}{}
		}()
	}
	time.Sleep(10 * time.Millisecond)
	return func() {
		cancel()
		for range queued {
			<-ended
		}
		for _, c := range lent {
			f.pool.Return(c)
		}
	}
}

// Guards against requests that are sent to a holder again and again although its queue is longer than
// they may wait, against a borrower that never learns of the end of the queue, and against a report
// that still counts when the holder has died.
func TestLongQueueIsNotAsked(t *testing.T) {
	withLender(t, func(t *testing.T, f *fixture) {
		counts := map[string]int{}
		b := f.newBorrower(func(name string) { counts[name]++ })
		defer b.Close()
		borrow := func(members ...string) (time.Duration, error) {
			began := time.Now()
			c, err := b.BorrowFromHolder(t.Context(), "g", lender.Request{EligibleMembers: func() []string { return members }, Deadline: began.Add(60 * time.Millisecond)})
			if err == nil {
				f.pool.Return(c)
			}
			return time.Since(began), err
		}
		release := f.occupy(t, 200)
		_, err := borrow("g-1") // learns of the queue
		must.ErrorIs(t, err, lender.ErrNoConnection)
		probe := make(chan error)
		go func() {
			_, err := borrow("g-1")
			probe <- err
		}()
		time.Sleep(time.Millisecond)
		waited, err := borrow("g-1")
		var overload *lender.OverloadError
		must.True(t, errors.As(err, &overload), must.Sprint(err))
		must.Eq(t, 0, waited)
		must.Between(t, 100*time.Millisecond, overload.RetryAfter, 10*time.Second)
		must.Eq(t, 1, counts[forwarder.CountLoanRefused])
		_, err = borrow("g-2") // another member's queue
		must.NoError(t, err)
		must.ErrorIs(t, <-probe, lender.ErrNoConnection)
		f.net.Kill("10.8.0.1") // the holder dies
		time.Sleep(501 * time.Millisecond)
		_, err = borrow("g-1")
		must.False(t, errors.As(err, &overload), must.Sprint(err))
		f.net.Revive("10.8.0.1")
		release()
	})
}

// A holder reports the wait of a member's queue by priority, and none for other members.
func TestDrain(t *testing.T) {
	withLender(t, func(t *testing.T, f *fixture) {
		waits, queued := f.pool.Drain("g-1")
		must.Eq(t, "[0s] 0", fmt.Sprint(waits, queued))
		release := f.occupy(t, 40)
		defer release()
		waits, queued = f.pool.Drain("g-1")
		must.Eq(t, 40, queued)
		must.Len(t, 1, waits)
		must.Between(t, 40*time.Millisecond, waits[0], 100*time.Millisecond)
		waits, queued = f.pool.Drain("g-2")
		must.Eq(t, "[0s] 0", fmt.Sprint(waits, queued))
	})
}
