package gossiper

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
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
		return c.fetch(ctx, a), true
	}
	return nil, false
}

func (c *Caller) greet(ctx context.Context, address string) Greeted {
	w, err := c.Client.FetchConfiguration(ctx, address, &wire.FetchRequest{})
	g := Greeted{Offered: configurer.Offered{Err: err, Source: configurer.SourcePeer}}
	if err == nil {
		g.Offered = FromFetchReply(w, nil)
	}
	for _, p := range w.GetPeers() {
		g.Peers = append(g.Peers, peerFromWire(p))
	}
	return g
}

// fetch requests the difference to the base, and the whole document if that doesn't fit.
func (c *Caller) fetch(ctx context.Context, a configurer.Fetch) configurer.Offered {
	out := configurer.Offered{Source: configurer.SourcePeer}
	for _, whole := range []bool{false, true} {
		w, err := c.Client.FetchConfiguration(ctx, a.Address, &wire.FetchRequest{NewerThan: a.NewerThan, Whole: whole})
		if err != nil {
			return configurer.Offered{Err: err, Source: configurer.SourcePeer}
		}
		out = FromFetchReply(w, a.Base)
		if !errors.Is(out.Err, configurer.ErrDifference) {
			break
		}
	}
	return out
}

// ToFetchReply returns the reply to a peer that requests the document.
func ToFetchReply(h *configurer.Held, s *Snapshot, r *wire.FetchRequest) *wire.FetchReply {
	out := &wire.FetchReply{}
	if s != nil && r.NewerThan == 0 {
		out.Peers = append(out.Peers, peerToWire(s.Self))
		for _, i := range s.Peers {
			out.Peers = append(out.Peers, peerToWire(i))
		}
	}
	if h == nil || h.Version <= r.NewerThan {
		return out
	}
	out.Version = h.Version
	if d, ok := h.Difference(r.NewerThan); ok && !r.Whole {
		out.Sum = d.Sum[:]
		for _, p := range d.Steps {
			out.Steps = append(out.Steps, &wire.Step{From: uint32(p.From), To: uint32(p.To), Text: p.Text})
		}
		return out
	}
	out.Document = h.Text
	return out
}

// FromFetchReply decodes a peer's document; base is the text of the version in the request.
// After ErrDifference, the whole document has to be fetched; no version is rejected.
func FromFetchReply(w *wire.FetchReply, base []byte) configurer.Offered {
	text := w.Document
	if len(w.Steps) > 0 {
		var d configurer.Difference
		copy(d.Sum[:], w.Sum)
		for _, p := range w.Steps {
			d.Steps = append(d.Steps, configurer.Step{From: int(p.From), To: int(p.To), Text: p.Text})
		}
		var err error
		if text, err = d.Apply(base); err != nil {
			return configurer.Offered{Err: err, Source: configurer.SourcePeer}
		}
	}
	if len(text) == 0 {
		return configurer.Offered{Source: configurer.SourcePeer}
	}
	return configurer.Offer(w.Version, text, configurer.SourcePeer)
}

// FromRequest converts a peer's exchange request to an event.
func FromRequest(w *wire.ExchangeRequest) Asked {
	return Asked{Sender: peerFromWire(w.GetSender()), Version: w.GetVersion()}
}

// FromAnnouncement converts a peer's announcement to an event.
func FromAnnouncement(w *wire.Announcement) Announced {
	a := Announced{Sender: peerFromWire(w.GetSender()), Version: w.GetVersion(), Urgent: w.GetUrgent(), Gone: w.GetGone()}
	for _, l := range w.GetLeaving() {
		a.Leaving = append(a.Leaving, noticeFromWire(l))
	}
	return a
}
