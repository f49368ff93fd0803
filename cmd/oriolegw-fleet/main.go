// Command oriolegw-fleet starts a small fleet on loopback. It runs sessions
// through the fleet and prints the results, or keeps it running until interrupted.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/oriolegw/oriolegw/internal/starter"
)

// options holds the flags.
type options struct {
	fleet starter.Fleet
	// keep keeps the fleet running. describeFile is the file to write its addresses to.
	keep         bool
	describeFile string
	// killPrimary kills the primary after the sessions have run.
	killPrimary bool
	// faults injects every fault in turn, under load.
	faults bool
	// bench compares the proxy with direct connections.
	bench bool
}

func main() {
	var o options
	flag.StringVar(&o.fleet.ProgramDirectory, "programs", "build", "the `directory` of the built programs")
	flag.StringVar(&o.fleet.WorkDirectory, "work", "build/fleet", "the `directory` for settings and logs")
	flag.IntVar(&o.fleet.FirstPort, "first-port", starter.DefaultFirstPort, "the first of the loopback `ports`, about 60 in number")
	flag.BoolVar(&o.keep, "keep", false, "keep the fleet running until interrupted, without sessions")
	flag.StringVar(&o.describeFile, "describe", "build/fleet.json", "the `file` to write addresses and faults to, with -keep")
	flag.BoolVar(&o.killPrimary, "kill", false, "kill the primary and wait for a new one")
	flag.BoolVar(&o.bench, "bench", false, "benchmark the proxy against direct connections to a target")
	flag.BoolVar(&o.faults, "faults", false, "inject every fault in turn under load, instead of running sessions")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oriolegw-fleet starts a small fleet on loopback and runs sessions through it.\n\nUsage: oriolegw-fleet [FLAGS]\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &o); err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-fleet:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o *options) error {
	defer o.fleet.Stop()
	if err := o.fleet.Start(ctx); err != nil {
		return err
	}
	if o.keep {
		return keepRunning(ctx, o)
	}
	if o.bench {
		return (&bench{fleet: &o.fleet}).run(ctx)
	}
	d := &demonstration{fleet: &o.fleet, killPrimary: o.killPrimary}
	if o.faults {
		return d.runUnderFaults(ctx)
	}
	return d.run(ctx)
}

func keepRunning(ctx context.Context, o *options) error {
	if err := o.fleet.WriteDescription(o.describeFile); err != nil {
		return err
	}
	for _, e := range o.fleet.Instances {
		fmt.Printf("%s: postgres://crew@%s/%s?sslmode=disable  pages http://%s/status?format=text\n", e.Name, e.Address, starter.ServiceName, e.PagesAddress)
	}
	fmt.Printf("Addresses and fault commands: %s\nInterrupt to stop the fleet.\n", o.describeFile)
	<-ctx.Done()
	return nil
}
