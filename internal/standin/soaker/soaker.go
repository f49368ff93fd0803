// Package soaker runs a staged fleet under load and faults chosen by a seed, and
// checks the promises against what the targets recorded. A seed gives the same
// faults at the same virtual times in every run.
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

// The promises that are checked.
const (
	PromiseOwnWrites = "read-your-writes"
	PromiseKept      = "acknowledged-write-kept"
	PromiseNotRun    = "not-run-is-true"
	PromiseOnce      = "at-most-once"
	PromiseAtomic    = "transactions-never-mix"
	PromiseBudget    = "budget-never-exceeded"
	PromiseRecovers  = "serves-again-after-faults"
)

type (
	// Soak is one run. Set the exported fields, then call Run.
	Soak struct {
		Seed uint64
		// Length is the virtual time under load; 0 means DefaultLength.
		Length time.Duration
		// Faults are how many are thrown; 0 means 2.
		Faults int
		// PerZone is how many instances each zone has; 0 means 1.
		PerZone int
		// Connections is the group's budget; 0 means 60.
		Connections int
		Log         log.Logger

		fleet  *stager.Fleet
		random *rand.Rand

		ending  sync.WaitGroup // faults that will end by themselves
		endings sync.Mutex

		mutex sync.Mutex
		// report is guarded by the mutex while callers run.
		report Report
		keys   map[string]*write
		counts map[string]*counter
	}

	// Report is what a run found.
	Report struct {
		Seed       uint64
		Faults     []string
		Outcomes   map[string]int
		Reads      int
		Replica    int
		Violations []Violation
	}

	// Violation is one broken promise.
	Violation struct {
		Promise string
		Detail  string
	}

	// write is one row that a caller tried to insert; all the rows of one
	// transaction have the same group.
	write struct {
		outcome refuser.Outcome
		code    string
		group   string
	}

	// counter is what a caller did to its counter.
	counter struct{ done, unknown int }
)

const (
	// DefaultLength is the virtual time under load.
	DefaultLength = 20 * time.Second

	callers       = 6
	pause         = 40 * time.Millisecond
	settle        = 15 * time.Second
	callTimeout   = 30 * time.Second
	samplePeriod  = 5 * time.Millisecond
	table         = "ledger"
	maxViolations = 20
)

// Run runs the soak; the error is one of the run itself, not a violation.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	if s.Length == 0 {
		s.Length = DefaultLength
	}
	if s.Faults == 0 {
		s.Faults = 2
	}
	if s.Connections == 0 {
		s.Connections = 60
	}
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.report = Report{Seed: s.Seed, Outcomes: map[string]int{}}
	s.keys, s.counts = map[string]*write{}, map[string]*counter{}
	f, err := stager.Start(ctx, stager.Plan{
		Seed: s.Seed, PerZone: s.PerZone, ZoneLatency: 1500 * time.Microsecond, CallerLatency: 3 * time.Millisecond,
		Jitter: time.Millisecond, ConnectTime: 10 * time.Millisecond, Slots: 3, Work: 2 * time.Millisecond, Log: s.Log,
		Services: []configurer.Service{{
			Name: stager.DefaultService, Connections: s.Connections, Slots: 3,
			Rules: []configurer.ReaderRule{{Kind: configurer.DefaultKind, MaxAge: 10 * time.Second}},
		}},
	})
	if err != nil {
		return s.report, err
	}
	defer f.Close()
	s.fleet = f
	if err := f.Ready(ctx); err != nil {
		return s.report, err
	}
	s.underLoad(ctx)
	s.check(ctx)
	return s.report, nil
}

// underLoad runs the callers and throws the faults, then heals everything.
func (s *Soak) underLoad(ctx context.Context) {
	load, stop := context.WithTimeout(ctx, s.Length)
	defer stop()
	ended := make(chan struct{})
	for n := range callers {
		go func() {
			s.caller(load, n)
			ended <- struct{}{}
		}()
	}
	go func() {
		s.sample(load)
		ended <- struct{}{}
	}()
	for _, t := range s.schedule() {
		select {
		case <-time.After(t.after):
			s.throw(load, t)
		case <-load.Done():
		}
	}
	<-load.Done()
	for range callers + 1 {
		<-ended
	}
	s.heal()
	time.Sleep(settle)
}

// sample watches the number of connections that a group's targets count.
func (s *Soak) sample(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range s.fleet.Document.Services {
			sum := 0
			for _, t := range s.fleet.Members {
				if t.Service == v.Name {
					sum += t.Status().Sessions
				}
			}
			if sum > v.Connections {
				s.violate(PromiseBudget, "%s: %d connections, budget %d", v.Name, sum, v.Connections)
			}
		}
		time.Sleep(samplePeriod)
	}
}

func (s *Soak) violate(promise, format string, a ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.report.Violations) < maxViolations {
		s.report.Violations = append(s.report.Violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, a...)})
	}
}

func (s *Soak) count(o refuser.Outcome, code string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := string(o)
	if code != "" {
		k += " " + code
	}
	s.report.Outcomes[k]++
}

// check compares what callers were told with what the targets hold and ran.
func (s *Soak) check(ctx context.Context) {
	p := s.primary()
	if p == nil {
		s.violate(PromiseRecovers, "no primary %v after the faults were healed", settle)
		return
	}
	if err := s.serves(ctx); err != nil {
		s.violate(PromiseRecovers, "a write after the faults were healed: %v", err)
	}
	ran := s.committed()
	groups := map[string][2]int{}
	names := make([]string, 0, len(s.keys))
	for k := range s.keys {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range names {
		w := s.keys[k]
		_, kept := p.Value(table, k)
		if w.outcome == stager.Done && !kept {
			s.violate(PromiseKept, "%s was acknowledged and is not on %s", k, p.Name)
		}
		if w.outcome == refuser.NotRun && ran[k] > 0 {
			s.violate(PromiseNotRun, "%s was refused (%s) as not run, and a target committed it", k, w.code)
		}
		if w.group != "" {
			n := groups[w.group]
			n[0]++
			if kept {
				n[1]++
			}
			groups[w.group] = n
		}
	}
	for g, n := range groups {
		if n[1] != 0 && n[1] != n[0] {
			s.violate(PromiseAtomic, "transaction %s: %d of %d rows", g, n[1], n[0])
		}
	}
	s.checkCounters(p)
}

func (s *Soak) checkCounters(p *stager.Target) {
	for k, c := range s.counts {
		v, _ := p.Value(table, k)
		n := 0
		_, _ = fmt.Sscan(v, &n)
		if n < c.done {
			s.violate(PromiseKept, "counter %s is %d, acknowledged %d", k, n, c.done)
		}
		if n > c.done+c.unknown {
			s.violate(PromiseOnce, "counter %s is %d, acknowledged %d, unknown %d", k, n, c.done, c.unknown)
		}
	}
}

// primary returns the primary of the newest term.
func (s *Soak) primary() *stager.Target { return s.fleet.Primary(stager.DefaultService) }

// committed counts, over the logs of all members, the entries that set a key.
func (s *Soak) committed() map[string]int {
	out := map[string]int{}
	for _, t := range s.fleet.Members {
		for _, r := range t.Journal() {
			for _, o := range r.Ops {
				out[o.Key]++
			}
		}
	}
	return out
}

func (s *Soak) serves(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// String is one line for the log of a run.
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
