// Package starter starts a small fleet of real processes on loopback, for trying
// the product: the platform, one group of three members, and an entry instance
// in each of three availability zones. It is a tool for developers; no process
// of the product starts another.
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
	host         = "127.0.0.1"
	stopTimeout  = 5 * time.Second
	readyTimeout = 20 * time.Second
	retryPause   = 50 * time.Millisecond

	// DefaultFirstPort is the port of the platform; the others follow.
	DefaultFirstPort = 17000
	// ServiceName is the service of the fleet.
	ServiceName = "lockers"

	// The ports of each kind of process, counted from the first.
	platformPort    = 0
	memberPort      = 10
	memberPagesPort = 20
	callersPort     = 30
	entryPagesPort  = 40
	peersPort       = 50
)

type (
	// Fleet is a set of processes. Set the exported fields, then call Start.
	Fleet struct {
		// Programs is the directory of the built programs; Work takes settings
		// and logs.
		Programs, Work string
		// FirstPort is where the addresses start; 0 means DefaultFirstPort.
		FirstPort int

		Platform Process
		Members  []Process
		Entries  []Process

		processes []*Process
	}

	// Process is one process and its addresses.
	Process struct {
		Name string
		Zone string
		// Address is where it serves, Peers where other instances reach it,
		// Pages where its HTTP pages or fault switches are.
		Address, Peers, Pages string
		PID                   int

		command *exec.Cmd
		ended   chan error
	}
)

var zones = []string{"hobart", "launceston", "burnie"}

func (f *Fleet) address(port int) string {
	return fmt.Sprintf("%s:%d", host, f.FirstPort+port)
}

// Start starts everything and waits until the instances are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if f.FirstPort == 0 {
		f.FirstPort = DefaultFirstPort
	}
	f.plan()
	if err := f.checkPorts(); err != nil {
		return err
	}
	if err := os.MkdirAll(f.Work, 0o755); err != nil {
		return errors.Wrap(err, "make work directory")
	}
	if err := f.start(&f.Platform, "oriolegw-platform", "-address", f.Platform.Address); err != nil {
		return err
	}
	for i := range f.Members {
		if err := f.startMember(&f.Members[i]); err != nil {
			return err
		}
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	for i := range f.Entries {
		if err := f.startEntry(&f.Entries[i]); err != nil {
			return err
		}
	}
	return f.await(ctx)
}

// plan names the processes and their addresses.
func (f *Fleet) plan() {
	f.Platform = Process{Name: "platform", Address: f.address(platformPort), Pages: f.address(platformPort)}
	f.Members, f.Entries = nil, nil
	for i, z := range zones {
		f.Members = append(f.Members, Process{
			Name: fmt.Sprintf("%s-%d", ServiceName, i+1), Zone: z,
			Address: f.address(memberPort + i), Pages: f.address(memberPagesPort + i),
		})
		f.Entries = append(f.Entries, Process{
			Name: "entry-" + z, Zone: z,
			Address: f.address(callersPort + i), Pages: f.address(entryPagesPort + i), Peers: f.address(peersPort + i),
		})
	}
}

// addresses lists where the process listens, each once.
func (p *Process) addresses() []string {
	out := []string{p.Address}
	for _, a := range []string{p.Pages, p.Peers} {
		if a != "" && a != p.Address {
			out = append(out, a)
		}
	}
	return out
}

// checkPorts reports every address that is taken, before anything is started: a
// process that found its port taken would end, and the fleet would only seem
// slow to become ready.
func (f *Fleet) checkPorts() error {
	var taken []string
	for _, p := range append(append([]Process{f.Platform}, f.Members...), f.Entries...) {
		for _, a := range p.addresses() {
			l, err := net.Listen("tcp", a)
			if err != nil {
				taken = append(taken, a+" ("+p.Name+")")
				continue
			}
			_ = l.Close()
		}
	}
	if len(taken) > 0 {
		return errors.Errorf("addresses in use: %v; is another fleet running? Choose others with -first-port", taken)
	}
	return nil
}

func (f *Fleet) start(p *Process, program string, arguments ...string) error {
	out, err := os.Create(f.logFile(p))
	if err != nil {
		return errors.Wrap(err, "make log")
	}
	defer out.Close()
	c := exec.Command(filepath.Join(f.Programs, program), arguments...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.PID, p.command, p.ended = c.Process.Pid, c, make(chan error, 1)
	go func() { p.ended <- c.Wait() }()
	f.processes = append(f.processes, p)
	return nil
}

func (f *Fleet) logFile(p *Process) string { return filepath.Join(f.Work, p.Name+".log") }

func (f *Fleet) startMember(p *Process) error {
	return f.start(p, "oriolegw-target", "-name", p.Name, "-group", ServiceName, "-address", p.Address,
		"-faults", p.Pages, "-primary", f.Members[0].Address)
}

// SettingsFile is where the settings of an instance are.
func (f *Fleet) SettingsFile(p Process) string { return filepath.Join(f.Work, p.Name+".json") }

func (f *Fleet) startEntry(p *Process) error {
	settings := fmt.Sprintf(`{
  // Settings of one entry instance, written by oriolegw-fleet.
  "name": %q,
  "availability-zone": %q,
  "callers-address": %q,
  "peers-address": %q,
  "status-address": %q,
  "platform-address": %q,
  "authentication": "trust", // believes any caller: for a demonstration only
  "token-keys": [{"number": 1, "secret": "a secret of this demonstration only"}],
}
`, p.Name, p.Zone, p.Address, p.Peers, p.Pages, f.Platform.Address)
	if err := os.WriteFile(f.SettingsFile(*p), []byte(settings), 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if err := f.start(p, "oriolegw", "-settings", f.SettingsFile(*p)); err != nil {
		return err
	}
	return f.register(p)
}

func (f *Fleet) register(p *Process) error {
	body, _ := json.Marshal(map[string]string{
		"name": p.Name, "kind": "entry", "address": p.Peers, "availability-zone": p.Zone, "state": "live",
	})
	a, err := http.Post("http://"+f.Platform.Address+"/instances", "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "register instance")
	}
	return a.Body.Close()
}

// publish writes the configuration document, once the platform answers.
func (f *Fleet) publish(ctx context.Context) error {
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
	r, err := (&publisher.Publisher{Store: store, Pause: retryPause}).Publish(ctx, publisher.Published{}, "the fleet's document", text)
	if err != nil {
		return err
	}
	if r.Outcome != publisher.Accepted {
		return errors.New("a document is already published: is another fleet running?")
	}
	return nil
}

// await waits until every instance says that it is ready.
func (f *Fleet) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range f.Entries {
		if err := f.awaitEntry(ctx, &f.Entries[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) awaitEntry(ctx context.Context, p *Process) error {
	for {
		err := ready(ctx, p)
		if err == nil {
			return nil
		}
		select {
		case ended := <-p.ended:
			p.ended <- ended
			return errors.Errorf("%s ended (%v): see %s", p.Name, ended, f.logFile(p))
		case <-ctx.Done():
			return errors.Wrapf(err, "%s never became ready: see %s", p.Name, f.logFile(p))
		case <-time.After(retryPause):
		}
	}
}

func ready(ctx context.Context, p *Process) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Pages+"/ready", nil)
	if err != nil {
		return errors.Wrap(err, "make call")
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask whether ready")
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return errors.Errorf("%s is not ready", p.Name)
	}
	return nil
}

// Kill ends a process as a crash does.
func (f *Fleet) Kill(p *Process) error {
	if err := p.command.Process.Kill(); err != nil {
		return errors.Wrapf(err, "kill %s", p.Name)
	}
	p.ended <- <-p.ended
	return nil
}

// Terminate tells a process to end in form, and does not wait for it.
func (f *Fleet) Terminate(p *Process) error { return p.signal("TERM") }

// Stop ends the processes that Start started, and waits for them.
func (f *Fleet) Stop() {
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range f.processes {
		t := time.AfterFunc(stopTimeout, func() { _ = p.command.Process.Kill() })
		<-p.ended
		t.Stop()
	}
	f.processes = nil
}
