// Command oriolegw-target simulates a target for tests: one member of a replicated
// database group, in memory.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
)

func main() {
	m := &replicator.Member{Network: networker.TCP{}, Log: log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))}
	flag.StringVar(&m.Name, "name", "member", "the member's `name`")
	flag.StringVar(&m.Group, "group", "group", "the group's `name`")
	flag.StringVar(&m.Address, "address", "127.0.0.1:6000", "listen address, `ip:port`")
	flag.IntVar(&m.GroupSize, "group-size", 3, "number of members in the group")
	flag.DurationVar(&m.ConnectTime, "connect-time", 0, "simulated time to open a connection")
	flag.IntVar(&m.Slots, "slots", 0, "maximum number of concurrent statements; 0 is no limit")
	flag.DurationVar(&m.ExecutionTime, "work", 0, "simulated time to run a statement")
	primary := flag.String("primary", "", "`address` of the initial primary of a new group; if empty, the member starts fenced")
	faults := flag.String("faults", "", "listen address of the fault injection interface, `ip:port`")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oriolegw-target simulates a target for tests: one member of a replicated database group, in memory.\n\nUsage: oriolegw-target [FLAGS]\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if *primary != "" {
		m.Bootstrap(*primary)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	if *faults != "" {
		s := &http.Server{Addr: *faults, Handler: m.Handler()}
		go func() { ended <- s.ListenAndServe() }()
	}
	if err := <-ended; err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "oriolegw-target:", err)
		os.Exit(1)
	}
}
