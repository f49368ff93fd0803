package measurer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	largeUser = "large"
	smallUser = "small"
	// smallThinkTime is the time between two requests of a small customer's client, of
	// which there is one per instance.
	smallThinkTime = 50 * time.Millisecond
	// customersWarmup precedes the measured customersDuration.
	customersWarmup   = 10 * time.Second
	customersDuration = 10 * time.Second
	// requestsPerWrite is the number of a client's requests per write.
	requestsPerWrite = 5
)

type (
	// FairnessResult holds the results of a small and a large customer run together.
	FairnessResult struct {
		Small, Large CustomerResult
		// PeakConnections is the maximum of connections to the members; ConnectionBudget
		// its limit.
		PeakConnections, ConnectionBudget int
	}

	// CustomerResult holds the latencies and refusals of one customer's requests.
	CustomerResult struct {
		Latencies []time.Duration
		Refused   int
	}

	// fairnessRun collects the results of one run's clients.
	fairnessRun struct {
		fleet       *stager.Fleet
		service     string
		measureFrom time.Time

		mutex   sync.Mutex
		results map[string]*CustomerResult
	}
)

// MeasureFairness runs clients of a small and a large customer with equal shares. On each
// instance the large customer has largeClients, which send requests without pause.
func MeasureFairness(ctx context.Context, p stager.Plan, largeClients int) (*FairnessResult, error) {
	p.Services = p.Services[:1]
	p.Services[0].Customers = []configurer.Customer{
		{Name: largeUser, Share: 1, Users: []string{largeUser}}, {Name: smallUser, Share: 1, Users: []string{smallUser}},
	}
	f, err := stager.Start(ctx, p)
	if err != nil {
		return nil, errors.Wrap(err, "stage")
	}
	defer f.Close()
	if err := f.AwaitReady(ctx); err != nil {
		return nil, err
	}
	r := &fairnessRun{
		fleet: f, service: p.Services[0].Name, measureFrom: time.Now().Add(customersWarmup),
		results: map[string]*CustomerResult{largeUser: {}, smallUser: {}},
	}
	r.run(ctx, largeClients)
	return &FairnessResult{
		Small: *r.results[smallUser], Large: *r.results[largeUser],
		PeakConnections: f.Members[0].Counter.Peak(), ConnectionBudget: p.Services[0].Connections,
	}, nil
}

func (r *fairnessRun) run(ctx context.Context, largeClients int) {
	ctx, cancel := context.WithTimeout(ctx, customersWarmup+customersDuration)
	defer cancel()
	done := make(chan struct{})
	running := 0
	start := func(e *stager.Instance, user string, pause time.Duration) {
		running++
		number := running
		go func() {
			r.runClient(ctx, e, user, pause, number)
			done <- struct{}{}
		}()
	}
	for _, e := range r.fleet.Instances {
		start(e, smallUser, smallThinkTime)
		for range largeClients {
			start(e, largeUser, 0)
		}
	}
	for ; running > 0; running-- {
		<-done
	}
}

// runClient sends one client's requests; after a refusal it waits the retry-after time.
func (r *fairnessRun) runClient(ctx context.Context, e *stager.Instance, user string, pause time.Duration, number int) {
	c, err := r.fleet.ConnectAs(ctx, e, user, r.service, nil)
	if err != nil {
		return
	}
	defer c.PgConn().Conn().Close()
	for k := 0; ctx.Err() == nil; k++ {
		sql := "SELECT value FROM ledger WHERE key = 'a'"
		if k%requestsPerWrite == 0 {
			sql = fmt.Sprintf("INSERT INTO ledger (key, value) VALUES ('%s-%s-%d-%d', 'x')", user, e.Name, number, k)
		}
		started := time.Now()
		_, err := c.Exec(ctx, sql)
		if ctx.Err() != nil {
			return
		}
		r.record(user, started, err)
		time.Sleep(max(pause, retryAfter(err)))
	}
}

func retryAfter(err error) time.Duration {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return 0
	}
	_, _, after := refuser.Parse(e.Hint)
	return after
}

func (r *fairnessRun) record(user string, started time.Time, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.results[user]
	switch {
	case started.Before(r.measureFrom):
	case err != nil:
		s.Refused++
	default:
		s.Latencies = append(s.Latencies, time.Since(started))
	}
}

// percentile returns the latency percentile p, in 0 to 1.
func (s CustomerResult) percentile(p float64) time.Duration {
	if len(s.Latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(s.Latencies)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Figures returns the figures of a run, with the small customer alone as the baseline.
func (c *FairnessResult) Figures(deployment string, alone *FairnessResult) []Figure {
	milliseconds := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }
	name := func(s string) string { return s + "/" + deployment }
	return []Figure{
		{Name: name("small-customer-p50"), Value: milliseconds(c.Small.percentile(0.5)), Unit: "ms", Baseline: milliseconds(alone.Small.percentile(0.5))},
		{Name: name("small-customer-p99"), Value: milliseconds(c.Small.percentile(0.99)), Unit: "ms", Baseline: milliseconds(alone.Small.percentile(0.99))},
		{Name: name("small-customer-refused"), Value: fmt.Sprint(c.Small.Refused), Unit: "requests", Baseline: fmt.Sprint(alone.Small.Refused)},
		{Name: name("small-customer-served"), Value: fmt.Sprint(len(c.Small.Latencies)), Unit: "requests", Baseline: fmt.Sprint(len(alone.Small.Latencies))},
		{Name: name("large-customer-served"), Value: fmt.Sprint(len(c.Large.Latencies)), Unit: "requests"},
		{Name: name("large-customer-refused"), Value: fmt.Sprint(c.Large.Refused), Unit: "requests"},
		{Name: name("peak-connections"), Value: fmt.Sprint(c.PeakConnections), Unit: "connections", Baseline: fmt.Sprint(c.ConnectionBudget)},
	}
}
