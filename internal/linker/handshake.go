package linker

import (
	"context"

	"github.com/oriolegw/oriolegw/internal/linker/wire"
)

// Handshake serves only the handshake calls, for connections with services other than Peers.
type Handshake struct {
	wire.DRPCPeersUnimplementedServer
	Session *Session
}

// Hello implements wire.DRPCPeersServer.
func (h *Handshake) Hello(ctx context.Context, r *wire.HelloRequest) (*wire.HelloReply, error) {
	return h.Session.Hello(ctx, r)
}

// Prove implements wire.DRPCPeersServer.
func (h *Handshake) Prove(ctx context.Context, r *wire.ProveRequest) (*wire.ProveReply, error) {
	return h.Session.Prove(ctx, r)
}
