package relayer

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/pkg/sealer"
)

// scriptedClient is a client's connection that sends fixed bytes.
type scriptedClient struct {
	scriptedConn
	out *bytes.Buffer
}

func (c scriptedClient) Write(p []byte) (int, error) { return c.out.Write(p) }
func (scriptedClient) Close() error                  { return nil }

func encodeMessages(messages ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// FuzzClient checks that no input makes the session panic or emit incomplete messages.
func FuzzClient(f *testing.F) {
	f.Add(encodeMessages(&pgproto3.Query{String: "SHOW oriole.token"}, &pgproto3.Query{String: "COMMIT"}, &pgproto3.Terminate{}))
	f.Add(encodeMessages(&pgproto3.Parse{Name: "s", Query: "SET oriole.kind = 'x'"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{}, &pgproto3.Sync{}))
	f.Add(encodeMessages(&pgproto3.Execute{Portal: "p"}, &pgproto3.Flush{}, &pgproto3.Parse{Query: "LISTEN x"}, &pgproto3.Sync{}, &pgproto3.FunctionCall{}, &pgproto3.CopyData{}))
	f.Add(encodeMessages(&pgproto3.Query{String: "/* kind=a /* -- "}, &pgproto3.Query{String: "DEALLOCATE"}, &pgproto3.Query{String: ";"}))
	g := &router.Group{Service: &configurer.Service{Name: "jobs", FailoverWait: time.Nanosecond}, Primary: -1}
	table := router.NewTable(1, &configurer.Document{}, map[string]*router.Group{"jobs": g})
	seal := &sealer.Sealer{Keys: []sealer.Key{{Number: 1, Secret: make([]byte, 16)}}}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, status := range []byte{'I', 'E'} {
			c := scriptedClient{scriptedConn: scriptedConn{Reader: bytes.NewReader(data)}, out: &bytes.Buffer{}}
			s := &Session{
				Conn: c, Backend: pgproto3.NewBackend(c, c), Service: "jobs", Sealer: seal, HasToken: true,
				Table: func() *router.Table { return table }, Count: func(string) {},
			}
			s.begin()
			s.status = status
			_ = s.loop(context.Background())
			in := pgproto3.NewFrontend(c.out, io.Discard)
			for c.out.Len() > 0 || in.ReadBufferLen() > 0 {
				if _, err := in.Receive(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
