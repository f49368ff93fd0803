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

// The ways in which an order fails. Any other error is an answer that makes no
// sense.
var (
	// ErrRefused means that the target answered and did not obey: it obeys a
	// newer term, or granted this one to another owner.
	ErrRefused = errors.New("target refused the order")
	// ErrUnreachable means that a fresh connection was refused or reset: nothing
	// serves at the address.
	ErrUnreachable = errors.New("target unreachable")
	// ErrSilent means that no answer came in time, on a fresh connection either.
	ErrSilent = errors.New("target silent")
	// ErrBusy means that the target lives but the instance had no connection to
	// spare for the order. It is no evidence against the target.
	ErrBusy = errors.New("all connections are busy")
)

const (
	statusQuery    = "SELECT * FROM oriole_status()"
	defaultTimeout = time.Second
	// statusTimeout is shorter than that of orders: it is how long a frozen
	// target hides from detection.
	statusTimeout = 600 * time.Millisecond
	// hedgeAfter is when an order goes to a fresh connection as well. A kept
	// connection can go silent for good while new ones work; without the fresh
	// one, a live target would look dead. All orders are idempotent. It is ten
	// times the longest round trip between regions that the brief states.
	hedgeAfter = 240 * time.Millisecond
)

type (
	// Postgres reaches targets over the PostgreSQL protocol. It keeps one
	// connection to each. Set the exported fields, then call its methods.
	Postgres struct {
		Network networker.Network
		// Application names this instance at the target.
		Application string
		// Timeout bounds each order, a new connection included; 0 means 1 s.
		Timeout time.Duration
		// Source, when set, runs the orders over the connections of the group's
		// share in place of connections of their own. Refusals are
		// *pgconn.PgError.
		Source func(ctx context.Context, address, sql string, u Urgency) ([][][]byte, error)

		mutex sync.Mutex
		links map[string]*link
	}

	// link is the connection to one target. An order holds free, which is a
	// channel so that waiting for it ends with the context.
	link struct {
		free chan struct{}
		conn *conn
	}

	// conn is a connection taken over from pgconn once it is open. pgconn closes
	// a connection that failed in the background, for up to 15 s, and dials the
	// target again to cancel; a target that hangs would gather those.
	conn struct {
		net.Conn
		frontend *pgproto3.Frontend
	}

	// reply is how one try of an order ended.
	reply struct {
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
	for _, l := range p.links {
		l.free <- struct{}{}
		l.keep(nil)
		<-l.free
	}
}

// Status implements Commander.
func (p *Postgres) Status(ctx context.Context, address string) (Status, error) {
	return p.order(ctx, address, statusQuery, statusTimeout)
}

// Fence implements Commander.
func (p *Postgres) Fence(ctx context.Context, address string, term uint64, owner string) (Status, error) {
	return p.order(ctx, address, "SELECT * FROM oriole_fence("+strconv.FormatUint(term, 10)+", "+quote(owner)+")", p.timeout())
}

// Drain implements Commander.
func (p *Postgres) Drain(ctx context.Context, address string, term uint64, owner string, bound time.Duration) (Status, error) {
	sql := "SELECT * FROM oriole_drain(" + strconv.FormatUint(term, 10) + ", " + quote(owner) + ", " + strconv.FormatInt(bound.Milliseconds(), 10) + ")"
	return p.order(ctx, address, sql, p.timeout()+bound)
}

// Promote implements Commander.
func (p *Postgres) Promote(ctx context.Context, address string, term uint64, owner string) (Status, error) {
	return p.order(ctx, address, "SELECT * FROM oriole_promote("+strconv.FormatUint(term, 10)+", "+quote(owner)+")", p.timeout())
}

// Follow implements Commander.
func (p *Postgres) Follow(ctx context.Context, address string, term uint64, primary string) (Status, error) {
	return p.order(ctx, address, "SELECT * FROM oriole_follow("+strconv.FormatUint(term, 10)+", "+quote(primary)+")", p.timeout())
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func (p *Postgres) timeout() time.Duration {
	if p.Timeout == 0 {
		return defaultTimeout
	}
	return p.Timeout
}

func (p *Postgres) link(address string) *link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links == nil {
		p.links = map[string]*link{}
	}
	l := p.links[address]
	if l == nil {
		l = &link{free: make(chan struct{}, 1)}
		p.links[address] = l
	}
	return l
}

// order runs a control statement on the kept connection, and on a fresh one when
// that fails or does not answer soon. The first answer wins.
func (p *Postgres) order(ctx context.Context, address, sql string, timeout time.Duration) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if p.Source != nil {
		return p.ask(ctx, address, sql)
	}
	l := p.link(address)
	select {
	case l.free <- struct{}{}:
		defer func() { <-l.free }()
	case <-ctx.Done():
		return Status{}, errors.Wrapf(ErrSilent, "order to %s", address)
	}
	replies := make(chan reply, 2)
	open := 0
	start := func(kept *conn) {
		open++
		go func() { replies <- p.try(ctx, kept, address, sql) }()
	}
	start(l.conn)
	r := l.race(replies, start, &open)
	cancel()
	for ; open > 0; open-- {
		if late := <-replies; late.conn != nil && late.conn != l.conn {
			_ = late.conn.Close()
		}
	}
	return r.status, r.err
}

// ask runs a control statement over the source's connections.
func (p *Postgres) ask(ctx context.Context, address, sql string) (Status, error) {
	rows, err := p.Source(ctx, address, sql, urgency(ctx, sql))
	var refusal *pgconn.PgError
	switch {
	case errors.As(err, &refusal):
		return Status{}, errors.Wrapf(ErrRefused, "%s: %s", refusal.Code, refusal.Message)
	case errors.Is(err, ErrBusy) || errors.Is(err, ErrSilent):
		return Status{}, err
	case err != nil:
		return Status{}, unanswered(ctx, err)
	case len(rows) != 1:
		return Status{}, errors.Errorf("order to %s: %d rows", address, len(rows))
	}
	return decode(rows[0])
}

// race waits for the first answer, and starts the fresh try when it is due.
func (l *link) race(replies chan reply, start func(*conn), open *int) reply {
	hedged := l.conn == nil
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	for {
		select {
		case r := <-replies:
			*open--
			if r.err == nil || errors.Is(r.err, ErrRefused) {
				l.keep(r.conn)
				return r
			}
			if r.conn == l.conn {
				l.keep(nil)
			}
			if *open == 0 && hedged {
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

// keep replaces the kept connection.
func (l *link) keep(c *conn) {
	if l.conn != nil && l.conn != c {
		_ = l.conn.Close()
	}
	l.conn = c
}

// try runs a control statement on one connection, a fresh one for nil.
func (p *Postgres) try(ctx context.Context, c *conn, address, sql string) reply {
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return reply{err: unanswered(ctx, err)}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	row, err := c.query(sql)
	switch {
	case errors.Is(err, ErrRefused):
		return reply{conn: c, err: err}
	case err != nil:
		_ = c.Close()
		return reply{conn: c, err: unanswered(ctx, err)}
	}
	s, err := decode(row)
	return reply{conn: c, status: s, err: err}
}

func (p *Postgres) dial(ctx context.Context, address string) (*conn, error) {
	pc, err := Dial(ctx, p.Network, address, map[string]string{"application_name": p.Application + " control"})
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "take over connection")
	}
	return &conn{Conn: h.Conn, frontend: h.Frontend}, nil
}

// query runs a statement that returns one row.
func (c *conn) query(sql string) ([][]byte, error) {
	c.frontend.Send(&pgproto3.Query{String: sql})
	if err := c.frontend.Flush(); err != nil {
		return nil, errors.Wrap(err, "send order")
	}
	var row [][]byte
	var refusal error
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return nil, errors.Wrap(err, "receive answer")
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

func unanswered(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Wrap(ErrSilent, err.Error())
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

func decode(row [][]byte) (Status, error) {
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
	heard, err := strconv.ParseInt(string(row[7]), 10, 64)
	if err != nil {
		return Status{}, errors.Wrap(err, "heard")
	}
	s.Heard = time.Duration(heard) * time.Millisecond
	followers := map[string]string{}
	if err := json.Unmarshal(row[5], &followers); err != nil {
		return Status{}, errors.Wrap(err, "followers")
	}
	for n, t := range followers {
		p, err := orderer.Parse(t)
		if err != nil {
			return Status{}, errors.Wrap(err, "follower "+n)
		}
		if s.Followers == nil {
			s.Followers = map[string]orderer.Position{}
		}
		s.Followers[n] = p
	}
	return s, nil
}
