package gossiper

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/gossiper/wire"
	"github.com/oriolegw/oriolegw/internal/lister"
)

// Caller performs the actions that call peers. Set the exported field before use.
type Caller struct {
	Client *Client
}

// Perform implements controller.Performer.
func (c *Caller) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	switch a := a.(type) {
	case Exchange:
		e := Exchanged{Peer: a.Peer, Asked: time.Now()}
		e.Report, e.Bytes, e.Err = c.Client.Exchange(ctx, a.Peer.Address, a.Request)
		return e, true
	case Announce:
		err := c.Client.Announce(ctx, a.Peer.Address, a.News)
		return lister.Called{Name: a.Peer.Name, OK: err == nil}, true
	case Greet:
		return c.greet(ctx, a.Address), true
	case configurer.Fetch:
		w, err := c.Client.FetchConfiguration(ctx, a.Address, a.NewerThan)
		return offered(w, err), true
	}
	return nil, false
}

func (c *Caller) greet(ctx context.Context, address string) Greeted {
	w, err := c.Client.FetchConfiguration(ctx, address, 0)
	g := Greeted{Offered: offered(w, err)}
	for _, p := range w.GetPeers() {
		g.Peers = append(g.Peers, fromPeer(p))
	}
	return g
}

func offered(w *wire.FetchReply, err error) configurer.Offered {
	if err != nil || len(w.Document) == 0 {
		return configurer.Offered{Err: err, Source: configurer.SourcePeer}
	}
	return configurer.Offer(w.Version, w.Document, configurer.SourcePeer)
}

// FromRequest maps a peer's call.
func FromRequest(w *wire.ExchangeRequest) Asked {
	return Asked{Sender: fromPeer(w.GetSender()), Version: w.GetVersion()}
}

// FromAnnouncement maps a peer's news.
func FromAnnouncement(w *wire.Announcement) Announced {
	a := Announced{Sender: fromPeer(w.GetSender()), Version: w.GetVersion(), Urgent: w.GetUrgent(), Gone: w.GetGone()}
	for _, l := range w.GetLeaving() {
		a.Leaving = append(a.Leaving, signFromWire(l))
	}
	return a
}

// Told returns the instances that a newcomer is told of.
func (s *Snapshot) Told() []*wire.Peer {
	out := []*wire.Peer{toPeer(s.Self)}
	for _, i := range s.Peers {
		out = append(out, toPeer(i))
	}
	return out
}
