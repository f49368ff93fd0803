package replicator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/shoenig/test/must"
)

// Over TCP a follower's hello, sent right behind its start-up message, can be
// read together with it and be lost; the follower then holds nothing for good,
// and a group of three has lost a vote without a sign. So the primary answers
// the start-up message first, and the hello comes after that.
func TestStreamOpensInTwoSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := wirer.New(1)
		m := &replicator.Member{Name: "m1", Address: "10.0.0.1:5432", Network: n.Host("10.0.0.1", "a"), Log: log.NewNopLogger()}
		m.Bootstrap(m.Address)
		ended := make(chan error, 1)
		go func() { ended <- m.Run(ctx) }()
		synctest.Wait()
		conn, err := n.Host("10.0.0.2", "a").Dial(ctx, m.Address)
		must.NoError(t, err)
		f := pgproto3.NewFrontend(conn, conn)
		f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"replication": "oriole"}})
		must.NoError(t, f.Flush())
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
		answer, err := f.Receive()
		must.NoError(t, err)
		_, ok := answer.(*pgproto3.AuthenticationOk)
		must.True(t, ok)
		must.NoError(t, conn.Close())
		cancel()
		<-ended
	})
}
