package relayer_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

// Replicas must serve most reads with a staleness bound, also when they lag, so that the
// primary keeps capacity for writes.
func TestReadsServedByReplicas(t *testing.T) {
	for _, c := range []struct {
		name  string
		least float64 // of all reads
		lag   func(s *fleet, r *rand.Rand)
	}{
		{"short lag", 0.95, func(s *fleet, r *rand.Rand) {
			s.setReplayLag(1, 5*time.Millisecond)
			s.setReplayLag(2, 5*time.Millisecond)
		}},
		{"long-tailed lag", 0.85, func(s *fleet, r *rand.Rand) { s.setReplayLag(1, longTail(r)); s.setReplayLag(2, longTail(r)) }},
		{"one replica stuck", 0.85, func(s *fleet, r *rand.Rand) { s.setReplayLag(1, time.Hour); s.setReplayLag(2, longTail(r)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := stager.Plan{
				Seed: 1, ZoneLatency: time.Millisecond, ClientLatency: 3 * time.Millisecond, ExecutionTime: time.Millisecond,
				Services: []configurer.Service{{
					Name: service, Connections: 60, Slots: 5,
					Rules: []configurer.ReaderRule{{Kind: configurer.DefaultKind, MaxAge: time.Minute}, {Kind: "own", MaxAge: 5 * time.Second}},
				}},
			}
			runFleet(t, p, func(s *fleet) {
				share, p50, p99 := s.replicaShare(c.lag)
				t.Logf("%s: replicas serve %.1f%% of reads; reads take %v at the median, %v at p99", c.name, 100*share, p50, p99)
				must.GreaterEq(t, c.least, share)
			})
		})
	}
}

func (s *fleet) setReplayLag(member int, d time.Duration) { s.Members[member].Faults.SetReplayLag(d) }

// longTail draws a lag from a long-tailed distribution.
func longTail(r *rand.Rand) time.Duration {
	return time.Duration(14 * float64(time.Millisecond) / math.Pow(1-r.Float64(), 1.1))
}

func (s *fleet) replicaShare(lag func(*fleet, *rand.Rand)) (share float64, p50, p99 time.Duration) {
	const clients, rounds = 9, 150
	results := make(chan []time.Duration, clients)
	for i := range clients {
		go func() { results <- s.runClient(i, rounds) }()
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		r := rand.New(rand.NewPCG(1, 2))
		for {
			lag(s, r)
			select {
			case <-time.After(200 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
	var times []time.Duration
	for range clients {
		times = append(times, <-results...)
	}
	close(stop)
	<-ended
	all, replicas := 0, 0
	for i, m := range s.Members {
		for _, r := range m.Journal() {
			if strings.Contains(r.Statement, "SELECT value") && r.Code == "" {
				all++
				if i > 0 {
					replicas++
				}
			}
		}
	}
	slices.Sort(times)
	return float64(replicas) / float64(all), times[len(times)/2], times[len(times)*99/100]
}

// runClient runs one client that reads back its own write in one of ten rounds.
func (s *fleet) runClient(i, rounds int) (times []time.Duration) {
	c, err := s.Connect(s.ctx, s.Instances[i%3], service, nil)
	if err != nil {
		s.Error(err)
		return []time.Duration{0}
	}
	r := rand.New(rand.NewPCG(uint64(i), 3))
	for n := range rounds {
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
		sql, key := "/* kind=look-up */ SELECT value FROM ledger WHERE key = 'x'", strconv.Itoa(i)+"-"+strconv.Itoa(n)
		own := n%10 == 0
		if own {
			if _, err := c.Exec(s.ctx, "INSERT INTO ledger VALUES ('"+key+"', 'lodged')"); err != nil {
				s.Error(err)
			}
			sql = "/* kind=own */ SELECT value FROM ledger WHERE key = '" + key + "'"
		}
		started := time.Now()
		tag, err := c.Exec(s.ctx, sql, pgx.QueryExecModeExec)
		times = append(times, time.Since(started))
		if err != nil || (own && tag.RowsAffected() != 1) {
			s.Errorf("%s: %d rows, %v", sql, tag.RowsAffected(), err)
		}
	}
	return times
}
