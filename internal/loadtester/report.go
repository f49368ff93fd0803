package loadtester

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

type (
	// Report holds the results of a load test.
	Report struct {
		// Classes has the results by class of request: connect, write, read or
		// read-KIND.
		Classes map[string]*Class
		// StaleReads counts reads that missed an acknowledged write of their own session.
		StaleReads int
		// DuplicateWrites counts reads that showed more writes than were acknowledged
		// or of unknown outcome.
		DuplicateWrites int
		// Dropped counts requests dropped because the queue was full.
		Dropped int
		Elapsed time.Duration
	}

	// Class holds the results of one class of requests.
	Class struct {
		// Latency has the latencies of successful requests, in microseconds.
		Latency *hdrhistogram.Histogram
		// Outcomes counts requests by outcome: ok, CODE-OUTCOME for a refusal,
		// an SQLSTATE, or connection.
		Outcomes map[string]int
	}
)

const (
	outcomeOK = "ok"

	minLatency        = 1
	maxLatency        = 10 * 60 * 1000 * 1000 // microseconds
	significantDigits = 3
)

func newReport() *Report { return &Report{Classes: map[string]*Class{}} }

func (r *Report) class(name string) *Class {
	c := r.Classes[name]
	if c == nil {
		c = &Class{Latency: hdrhistogram.New(minLatency, maxLatency, significantDigits), Outcomes: map[string]int{}}
		r.Classes[name] = c
	}
	return c
}

func (c *Class) record(took time.Duration, outcome string) {
	c.Outcomes[outcome]++
	if outcome == outcomeOK {
		_ = c.Latency.RecordValue(min(max(took.Microseconds(), minLatency), maxLatency))
	}
}

func (r *Report) merge(o *Report) {
	for name, c := range o.Classes {
		into := r.class(name)
		into.Latency.Merge(c.Latency)
		for k, n := range c.Outcomes {
			into.Outcomes[k] += n
		}
	}
	r.StaleReads += o.StaleReads
	r.DuplicateWrites += o.DuplicateWrites
	r.Dropped += o.Dropped
}

// Err returns an error if a consistency guarantee was violated.
func (r *Report) Err() error {
	switch {
	case r.StaleReads > 0:
		return errors.Errorf("%d reads missed acknowledged writes of their own session", r.StaleReads)
	case r.DuplicateWrites > 0:
		return errors.Errorf("%d reads showed writes that ran more often than acknowledged", r.DuplicateWrites)
	}
	return nil
}

// Total returns the number of requests with the outcome, excluding connects.
func (r *Report) Total(outcome string) int {
	n := 0
	for name, c := range r.Classes {
		if name != classConnect {
			n += c.Outcomes[outcome]
		}
	}
	return n
}

// Write prints one result per line as "name value unit".
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "elapsed %.3f s\n", r.Elapsed.Seconds())
	fmt.Fprintf(w, "rate %.1f requests/s\n", float64(r.Total(outcomeOK))/max(r.Elapsed.Seconds(), 1e-9))
	fmt.Fprintf(w, "stale-reads %d reads\n", r.StaleReads)
	fmt.Fprintf(w, "doubled-writes %d reads\n", r.DuplicateWrites)
	fmt.Fprintf(w, "not-begun %d requests\n", r.Dropped)
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		for _, o := range slices.Sorted(maps.Keys(c.Outcomes)) {
			fmt.Fprintf(w, "%s-%s %d requests\n", name, o, c.Outcomes[o])
		}
		if c.Latency.TotalCount() == 0 {
			continue
		}
		for _, q := range []float64{50, 90, 99, 99.9} {
			fmt.Fprintf(w, "%s-p%v %d µs\n", name, q, c.Latency.ValueAtQuantile(q))
		}
		fmt.Fprintf(w, "%s-max %d µs\n", name, c.Latency.Max())
	}
}
