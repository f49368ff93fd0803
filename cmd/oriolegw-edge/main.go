// Command oriolegw-edge runs an entry instance on the hosting platform.
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
	"github.com/oriolegw/oriolegw/internal/launcher"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/logwriter"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/platform"

	// Links the program against the system's C library.
	_ "runtime/cgo"
)

const (
	// settingsVariable is the environment variable with the default settings file.
	settingsVariable = "ORIOLEGW_SETTINGS"
	// gcPercent is the heap growth, in percent, that triggers a garbage collection. It is low
	// to save memory, since many instances share small machines.
	gcPercent = 40
)

func main() {
	file := flag.String("settings", os.Getenv(settingsVariable), "the settings `file` (JSON with comments); the default is $"+settingsVariable)
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oriolegw-edge is an entry instance of the proxy on the hosting platform.\n\nUsage: oriolegw-edge [-settings FILE]\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	s, err := loader.LoadEdgeSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-edge:", err)
		os.Exit(2)
	}
	os.Exit(run(*file, s))
}

// run runs the instance until a signal ends it, and returns the exit code.
func run(file string, s *loader.EdgeSettings) int {
	debug.SetGCPercent(gcPercent)
	shutdown := make(chan os.Signal, 1)
	signal.Notify(shutdown, os.Interrupt, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)

	logs := logwriter.New(os.Stdout)
	logs.Instance = s.Name
	logCtx, stopLog := context.WithCancel(context.Background())
	logEnded := make(chan error, 1)
	go func() { logEnded <- logs.Run(logCtx) }()
	defer func() {
		stopLog()
		<-logEnded
	}()
	n := networker.TCP{}
	promotions := (&platform.PromotionClient{Address: s.PromotionAddress, Network: n, LeaseHolder: s.Name}).Open()
	i := &launcher.Instance{
		Settings: s, Network: n, LogWriter: logs, Clock: launcher.Boottime, ProcessorTime: launcher.ProcessorTime, Shutdown: shutdown,
		Reload: reload, LoadSettings: func() (*loader.EdgeSettings, error) { return loader.LoadEdgeSettings(file) },
		Platform: launcher.Platform{
			Store:              (&platform.Store{Address: s.StoreAddress, Network: n}).Open(),
			Promote:            promotions.Promote,
			IsPromotionRefused: func(err error) bool { return errors.Is(err, platform.ErrPromotionRefused) },
			MemberCodec:        platform.LineCodec{}, CallerCodec: platform.LineCodec{},
			ConfigurationKey: platform.ConfigurationKey, MemberPrefix: platform.MemberPrefix,
			DecodeConfiguration: platform.DecodeConfiguration, DecodeMember: platform.DecodeMember,
		},
	}
	if err := i.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-edge:", err)
		return 1
	}
	return 0
}
