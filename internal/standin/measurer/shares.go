package measurer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
)

type (
	// LagModel is a distribution of replication lag.
	LagModel struct {
		Name string
		// Sample returns a replica's lag for the next period; replica is its index.
		Sample func(replica int, r *rand.Rand) time.Duration
	}

	// Workload is a mix of requests that a deployment's clients send.
	Workload struct {
		// WritesPerMille is the number of writes in 1,000 requests; each is followed by a
		// read of the written row.
		WritesPerMille int
		// ReadBackKind is the kind of that read.
		ReadBackKind string
		// Kinds lists the kinds of the other reads.
		Kinds []KindShare
	}

	// KindShare is a kind of read and its number in 1,000 reads.
	KindShare struct {
		Kind     string
		PerMille int
	}

	// ReadShares holds the counts of a run.
	ReadShares struct {
		// Reads counts all reads, StaleAllowed those with a staleness bound above 0 and
		// ServedByReplicas those that a replica served.
		Reads, StaleAllowed, ServedByReplicas int
		// Baseline counts the reads that a proxy would send to replicas if it pinned a
		// session to the primary after its first write.
		Baseline int
		// Latencies holds the reads' latencies as seen by clients.
		Latencies []time.Duration
		Errors    map[string]int
	}
)

const (
	lagChangeInterval  = 200 * time.Millisecond
	sessionCount       = 18
	requestsPerSession = 150
	maxThinkTime       = 40 * time.Millisecond
)

// LagModels returns all lag models.
func LagModels() []LagModel {
	return []LagModel{
		{"short", func(int, *rand.Rand) time.Duration { return 5 * time.Millisecond }},
		{"long-tailed", func(_ int, r *rand.Rand) time.Duration { return sampleLongTail(r) }},
		{"stuck", func(n int, r *rand.Rand) time.Duration {
			if n == 1 {
				return time.Hour
			}
			return sampleLongTail(r)
		}},
	}
}

// sampleLongTail samples a Pareto distribution with a median of 30 ms.
func sampleLongTail(r *rand.Rand) time.Duration {
	return time.Duration(14 * float64(time.Millisecond) / math.Pow(1-r.Float64(), 1.1))
}

// KeyholdWorkload is the workload of a locker service, mostly status reads.
func KeyholdWorkload() Workload {
	return Workload{WritesPerMille: 200, ReadBackKind: "drop-status", Kinds: []KindShare{
		{"drop-status", 600}, {configurer.DefaultKind, 350}, {"release", 50},
	}}
}

// KellermanWorkload is the workload of a job sheet service, mostly compliance look-ups.
func KellermanWorkload() Workload {
	return Workload{WritesPerMille: 100, ReadBackKind: "own-sheets", Kinds: []KindShare{
		{"past-sheets", 800}, {configurer.DefaultKind, 150}, {"sign-off", 50},
	}}
}

// MeasureReadShares runs the workload on the first service of a plan.
func MeasureReadShares(ctx context.Context, p stager.Plan, w Workload, l LagModel) (*ReadShares, error) {
	f, err := stager.Start(ctx, p)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.AwaitReady(ctx); err != nil {
		return nil, err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		varyReplicationLag(f, l, stop)
	}()
	results := make(chan sessionResult, sessionCount)
	for n := range sessionCount {
		go func() { results <- runSession(ctx, f, w, n) }()
	}
	s := &ReadShares{Errors: map[string]int{}}
	for range sessionCount {
		r := <-results
		if r.err != nil {
			err = r.err
		}
		s.addSession(r)
	}
	close(stop)
	<-ended
	s.ServedByReplicas = s.Reads - countPrimaryReads(f)
	return s, err
}

func varyReplicationLag(f *stager.Fleet, l LagModel, stop chan struct{}) {
	r := rand.New(rand.NewPCG(f.Plan.Seed, 9))
	for {
		for n, t := range f.Members {
			if t.Status().Role == replicator.RoleReplica {
				t.Faults.SetReplayLag(l.Sample(n, r))
			}
		}
		select {
		case <-time.After(lagChangeInterval):
		case <-stop:
			return
		}
	}
}

// countPrimaryReads counts reads in the primary's journal. The replicas' journals can't be
// used: they include responses discarded because the replica was too far behind.
func countPrimaryReads(f *stager.Fleet) int {
	n := 0
	for _, r := range f.Primary(f.Document.Services[0].Name).Journal() {
		if r.Code == "" && strings.Contains(r.Statement, "SELECT value FROM") {
			n++
		}
	}
	return n
}

type sessionResult struct {
	reads, staleAllowed, baseline int
	latencies                     []time.Duration
	errors                        map[string]int
	err                           error
}

func (s *ReadShares) addSession(r sessionResult) {
	s.Reads += r.reads
	s.StaleAllowed += r.staleAllowed
	s.Baseline += r.baseline
	s.Latencies = append(s.Latencies, r.latencies...)
	for k, n := range r.errors {
		s.Errors[k] += n
	}
}

// runSession runs one client session with the workload.
func runSession(ctx context.Context, f *stager.Fleet, w Workload, number int) sessionResult {
	out := sessionResult{errors: map[string]int{}}
	service := &f.Document.Services[0]
	c, err := f.Connect(ctx, f.Instances[number%len(f.Instances)], service.Name, nil)
	if err != nil {
		out.err = err
		return out
	}
	defer c.Close(ctx)
	r := rand.New(rand.NewPCG(f.Plan.Seed, uint64(number)+10))
	hasWritten := false
	for n := range requestsPerSession {
		time.Sleep(time.Duration(r.Int64N(int64(maxThinkTime))))
		key := "x"
		kind := w.sampleKind(r)
		if r.IntN(1000) < w.WritesPerMille {
			key, kind, hasWritten = fmt.Sprintf("row-%d-%d", number, n), w.ReadBackKind, true
			if _, err := c.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ('"+key+"', 'x')", pgx.QueryExecModeSimpleProtocol); err != nil {
				out.recordError(err)
				continue
			}
		}
		started := time.Now()
		tag, err := c.Exec(ctx, "/* kind="+kind+" */ SELECT value FROM ledger WHERE key = '"+key+"'", pgx.QueryExecModeSimpleProtocol)
		if err != nil {
			out.recordError(err)
			continue
		}
		if key != "x" && tag.RowsAffected() != 1 {
			out.err = errors.Errorf("client %d does not read its own write %s", number, key)
		}
		out.latencies = append(out.latencies, time.Since(started))
		out.reads++
		if age, _ := service.MaxAge(kind); age > 0 {
			out.staleAllowed++
			if !hasWritten {
				out.baseline++
			}
		}
	}
	return out
}

func (c *sessionResult) recordError(err error) {
	o, code := stager.OutcomeOf(err)
	c.errors[string(o)+" "+code]++
}

func (w Workload) sampleKind(r *rand.Rand) string {
	n := r.IntN(1000)
	for _, k := range w.Kinds {
		if n -= k.PerMille; n < 0 {
			return k.Kind
		}
	}
	return configurer.DefaultKind
}

// P99 returns the reads' 99th percentile.
func (s *ReadShares) P99() time.Duration { return quantile(s.Latencies, 0.99) }

// Figures returns the figures of a run.
func (s *ReadShares) Figures(deployment, lag string) []Figure {
	suffix := "/" + deployment + "/" + lag
	out := []Figure{
		{"reads-served-by-replicas" + suffix, percent(s.ServedByReplicas, s.Reads), "%", percent(s.Baseline, s.Reads)},
		{"reads-served-by-replicas-of-allowed" + suffix, percent(s.ServedByReplicas, s.StaleAllowed), "%", percent(s.Baseline, s.StaleAllowed)},
		{"read-p50" + suffix, milliseconds(quantile(s.Latencies, 0.5)), "ms", "-"},
		{"read-p99" + suffix, milliseconds(s.P99()), "ms", "-"},
	}
	for k, n := range s.Errors {
		out = append(out, Figure{"refused" + suffix + "/" + strings.ReplaceAll(k, " ", "-"), fmt.Sprint(n), "requests", "-"})
	}
	return out
}
