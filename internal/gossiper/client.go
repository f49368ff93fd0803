package gossiper

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
)

// Client calls other instances. Set the exported field before use.
type Client struct {
	Links *linker.Client
}

const (
	// callTimeout bounds a call. A silent connection is closed after it, and the next call
	// dials again.
	callTimeout = 500 * time.Millisecond
	// fetchTimeout bounds a call that may return a whole document.
	fetchTimeout = 2 * time.Second
)

// Exchange requests a peer's report and returns the size of the call in bytes, both directions.
func (c *Client) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (out *wire.Report, bytes int64, err error) {
	err = c.Links.Call(ctx, callTimeout, address, func(ctx context.Context, l *linker.Link) error {
		if l.SenderSent {
			r.Sender = nil
		}
		before := l.Bytes()
		out, err = peersClient(l).Exchange(ctx, r)
		bytes = l.Bytes() - before
		l.SenderSent = err == nil
		return err
	})
	return out, bytes, err
}

// Announce sends an announcement to a peer.
func (c *Client) Announce(ctx context.Context, address string, r *wire.Announcement) error {
	return c.Links.Call(ctx, callTimeout, address, func(ctx context.Context, l *linker.Link) error {
		_, err := peersClient(l).Announce(ctx, r)
		return err
	})
}

// FetchConfiguration requests a peer's document if it is newer.
func (c *Client) FetchConfiguration(ctx context.Context, address string, r *wire.FetchRequest) (out *wire.FetchReply, err error) {
	err = c.Links.Call(ctx, fetchTimeout, address, func(ctx context.Context, l *linker.Link) error {
		out, err = peersClient(l).FetchConfiguration(ctx, r)
		return err
	})
	return out, err
}

// Cancel forwards a client's cancel request to a peer.
func (c *Client) Cancel(ctx context.Context, address string, pid, secret uint32) error {
	return c.Links.Call(ctx, callTimeout, address, func(ctx context.Context, l *linker.Link) error {
		_, err := peersClient(l).Cancel(ctx, &wire.CancelRequest{Pid: pid, Secret: secret})
		return err
	})
}

func peersClient(l *linker.Link) wire.DRPCPeersClient { return wire.NewDRPCPeersClient(l.Conn()) }
