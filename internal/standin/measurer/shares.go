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
	// Lag is how replicas fall behind.
	Lag struct {
		Name string
		// Draw returns the lag of a replica, by its place, for the next period.
		Draw func(replica int, r *rand.Rand) time.Duration
	}

	// Mix is what a deployment's callers send.
	Mix struct {
		// Writes is the share of writes in 1,000 requests; each is followed by a
		// read of the row that was written.
		Writes int
		// OwnKind is the kind of that read.
		OwnKind string
		// Kinds are the kinds of the other reads, with their shares in 1,000.
		Kinds []KindShare
	}

	// KindShare is a kind of read and its share.
	KindShare struct {
		Kind  string
		Share int
	}

	// Shares is what a run counted.
	Shares struct {
		// Reads counts all reads and Allowed those whose stated age is not 0;
		// Replica counts those of either that a replica answered.
		Reads, Allowed, Replica int
		// Baseline counts the reads that a proxy would have sent to a replica
		// that sends a session to the primary once it has written.
		Baseline int
		// Times are the reads' latencies, as callers saw them.
		Times   []time.Duration
		Refused map[string]int
	}
)

const (
	lagPeriod   = 200 * time.Millisecond
	shareCrews  = 18
	shareRounds = 150
	thinkLimit  = 40 * time.Millisecond
)

// Lags returns the three kinds of lag.
func Lags() []Lag {
	return []Lag{
		{"short", func(int, *rand.Rand) time.Duration { return 5 * time.Millisecond }},
		{"long-tailed", func(_ int, r *rand.Rand) time.Duration { return longTail(r) }},
		{"stuck", func(n int, r *rand.Rand) time.Duration {
			if n == 1 {
				return time.Hour
			}
			return longTail(r)
		}},
	}
}

// longTail has a median of 30 ms and exceeds 1 s once in 42 draws.
func longTail(r *rand.Rand) time.Duration {
	return time.Duration(14 * float64(time.Millisecond) / math.Pow(1-r.Float64(), 1.1))
}

// KeyholdMix is that of the lockers: half the requests ask for a drop's status.
func KeyholdMix() Mix {
	return Mix{Writes: 200, OwnKind: "drop-status", Kinds: []KindShare{
		{"drop-status", 600}, {configurer.DefaultKind, 350}, {"release", 50},
	}}
}

// KellermanMix is that of the job sheets: compliance look-ups dominate.
func KellermanMix() Mix {
	return Mix{Writes: 100, OwnKind: "own-sheets", Kinds: []KindShare{
		{"past-sheets", 800}, {configurer.DefaultKind, 150}, {"sign-off", 50},
	}}
}

// MeasureShares runs the mix on the first service of a plan.
func MeasureShares(ctx context.Context, p stager.Plan, m Mix, l Lag) (*Shares, error) {
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
		vary(f, l, stop)
	}()
	results := make(chan crewResult, shareCrews)
	for n := range shareCrews {
		go func() { results <- crew(ctx, f, m, n) }()
	}
	s := &Shares{Refused: map[string]int{}}
	for range shareCrews {
		r := <-results
		if r.err != nil {
			err = r.err
		}
		s.add(r)
	}
	close(stop)
	<-ended
	s.Replica = s.Reads - answeredByPrimary(f)
	return s, err
}

func vary(f *stager.Fleet, l Lag, stop chan struct{}) {
	r := rand.New(rand.NewPCG(f.Plan.Seed, 9))
	for {
		for n, t := range f.Members {
			if t.Status().Role == replicator.RoleReplica {
				t.Faults.SetReplayLag(l.Draw(n, r))
			}
		}
		select {
		case <-time.After(lagPeriod):
		case <-stop:
			return
		}
	}
}

// answeredByPrimary counts by the primary's own record. What it did not answer, a
// replica did; the replicas' records also hold answers that were thrown away
// because the replica turned out to be behind.
func answeredByPrimary(f *stager.Fleet) int {
	n := 0
	for _, r := range f.Primary(f.Document.Services[0].Name).Journal() {
		if r.Code == "" && strings.Contains(r.Statement, "SELECT value FROM") {
			n++
		}
	}
	return n
}

type crewResult struct {
	reads, allowed, baseline int
	times                    []time.Duration
	refused                  map[string]int
	err                      error
}

func (s *Shares) add(r crewResult) {
	s.Reads += r.reads
	s.Allowed += r.allowed
	s.Baseline += r.baseline
	s.Times = append(s.Times, r.times...)
	for k, n := range r.refused {
		s.Refused[k] += n
	}
}

// crew is one caller with one session.
func crew(ctx context.Context, f *stager.Fleet, m Mix, number int) crewResult {
	out := crewResult{refused: map[string]int{}}
	service := &f.Document.Services[0]
	c, err := f.Connect(ctx, f.Instances[number%len(f.Instances)], service.Name, nil)
	if err != nil {
		out.err = err
		return out
	}
	defer c.Close(ctx)
	r := rand.New(rand.NewPCG(f.Plan.Seed, uint64(number)+10))
	wrote := false
	for n := range shareRounds {
		time.Sleep(time.Duration(r.Int64N(int64(thinkLimit))))
		key := "x"
		kind := m.draw(r)
		if r.IntN(1000) < m.Writes {
			key, kind, wrote = fmt.Sprintf("row-%d-%d", number, n), m.OwnKind, true
			if _, err := c.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ('"+key+"', 'x')", pgx.QueryExecModeSimpleProtocol); err != nil {
				out.refuse(err)
				continue
			}
		}
		started := time.Now()
		tag, err := c.Exec(ctx, "/* kind="+kind+" */ SELECT value FROM ledger WHERE key = '"+key+"'", pgx.QueryExecModeSimpleProtocol)
		if err != nil {
			out.refuse(err)
			continue
		}
		if key != "x" && tag.RowsAffected() != 1 {
			out.err = errors.Errorf("caller %d does not see its own %s", number, key)
		}
		out.times = append(out.times, time.Since(started))
		out.reads++
		if age, _ := service.MaxAge(kind); age > 0 {
			out.allowed++
			if !wrote {
				out.baseline++
			}
		}
	}
	return out
}

func (c *crewResult) refuse(err error) {
	o, code := stager.OutcomeOf(err)
	c.refused[string(o)+" "+code]++
}

func (m Mix) draw(r *rand.Rand) string {
	n := r.IntN(1000)
	for _, k := range m.Kinds {
		if n -= k.Share; n < 0 {
			return k.Kind
		}
	}
	return configurer.DefaultKind
}

// P99 returns the reads' 99th percentile.
func (s *Shares) P99() time.Duration { return quantile(s.Times, 0.99) }

// Figures returns the lines of a run.
func (s *Shares) Figures(deployment, lag string) []Figure {
	suffix := "/" + deployment + "/" + lag
	out := []Figure{
		{"reads-served-by-replicas" + suffix, percent(s.Replica, s.Reads), "%", percent(s.Baseline, s.Reads)},
		{"reads-served-by-replicas-of-allowed" + suffix, percent(s.Replica, s.Allowed), "%", percent(s.Baseline, s.Allowed)},
		{"read-p50" + suffix, milliseconds(quantile(s.Times, 0.5)), "ms", "-"},
		{"read-p99" + suffix, milliseconds(s.P99()), "ms", "-"},
	}
	for k, n := range s.Refused {
		out = append(out, Figure{"refused" + suffix + "/" + strings.ReplaceAll(k, " ", "-"), fmt.Sprint(n), "requests", "-"})
	}
	return out
}
