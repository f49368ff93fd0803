package loadtester

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

	// defaultRetryDelay is the pause after a failure without a retry delay of its own.
	defaultRetryDelay = 50 * time.Millisecond

	statementInsert    = "INSERT INTO ledger (key, value) VALUES ($1, $2)"
	statementIncrement = "UPDATE ledger SET value = value + $1 WHERE key = $2"
	statementRead      = "SELECT value FROM ledger WHERE key = $1"
)

// client runs one session of a load test, over one connection at a time.
type client struct {
	test         *LoadTest
	random       *rand.Rand
	zipf         *rand.Zipf
	report       *Report
	ownKey       string
	addressIndex int // current address, modulo the number of addresses
	conn         *pgx.Conn
	token        string
	// inserted is set once the session's own key exists. Each write adds 1 to its value,
	// which lies between acknowledged and acknowledged + unknown.
	inserted              bool
	acknowledged, unknown int
}

func newClient(t *LoadTest, n int) *client {
	c := &client{test: t, random: rand.New(rand.NewPCG(t.Seed, uint64(n)+1)), report: newReport(), addressIndex: n}
	if t.Skew > 1 {
		c.zipf = rand.NewZipf(c.random, t.Skew, 1, uint64(t.Keys-1))
	}
	c.ownKey = fmt.Sprintf("session-%d-%d", t.Seed, n)
	return c
}

// run sends a request for each scheduled one until the channel is closed.
func (c *client) run(ctx context.Context, requests <-chan scheduledRequest) *Report {
	defer c.disconnect(context.WithoutCancel(ctx))
	for r := range requests {
		if ctx.Err() != nil {
			break
		}
		if r.due.IsZero() {
			r.due = time.Now()
		}
		c.sendRequest(ctx, r)
		if c.test.RoamProbability > 0 && c.random.Float64() < c.test.RoamProbability {
			c.disconnect(ctx)
			c.addressIndex++
		}
	}
	return c.report
}

func (c *client) disconnect(ctx context.Context) {
	if c.conn != nil {
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

func (c *client) sendRequest(ctx context.Context, r scheduledRequest) {
	if !c.ensureConnected(ctx) {
		return
	}
	class, request := c.nextRequest()
	err := request(ctx)
	if ctx.Err() != nil {
		return // the load test has ended
	}
	c.report.class(class).record(time.Since(r.due), outcome(err))
	if err == nil {
		c.token = c.conn.PgConn().ParameterStatus(relayer.ParameterToken)
		return
	}
	if c.conn.IsClosed() {
		c.conn = nil
		c.addressIndex++
	}
	sleep(ctx, retryDelay(err))
}

func (c *client) ensureConnected(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	token := c.token
	if !c.test.CarryToken {
		token = ""
	}
	began := time.Now()
	conn, err := c.test.Connect(ctx, c.test.Addresses[c.addressIndex%len(c.test.Addresses)], token)
	if ctx.Err() != nil {
		c.conn = conn
		return false
	}
	c.report.class(classConnect).record(time.Since(began), outcome(err))
	if err != nil {
		c.addressIndex++
		sleep(ctx, retryDelay(err))
		return false
	}
	c.conn = conn
	return true
}

// nextRequest picks the next request at random. The first inserts the session's key.
func (c *client) nextRequest() (class string, request func(context.Context) error) {
	t := c.test
	if !c.inserted && (t.Writes > 0 || t.OwnKeyReads > 0) {
		return classWrite, c.insert
	}
	if c.random.Float64() < t.Writes {
		return classWrite, c.increment
	}
	class, comment := c.nextReadKind()
	if c.random.Float64() < t.OwnKeyReads {
		return class, func(ctx context.Context) error { return c.readOwn(ctx, comment) }
	}
	return class, func(ctx context.Context) error { return c.readShared(ctx, comment) }
}

func (c *client) nextReadKind() (class, comment string) {
	total := 0
	for _, k := range c.test.Kinds {
		total += k.Weight
	}
	if total == 0 {
		return classRead, ""
	}
	n := c.random.IntN(total)
	for _, k := range c.test.Kinds {
		if n -= k.Weight; n < 0 {
			return classRead + "-" + k.Name, "/* kind=" + k.Name + " */ "
		}
	}
	return classRead, ""
}

func (c *client) insert(ctx context.Context) error {
	_, err := c.conn.Exec(ctx, statementInsert, c.ownKey, "0")
	var e *pgconn.PgError
	if errors.As(err, &e) && e.Code == codeUniqueViolation { // an earlier attempt succeeded
		err = nil
	}
	c.inserted = err == nil
	return err
}

// increment adds 1 to the session's key. It is not idempotent, so that the value counts executions.
func (c *client) increment(ctx context.Context) error {
	_, err := c.conn.Exec(ctx, statementIncrement, "1", c.ownKey)
	switch {
	case err == nil:
		c.acknowledged++
	case !notExecuted(err):
		c.unknown++
	}
	return err
}

// readOwn checks the value of the session's key. A value below the acknowledged
// writes is a stale read or a lost write; a value above the acknowledged and
// unknown ones means that a write ran twice or after it was reported as not run.
func (c *client) readOwn(ctx context.Context, comment string) error {
	var text string
	err := c.conn.QueryRow(ctx, comment+statementRead, c.ownKey).Scan(&text)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		return err
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < c.acknowledged {
		c.report.StaleReads++
	}
	if n > c.acknowledged+c.unknown {
		c.report.DuplicateWrites++
	}
	return nil
}

func (c *client) readShared(ctx context.Context, comment string) error {
	n := uint64(0)
	if c.zipf != nil {
		n = c.zipf.Uint64()
	} else {
		n = c.random.Uint64N(uint64(c.test.Keys))
	}
	var text string
	err := c.conn.QueryRow(ctx, comment+statementRead, fmt.Sprintf("shared-%d", n)).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		return nil
	}
	return err
}

const codeUniqueViolation = "23505"

// outcome classifies the result of a request: ok, a refusal's code and outcome,
// an SQLSTATE, or connection for an error that the server did not send.
func outcome(err error) string {
	if err == nil {
		return outcomeOK
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return "connection"
	}
	if code, result, _ := refuser.Parse(e.Hint); code != "" {
		return code + "-" + string(result)
	}
	return e.Code
}

// notExecuted reports whether the error guarantees that no part of the request ran.
func notExecuted(err error) bool {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return false
	}
	_, result, _ := refuser.Parse(e.Hint)
	return result == refuser.NotRun
}

// retryDelay returns the retry delay that the error carries, or the default.
func retryDelay(err error) time.Duration {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		if _, _, after := refuser.Parse(e.Hint); after > 0 {
			return after
		}
	}
	return defaultRetryDelay
}
