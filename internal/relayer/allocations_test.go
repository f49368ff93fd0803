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

// scriptedConn is a target's connection that answers with fixed bytes.
type scriptedConn struct {
	net.Conn
	*bytes.Reader
}

func (s scriptedConn) Read(p []byte) (int, error)     { return s.Reader.Read(p) }
func (scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (scriptedConn) SetDeadline(time.Time) error      { return nil }
func (scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// encodeAnswer encodes the answer to a query with the given number of rows.
func encodeAnswer(rows int) []byte {
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

// countAllocations counts the allocations of forwarding an answer with the given number of
// rows.
func countAllocations(t *testing.T, rows int) float64 {
	data := encodeAnswer(rows)
	s := &Session{Conn: scriptedConn{}, status: 'I'}
	r := &request{readOnly: true, pure: true, steps: []step{{kind: 'Q', data: []byte("Q")}}}
	return testing.AllocsPerRun(20, func() {
		target := scriptedConn{Reader: bytes.NewReader(data)}
		c := &pooler.Conn{Conn: target, Frontend: pgproto3.NewFrontend(target, target)}
		x := newExchange(s, c, r, false)
		must.Eq(t, resultComplete, x.run(context.Background(), r))
		must.NoError(t, s.flush())
	})
}

// Forwarding must not allocate per row.
func TestRowsDoNotAllocate(t *testing.T) {
	few, many := countAllocations(t, 10), countAllocations(t, 10010)
	t.Logf("%v allocations for 10 rows, %v for 10,010", few, many)
	must.Less(t, 20, many-few)
}
