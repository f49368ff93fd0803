// Package runner puts an entry instance together from its parts and runs it.
package runner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/greeter"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/oriolegw/oriolegw/pkg/sealer"
	"github.com/uber-go/tally/v4"
)

// connectionsPerGroup is the share of each instance until shares are agreed.
const connectionsPerGroup = 4

// Instance is one entry instance. Set the exported fields, then call Run.
type Instance struct {
	Settings *loader.Settings
	Network  networker.Network
	Log      log.Logger
	Metrics  tally.Scope
	// Store and List reach the platform.
	Store storer.Store
	List  lister.List

	table  atomic.Pointer[router.Table]
	sealer *sealer.Sealer

	sessions sessions

	mutex sync.Mutex
	pools map[string]*pooler.Pool
}

// Run serves until the context ends.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.prepare(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	orders := &commander.Postgres{Network: i.Network, Application: i.Settings.Name}
	defer orders.Close()
	control := &controller.Controller{
		Slices: []controller.Slice{
			&configurer.Slice{},
			&observer.Slice{},
			&router.Slice{Published: &i.table},
		},
		Performers: []controller.Performer{
			&configurer.Reader{Store: i.Store},
			&observer.Asker{Commander: orders},
		},
		Unknown: func(a controller.Action) {
			_ = i.Log.Log("part", "control", "msg", "No performer for an action.", "action", a.ActionName())
		},
	}
	control.Open()
	i.sessions.open(i, func(e controller.Event) { control.Post(ctx, e) })
	callers := &greeter.Greeter{Address: i.Settings.Callers, Network: i.Network, Log: i.Log, Open: i.open, Cancel: i.cancel}
	ended := make(chan error, 3)
	go func() { ended <- errors.Wrap(control.Run(ctx), "control") }()
	go func() { ended <- errors.Wrap(callers.Run(ctx), "callers") }()
	go func() { ended <- errors.Wrap(i.serveStatus(ctx), "status") }()
	_ = i.Log.Log("part", "instance", "msg", "Instance is serving.", "name", i.Settings.Name, "availability-zone", i.Settings.Zone, "callers", i.Settings.Callers)
	first := <-ended
	cancel()
	<-ended
	<-ended
	i.closePools()
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
	i.pools = map[string]*pooler.Pool{}
	return i.sealer.Check()
}

// open makes the session of a caller.
func (i *Instance) open(parameters map[string]string) (*relayer.Session, *refuser.Refusal) {
	t := i.table.Load()
	if t == nil {
		return nil, refuser.New(refuser.NoConfiguration, "instance %s", i.Settings.Name)
	}
	service := parameters["database"]
	if service == "" {
		service = parameters["user"]
	}
	if t.Document.Service(service) == nil {
		return nil, refuser.New(refuser.NoService, "service %q", service)
	}
	var floor orderer.Position
	if token := parameters[relayer.ParameterToken]; token != "" {
		var err error
		if floor, err = i.sealer.Open(service, token); err != nil {
			return nil, refuser.New(refuser.BadToken, "%v", err)
		}
	}
	s := &relayer.Session{
		Service: service, User: parameters["user"], Zone: i.Settings.Zone, Kind: parameters[relayer.ParameterKind],
		Floor: floor, Table: i.table.Load, Pool: i.pool(service), Sealer: i.sealer, Log: i.Log,
		Count: func(n string) { i.Metrics.Counter(n).Inc(1) },
	}
	return s, i.equip(s, parameters)
}

func (i *Instance) pool(service string) *pooler.Pool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	p := i.pools[service]
	if p == nil {
		p = &pooler.Pool{Network: i.Network, Application: i.Settings.Name, Limit: connectionsPerGroup}
		i.pools[service] = p
	}
	return p
}

func (i *Instance) closePools() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, p := range i.pools {
		p.Close()
	}
}

// serveStatus serves the HTTP pages.
func (i *Instance) serveStatus(ctx context.Context) error {
	if i.Settings.Status == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	l, err := i.Network.Listen(i.Settings.Status)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /ready", i.handleReady)
	s := &http.Server{Handler: mux}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	<-ctx.Done()
	_ = s.Close()
	<-ended
	return ctx.Err()
}

// handleReady answers 200 once a configuration is in force and every group has
// a primary.
func (i *Instance) handleReady(w http.ResponseWriter, _ *http.Request) {
	t := i.table.Load()
	if t == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	for n, g := range t.Groups {
		if g.Primary < 0 {
			http.Error(w, "no primary for "+n, http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = w.Write([]byte("ready\n"))
}
