// Command oriolegw-platform simulates the platform for tests: its key-value
// service and its list of instances, in memory.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/standin/keeper"
	"github.com/oriolegw/oriolegw/internal/storer"
)

func main() {
	address := flag.String("address", "127.0.0.1:7000", "listen address, `ip:port`")
	lag := flag.Duration("list-lag", 0, "delay with which the instance list shows changes")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oriolegw-platform simulates the platform for tests: its key-value service and its list of instances, in memory.\nPOST /faults injects faults at run time.\n\nUsage: oriolegw-platform [FLAGS]\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k := &keeper.Keeper{
		Address: *address, Network: networker.TCP{}, Store: storer.NewMemory(), ListLag: *lag,
		Log: log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)),
	}
	if err := k.Run(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "oriolegw-platform:", err)
		os.Exit(1)
	}
}
