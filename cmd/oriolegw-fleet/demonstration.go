package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/oriolegw/oriolegw/internal/starter"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	demonstrationTimeout = time.Minute
	sessionCount         = 20
)

// demonstration runs sessions through a fleet and prints the results.
type demonstration struct {
	fleet       *starter.Fleet
	killPrimary bool
}

func (d *demonstration) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demonstrationTimeout)
	defer cancel()
	for _, withToken := range []bool{true, false} {
		if err := d.checkRoaming(ctx, withToken); err != nil {
			return err
		}
	}
	if !d.killPrimary {
		fmt.Println("The primary was not killed in this run.")
		return nil
	}
	return d.failover(ctx)
}

// connect opens a session on an instance, with the token unless that is empty.
func (d *demonstration) connect(ctx context.Context, entry int, token string) (*pgx.Conn, error) {
	e := d.fleet.Instances[entry%len(d.fleet.Instances)]
	c, err := pgx.ParseConfig("postgres://crew@" + e.Address + "/" + starter.ServiceName + "?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "parse connection string")
	}
	if token != "" {
		c.RuntimeParams[relayer.ParameterToken] = token
	}
	return pgx.ConnectConfig(ctx, c)
}

// checkRoaming has sessions write on one instance and read on the next. Each read must
// return the session's write.
func (d *demonstration) checkRoaming(ctx context.Context, withToken bool) error {
	kind := "with its token"
	if !withToken {
		kind = "without a token"
	}
	for n := range sessionCount {
		key := fmt.Sprintf("sheet-%t-%d", withToken, n)
		token, err := d.write(ctx, n, key)
		if err != nil {
			return err
		}
		if !withToken {
			token = ""
		}
		if err := d.read(ctx, n+1, key, token); err != nil {
			return errors.Wrapf(err, "session %d %s", n, kind)
		}
	}
	fmt.Printf("%d sessions wrote on one instance and read on another %s: all read their own writes.\n", sessionCount, kind)
	return nil
}

func (d *demonstration) write(ctx context.Context, entry int, key string) (token string, err error) {
	c, err := d.connect(ctx, entry, "")
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", key, "lodged"); err != nil {
		return "", err
	}
	return c.PgConn().ParameterStatus(relayer.ParameterToken), nil
}

func (d *demonstration) read(ctx context.Context, entry int, key, token string) error {
	c, err := d.connect(ctx, entry, token)
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	var v string
	return c.QueryRow(ctx, "SELECT value FROM ledger WHERE key = $1", key).Scan(&v)
}

// failover kills the primary, retries writes until one is acknowledged, and checks that
// all earlier acknowledged writes can be read.
func (d *demonstration) failover(ctx context.Context) error {
	primary := &d.fleet.Members[0]
	if err := d.fleet.Kill(primary); err != nil {
		return err
	}
	killed := time.Now()
	fmt.Printf("Killed %s, the primary.\n", primary.Name)
	refusals := map[string]int{}
	for n := 0; ; n++ {
		_, err := d.write(ctx, n, fmt.Sprintf("after-%d", n))
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "no write was acknowledged after the kill")
		}
		refusals[refusalName(err)]++
	}
	fmt.Printf("The next write was acknowledged %v after the kill; refused until then: %v.\n", time.Since(killed).Round(time.Millisecond), refusals)
	for n := range sessionCount {
		if err := d.read(ctx, n, fmt.Sprintf("sheet-%t-%d", true, n), ""); err != nil {
			return errors.Wrap(err, "read a write acknowledged before the kill")
		}
	}
	if err := d.showPrimary(ctx); err != nil {
		return err
	}
	fmt.Printf("All %d writes acknowledged before the kill were found.\n", sessionCount)
	return nil
}

// fetchState returns the state from the first instance's status page.
func (d *demonstration) fetchState(ctx context.Context) (reporter.State, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.fleet.Instances[0].PagesAddress+reporter.PathStatus, nil)
	if err != nil {
		return reporter.State{}, errors.Wrap(err, "create request")
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return reporter.State{}, errors.Wrap(err, "read status")
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return reporter.State{}, errors.Wrap(err, "read status")
	}
	return reporter.Decode(body)
}

func (d *demonstration) showPrimary(ctx context.Context) error {
	s, err := d.fetchState(ctx)
	if err != nil {
		return err
	}
	for _, g := range s.Groups {
		fmt.Printf("Primary of %s is now %s, in term %d.\n", g.Service, g.Primary, g.Term)
	}
	return nil
}

// refusalName returns a refusal's code and outcome, the SQLSTATE of another server error,
// or "connection".
func refusalName(err error) string {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return "connection"
	}
	if code, outcome, _ := refuser.Parse(e.Hint); code != "" {
		return code + " " + string(outcome)
	}
	return e.Code
}
