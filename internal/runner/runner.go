// Package runner assembles an oriolegw instance from its components and runs it.
package runner

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/oriolegw/oriolegw/pkg/sealer"
	"github.com/uber-go/tally/v4"
)

// Instance is one oriolegw instance. Set the exported fields, then call Run.
type Instance struct {
	Settings *loader.Settings
	Network  networker.Network
	Log      log.Logger
	Metrics  tally.Scope
	// Registry is the registry of the metrics for the status pages; nil if they show none.
	Registry *reporter.Registry
	// Store and List are clients of the platform's key-value store and instance list.
	Store     storer.Store
	Instances lister.List
	// Seed seeds the random number generators; 0 means a random seed.
	Seed uint64
	// Events are passed to the control loop at its next tick; nil for none.
	Events <-chan controller.Event

	table  atomic.Pointer[router.Table]
	sealer *sealer.Sealer
	drain  drain

	sessions sessions

	groups atomic.Pointer[groupTable]
	shares shareTable
}

// Run serves until the context ends or the instance has drained.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.prepare(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := &commander.Postgres{Network: i.Network, Application: i.Settings.Name, Pooled: i.runControlStatement}
	defer members.Close()
	control := &controller.Controller{}
	peers := i.newPeers(control.Post)
	defer peers.client.Links.Close()
	*control = controller.Controller{
		Slices: append(peers.slices(), &router.Slice{Published: &i.table}),
		Performers: append(peers.performers(),
			&observer.Poller{Commander: members},
		),
		OnUnknownAction: func(a controller.Action) {
			_ = i.Log.Log("part", "control", "msg", "No performer for an action.", "action", a.ActionName())
		},
	}
	failover, promotions := i.failoverSlices(members)
	control.Slices = append(control.Slices, failover...)
	control.Performers = append(control.Performers, promotions)
	i.addShareSlice(control)
	control.Open()
	i.sessions.initialize(i, func(e controller.Event) { control.Post(ctx, e) })
	i.sessions.cancels.Forwarder = peers
	clients, err := i.newAcceptor()
	if err != nil {
		return err
	}
	control.Slices = append(control.Slices, i.drain.initialize(i, clients, cancel), &i.drain)
	control.Performers = append(control.Performers, &i.drain)
	done := make(chan error, 5)
	go func() { done <- errors.Wrap(control.Run(ctx), "control") }()
	go func() { done <- errors.Wrap(clients.Run(ctx), "callers") }()
	go func() { done <- errors.Wrap(i.statusPages(ctx, control, clients).Run(ctx), "pages") }()
	go func() { done <- errors.Wrap(peers.server().Run(ctx), "peers") }()
	_ = i.Log.Log("part", "instance", "msg", "Instance is serving.", "name", i.Settings.Name, "availability-zone", i.Settings.Zone, "callers", i.Settings.Callers)
	go func() { done <- errors.Wrap(i.runGroups(ctx, control), "groups") }()
	first := <-done
	cancel()
	for range cap(done) - 1 {
		<-done
	}
	if i.drain.drained.Load() {
		return nil
	}
	return first
}

func (i *Instance) prepare() error {
	i.sealer = &sealer.Sealer{}
	for _, k := range i.Settings.TokenKeys {
		i.sealer.Keys = append(i.sealer.Keys, sealer.Key{Number: k.Number, Secret: []byte(k.Secret)})
	}
	if i.Metrics == nil {
		i.Metrics = tally.NoopScope
	}
	reporter.DeclareCounters(i.Metrics)
	return i.sealer.Validate()
}

// openSession creates the session of a client, or returns why it is refused.
func (i *Instance) openSession(parameters map[string]string) (*relayer.Session, *refuser.Refusal) {
	table := i.table.Load()
	if table == nil {
		return nil, refuser.New(refuser.NoConfiguration, "instance %s", i.Settings.Name)
	}
	service := parameters["database"]
	if service == "" {
		service = parameters["user"]
	}
	if table.Document.Service(service) == nil {
		return nil, refuser.New(refuser.NoService, "service %q", service)
	}
	entry := i.group(service)
	if entry == nil { // configured, but not created yet
		return nil, refuser.New(refuser.NoConfiguration, "service %q", service)
	}
	entry.used.Store(true)
	var minPosition orderer.Position
	if token := parameters[relayer.ParameterToken]; token != "" {
		var err error
		if minPosition, err = i.sealer.Open(service, token); err != nil {
			return nil, refuser.New(refuser.BadToken, "%v", err)
		}
	}
	session := &relayer.Session{
		Service: service, User: parameters["user"], Zone: i.Settings.Zone, Kind: parameters[relayer.ParameterKind],
		Floor: minPosition, Table: i.table.Load, Pool: entry.admission, Retries: entry.retries, Sealer: i.sealer, Log: i.Log,
		Count: i.incrementCounter,
	}
	return session, i.initSession(session, parameters)
}
