package replicator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/shoenig/test/must"
)

// The primary answers the start-up message before it reads the stream request. Otherwise it could
// read both at once, lose the request and leave the follower without a stream.
func TestPrimaryAnswersStartupBeforeStreamRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := netsimulator.New(1)
		m := &replicator.Member{Name: "m1", Address: "10.0.0.1:5432", Network: n.Host("10.0.0.1", "a"), Log: log.NewNopLogger()}
		m.Bootstrap(m.Address)
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		synctest.Wait()
		conn, err := n.Host("10.0.0.2", "a").Dial(ctx, m.Address)
		must.NoError(t, err)
		f := pgproto3.NewFrontend(conn, conn)
		f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"replication": "oriole"}})
		must.NoError(t, f.Flush())
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
		message, err := f.Receive()
		must.NoError(t, err)
		_, ok := message.(*pgproto3.AuthenticationOk)
		must.True(t, ok)
		must.NoError(t, conn.Close())
		cancel()
		<-done
	})
}
