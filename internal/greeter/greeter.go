// Package greeter accepts callers: it carries out the start-up of the PostgreSQL
// protocol and hands each caller to a session.
package greeter

import (
	"context"
	"encoding/binary"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const startTimeout = 10 * time.Second

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
	}

	ended struct{ err error }
)

// Run accepts callers until the context ends, and waits for their sessions.
func (g *Greeter) Run(ctx context.Context) error {
	l, err := g.Network.Listen(g.Address)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	accepted, failed, done := make(chan net.Conn), make(chan error, 1), make(chan ended)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				failed <- err
				return
			}
			select {
			case accepted <- c:
			case <-ctx.Done():
				_ = c.Close()
			}
		}
	}()
	running := 0
	for {
		select {
		case c := <-accepted:
			running++
			go func() { done <- ended{g.serve(ctx, c)} }()
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

func (g *Greeter) serve(ctx context.Context, conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	b := pgproto3.NewBackend(conn, conn)
	parameters, err := g.start(ctx, conn, b)
	if err != nil || parameters == nil {
		return err
	}
	s, refusal := g.Open(parameters)
	if refusal != nil {
		b.Send(&pgproto3.ErrorResponse{
			Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: refusal.Reason.SQLState,
			Message: refusal.Reason.Code + " " + refusal.Reason.Title, Detail: refusal.Detail, Hint: refusal.Hint(),
		})
		return b.Flush()
	}
	if err := welcome(b, s); err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Time{})
	s.Conn, s.Backend = conn, b
	return s.Run(ctx)
}

// start returns the caller's parameters; nil for a connection that only brought
// a cancel request.
func (g *Greeter) start(ctx context.Context, conn net.Conn, b *pgproto3.Backend) (map[string]string, error) {
	for {
		m, err := b.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "caller's start-up")
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return m.Parameters, nil
		case *pgproto3.CancelRequest:
			if g.Cancel != nil && len(m.SecretKey) == 4 {
				g.Cancel(ctx, m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			}
			return nil, nil
		default: // encryption is asked for
			if _, err := conn.Write([]byte("N")); err != nil {
				return nil, errors.Wrap(err, "refuse encryption")
			}
		}
	}
}

func welcome(b *pgproto3.Backend, s *relayer.Session) error {
	b.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0 (oriolegw)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{relayer.ParameterToken, s.Sealer.Seal(s.Service, s.Floor)},
	} {
		b.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	b.Send(&pgproto3.BackendKeyData{ProcessID: s.PID, SecretKey: binary.BigEndian.AppendUint32(nil, s.Secret)})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return b.Flush()
}
