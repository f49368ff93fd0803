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

// crew is one caller: a session that roams between instances. Every second one
// carries its token, the others connect without.
type crew struct {
	soak   *Soak
	number int
	random *rand.Rand
	conn   *pgx.Conn
	token  string
	known  []string // keys of its acknowledged writes
	next   int
}

func (s *Soak) caller(ctx context.Context, n int) {
	c := &crew{soak: s, number: n, random: rand.New(rand.NewPCG(s.Seed, uint64(n)+2))}
	defer c.leave()
	for ctx.Err() == nil {
		if c.conn == nil && c.connect(ctx) != nil {
			time.Sleep(pause)
			continue
		}
		c.step(ctx)
		time.Sleep(pause)
	}
}

func (c *crew) connect(ctx context.Context) error {
	e := c.soak.fleet.Instances[c.random.IntN(len(c.soak.fleet.Instances))]
	p := map[string]string{}
	if c.number%2 == 0 && c.token != "" {
		p["oriole.token"] = c.token
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.soak.fleet.Connect(ctx, e, stager.DefaultService, p)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

func (c *crew) leave() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

func (c *crew) step(ctx context.Context) {
	switch c.random.IntN(8) {
	case 0, 1:
		c.insert(ctx)
	case 2:
		c.increment(ctx)
	case 3:
		c.transaction(ctx)
	case 4:
		c.leave() // roam
	default:
		c.read(ctx)
	}
}

func (c *crew) key(kind string) string {
	c.next++
	return fmt.Sprintf("%s-%d-%d", kind, c.number, c.next)
}

// end takes in how a request ended, and drops a connection that did.
func (c *crew) end(err error) (refuser.Outcome, string) {
	o, code := stager.OutcomeOf(err)
	c.soak.count(o, code)
	if c.conn.IsClosed() {
		c.conn = nil
		return o, code
	}
	if t := c.conn.PgConn().ParameterStatus("oriole.token"); t != "" {
		c.token = t
	}
	return o, code
}

func (c *crew) insert(ctx context.Context) {
	k := c.key("row")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_, err := c.conn.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", k, "x")
	o, code := c.end(err)
	c.record(k, "", o, code)
	if o == stager.Done {
		c.known = append(c.known, k)
	}
}

func (c *crew) record(k, group string, o refuser.Outcome, code string) {
	c.soak.mutex.Lock()
	defer c.soak.mutex.Unlock()
	c.soak.keys[k] = &write{outcome: o, code: code, group: group}
}

func (c *crew) increment(ctx context.Context) {
	k := fmt.Sprintf("counter-%d", c.number)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	c.soak.mutex.Lock()
	n := c.soak.counts[k]
	c.soak.mutex.Unlock()
	if n == nil {
		_, err := c.conn.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", k, "0")
		if o, code := c.end(err); o == stager.Done || (o == refuser.Failed && code == "23505") {
			c.soak.mutex.Lock()
			c.soak.counts[k] = &counter{}
			c.soak.mutex.Unlock()
		}
		return
	}
	_, err := c.conn.Exec(ctx, "UPDATE ledger SET value = value + 1 WHERE key = $1", k)
	o, _ := c.end(err)
	c.soak.mutex.Lock()
	defer c.soak.mutex.Unlock()
	switch o {
	case stager.Done:
		n.done++
	case refuser.Unknown:
		n.unknown++
	}
}

func (c *crew) transaction(ctx context.Context) {
	a, b := c.key("pair"), c.key("pair")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	err := pgx.BeginFunc(ctx, c.conn, func(tx pgx.Tx) error {
		for _, k := range []string{a, b} {
			if _, err := tx.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", k, "x"); err != nil {
				return err
			}
		}
		return nil
	})
	o, code := c.end(err)
	c.record(a, a, o, code)
	c.record(b, a, o, code)
	if o == stager.Done {
		c.known = append(c.known, a, b)
	}
}

// read looks for one of the caller's own acknowledged rows.
func (c *crew) read(ctx context.Context) {
	if len(c.known) == 0 {
		return
	}
	k := c.known[len(c.known)-1-c.random.IntN(min(3, len(c.known)))]
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	var v string
	err := c.conn.QueryRow(ctx, "SELECT value FROM ledger WHERE key = $1", k).Scan(&v)
	if errors.Is(err, pgx.ErrNoRows) {
		c.soak.violate(PromiseOwnWrites, "caller %d does not see its own %s (token carried: %v)", c.number, k, c.number%2 == 0)
		err = nil
	}
	c.end(err)
	c.soak.mutex.Lock()
	c.soak.report.Reads++
	c.soak.mutex.Unlock()
}
