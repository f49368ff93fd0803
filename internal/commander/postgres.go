package commander

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// ErrRefused means that the target answered and did not obey: it obeys a newer
// term, or granted this one to another owner.
var ErrRefused = errors.New("target refused the order")

const defaultTimeout = time.Second

type (
	// Postgres reaches targets over the PostgreSQL protocol. It keeps one
	// connection to each. Set the exported fields, then call its methods.
	Postgres struct {
		Network networker.Network
		// Application names this instance at the target.
		Application string
		// Timeout bounds each order, a new connection included; 0 means 1 s.
		Timeout time.Duration

		mutex sync.Mutex
		links map[string]*link
	}

	// link is the connection to one target. Orders take turns on it: turn holds
	// one value while nobody uses it. A mutex would keep an order waiting past
	// its own timeout behind one to a frozen target.
	link struct {
		turn chan struct{}
		conn *pgconn.PgConn
	}
)

var _ Commander = (*Postgres)(nil)

// Close drops all connections.
func (p *Postgres) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range p.links {
		<-l.turn
		l.drop()
		l.turn <- struct{}{}
	}
}

// Status implements Commander.
func (p *Postgres) Status(ctx context.Context, address string) (Status, error) {
	return p.order(ctx, address, "SELECT * FROM oriole_status()")
}

// Fence implements Commander.
func (p *Postgres) Fence(ctx context.Context, address string, term uint64, owner string) (Status, error) {
	return p.order(ctx, address, "SELECT * FROM oriole_fence("+strconv.FormatUint(term, 10)+", "+quote(owner)+")")
}

// Promote implements Commander.
func (p *Postgres) Promote(ctx context.Context, address string, term uint64, owner string) (Status, error) {
	return p.order(ctx, address, "SELECT * FROM oriole_promote("+strconv.FormatUint(term, 10)+", "+quote(owner)+")")
}

// Follow implements Commander.
func (p *Postgres) Follow(ctx context.Context, address string, term uint64, primary string) (Status, error) {
	return p.order(ctx, address, "SELECT * FROM oriole_follow("+strconv.FormatUint(term, 10)+", "+quote(primary)+")")
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func (p *Postgres) link(address string) *link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links == nil {
		p.links = map[string]*link{}
	}
	l := p.links[address]
	if l == nil {
		l = &link{turn: make(chan struct{}, 1)}
		l.turn <- struct{}{}
		p.links[address] = l
	}
	return l
}

func (p *Postgres) order(ctx context.Context, address, sql string) (Status, error) {
	timeout := p.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l := p.link(address)
	select {
	case <-l.turn:
		defer func() { l.turn <- struct{}{} }()
	case <-ctx.Done():
		return Status{}, errors.Wrapf(ctx.Err(), "order to %s", address)
	}
	if err := l.open(ctx, p, address); err != nil {
		return Status{}, err
	}
	rows, err := l.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		var e *pgconn.PgError
		if errors.As(err, &e) {
			return Status{}, errors.Wrapf(ErrRefused, "%s: %s", e.Code, e.Message)
		}
		l.drop()
		return Status{}, errors.Wrapf(err, "order to %s", address)
	}
	if len(rows) != 1 || len(rows[0].Rows) != 1 || len(rows[0].Rows[0]) != statusFields {
		return Status{}, errors.Errorf("order to %s: unexpected answer", address)
	}
	return decode(rows[0].Rows[0])
}

func (l *link) open(ctx context.Context, p *Postgres, address string) error {
	if l.conn != nil && !l.conn.IsClosed() {
		return nil
	}
	c, err := Dial(ctx, p.Network, address, map[string]string{"application_name": p.Application + " control"})
	if err != nil {
		return err
	}
	l.conn = c
	return nil
}

func (l *link) drop() {
	if l.conn != nil {
		_ = l.conn.Conn().Close()
		l.conn = nil
	}
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

const statusFields = 6

func decode(row [][]byte) (Status, error) {
	s := Status{Role: string(row[0]), Owner: string(row[2])}
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
