package acceptor

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/oriolegw/oriolegw/pkg/verifier"
)

// unknownUserVerifier replaces the verifier of unknown users, so that timing does not
// reveal which users exist.
var unknownUserVerifier = verifier.Verifier{Iterations: verifier.DefaultIterations, Salt: []byte("no such user"), StoredKey: []byte{0}}

// authenticate authenticates the client by the configured method.
func (s *startUp) authenticate(ctx context.Context, user string) *refuser.Refusal {
	switch s.acceptor.Authentication {
	case loader.AuthenticationTrust:
		return nil
	case loader.AuthenticationPassword:
		return s.checkPassword(ctx, user)
	}
	return refuser.New(refuser.BadPassword, "no authentication method is configured")
}

func (s *startUp) checkPassword(ctx context.Context, user string) *refuser.Refusal {
	if !s.encrypted { // also rejected when the settings are loaded
		return refuser.New(refuser.EncryptionRequired, "password authentication requires TLS")
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return receiveRefusal(err)
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return receiveRefusal(err)
	}
	m, err := s.backend.Receive()
	if err != nil {
		return receiveRefusal(err)
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return refuser.New(refuser.BadStartUp, "received %T instead of a password", m)
	}
	if !s.passwordMatches(ctx, user, p.Password) {
		return refuser.New(refuser.BadPassword, "user %q", user)
	}
	return nil
}

func (s *startUp) passwordMatches(ctx context.Context, user, password string) bool {
	v, err := verifier.Parse(s.acceptor.Verifier(user))
	if err != nil {
		v = unknownUserVerifier
	}
	matches := false
	startUpWork.run(ctx, func() { matches = v.Matches(password) })
	return matches && err == nil
}
