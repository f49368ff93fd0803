package exchanger

import (
	"context"

	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"storj.io/drpc/drpcmux"
)

// peerServer serves one connection of a peer.
type peerServer struct {
	wire.DRPCNeighboursUnimplementedServer
	session   *linker.Session
	exchanger *Exchanger
}

// Register registers the services of this package for a connection of linker.Server.
func (e *Exchanger) Register(m *drpcmux.Mux, s *linker.Session) error {
	if err := wire.DRPCRegisterPeers(m, &linker.Handshake{Session: s}); err != nil {
		return err
	}
	return wire.DRPCRegisterNeighbours(m, &peerServer{session: s, exchanger: e})
}

// Lend implements wire.DRPCNeighboursServer.
func (s *peerServer) Lend(stream wire.DRPCNeighbours_LendStream) error {
	if err := s.session.CheckAuthenticated(); err != nil {
		return err
	}
	if s.exchanger.Lend == nil {
		return s.DRPCNeighboursUnimplementedServer.Lend(stream)
	}
	return s.exchanger.Lend(stream)
}

// Account implements wire.DRPCNeighboursServer.
func (s *peerServer) Account(ctx context.Context, r *wire.AccountRequest) (*wire.AccountReply, error) {
	if err := s.session.CheckAuthenticated(); err != nil {
		return nil, err
	}
	if s.exchanger.Account == nil {
		return s.DRPCNeighboursUnimplementedServer.Account(ctx, r)
	}
	return s.exchanger.Account(r), nil
}

// RenewLeases implements wire.DRPCNeighboursServer.
func (s *peerServer) RenewLeases(ctx context.Context, r *wire.LeaseRequest) (*wire.LeaseReply, error) {
	if err := s.session.CheckAuthenticated(); err != nil {
		return nil, err
	}
	if s.exchanger.GrantLeases == nil {
		return s.DRPCNeighboursUnimplementedServer.RenewLeases(ctx, r)
	}
	return s.exchanger.renewLeases(r)
}

// Tell implements wire.DRPCNeighboursServer.
func (s *peerServer) Tell(_ context.Context, r *wire.TellRequest) (*wire.TellReply, error) {
	if err := s.session.CheckAuthenticated(); err != nil {
		return nil, err
	}
	return s.exchanger.HandleRequest(r), nil
}
