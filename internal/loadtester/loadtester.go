// Package loadtester is a load generator. It measures latencies, counts outcomes
// by refusal code, and checks that sessions read their own writes.
package loadtester

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
)

type (
	// LoadTest describes a load. Set the exported fields, then call Run.
	LoadTest struct {
		// Addresses are the addresses that clients connect to, in turn.
		Addresses []string
		// Connect opens a connection. An empty token starts a new session.
		Connect func(ctx context.Context, address, token string) (*pgx.Conn, error)
		// Workers is the number of concurrent clients.
		Workers int
		// Rate is the number of requests per second, with Poisson arrivals (open
		// loop); with 0 each client sends its next request after a response
		// (closed loop). With a rate, latency is measured from the scheduled
		// start, to avoid coordinated omission.
		Rate float64
		// Count and Duration limit the load test. At least one must be set.
		Count    int
		Duration time.Duration
		// Writes is the fraction of requests that write, from 0 to 1.
		Writes float64
		// Kinds are the kinds of reads with their weights. If empty, reads have
		// no kind.
		Kinds []ReadKind
		// OwnKeyReads is the fraction of reads of the session's own key. The others read
		// one of the shared keys.
		OwnKeyReads float64
		// Keys is the number of shared keys. Skew is the Zipf exponent of their
		// distribution, above 1; 0 selects a uniform distribution.
		Keys int
		Skew float64
		// RoamProbability is the probability that a session reconnects to the next address
		// after a request, with its token if CarryToken is set.
		RoamProbability float64
		CarryToken      bool
		Seed            uint64
	}

	// ReadKind is a kind of read, sent with a probability proportional to its weight.
	ReadKind struct {
		Name   string
		Weight int
	}

	// scheduledRequest is one request to send. A zero due time means at once.
	scheduledRequest struct {
		due time.Time
	}
)

// queueCapacity is the number of requests that may wait for a client. Requests
// beyond it are dropped and counted.
const queueCapacity = 10000

// Check returns an error for the first invalid field.
func (t *LoadTest) Check() error {
	switch {
	case len(t.Addresses) == 0:
		return errors.New("no addresses")
	case t.Workers < 1:
		return errors.New("workers: want at least 1")
	case t.Count <= 0 && t.Duration <= 0:
		return errors.New("count or duration must be set")
	case t.Writes < 0 || t.Writes > 1 || t.OwnKeyReads < 0 || t.OwnKeyReads > 1 || t.RoamProbability < 0 || t.RoamProbability > 1:
		return errors.New("fractions and probabilities must be from 0 to 1")
	case t.Skew != 0 && t.Skew <= 1:
		return errors.New("skew: want 0, or more than 1")
	case t.Keys < 1:
		return errors.New("keys: want at least 1")
	}
	for _, k := range t.Kinds {
		if k.Weight < 1 {
			return errors.Errorf("kind %q: want a weight of at least 1", k.Name)
		}
	}
	return nil
}

// Run runs the load test and returns the merged results of all clients.
func (t *LoadTest) Run(ctx context.Context) (*Report, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	if t.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.Duration)
		defer cancel()
	}
	requests := make(chan scheduledRequest, queueCapacity)
	began := time.Now()
	ended := make(chan *Report, t.Workers)
	for n := range t.Workers {
		c := newClient(t, n)
		go func() { ended <- c.run(ctx, requests) }()
	}
	missed := t.schedule(ctx, requests)
	close(requests)
	total := newReport()
	for range t.Workers {
		total.merge(<-ended)
	}
	total.Dropped, total.Elapsed = missed, time.Since(began)
	return total, nil
}

// schedule queues the requests and returns the number dropped because the queue was full.
func (t *LoadTest) schedule(ctx context.Context, requests chan<- scheduledRequest) (missed int) {
	random := rand.New(rand.NewPCG(t.Seed, 0))
	due := time.Now()
	for n := 0; (t.Count <= 0 || n < t.Count) && ctx.Err() == nil; n++ {
		if t.Rate <= 0 {
			select {
			case requests <- scheduledRequest{}:
			case <-ctx.Done():
			}
			continue
		}
		due = due.Add(time.Duration(random.ExpFloat64() / t.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			break
		}
		select {
		case requests <- scheduledRequest{due: due}:
		default:
			missed++
		}
	}
	return missed
}

func sleepUntil(ctx context.Context, deadline time.Time) bool {
	return sleep(ctx, time.Until(deadline))
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
