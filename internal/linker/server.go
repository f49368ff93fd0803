// Package linker provides authenticated connections between instances over DRPC. A malformed
// message closes only its own connection. The services on the connections are registered by
// other packages.
package linker

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/networker"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	// maxMessageBytes bounds a message: twice the size of the largest document that the store
	// accepts.
	maxMessageBytes = 2 << 20
	// maxConnections bounds the connections from peers served concurrently.
	maxConnections = 2048
	// handshakeTimeout closes connections that do not authenticate, so that they can't exhaust
	// maxConnections.
	handshakeTimeout = 5 * time.Second
)

// Error codes on the wire; never reuse one.
const (
	codeForeign uint64 = 1 + iota
	codeWireVersion
	codeUnauthenticated
)

type (
	// Server accepts connections from other instances. Set the exported fields, then call Run.
	Server struct {
		Address  string
		Network  networker.Network
		Secrets  []Secret
		Versions Versions
		Log      log.Logger
		// Count increments the named metric.
		Count func(name string)

		// Register registers the services for a new connection; every call except the
		// handshake's must check Session.CheckAuthenticated.
		Register func(m *drpcmux.Mux, s *Session) error
	}

	// Session is a connection from a peer.
	Session struct {
		server        *Server
		transcript    transcript
		secret        Secret
		authenticated chan struct{}
	}
)

var errUnauthenticated = errors.New("peer is not authenticated")

// Run serves peers until the context ends and waits for their connections to close.
func (s *Server) Run(ctx context.Context) error {
	l, err := s.Network.Listen(s.Address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	accepted, acceptErr, ended := make(chan net.Conn), make(chan error, 1), make(chan error)
	go func() { acceptErr <- accept(ctx, l, accepted) }()
	running := 0
	for {
		select {
		case c := <-accepted:
			if running == maxConnections {
				s.Count("peer-refused.connections")
				_ = c.Close()
				continue
			}
			running++
			go func() { ended <- s.serve(ctx, c) }()
		case err := <-ended:
			running--
			if ctx.Err() == nil && err != nil {
				_ = s.Log.Log("event", "peer-connection-ended", "cause", err)
			}
		case <-ctx.Done():
			_ = l.Close()
			<-acceptErr
			for ; running > 0; running-- {
				<-ended
			}
			return ctx.Err()
		}
	}
}

func accept(ctx context.Context, l net.Listener, accepted chan<- net.Conn) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		select {
		case accepted <- c:
		case <-ctx.Done():
			_ = c.Close()
		}
	}
}

// serve serves one connection. Connections share only the functions of Server, so a malformed
// message affects no other one.
func (s *Server) serve(ctx context.Context, c net.Conn) error {
	defer c.Close()
	p := &Session{server: s, authenticated: make(chan struct{})}
	deadline := time.AfterFunc(handshakeTimeout, func() {
		select {
		case <-p.authenticated:
		default:
			s.Count("peer-refused.handshake-timeout")
			_ = c.Close()
		}
	})
	defer deadline.Stop()
	mux := drpcmux.New()
	if err := s.Register(mux, p); err != nil {
		panic(err) // generated descriptions always register
	}
	o := drpcserver.Options{Manager: managerOptions()}
	return drpcserver.NewWithOptions(mux, o).ServeOne(ctx, c)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Hello implements wire.DRPCPeersServer.
func (s *Session) Hello(_ context.Context, r *wire.HelloRequest) (*wire.HelloReply, error) {
	server := s.server
	if s.transcript.clientNonce != nil {
		return nil, drpcerr.WithCode(errUnauthenticated, codeUnauthenticated) // one handshake per connection
	}
	s.transcript = transcript{
		client: Versions{Oldest: r.Oldest, Newest: r.Newest}, server: server.Versions,
		clientNonce: append(make([]byte, 0, nonceBytes), r.Nonce...), serverNonce: newNonce(),
	}
	if _, err := server.Versions.negotiate(s.transcript.client); err != nil {
		server.Count("peer-refused.wire-version")
		return nil, drpcerr.WithCode(err, codeWireVersion)
	}
	var err error
	if s.secret, err = chooseSecret(server.Secrets, r.Keys); err != nil {
		server.Count("peer-refused.foreign-fleet")
		return nil, drpcerr.WithCode(err, codeForeign)
	}
	return &wire.HelloReply{
		Oldest: server.Versions.Oldest, Newest: server.Versions.Newest, Key: uint32(s.secret.KeyNumber),
		Nonce: s.transcript.serverNonce, Proof: s.secret.prove(roleServer, s.transcript),
	}, nil
}

// Prove implements wire.DRPCPeersServer.
func (s *Session) Prove(_ context.Context, r *wire.ProveRequest) (*wire.ProveReply, error) {
	if s.transcript.clientNonce == nil || s.isAuthenticated() {
		return nil, drpcerr.WithCode(errUnauthenticated, codeUnauthenticated)
	}
	if err := s.secret.verify(roleClient, s.transcript, r.Proof); err != nil {
		s.server.Count("peer-refused.foreign-fleet")
		return nil, drpcerr.WithCode(err, codeForeign)
	}
	close(s.authenticated)
	return &wire.ProveReply{}, nil
}

func (s *Session) isAuthenticated() bool {
	select {
	case <-s.authenticated:
		return true
	default:
		return false
	}
}

// CheckAuthenticated returns an error unless the peer is authenticated. Every call except the
// handshake's checks it first.
func (s *Session) CheckAuthenticated() error {
	if s.isAuthenticated() {
		return nil
	}
	s.server.Count("peer-refused.unproved")
	return drpcerr.WithCode(errUnauthenticated, codeUnauthenticated)
}
