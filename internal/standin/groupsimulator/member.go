package groupsimulator

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// session is one client connection to a member.
type session struct {
	member *Member
	// customer is the client account named in STARTUP.
	customer           string
	transactionState   string
	readOnly           bool
	variables          map[string]string
	preparedStatements map[string]string
	pendingWrites      [][2]string
	out                *bufio.Writer
}

func (m *Member) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		m.group.goroutines.Go(func() { m.serveConn(c) })
	}
}

// serveConn runs the line protocol on one connection.
func (m *Member) serveConn(c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(m.group.ctx, func() { _ = c.Close() })
	defer stop()
	in := bufio.NewReader(c)
	s := &session{member: m, transactionState: "I", variables: map[string]string{}, preparedStatements: map[string]string{}, out: bufio.NewWriter(c)}
	line, err := readLine(in)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	errorCode := ""
	g := m.group
	g.mutex.Lock()
	m.openConns++
	m.acceptedConns++
	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != g.Name || len(f) > 3 && f[3] != m.ID:
		errorCode = "MISROUTED"
	case m.openConns > g.MaxConnections:
		errorCode = "MAXCONN"
	}
	g.mutex.Unlock()
	defer func() {
		g.mutex.Lock()
		m.openConns--
		g.mutex.Unlock()
	}()
	if len(f) > 2 {
		s.customer = f[2]
	}
	if errorCode != "" {
		fmt.Fprintf(s.out, "ERROR %s %s\r\n", errorCode, m.ID)
		_ = s.out.Flush()
		return
	}
	if g.HandshakeTime > 0 {
		m.slots.occupy(g.HandshakeTime)
	}
	s.writeReady()
	for s.out.Flush() == nil {
		line, err := readLine(in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.execute(id, text) {
			return
		}
	}
}

// readLine reads a message, which ends with CR LF only.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for !bytes.HasSuffix(line, []byte("\r\n")) {
		part, err := in.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, part...)
	}
	return string(line[:len(line)-2]), nil
}

func (s *session) writeReady() {
	fmt.Fprintf(s.out, "READY %s %s\r\n", s.transactionState, s.member.lastPosition())
}

func (m *Member) lastPosition() string {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.lastPositionLocked()
}

// lastPositionLocked returns the position of the last log entry; the caller holds the
// group's mutex.
func (m *Member) lastPositionLocked() string {
	if len(m.log) == 0 {
		return "1.0"
	}
	e := m.log[len(m.log)-1]
	return fmt.Sprintf("%d.%d", e.Term, e.Number)
}

func (s *session) complete(tag string, rows ...string) bool {
	for _, r := range rows {
		fmt.Fprintf(s.out, "DATAROW %s\r\n", r)
	}
	fmt.Fprintf(s.out, "COMPLETE %s\r\n", tag)
	s.writeReady()
	return true
}

func (s *session) failStatement(code string) bool {
	if s.transactionState == "T" {
		s.transactionState = "E"
	}
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.member.ID)
	s.writeReady()
	return true
}

// rejectStatement reports that a statement was not run; an open transaction is unaffected.
func (s *session) rejectStatement(code string) bool {
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.member.ID)
	s.writeReady()
	return true
}

// execute runs one statement. It returns false if the connection is to be closed without a
// response.
func (s *session) execute(id, text string) bool {
	m, g := s.member, s.member.group
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if !m.hasApplied(position) {
			return s.failStatement("LAGGING")
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.transactionState == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return s.failStatement("MALFORMED")
	}
	g.mutex.Lock()
	m.executed = append(m.executed, id+" "+text)
	m.executedByCustomer = append(m.executedByCustomer, s.customer+" "+text)
	isPrimary, term, rejectStatus := m.primary, m.term, m.rejectStatus
	g.mutex.Unlock()
	if rejectStatus && word == "STATUS" {
		return s.failStatement("BUSY")
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(word, rest)
	case "BEGIN":
		s.readOnly = rest == "FETCH"
		if !s.readOnly && !isPrimary {
			return s.failStatement("READONLY")
		}
		s.transactionState, s.pendingWrites = "T", nil
		return s.complete("-")
	case "ROLLBACK":
		s.transactionState, s.pendingWrites = "I", nil
		return s.complete("-")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.variables[name] = value
		return s.complete("-")
	case "PARSE":
		name, template, _ := strings.Cut(rest, " ")
		s.preparedStatements[name] = template
		return s.complete("-")
	case "DISCARD":
		s.variables, s.preparedStatements = map[string]string{}, map[string]string{}
		return s.complete("-")
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		template, ok := s.preparedStatements[name]
		if !ok {
			return s.failStatement("NOSTMT")
		}
		word, _, _ = strings.Cut(template, " ")
		rest = arguments
	}
	if s.transactionState == "T" && !s.readOnly && !isPrimary && (word != "COMMIT" || len(s.pendingWrites) > 0) {
		return s.failStatement("READONLY")
	}
	duration := g.StatementTime
	if g.ExtraTime != nil {
		duration += g.ExtraTime(rest)
	}
	if !m.slots.occupy(duration) {
		return s.rejectStatement("BUSY")
	}
	tag := fmt.Sprintf("%s.%d.%s", m.ID, term, id)
	switch word {
	case "FETCH":
		if m.dropReadResponse() {
			return true
		}
		return s.complete(tag, m.read(rest)+s.formatVariables())
	case "PUT":
		key, value, _ := strings.Cut(rest, " ")
		s.pendingWrites = append(s.pendingWrites, [2]string{key, value})
		if s.transactionState == "T" {
			return s.complete(tag)
		}
	case "COMMIT":
	default:
		return s.failStatement("MALFORMED")
	}
	return s.commit(tag)
}

// formatVariables returns the session's variables in sorted order, for tests to check.
func (s *session) formatVariables() string {
	var all []string
	for n, v := range s.variables {
		all = append(all, n+"="+v)
	}
	slices.Sort(all)
	if len(all) == 0 {
		return ""
	}
	return " with " + strings.Join(all, ",")
}

// commit applies the transaction's writes and responds, unless the member is demoted
// meanwhile or the response is to be dropped.
func (s *session) commit(tag string) bool {
	m, writes := s.member, s.pendingWrites
	s.transactionState, s.pendingWrites = "I", nil
	for _, w := range writes {
		if _, ok := m.commit(w[0], w[1]); !ok {
			return false
		}
	}
	return !s.dropWriteResponse(len(writes) > 0) && s.complete(tag)
}

// dropWriteResponse reports whether the response to a commit is to be dropped.
func (s *session) dropWriteResponse(hasWrites bool) bool {
	g := s.member.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !hasWrites || s.member.writeResponsesToDrop == 0 {
		return false
	}
	s.member.writeResponsesToDrop--
	return true
}

// dropReadResponse reports whether the response to a read is to be dropped.
func (m *Member) dropReadResponse() bool {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if m.readResponsesToDrop == 0 {
		return false
	}
	m.readResponsesToDrop--
	return true
}

// control handles the STATUS, PAUSE, RESUME and STEPDOWN commands.
func (s *session) control(word, rest string) bool {
	m, g := s.member, s.member.group
	term, _ := strconv.ParseUint(rest, 10, 64)
	g.mutex.Lock()
	switch {
	case word == "PAUSE" && term > m.term && !m.primary:
		m.pauseTerm = term
	case word == "RESUME":
		m.pauseTerm = notPaused
	case word == "STEPDOWN" && m.primary && m.term < term:
		m.primary = false
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", role, m.term, m.lastPositionLocked(), m.pauseTerm, cmp.Or(m.applyLag, g.ApplyLag).Milliseconds(), m.slots.pending(), m.openConns)
	g.mutex.Unlock()
	return s.complete("-", row)
}

// hasApplied reports whether the member has applied the log up to a position.
func (m *Member) hasApplied(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if t <= 1 && n == 0 {
		return true
	}
	for _, e := range m.appliedLocked() {
		if e.Term > t || e.Term == t && e.Number >= n {
			return true
		}
	}
	return false
}

// appliedLocked returns the log entries visible to reads; the caller holds the group's
// mutex.
func (m *Member) appliedLocked() []Entry {
	if m.primary {
		return m.log
	}
	n := len(m.log)
	for n > 0 && time.Since(m.log[n-1].committedAt) < m.group.ReplicationDelay+cmp.Or(m.applyLag, m.group.ApplyLag) {
		n--
	}
	return m.log[:n]
}

func (m *Member) read(key string) string {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	value := "none"
	for _, e := range m.appliedLocked() {
		if e.Key == key {
			value = e.Value
		}
	}
	return value
}
