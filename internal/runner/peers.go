package runner

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/canceller"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
)

type (
	// peers is the communication of an instance with the others: gossip, configuration
	// fetches and forwarded cancel requests.
	peers struct {
		instance            *Instance
		published           atomic.Pointer[gossiper.Snapshot]
		activeConfiguration atomic.Pointer[configurer.ActiveDocument]
		client              *gossiper.Client
		post                func(context.Context, controller.Event)
	}

	// suspicionForwarder passes suspicions of the detector on to the gossiper, so that neither
	// package imports the other.
	suspicionForwarder struct{}

	// usageTimer requests, every usageInterval, the services that clients use.
	usageTimer struct{ next time.Time }

	// collectUsage is the action that reports the services in use.
	collectUsage struct{}

	// eventLogger logs and counts configuration changes, draining targets and gossip failures.
	eventLogger struct {
		instance *Instance
		// refusalLogged contains the peers whose refusal has been logged.
		refusalLogged map[string]bool
	}
)

// usageInterval bounds the delay until a service is observed at the full rate after its
// first client session.
const usageInterval = 500 * time.Millisecond

func (collectUsage) ActionName() string { return "count-uses" }

func (i *Instance) newPeers(post func(context.Context, controller.Event)) *peers {
	p := &peers{instance: i, post: post}
	p.client = &gossiper.Client{Links: &linker.Client{Network: i.Network, Secrets: p.linkSecrets(), Versions: linker.CurrentVersions}}
	return p
}

// linkSecrets returns the token keys, from which the link keys are derived.
func (p *peers) linkSecrets() []linker.Secret {
	var out []linker.Secret
	for _, k := range p.instance.Settings.TokenKeys {
		out = append(out, linker.Secret{KeyNumber: k.Number, Value: []byte(k.Secret)})
	}
	return out
}

func (p *peers) self() lister.Instance {
	settings := p.instance.Settings
	return lister.Instance{Name: settings.Name, Kind: lister.KindEntry, Address: settings.PeerAddress, Zone: settings.Zone, State: lister.StateLive}
}

func (p *peers) newRandom(purpose string) *rand.Rand {
	seed := p.instance.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.instance.Settings.Name + "/" + purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (p *peers) slices() []controller.Slice {
	settings, self := p.instance.Settings, p.self()
	return []controller.Slice{
		&lister.Slice{Self: self, Random: p.newRandom("lister")},
		&configurer.Slice{Instance: settings.Name, Zone: settings.Zone, Random: p.newRandom("configurer"), Active: &p.activeConfiguration},
		&drainer.Slice{},
		&observer.Slice{Instance: settings.Name, Zone: settings.Zone},
		suspicionForwarder{},
		&gossiper.Slice{
			Self: self, Incarnation: rand.Uint32(), Random: p.newRandom("gossiper"), Published: &p.published, Seeds: settings.Seeds,
		},
		&usageTimer{},
		&eventLogger{instance: p.instance},
	}
}

func (p *peers) performers() []controller.Performer {
	return []controller.Performer{
		&configurer.Reader{Store: p.instance.Store},
		&lister.Reader{List: p.instance.Instances},
		&gossiper.Caller{Client: p.client},
		p,
	}
}

// server returns the server for requests of other instances.
func (p *peers) server() *linker.Server {
	i := p.instance
	return &linker.Server{
		Address: i.Settings.PeerAddress, Network: i.Network, Secrets: p.linkSecrets(), Versions: linker.CurrentVersions,
		Log: i.Log, Count: func(name string) { i.Metrics.Counter(name).Inc(1) },
		Register: p.gossipServer().Register,
	}
}

// gossipServer returns the handlers for requests of other instances.
func (p *peers) gossipServer() *gossiper.Server {
	i := p.instance
	return &gossiper.Server{
		Exchange:       p.answerExchange,
		OnAnnouncement: func(ctx context.Context, w *wire.Announcement) { p.post(ctx, gossiper.AnnouncementFromWire(w)) },
		Configuration:  p.answerFetch,
		Cancel: func(ctx context.Context, pid, secret uint32) error {
			return i.sessions.cancels.CancelLocal(ctx, canceller.Key{PID: pid, Secret: secret})
		},
	}
}

func (p *peers) answerExchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.Report, error) {
	p.post(ctx, gossiper.ExchangeRequestFromWire(request))
	snapshot := p.published.Load()
	if snapshot == nil {
		snapshot = &gossiper.Snapshot{Self: p.self()}
	}
	return snapshot.Report(time.Now(), request), nil
}

func (p *peers) answerFetch(request *wire.FetchRequest) *wire.FetchReply {
	return gossiper.MakeFetchReply(p.activeConfiguration.Load(), p.published.Load(), request)
}

// ForwardCancel implements canceller.Forwarder. Several instances may have the same tag:
// it tries each, and the secret identifies the right one.
func (p *peers) ForwardCancel(ctx context.Context, instance uint16, pid, secret uint32) error {
	err := errors.Wrap(canceller.ErrUnknown, "no peer has the tag of the cancel key")
	snapshot := p.published.Load()
	if snapshot == nil {
		return err
	}
	for _, member := range snapshot.Members {
		if member.Name == snapshot.Self.Name || canceller.Tag(member.Name) != instance {
			continue
		}
		if err = p.client.Cancel(ctx, member.Address, pid, secret); err == nil {
			return nil
		}
	}
	return err
}

// Step implements controller.Slice.
func (suspicionForwarder) Step(_ time.Time, e controller.Event) []controller.Action {
	d, ok := e.(detector.Suspected)
	if !ok {
		return nil
	}
	return []controller.Action{controller.Emit{Event: gossiper.Suspicion{Service: d.Service, Member: d.Member, On: d.Active}}}
}

// Step implements controller.Slice.
func (u *usageTimer) Step(now time.Time, e controller.Event) []controller.Action {
	if _, ok := e.(controller.Tick); !ok || now.Before(u.next) {
		return nil
	}
	u.next = now.Add(usageInterval)
	return []controller.Action{collectUsage{}}
}

// Perform implements controller.Performer.
func (p *peers) Perform(_ context.Context, a controller.Action) (controller.Event, bool) {
	if _, ok := a.(collectUsage); !ok {
		return nil, false
	}
	p.client.Links.CloseIdle(time.Now())
	return observer.ServicesInUse{Services: p.instance.usedServices()}, true
}

// Step implements controller.Slice.
func (l *eventLogger) Step(_ time.Time, e controller.Event) []controller.Action {
	i := l.instance
	switch e := e.(type) {
	case configurer.Activated:
		_ = i.Log.Log("part", "configuration", "msg", "Configuration applied.", "version", e.Version)
	case configurer.Rejected:
		i.Metrics.Counter("configuration-rejected").Inc(1)
		_ = i.Log.Log("part", "configuration", "msg", "Configuration rejected; the previous version stays in effect.", "version", e.Version, "cause", e.Err)
	case drainer.TargetLeaving:
		i.Metrics.Counter("target-leaving." + e.Source).Inc(1)
		_ = i.Log.Log("part", "drain", "msg", "Draining state of a target has changed.", "service", e.Service, "member", e.Member, "leaving", e.Leaving, "source", e.Source)
	case gossiper.Exchanged:
		l.recordExchange(e)
	}
	return nil
}

// recordExchange counts failures. It logs mismatched keys and versions, once per peer, since
// retries can't resolve them.
func (l *eventLogger) recordExchange(e gossiper.Exchanged) {
	if e.Err == nil {
		delete(l.refusalLogged, e.Peer.Name)
		return
	}
	l.instance.Metrics.Counter("peer-failed.exchange").Inc(1)
	permanent := errors.Is(e.Err, linker.ErrForeignFleet) || errors.Is(e.Err, linker.ErrWireVersion)
	if !permanent || l.refusalLogged[e.Peer.Name] {
		return
	}
	if l.refusalLogged == nil {
		l.refusalLogged = map[string]bool{}
	}
	l.refusalLogged[e.Peer.Name] = true
	_ = l.instance.Log.Log("part", "peers", "msg", "Link to a peer refused: keys or protocol versions differ.", "peer", e.Peer.Name, "address", e.Peer.Address, "cause", e.Err)
}
