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
	// smallPause is between two requests of a small customer's caller, of which
	// there is one on each instance.
	smallPause = 50 * time.Millisecond
	// customersWarm is for shares and latencies to settle, customersLength what
	// is measured.
	customersWarm   = 10 * time.Second
	customersLength = 10 * time.Second
	// smallWrites: one request in five of the small customer is a write.
	smallWrites = 5
)

type (
	// Customers is what a small customer got beside a large one.
	Customers struct {
		Small, Large Served
		// Peak is the most connections at the members, of Budget.
		Peak, Budget int
	}

	// Served is what the callers of one customer got.
	Served struct {
		Times   []time.Duration
		Refused int
	}

	// customerRun is one run's callers.
	customerRun struct {
		fleet   *stager.Fleet
		service string
		from    time.Time

		mutex  sync.Mutex
		served map[string]*Served
	}
)

// MeasureCustomers runs one small customer's callers, and beside them the callers
// of a large customer, so many on each instance, that ask without pause. Both have
// the same share.
func MeasureCustomers(ctx context.Context, p stager.Plan, large int) (*Customers, error) {
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
	r := &customerRun{
		fleet: f, service: p.Services[0].Name, from: time.Now().Add(customersWarm),
		served: map[string]*Served{largeUser: {}, smallUser: {}},
	}
	r.run(ctx, large)
	return &Customers{
		Small: *r.served[smallUser], Large: *r.served[largeUser],
		Peak: f.Members[0].Counter.Peak(), Budget: p.Services[0].Connections,
	}, nil
}

func (r *customerRun) run(ctx context.Context, large int) {
	ctx, cancel := context.WithTimeout(ctx, customersWarm+customersLength)
	defer cancel()
	done := make(chan struct{})
	open := 0
	start := func(e *stager.Instance, user string, pause time.Duration) {
		open++
		number := open
		go func() {
			r.call(ctx, e, user, pause, number)
			done <- struct{}{}
		}()
	}
	for _, e := range r.fleet.Instances {
		start(e, smallUser, smallPause)
		for range large {
			start(e, largeUser, 0)
		}
	}
	for ; open > 0; open-- {
		<-done
	}
}

// call is one caller. A refused one comes back after what it was told.
func (r *customerRun) call(ctx context.Context, e *stager.Instance, user string, pause time.Duration, number int) {
	c, err := r.fleet.ConnectAs(ctx, e, user, r.service, nil)
	if err != nil {
		return
	}
	defer c.PgConn().Conn().Close()
	for k := 0; ctx.Err() == nil; k++ {
		sql := "SELECT value FROM ledger WHERE key = 'a'"
		if k%smallWrites == 0 {
			sql = fmt.Sprintf("INSERT INTO ledger (key, value) VALUES ('%s-%s-%d-%d', 'x')", user, e.Name, number, k)
		}
		began := time.Now()
		_, err := c.Exec(ctx, sql)
		if ctx.Err() != nil {
			return
		}
		r.note(user, began, err)
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

func (r *customerRun) note(user string, began time.Time, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.served[user]
	switch {
	case began.Before(r.from):
	case err != nil:
		s.Refused++
	default:
		s.Times = append(s.Times, time.Since(began))
	}
}

// percentile is that of the times.
func (s Served) percentile(p float64) time.Duration {
	if len(s.Times) == 0 {
		return 0
	}
	t := slices.Clone(s.Times)
	slices.Sort(t)
	return t[min(len(t)-1, int(p*float64(len(t))))]
}

// Figures compares the small customer beside the large one with it alone.
func (c *Customers) Figures(deployment string, alone *Customers) []Figure {
	milliseconds := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }
	name := func(s string) string { return s + "/" + deployment }
	return []Figure{
		{Name: name("small-customer-p50"), Value: milliseconds(c.Small.percentile(0.5)), Unit: "ms", Baseline: milliseconds(alone.Small.percentile(0.5))},
		{Name: name("small-customer-p99"), Value: milliseconds(c.Small.percentile(0.99)), Unit: "ms", Baseline: milliseconds(alone.Small.percentile(0.99))},
		{Name: name("small-customer-refused"), Value: fmt.Sprint(c.Small.Refused), Unit: "requests", Baseline: fmt.Sprint(alone.Small.Refused)},
		{Name: name("small-customer-served"), Value: fmt.Sprint(len(c.Small.Times)), Unit: "requests", Baseline: fmt.Sprint(len(alone.Small.Times))},
		{Name: name("large-customer-served"), Value: fmt.Sprint(len(c.Large.Times)), Unit: "requests"},
		{Name: name("large-customer-refused"), Value: fmt.Sprint(c.Large.Refused), Unit: "requests"},
		{Name: name("peak-connections"), Value: fmt.Sprint(c.Peak), Unit: "connections", Baseline: fmt.Sprint(c.Budget)},
	}
}
