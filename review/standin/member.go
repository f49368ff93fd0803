package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots      = 3
	queueLimit = 24
	handshake  = 12 * time.Millisecond
	workTime   = 8 * time.Millisecond
	promoteMs  = 600 * time.Millisecond
	applyLag   = 20 * time.Millisecond
	heartbeat  = 1200 * time.Millisecond
)

type (
	// Group is a stand-in for one service: a primary and its replicas (PROTOCOL.md, "Members").
	Group struct {
		Name     string
		MaxConns int
		Store    *Store
		Log      func(format string, args ...any)
		// Delay is the one-way network delay between two zones.
		Delay func(a, b string) time.Duration

		mu      sync.Mutex
		members []*Member
		// acked holds the commits that a primary has acknowledged, by the id of the statement.
		acked map[string]entry
		// lost holds the acknowledged commits that a promoted member lacked.
		lost map[string]string
		runs map[string]int
		// OnRead, when set, is called with the mutex held for each read that runs.
		OnRead func(m *Member, id string)
	}

	entry struct {
		term, number uint64
		id           string
		at           time.Time
	}

	// Member is one server of a group.
	Member struct {
		ID, Zone, Address string
		g                 *Group
		listener          net.Listener
		conns             map[net.Conn]bool
		alive             bool
		crashedAt         time.Time
		log               []entry
		received          []time.Time
		primary           bool
		term, pausedFor   uint64
		deaf              bool
		seq               int
		slot              chan struct{}
		waiting           int
		open              int
		// returnDelay is when the member writes its entry again after the store was down: pages,
		// "within about two seconds of its return".
		returnDelay time.Duration
	}
)

// NewGroup starts a group with one member per zone, the first as primary.
func NewGroup(name string, zones []string, store *Store, delay func(a, b string) time.Duration, logf func(string, ...any)) *Group {
	g := &Group{Name: name, MaxConns: 22, Store: store, Log: logf, Delay: delay, acked: map[string]entry{}, lost: map[string]string{}, runs: map[string]int{}}
	for n, z := range zones {
		m := &Member{ID: fmt.Sprintf("i-%s-%d", name, n+1), Zone: z, g: g, conns: map[net.Conn]bool{}, primary: n == 0, term: 1, slot: make(chan struct{}, slots)}
		g.members = append(g.members, m)
		m.start()
		go m.beat()
	}
	go g.replicate()
	return g
}

func (m *Member) start() {
	address := m.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	m.g.mu.Lock()
	m.listener, m.Address, m.alive = l, l.Addr().String(), true
	m.g.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
}

// Crash kills the member for a while; it comes back with its log.
func (m *Member) Crash(d time.Duration) {
	m.g.mu.Lock()
	m.alive, m.crashedAt = false, time.Now()
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	m.g.mu.Unlock()
	time.AfterFunc(d, m.start)
}

// beat writes the member's entry while it lives; the platform drops it after three intervals.
func (m *Member) beat() {
	key, role := "servers/"+m.ID, ""
	var last, back time.Time
	down := false
	for ; ; time.Sleep(20 * time.Millisecond) {
		switch storeDown := m.g.Store.Down(); {
		case storeDown:
			// The entry expires although the member lives: the store takes no heartbeat.
			if down = true; !last.IsZero() && time.Since(last) > 3*heartbeat {
				m.g.Store.Remove(key)
			}
			continue
		case down:
			down, back, last = false, time.Now().Add(m.returnDelay), time.Time{}
		}
		if time.Now().Before(back) {
			continue
		}
		m.g.mu.Lock()
		alive, now := m.alive, "replica"
		if m.primary {
			now = "primary"
		}
		m.g.mu.Unlock()
		switch {
		case alive && (now != role || time.Since(last) >= heartbeat):
			role, last = now, time.Now()
			m.seq++
			m.g.Store.Put(key, map[string]any{"service": m.g.Name, "address": m.Address, "zone": m.Zone, "version": "v1", "capacity": slots, "phase": "ready", "cold_ms": 0, "seq": m.seq, "db_role": role})
		case !alive && !last.IsZero() && time.Since(last) > 3*heartbeat:
			m.g.Store.Remove(key)
		}
	}
}

// replicate sends the log of the primary, or of the last one, to the replicas.
func (g *Group) replicate() {
	var source *Member
	for ; ; time.Sleep(500 * time.Microsecond) {
		g.mu.Lock()
		for _, m := range g.members {
			if m.primary && (source == nil || m.term >= source.term) {
				source = m
			}
		}
		now := time.Now()
		for _, r := range g.members {
			if source == nil || r == source || !r.alive || r.deaf || r.pausedFor > r.term || r.primary {
				continue
			}
			n := min(len(r.log), len(source.log))
			for n > 0 && r.log[n-1].id != source.log[n-1].id {
				n--
			}
			if n < len(r.log) && source.alive {
				r.log, r.received = r.log[:n], r.received[:n]
			} else if n < len(r.log) {
				continue
			}
			if source.alive {
				r.term = max(r.term, source.term)
			}
			for ; n < len(source.log); n++ {
				e := source.log[n]
				// What a crashed primary had sent still arrives.
				if now.Sub(e.at) < g.Delay(source.Zone, r.Zone) {
					break
				}
				r.log, r.received = append(r.log, e), append(r.received, now)
			}
		}
		g.mu.Unlock()
	}
}

// commit appends to the primary's log and waits until one replica has received it and said so.
func (m *Member) commit(id string) bool {
	g := m.g
	g.mu.Lock()
	if !m.primary || !m.alive {
		g.mu.Unlock()
		return false
	}
	e := entry{term: m.term, number: uint64(len(m.log)) + 1, id: id, at: time.Now()}
	n := len(m.log)
	m.log, m.received = append(m.log, e), append(m.received, e.at)
	g.runs[id]++
	g.mu.Unlock()
	for {
		time.Sleep(500 * time.Microsecond)
		g.mu.Lock()
		if !m.primary || !m.alive || m.term != e.term {
			g.mu.Unlock()
			return false
		}
		for _, r := range g.members {
			if r != m && r.alive && len(r.log) > n && r.log[n].id == id && time.Since(r.received[n]) >= g.Delay(m.Zone, r.Zone) {
				g.acked[id] = e
				g.mu.Unlock()
				return true
			}
		}
		g.mu.Unlock()
	}
}

// Primary returns the running primary, nil if there is none.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary && m.alive {
			return m
		}
	}
	return nil
}

// SetDeaf sets whether the member receives nothing from the primary.
func (m *Member) SetDeaf(deaf bool) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.deaf = deaf
}

// lostCount returns the number of acknowledged commits that a promoted member lacked.
func (g *Group) lostCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.lost)
}

// Member returns a member by its id.
func (g *Group) Member(id string) *Member {
	for _, m := range g.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// Promote makes a member the primary of the next term after promoteMs. It reports whether the
// member runs.
func (g *Group) Promote(id string) bool {
	m := g.Member(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	if m == nil || !m.alive {
		return false
	}
	if m.primary {
		return true
	}
	time.AfterFunc(promoteMs, func() { g.lead(m) })
	return true
}

func (g *Group) lead(m *Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.alive || m.primary {
		return
	}
	var term uint64
	before := ""
	for _, o := range g.members {
		if o.primary {
			before = o.ID
		}
		term = max(term, o.term)
		o.primary, o.pausedFor = false, 0
	}
	m.primary, m.term = true, term+1
	has := map[string]bool{}
	for _, e := range m.log {
		has[e.id] = true
	}
	missing := 0
	for id := range g.acked {
		if !has[id] && g.lost[id] == "" {
			g.lost[id] = m.ID
			missing++
		}
	}
	g.Log("member: %s leads term %d at position %s, before it %s; %d acknowledged commits are not in its log", m.ID, m.term, m.position(), before, missing)
}

func (m *Member) position() string {
	if len(m.log) == 0 {
		return "1.0"
	}
	e := m.log[len(m.log)-1]
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

// holds reports whether the member has applied a position.
func (m *Member) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	if number == 0 {
		return true
	}
	for i := len(m.log) - 1; i >= 0; i-- {
		if e := m.log[i]; e.term > term || e.term == term && e.number >= number {
			if m.primary || time.Since(m.received[i]) >= applyLag {
				return true
			}
		} else {
			return false
		}
	}
	return false
}

// occupy takes a slot for a time; false means that the member is busy.
func (m *Member) occupy(d time.Duration) bool {
	m.g.mu.Lock()
	if m.waiting >= queueLimit {
		m.g.mu.Unlock()
		return false
	}
	m.waiting++
	m.g.mu.Unlock()
	m.slot <- struct{}{}
	time.Sleep(d)
	<-m.slot
	m.g.mu.Lock()
	m.waiting--
	m.g.mu.Unlock()
	return true
}

type session struct {
	m         *Member
	state     string
	readOnly  bool
	writes    []string
	prepared  map[string]string
	out       *bufio.Writer
	signature int
}

func (m *Member) serve(c net.Conn) {
	g := m.g
	g.mu.Lock()
	if !m.alive {
		g.mu.Unlock()
		_ = c.Close()
		return
	}
	m.conns[c] = true
	m.open++
	full := m.open > g.MaxConns
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(m.conns, c)
		m.open--
		g.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	s := &session{m: m, state: "I", prepared: map[string]string{}, out: bufio.NewWriter(c)}
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	code := ""
	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != g.Name || len(f) > 3 && f[3] != m.ID:
		code = "MISROUTED"
	case full:
		code = "MAXCONN"
	}
	if code != "" {
		fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, m.ID)
		_ = s.out.Flush()
		return
	}
	if !m.occupy(handshake) {
		fmt.Fprintf(s.out, "ERROR BUSY %s\r\n", m.ID)
		_ = s.out.Flush()
		return
	}
	s.ready()
	for s.out.Flush() == nil {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.execute(id, text) {
			return
		}
	}
}

func (s *session) ready() {
	s.m.g.mu.Lock()
	p := s.m.position()
	s.m.g.mu.Unlock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", s.state, p)
}

func (s *session) complete(tag string, rows ...string) bool {
	for _, r := range rows {
		fmt.Fprintf(s.out, "DATAROW %s\r\n", r)
	}
	fmt.Fprintf(s.out, "COMPLETE %s\r\n", tag)
	s.ready()
	return true
}

func (s *session) fail(code string) bool {
	if s.state == "T" {
		s.state = "E"
	}
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.m.ID)
	s.ready()
	return true
}

func (s *session) execute(id, text string) bool {
	m, g := s.m, s.m.g
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		holds := m.holds(position)
		g.mu.Unlock()
		if !holds {
			return s.fail("LAGGING")
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return s.fail("MALFORMED")
	}
	g.mu.Lock()
	primary := m.primary
	g.mu.Unlock()
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(word, rest)
	case "BEGIN":
		s.readOnly = rest == "FETCH"
		if !s.readOnly && !primary {
			return s.fail("READONLY")
		}
		s.state, s.writes = "T", nil
		return s.complete("-")
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return s.complete("-")
	case "SET":
		return s.complete("-")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return s.complete("-")
	case "DISCARD":
		clear(s.prepared)
		return s.complete("-")
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT")
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if s.state == "E" && word == "COMMIT" {
		s.state, s.writes = "I", nil
		fmt.Fprintf(s.out, "ERROR ABORTED %s\r\n", m.ID)
		s.ready()
		return true
	}
	if s.state == "T" && !s.readOnly && !primary && (word != "COMMIT" || len(s.writes) > 0) {
		return s.fail("READONLY")
	}
	if word == "PUT" && !primary {
		return s.fail("READONLY")
	}
	if !m.occupy(workTime) {
		fmt.Fprintf(s.out, "ERROR BUSY %s\r\n", m.ID)
		s.ready()
		return true
	}
	s.signature++
	tag := fmt.Sprintf("%s.%s.%d", m.ID, id, s.signature)
	switch word {
	case "FETCH":
		if g.OnRead != nil {
			g.mu.Lock()
			g.OnRead(m, id)
			g.mu.Unlock()
		}
		return s.complete(tag, "row-"+strings.ReplaceAll(rest, " ", "-"))
	case "PUT":
		s.writes = append(s.writes, id)
		if s.state == "T" {
			return s.complete(tag)
		}
	case "COMMIT":
	default:
		return s.fail("MALFORMED")
	}
	writes := s.writes
	s.state, s.writes = "I", nil
	for _, w := range writes {
		if !m.commit(w) {
			return false
		}
	}
	return s.complete(tag)
}

func (s *session) control(word, rest string) bool {
	m, g := s.m, s.m.g
	term, _ := strconv.ParseUint(rest, 10, 64)
	g.mu.Lock()
	switch {
	case word == "PAUSE" && term > m.term && !m.primary:
		m.pausedFor = term
		g.Log("member: %s is paused for term %d", m.ID, term)
	case word == "RESUME":
		m.pausedFor = 0
		g.Log("member: %s is resumed", m.ID)
	case word == "STEPDOWN" && m.primary && m.term < term:
		m.primary = false
		g.Log("member: %s steps down for term %d", m.ID, term)
	}
	role, lag := "replica", 0
	if m.primary {
		role = "primary"
	} else if m.deaf {
		lag = 1000
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", role, m.term, m.position(), m.pausedFor, lag, m.waiting, m.open)
	g.mu.Unlock()
	return s.complete("-", row)
}
