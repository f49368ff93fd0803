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

// perform carries an action out; the event that answers it comes later.
func (n *Node) perform(a controller.Action) {
	m := n.mesh
	switch a := a.(type) {
	case lister.Read:
		m.Counts.ListCalls++
		n.platform(func(down bool) controller.Event {
			if down || m.ListDown {
				return lister.Listed{Err: errCut}
			}
			return lister.Listed{Instances: append([]lister.Instance(nil), m.List...)}
		})
	case configurer.Read:
		m.Counts.StoreReads++
		n.platform(func(down bool) controller.Event {
			if down || m.StoreDown || m.version == 0 {
				return configurer.ReadResult{Err: errCut, Source: configurer.SourceStore}
			}
			return configurer.DecodeResult(m.version, m.text, configurer.SourceStore)
		})
	case configurer.Watch:
		m.Counts.StoreWatches++
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
		n.ask(a)
	}
}

// platform calls the platform.
func (n *Node) platform(f func(down bool) controller.Event) {
	m := n.mesh
	if m.cut(n.Zone, platformZone) {
		m.after(2*time.Second, func() { n.Give(f(true)) })
		return
	}
	m.after(2*Latency, func() { n.Give(f(false)) })
}

func (m *Mesh) watch(n *Node, since int64) {
	w := &watch{node: n, since: since}
	m.waiting = append(m.waiting, w)
	m.after(watchFor, func() { m.end(w, configurer.ReadResult{Source: configurer.SourceWatch}) })
	m.answer(w)
}

// answer ends a watch that has something to tell.
func (m *Mesh) answer(w *watch) {
	m.after(2*Latency, func() {
		switch {
		case m.cut(w.node.Zone, platformZone): // nothing arrives; the watch runs out
		case m.StoreDown:
			m.end(w, configurer.ReadResult{Err: errCut, Source: configurer.SourceWatch})
		case m.version > w.since:
			m.end(w, configurer.DecodeResult(m.version, m.text, configurer.SourceWatch))
		}
	})
}

func (m *Mesh) end(w *watch, o configurer.ReadResult) {
	if w.ended {
		return
	}
	w.ended = true
	for i, x := range m.waiting {
		if x == w {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			break
		}
	}
	w.node.Give(o)
}

// reach calls f on another node after the latency, or lost after the timeout.
func (n *Node) reach(address string, f func(*Node), lost func()) {
	m := n.mesh
	to := m.Node(address)
	switch {
	case to == nil || to.Dead:
		m.after(2*Latency, lost) // refused
	case m.cut(n.Zone, to.Zone) || to.Paused:
		m.after(CallTimeout, lost)
	default:
		m.after(Latency, func() { f(to) })
	}
}

func (m *Mesh) carry(messages ...proto.Message) int64 {
	b := int64(Overhead)
	for _, p := range messages {
		b += int64(proto.Size(p))
	}
	m.Counts.Bytes += b
	return b
}

func (n *Node) exchange(a gossiper.Exchange) {
	m, asked := n.mesh, n.mesh.Now
	m.Counts.Exchanges++
	// The connection's other end remembers who calls.
	sender := a.Request.Sender
	if a.Request.Run != 0 {
		a.Request.Sender = nil
	}
	n.reach(a.Peer.Address, func(to *Node) {
		to.Give(gossiper.ExchangeRequestFromWire(&wire.ExchangeRequest{Version: a.Request.Version, Sender: sender}))
		s := to.published.Load()
		if s == nil {
			s = &gossiper.Snapshot{Self: to.Self()}
		}
		r := s.Report(m.Now, a.Request)
		bytes := m.carry(a.Request, r)
		m.after(Latency, func() { n.Give(gossiper.Exchanged{Peer: a.Peer, Report: r, RequestedAt: asked, Bytes: bytes}) })
	}, func() { n.Give(gossiper.Exchanged{Peer: a.Peer, RequestedAt: asked, Err: errCut}) })
}

func (n *Node) announce(a gossiper.Announce) {
	m := n.mesh
	m.Counts.Announces++
	m.carry(a.Message)
	if m.Mute {
		m.after(CallTimeout, func() { n.Give(lister.PeerCalled{Name: a.Peer.Name}) })
		return
	}
	n.reach(a.Peer.Address, func(to *Node) {
		to.Give(gossiper.AnnouncementFromWire(a.Message))
		m.after(Latency, func() { n.Give(lister.PeerCalled{Name: a.Peer.Name, OK: true}) })
	}, func() { n.Give(lister.PeerCalled{Name: a.Peer.Name}) })
}

func (n *Node) fetch(address string, newerThan int64, base []byte, f func(configurer.ReadResult, []lister.Instance) controller.Event) {
	m := n.mesh
	m.Counts.Fetches++
	n.reach(address, func(to *Node) {
		w := gossiper.MakeFetchReply(to.held.Load(), to.published.Load(), &wire.FetchRequest{NewerThan: newerThan})
		var peers []lister.Instance
		if s := to.published.Load(); s != nil && newerThan == 0 {
			peers = append(append(peers, to.Self()), s.Peers...)
		}
		m.Counts.FetchBytes += m.carry(w)
		o := gossiper.DecodeFetchReply(w, base)
		m.after(Latency, func() { n.Give(f(o, peers)) })
	}, func() { n.Give(f(configurer.ReadResult{Err: errCut, Source: configurer.SourcePeer}, nil)) })
}

// ask answers for a target, whose log grows by an entry each millisecond.
func (n *Node) ask(a observer.Poll) {
	m, started := n.mesh, n.mesh.Now
	n.Asked++
	m.Counts.Questions++
	o := observer.Observed{Service: a.Service, Member: a.Member.Name, Started: started}
	if m.cut(n.Zone, a.Member.Zone) {
		o.Err = errCut
		m.after(CallTimeout, func() { n.Give(o) })
		return
	}
	p := orderer.Position{Term: 1, Offset: 1<<40 + uint64(m.Now.Sub(m.start)/time.Millisecond)}
	o.Status = commander.Status{Role: commander.RoleReplica, Term: 1, Owner: "entry-a-1", Received: p, Replayed: p}
	if strings.HasSuffix(a.Member.Name, "-1") {
		o.Status.Role = commander.RolePrimary
	}
	m.after(2*Latency, func() { n.Give(o) })
}
