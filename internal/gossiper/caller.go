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
		e := Exchanged{Peer: a.Peer, RequestedAt: time.Now()}
		e.Report, e.Bytes, e.Err = c.Client.Exchange(ctx, a.Peer.Address, a.Request)
		return e, true
	case Announce:
		err := c.Client.Announce(ctx, a.Peer.Address, a.Message)
		return lister.PeerCalled{Name: a.Peer.Name, OK: err == nil}, true
	case QuerySeed:
		return c.querySeed(ctx, a.Address), true
	case configurer.Fetch:
		return c.fetch(ctx, a), true
	}
	return nil, false
}

func (c *Caller) querySeed(ctx context.Context, address string) SeedReplied {
	w, err := c.Client.FetchConfiguration(ctx, address, &wire.FetchRequest{})
	g := SeedReplied{Result: configurer.ReadResult{Err: err, Source: configurer.SourcePeer}}
	if err == nil {
		g.Result = DecodeFetchReply(w, nil)
	}
	for _, p := range w.GetPeers() {
		g.Peers = append(g.Peers, peerFromWire(p))
	}
	return g
}

// fetch requests a patch to the base, and the whole document if that doesn't fit.
func (c *Caller) fetch(ctx context.Context, a configurer.Fetch) configurer.ReadResult {
	out := configurer.ReadResult{Source: configurer.SourcePeer}
	for _, whole := range []bool{false, true} {
		w, err := c.Client.FetchConfiguration(ctx, a.Address, &wire.FetchRequest{NewerThan: a.NewerThan, Whole: whole})
		if err != nil {
			return configurer.ReadResult{Err: err, Source: configurer.SourcePeer}
		}
		out = DecodeFetchReply(w, a.Base)
		if !errors.Is(out.Err, configurer.ErrPatchMismatch) {
			break
		}
	}
	return out
}

// MakeFetchReply returns the reply to a peer that requests the document.
func MakeFetchReply(h *configurer.ActiveDocument, s *Snapshot, r *wire.FetchRequest) *wire.FetchReply {
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
	if d, ok := h.PatchFrom(r.NewerThan); ok && !r.Whole {
		out.Sum = d.Sum[:]
		for _, p := range d.Steps {
			out.Steps = append(out.Steps, &wire.Step{From: uint32(p.From), To: uint32(p.To), Text: p.Text})
		}
		return out
	}
	out.Document = h.Text
	return out
}

// DecodeFetchReply decodes a peer's document; base is the text of the version in the request.
// After ErrPatchMismatch, the whole document has to be fetched; no version is rejected.
func DecodeFetchReply(w *wire.FetchReply, base []byte) configurer.ReadResult {
	text := w.Document
	if len(w.Steps) > 0 {
		var d configurer.Patch
		copy(d.Sum[:], w.Sum)
		for _, p := range w.Steps {
			d.Steps = append(d.Steps, configurer.Step{From: int(p.From), To: int(p.To), Text: p.Text})
		}
		var err error
		if text, err = d.Apply(base); err != nil {
			return configurer.ReadResult{Err: err, Source: configurer.SourcePeer}
		}
	}
	if len(text) == 0 {
		return configurer.ReadResult{Source: configurer.SourcePeer}
	}
	return configurer.DecodeResult(w.Version, text, configurer.SourcePeer)
}

// ExchangeRequestFromWire converts a peer's exchange request to an event.
func ExchangeRequestFromWire(w *wire.ExchangeRequest) ExchangeRequested {
	return ExchangeRequested{Sender: peerFromWire(w.GetSender()), Version: w.GetVersion()}
}

// AnnouncementFromWire converts a peer's announcement to an event.
func AnnouncementFromWire(w *wire.Announcement) AnnouncementReceived {
	a := AnnouncementReceived{Sender: peerFromWire(w.GetSender()), Version: w.GetVersion(), Urgent: w.GetUrgent(), SenderLeaving: w.GetGone()}
	for _, l := range w.GetLeaving() {
		a.Leaving = append(a.Leaving, noticeFromWire(l))
	}
	return a
}
