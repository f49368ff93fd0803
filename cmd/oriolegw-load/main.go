// Command oriolegw-load is a load generator for the proxy, or for a target
// directly.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/loadtester"
	"github.com/oriolegw/oriolegw/internal/relayer"
)

const (
	exitUsage = 2
	// passwordVariable is the environment variable with the password: a flag would be visible in
	// process lists.
	passwordVariable = "PGPASSWORD"
)

// options holds the flags; resolve completes the load test from them.
type options struct {
	loadTest               loadtester.LoadTest
	addresses, kinds       string
	service, user, sslMode string
}

func declareFlags(f *flag.FlagSet) *options {
	o := &options{}
	t := &o.loadTest
	f.StringVar(&o.addresses, "addresses", "127.0.0.1:17030,127.0.0.1:17031,127.0.0.1:17032", "addresses to connect to, `ip:port,ip:port`")
	f.StringVar(&o.service, "service", "lockers", "the `name` of the service")
	f.StringVar(&o.user, "user", "crew", "the user `name`; the password is taken from $"+passwordVariable)
	f.StringVar(&o.sslMode, "sslmode", "disable", "disable, require, verify-ca or verify-full")
	f.IntVar(&t.Workers, "workers", 8, "number of concurrent clients")
	f.Float64Var(&t.Rate, "rate", 0, "requests per second, with random arrivals; 0 sends each request after the previous response")
	f.IntVar(&t.Count, "count", 0, "stop after this many requests; 0 is no limit")
	f.DurationVar(&t.Duration, "duration", 10*time.Second, "stop after this time; 0 is no limit")
	f.Float64Var(&t.Writes, "writes", 0.1, "fraction of requests that write")
	f.StringVar(&o.kinds, "kinds", "", "kinds of reads with weights, `kind=weight,kind=weight`")
	f.Float64Var(&t.OwnKeyReads, "own", 0.5, "fraction of reads of the session's own key")
	f.IntVar(&t.Keys, "keys", 1000, "number of shared keys")
	f.Float64Var(&t.Skew, "skew", 0, "Zipf exponent of the distribution of shared keys, above 1; 0 is uniform")
	f.Float64Var(&t.RoamProbability, "roam", 0, "probability that a session moves to the next address after a request")
	f.BoolVar(&t.CarryToken, "token", true, "send the session token when a session moves")
	f.Uint64Var(&t.Seed, "seed", 1, "random seed, also part of the names of the sessions' own keys")
	f.Usage = func() {
		fmt.Fprint(f.Output(), "oriolegw-load is a load generator. It prints its results, one per line, and exits with 1\nif a read missed an acknowledged write of its own session, or showed a write that ran more\noften than acknowledged.\n\nUsage: oriolegw-load [FLAGS]\n\n")
		f.PrintDefaults()
	}
	return o
}

func main() {
	f := flag.NewFlagSet("oriolegw-load", flag.ContinueOnError)
	o := declareFlags(f)
	if err := f.Parse(os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := o.resolve(f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-load:", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := o.loadTest.Run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-load:", err)
		os.Exit(1)
	}
	r.Write(os.Stdout)
	if err := r.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-load:", err)
		os.Exit(1)
	}
}

// resolve parses the list flags, completes the load test and validates it.
func (o *options) resolve(arguments []string) error {
	if len(arguments) > 0 {
		return errors.Errorf("unexpected argument %q", arguments[0])
	}
	o.loadTest.Addresses = strings.Split(o.addresses, ",")
	for _, k := range strings.Split(o.kinds, ",") {
		if k == "" {
			continue
		}
		name, weight, _ := strings.Cut(k, "=")
		n, err := strconv.Atoi(weight)
		if err != nil {
			return errors.Errorf("kinds: %q is not of the form kind=weight", k)
		}
		o.loadTest.Kinds = append(o.loadTest.Kinds, loadtester.ReadKind{Name: name, Weight: n})
	}
	o.loadTest.Connect = o.connect
	return o.loadTest.Check()
}

func (o *options) connect(ctx context.Context, address, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=%s", o.user, address, o.service, o.sslMode))
	if err != nil {
		return nil, errors.Wrap(err, "parse connection string")
	}
	if token != "" {
		c.RuntimeParams[relayer.ParameterToken] = token
	}
	return pgx.ConnectConfig(ctx, c)
}
