// Package failer injects a failure of the primary into a simulated fleet under write
// load. It reports how long writes were unavailable, the outcomes seen by clients and
// the violated guarantees. It must run inside a testing/synctest bubble.
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
	// DefaultWarmUp is the duration of the load before the fault.
	DefaultWarmUp = time.Second
	// DefaultLoadAfterFault is the duration of the load after the fault.
	DefaultLoadAfterFault = 12 * time.Second
	// settleTime is the time for the fleet to converge without load. It exceeds the
	// 15 s that pgx takes to close a connection whose request was canceled.
	settleTime = 20 * time.Second
	// writeInterval is a client's pause between writes.
	writeInterval = 20 * time.Millisecond
	// requestTimeout is a client's timeout for connecting and for each write.
	requestTimeout = 8 * time.Second
	keyCount       = 4
	table          = "ledger"
)

type (
	// Scenario configures a run. Only Inject is required.
	Scenario struct {
		Plan stager.Plan
		// Inject injects a fault into the primary of the first service.
		Inject func(f *stager.Fleet, primary *stager.Target)
		// Heal reverts the fault after the load has ended.
		Heal func(f *stager.Fleet, primary *stager.Target)
		// Prepare prepares the fleet before the load starts.
		Prepare func(f *stager.Fleet)
		// Check runs additional checks on the converged fleet.
		Check func(f *stager.Fleet) []checker.Violation
		// WarmUp and LoadAfterFault are the durations of the load before and after
		// the fault; 0 means the default.
		WarmUp, LoadAfterFault time.Duration
		// ClientsPerInstance is the number of clients of each instance; 0 means 1.
		ClientsPerInstance int
	}

	// Report is the result of a run.
	Report struct {
		// WriteGap is the longest time without an acknowledged write of any client, from
		// the last one before the fault on.
		WriteGap time.Duration
		// LongestClientGap is the longest such time of a single client.
		LongestClientGap time.Duration
		// Acknowledged, NotRun and Unknown count the writes by outcome.
		Acknowledged, NotRun, Unknown int
		// Refusals counts the failed writes by error code.
		Refusals map[string]int
		// TermIncrease is the increase of the group's term.
		TermIncrease uint64
		// FinalPrimary is the name of the primary after convergence.
		FinalPrimary string
		Violations   []checker.Violation
	}

	// client repeats writes through one instance.
	client struct {
		fleet        *stager.Fleet
		instance     *stager.Instance
		number       int
		history      *checker.History
		acknowledged []time.Time    // times of acknowledgement
		refusals     map[string]int // by error code
	}
)

// Run starts the fleet, injects the fault under load, heals it and checks the result.
func Run(ctx context.Context, s Scenario) (*Report, error) {
	f, err := stager.Start(ctx, s.Plan)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.AwaitReady(ctx); err != nil {
		return nil, err
	}
	if s.Prepare != nil {
		s.Prepare(f)
	}
	h := &checker.History{}
	if err := insertRows(ctx, f); err != nil {
		return nil, err
	}
	clients, stop := startClients(ctx, f, h, max(1, s.ClientsPerInstance))
	sleep(ctx, s.WarmUp, DefaultWarmUp)
	oldPrimary := Primary(f)
	if oldPrimary == nil {
		stop()
		return nil, errors.New("no primary before the fault")
	}
	term, faultTime := oldPrimary.Status().Term, time.Now()
	s.Inject(f, oldPrimary)
	sleep(ctx, s.LoadAfterFault, DefaultLoadAfterFault)
	loadEnd := time.Now()
	stop()
	if s.Heal != nil {
		s.Heal(f, oldPrimary)
	}
	sleep(ctx, settleTime, settleTime)
	r, err := evaluate(f, h, clients, faultTime, loadEnd, term)
	if err != nil {
		return nil, err
	}
	r.Violations = append(r.Violations, checkSinglePrimary(f)...)
	r.Violations = append(r.Violations, checkRecovery(ctx, f)...)
	if s.Check != nil {
		r.Violations = append(r.Violations, s.Check(f)...)
	}
	return r, nil
}

func sleep(ctx context.Context, d, defaultDuration time.Duration) {
	if d == 0 {
		d = defaultDuration
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Primary returns the primary in the highest term of the first service, or nil.
func Primary(f *stager.Fleet) *stager.Target { return f.Primary(f.Document.Services[0].Name) }

// GuaranteeRecovery is violated if no write succeeds after the fault was healed, or a
// member does not follow the primary.
const GuaranteeRecovery = "the group recovers after the fault"

// GuaranteeIdenticalLogs is violated if the log of a member diverges from the primary's,
// such as by entries of an old primary that were never replicated.
const GuaranteeIdenticalLogs = "all members have the primary's log"

// GuaranteeSinglePrimary is violated if two members commit writes in the same term.
const GuaranteeSinglePrimary = "a term has at most one primary"

// checkSinglePrimary verifies GuaranteeSinglePrimary by the members' commit records.
func checkSinglePrimary(f *stager.Fleet) []checker.Violation {
	var out []checker.Violation
	primaryOfTerm := map[uint64]string{}
	for _, m := range f.Members {
		for _, r := range m.Journal() {
			term := r.Position.Term
			if term == 0 {
				continue
			}
			if primaryOfTerm[term] == "" {
				primaryOfTerm[term] = m.Name
			}
			if primaryOfTerm[term] != m.Name {
				out = append(out, checker.Violation{Guarantee: GuaranteeSinglePrimary, Detail: fmt.Sprintf("term %d: %s and %s", term, primaryOfTerm[term], m.Name)})
				break
			}
		}
	}
	return out
}

// checkRecovery verifies that a write succeeds through at least one instance, that all
// members follow the primary and that their logs are identical.
func checkRecovery(ctx context.Context, f *stager.Fleet) []checker.Violation {
	var out []checker.Violation
	p := Primary(f)
	for _, m := range f.Members {
		if s := m.Status(); m != p && (s.Following != p.Address || s.Term != p.Status().Term) {
			out = append(out, checker.Violation{Guarantee: GuaranteeRecovery, Detail: fmt.Sprintf("%s is %s in term %d", m.Name, s.Role, s.Term)})
		}
		if !reflect.DeepEqual(m.Entries(), p.Entries()) {
			out = append(out, checker.Violation{Guarantee: GuaranteeIdenticalLogs, Detail: m.Name + " has another log than " + p.Name})
		}
	}
	var lastErr error
	for _, e := range f.Instances {
		if lastErr = writeOnce(ctx, f, e); lastErr == nil {
			return out
		}
	}
	return append(out, checker.Violation{Guarantee: GuaranteeRecovery, Detail: lastErr.Error()})
}

func writeOnce(ctx context.Context, f *stager.Fleet, e *stager.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	c, err := f.Connect(ctx, e, f.Document.Services[0].Name, nil)
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	_, err = c.Exec(ctx, "UPDATE ledger SET value = $1 WHERE key = $2", "recovered", "of-no-history")
	return err
}

func insertRows(ctx context.Context, f *stager.Fleet) error {
	c, err := f.Connect(ctx, f.Instances[0], f.Document.Services[0].Name, nil)
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	for k := range keyCount {
		if _, err := c.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", key(k), ""); err != nil {
			return errors.Wrap(err, "insert initial rows")
		}
	}
	return nil
}

func key(n int) string { return fmt.Sprintf("locker-%d", n) }

// startClients starts n clients on each instance; stop stops them and waits for their exit.
func startClients(ctx context.Context, f *stager.Fleet, h *checker.History, n int) (clients []*client, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	exited := make(chan struct{})
	for _, e := range f.Instances {
		for range n {
			c := &client{fleet: f, instance: e, number: len(clients), history: h, refusals: map[string]int{}}
			clients = append(clients, c)
			go func() { c.run(ctx); exited <- struct{}{} }()
		}
	}
	return clients, func() {
		cancel()
		for range clients {
			<-exited
		}
	}
}

func (c *client) run(ctx context.Context) {
	var conn *pgx.Conn
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(writeInterval)
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

func (c *client) connect(ctx context.Context) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return c.fleet.Connect(ctx, c.instance, c.fleet.Document.Services[0].Name, nil)
}

func (c *client) write(conn *pgx.Conn, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	value := fmt.Sprintf("%d.%d", c.number, n)
	k := key((c.number + n) % keyCount)
	o := c.history.Write(c.number, k, value)
	_, err := conn.Exec(ctx, "UPDATE ledger SET value = $1 WHERE key = $2", value, k)
	outcome, code := Classify(err)
	if err != nil {
		c.refusals[code]++
	} else {
		c.acknowledged = append(c.acknowledged, time.Now())
	}
	o.Return(outcome)
}

// Classify returns the outcome that a client may infer from the error of a write, and
// the error's code. Only a refusal whose reason has the outcome NotRun excludes that
// the write ran.
func Classify(err error) (checker.Outcome, string) {
	if err == nil {
		return checker.Acknowledged, ""
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

func evaluate(f *stager.Fleet, h *checker.History, clients []*client, faultTime, loadEnd time.Time, initialTerm uint64) (*Report, error) {
	p := Primary(f)
	if p == nil {
		return nil, errors.New("no primary after the fault")
	}
	r := &Report{Refusals: map[string]int{}, FinalPrimary: p.Name, TermIncrease: p.Status().Term - initialTerm}
	var acknowledged []time.Time
	for _, c := range clients {
		acknowledged = append(acknowledged, c.acknowledged...)
		r.LongestClientGap = max(r.LongestClientGap, longestGap(c.acknowledged, faultTime, loadEnd))
		for code, n := range c.refusals {
			r.Refusals[code] += n
		}
	}
	r.WriteGap = longestGap(acknowledged, faultTime, loadEnd)
	counts := h.Counts()
	r.Acknowledged, r.NotRun, r.Unknown = counts[checker.Acknowledged], counts[checker.NotRun], counts[checker.Unknown]
	r.Violations = h.Check(func(key string) string { v, _ := p.Value(table, key); return v })
	return r, nil
}
