// Command oriolegw-load sends load to any addresses, through the proxy or
// straight to a target, and prints what came back.
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
	"github.com/oriolegw/oriolegw/internal/experimenter"
	"github.com/oriolegw/oriolegw/internal/relayer"
)

const (
	exitUsage = 2
	// passwordVariable keeps passwords out of process lists.
	passwordVariable = "PGPASSWORD"
)

type options struct {
	experiment               experimenter.Experiment
	addresses, kinds         string
	service, user, sslMode string
}

func declareFlags(f *flag.FlagSet) *options {
	o := &options{}
	e := &o.experiment
	f.StringVar(&o.addresses, "addresses", "127.0.0.1:17030,127.0.0.1:17031,127.0.0.1:17032", "where callers connect, `ip:port,ip:port`")
	f.StringVar(&o.service, "service", "lockers", "the `name` of the service")
	f.StringVar(&o.user, "user", "crew", "the caller's `name`; the password is taken from "+passwordVariable)
	f.StringVar(&o.sslMode, "sslmode", "disable", "disable, require, verify-ca or verify-full")
	f.IntVar(&e.Workers, "workers", 8, "how many callers")
	f.Float64Var(&e.Rate, "rate", 0, "requests a second, at random moments; 0 is as fast as they are answered")
	f.IntVar(&e.Count, "count", 0, "end after this many requests; 0 is no limit")
	f.DurationVar(&e.Duration, "duration", 10*time.Second, "end after this time; 0 is no limit")
	f.Float64Var(&e.Writes, "writes", 0.1, "share of requests that write")
	f.StringVar(&o.kinds, "kinds", "", "kinds of reads with weights, `kind=weight,kind=weight`")
	f.Float64Var(&e.Own, "own", 0.5, "share of reads that look at the session's own work")
	f.IntVar(&e.Keys, "keys", 1000, "how many shared keys")
	f.Float64Var(&e.Skew, "skew", 0, "Zipf exponent of the shared keys, more than 1; 0 makes all alike")
	f.Float64Var(&e.Roam, "roam", 0, "chance that a session moves to the next address after a request")
	f.BoolVar(&e.Token, "token", true, "carry the session token along")
	f.Uint64Var(&e.Seed, "seed", 1, "seed of all random choices; own keys are named after it")
	f.Usage = func() {
		fmt.Fprint(f.Output(), "oriolegw-load sends load to any addresses and prints what came back, one figure a line.\nIt exits with 1 when a read missed its session's own work, or showed a write that ran\nmore often than its caller was told.\n\nUsage: oriolegw-load [FLAGS]\n\n")
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
	r, err := o.experiment.Run(ctx)
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

// resolve turns texts into values and checks everything.
func (o *options) resolve(arguments []string) error {
	if len(arguments) > 0 {
		return errors.Errorf("unexpected argument %q", arguments[0])
	}
	o.experiment.Addresses = strings.Split(o.addresses, ",")
	for _, k := range strings.Split(o.kinds, ",") {
		if k == "" {
			continue
		}
		name, weight, _ := strings.Cut(k, "=")
		n, err := strconv.Atoi(weight)
		if err != nil {
			return errors.Errorf("kinds: found %q, want kind=weight", k)
		}
		o.experiment.Kinds = append(o.experiment.Kinds, experimenter.Kind{Name: name, Weight: n})
	}
	o.experiment.Connect = o.connect
	return o.experiment.Check()
}

func (o *options) connect(ctx context.Context, address, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=%s", o.user, address, o.service, o.sslMode))
	if err != nil {
		return nil, errors.Wrap(err, "caller's address")
	}
	if token != "" {
		c.RuntimeParams[relayer.ParameterToken] = token
	}
	return pgx.ConnectConfig(ctx, c)
}
