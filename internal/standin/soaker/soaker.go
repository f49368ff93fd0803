// Package soaker runs a simulated fleet under load with random faults, and checks the
// consistency guarantees against the targets' logs. A seed determines the faults and
// their virtual times.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// The guarantees that a soak checks.
const (
	GuaranteeReadYourWrites   = "read-your-writes"
	GuaranteeDurability       = "acknowledged-write-kept"
	GuaranteeNotRun           = "not-run-is-true"
	GuaranteeAtMostOnce       = "at-most-once"
	GuaranteeAtomicity        = "transactions-never-mix"
	GuaranteeConnectionBudget = "budget-never-exceeded"
	GuaranteeRecovery         = "serves-again-after-faults"
)

type (
	// Soak is one run. Set the exported fields, then call Run.
	Soak struct {
		Seed uint64
		// LoadDuration is the duration of the load in virtual time; 0 means
		// DefaultLoadDuration.
		LoadDuration time.Duration
		// FaultCount is the number of faults to inject; 0 means 2.
		FaultCount int
		// InstancesPerZone is the number of instances in each zone; 0 means 1.
		InstancesPerZone int
		// ConnectionBudget limits the group's connections; 0 means 60.
		ConnectionBudget int
		Log              log.Logger

		fleet  *stager.Fleet
		random *rand.Rand

		reverts     sync.WaitGroup // pending reverts of faults
		revertMutex sync.Mutex

		mutex sync.Mutex
		// report is guarded by the mutex while the clients run.
		report   Report
		writes   map[string]*writeRecord
		counters map[string]*counterTotals
	}

	// Report is the result of a run.
	Report struct {
		Seed       uint64
		Faults     []string
		Outcomes   map[string]int
		Reads      int
		Replica    int
		Violations []Violation
	}

	// Violation is one breach of a guarantee.
	Violation struct {
		Guarantee string
		Detail    string
	}

	// writeRecord is the insertion of one row. The rows of one transaction share its
	// name; it is "" outside of transactions.
	writeRecord struct {
		outcome     refuser.Outcome
		code        string
		transaction string
	}

	// counterTotals counts the increments of a client's counter by outcome.
	counterTotals struct{ acknowledged, unknown int }
)

const (
	// DefaultLoadDuration is the default duration of the load in virtual time.
	DefaultLoadDuration = 20 * time.Second

	clientCount     = 6
	requestInterval = 40 * time.Millisecond
	settleTime      = 15 * time.Second
	requestTimeout  = 30 * time.Second
	sampleInterval  = 5 * time.Millisecond
	table           = "ledger"
	maxViolations   = 20
)

// Run runs the soak. Violations are in the report; an error means that the run failed.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	if s.LoadDuration == 0 {
		s.LoadDuration = DefaultLoadDuration
	}
	if s.FaultCount == 0 {
		s.FaultCount = 2
	}
	if s.ConnectionBudget == 0 {
		s.ConnectionBudget = 60
	}
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.report = Report{Seed: s.Seed, Outcomes: map[string]int{}}
	s.writes, s.counters = map[string]*writeRecord{}, map[string]*counterTotals{}
	f, err := stager.Start(ctx, stager.Plan{
		Seed: s.Seed, InstancesPerZone: s.InstancesPerZone, ZoneLatency: 1500 * time.Microsecond, ClientLatency: 3 * time.Millisecond,
		Jitter: time.Millisecond, ConnectTime: 10 * time.Millisecond, Slots: 3, ExecutionTime: 2 * time.Millisecond, Log: s.Log,
		Services: []configurer.Service{{
			Name: stager.DefaultService, Connections: s.ConnectionBudget, Slots: 3,
			Rules: []configurer.ReaderRule{{Kind: configurer.DefaultKind, MaxAge: 10 * time.Second}},
		}},
	})
	if err != nil {
		return s.report, err
	}
	defer f.Close()
	s.fleet = f
	if err := f.AwaitReady(ctx); err != nil {
		return s.report, err
	}
	s.runLoad(ctx)
	s.checkGuarantees(ctx)
	return s.report, nil
}

// runLoad runs the clients while it injects the faults, and then reverts all faults.
func (s *Soak) runLoad(ctx context.Context) {
	loadCtx, stop := context.WithTimeout(ctx, s.LoadDuration)
	defer stop()
	exited := make(chan struct{})
	for n := range clientCount {
		go func() {
			s.runClient(loadCtx, n)
			exited <- struct{}{}
		}()
	}
	go func() {
		s.sampleConnections(loadCtx)
		exited <- struct{}{}
	}()
	for _, t := range s.scheduleFaults() {
		select {
		case <-time.After(t.delay):
			s.inject(loadCtx, t)
		case <-loadCtx.Done():
		}
	}
	<-loadCtx.Done()
	for range clientCount + 1 {
		<-exited
	}
	s.revertAll()
	time.Sleep(settleTime)
}

// sampleConnections checks repeatedly that no group's targets have more connections
// than the group's budget.
func (s *Soak) sampleConnections(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range s.fleet.Document.Services {
			sum := 0
			for _, t := range s.fleet.Members {
				if t.Service == v.Name {
					sum += t.Status().Sessions
				}
			}
			if sum > v.Connections {
				s.addViolation(GuaranteeConnectionBudget, "%s: %d connections, budget %d", v.Name, sum, v.Connections)
			}
		}
		time.Sleep(sampleInterval)
	}
}

func (s *Soak) addViolation(guarantee, format string, a ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.report.Violations) < maxViolations {
		s.report.Violations = append(s.report.Violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, a...)})
	}
}

func (s *Soak) countOutcome(o refuser.Outcome, code string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := string(o)
	if code != "" {
		k += " " + code
	}
	s.report.Outcomes[k]++
}

// checkGuarantees compares the outcomes reported to the clients with the rows and logs
// of the targets.
func (s *Soak) checkGuarantees(ctx context.Context) {
	p := s.primary()
	if p == nil {
		s.addViolation(GuaranteeRecovery, "no primary %v after the faults were reverted", settleTime)
		return
	}
	if err := s.checkWritable(ctx); err != nil {
		s.addViolation(GuaranteeRecovery, "a write after the faults were reverted failed: %v", err)
	}
	committed := s.commitCounts()
	rowCounts := map[string][2]int{} // rows written and rows present, by transaction
	keys := make([]string, 0, len(s.writes))
	for k := range s.writes {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		w := s.writes[k]
		_, present := p.Value(table, k)
		if w.outcome == stager.Acknowledged && !present {
			s.addViolation(GuaranteeDurability, "%s was acknowledged but is missing on %s", k, p.Name)
		}
		if w.outcome == refuser.NotRun && committed[k] > 0 {
			s.addViolation(GuaranteeNotRun, "%s was refused (%s) as not run, but a target committed it", k, w.code)
		}
		if w.transaction != "" {
			n := rowCounts[w.transaction]
			n[0]++
			if present {
				n[1]++
			}
			rowCounts[w.transaction] = n
		}
	}
	for g, n := range rowCounts {
		if n[1] != 0 && n[1] != n[0] {
			s.addViolation(GuaranteeAtomicity, "transaction %s: %d of %d rows present", g, n[1], n[0])
		}
	}
	s.checkCounters(p)
}

func (s *Soak) checkCounters(p *stager.Target) {
	for k, c := range s.counters {
		v, _ := p.Value(table, k)
		n := 0
		_, _ = fmt.Sscan(v, &n)
		if n < c.acknowledged {
			s.addViolation(GuaranteeDurability, "counter %s is %d, acknowledged %d", k, n, c.acknowledged)
		}
		if n > c.acknowledged+c.unknown {
			s.addViolation(GuaranteeAtMostOnce, "counter %s is %d, acknowledged %d, unknown %d", k, n, c.acknowledged, c.unknown)
		}
	}
}

// primary returns the primary in the highest term, or nil.
func (s *Soak) primary() *stager.Target { return s.fleet.Primary(stager.DefaultService) }

// commitCounts returns the number of operations on each key in the commit records of all
// members.
func (s *Soak) commitCounts() map[string]int {
	counts := map[string]int{}
	for _, t := range s.fleet.Members {
		for _, r := range t.Journal() {
			for _, o := range r.Ops {
				counts[o.Key]++
			}
		}
	}
	return counts
}

// checkWritable writes one row through every instance.
func (s *Soak) checkWritable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for _, e := range s.fleet.Instances {
		c, err := s.fleet.Connect(ctx, e, stager.DefaultService, nil)
		if err != nil {
			return errors.Wrap(err, e.Name)
		}
		_, err = c.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", "after-"+e.Name, "1")
		_ = c.Close(ctx)
		if err != nil {
			return errors.Wrap(err, e.Name)
		}
	}
	return nil
}

// String returns a summary of one line.
func (r Report) String() string {
	keys := make([]string, 0, len(r.Outcomes))
	for k := range r.Outcomes {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, faults [%s]:", r.Seed, strings.Join(r.Faults, "; "))
	for _, k := range keys {
		fmt.Fprintf(&b, " %s %d,", k, r.Outcomes[k])
	}
	fmt.Fprintf(&b, " reads %d, violations %d", r.Reads, len(r.Violations))
	return b.String()
}
