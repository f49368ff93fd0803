package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// client sends random requests and reconnects to random instances. Clients with an even
// number pass their session token when they reconnect, the others connect without one.
type client struct {
	soak             *Soak
	number           int
	random           *rand.Rand
	conn             *pgx.Conn
	token            string
	acknowledgedKeys []string // keys of the rows whose insertion was acknowledged
	lastKey          int
}

func (s *Soak) runClient(ctx context.Context, n int) {
	c := &client{soak: s, number: n, random: rand.New(rand.NewPCG(s.Seed, uint64(n)+2))}
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && c.connect(ctx) != nil {
			time.Sleep(requestInterval)
			continue
		}
		c.randomRequest(ctx)
		time.Sleep(requestInterval)
	}
}

func (c *client) connect(ctx context.Context) error {
	e := c.soak.fleet.Instances[c.random.IntN(len(c.soak.fleet.Instances))]
	p := map[string]string{}
	if c.number%2 == 0 && c.token != "" {
		p["oriole.token"] = c.token
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := c.soak.fleet.Connect(ctx, e, stager.DefaultService, p)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

func (c *client) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

func (c *client) randomRequest(ctx context.Context) {
	switch c.random.IntN(8) {
	case 0, 1:
		c.insert(ctx)
	case 2:
		c.increment(ctx)
	case 3:
		c.transaction(ctx)
	case 4:
		c.disconnect() // the next request connects to a random instance
	default:
		c.read(ctx)
	}
}

func (c *client) newKey(kind string) string {
	c.lastKey++
	return fmt.Sprintf("%s-%d-%d", kind, c.number, c.lastKey)
}

// recordOutcome counts the outcome of a request, and updates the session token or
// discards a closed connection.
func (c *client) recordOutcome(err error) (refuser.Outcome, string) {
	o, code := stager.OutcomeOf(err)
	c.soak.countOutcome(o, code)
	if c.conn.IsClosed() {
		c.conn = nil
		return o, code
	}
	if t := c.conn.PgConn().ParameterStatus("oriole.token"); t != "" {
		c.token = t
	}
	return o, code
}

func (c *client) insert(ctx context.Context) {
	k := c.newKey("row")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	_, err := c.conn.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", k, "x")
	o, code := c.recordOutcome(err)
	c.recordWrite(k, "", o, code)
	if o == stager.Acknowledged {
		c.acknowledgedKeys = append(c.acknowledgedKeys, k)
	}
}

func (c *client) recordWrite(k, transaction string, o refuser.Outcome, code string) {
	c.soak.mutex.Lock()
	defer c.soak.mutex.Unlock()
	c.soak.writes[k] = &writeRecord{outcome: o, code: code, transaction: transaction}
}

func (c *client) increment(ctx context.Context) {
	k := fmt.Sprintf("counter-%d", c.number)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	c.soak.mutex.Lock()
	totals := c.soak.counters[k]
	c.soak.mutex.Unlock()
	if totals == nil {
		_, err := c.conn.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", k, "0")
		if o, code := c.recordOutcome(err); o == stager.Acknowledged || (o == refuser.Failed && code == "23505") {
			c.soak.mutex.Lock()
			c.soak.counters[k] = &counterTotals{}
			c.soak.mutex.Unlock()
		}
		return
	}
	_, err := c.conn.Exec(ctx, "UPDATE ledger SET value = value + 1 WHERE key = $1", k)
	o, _ := c.recordOutcome(err)
	c.soak.mutex.Lock()
	defer c.soak.mutex.Unlock()
	switch o {
	case stager.Acknowledged:
		totals.acknowledged++
	case refuser.Unknown:
		totals.unknown++
	}
}

func (c *client) transaction(ctx context.Context) {
	a, b := c.newKey("pair"), c.newKey("pair")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	err := pgx.BeginFunc(ctx, c.conn, func(tx pgx.Tx) error {
		for _, k := range []string{a, b} {
			if _, err := tx.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", k, "x"); err != nil {
				return err
			}
		}
		return nil
	})
	o, code := c.recordOutcome(err)
	c.recordWrite(a, a, o, code)
	c.recordWrite(b, a, o, code)
	if o == stager.Acknowledged {
		c.acknowledgedKeys = append(c.acknowledgedKeys, a, b)
	}
}

// read reads one of the last rows that the client inserted with acknowledgement.
func (c *client) read(ctx context.Context) {
	if len(c.acknowledgedKeys) == 0 {
		return
	}
	k := c.acknowledgedKeys[len(c.acknowledgedKeys)-1-c.random.IntN(min(3, len(c.acknowledgedKeys)))]
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	var v string
	err := c.conn.QueryRow(ctx, "SELECT value FROM ledger WHERE key = $1", k).Scan(&v)
	if errors.Is(err, pgx.ErrNoRows) {
		c.soak.addViolation(GuaranteeReadYourWrites, "client %d does not see its own write of %s (with token: %v)", c.number, k, c.number%2 == 0)
		err = nil
	}
	c.recordOutcome(err)
	c.soak.mutex.Lock()
	c.soak.report.Reads++
	c.soak.mutex.Unlock()
}
