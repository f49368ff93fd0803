// Package experimenter sends load to any addresses and counts what comes back:
// times, outcomes by refusal code, and reads that missed the session's own work.
// It is a caller like any other: it knows addresses, a service and a driver.
package experimenter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
)

type (
	// Experiment is a load. Set the exported fields, then call Run.
	Experiment struct {
		// Addresses are where callers connect, in turn.
		Addresses []string
		// Connect opens a connection; an empty token begins a new session.
		Connect func(ctx context.Context, address, token string) (*pgx.Conn, error)
		// Workers is how many callers there are.
		Workers int
		// Rate is how many requests begin in a second, at random moments, on
		// whichever caller is free; 0 lets each caller send as fast as it is
		// answered. With a rate, times are measured from the moment at which a
		// request should have begun, so that a stall shows in all it delays.
		Rate float64
		// Count and Duration end the experiment; at least one is set.
		Count    int
		Duration time.Duration
		// Writes is the share of requests that write, from 0 to 1.
		Writes float64
		// Kinds are the kinds of reads with their weights; none sends reads
		// that name no kind.
		Kinds []Kind
		// Own is the share of reads that look at the session's own work; the
		// others look at one of Keys shared keys.
		Own float64
		// Keys is how many shared keys there are; Skew above 1 makes some of
		// them far more frequent than others, 0 makes all alike.
		Keys int
		Skew float64
		// Roam is the chance that a session moves to another address after a
		// request, with its token if Token is set.
		Roam  float64
		Token bool
		Seed  uint64
	}

	// Kind is a kind of read.
	Kind struct {
		Name   string
		Weight int
	}

	// order is one request that a caller is to send.
	order struct {
		due time.Time
	}
)

// queue is how many requests may wait for a free caller; more are counted as
// not begun.
const queue = 10000

// Check reports the first field that makes no sense.
func (e *Experiment) Check() error {
	switch {
	case len(e.Addresses) == 0:
		return errors.New("no addresses")
	case e.Workers < 1:
		return errors.New("workers: want at least 1")
	case e.Count <= 0 && e.Duration <= 0:
		return errors.New("count or duration must be set")
	case e.Writes < 0 || e.Writes > 1 || e.Own < 0 || e.Own > 1 || e.Roam < 0 || e.Roam > 1:
		return errors.New("shares and chances are from 0 to 1")
	case e.Skew != 0 && e.Skew <= 1:
		return errors.New("skew: want 0, or more than 1")
	case e.Keys < 1:
		return errors.New("keys: want at least 1")
	}
	for _, k := range e.Kinds {
		if k.Weight < 1 {
			return errors.Errorf("kind %q: want a weight of at least 1", k.Name)
		}
	}
	return nil
}

// Run carries the experiment out.
func (e *Experiment) Run(ctx context.Context) (*Report, error) {
	if err := e.Check(); err != nil {
		return nil, err
	}
	if e.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, e.Duration)
		defer cancel()
	}
	orders := make(chan order, queue)
	began := time.Now()
	ended := make(chan *Report, e.Workers)
	for n := range e.Workers {
		c := newCaller(e, n)
		go func() { ended <- c.run(ctx, orders) }()
	}
	missed := e.feed(ctx, orders)
	close(orders)
	total := newReport()
	for range e.Workers {
		total.merge(<-ended)
	}
	total.Missed, total.Elapsed = missed, time.Since(began)
	return total, nil
}

// feed hands out the requests and returns how many no caller was free for.
func (e *Experiment) feed(ctx context.Context, orders chan<- order) (missed int) {
	random := rand.New(rand.NewPCG(e.Seed, 0))
	due := time.Now()
	for n := 0; (e.Count <= 0 || n < e.Count) && ctx.Err() == nil; n++ {
		if e.Rate <= 0 {
			select {
			case orders <- order{}:
			case <-ctx.Done():
			}
			continue
		}
		due = due.Add(time.Duration(random.ExpFloat64() / e.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			break
		}
		select {
		case orders <- order{due: due}:
		default:
			missed++
		}
	}
	return missed
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return sleep(ctx, time.Until(at))
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
