package acceptor_test

import (
	"context"
	"encoding/binary"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

func frontend(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out = append(out, encode(m)...)
	}
	return out
}

func query(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }

// FuzzStream sends arbitrary input after a valid start-up. The next client, which uses the same
// target connections, must find no settings, statements or transaction of the first, and get
// the responses to its own requests.
func FuzzStream(f *testing.F) {
	sync := &pgproto3.Sync{}
	f.Add(frontend(query("SELECT 1"), query("SET search_path = jobs"), query("BEGIN")))
	f.Add(frontend(
		&pgproto3.Parse{Name: "a", Query: "SELECT value FROM ledger WHERE key = $1"},
		&pgproto3.Describe{ObjectType: 'S', Name: "a"}, sync,
		&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{[]byte("k")}}, &pgproto3.Execute{}, sync,
	))
	f.Add(frontend(&pgproto3.Bind{PreparedStatement: "nothing"}, &pgproto3.Execute{Portal: "none"}, &pgproto3.Flush{}, sync))
	f.Add(frontend(&pgproto3.Parse{Query: "BEGIN"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'P'}, sync, sync))
	f.Add(frontend(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, &pgproto3.FunctionCall{}))
	f.Add(append(frontend(query("INSERT INTO ledger VALUES ('x', '1')")), 'Q', 0x7f, 0xff, 0xff, 0xff))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{'S', 0, 0, 0, 3})
	f.Fuzz(func(t *testing.T, stream []byte) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			fleet, err := stager.Start(ctx, stager.Plan{})
			must.NoError(t, err)
			defer func() {
				fleet.Close()
				time.Sleep(20 * time.Second) // pgx closes cancelled connections in the background
			}()
			must.NoError(t, fleet.AwaitReady(ctx))
			sendRaw(t, ctx, fleet, stream)
			c, err := fleet.Connect(ctx, fleet.Instances[0], stager.DefaultService, nil)
			must.NoError(t, err)
			defer c.Close(ctx)
			must.Eq(t, "", queryValue(t, ctx, c, "SHOW search_path"))
			_, err = c.Exec(ctx, "INSERT INTO own (key, value) VALUES ($1, $2)", "mine", "kept")
			must.NoError(t, err)
			must.Eq(t, "kept", queryValue(t, ctx, c, "SELECT value FROM own WHERE key = 'mine'"))
			must.Eq(t, byte('I'), c.PgConn().TxStatus())
		})
	})
}

// sendRaw starts a session and sends the unmodified stream.
func sendRaw(t *testing.T, ctx context.Context, fleet *stager.Fleet, stream []byte) {
	t.Helper()
	conn, err := fleet.Network.Host("10.0.9.1", "callers").Dial(ctx, fleet.Instances[0].IP+":5432")
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(startUp(pgproto3.ProtocolVersion30, map[string]string{"user": "crew", "database": stager.DefaultService}))
	must.NoError(t, err)
	for ready := false; !ready; {
		var header [5]byte
		_, err := io.ReadFull(conn, header[:])
		must.NoError(t, err)
		_, err = io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(header[1:]))-4)
		must.NoError(t, err)
		ready = header[0] == 'Z'
	}
	_, _ = conn.Write(stream)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}

func queryValue(t *testing.T, ctx context.Context, c *pgx.Conn, sql string) string {
	t.Helper()
	var v string
	must.NoError(t, c.QueryRow(ctx, sql).Scan(&v))
	return v
}
