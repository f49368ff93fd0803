package networker

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
)

// ServePages serves HTTP at an address until the context ends, and waits for the
// server's end. Requests that run then are cut.
func ServePages(ctx context.Context, n Network, address string, s *http.Server) error {
	l, err := n.Listen(address)
	if err != nil {
		return errors.Wrap(err, "listen for pages")
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	<-ctx.Done()
	_ = s.Close()
	<-ended
	return ctx.Err()
}
