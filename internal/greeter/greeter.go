// Package greeter accepts callers: it carries out the start-up of the PostgreSQL
// protocol, with encryption and authentication, and hands each caller to a
// session.
package greeter

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

	// refusalTimeout bounds the sending of a refusal to a caller whose start-up took too
	// long: one that has stopped reading gets none.
	refusalTimeout = time.Second
)

// maxExcessClients is how many callers above the limit are read far enough to be
// told why they are refused; more are closed at once, so that a flood of callers
// can't cost more memory than the limit plus this.
const maxExcessClients = 64

// acceptRetryDelay spaces the tries after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

type (
	// Greeter accepts callers. Set the exported fields, then call Run.
	Greeter struct {
		Address string
		Network networker.Network
		Log     log.Logger
		// Open makes the session of a caller from its start-up parameters, or
		// refuses it.
		Open func(parameters map[string]string) (*relayer.Session, *refuser.Refusal)
		// Cancel carries out a cancel request; nil: it is passed over.
		Cancel func(ctx context.Context, pid, secret uint32)
		// Authentication is how callers prove who they are; empty refuses all.
		Authentication loader.Authentication
		// Mode says whether TLS may or must be used; TLS has the certificate.
		Mode loader.EncryptionMode
		TLS  *tls.Config
		// Verifier returns what a user's password is checked against; an empty
		// text when there is no such user.
		Verifier func(user string) string
		// Limits bound what callers can cost; zero values are the defaults.
		Limits loader.Limits
		// Count counts an event by name, for the metrics; nil counts nothing.
		Count func(name string)

		mutex    sync.Mutex
		listener net.Listener
		stopped  bool
		connected     int
	}

	sessionResult struct{ err error }
)

// Run accepts callers until the context ends, and waits for their sessions.
func (g *Greeter) Run(ctx context.Context) error {
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
			place := g.addClient()
			go func() {
				defer g.removeClient()
				done <- sessionResult{g.serve(ctx, c, place)}
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

func (g *Greeter) defaults() {
	if g.Limits.Callers == 0 {
		g.Limits.Callers = loader.DefaultCallers
	}
	if g.Limits.StartUp == 0 {
		g.Limits.StartUp = loader.DefaultStartUp
	}
	if g.Verifier == nil {
		g.Verifier = func(string) string { return "" }
	}
}

func (g *Greeter) count(name string) {
	if g.Count != nil {
		g.Count(name)
	}
}

func (g *Greeter) listen() (net.Listener, error) {
	l, err := g.Network.Listen(g.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.listener = l
	if g.stopped {
		_ = l.Close()
	}
	return l, nil
}

// StopAccepting refuses new callers from now on, as a process does that is gone:
// the balancer and the drivers then turn to another instance. Sessions go on.
func (g *Greeter) StopAccepting() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopped = true
	if g.listener != nil {
		_ = g.listener.Close()
	}
}

// Callers returns how many callers are connected.
func (g *Greeter) Callers() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.connected
}

// addClient counts a caller in and returns its place, from 1.
func (g *Greeter) addClient() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.connected++
	return g.connected
}

func (g *Greeter) removeClient() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.connected--
}

// accept hands on connections until the listener is closed. Any other error
// passes, such as too many open files: an instance that stopped accepting on it
// would look alive for good and serve nobody new.
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

func (g *Greeter) serve(ctx context.Context, conn net.Conn, place int) error {
	defer conn.Close()
	if place > g.Limits.Callers+maxExcessClients {
		g.count(countRefused + refuser.TooManyCallers.Name)
		return errors.New("far too many callers")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	// The deadline covers the whole start-up: a caller that sends a byte now
	// and then must not hold its place for longer. What it is told then still goes out.
	until := time.Now().Add(g.Limits.StartUp)
	_ = conn.SetReadDeadline(until)
	_ = conn.SetWriteDeadline(until.Add(refusalTimeout))
	s := &startUp{greeter: g, conn: conn, overLimit: place > g.Limits.Callers}
	defer func() { _ = s.conn.Close() }() // ends TLS in form, where it was begun
	limited, cancel := context.WithTimeout(ctx, g.Limits.StartUp)
	defer cancel()
	session, err := s.run(limited)
	if err != nil || session == nil {
		return err
	}
	_ = conn.SetDeadline(time.Time{})
	return session.Run(ctx)
}
