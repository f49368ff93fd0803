// Command oriolegw-target is the stand-in for a target: one member of a database
// group.
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
	flag.StringVar(&m.Address, "address", "127.0.0.1:6000", "where to serve, `ip:port`")
	flag.IntVar(&m.GroupSize, "group-size", 3, "how many members the group has")
	flag.DurationVar(&m.ConnectTime, "connect-time", 0, "how long a new connection takes")
	flag.IntVar(&m.Slots, "slots", 0, "how many statements run at once; 0 is no limit")
	flag.DurationVar(&m.Work, "work", 0, "how long a statement takes")
	primary := flag.String("primary", "", "`address` of the first primary of a new group; empty starts the member fenced")
	faults := flag.String("faults", "", "where to serve the fault switches, `ip:port`")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oriolegw-target is the stand-in for a target: one member of a database group, in memory.\n\nUsage: oriolegw-target [FLAGS]\n\n")
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
