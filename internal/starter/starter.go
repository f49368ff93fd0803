// Package starter runs a small development fleet on loopback: the platform, one
// group of three members, and an entry instance in each of three availability
// zones, each in a process of its own.
package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/publisher"
	"github.com/oriolegw/oriolegw/internal/storer"
)

const (
	host          = "127.0.0.1"
	stopTimeout   = 5 * time.Second
	readyTimeout  = 20 * time.Second
	retryInterval = 50 * time.Millisecond

	// DefaultFirstPort is the default port of the platform. Other processes use the ports above it.
	DefaultFirstPort = 17000
	// ServiceName is the name of the service that the fleet serves.
	ServiceName = "lockers"

	// platformPort and the others are port offsets from FirstPort; each process adds its index.
	platformPort    = 0
	memberPort      = 10
	memberPagesPort = 20
	callersPort     = 30
	entryPagesPort  = 40
	peersPort       = 50
)

type (
	// Fleet is the set of started processes. Set ProgramDirectory, WorkDirectory and
	// FirstPort, then call Start, which sets the other exported fields.
	Fleet struct {
		// ProgramDirectory is the directory of the built programs, WorkDirectory the directory
		// for settings and logs.
		ProgramDirectory, WorkDirectory string
		// FirstPort is the lowest port used; 0 means DefaultFirstPort.
		FirstPort int

		Platform  Process
		Members   []Process
		Instances []Process

		processes []*Process
	}

	// Process is one operating system process and its addresses.
	Process struct {
		Name string
		Zone string
		// Address serves clients, PeerAddress other instances, and PagesAddress status
		// pages or fault injection over HTTP.
		Address, PeerAddress, PagesAddress string
		PID                                int

		command *exec.Cmd
		exited  chan error
	}
)

var zones = []string{"hobart", "launceston", "burnie"}

func (f *Fleet) address(port int) string {
	return fmt.Sprintf("%s:%d", host, f.FirstPort+port)
}

// Start starts all processes and waits until the instances are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if f.FirstPort == 0 {
		f.FirstPort = DefaultFirstPort
	}
	f.assignAddresses()
	if err := f.checkPorts(); err != nil {
		return err
	}
	if err := os.MkdirAll(f.WorkDirectory, 0o755); err != nil {
		return errors.Wrap(err, "create work directory")
	}
	if err := f.startProcess(&f.Platform, "oriolegw-platform", "-address", f.Platform.Address); err != nil {
		return err
	}
	for i := range f.Members {
		if err := f.startMember(&f.Members[i]); err != nil {
			return err
		}
	}
	if err := f.publishConfiguration(ctx); err != nil {
		return err
	}
	for i := range f.Instances {
		if err := f.startEntry(&f.Instances[i]); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// assignAddresses sets the names and addresses of all processes.
func (f *Fleet) assignAddresses() {
	f.Platform = Process{Name: "platform", Address: f.address(platformPort), PagesAddress: f.address(platformPort)}
	f.Members, f.Instances = nil, nil
	for i, z := range zones {
		f.Members = append(f.Members, Process{
			Name: fmt.Sprintf("%s-%d", ServiceName, i+1), Zone: z,
			Address: f.address(memberPort + i), PagesAddress: f.address(memberPagesPort + i),
		})
		f.Instances = append(f.Instances, Process{
			Name: "entry-" + z, Zone: z,
			Address: f.address(callersPort + i), PagesAddress: f.address(entryPagesPort + i), PeerAddress: f.address(peersPort + i),
		})
	}
}

// addresses returns the distinct listen addresses of the process.
func (p *Process) addresses() []string {
	out := []string{p.Address}
	for _, a := range []string{p.PagesAddress, p.PeerAddress} {
		if a != "" && a != p.Address {
			out = append(out, a)
		}
	}
	return out
}

// checkPorts returns an error that lists all addresses in use. A process that can't
// listen would otherwise show only as a readiness timeout.
func (f *Fleet) checkPorts() error {
	var inUse []string
	for _, p := range append(append([]Process{f.Platform}, f.Members...), f.Instances...) {
		for _, a := range p.addresses() {
			l, err := net.Listen("tcp", a)
			if err != nil {
				inUse = append(inUse, a+" ("+p.Name+")")
				continue
			}
			_ = l.Close()
		}
	}
	if len(inUse) > 0 {
		return errors.Errorf("addresses in use: %v; is another fleet running? Choose others with -first-port", inUse)
	}
	return nil
}

func (f *Fleet) startProcess(p *Process, program string, arguments ...string) error {
	out, err := os.Create(f.logFile(p))
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	defer out.Close()
	c := exec.Command(filepath.Join(f.ProgramDirectory, program), arguments...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.PID, p.command, p.exited = c.Process.Pid, c, make(chan error, 1)
	go func() { p.exited <- c.Wait() }()
	f.processes = append(f.processes, p)
	return nil
}

func (f *Fleet) logFile(p *Process) string { return filepath.Join(f.WorkDirectory, p.Name+".log") }

func (f *Fleet) startMember(p *Process) error {
	return f.startProcess(p, "oriolegw-target", "-name", p.Name, "-group", ServiceName, "-address", p.Address,
		"-faults", p.PagesAddress, "-primary", f.Members[0].Address)
}

// SettingsFile returns the path of the settings file of an instance.
func (f *Fleet) SettingsFile(p Process) string { return filepath.Join(f.WorkDirectory, p.Name+".json") }

func (f *Fleet) startEntry(p *Process) error {
	settings := fmt.Sprintf(`{
  // Settings of one entry instance, written by oriolegw-fleet.
  "name": %q,
  "availability-zone": %q,
  "callers-address": %q,
  "peers-address": %q,
  "status-address": %q,
  "platform-address": %q,
  "authentication": "trust", // accepts any caller: for a demonstration only
  "token-keys": [{"number": 1, "secret": "a secret of this demonstration only"}],
}
`, p.Name, p.Zone, p.Address, p.PeerAddress, p.PagesAddress, f.Platform.Address)
	if err := os.WriteFile(f.SettingsFile(*p), []byte(settings), 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if err := f.startProcess(p, "oriolegw", "-settings", f.SettingsFile(*p)); err != nil {
		return err
	}
	return f.register(p)
}

func (f *Fleet) register(p *Process) error {
	body, _ := json.Marshal(map[string]string{
		"name": p.Name, "kind": "entry", "address": p.PeerAddress, "availability-zone": p.Zone, "state": "live",
	})
	a, err := http.Post("http://"+f.Platform.Address+"/instances", "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "register instance")
	}
	return a.Body.Close()
}

// publishConfiguration publishes the configuration document, retrying until the platform responds.
func (f *Fleet) publishConfiguration(ctx context.Context) error {
	s := configurer.Service{
		Name: ServiceName, Connections: 60, Slots: 3,
		Rules: []configurer.ReaderRule{{Kind: configurer.DefaultKind, MaxAge: 5 * time.Second}},
	}
	for _, m := range f.Members {
		s.Members = append(s.Members, configurer.Member{Name: m.Name, Address: m.Address, Zone: m.Zone})
	}
	store := (&storer.Client{Address: f.Platform.Address, Network: networker.TCP{}}).Open()
	defer store.Close()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	text := configurer.Encode(&configurer.Document{Services: []configurer.Service{s}})
	r, err := (&publisher.Publisher{Store: store, RetryInterval: retryInterval}).Publish(ctx, publisher.Published{}, "the fleet's configuration", text)
	if err != nil {
		return err
	}
	if r.Outcome != publisher.Accepted {
		return errors.New("a configuration is already published: is another fleet running?")
	}
	return nil
}

// awaitReady waits until all instances report that they are ready.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range f.Instances {
		if err := f.awaitEntry(ctx, &f.Instances[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) awaitEntry(ctx context.Context, p *Process) error {
	for {
		err := checkReady(ctx, p)
		if err == nil {
			return nil
		}
		select {
		case exit := <-p.exited:
			p.exited <- exit
			return errors.Errorf("%s exited (%v): see %s", p.Name, exit, f.logFile(p))
		case <-ctx.Done():
			return errors.Wrapf(err, "%s did not become ready: see %s", p.Name, f.logFile(p))
		case <-time.After(retryInterval):
		}
	}
}

func checkReady(ctx context.Context, p *Process) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.PagesAddress+"/ready", nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "check readiness")
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return errors.Errorf("%s is not ready", p.Name)
	}
	return nil
}

// Kill sends SIGKILL to a process and waits until it has exited.
func (f *Fleet) Kill(p *Process) error {
	if err := p.command.Process.Kill(); err != nil {
		return errors.Wrapf(err, "kill %s", p.Name)
	}
	p.exited <- <-p.exited
	return nil
}

// Terminate sends SIGTERM to a process, which shuts down gracefully, and returns at once.
func (f *Fleet) Terminate(p *Process) error { return p.signal("TERM") }

// Stop terminates the processes that Start started, and kills those that exceed stopTimeout.
func (f *Fleet) Stop() {
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range f.processes {
		t := time.AfterFunc(stopTimeout, func() { _ = p.command.Process.Kill() })
		<-p.exited
		t.Stop()
	}
	f.processes = nil
}
