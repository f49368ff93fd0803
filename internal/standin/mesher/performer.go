package mesher

import (
	"strings"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"google.golang.org/protobuf/proto"
)

// perform starts an action; its result is delivered as a later event.
func (n *Node) perform(a controller.Action) {
	m := n.mesh
	switch a := a.(type) {
	case lister.Read:
		m.Totals.ListCalls++
		n.callPlatform(func(down bool) controller.Event {
			if down || m.ListDown {
				return lister.Listed{Err: errNoResponse}
			}
			return lister.Listed{Instances: append([]lister.Instance(nil), m.List...)}
		})
	case configurer.Read:
		m.Totals.StoreReads++
		n.callPlatform(func(down bool) controller.Event {
			if down || m.StoreDown || m.version == 0 {
				return configurer.ReadResult{Err: errNoResponse, Source: configurer.SourceStore}
			}
			return configurer.DecodeResult(m.version, m.text, configurer.SourceStore)
		})
	case configurer.Watch:
		m.Totals.StoreWatches++
		m.watch(n, a.Since)
	case configurer.Fetch:
		n.fetch(a.Address, a.NewerThan, a.Base, func(o configurer.ReadResult, _ []lister.Instance) controller.Event { return o })
	case gossiper.QuerySeed:
		n.fetch(a.Address, 0, nil, func(o configurer.ReadResult, peers []lister.Instance) controller.Event {
			return gossiper.SeedReplied{Result: o, Peers: peers}
		})
	case gossiper.Exchange:
		n.exchange(a)
	case gossiper.Announce:
		n.announce(a)
	case observer.Poll:
		n.queryTarget(a)
	}
}

// callPlatform delivers the event returned by f, whose argument reports whether the
// platform is unreachable.
func (n *Node) callPlatform(f func(down bool) controller.Event) {
	m := n.mesh
	if m.partitioned(n.Zone, platformZone) {
		m.schedule(2*time.Second, func() { n.Deliver(f(true)) })
		return
	}
	m.schedule(2*Latency, func() { n.Deliver(f(false)) })
}

func (m *Mesh) watch(n *Node, since int64) {
	w := &watch{node: n, sinceVersion: since}
	m.watches = append(m.watches, w)
	m.schedule(watchTimeout, func() { m.endWatch(w, configurer.ReadResult{Source: configurer.SourceWatch}) })
	m.scheduleWatchResponse(w)
}

// scheduleWatchResponse ends the watch after a round trip if there is a result to return.
func (m *Mesh) scheduleWatchResponse(w *watch) {
	m.schedule(2*Latency, func() {
		switch {
		case m.partitioned(w.node.Zone, platformZone): // the watch times out
		case m.StoreDown:
			m.endWatch(w, configurer.ReadResult{Err: errNoResponse, Source: configurer.SourceWatch})
		case m.version > w.sinceVersion:
			m.endWatch(w, configurer.DecodeResult(m.version, m.text, configurer.SourceWatch))
		}
	})
}

func (m *Mesh) endWatch(w *watch, o configurer.ReadResult) {
	if w.ended {
		return
	}
	w.ended = true
	for i, x := range m.watches {
		if x == w {
			m.watches = append(m.watches[:i], m.watches[i+1:]...)
			break
		}
	}
	w.node.Deliver(o)
}

// call runs f on another node after the latency, or onFailure if it can't be reached.
func (n *Node) call(address string, f func(*Node), onFailure func()) {
	m := n.mesh
	to := m.Node(address)
	switch {
	case to == nil || to.Dead:
		m.schedule(2*Latency, onFailure) // refused
	case m.partitioned(n.Zone, to.Zone) || to.Paused:
		m.schedule(CallTimeout, onFailure)
	default:
		m.schedule(Latency, func() { f(to) })
	}
}

func (m *Mesh) countBytes(messages ...proto.Message) int64 {
	b := int64(ExchangeOverhead)
	for _, p := range messages {
		b += int64(proto.Size(p))
	}
	m.Totals.Bytes += b
	return b
}

func (n *Node) exchange(a gossiper.Exchange) {
	m, requestedAt := n.mesh, n.mesh.Now
	m.Totals.Exchanges++
	// Only the first request of a connection contains the sender; the peer stores it.
	sender := a.Request.Sender
	if a.Request.Run != 0 {
		a.Request.Sender = nil
	}
	n.call(a.Peer.Address, func(to *Node) {
		to.Deliver(gossiper.ExchangeRequestFromWire(&wire.ExchangeRequest{Version: a.Request.Version, Sender: sender}))
		s := to.gossipSnapshot.Load()
		if s == nil {
			s = &gossiper.Snapshot{Self: to.ListEntry()}
		}
		r := s.Report(m.Now, a.Request)
		bytes := m.countBytes(a.Request, r)
		m.schedule(Latency, func() { n.Deliver(gossiper.Exchanged{Peer: a.Peer, Report: r, RequestedAt: requestedAt, Bytes: bytes}) })
	}, func() { n.Deliver(gossiper.Exchanged{Peer: a.Peer, RequestedAt: requestedAt, Err: errNoResponse}) })
}

func (n *Node) announce(a gossiper.Announce) {
	m := n.mesh
	m.Totals.Announcements++
	m.countBytes(a.Message)
	if m.DropAnnouncements {
		m.schedule(CallTimeout, func() { n.Deliver(lister.PeerCalled{Name: a.Peer.Name}) })
		return
	}
	n.call(a.Peer.Address, func(to *Node) {
		to.Deliver(gossiper.AnnouncementFromWire(a.Message))
		m.schedule(Latency, func() { n.Deliver(lister.PeerCalled{Name: a.Peer.Name, OK: true}) })
	}, func() { n.Deliver(lister.PeerCalled{Name: a.Peer.Name}) })
}

func (n *Node) fetch(address string, newerThan int64, base []byte, f func(configurer.ReadResult, []lister.Instance) controller.Event) {
	m := n.mesh
	m.Totals.Fetches++
	n.call(address, func(to *Node) {
		w := gossiper.MakeFetchReply(to.activeDocument.Load(), to.gossipSnapshot.Load(), &wire.FetchRequest{NewerThan: newerThan})
		var peers []lister.Instance
		if s := to.gossipSnapshot.Load(); s != nil && newerThan == 0 {
			peers = append(append(peers, to.ListEntry()), s.Peers...)
		}
		m.Totals.FetchBytes += m.countBytes(w)
		o := gossiper.DecodeFetchReply(w, base)
		m.schedule(Latency, func() { n.Deliver(f(o, peers)) })
	}, func() { n.Deliver(f(configurer.ReadResult{Err: errNoResponse, Source: configurer.SourcePeer}, nil)) })
}

// queryTarget simulates a target whose log grows by one entry per millisecond.
func (n *Node) queryTarget(a observer.Poll) {
	m, started := n.mesh, n.mesh.Now
	n.StatusQueries++
	m.Totals.StatusQueries++
	o := observer.Observed{Service: a.Service, Member: a.Member.Name, Started: started}
	if m.partitioned(n.Zone, a.Member.Zone) {
		o.Err = errNoResponse
		m.schedule(CallTimeout, func() { n.Deliver(o) })
		return
	}
	p := orderer.Position{Term: 1, Offset: 1<<40 + uint64(m.Now.Sub(m.start)/time.Millisecond)}
	o.Status = commander.Status{Role: commander.RoleReplica, Term: 1, Owner: "entry-a-1", Received: p, Replayed: p}
	if strings.HasSuffix(a.Member.Name, "-1") {
		o.Status.Role = commander.RolePrimary
	}
	m.schedule(2*Latency, func() { n.Deliver(o) })
}
