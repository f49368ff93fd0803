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
	// Conn is one connection to a target.
	Conn struct {
		net.Conn
		Frontend *pgproto3.Frontend
		Place    Place
		// Statements are the prepared statements that the target knows.
		Statements map[string]bool
		// Settings are the statements that set up the session of the caller
		// that the connection was last lent to; empty for none.
		Settings string
		// Position is the newest that the target has reported.
		Position orderer.Position
		// PID and Secret are what a cancel request names.
		PID    uint32
		Secret []byte
		// Tainted connections hold state of their borrower that other callers
		// must not meet; they are destroyed once its transaction is over.
		Tainted bool
		// Broken connections are closed when they come back.
		Broken bool
		// Long is set while it is lent to a transaction.
		Long bool

		socket *socket
		opened time.Time
		used   time.Time
	}

	// socket is a connection whose Close leaves it to the pool to end it.
	socket struct {
		net.Conn
		address string
		// application is the name that it was opened under.
		application string
		// since is when it began to linger.
		since time.Time
		pid   uint32
		// clean: it was given up between two requests.
		clean bool
		// failed: it never became a session that this side knows of.
		failed bool
		asking bool
		asked  time.Time
	}

	// catcher is a network that remembers the connection that it opened.
	catcher struct {
		networker.Network
		caught *socket
	}
)

// Close keeps the connection open: only the pool knows when its place in the
// share is free.
func (s *socket) Close() error { return s.Conn.SetDeadline(time.Now()) }

// NetConn returns the connection inside.
func (s *socket) NetConn() net.Conn { return s.Conn }

// Dial implements networker.Network.
func (c *catcher) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.caught = &socket{Conn: conn, address: address}
	return c.caught, nil
}

// open opens a connection to a place. After an error the socket, if there is
// one, may still have become a session at the target.
func open(ctx context.Context, n networker.Network, application string, place Place) (*Conn, *socket, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	parameters := map[string]string{"application_name": application}
	if place.Term != 0 {
		parameters["oriole.term"] = strconv.FormatUint(place.Term, 10)
	}
	k := &catcher{Network: n}
	pc, err := commander.Dial(ctx, k, place.Address, parameters)
	if err != nil {
		return nil, k.caught, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, k.caught, errors.Wrap(err, "take over connection")
	}
	k.caught.pid = h.PID
	c := &Conn{
		Conn: h.Conn, Frontend: h.Frontend, Place: place, Statements: map[string]bool{},
		PID: h.PID, Secret: h.SecretKey, socket: k.caught,
	}
	c.Learn(h.ParameterStatuses["oriole.position"])
	return c, k.caught, nil
}

// Learn takes in a position that the target reported.
func (c *Conn) Learn(text string) {
	if p, err := orderer.Parse(text); err == nil {
		c.Position = p
	}
}

// Ask runs one statement and returns its rows. An error that is not a
// *pgconn.PgError leaves the connection broken.
func (c *Conn) Ask(ctx context.Context, sql string) ([][][]byte, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	rows, refused, err := c.ask(sql)
	if !stop() && err == nil {
		err = ctx.Err() // the deadline of the next exchange is already set
	}
	if err != nil {
		c.Broken = true
		return nil, errors.Wrapf(err, "ask %s", c.Place.Address)
	}
	if refused != nil {
		return nil, refused
	}
	return rows, nil
}

func (c *Conn) ask(sql string) (rows [][][]byte, refused *pgconn.PgError, err error) {
	c.Frontend.Send(&pgproto3.Query{String: sql})
	if err := c.Frontend.Flush(); err != nil {
		return nil, nil, err
	}
	for {
		m, err := c.Frontend.Receive()
		if err != nil {
			if refused != nil { // a fatal refusal comes before the end
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
				c.Learn(m.Value)
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
