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

func (s *session) simple(ctx context.Context, sql string) {
	statements := split(sql)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, q := range statements {
		sh, args := match(q)
		r := s.run(ctx, q, sh, args, nil)
		if r.Err != nil {
			s.fail(r.Err)
			return
		}
		if r.Copy {
			s.backend.Send(&pgproto3.CopyInResponse{})
			_ = s.backend.Flush()
			return
		}
		if r.Columns != nil {
			s.backend.Send(describeRows(r.Columns))
		}
		s.rows(r, nil)
	}
	s.endImplicit()
}

func (s *session) rows(r result, formats []int16) {
	cut := s.member.Faults.takeCut(len(r.Rows))
	for i, row := range r.Rows {
		if cut > 0 && i == cut {
			_ = s.backend.Flush()
			_ = s.conn.Close()
			return
		}
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encode(v, r.Columns[i].OID, format(formats, i))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.Tag)})
}

func format(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func encode(v string, oid uint32, format int16) []byte {
	if format == 0 || oid == oidText {
		return []byte(v)
	}
	if oid == oidBool {
		if v == "t" {
			return []byte{1}
		}
		return []byte{0}
	}
	n, _ := strconv.ParseInt(v, 10, 64)
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

func describeRows(columns []column) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c.Name), DataTypeOID: c.OID, DataTypeSize: -1, TypeModifier: -1})
	}
	return d
}

func (s *session) parse(msg *pgproto3.Parse) {
	sh, args := match(msg.Query)
	if sh == nil && msg.Query != "" {
		s.fail(&refusal{Code: "42601", Message: "statement shape not known to the stand-in: " + msg.Query})
		return
	}
	s.statements[msg.Name] = &prepared{sql: msg.Query, shape: sh, args: args, params: countParams(msg.Query)}
	s.backend.Send(&pgproto3.ParseComplete{})
}

func (s *session) bind(msg *pgproto3.Bind) {
	st := s.statements[msg.PreparedStatement]
	if st == nil {
		s.fail(&refusal{Code: "26000", Message: "prepared statement does not exist: " + msg.PreparedStatement})
		return
	}
	p := &portal{statement: st, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for _, v := range msg.Parameters {
		p.params = append(p.params, string(v))
	}
	s.portals[msg.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
}

func (s *session) describe(msg *pgproto3.Describe) {
	var st *prepared
	if msg.ObjectType == 'S' {
		if st = s.statements[msg.Name]; st != nil {
			oids := make([]uint32, st.params)
			for i := range oids {
				oids[i] = oidText
			}
			s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
	} else if p := s.portals[msg.Name]; p != nil {
		st = p.statement
	}
	switch {
	case st == nil:
		s.fail(&refusal{Code: "26000", Message: "nothing to describe: " + msg.Name})
	case st.shape == nil || st.shape.Columns == nil:
		s.backend.Send(&pgproto3.NoData{})
	default:
		s.backend.Send(describeRows(st.shape.Columns))
	}
}

func (s *session) execute(ctx context.Context, msg *pgproto3.Execute) {
	p := s.portals[msg.Portal]
	if p == nil {
		s.fail(&refusal{Code: "34000", Message: "portal does not exist: " + msg.Portal})
		return
	}
	if p.statement.shape == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	r := s.run(ctx, p.statement.sql, p.statement.shape, p.statement.args, p.params)
	if r.Err != nil {
		s.fail(r.Err)
		return
	}
	s.rows(r, p.formats)
}

func (s *session) fail(r *refusal) {
	severity := "ERROR"
	if r.Fatal {
		severity = "FATAL"
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: severity, Code: r.Code, Message: r.Message})
	s.skip = true
	if s.open {
		s.failed = true
	} else {
		s.ops = nil
	}
}

// run executes one statement in a slot and records it.
func (s *session) run(ctx context.Context, sql string, sh *shape, args, params []string) result {
	if sh == nil {
		return result{Err: &refusal{Code: "42601", Message: "statement shape not known to the stand-in: " + sql}}
	}
	if s.failed && sh.Name != "commit" && sh.Name != "rollback" {
		return result{Err: &refusal{Code: codeAborted, Message: "current transaction is aborted"}}
	}
	if r := s.refuse(sh); r != nil {
		s.member.record(Record{Application: s.application, Statement: sql, Code: r.Code})
		return result{Err: r}
	}
	s.worked = !controls[sh.Name]
	ctx, stop := context.WithCancel(ctx)
	s.running.Store(&stop)
	defer func() { s.running.Store(nil); stop() }()
	if !controls[sh.Name] {
		s.member.occupy(ctx)
	}
	if err := s.member.Faults.pass(ctx); err != nil {
		return result{Err: &refusal{Code: "57014", Message: "canceling statement due to user request"}}
	}
	r := sh.Run(ctx, s, bind(args, params))
	if !controls[sh.Name] {
		rec := Record{Application: s.application, Statement: sql}
		if r.Err != nil {
			rec.Code = r.Err.Code
		}
		s.member.record(rec)
	}
	return r
}

// controls are the shapes that need no slot and are not recorded.
var controls = map[string]bool{
	"status": true, "await": true, "replayed": true, "activity": true,
	"fence": true, "drain": true, "promote": true, "follow": true,
}

func (m *Member) record(r Record) {
	r.At = time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.journal = append(m.journal, r)
}

// occupy waits for a slot and holds it for the time that a statement takes.
func (m *Member) occupy(ctx context.Context) {
	if m.slots != nil {
		select {
		case m.slots <- struct{}{}:
			defer func() { <-m.slots }()
		case <-ctx.Done():
			return
		}
	}
	sleep(ctx, m.Work+m.Faults.read(func() time.Duration { return m.Faults.slow }))
}

// refuse decides, before anything runs, whether the member may run a statement.
func (s *session) refuse(sh *shape) *refusal {
	if controls[sh.Name] {
		return nil
	}
	m := s.member
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s.term != 0 && m.draining && !m.active[s] {
		return &refusal{Code: CodeFenced, Message: "draining: the primary is about to be replaced", Fatal: true}
	}
	if s.term != 0 && (m.role != RolePrimary || m.term != s.term) {
		return &refusal{Code: CodeFenced, Message: "fenced: the connection belongs to an older term", Fatal: true}
	}
	if sh.Write && m.role != RolePrimary {
		return &refusal{Code: CodeReadOnly, Message: "cannot execute a write in a read-only transaction"}
	}
	m.active[s] = true
	return nil
}

// idle notes that nothing of a session is under way; the mutex is held.
func (m *Member) idle(s *session) {
	if m.active[s] {
		delete(m.active, s)
		if m.draining {
			m.notify()
		}
	}
}

// stage keeps a change until the transaction commits.
func (s *session) stage(o Op) { s.ops = append(s.ops, o) }

func (s *session) change(o Op, verb string) result {
	if _, ok := s.get(o.Table, o.Key); !ok {
		return result{Tag: verb + " 0"}
	}
	s.stage(o)
	return result{Tag: verb + " 1"}
}

// view is a table as the session sees it, its own changes included.
func (s *session) view(table string) map[string]string {
	s.member.mutex.Lock()
	defer s.member.mutex.Unlock()
	v := rows{table: {}}
	for k, x := range s.member.ledger.visible[table] {
		v[table][k] = x
	}
	v.apply(s.ops)
	return v[table]
}

func (s *session) get(table, key string) (string, bool) {
	if len(s.ops) == 0 {
		return s.member.Value(table, key)
	}
	v, ok := s.view(table)[key]
	return v, ok
}

// endImplicit commits what ran outside a transaction block.
func (s *session) endImplicit() {
	if s.open || s.skip {
		return
	}
	if r := s.commit(); r != nil {
		s.fail(r)
	}
}

// commit appends the staged changes to the log in one step with the check that
// this member is still the primary of the session's term.
func (s *session) commit() *refusal {
	m := s.member
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ops := s.ops
	s.ops, s.open, s.failed = nil, false, false
	if len(ops) == 0 {
		return nil
	}
	if m.role != RolePrimary || (s.term != 0 && m.term != s.term) {
		return &refusal{Code: CodeFenced, Message: "fenced before commit: the transaction was rolled back", Fatal: true}
	}
	s.committed = m.ledger.append(m.term, ops)
	m.ledger.replay(len(m.ledger.entries))
	m.journal = append(m.journal, Record{At: time.Now(), Application: s.application, Ops: ops, Position: s.committed})
	m.notify()
	return nil
}

func (s *session) rollback() { s.ops, s.open, s.failed = nil, false, false }

// split cuts a simple query at semicolons outside quotes.
func split(sql string) []string {
	var out []string
	quoted, start := false, 0
	flush := func(end int) {
		if q := stripComment(sql[start:end]); q != "" {
			out = append(out, q)
		}
		start = end + 1
	}
	for i := range len(sql) {
		switch {
		case sql[i] == '\'':
			quoted = !quoted
		case sql[i] == ';' && !quoted:
			flush(i)
		}
	}
	if start < len(sql) {
		flush(len(sql))
	}
	return out
}
