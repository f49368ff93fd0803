package gossiper

import (
	"context"

	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"storj.io/drpc/drpcmux"
)

type (
	// Server answers calls from other instances. Set the exported fields; Register is the
	// linker.Server's callback for new connections.
	Server struct {
		// Exchange returns this instance's report.
		Exchange func(context.Context, *wire.ExchangeRequest) (*wire.Report, error)
		// OnAnnouncement processes a peer's announcement.
		OnAnnouncement func(context.Context, *wire.Announcement)
		// Configuration returns the document in force.
		Configuration func(*wire.FetchRequest) *wire.FetchReply
		// Cancel cancels a client request on this instance; it may be nil.
		Cancel func(ctx context.Context, pid, secret uint32) error
	}

	// peerSession is a connection from a peer.
	peerSession struct {
		*linker.Session
		server *Server
		// sender is the peer's identity, sent once per connection.
		sender *wire.Peer
	}
)

// Register registers the RPC service for a connection.
func (s *Server) Register(m *drpcmux.Mux, session *linker.Session) error {
	return wire.DRPCRegisterPeers(m, &peerSession{Session: session, server: s})
}

// Exchange implements wire.DRPCPeersServer.
func (p *peerSession) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.Report, error) {
	if err := p.CheckAuthenticated(); err != nil {
		return nil, err
	}
	if r.Sender != nil {
		p.sender = r.Sender
	}
	r.Sender = p.sender
	return p.server.Exchange(ctx, r)
}

// Announce implements wire.DRPCPeersServer.
func (p *peerSession) Announce(ctx context.Context, r *wire.Announcement) (*wire.AnnounceReply, error) {
	if err := p.CheckAuthenticated(); err != nil {
		return nil, err
	}
	p.server.OnAnnouncement(ctx, r)
	return &wire.AnnounceReply{}, nil
}

// FetchConfiguration implements wire.DRPCPeersServer.
func (p *peerSession) FetchConfiguration(_ context.Context, r *wire.FetchRequest) (*wire.FetchReply, error) {
	if err := p.CheckAuthenticated(); err != nil {
		return nil, err
	}
	return p.server.Configuration(r), nil
}

// Cancel implements wire.DRPCPeersServer.
func (p *peerSession) Cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	if err := p.CheckAuthenticated(); err != nil {
		return nil, err
	}
	if p.server.Cancel == nil {
		return &wire.CancelReply{}, nil
	}
	return &wire.CancelReply{}, p.server.Cancel(ctx, r.Pid, r.Secret)
}
