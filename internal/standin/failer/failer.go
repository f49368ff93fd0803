// Package failer plays one failure of a primary under load on a staged fleet, and
// tells how long writes stopped, what callers were told meanwhile, and which
// promises did not hold. It runs inside a testing/synctest bubble.
package failer

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/standin/checker"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	// DefaultWarmUp is how long the load runs before the fault.
	DefaultWarmUp = time.Second
	// DefaultAfter is how long it runs after it.
	DefaultAfter = 12 * time.Second
	// settle is how long the fleet has to converge without load. It is longer
	// than the 15 s in which pgx goes on closing a connection that was given up.
	settle = 20 * time.Second
	// think is a caller's pause between two writes.
	think = 20 * time.Millisecond
	// patience is how long a caller waits for an answer before it leaves.
	patience = 8 * time.Second
	keys     = 4
	table    = "ledger"
)

type (
	// Scenario is one failure. Set Plan and Fault; Heal may be nil.
	Scenario struct {
		Plan stager.Plan
		// Fault strikes the primary of the default service.
		Fault func(f *stager.Fleet, primary *stager.Target)
		// Heal ends the fault, after the load.
		Heal func(f *stager.Fleet, primary *stager.Target)
		// Before changes the fleet before the load begins.
		Before func(f *stager.Fleet)
		// Check judges the fleet in the end; nil adds nothing.
		Check func(f *stager.Fleet) []checker.Violation
		// WarmUp and After replace the defaults if they are not 0.
		WarmUp, After time.Duration
		// Callers is how many callers each instance has; 0 means 1.
		Callers int
	}

	// Report is what happened.
	Report struct {
		// Gap is the longest time between two acknowledged writes, of any caller,
		// from just before the fault on.
		Gap time.Duration
		// Worst is the longest such time of one caller.
		Worst time.Duration
		// Acknowledged, NotRun and Unknown count the writes by outcome.
		Acknowledged, NotRun, Unknown int
		// Refusals counts the answers other than success by their code.
		Refusals map[string]int
		// Terms is by how much the group's term has risen.
		Terms uint64
		// Primary is the name of the primary in the end.
		Primary    string
		Violations []checker.Violation
	}

	caller struct {
		fleet   *stager.Fleet
		entry   *stager.Entry
		number  int
		history *checker.History
		acks    []time.Time
		codes   map[string]int
	}
)

// Run stages the plan, loads it, lets the fault strike, heals and judges.
func Run(ctx context.Context, s Scenario) (*Report, error) {
	f, err := stager.Start(ctx, s.Plan)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Ready(ctx); err != nil {
		return nil, err
	}
	if s.Before != nil {
		s.Before(f)
	}
	h := &checker.History{}
	if err := prepare(ctx, f); err != nil {
		return nil, err
	}
	callers, stop := load(ctx, f, h, max(1, s.Callers))
	sleep(ctx, s.WarmUp, DefaultWarmUp)
	old := Primary(f)
	if old == nil {
		stop()
		return nil, errors.New("no primary before the fault")
	}
	term, struck := old.Status().Term, time.Now()
	s.Fault(f, old)
	sleep(ctx, s.After, DefaultAfter)
	ended := time.Now()
	stop()
	if s.Heal != nil {
		s.Heal(f, old)
	}
	sleep(ctx, settle, settle)
	r, err := judge(f, h, callers, struck, ended, term)
	if err != nil {
		return nil, err
	}
	r.Violations = append(r.Violations, onePrimary(f)...)
	r.Violations = append(r.Violations, recovered(ctx, f)...)
	if s.Check != nil {
		r.Violations = append(r.Violations, s.Check(f)...)
	}
	return r, nil
}

func sleep(ctx context.Context, d, otherwise time.Duration) {
	if d == 0 {
		d = otherwise
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Primary returns the primary of the newest term of the default service, or nil.
func Primary(f *stager.Fleet) *stager.Target { return f.Primary(f.Document.Services[0].Name) }

// PromiseRecovers is broken when no instance gets a write through in the end.
const PromiseRecovers = "the group takes writes again"

// PromiseSameLog is broken when a member that follows the primary keeps entries of
// its own, as an old primary that took writes nobody confirmed.
const PromiseSameLog = "all members hold the primary's log"

// PromiseOnePrimary is broken when two members took writes in the same term.
const PromiseOnePrimary = "a term has one primary"

// onePrimary reads the record that each member keeps of what it committed.
func onePrimary(f *stager.Fleet) []checker.Violation {
	var out []checker.Violation
	took := map[uint64]string{}
	for _, m := range f.Members {
		for _, r := range m.Journal() {
			term := r.Position.Term
			if term == 0 {
				continue
			}
			if took[term] == "" {
				took[term] = m.Name
			}
			if took[term] != m.Name {
				out = append(out, checker.Violation{Promise: PromiseOnePrimary, Detail: fmt.Sprintf("term %d: %s and %s", term, took[term], m.Name)})
				break
			}
		}
	}
	return out
}

// recovered reports whether a write gets through, by any instance, and whether
// all members follow the one primary.
func recovered(ctx context.Context, f *stager.Fleet) []checker.Violation {
	var out []checker.Violation
	p := Primary(f)
	for _, m := range f.Members {
		if s := m.Status(); m != p && (s.Following != p.Address || s.Term != p.Status().Term) {
			out = append(out, checker.Violation{Promise: PromiseRecovers, Detail: fmt.Sprintf("%s is %s of term %d", m.Name, s.Role, s.Term)})
		}
		if !reflect.DeepEqual(m.Entries(), p.Entries()) {
			out = append(out, checker.Violation{Promise: PromiseSameLog, Detail: m.Name + " differs from " + p.Name})
		}
	}
	var last error
	for _, e := range f.Instances {
		if last = once(ctx, f, e); last == nil {
			return out
		}
	}
	return append(out, checker.Violation{Promise: PromiseRecovers, Detail: last.Error()})
}

func once(ctx context.Context, f *stager.Fleet, e *stager.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	c, err := f.Connect(ctx, e, f.Document.Services[0].Name, nil)
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	_, err = c.Exec(ctx, "UPDATE ledger SET value = $1 WHERE key = $2", "recovered", "of-no-history")
	return err
}

func prepare(ctx context.Context, f *stager.Fleet) error {
	c, err := f.Connect(ctx, f.Instances[0], f.Document.Services[0].Name, nil)
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	for k := range keys {
		if _, err := c.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", key(k), ""); err != nil {
			return errors.Wrap(err, "first rows")
		}
	}
	return nil
}

func key(n int) string { return fmt.Sprintf("locker-%d", n) }

// load starts the callers; stop ends them and waits for them.
func load(ctx context.Context, f *stager.Fleet, h *checker.History, each int) (callers []*caller, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	for _, e := range f.Instances {
		for range each {
			c := &caller{fleet: f, entry: e, number: len(callers), history: h, codes: map[string]int{}}
			callers = append(callers, c)
			go func() { c.run(ctx); ended <- struct{}{} }()
		}
	}
	return callers, func() {
		cancel()
		for range callers {
			<-ended
		}
	}
}

func (c *caller) run(ctx context.Context) {
	var conn *pgx.Conn
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(think)
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = c.connect(ctx); err != nil {
				conn = nil
				continue
			}
		}
		c.write(conn, n)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

func (c *caller) connect(ctx context.Context) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return c.fleet.Connect(ctx, c.entry, c.fleet.Document.Services[0].Name, nil)
}

func (c *caller) write(conn *pgx.Conn, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	value := fmt.Sprintf("%d.%d", c.number, n)
	k := key((c.number + n) % keys)
	o := c.history.Write(c.number, k, value)
	_, err := conn.Exec(ctx, "UPDATE ledger SET value = $1 WHERE key = $2", value, k)
	outcome, code := Classify(err)
	if err != nil {
		c.codes[code]++
	} else {
		c.acks = append(c.acks, time.Now())
	}
	o.Return(outcome)
}

// Classify tells what a caller may conclude from the answer to a write, and the
// code of the answer. Only a refusal that says so means that nothing ran.
func Classify(err error) (checker.Outcome, string) {
	if err == nil {
		return checker.Done, ""
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return checker.Unknown, "broken"
	}
	code, _, _ := strings.Cut(e.Message, " ")
	for _, r := range refuser.Reasons {
		if r.Code == code && r.Outcome == refuser.NotRun {
			return checker.NotRun, code
		}
	}
	return checker.Unknown, code
}

func judge(f *stager.Fleet, h *checker.History, callers []*caller, struck, ended time.Time, term uint64) (*Report, error) {
	p := Primary(f)
	if p == nil {
		return nil, errors.New("no primary in the end")
	}
	r := &Report{Refusals: map[string]int{}, Primary: p.Name, Terms: p.Status().Term - term}
	var all []time.Time
	for _, c := range callers {
		all = append(all, c.acks...)
		r.Worst = max(r.Worst, longest(c.acks, struck, ended))
		for code, n := range c.codes {
			r.Refusals[code] += n
		}
	}
	r.Gap = longest(all, struck, ended)
	counts := h.Counts()
	r.Acknowledged, r.NotRun, r.Unknown = counts[checker.Done], counts[checker.NotRun], counts[checker.Unknown]
	r.Violations = h.Check(func(key string) string { v, _ := p.Value(table, key); return v })
	return r, nil
}
