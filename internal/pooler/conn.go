package pooler

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Conn is a connection to a target.
	Conn struct {
		net.Conn
		Frontend *pgproto3.Frontend
		Endpoint Endpoint
		// Statements are the names of the statements prepared in the session.
		Statements map[string]bool
		// Settings are the statements that configured the session for its last client; empty
		// for none.
		Settings string
		// Position is the newest log position reported by the target.
		Position orderer.Position
		// PID and Secret identify the session in cancel requests.
		PID    uint32
		Secret []byte
		// Tainted connections hold session state of a client and are closed after its
		// transaction.
		Tainted bool
		// Broken connections are closed on return.
		Broken bool
		// InTransaction is set while the connection is checked out by a transaction.
		InTransaction bool

		socket *socket
		opened time.Time
		used   time.Time
	}

	// socket is a network connection that the pool closes itself; Close only interrupts it.
	socket struct {
		net.Conn
		address string
		// application is the application name of the session.
		application  string
		closingSince time.Time
		pid          uint32
		// clean is set if no request was running when the connection was closed.
		clean bool
		// notEstablished is set if the startup of the session failed.
		notEstablished bool
		terminating    bool
		terminatedAt   time.Time
	}

	// capturingNetwork records the connection that it dials.
	capturingNetwork struct {
		networker.Network
		captured *socket
	}
)

// Close interrupts reads and writes but leaves the connection open: the pool closes it and
// releases its slot.
func (s *socket) Close() error { return s.Conn.SetDeadline(time.Now()) }

// NetConn returns the underlying connection.
func (s *socket) NetConn() net.Conn { return s.Conn }

// Dial implements networker.Network.
func (c *capturingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.captured = &socket{Conn: conn, address: address}
	return c.captured, nil
}

// openConn opens a connection to an endpoint. If it returns a socket with an error, the target may
// still have started a session.
func openConn(ctx context.Context, n networker.Network, application string, endpoint Endpoint) (*Conn, *socket, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	parameters := map[string]string{"application_name": application}
	if endpoint.Term != 0 {
		parameters["oriole.term"] = strconv.FormatUint(endpoint.Term, 10)
	}
	k := &capturingNetwork{Network: n}
	pc, err := commander.Dial(ctx, k, endpoint.Address, parameters)
	if err != nil {
		return nil, k.captured, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, k.captured, errors.Wrap(err, "hijack connection")
	}
	k.captured.pid = h.PID
	c := &Conn{
		Conn: h.Conn, Frontend: h.Frontend, Endpoint: endpoint, Statements: map[string]bool{},
		PID: h.PID, Secret: h.SecretKey, socket: k.captured,
	}
	c.UpdatePosition(h.ParameterStatuses["oriole.position"])
	return c, k.captured, nil
}

// UpdatePosition updates the position from a value reported by the target.
func (c *Conn) UpdatePosition(text string) {
	if p, err := orderer.Parse(text); err == nil {
		c.Position = p
	}
}

// Query runs a statement and returns its rows. The connection is broken after any error other
// than a *pgconn.PgError.
func (c *Conn) Query(ctx context.Context, sql string) ([][][]byte, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	rows, refused, err := c.query(sql)
	if !stop() && err == nil {
		err = ctx.Err() // the expired deadline is already set
	}
	if err != nil {
		c.Broken = true
		return nil, errors.Wrapf(err, "query %s", c.Endpoint.Address)
	}
	if refused != nil {
		return nil, refused
	}
	return rows, nil
}

func (c *Conn) query(sql string) (rows [][][]byte, refused *pgconn.PgError, err error) {
	c.Frontend.Send(&pgproto3.Query{String: sql})
	if err := c.Frontend.Flush(); err != nil {
		return nil, nil, err
	}
	for {
		m, err := c.Frontend.Receive()
		if err != nil {
			if refused != nil { // a FATAL error precedes the end of the stream
				c.Broken = true
				return nil, refused, nil
			}
			return nil, nil, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			rows = append(rows, copyRow(m.Values))
		case *pgproto3.ErrorResponse:
			refused = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ParameterStatus:
			if m.Name == "oriole.position" {
				c.UpdatePosition(m.Value)
			}
		case *pgproto3.ReadyForQuery:
			return rows, refused, nil
		}
	}
}

func copyRow(values [][]byte) [][]byte {
	out := make([][]byte, len(values))
	for i, v := range values {
		out[i] = append([]byte(nil), v...)
	}
	return out
}
