// Package stager runs a complete fleet in one process for tests: the platform, groups
// of targets and entry instances, each a host on an in-memory network. It runs the
// production code of the instances, on virtual time inside testing/synctest.
package stager

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/runner"
	"github.com/oriolegw/oriolegw/internal/standin/keeper"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/uber-go/tally/v4"
)

type (
	// Plan configures a fleet. The zero value of every field is usable.
	Plan struct {
		Seed uint64
		// Zones are the availability zones; the default is "a", "b", "c".
		Zones []string
		// Services are the groups; the first member of each starts as primary. A
		// group without members gets one in each zone. The default is one group.
		Services []configurer.Service
		// InstancesPerZone is the number of instances in each zone; 0 means 1, a negative
		// number none.
		InstancesPerZone int
		// ZoneLatency is the one-way delay between zones, ClientLatency that
		// between clients and instances.
		ZoneLatency, ClientLatency time.Duration
		// Jitter is the maximum random addition to each delay.
		Jitter time.Duration
		// ConnectTime, ExecutionTime and Slots are the targets' time to accept a connection,
		// execution time of a statement and number of concurrent statements.
		ConnectTime, ExecutionTime time.Duration
		Slots                      int
		Log                        log.Logger
		// Users are added to the configuration document; Settings modifies the
		// settings of each instance.
		Users    []configurer.User
		Settings func(*loader.Settings)
	}

	// Fleet is a running fleet.
	Fleet struct {
		Plan      Plan
		Network   *netsimulator.Net
		Store     *storer.Memory
		Platform  *keeper.Keeper
		Document  *configurer.Document
		Members   []*Target
		Instances []*Instance

		ctx       context.Context
		cancel    context.CancelFunc
		ended     chan error
		processes int
		starts    uint64 // instance starts so far; part of each instance's seed
	}

	// Target is the process of one member of a group.
	Target struct {
		*replicator.Member
		Service string
		IP      string
		Zone    string

		cancel context.CancelFunc
		ended  chan error
	}

	// Instance is the process of one entry instance.
	Instance struct {
		Name    string
		IP      string
		Zone    string
		Metrics tally.TestScope
		// Events are delivered to the instance's control loop.
		Events chan controller.Event

		cancel context.CancelFunc
		ended  chan error
	}
)

const (
	platformIP     = "10.0.0.1"
	eventQueueSize = 16
	clientIP       = "10.0.9.1"
	tokenKey       = "0123456789abcdef0123456789abcdef"
	// DefaultService is the service of a plan without services.
	DefaultService = "lockers"
)

func (p *Plan) setDefaults() {
	if len(p.Zones) == 0 {
		p.Zones = []string{"a", "b", "c"}
	}
	if p.InstancesPerZone == 0 {
		p.InstancesPerZone = 1
	}
	if len(p.Services) == 0 {
		p.Services = []configurer.Service{{
			Name: DefaultService, Connections: 60, Slots: 4,
			Rules: []configurer.ReaderRule{{Kind: configurer.DefaultKind, MaxAge: 10 * time.Second}},
		}}
	}
	if p.Log == nil {
		p.Log = log.NewNopLogger()
	}
}

// Start starts the fleet of a plan. The caller must Close it.
func Start(ctx context.Context, p Plan) (*Fleet, error) {
	p.setDefaults()
	f := &Fleet{Plan: p, Network: netsimulator.New(p.Seed), Store: storer.NewMemory(), Document: &configurer.Document{Users: p.Users}, ended: make(chan error)}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.Network.Latency = f.latency
	f.Platform = &keeper.Keeper{Address: platformIP + ":7000", Network: f.Network.Host(platformIP, "platform"), Store: f.Store, Log: p.Log}
	f.startProcess(f.Platform.Run)
	for i, s := range p.Services {
		f.addGroup(i, s)
	}
	if _, ok, err := f.Store.Swap(f.ctx, storer.Pair{Key: configurer.Key, Value: configurer.Encode(f.Document)}, 0); err != nil || !ok {
		return nil, errors.Errorf("publish document: %v", err)
	}
	for z, zone := range p.Zones {
		for n := range p.InstancesPerZone {
			e := &Instance{Name: fmt.Sprintf("entry-%s-%d", zone, n+1), IP: fmt.Sprintf("10.1.%d.%d", z+1, n+1), Zone: zone}
			f.Instances = append(f.Instances, e)
			f.StartInstance(e)
		}
	}
	return f, nil
}

func (f *Fleet) startProcess(run func(context.Context) error) {
	f.processes++
	go func() { f.ended <- run(f.ctx) }()
}

// Context returns a context that is canceled when the fleet is closed.
func (f *Fleet) Context() context.Context { return f.ctx }

// Close stops every process and waits until all have exited.
func (f *Fleet) Close() {
	for _, e := range f.Instances {
		f.StopInstance(e)
	}
	for _, t := range f.Members {
		f.StopTarget(t)
	}
	f.cancel()
	for ; f.processes > 0; f.processes-- {
		<-f.ended
	}
}

func (f *Fleet) latency(from, to *netsimulator.Host) time.Duration {
	var d time.Duration
	switch {
	case from == to:
		return 0
	case from.IP == clientIP || to.IP == clientIP:
		d = f.Plan.ClientLatency
	case from.Zone != to.Zone:
		d = f.Plan.ZoneLatency
	}
	if f.Plan.Jitter > 0 {
		d += f.Network.Jitter(f.Plan.Jitter)
	}
	return d
}

func (f *Fleet) addGroup(n int, s configurer.Service) {
	if len(s.Members) == 0 {
		for z, zone := range f.Plan.Zones {
			s.Members = append(s.Members, configurer.Member{
				Name: fmt.Sprintf("%s-%d", s.Name, z+1), Address: fmt.Sprintf("10.2.%d.%d:5432", n+1, z+1), Zone: zone,
			})
		}
	}
	f.Document.Services = append(f.Document.Services, s)
	counter := &replicator.SessionCounter{}
	for _, m := range s.Members {
		ip, _, _ := net.SplitHostPort(m.Address)
		t := &Target{
			Service: s.Name, IP: ip, Zone: m.Zone,
			Member: &replicator.Member{
				Name: m.Name, Group: s.Name, Address: m.Address, GroupSize: len(s.Members),
				Network: f.Network.Host(ip, m.Zone), Log: f.Plan.Log,
				ConnectTime: f.Plan.ConnectTime, Slots: f.Plan.Slots, ExecutionTime: f.Plan.ExecutionTime, Counter: counter,
			},
		}
		t.Bootstrap(s.Members[0].Address)
		f.Members = append(f.Members, t)
		f.startTarget(t)
	}
}

func (f *Fleet) startTarget(t *Target) {
	ctx, cancel := context.WithCancel(f.ctx)
	t.cancel, t.ended = cancel, make(chan error, 1)
	go func() { t.ended <- t.Run(ctx) }()
}

// Running reports whether the target's process runs.
func (t *Target) Running() bool { return t.cancel != nil }

// Running reports whether the instance's process runs.
func (e *Instance) Running() bool { return e.cancel != nil }

// StopTarget stops a target's process and waits for its exit.
func (f *Fleet) StopTarget(t *Target) {
	if t.cancel == nil {
		return
	}
	t.cancel()
	<-t.ended
	t.cancel = nil
}

// KillTarget simulates a crash of a target: its connections are reset and new ones
// are refused. Its log persists.
func (f *Fleet) KillTarget(t *Target) {
	f.Network.Kill(t.IP)
	f.StopTarget(t)
}

// RestartTarget restarts a killed target with its persisted log.
func (f *Fleet) RestartTarget(t *Target) {
	f.Network.Revive(t.IP)
	f.startTarget(t)
}

// StartInstance starts an entry instance, which keeps no state of an earlier run.
func (f *Fleet) StartInstance(e *Instance) {
	h := f.Network.Host(e.IP, e.Zone)
	f.Network.Revive(e.IP)
	f.starts++
	e.Events = make(chan controller.Event, eventQueueSize)
	e.Metrics = tally.NewTestScope("", nil)
	store := (&storer.Client{Address: f.Platform.Address, Network: h}).Open()
	list := (&lister.Client{Address: f.Platform.Address, Network: h}).Open()
	i := &runner.Instance{
		Settings: &loader.Settings{
			Name: e.Name, Zone: e.Zone, Callers: e.IP + ":5432", PeerAddress: e.IP + ":7100", PlatformAddress: f.Platform.Address, Authentication: loader.AuthenticationTrust,
			TokenKeys: []loader.TokenKey{{Number: 1, Secret: tokenKey}}, Seeds: f.seeds(),
		},
		Network: h, Store: store, Instances: list, Seed: f.Plan.Seed*1000 + f.starts, Events: e.Events, Metrics: e.Metrics, Log: log.With(f.Plan.Log, "instance", e.Name),
	}
	if f.Plan.Settings != nil {
		f.Plan.Settings(i.Settings)
	}
	f.Platform.Register(lister.Instance{Name: e.Name, Kind: lister.KindEntry, Address: e.IP + ":7100", Zone: e.Zone, State: lister.StateLive})
	ctx, cancel := context.WithCancel(f.ctx)
	e.cancel, e.ended = cancel, make(chan error, 1)
	go func() {
		err := i.Run(ctx)
		store.Close()
		list.Close()
		e.ended <- err
	}()
}

// seeds returns the peer addresses of all instances.
func (f *Fleet) seeds() []string {
	var out []string
	for _, e := range f.Instances {
		out = append(out, e.IP+":7100")
	}
	return out
}

// StopInstance stops an instance's process without draining it.
func (f *Fleet) StopInstance(e *Instance) {
	if e.cancel == nil {
		return
	}
	e.cancel()
	<-e.ended
	e.cancel = nil
}

// AwaitInstanceExit waits until an instance has exited by itself.
func (f *Fleet) AwaitInstanceExit(e *Instance) {
	<-e.ended
	e.cancel()
	e.cancel = nil
}

// KillInstance simulates a crash of an instance.
func (f *Fleet) KillInstance(e *Instance) {
	f.Network.Kill(e.IP)
	f.StopInstance(e)
}

// Connect opens a client connection to an instance. The parameters are sent in the
// startup message.
func (f *Fleet) Connect(ctx context.Context, e *Instance, service string, parameters map[string]string) (*pgx.Conn, error) {
	return f.ConnectAs(ctx, e, "crew", service, parameters)
}

// ConnectAs is Connect with the name of a user.
func (f *Fleet) ConnectAs(ctx context.Context, e *Instance, user, service string, parameters map[string]string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://" + user + "@" + e.IP + ":5432/" + service + "?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "client address")
	}
	h := f.Network.Host(clientIP, "callers")
	c.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) { return h.Dial(ctx, address) }
	c.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	for k, v := range parameters {
		c.RuntimeParams[k] = v
	}
	return pgx.ConnectConfig(ctx, c)
}

// AwaitReady waits until every instance accepts clients of every service.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, e := range f.Instances {
		for _, s := range f.Document.Services {
			if err := f.awaitReady(ctx, e, s.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) awaitReady(ctx context.Context, e *Instance, service string) error {
	for {
		c, err := f.Connect(ctx, e, service, nil)
		if err == nil {
			return c.Close(ctx)
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "instance %s did not become ready", e.Name)
		}
		time.Sleep(readyPollInterval)
	}
}

// Primary returns the member of a service that has the primary role in the highest
// term, or nil if no member has it.
func (f *Fleet) Primary(service string) *Target {
	var primary *Target
	term := uint64(0)
	for _, t := range f.Members {
		if st := t.Status(); t.Service == service && st.Role == replicator.RolePrimary && st.Term > term {
			primary, term = t, st.Term
		}
	}
	return primary
}

// Cancel sends the cancel request of a client connection to an instance, which need
// not be the one that holds the connection.
func (f *Fleet) Cancel(ctx context.Context, e *Instance, c *pgconn.PgConn) error {
	conn, err := f.Network.Host(clientIP, "callers").Dial(ctx, e.IP+":5432")
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	defer conn.Close()
	b, err := (&pgproto3.CancelRequest{ProcessID: c.PID(), SecretKey: c.SecretKey()}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	if _, err := conn.Write(b); err != nil {
		return errors.Wrap(err, "cancel")
	}
	_, _ = conn.Read(make([]byte, 1)) // the instance closes the connection when the request is handled
	return nil
}

const readyPollInterval = 20 * time.Millisecond

// Target returns the member with a name, given with or without the service's prefix,
// or nil.
func (f *Fleet) Target(name string) *Target {
	for _, t := range f.Members {
		if t.Name == name || strings.TrimPrefix(t.Name, t.Service+"-") == name {
			return t
		}
	}
	return nil
}
