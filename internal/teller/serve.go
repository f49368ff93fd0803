package teller

import (
	"context"

	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"storj.io/drpc/drpcmux"
)

// peerServer serves one connection of a peer.
type peerServer struct {
	wire.DRPCNeighboursUnimplementedServer
	session *linker.Session
	teller  *Teller
}

// Register registers the services of this package for a connection of linker.Server.
func (t *Teller) Register(m *drpcmux.Mux, s *linker.Session) error {
	if err := wire.DRPCRegisterPeers(m, &linker.Handshake{Session: s}); err != nil {
		return err
	}
	return wire.DRPCRegisterNeighbours(m, &peerServer{session: s, teller: t})
}

// Lend implements wire.DRPCNeighboursServer.
func (s *peerServer) Lend(stream wire.DRPCNeighbours_LendStream) error {
	if err := s.session.Ready(); err != nil {
		return err
	}
	if s.teller.Lend == nil {
		return s.DRPCNeighboursUnimplementedServer.Lend(stream)
	}
	return s.teller.Lend(stream)
}

// Account implements wire.DRPCNeighboursServer.
func (s *peerServer) Account(ctx context.Context, r *wire.AccountRequest) (*wire.AccountReply, error) {
	if err := s.session.Ready(); err != nil {
		return nil, err
	}
	if s.teller.Account == nil {
		return s.DRPCNeighboursUnimplementedServer.Account(ctx, r)
	}
	return s.teller.Account(r), nil
}

// Tell implements wire.DRPCNeighboursServer.
func (s *peerServer) Tell(_ context.Context, r *wire.TellRequest) (*wire.TellReply, error) {
	if err := s.session.Ready(); err != nil {
		return nil, err
	}
	return s.teller.Answer(r), nil
}
