package linker

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcstream"
)

// errExtraReply means that a peer sent more than one reply to a call.
var errExtraReply = errors.New("peer sent a second reply")

// callConn is a connection for calls with one request and one reply.
type callConn struct{ *drpcconn.Conn }

// Invoke implements drpc.Conn. It waits for the peer to close the call, which follows the reply
// at once. Otherwise the order of goroutines would decide whether this end sends a closing frame
// as well, and the size of a call would vary.
func (c callConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) (err error) {
	opened, err := c.NewStream(ctx, rpc, enc)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := opened.Close(); err == nil {
			err = closeErr
		}
	}()
	s, ok := opened.(*drpcstream.Stream)
	if !ok {
		panic("linker: unexpected type of stream")
	}
	// CloseSend flushes the request with its own frame.
	s.SetManualFlush(true)
	if err := s.MsgSend(in, enc); err != nil {
		return err
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	if err := s.MsgRecv(out, enc); err != nil {
		return err
	}
	switch _, err := s.RawRecv(); {
	case err == nil:
		return errExtraReply
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}
