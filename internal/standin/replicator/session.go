package replicator

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// Parameters that a member reports before ReadyForQuery, when they changed.
const (
	// ParameterPosition is the newest position whose rows the session can see.
	ParameterPosition = "oriole.position"
	// ParameterCommit is the position of the transaction that just committed.
	ParameterCommit = "oriole.commit"
	// ParameterTerm, sent at start-up, binds a connection to a primary's term.
	ParameterTerm = "oriole.term"
)

type (
	// session is one connection to the member.
	session struct {
		member      *Member
		conn        net.Conn
		backend     *pgproto3.Backend
		application string
		term        uint64 // 0 when not bound to a term
		pid         uint32
		secret      uint32
		silent      atomic.Bool
		running     atomic.Pointer[context.CancelFunc]
		stop        context.CancelFunc

		open       bool // inside a transaction block
		failed     bool
		skip       bool // after an error, until Sync
		worked     bool // a statement has run since the last ReadyForQuery
		ops        []Op
		committed  orderer.Position // what the current exchange committed
		reported   string
		settings   map[string]string
		statements map[string]*prepared
		portals    map[string]*portal
	}

	prepared struct {
		sql    string
		shape  *shape
		args   []string
		params int
	}

	portal struct {
		statement *prepared
		params    []string
		formats   []int16
	}
)

var errClosed = errors.New("session closed")

// serve runs one connection from start-up to its end.
func (m *Member) serve(ctx context.Context, conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if m.refuses() {
		return errClosed
	}
	if err := m.Faults.pass(ctx); err != nil {
		return err
	}
	sleep(ctx, m.Faults.read(func() time.Duration { return m.Faults.acceptLag }))
	s := &session{
		member: m, conn: conn, backend: pgproto3.NewBackend(conn, conn),
		settings: map[string]string{}, statements: map[string]*prepared{}, portals: map[string]*portal{},
	}
	replicate, err := s.start(ctx)
	if err != nil {
		return err
	}
	if replicate {
		return m.feed(ctx, conn)
	}
	ctx, s.stop = context.WithCancel(ctx)
	defer s.stop()
	if !m.admit(s) {
		return errClosed
	}
	defer func() {
		m.mutex.Lock()
		delete(m.sessions, s)
		m.Counter.add(-1)
		m.idle(s)
		m.notify()
		m.mutex.Unlock()
	}()
	return s.loop(ctx)
}

func (m *Member) refuses() bool {
	m.Faults.mutex.Lock()
	defer m.Faults.mutex.Unlock()
	return m.Faults.refuse
}

func (s *session) start(ctx context.Context) (replicate bool, err error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false, errors.Wrap(err, "start-up")
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte("N")); err != nil {
				return false, errors.Wrap(err, "refuse encryption")
			}
		case *pgproto3.CancelRequest:
			s.member.cancel(msg.ProcessID, binary.BigEndian.Uint32(msg.SecretKey))
			return false, errClosed
		case *pgproto3.StartupMessage:
			return s.welcome(ctx, msg.Parameters)
		}
	}
}

func (s *session) welcome(ctx context.Context, parameters map[string]string) (replicate bool, err error) {
	m := s.member
	if parameters["replication"] == replicationMode {
		// The follower waits for this before its hello. Sent at once, the hello
		// could arrive together with the start-up message, be read ahead by the
		// backend and lost: both ends would then wait for good.
		s.backend.Send(&pgproto3.AuthenticationOk{})
		return true, s.backend.Flush()
	}
	if parameters[ParameterEvict] != "" {
		return false, s.answerEviction(ctx, parameters)
	}
	if pid := parameters[ParameterActivity]; pid != "" {
		return false, s.answerActivity(pid)
	}
	sleep(ctx, m.ConnectTime)
	s.application = parameters["application_name"]
	s.term, _ = strconv.ParseUint(parameters[ParameterTerm], 10, 64)
	m.mutex.Lock()
	m.nextPID++
	s.pid, s.secret = m.nextPID, m.nextPID*2654435761
	fenced := s.term != 0 && (m.role != RolePrimary || m.term != s.term)
	revoked := m.revoked[s.application]
	m.mutex.Unlock()
	if revoked {
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: CodeRevoked, Message: "connections of this application have been revoked: " + s.application})
		_ = s.backend.Flush()
		return false, errClosed
	}
	if fenced {
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: CodeFenced, Message: "not the primary of term " + strconv.FormatUint(s.term, 10)})
		_ = s.backend.Flush()
		return false, errClosed
	}
	secret := make([]byte, 4)
	binary.BigEndian.PutUint32(secret, s.secret)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0 (oriolegw stand-in)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secret})
	return false, s.ready()
}

// cancel ends the running statement of the session with this key.
func (m *Member) cancel(pid, secret uint32) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for s := range m.sessions {
		if s.pid == pid && s.secret == secret {
			if stop := s.running.Load(); stop != nil {
				(*stop)()
			}
		}
	}
}

func (s *session) loop(ctx context.Context) error {
	for {
		msg, err := s.backend.Receive()
		if s.silent.Load() { // not even the caller's end gets through
			<-ctx.Done()
			return ctx.Err()
		}
		if err != nil {
			s.rollback()
			if errors.Is(err, io.EOF) {
				return nil
			}
			return errors.Wrap(err, "receive")
		}
		if err := s.member.Faults.pass(ctx); err != nil {
			return err
		}
		if err := s.handle(ctx, msg); err != nil {
			s.rollback()
			return err
		}
	}
}

func (s *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		s.skip = false
		s.simple(ctx, msg.String)
		return s.ready()
	case *pgproto3.Sync:
		s.skip = false
		s.endImplicit()
		return s.ready()
	case *pgproto3.Flush:
		return s.backend.Flush()
	case *pgproto3.Terminate:
		return errClosed
	}
	if s.skip {
		return nil
	}
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		s.parse(msg)
	case *pgproto3.Bind:
		s.bind(msg)
	case *pgproto3.Describe:
		s.describe(msg)
	case *pgproto3.Execute:
		s.execute(ctx, msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.statements, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	default:
		s.fail(&refusal{Code: codeUnsupported, Message: "message not supported"})
	}
	return nil
}

// ready ends an exchange: what changed is reported, then ReadyForQuery. A lost
// answer closes the connection here, after the effect.
func (s *session) ready() error {
	m := s.member
	if !s.committed.IsZero() {
		if m.Faults.takeLose() {
			return errClosed
		}
		s.backend.Send(&pgproto3.ParameterStatus{Name: ParameterCommit, Value: s.committed.String()})
		s.committed = orderer.Position{}
	}
	m.mutex.Lock()
	p := m.ledger.replayedPosition().String()
	if !s.open {
		m.idle(s)
	}
	m.mutex.Unlock()
	if p != s.reported {
		s.reported = p
		s.backend.Send(&pgproto3.ParameterStatus{Name: ParameterPosition, Value: p})
	}
	status := byte('I')
	if s.failed {
		status = 'E'
	} else if s.open {
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	worked := s.worked
	s.worked = false
	if !worked {
		return nil
	}
	if later, on := m.Faults.takeStray(); on {
		return s.stray(later, status)
	}
	return nil
}

// stray sends an answer that nobody asked for.
func (s *session) stray(later time.Duration, status byte) error {
	time.Sleep(later)
	s.backend.Send(describeRows(valueColumn))
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("stray")}})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.backend.Flush()
}
