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
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/storer"
)

const (
	host         = "127.0.0.1"
	firstPort    = 17000
	stopTimeout  = 5 * time.Second
	readyTimeout = 20 * time.Second
	// ServiceName is the service of the fleet.
	ServiceName = "lockers"
)

type (
	// Fleet is a set of processes. Set the exported fields, then call Start.
	Fleet struct {
		// Programs is the directory of the built programs; Work takes settings,
		// logs and fleet.json.
		Programs, Work string

		Platform string
		Members  []Process
		Entries  []Process

		processes []*exec.Cmd
	}

	// Process is one process and its addresses.
	Process struct {
		Name    string `json:"name"`
		Zone    string `json:"availability-zone"`
		Address string `json:"address"`
		// Pages is where its HTTP pages, or fault switches, are.
		Pages string `json:"pages"`
		PID   int    `json:"pid"`

		command *exec.Cmd
	}
)

func address(port int) string { return fmt.Sprintf("%s:%d", host, firstPort+port) }

// Start starts everything and waits until the instances are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := os.MkdirAll(f.Work, 0o755); err != nil {
		return errors.Wrap(err, "make work directory")
	}
	f.Platform = address(0)
	if _, err := f.start("platform", "oriolegw-platform", "-address", f.Platform); err != nil {
		return err
	}
	zones := []string{"hobart", "launceston", "burnie"}
	for i, z := range zones {
		p := Process{Name: fmt.Sprintf("%s-%d", ServiceName, i+1), Zone: z, Address: address(10 + i), Pages: address(20 + i)}
		c, err := f.start(p.Name, "oriolegw-target", "-name", p.Name, "-group", ServiceName, "-address", p.Address,
			"-faults", p.Pages, "-primary", address(10))
		if err != nil {
			return err
		}
		p.PID, p.command = c.Process.Pid, c
		f.Members = append(f.Members, p)
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	for i, z := range zones {
		if err := f.startEntry(i, z); err != nil {
			return err
		}
	}
	return f.await(ctx)
}

func (f *Fleet) start(name, program string, arguments ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(f.Work, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "make log")
	}
	c := exec.Command(filepath.Join(f.Programs, program), arguments...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	f.processes = append(f.processes, c)
	return c, nil
}

func (f *Fleet) startEntry(i int, zone string) error {
	p := Process{Name: "entry-" + zone, Zone: zone, Address: address(30 + i), Pages: address(40 + i)}
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
`, p.Name, zone, p.Address, address(50+i), p.Pages, f.Platform)
	file := filepath.Join(f.Work, p.Name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	c, err := f.start(p.Name, "oriolegw", "-settings", file)
	if err != nil {
		return err
	}
	p.PID, p.command = c.Process.Pid, c
	f.Entries = append(f.Entries, p)
	return f.register(p, address(50+i))
}

func (f *Fleet) register(p Process, peers string) error {
	body, _ := json.Marshal(map[string]string{
		"name": p.Name, "kind": "entry", "address": peers, "availability-zone": p.Zone, "state": "live",
	})
	a, err := http.Post("http://"+f.Platform+"/instances", "application/json", bytes.NewReader(body))
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
	store := (&storer.Gateway{Address: f.Platform, Network: networker.TCP{}}).Open()
	defer store.Close()
	text := configurer.Encode(&configurer.Document{Services: []configurer.Service{s}})
	return f.retry(ctx, func() error {
		_, ok, err := store.Swap(ctx, storer.Pair{Key: configurer.Key, Value: text}, 0)
		if err == nil && !ok {
			return errors.New("a document is already published: is another fleet running?")
		}
		return err
	})
}

func (f *Fleet) await(ctx context.Context) error {
	for _, p := range f.Entries {
		err := f.retry(ctx, func() error {
			a, err := http.Get("http://" + p.Pages + "/ready")
			if err != nil {
				return err
			}
			defer a.Body.Close()
			if a.StatusCode != http.StatusOK {
				return errors.Errorf("%s is not ready", p.Name)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) retry(ctx context.Context, try func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := try()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Stop ends the processes that Start started, and waits for them.
func (f *Fleet) Stop() {
	for _, c := range f.processes {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range f.processes {
		t := time.AfterFunc(stopTimeout, func() { _ = c.Process.Kill() })
		_ = c.Wait()
		t.Stop()
	}
}
