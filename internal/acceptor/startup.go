package acceptor

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

const (
	// protocolOption is the prefix of start-up parameters that request protocol
	// extensions.
	protocolOption = "_pq_."

	// maxStartMessage and maxMessage are the limits in bytes of messages before and after
	// authentication. The session refuses large requests below maxMessage.
	maxStartMessage = 4 << 10
	maxMessage      = 64 << 20

	// cancelKeyBytes is the length of the cancel secrets that sessions get.
	cancelKeyBytes = 4

	parameterUser        = "user"
	parameterOptions     = "options"
	parameterReplication = "replication"
)

// startUp carries out the start-up of one client connection.
type startUp struct {
	acceptor *Acceptor
	conn     net.Conn
	backend  *pgproto3.Backend
	// overLimit is set for a client above the limit, which receives only a refusal.
	overLimit bool
	// encrypted is set once TLS is active. encryptionRequests counts declined requests.
	encrypted          bool
	encryptionRequests int
}

// run carries out the start-up. It returns neither session nor error for a connection that
// only carried a cancel request.
func (s *startUp) run(ctx context.Context) (*relayer.Session, error) {
	s.backend = newBackend(s.conn)
	m, refusal := s.receiveStartUp(ctx)
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	if m == nil {
		s.acceptor.count(CountCancels)
		return nil, nil
	}
	parameters, refusal := s.validate(m)
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	if refusal := s.authenticate(ctx, parameters[parameterUser]); refusal != nil {
		return nil, s.refuse(refusal)
	}
	session, refusal := s.acceptor.Open(parameters)
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	s.backend.SetMaxBodyLen(maxMessage)
	session.Conn, session.Backend = s.conn, s.backend
	return session, sendWelcome(s.backend, session)
}

func newBackend(conn net.Conn) *pgproto3.Backend {
	b := pgproto3.NewBackend(conn, conn)
	b.SetMaxBodyLen(maxStartMessage)
	return b
}

// receiveStartUp negotiates encryption and returns the start-up message, or nil for a cancel
// request.
func (s *startUp) receiveStartUp(ctx context.Context) (*pgproto3.StartupMessage, *refuser.Refusal) {
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, receiveRefusal(err)
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			if s.acceptor.Cancel != nil && len(m.SecretKey) == cancelKeyBytes {
				s.acceptor.Cancel(ctx, m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			}
			return nil, nil
		case *pgproto3.SSLRequest:
			if refusal := s.startTLS(ctx); refusal != nil {
				return nil, refusal
			}
		default: // GSSAPI encryption
			if refusal := s.declineEncryption(); refusal != nil {
				return nil, refusal
			}
		}
	}
}

// receiveRefusal returns the refusal for a timeout or a protocol violation.
func receiveRefusal(err error) *refuser.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuser.New(refuser.StartUpTimeout, "no complete message arrived in time")
	}
	return refuser.New(refuser.BadStartUp, "%v", err)
}

// declineEncryption declines an encryption request; the client may continue unencrypted. A
// driver requests each method at most once, so more requests are refused.
func (s *startUp) declineEncryption() *refuser.Refusal {
	const maxRequests = 2 // TLS and GSSAPI
	if s.encryptionRequests++; s.encryptionRequests > maxRequests || s.encrypted {
		return refuser.New(refuser.BadStartUp, "encryption was requested again")
	}
	if _, err := s.conn.Write([]byte("N")); err != nil {
		return receiveRefusal(err)
	}
	return nil
}

// startTLS performs the TLS handshake. It replaces the backend, so that plaintext that was
// already buffered, possibly injected by an attacker, is discarded.
func (s *startUp) startTLS(ctx context.Context) *refuser.Refusal {
	if s.acceptor.TLS == nil || s.acceptor.EncryptionMode == loader.EncryptionOff {
		return s.declineEncryption()
	}
	if s.encrypted {
		return refuser.New(refuser.BadStartUp, "encryption was requested again")
	}
	if _, err := s.conn.Write([]byte("S")); err != nil {
		return receiveRefusal(err)
	}
	c := tls.Server(s.conn, s.acceptor.TLS)
	if err := c.HandshakeContext(ctx); err != nil {
		return receiveRefusal(errors.Wrap(err, "TLS"))
	}
	s.conn, s.backend, s.encrypted = c, newBackend(c), true
	return nil
}

// validate checks a start-up message and returns its parameters.
func (s *startUp) validate(m *pgproto3.StartupMessage) (map[string]string, *refuser.Refusal) {
	parameters := map[string]string{}
	var unknown []string
	for k, v := range m.Parameters {
		if strings.HasPrefix(k, protocolOption) {
			unknown = append(unknown, k)
			continue
		}
		parameters[k] = v
	}
	if err := expandOptions(parameters); err != nil {
		return nil, refuser.New(refuser.BadStartUp, "%v", err)
	}
	switch r := strings.ToLower(parameters[parameterReplication]); {
	case s.overLimit:
		return nil, refuser.New(refuser.TooManyCallers, "limit %d", s.acceptor.Limits.Callers)
	case s.acceptor.EncryptionMode == loader.EncryptionRequire && !s.encrypted:
		return nil, refuser.New(refuser.EncryptionRequired, "use sslmode=require or stricter")
	case parameters[parameterUser] == "":
		return nil, refuser.New(refuser.BadStartUp, "no user given")
	case r != "" && r != "false" && r != "off" && r != "no" && r != "0":
		return nil, refuser.New(refuser.NoReplication, "replication=%s", r)
	}
	delete(parameters, parameterReplication)
	if len(unknown) > 0 {
		s.backend.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: m.ProtocolVersion, UnrecognizedOptions: unknown})
	}
	return parameters, nil
}

// expandOptions replaces the parameter "options" by the parameters in it, given as
// "-c name=value" or "--name=value" and escaped by backslashes. Clients use it where a driver
// supports only libpq's parameters.
func expandOptions(parameters map[string]string) error {
	words := splitOptions(parameters[parameterOptions])
	delete(parameters, parameterOptions)
	for i := 0; i < len(words); i++ {
		word, ok := strings.CutPrefix(words[i], "--")
		if !ok {
			if word, ok = strings.CutPrefix(words[i], "-c"); !ok {
				return errors.Errorf("options: %q is not supported, want -c name=value or --name=value", words[i])
			}
			if word == "" && i+1 < len(words) {
				i++
				word = words[i]
			}
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok || name == "" {
			return errors.Errorf("options: %q is not name=value", word)
		}
		parameters[name] = value
	}
	return nil
}

func splitOptions(options string) []string {
	var words []string
	var word strings.Builder
	escaped, inWord := false, false
	for _, r := range options {
		switch {
		case escaped:
			word.WriteRune(r)
			escaped = false
		case r == '\\':
			escaped, inWord = true, true
		case r == ' ' || r == '\t' || r == '\n':
			if inWord {
				words = append(words, word.String())
			}
			word.Reset()
			inWord = false
		default:
			word.WriteRune(r)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

// refuse sends a refusal to the client and returns it as an error.
func (s *startUp) refuse(r *refuser.Refusal) error {
	s.acceptor.count(countRefused + r.Reason.Name)
	s.acceptor.count(CountFailed)
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: r.Reason.SQLState,
		Message: r.Reason.Code + " " + r.Reason.Title, Detail: r.Detail, Hint: r.Hint(),
	})
	if err := s.backend.Flush(); err != nil && !errors.Is(err, io.ErrClosedPipe) {
		return errors.Wrap(err, r.Error())
	}
	return r
}

func sendWelcome(b *pgproto3.Backend, s *relayer.Session) error {
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
