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
	// peers is the part of an instance that talks with the others.
	peers struct {
		instance  *Instance
		published atomic.Pointer[gossiper.Snapshot]
		held      atomic.Pointer[configurer.ActiveDocument]
		client    *gossiper.Client
		post      func(context.Context, controller.Event)
	}

	// suspicions hands the detector's suspicions to the gossiper. The two
	// packages can't know each other: the detector reads what peers report.
	suspicions struct{}

	// uses tells every useInterval which services callers use.
	uses struct{ next time.Time }

	countUses struct{}

	// reports counts and logs what the slices find wrong.
	reports struct {
		instance *Instance
		// told are the peers whose refusal has been logged.
		told map[string]bool
	}
)

// useInterval is how soon a service's first caller makes its observations
// flow at the full pace.
const useInterval = 500 * time.Millisecond

func (countUses) ActionName() string { return "count-uses" }

func (i *Instance) openPeers(post func(context.Context, controller.Event)) *peers {
	p := &peers{instance: i, post: post}
	p.client = &gossiper.Client{Links: &linker.Client{Network: i.Network, Secrets: p.secrets(), Versions: linker.CurrentVersions}}
	return p
}

// secrets are the token keys: peers derive a key of their own from each.
func (p *peers) secrets() []linker.Secret {
	var out []linker.Secret
	for _, k := range p.instance.Settings.TokenKeys {
		out = append(out, linker.Secret{KeyNumber: k.Number, Value: []byte(k.Secret)})
	}
	return out
}

func (p *peers) self() lister.Instance {
	s := p.instance.Settings
	return lister.Instance{Name: s.Name, Kind: lister.KindEntry, Address: s.Peers, Zone: s.Zone, State: lister.StateLive}
}

func (p *peers) random(use string) *rand.Rand {
	seed := p.instance.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.instance.Settings.Name + "/" + use))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (p *peers) slices() []controller.Slice {
	s, self := p.instance.Settings, p.self()
	return []controller.Slice{
		&lister.Slice{Self: self, Random: p.random("lister")},
		&configurer.Slice{Instance: s.Name, Zone: s.Zone, Random: p.random("configurer"), Active: &p.held},
		&drainer.Slice{},
		&observer.Slice{Instance: s.Name, Zone: s.Zone},
		suspicions{},
		&gossiper.Slice{
			Self: self, Run: rand.Uint32(), Random: p.random("gossiper"), Published: &p.published, Seeds: s.Seeds,
		},
		&uses{},
		&reports{instance: p.instance},
	}
}

func (p *peers) performers() []controller.Performer {
	return []controller.Performer{
		&configurer.Reader{Store: p.instance.Store},
		&lister.Reader{List: p.instance.List},
		&gossiper.Caller{Client: p.client},
		p,
	}
}

// server answers the other instances.
func (p *peers) server() *linker.Server {
	i := p.instance
	return &linker.Server{
		Address: i.Settings.Peers, Network: i.Network, Secrets: p.secrets(), Versions: linker.CurrentVersions,
		Log: i.Log, Count: func(name string) { i.Metrics.Counter(name).Inc(1) },
		Register: p.answers().Register,
	}
}

// answers are those to what the other instances ask.
func (p *peers) answers() *gossiper.Server {
	i := p.instance
	return &gossiper.Server{
		Exchange:       p.exchange,
		OnAnnouncement: func(ctx context.Context, w *wire.Announcement) { p.post(ctx, gossiper.AnnouncementFromWire(w)) },
		Configuration:  p.configuration,
		Cancel: func(ctx context.Context, pid, secret uint32) error {
			return i.sessions.cancels.CancelLocal(ctx, canceller.Key{PID: pid, Secret: secret})
		},
	}
}

func (p *peers) exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.Report, error) {
	p.post(ctx, gossiper.ExchangeRequestFromWire(r))
	s := p.published.Load()
	if s == nil {
		s = &gossiper.Snapshot{Self: p.self()}
	}
	return s.Report(time.Now(), r), nil
}

func (p *peers) configuration(r *wire.FetchRequest) *wire.FetchReply {
	return gossiper.MakeFetchReply(p.held.Load(), p.published.Load(), r)
}

// ForwardCancel implements canceller.Forwarder. Tags are short, so several
// instances may carry one: each is asked, and the secret decides.
func (p *peers) ForwardCancel(ctx context.Context, instance uint16, pid, secret uint32) error {
	err := errors.Wrap(canceller.ErrUnknown, "no instance has the tag")
	s := p.published.Load()
	if s == nil {
		return err
	}
	for _, i := range s.Members {
		if i.Name == s.Self.Name || canceller.Tag(i.Name) != instance {
			continue
		}
		if err = p.client.Cancel(ctx, i.Address, pid, secret); err == nil {
			return nil
		}
	}
	return err
}

// Step implements controller.Slice.
func (suspicions) Step(_ time.Time, e controller.Event) []controller.Action {
	d, ok := e.(detector.Suspected)
	if !ok {
		return nil
	}
	return []controller.Action{controller.Emit{Event: gossiper.Suspicion{Service: d.Service, Member: d.Member, On: d.On}}}
}

// Step implements controller.Slice.
func (u *uses) Step(now time.Time, e controller.Event) []controller.Action {
	if _, ok := e.(controller.Tick); !ok || now.Before(u.next) {
		return nil
	}
	u.next = now.Add(useInterval)
	return []controller.Action{countUses{}}
}

// Perform implements controller.Performer.
func (p *peers) Perform(_ context.Context, a controller.Action) (controller.Event, bool) {
	if _, ok := a.(countUses); !ok {
		return nil, false
	}
	p.client.Links.CloseIdle(time.Now())
	return observer.Used{Services: p.instance.used()}, true
}

// Step implements controller.Slice.
func (r *reports) Step(_ time.Time, e controller.Event) []controller.Action {
	i := r.instance
	switch e := e.(type) {
	case configurer.Activated:
		_ = i.Log.Log("part", "configuration", "msg", "Document is in force.", "version", e.Version)
	case configurer.Rejected:
		i.Metrics.Counter("configuration-rejected").Inc(1)
		_ = i.Log.Log("part", "configuration", "msg", "Document can't be read; what was in force stays.", "version", e.Version, "cause", e.Err)
	case drainer.TargetLeaving:
		i.Metrics.Counter("target-leaving." + e.Source).Inc(1)
		_ = i.Log.Log("part", "drain", "msg", "Leaving state of a target has changed.", "service", e.Service, "member", e.Member, "leaving", e.Leaving, "source", e.Source)
	case gossiper.Exchanged:
		r.exchanged(e)
	}
	return nil
}

// exchanged counts failures, and logs once for each peer those that no retry
// mends: a fleet whose keys or versions do not fit needs an operator.
func (r *reports) exchanged(e gossiper.Exchanged) {
	if e.Err == nil {
		delete(r.told, e.Peer.Name)
		return
	}
	r.instance.Metrics.Counter("peer-failed.exchange").Inc(1)
	final := errors.Is(e.Err, linker.ErrForeignFleet) || errors.Is(e.Err, linker.ErrWireVersion)
	if !final || r.told[e.Peer.Name] {
		return
	}
	if r.told == nil {
		r.told = map[string]bool{}
	}
	r.told[e.Peer.Name] = true
	_ = r.instance.Log.Log("part", "peers", "msg", "Peer refuses this instance, or is refused.", "peer", e.Peer.Name, "address", e.Peer.Address, "cause", e.Err)
}
