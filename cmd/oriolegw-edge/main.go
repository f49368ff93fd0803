// Command oriolegw-edge is an entry instance on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/journaler"
	"github.com/oriolegw/oriolegw/internal/launcher"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/platform"

	// cgo links the program against the system's C library.
	_ "runtime/cgo"
)

const (
	// settingsVariable names the settings file where no flag does.
	settingsVariable = "ORIOLEGW_SETTINGS"
	// gcPercent is how much the heap may grow before it is collected, in percent. The
	// live heap is 2 to 3 MB, and hundreds of instances run on small machines.
	gcPercent = 40
)

func main() {
	file := flag.String("settings", os.Getenv(settingsVariable), "the settings `file` (JSON with comments); by default that of "+settingsVariable)
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oriolegw-edge is an entry instance of the proxy on the users' platform.\n\nUsage: oriolegw-edge [-settings FILE]\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	s, err := loader.LoadEntry(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-edge:", err)
		os.Exit(2)
	}
	os.Exit(run(*file, s))
}

// run serves until the process is told to end, and returns the exit code.
func run(file string, s *loader.EntrySettings) int {
	debug.SetGCPercent(gcPercent)
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, os.Interrupt, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)

	journal := journaler.New(os.Stdout)
	journal.Instance = s.Name
	writing, stop := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- journal.Run(writing) }()
	defer func() {
		stop()
		<-written
	}()
	n := networker.TCP{}
	promotions := (&platform.Promotions{Address: s.Promotions, Network: n, Holder: s.Name}).Open()
	i := &launcher.Instance{
		Settings: s, Network: n, Journal: journal, Clock: launcher.Boottime, Leave: leave,
		Reload: reload, Reread: func() (*loader.EntrySettings, error) { return loader.LoadEntry(file) },
		Platform: launcher.Platform{
			Store:          (&platform.Store{Address: s.Store, Network: n}).Open(),
			Promote:        promotions.Promote,
			PromoteRefused: func(err error) bool { return errors.Is(err, platform.ErrRefused) },
			MemberCodec:    platform.Lines{}, CallerCodec: platform.Lines{},
			ConfigurationKey: platform.KeyConfiguration, MemberPrefix: platform.PrefixMembers,
			DecodeConfiguration: platform.DecodeConfiguration, DecodeMember: platform.DecodeMember,
		},
	}
	if err := i.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-edge:", err)
		return 1
	}
	return 0
}
