package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	classWrite   = "write"
	classConnect = "connect"
	classRead    = "read"

	// failPause follows a failure that names no time to come back.
	failPause = 50 * time.Millisecond

	statementInsert = "INSERT INTO ledger (key, value) VALUES ($1, $2)"
	statementAdd    = "UPDATE ledger SET value = value + $1 WHERE key = $2"
	statementRead   = "SELECT value FROM ledger WHERE key = $1"
)

// caller is one session of an experiment, on one connection at a time.
type caller struct {
	experiment *Experiment
	random     *rand.Rand
	zipf       *rand.Zipf
	report     *Report
	key        string
	at         int // the address in use
	conn       *pgx.Conn
	token      string
	// inserted tells that the session's own key exists. Each write adds 1 to
	// its value: acknowledged ones must be in it, those of unknown outcome may.
	inserted              bool
	acknowledged, unknown int
}

func newCaller(e *Experiment, n int) *caller {
	c := &caller{experiment: e, random: rand.New(rand.NewPCG(e.Seed, uint64(n)+1)), report: newReport(), at: n}
	if e.Skew > 1 {
		c.zipf = rand.NewZipf(c.random, e.Skew, 1, uint64(e.Keys-1))
	}
	c.key = fmt.Sprintf("session-%d-%d", e.Seed, n)
	return c
}

// run sends the orders that it gets, until there are no more.
func (c *caller) run(ctx context.Context, orders <-chan order) *Report {
	defer c.hangUp(context.WithoutCancel(ctx))
	for o := range orders {
		if ctx.Err() != nil {
			break
		}
		if o.due.IsZero() {
			o.due = time.Now()
		}
		c.send(ctx, o)
		if c.experiment.Roam > 0 && c.random.Float64() < c.experiment.Roam {
			c.hangUp(ctx)
			c.at++
		}
	}
	return c.report
}

func (c *caller) hangUp(ctx context.Context) {
	if c.conn != nil {
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

func (c *caller) send(ctx context.Context, o order) {
	if !c.connected(ctx) {
		return
	}
	class, request := c.choose()
	err := request(ctx)
	if ctx.Err() != nil {
		return // the end of the experiment, not an outcome
	}
	c.report.class(class).note(time.Since(o.due), outcome(err))
	if err == nil {
		c.token = c.conn.PgConn().ParameterStatus(relayer.ParameterToken)
		return
	}
	if c.conn.IsClosed() {
		c.conn = nil
		c.at++
	}
	sleep(ctx, comeBack(err))
}

func (c *caller) connected(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	token := c.token
	if !c.experiment.Token {
		token = ""
	}
	began := time.Now()
	conn, err := c.experiment.Connect(ctx, c.experiment.Addresses[c.at%len(c.experiment.Addresses)], token)
	if ctx.Err() != nil {
		c.conn = conn
		return false
	}
	c.report.class(classConnect).note(time.Since(began), outcome(err))
	if err != nil {
		c.at++
		sleep(ctx, comeBack(err))
		return false
	}
	c.conn = conn
	return true
}

// choose draws the next request. The first writes the session's key.
func (c *caller) choose() (class string, request func(context.Context) error) {
	e := c.experiment
	if !c.inserted && (e.Writes > 0 || e.Own > 0) {
		return classWrite, c.insert
	}
	if c.random.Float64() < e.Writes {
		return classWrite, c.add
	}
	class, comment := c.kind()
	if c.random.Float64() < e.Own {
		return class, func(ctx context.Context) error { return c.readOwn(ctx, comment) }
	}
	return class, func(ctx context.Context) error { return c.readShared(ctx, comment) }
}

func (c *caller) kind() (class, comment string) {
	total := 0
	for _, k := range c.experiment.Kinds {
		total += k.Weight
	}
	if total == 0 {
		return classRead, ""
	}
	n := c.random.IntN(total)
	for _, k := range c.experiment.Kinds {
		if n -= k.Weight; n < 0 {
			return classRead + "-" + k.Name, "/* kind=" + k.Name + " */ "
		}
	}
	return classRead, ""
}

func (c *caller) insert(ctx context.Context) error {
	_, err := c.conn.Exec(ctx, statementInsert, c.key, "0")
	var e *pgconn.PgError
	if errors.As(err, &e) && e.Code == codeDuplicate { // an earlier try took effect
		err = nil
	}
	c.inserted = err == nil
	return err
}

// add is not idempotent on purpose: the value counts how often it ran.
func (c *caller) add(ctx context.Context) error {
	_, err := c.conn.Exec(ctx, statementAdd, "1", c.key)
	switch {
	case err == nil:
		c.acknowledged++
	case !notRun(err):
		c.unknown++
	}
	return err
}

// readOwn compares what is shown with what the session was told. Less than was
// acknowledged: the read missed the session's own work, or the work is lost.
// More than was acknowledged or unknown: a write ran twice, or a refusal that
// said "not run" was untrue.
func (c *caller) readOwn(ctx context.Context, comment string) error {
	var text string
	err := c.conn.QueryRow(ctx, comment+statementRead, c.key).Scan(&text)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		return err
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < c.acknowledged {
		c.report.Stale++
	}
	if n > c.acknowledged+c.unknown {
		c.report.Doubled++
	}
	return nil
}

func (c *caller) readShared(ctx context.Context, comment string) error {
	n := uint64(0)
	if c.zipf != nil {
		n = c.zipf.Uint64()
	} else {
		n = c.random.Uint64N(uint64(c.experiment.Keys))
	}
	var text string
	err := c.conn.QueryRow(ctx, comment+statementRead, fmt.Sprintf("shared-%d", n)).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		return nil
	}
	return err
}

const codeDuplicate = "23505"

// outcome names how a request ended: ok, a refusal's code with what it says, an
// SQLSTATE, or connection.
func outcome(err error) string {
	if err == nil {
		return outcomeOK
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return "connection"
	}
	if code, says, _ := refuser.Parse(e.Hint); code != "" {
		return code + "-" + string(says)
	}
	return e.Code
}

// notRun reports that an error says that nothing of the request ran.
func notRun(err error) bool {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return false
	}
	_, says, _ := refuser.Parse(e.Hint)
	return says == refuser.NotRun
}

// comeBack is when the refusal says to come back.
func comeBack(err error) time.Duration {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		if _, _, after := refuser.Parse(e.Hint); after > 0 {
			return after
		}
	}
	return failPause
}
