package relayer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/shoenig/test/must"
)

// script is a target connection that answers with fixed bytes.
type script struct {
	net.Conn
	*bytes.Reader
}

func (s script) Read(p []byte) (int, error)     { return s.Reader.Read(p) }
func (script) Write(p []byte) (int, error)      { return len(p), nil }
func (script) SetDeadline(time.Time) error      { return nil }
func (script) SetReadDeadline(time.Time) error  { return nil }
func (script) SetWriteDeadline(time.Time) error { return nil }

// answer is the answer to a query, with so many rows.
func answer(rows int) []byte {
	var b []byte
	add := func(m pgproto3.BackendMessage) { b, _ = m.Encode(b) }
	add(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	add(&pgproto3.RowDescription{})
	for range rows {
		add(&pgproto3.DataRow{Values: [][]byte{[]byte("sheet-1"), []byte("lodged")}})
	}
	add(&pgproto3.CommandComplete{CommandTag: []byte("SELECT")})
	add(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return b
}

// allocations counts those of forwarding an answer of so many rows.
func allocations(t *testing.T, rows int) float64 {
	data := answer(rows)
	s := &Session{Conn: script{}, status: 'I'}
	r := &request{read: true, pure: true, steps: []step{{kind: 'Q', data: []byte("Q")}}}
	return testing.AllocsPerRun(20, func() {
		target := script{Reader: bytes.NewReader(data)}
		c := &pooler.Conn{Conn: target, Frontend: pgproto3.NewFrontend(target, target)}
		x := newExchange(s, c, r, false)
		must.Eq(t, endAnswered, x.run(context.Background(), r))
		must.NoError(t, s.flush())
	})
}

// A look-up of many rows passes through without an allocation for each of them:
// the garbage would be paid for by every other caller.
func TestRowsDoNotAllocate(t *testing.T) {
	few, many := allocations(t, 10), allocations(t, 10010)
	t.Logf("%v allocations for 10 rows, %v for 10,010", few, many)
	must.Less(t, 20, many-few)
}
