//go:build second_review

package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	replicationInterval = 300 * time.Microsecond
	memberSlots         = 5
	memberConnections   = 60
)

type (
	// entry is one committed write of a log. A transaction is one entry for each of its writes.
	entry struct {
		Term, Number uint64
		Item, Data   string
		StatementID  string
		committed    time.Time
	}

	// group is a replicated database as PROTOCOL.md describes it.
	group struct {
		name     string
		promote  time.Duration
		record   *record
		mutex    sync.Mutex
		members  map[string]*member
		source   *member
		ackedIDs map[string]uint64
		// lost lists the acknowledged commits that a promoted member lacked.
		lost []string
	}

	// member is one server of a group; the group's mutex guards its fields.
	member struct {
		id, zone, address string
		group             *group
		listener          net.Listener
		open              map[net.Conn]bool
		log               []entry
		received          []time.Time
		primary           bool
		term, pausedFor   uint64
		leaving, gone     bool
		// batch is what was sent to the member and hasn't arrived, from log index batchStart on.
		batch                   []entry
		batchStart              int
		batchArrives, nextBatch time.Time
		// receiveDelay returns how long an entry takes from another member's zone.
		receiveDelay func(fromZone string) time.Duration
		applyLag     time.Duration
		slots        chan struct{}
		busy, conns  int
		work         time.Duration
		seq          int64
		// rows, if set, is what a FETCH returns instead of one row.
		rows func(item string) []string
	}
)

func newGroup(name string, promote time.Duration, r *record) *group {
	g := &group{name: name, promote: promote, record: r, members: map[string]*member{}, ackedIDs: map[string]uint64{}}
	go g.replicate()
	return g
}

// join starts a member with a copy of the primary's log.
func (g *group) join(id, zone, ip string, primary bool, applyLag time.Duration, delay func(string) time.Duration) *member {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal(err)
	}
	m := &member{
		id: id, zone: zone, address: l.Addr().String(), group: g, listener: l, primary: primary, term: 1, receiveDelay: delay,
		applyLag: applyLag, open: map[net.Conn]bool{}, slots: make(chan struct{}, memberSlots), work: 2 * time.Millisecond,
	}
	g.mutex.Lock()
	if p := g.leader(); p != nil {
		m.log, m.term = slices.Clone(p.log), p.term
		m.received = make([]time.Time, len(m.log))
	}
	g.members[id] = m
	g.mutex.Unlock()
	g.record.line("member", "group", g.name, "id", id, "zone", zone, "primary", primary, "joined", true)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

// prefill gives all members the same old log up to a number.
func (g *group) prefill(n uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, m := range g.members {
		for k := uint64(len(m.log)) + 1; k <= n; k++ {
			m.log = append(m.log, entry{Term: 1, Number: k, Item: "old", Data: "x"})
			m.received = append(m.received, time.Time{})
		}
	}
}

func (g *group) leader() *member {
	var p *member
	for _, m := range g.members {
		if m.primary && !m.gone && (p == nil || m.term > p.term) {
			p = m
		}
	}
	return p
}

func (g *group) leaderID() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if p := g.leader(); p != nil {
		return p.id
	}
	return ""
}

func (g *group) update(id string, f func(m *member)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(g.members[id])
}

// acked records that a client was told of a commit.
func (g *group) acked(statementID string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ackedIDs[statementID] = 1
}

// order carries out a promotion: after the promote time, the member leads the next term.
func (g *group) order(id string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m := g.members[id]
	if m == nil || m.gone {
		return false
	}
	if !m.primary {
		time.AfterFunc(g.promote, func() { g.lead(m) })
	}
	return true
}

func (g *group) lead(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m.primary || m.gone {
		return
	}
	var term uint64
	for _, o := range g.members {
		term = max(term, o.term)
		o.primary, o.pausedFor, o.batch = false, 0, nil
	}
	m.primary, m.term = true, term+1
	held := map[string]bool{}
	for _, e := range m.log {
		held[e.StatementID] = true
	}
	var missing []string
	for id := range g.ackedIDs {
		if !held[id] {
			missing = append(missing, id)
		}
	}
	sort.Strings(missing)
	for _, id := range missing {
		delete(g.ackedIDs, id) // counted once
		g.lost = append(g.lost, id+" not in the log of "+m.id)
	}
	last := m.position()
	g.record.line("leads", "group", g.name, "member", m.id, "term", m.term, "had-received", last, "acknowledged-commits-missing", len(missing), "ids", strings.Join(missing[:min(len(missing), 20)], ","))
}

func (g *group) replicate() {
	for range time.Tick(replicationInterval) {
		g.mutex.Lock()
		g.replicateOnce(time.Now())
		g.mutex.Unlock()
	}
}

// replicateOnce sends each replica what it lacks, one batch after the other: the next one is sent when
// the primary has the receipt of the last. What a primary has sent arrives, also if it crashes meanwhile.
func (g *group) replicateOnce(now time.Time) {
	if p := g.leader(); p != nil {
		g.source = p
	}
	p := g.source
	if p == nil {
		return
	}
	for _, m := range g.members {
		if m == p || m.gone {
			continue
		}
		if m.pausedFor > m.term {
			m.batch = nil // sent again when it receives again
			continue
		}
		if !p.gone {
			n := min(len(m.log), len(p.log))
			for n > 0 && (m.log[n-1].Term != p.log[n-1].Term || m.log[n-1].StatementID != p.log[n-1].StatementID) {
				n--
			}
			if n < len(m.log) {
				m.log, m.received, m.batch = m.log[:n], m.received[:n], nil
			}
			m.term = max(m.term, p.term)
		}
		if m.batch != nil && !now.Before(m.batchArrives) {
			if m.batchStart == len(m.log) {
				m.log = append(m.log, m.batch...)
				for range m.batch {
					m.received = append(m.received, now)
				}
			}
			m.batch = nil
		}
		if !p.gone && m.batch == nil && len(m.log) < len(p.log) && !now.Before(m.nextBatch) {
			delay := m.receiveDelay(p.zone)
			m.batch, m.batchStart, m.batchArrives = slices.Clone(p.log[len(m.log):]), len(m.log), now.Add(delay)
			m.nextBatch = m.batchArrives.Add(delay)
		}
	}
}

// position is the end of the member's log; the mutex is held.
func (m *member) position() string {
	if len(m.log) == 0 {
		return fmt.Sprintf("%d.0", m.term)
	}
	e := m.log[len(m.log)-1]
	return fmt.Sprintf("%d.%d", e.Term, e.Number)
}

// applied is the part of the log that reads see; the mutex is held.
func (m *member) applied() []entry {
	if m.primary {
		return m.log
	}
	n, now := len(m.log), time.Now()
	for n > 0 && now.Sub(m.received[n-1]) < m.applyLag {
		n--
	}
	return m.log[:n]
}

type memberSession struct {
	m        *member
	w        *bufio.Writer
	state    string
	readOnly bool
	values   map[string]string
	prepared map[string]string
	pending  []entry
}

// readMessage reads one message: a line that CR LF terminates.
func readMessage(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, part...)
		if strings.HasSuffix(string(line), "\r\n") {
			return string(line[:len(line)-2]), nil
		}
	}
}

func (m *member) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	s := &memberSession{m: m, w: bufio.NewWriter(c), state: "I", values: map[string]string{}, prepared: map[string]string{}}
	line, err := readMessage(r)
	if err != nil {
		return
	}
	f := strings.Split(line, " ")
	g := m.group
	g.mutex.Lock()
	m.conns++
	m.open[c] = true
	full, gone := m.conns > memberConnections, m.gone
	g.mutex.Unlock()
	defer func() {
		g.mutex.Lock()
		m.conns--
		delete(m.open, c)
		g.mutex.Unlock()
	}()
	switch {
	case gone:
		return
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != g.name || len(f) > 3 && f[3] != m.id:
		fmt.Fprintf(s.w, "ERROR MISROUTED %s\r\n", m.id)
		_ = s.w.Flush()
		return
	case full:
		fmt.Fprintf(s.w, "ERROR MAXCONN %s\r\n", m.id)
		_ = s.w.Flush()
		return
	}
	s.ready()
	for s.w.Flush() == nil {
		line, err := readMessage(r)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		g.mutex.Lock()
		gone := m.gone
		g.mutex.Unlock()
		if gone || !s.run(id, text) {
			return
		}
	}
}

func (s *memberSession) ready() {
	s.m.group.mutex.Lock()
	defer s.m.group.mutex.Unlock()
	fmt.Fprintf(s.w, "READY %s %s\r\n", s.state, s.m.position())
}

func (s *memberSession) complete(signature string, rows ...string) bool {
	for _, r := range rows {
		s.w.WriteString("DATAROW ")
		s.w.WriteString(r)
		s.w.WriteString("\r\n")
	}
	fmt.Fprintf(s.w, "COMPLETE %s\r\n", signature)
	s.ready()
	return true
}

func (s *memberSession) fail(code string, ends bool) bool {
	if ends && s.state == "T" {
		s.state = "E"
	}
	fmt.Fprintf(s.w, "ERROR %s %s\r\n", code, s.m.id)
	s.ready()
	return true
}

// occupy runs a statement in a slot.
func (m *member) occupy() {
	m.group.mutex.Lock()
	m.busy++
	m.group.mutex.Unlock()
	m.slots <- struct{}{}
	time.Sleep(m.work)
	<-m.slots
	m.group.mutex.Lock()
	m.busy--
	m.group.mutex.Unlock()
}

func (s *memberSession) run(id, text string) bool {
	m, g := s.m, s.m.group
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if !m.holds(position) {
			return s.fail("LAGGING", false)
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return s.fail("MALFORMED", false)
	}
	g.mutex.Lock()
	primary := m.primary
	g.mutex.Unlock()
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(word, rest)
	case "BEGIN":
		s.readOnly = rest == "FETCH"
		if !s.readOnly && !primary {
			return s.fail("READONLY", false)
		}
		s.state, s.pending = "T", nil
		return s.complete("-")
	case "ROLLBACK":
		s.state, s.pending = "I", nil
		return s.complete("-")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return s.complete("-")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return s.complete("-")
	case "CLOSE":
		delete(s.prepared, rest)
		return s.complete("-")
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		return s.complete("-")
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT", false)
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if s.state == "T" && !s.readOnly && !primary && (word != "COMMIT" || len(s.pending) > 0) {
		return s.fail("READONLY", true)
	}
	if word == "PUT" && !primary {
		return s.fail("READONLY", true)
	}
	m.occupy()
	signature := fmt.Sprintf("%s.%s", m.id, id)
	switch word {
	case "FETCH":
		g.mutex.Lock()
		log := m.applied()
		value, last := "none", "none"
		for _, e := range log {
			if e.Item == rest {
				value = e.Data
			}
		}
		if len(log) > 0 {
			last = fmt.Sprintf("%d.%d", log[len(log)-1].Term, log[len(log)-1].Number)
		}
		g.mutex.Unlock()
		g.record.line("ran", "group", g.name, "member", m.id, "statement", id, "text", text, "values", formatValues(s.values), "log-end", last)
		if m.rows != nil {
			return s.complete(signature, m.rows(rest)...)
		}
		return s.complete(signature, value)
	case "PUT":
		item, data, _ := strings.Cut(rest, " ")
		g.record.line("ran", "group", g.name, "member", m.id, "statement", id, "text", text, "values", formatValues(s.values))
		s.pending = append(s.pending, entry{Item: item, Data: data, StatementID: id})
		if s.state == "T" {
			return s.complete(signature)
		}
	case "COMMIT":
		g.record.line("ran", "group", g.name, "member", m.id, "statement", id, "text", text)
	default:
		return s.fail("MALFORMED", false)
	}
	list := s.pending
	s.state, s.pending = "I", nil
	for _, e := range list {
		if !m.commit(e) {
			return false // lost the lead meanwhile: no answer
		}
	}
	return s.complete(signature)
}

// commit appends to the log of the primary, and waits until a replica has received it.
func (m *member) commit(e entry) bool {
	g := m.group
	g.mutex.Lock()
	if !m.primary {
		g.mutex.Unlock()
		return false
	}
	e.Term, e.Number, e.committed = m.term, uint64(len(m.log))+1, time.Now()
	m.log, m.received = append(m.log, e), append(m.received, e.committed)
	g.mutex.Unlock()
	for {
		time.Sleep(replicationInterval)
		g.mutex.Lock()
		leads, replicated := m.primary && m.term == e.Term && !m.gone, false
		for _, o := range g.members {
			n := int(e.Number)
			if o == m || o.gone || len(o.log) < n || o.log[n-1].Term != e.Term || o.log[n-1].StatementID != e.StatementID {
				continue
			}
			// The primary learns it when the receipt has arrived.
			replicated = replicated || time.Since(o.received[n-1]) >= m.receiveDelay(o.zone)
		}
		g.mutex.Unlock()
		if !leads {
			return false
		}
		if replicated {
			return true
		}
	}
}

func (s *memberSession) control(word, rest string) bool {
	m, g := s.m, s.m.group
	term, _ := strconv.ParseUint(rest, 10, 64)
	g.mutex.Lock()
	switch {
	case word == "PAUSE" && term > m.term && !m.primary:
		m.pausedFor = term
	case word == "RESUME":
		m.pausedFor = 0
	case word == "STEPDOWN" && m.primary && m.term < term:
		m.primary = false
		g.record.line("stepped-down", "group", g.name, "member", m.id, "position", m.position())
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", role, m.term, m.position(), m.pausedFor, m.applyLag.Milliseconds(), m.busy, m.conns)
	g.mutex.Unlock()
	return s.complete("-", row)
}

// holds reports whether the log that reads see has reached a position.
func (m *member) holds(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	log := m.applied()
	if n == 0 && t <= 1 {
		return true
	}
	if len(log) == 0 {
		return false
	}
	e := log[len(log)-1]
	return e.Term > t || e.Term == t && e.Number >= n
}

func formatValues(v map[string]string) string {
	var all []string
	for n, x := range v {
		all = append(all, n+"="+x)
	}
	sort.Strings(all)
	return strings.Join(all, ",")
}

// end ends a member, or crashes it: its connections break, and its log is gone with it.
func (g *group) end(id string) {
	g.mutex.Lock()
	m := g.members[id]
	m.gone, m.primary = true, false
	for c := range m.open {
		_ = c.Close()
	}
	g.mutex.Unlock()
	_ = m.listener.Close()
	g.record.line("member", "group", g.name, "id", id, "ended", true)
}
