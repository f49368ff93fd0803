// Command oriolegw-console serves a web form in which operators edit and publish
// the configuration document.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/editor"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/publisher"
	"github.com/oriolegw/oriolegw/internal/storer"
)

const (
	// headerTimeout closes connections that send no request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the wait for requests in flight at shutdown, such as
	// a publication.
	shutdownTimeout = 15 * time.Second
)

func main() {
	address := flag.String("address", "127.0.0.1:8080", "listen address, `ip:port`; anyone who can connect can publish, so put an authenticating proxy in front of it")
	platform := flag.String("platform", "", "the `address` of the platform's service, ip:port")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oriolegw-console serves a web form for the configuration document.\n\nUsage: oriolegw-console -platform ADDRESS [-address ADDRESS]\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if *platform == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *address, *platform); err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-console:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, address, platform string) error {
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	store := (&storer.Client{Address: platform, Network: networker.TCP{}}).Open()
	defer store.Close()
	l, err := networker.TCP{}.Listen(address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	pages := &editor.Pages{Publisher: &publisher.Publisher{Store: store}, Log: logger}
	s := &http.Server{Handler: pages.Handler(), ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	_ = logger.Log("part", "console", "msg", "Serving the configuration editor.", "address", address)
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(err, "shut down")
	}
	<-ended
	return nil
}
