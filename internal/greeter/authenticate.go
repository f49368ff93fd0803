package greeter

import (
	"context"
	"runtime"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/oriolegw/oriolegw/pkg/verifier"
)

var (
	// checks bounds the passwords that are checked at once. Each costs about a
	// millisecond of processor time by design; when all callers come back after
	// a failover, unbounded checks would take the processors from the requests
	// of those that are connected. Half of the processors stay for them.
	checks = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))

	// nobody is checked in place of a user that does not exist, so that the
	// time taken doesn't tell which users do.
	nobody = verifier.Verifier{Iterations: verifier.DefaultIterations, Salt: []byte("no such user"), StoredKey: []byte{0}}
)

// authenticate makes the caller prove who it is.
func (s *start) authenticate(ctx context.Context, user string) *refuser.Refusal {
	switch s.greeter.Authentication {
	case loader.Trust:
		return nil
	case loader.Password:
		return s.askPassword(ctx, user)
	}
	return refuser.New(refuser.BadPassword, "no way of authentication is set")
}

func (s *start) askPassword(ctx context.Context, user string) *refuser.Refusal {
	if !s.encrypted { // the settings' check demands it as well
		return refuser.New(refuser.EncryptionRequired, "a password must not cross the network in clear")
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return broken(err)
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return broken(err)
	}
	m, err := s.backend.Receive()
	if err != nil {
		return broken(err)
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return refuser.New(refuser.BadStartUp, "%T in place of a password", m)
	}
	if !s.matches(ctx, user, p.Password) {
		return refuser.New(refuser.BadPassword, "user %q", user)
	}
	return nil
}

func (s *start) matches(ctx context.Context, user, password string) bool {
	select {
	case checks <- struct{}{}:
		defer func() { <-checks }()
	case <-ctx.Done():
		return false
	}
	v, err := verifier.Parse(s.greeter.Verifier(user))
	if err != nil {
		v = nobody
	}
	return v.Matches(password) && err == nil
}
