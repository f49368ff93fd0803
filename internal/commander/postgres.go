package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// The errors of commands. Any other error is an invalid response.
var (
	// ErrRefused means that the target rejected the command: it has accepted a newer
	// term, or granted this one to another owner.
	ErrRefused = errors.New("target refused the command")
	// ErrUnreachable means that a new connection was refused or reset.
	ErrUnreachable = errors.New("target unreachable")
	// ErrTimeout means that no response arrived in time, on a new connection either.
	ErrTimeout = errors.New("target did not respond")
	// ErrNoConnection means that this instance had no free connection for the command. It doesn't
	// indicate a target failure.
	ErrNoConnection = errors.New("all connections are busy")
)

const (
	statusQuery    = "SELECT * FROM oriole_status()"
	defaultTimeout = time.Second
	// statusTimeout is shorter than defaultTimeout because it delays the detection of a
	// hung target.
	statusTimeout = 600 * time.Millisecond
	// hedgeDelay is how long a command waits for a response before it is also sent on a
	// new connection, in case the existing one is dead. All commands are idempotent.
	hedgeDelay = 240 * time.Millisecond
)

type (
	// Postgres sends commands over the PostgreSQL protocol, on one persistent connection
	// to each target. Set the exported fields, then call its methods.
	Postgres struct {
		Network networker.Network
		// Application is the application_name of this instance's connections.
		Application string
		// Timeout bounds each command, connecting included; 0 means one second.
		Timeout time.Duration
		// Pooled, when set, runs commands over pooled connections instead of dedicated
		// ones. Refusals are returned as *pgconn.PgError.
		Pooled func(ctx context.Context, address, sql string, u Priority) ([][][]byte, error)

		mutex sync.Mutex
		conns map[string]*targetConn
	}

	// targetConn holds the connection to one target. A command holds the semaphore, which
	// is a channel so that waiting for it ends with the context.
	targetConn struct {
		semaphore chan struct{}
		conn      *conn
	}

	// conn is a connection hijacked from pgconn, which would otherwise close failed
	// connections in the background and dial the target to cancel: with a hung target
	// these pile up.
	conn struct {
		net.Conn
		frontend *pgproto3.Frontend
	}

	// result is the outcome of one attempt of a command.
	result struct {
		conn   *conn
		status Status
		err    error
	}
)

var _ Commander = (*Postgres)(nil)

// Close drops all connections.
func (p *Postgres) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range p.conns {
		l.semaphore <- struct{}{}
		l.replace(nil)
		<-l.semaphore
	}
}

// Status implements Commander.
func (p *Postgres) Status(ctx context.Context, address string) (Status, error) {
	return p.execute(ctx, address, statusQuery, statusTimeout)
}

// Fence implements Commander.
func (p *Postgres) Fence(ctx context.Context, address string, term uint64, owner string) (Status, error) {
	return p.execute(ctx, address, "SELECT * FROM oriole_fence("+strconv.FormatUint(term, 10)+", "+quote(owner)+")", p.timeout())
}

// Drain implements Commander.
func (p *Postgres) Drain(ctx context.Context, address string, term uint64, owner string, bound time.Duration) (Status, error) {
	sql := "SELECT * FROM oriole_drain(" + strconv.FormatUint(term, 10) + ", " + quote(owner) + ", " + strconv.FormatInt(bound.Milliseconds(), 10) + ")"
	return p.execute(ctx, address, sql, p.timeout()+bound)
}

// Promote implements Commander.
func (p *Postgres) Promote(ctx context.Context, address string, term uint64, owner string) (Status, error) {
	return p.execute(ctx, address, "SELECT * FROM oriole_promote("+strconv.FormatUint(term, 10)+", "+quote(owner)+")", p.timeout())
}

// Follow implements Commander.
func (p *Postgres) Follow(ctx context.Context, address string, term uint64, primary string) (Status, error) {
	return p.execute(ctx, address, "SELECT * FROM oriole_follow("+strconv.FormatUint(term, 10)+", "+quote(primary)+")", p.timeout())
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func (p *Postgres) timeout() time.Duration {
	if p.Timeout == 0 {
		return defaultTimeout
	}
	return p.Timeout
}

func (p *Postgres) targetConn(address string) *targetConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conns == nil {
		p.conns = map[string]*targetConn{}
	}
	l := p.conns[address]
	if l == nil {
		l = &targetConn{semaphore: make(chan struct{}, 1)}
		p.conns[address] = l
	}
	return l
}

// execute runs a control statement on the persistent connection, and on a new one when
// that fails or does not respond within hedgeDelay. The first response wins.
func (p *Postgres) execute(ctx context.Context, address, sql string, timeout time.Duration) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if p.Pooled != nil {
		return p.executePooled(ctx, address, sql)
	}
	l := p.targetConn(address)
	select {
	case l.semaphore <- struct{}{}:
		defer func() { <-l.semaphore }()
	case <-ctx.Done():
		return Status{}, errors.Wrapf(ErrTimeout, "command to %s", address)
	}
	results := make(chan result, 2)
	inFlight := 0
	start := func(c *conn) {
		inFlight++
		go func() { results <- p.attempt(ctx, c, address, sql) }()
	}
	start(l.conn)
	r := l.awaitResult(results, start, &inFlight)
	cancel()
	for ; inFlight > 0; inFlight-- {
		if loser := <-results; loser.conn != nil && loser.conn != l.conn {
			_ = loser.conn.Close()
		}
	}
	return r.status, r.err
}

// executePooled runs a control statement on a connection of Pooled.
func (p *Postgres) executePooled(ctx context.Context, address, sql string) (Status, error) {
	rows, err := p.Pooled(ctx, address, sql, priority(ctx, sql))
	var refusal *pgconn.PgError
	switch {
	case errors.As(err, &refusal):
		return Status{}, errors.Wrapf(ErrRefused, "%s: %s", refusal.Code, refusal.Message)
	case errors.Is(err, ErrNoConnection) || errors.Is(err, ErrTimeout):
		return Status{}, err
	case err != nil:
		return Status{}, noResponseError(ctx, err)
	case len(rows) != 1:
		return Status{}, errors.Errorf("command to %s: got %d rows, want 1", address, len(rows))
	}
	return decodeStatus(rows[0])
}

// awaitResult waits for the first response and starts the hedged attempt when it is due.
func (t *targetConn) awaitResult(results chan result, start func(*conn), inFlight *int) result {
	hedged := t.conn == nil
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case r := <-results:
			*inFlight--
			if r.err == nil || errors.Is(r.err, ErrRefused) {
				t.replace(r.conn)
				return r
			}
			if r.conn == t.conn {
				t.replace(nil)
			}
			if *inFlight == 0 && hedged {
				return r
			}
			if hedged {
				continue
			}
		case <-hedge.C:
			if hedged {
				continue
			}
		}
		hedged = true
		start(nil)
	}
}

// replace closes the persistent connection, if it is another, and sets the new one.
func (t *targetConn) replace(c *conn) {
	if t.conn != nil && t.conn != c {
		_ = t.conn.Close()
	}
	t.conn = c
}

// attempt runs a control statement on one connection, a new one for nil.
func (p *Postgres) attempt(ctx context.Context, c *conn, address, sql string) result {
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return result{err: noResponseError(ctx, err)}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	row, err := c.query(sql)
	switch {
	case errors.Is(err, ErrRefused):
		return result{conn: c, err: err}
	case err != nil:
		_ = c.Close()
		return result{conn: c, err: noResponseError(ctx, err)}
	}
	s, err := decodeStatus(row)
	return result{conn: c, status: s, err: err}
}

func (p *Postgres) dial(ctx context.Context, address string) (*conn, error) {
	pc, err := Dial(ctx, p.Network, address, map[string]string{"application_name": p.Application + " control"})
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "hijack connection")
	}
	return &conn{Conn: h.Conn, frontend: h.Frontend}, nil
}

// query runs a statement that returns one row.
func (c *conn) query(sql string) ([][]byte, error) {
	c.frontend.Send(&pgproto3.Query{String: sql})
	if err := c.frontend.Flush(); err != nil {
		return nil, errors.Wrap(err, "send command")
	}
	var row [][]byte
	var refusal error
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return nil, errors.Wrap(err, "receive response")
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			row = row[:0]
			for _, v := range m.Values {
				row = append(row, bytes.Clone(v))
			}
		case *pgproto3.ErrorResponse:
			refusal = errors.Wrapf(ErrRefused, "%s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return row, refusal
		}
	}
}

func noResponseError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Wrap(ErrTimeout, err.Error())
	}
	return errors.Wrap(ErrUnreachable, err.Error())
}

// Dial opens a connection to a target with the given start-up parameters.
func Dial(ctx context.Context, n networker.Network, address string, parameters map[string]string) (*pgconn.PgConn, error) {
	c, err := pgconn.ParseConfig("postgres://oriolegw@" + address + "/oriolegw?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "target address")
	}
	c.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) { return n.Dial(ctx, address) }
	c.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	for k, v := range parameters {
		c.RuntimeParams[k] = v
	}
	conn, err := pgconn.ConnectConfig(ctx, c)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to target %s", address)
	}
	return conn, nil
}

const statusFields = 9

func decodeStatus(row [][]byte) (Status, error) {
	if len(row) != statusFields {
		return Status{}, errors.Errorf("status has %d fields, not %d", len(row), statusFields)
	}
	s := Status{Role: string(row[0]), Owner: string(row[2]), Following: string(row[6]), Leaving: string(row[8]) == "true"}
	var err error
	if s.Term, err = strconv.ParseUint(string(row[1]), 10, 64); err != nil {
		return Status{}, errors.Wrap(err, "term")
	}
	if s.Received, err = orderer.Parse(string(row[3])); err != nil {
		return Status{}, errors.Wrap(err, "received")
	}
	if s.Replayed, err = orderer.Parse(string(row[4])); err != nil {
		return Status{}, errors.Wrap(err, "replayed")
	}
	age, err := strconv.ParseInt(string(row[7]), 10, 64)
	if err != nil {
		return Status{}, errors.Wrap(err, "last message age")
	}
	s.LastMessageAge = time.Duration(age) * time.Millisecond
	followers := map[string]string{}
	if err := json.Unmarshal(row[5], &followers); err != nil {
		return Status{}, errors.Wrap(err, "followers")
	}
	for name, text := range followers {
		p, err := orderer.Parse(text)
		if err != nil {
			return Status{}, errors.Wrap(err, "follower "+name)
		}
		if s.Followers == nil {
			s.Followers = map[string]orderer.Position{}
		}
		s.Followers[name] = p
	}
	return s, nil
}
