package prober

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/networker"
)

// timeout bounds a probe, a new connection included.
const timeout = time.Second

type (
	// Prober asks targets over fresh connections. Set the exported fields, then
	// call Ask.
	Prober struct {
		Network     networker.Network
		Application string

		mutex sync.Mutex
		links map[string]*link
	}

	// link is the fresh connection to one target. All exchanges that are silent
	// at the same time share it; it is closed with the last of them, so that it
	// takes little from the group's budget.
	link struct {
		turn   chan struct{} // holds one value while nobody asks
		users  int
		conn   *pgconn.HijackedConn
		opened time.Time
	}
)

// Ask asks the target about a session. Since is when the session last sent a
// byte: only a connection opened later counts as fresh.
func (p *Prober) Ask(ctx context.Context, address string, pid uint32, since time.Time) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l := p.enter(address)
	defer p.leave(address, l)
	select {
	case <-l.turn:
		defer func() { l.turn <- struct{}{} }()
	case <-ctx.Done():
		return Unknown, errors.Wrap(ctx.Err(), "probe")
	}
	if err := l.open(ctx, p, address, since); err != nil {
		return Unknown, err
	}
	state, err := l.ask(ctx, pid)
	if err != nil {
		l.drop()
		return Unknown, errors.Wrap(err, "probe")
	}
	return state, nil
}

// ask sends the question over the open connection.
func (l *link) ask(ctx context.Context, pid uint32) (State, error) {
	if at, ok := ctx.Deadline(); ok {
		_ = l.conn.Conn.SetDeadline(at)
	}
	l.conn.Frontend.SendQuery(&pgproto3.Query{String: "SELECT state FROM pg_stat_activity WHERE pid = " + strconv.FormatUint(uint64(pid), 10)})
	if err := l.conn.Frontend.Flush(); err != nil {
		return Unknown, err
	}
	state := Absent
	for {
		m, err := l.conn.Frontend.Receive()
		if err != nil {
			return Unknown, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			state = Idle
			if len(m.Values) == 1 && string(m.Values[0]) == "active" {
				state = Running
			}
		case *pgproto3.ErrorResponse:
			return Unknown, errors.Errorf("%s %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return state, nil
		}
	}
}

func (p *Prober) enter(address string) *link {
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
	l.users++
	return l
}

func (p *Prober) leave(address string, l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if l.users--; l.users == 0 {
		l.drop()
		delete(p.links, address)
	}
}

func (l *link) open(ctx context.Context, p *Prober, address string, since time.Time) error {
	if l.conn != nil && l.opened.After(since) {
		return nil
	}
	l.drop()
	c, err := commander.Dial(ctx, p.Network, address, map[string]string{"application_name": p.Application + " probe"})
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	// Taken over from pgconn, which would close a failed connection in the
	// background and dial the target again to cancel.
	if l.conn, err = c.Hijack(); err != nil {
		return errors.Wrap(err, "probe")
	}
	l.opened = time.Now()
	return nil
}

func (l *link) drop() {
	if l.conn != nil {
		_ = l.conn.Conn.Close()
		l.conn = nil
	}
}
