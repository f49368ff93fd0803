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

// Protocol parameters of a member. Position and commit are reported before ReadyForQuery when
// they change.
const (
	// ParameterPosition is the newest position visible to the session.
	ParameterPosition = "oriole.position"
	// ParameterCommit is the position of the last committed transaction.
	ParameterCommit = "oriole.commit"
	// ParameterTerm, sent at start-up, binds the connection to the term of a primary.
	ParameterTerm = "oriole.term"
)

type (
	// session is a client connection to the member.
	session struct {
		member        *Member
		conn          net.Conn
		backend       *pgproto3.Backend
		application   string
		term          uint64 // 0 when not bound to a term
		pid           uint32
		secret        uint32
		unresponsive  atomic.Bool
		cancelRunning atomic.Pointer[context.CancelFunc]
		stop          context.CancelFunc // ends the session

		inTransaction    bool // inside a transaction block
		failed           bool
		skipUntilSync    bool // after an error, until Sync
		ranStatement     bool // a statement has run since the last ReadyForQuery
		stagedOps        []Op
		commitPosition   orderer.Position // of the current exchange; zero without a commit
		reportedPosition string
		settings         map[string]string
		statements       map[string]*prepared
		portals          map[string]*portal
	}

	prepared struct {
		sql           string
		statementKind *statementKind
		args          []string
		paramCount    int
	}

	portal struct {
		statement *prepared
		params    []string
		formats   []int16
	}
)

var errClosed = errors.New("session closed")

// serve handles a connection from start-up to its end.
func (m *Member) serve(ctx context.Context, conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if m.refusesConnections() {
		return errClosed
	}
	if err := m.Faults.waitWhileFrozen(ctx); err != nil {
		return err
	}
	sleep(ctx, m.Faults.readDuration(func() time.Duration { return m.Faults.acceptDelay }))
	s := &session{
		member: m, conn: conn, backend: pgproto3.NewBackend(conn, conn),
		settings: map[string]string{}, statements: map[string]*prepared{}, portals: map[string]*portal{},
	}
	replicate, err := s.receiveStartup(ctx)
	if err != nil {
		return err
	}
	if replicate {
		return m.serveStream(ctx, conn)
	}
	ctx, s.stop = context.WithCancel(ctx)
	defer s.stop()
	if !m.addSession(s) {
		return errClosed
	}
	defer func() {
		m.mutex.Lock()
		delete(m.sessions, s)
		m.Counter.add(-1)
		m.markIdle(s)
		m.notify()
		m.mutex.Unlock()
	}()
	return s.receiveMessages(ctx)
}

func (m *Member) refusesConnections() bool {
	m.Faults.mutex.Lock()
	defer m.Faults.mutex.Unlock()
	return m.Faults.refuseConnections
}

func (s *session) receiveStartup(ctx context.Context) (replicate bool, err error) {
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
			return s.handleStartup(ctx, msg.Parameters)
		}
	}
}

func (s *session) handleStartup(ctx context.Context, parameters map[string]string) (replicate bool, err error) {
	m := s.member
	if parameters["replication"] == replicationMode {
		// The follower waits for this message before its stream request, which the backend could
		// otherwise read ahead together with the start-up message and lose.
		s.backend.Send(&pgproto3.AuthenticationOk{})
		return true, s.backend.Flush()
	}
	if parameters[ParameterEvict] != "" {
		return false, s.handleEvict(ctx, parameters)
	}
	if pid := parameters[ParameterActivity]; pid != "" {
		return false, s.handleActivity(pid)
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
	return false, s.sendReady()
}

// cancel cancels the running statement of the session with the given key.
func (m *Member) cancel(pid, secret uint32) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for s := range m.sessions {
		if s.pid == pid && s.secret == secret {
			if stop := s.cancelRunning.Load(); stop != nil {
				(*stop)()
			}
		}
	}
}

func (s *session) receiveMessages(ctx context.Context) error {
	for {
		msg, err := s.backend.Receive()
		if s.unresponsive.Load() { // ignore the end of the connection, too
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
		if err := s.member.Faults.waitWhileFrozen(ctx); err != nil {
			return err
		}
		if err := s.handleMessage(ctx, msg); err != nil {
			s.rollback()
			return err
		}
	}
}

func (s *session) handleMessage(ctx context.Context, msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		s.skipUntilSync = false
		s.handleQuery(ctx, msg.String)
		return s.sendReady()
	case *pgproto3.Sync:
		s.skipUntilSync = false
		s.endImplicit()
		return s.sendReady()
	case *pgproto3.Flush:
		return s.backend.Flush()
	case *pgproto3.Terminate:
		return errClosed
	}
	if s.skipUntilSync {
		return nil
	}
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		s.handleParse(msg)
	case *pgproto3.Bind:
		s.handleBind(msg)
	case *pgproto3.Describe:
		s.handleDescribe(msg)
	case *pgproto3.Execute:
		s.handleExecute(ctx, msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.statements, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	default:
		s.sendError(&sqlError{Code: codeUnsupported, Message: "message not supported"})
	}
	return nil
}

// sendReady reports changed parameters and sends ReadyForQuery. With DropNextResponse, it closes the
// connection instead, after the commit.
func (s *session) sendReady() error {
	m := s.member
	if !s.commitPosition.IsZero() {
		if m.Faults.takeDroppedResponse() {
			return errClosed
		}
		s.backend.Send(&pgproto3.ParameterStatus{Name: ParameterCommit, Value: s.commitPosition.String()})
		s.commitPosition = orderer.Position{}
	}
	m.mutex.Lock()
	p := m.wal.replayedPosition().String()
	if !s.inTransaction {
		m.markIdle(s)
	}
	m.mutex.Unlock()
	if p != s.reportedPosition {
		s.reportedPosition = p
		s.backend.Send(&pgproto3.ParameterStatus{Name: ParameterPosition, Value: p})
	}
	status := byte('I')
	if s.failed {
		status = 'E'
	} else if s.inTransaction {
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	ranStatement := s.ranStatement
	s.ranStatement = false
	if !ranStatement {
		return nil
	}
	if delay, due := m.Faults.takeExtraResponse(); due {
		return s.sendExtraResponse(delay, status)
	}
	return nil
}

// sendExtraResponse sends an unsolicited response after a delay.
func (s *session) sendExtraResponse(delay time.Duration, status byte) error {
	time.Sleep(delay)
	s.backend.Send(describeRows(valueColumn))
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("stray")}})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.backend.Flush()
}
