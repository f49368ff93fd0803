package networker

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
)

// ServeHTTP serves HTTP at an address until ctx is done, then closes the server, including
// active connections, and waits for it to stop.
func ServeHTTP(ctx context.Context, n Network, address string, s *http.Server) error {
	l, err := n.Listen(address)
	if err != nil {
		return errors.Wrap(err, "listen for HTTP")
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	<-ctx.Done()
	_ = s.Close()
	<-ended
	return ctx.Err()
}
