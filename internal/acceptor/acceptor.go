// Package acceptor accepts clients: it carries out the start-up of the PostgreSQL
// protocol, with encryption and authentication, and starts a session for each
// client.
package acceptor

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// The counters of this package; reporter.Metrics describes them.
const (
	CountAccepted = "callers.accepted"
	CountCancels  = "callers.cancels"
	CountFailed   = "callers.failed"
	countRefused  = "refused."

	// refusalTimeout bounds the sending of a refusal after the start-up timeout.
	refusalTimeout = time.Second
)

// maxExcessClients is the number of clients above the limit that receive a refusal. Any
// further connection is closed at once, which bounds memory.
const maxExcessClients = 64

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

type (
	// Acceptor accepts clients. Set the exported fields, then call Run.
	Acceptor struct {
		Address string
		Network networker.Network
		Log     log.Logger
		// Open creates a client's session from its start-up parameters, or returns a
		// refusal.
		Open func(parameters map[string]string) (*relayer.Session, *refuser.Refusal)
		// Cancel carries out a cancel request; if nil, they are ignored.
		Cancel func(ctx context.Context, pid, secret uint32)
		// Authentication is the authentication method; if empty, all clients are refused.
		Authentication loader.Authentication
		// EncryptionMode is whether TLS is off, allowed or required; TLS has the certificate.
		EncryptionMode loader.EncryptionMode
		TLS            *tls.Config
		// Verifier returns the password verifier of a user, empty for an unknown one.
		Verifier func(user string) string
		// Limits bound connections and start-ups; zero values are the defaults.
		Limits loader.Limits
		// Count increments a counter by name; it may be nil.
		Count func(name string)

		mutex     sync.Mutex
		listener  net.Listener
		stopped   bool
		connected int
	}

	sessionResult struct{ err error }
)

// Run accepts clients until the context ends, then waits for their sessions.
func (g *Acceptor) Run(ctx context.Context) error {
	g.defaults()
	l, err := g.listen()
	if err != nil {
		return err
	}
	accepted, failed, done := make(chan net.Conn), make(chan error, 1), make(chan sessionResult)
	go func() { failed <- accept(ctx, l, accepted) }()
	running := 0
	for {
		select {
		case c := <-accepted:
			running++
			g.count(CountAccepted)
			number := g.addClient()
			go func() {
				defer g.removeClient()
				done <- sessionResult{g.serve(ctx, c, number)}
			}()
		case <-done:
			running--
		case <-ctx.Done():
			_ = l.Close()
			<-failed
			for ; running > 0; running-- {
				<-done
			}
			return ctx.Err()
		}
	}
}

func (g *Acceptor) defaults() {
	if g.Limits.Callers == 0 {
		g.Limits.Callers = loader.DefaultCallers
	}
	if g.Limits.AuthenticationTimeout == 0 {
		g.Limits.AuthenticationTimeout = loader.DefaultAuthenticationTimeout
	}
	if g.Verifier == nil {
		g.Verifier = func(string) string { return "" }
	}
}

func (g *Acceptor) count(name string) {
	if g.Count != nil {
		g.Count(name)
	}
}

func (g *Acceptor) listen() (net.Listener, error) {
	l, err := g.Network.Listen(g.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for clients")
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.listener = l
	if g.stopped {
		_ = l.Close()
	}
	return l, nil
}

// StopAccepting closes the listener, so that load balancers and drivers connect to another
// instance. Existing sessions continue.
func (g *Acceptor) StopAccepting() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopped = true
	if g.listener != nil {
		_ = g.listener.Close()
	}
}

// Callers returns the number of connected clients.
func (g *Acceptor) Callers() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.connected
}

// addClient counts a new client and returns the number now connected.
func (g *Acceptor) addClient() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.connected++
	return g.connected
}

func (g *Acceptor) removeClient() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.connected--
}

// accept forwards connections until the listener is closed. Other errors, such as too many
// open files, are temporary, so it retries after them.
func accept(ctx context.Context, l net.Listener, accepted chan<- net.Conn) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case accepted <- c:
		case <-ctx.Done():
			_ = c.Close()
		}
	}
}

func (g *Acceptor) serve(ctx context.Context, conn net.Conn, number int) error {
	defer conn.Close()
	if number > g.Limits.Callers+maxExcessClients {
		g.count(countRefused + refuser.TooManyCallers.Name)
		return errors.New("too many clients above the limit")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	// One deadline covers the whole start-up, also of a client that sends single bytes. The
	// later write deadline leaves time for the refusal.
	deadline := time.Now().Add(g.Limits.AuthenticationTimeout)
	_ = conn.SetReadDeadline(deadline)
	_ = conn.SetWriteDeadline(deadline.Add(refusalTimeout))
	s := &startUp{acceptor: g, conn: conn, overLimit: number > g.Limits.Callers}
	defer func() { _ = s.conn.Close() }() // sends the TLS closing alert if TLS was started
	startUpCtx, cancel := context.WithTimeout(ctx, g.Limits.AuthenticationTimeout)
	defer cancel()
	session, err := s.run(startUpCtx)
	if err != nil || session == nil {
		return err
	}
	_ = conn.SetDeadline(time.Time{})
	return session.Run(ctx)
}
