// Command oriolegw runs an entry instance of the proxy.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/oriolegw/oriolegw/internal/runner"
	"github.com/oriolegw/oriolegw/internal/storer"
)

func main() {
	file := flag.String("settings", "", "the settings `file` (JSON with comments)")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oriolegw is an entry instance of the proxy.\n\nUsage: oriolegw -settings FILE\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	s, err := loader.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw:", err)
		os.Exit(2)
	}
	os.Exit(run(s))
}

// run runs the instance until it has shut down, and returns the exit code.
func run(s *loader.Settings) int {
	ctx, stop := context.WithCancel(context.Background())
	events := make(chan controller.Event, 1)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		drainOnSignal(ctx, signals, events, stop)
	}()
	defer func() {
		stop()
		<-ended
	}()
	n := networker.TCP{}
	registry := &reporter.Registry{}
	metrics, closer := registry.NewScope(map[string]string{reporter.TagInstance: s.Name})
	defer closer.Close()
	i := &runner.Instance{
		Events:   events,
		Settings: s, Network: n, Metrics: metrics, Registry: registry,
		Log:       log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC),
		Store:     (&storer.Client{Address: s.PlatformAddress, Network: n}).Open(),
		Instances: (&lister.Client{Address: s.PlatformAddress, Network: n}).Open(),
	}
	if err := i.Run(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "oriolegw:", err)
		return 1
	}
	return 0
}

// drainOnSignal starts a graceful shutdown on the first signal and stops the instance
// immediately on the second.
func drainOnSignal(ctx context.Context, signals <-chan os.Signal, events chan<- controller.Event, stop context.CancelFunc) {
	select {
	case <-signals:
		events <- drainer.InstanceLeaving{}
	case <-ctx.Done():
		return
	}
	select {
	case <-signals:
		stop()
	case <-ctx.Done():
	}
}
