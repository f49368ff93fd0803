package launcher_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/liner"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

var (
	processSeeds = flag.Int("process-seeds", 1, "how many seeds the soak of real processes plays")
	processFrom  = flag.Uint64("process-from", 1, "its first seed")
	processLasts = flag.Duration("process-lasts", 8*time.Second, "how long faults are thrown for each seed")
	processLogs  = flag.String("process-logs", "", "the `folder` where the logs of failed seeds stay")
)

const (
	// processSettles is how long after the last fault everything must work again: a lease,
	// a promotion and the members' memory of connections that are gone.
	processSettles = 12 * time.Second
	processReady   = 15 * time.Second
	processPoll    = 50 * time.Millisecond
)

type (
	// processSoak is a soak whose instances are processes of their own. What they reach
	// goes through gateways.
	processSoak struct {
		*soak
		program, folder string
		processes       map[string]*process
		stores          map[string]*gateway
		gateways        sync.Map // of members, by identity
	}

	// process is one life of an instance.
	process struct {
		command *exec.Cmd
		ended   chan error
	}
)

// loopback returns an address of this machine that no other run uses.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n)
}

// TestProcessSoak runs entry instances as processes, on real sockets and real time, and
// does from outside what happens to them: signals that pause, kill, end and reload,
// connections that are reset, slowed, silenced for good or cut one way, a store that is
// away for one of them, and all that TestSoak does to the members and the store. Callers
// keep their sessions until the process is gone. What they are told is compared with the
// group's log as in TestSoak.
func TestProcessSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := filepath.Join(t.TempDir(), "oriolegw-edge")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/oriolegw-edge").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for i := range *processSeeds {
		seed := *processFrom + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playProcesses(t, program, seed) })
	}
}

func playProcesses(t *testing.T, program string, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	n := wirer.New(seed)
	f := &fleet{t: t, net: n, ctx: ctx, store: storer.NewMemory(), group: &liner.Group{
		Name: "g", Net: n, Travel: 2 * time.Millisecond, Promotion: 600 * time.Millisecond, Connections: 12, Work: 5 * time.Millisecond,
	}}
	s := &processSoak{soak: newSoak(f, seed), program: program, folder: t.TempDir(), processes: map[string]*process{}, stores: map[string]*gateway{}}
	f.address = s.address
	f.group.Start(ctx, "a", "b", "c")
	p := &platformer.Platform{Address: "10.6.0.1:7000", Network: n.Host("10.6.0.1", "a"), Store: f.store, Promote: func(_, id string) error { return f.group.Promote(id) }}
	f.running.Go(func() { _ = p.Run(ctx) })
	f.running.Go(func() { f.register(ctx) })
	f.configure()
	s.faults = slices.Concat(groupFaults, s.processFaults())
	s.dial = func(ctx context.Context, _ int, ip string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", ip+":5000")
	}
	defer func() {
		s.end()
		cancel()
		s.gateways.Range(func(_, g any) bool { g.(*gateway).close(); return true })
		f.running.Wait()
		f.group.Wait()
		s.keepLogs()
	}()
	for i, zone := range []string{"a", "b", "c"} {
		s.add(loopback(10+i), zone)
	}
	s.awaitReady()
	s.run(*processLasts, processSettles, s.heal)
}

// address gives a member's address as instances reach it.
func (s *processSoak) address(m tracker.Member) string {
	if g, ok := s.gateways.Load(m.ID); ok {
		return g.(*gateway).listener.Addr().String()
	}
	host := s.net.Host("10.4.0.1", "a")
	g, err := newGateway(s.ctx, loopback(1)+":0", func(ctx context.Context) (net.Conn, error) { return host.Dial(ctx, m.Address) })
	must.NoError(s.t, err)
	s.gateways.Store(m.ID, g)
	return g.listener.Addr().String()
}

// add starts the first process of an instance.
func (s *processSoak) add(ip, zone string) {
	host := s.net.Host("10.4.0.2", "a")
	g, err := newGateway(s.ctx, ip+":0", func(ctx context.Context) (net.Conn, error) { return host.Dial(ctx, "10.6.0.1:7000") })
	must.NoError(s.t, err)
	s.stores[ip] = g
	settings, err := json.Marshal(map[string]any{
		"name": "entry-" + ip, "availability-zone": zone, "regions": map[string]string{"a": "x", "b": "y", "c": "z"},
		"callers-address": ip + ":5000", "ready-address": ip + ":5001", "metrics-address": ip + ":5002",
		"store-address": g.listener.Addr().String(), "promotions-address": g.listener.Addr().String(),
	})
	must.NoError(s.t, err)
	must.NoError(s.t, os.WriteFile(filepath.Join(s.folder, ip+".json"), settings, 0o600))
	s.ips = append(s.ips, ip)
	s.launch(ip)
}

// launch starts a process at an instance's address; its log is appended to the last one.
func (s *processSoak) launch(ip string) {
	log, err := os.OpenFile(filepath.Join(s.folder, ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(s.t, err)
	defer func() { _ = log.Close() }()
	c := exec.Command(s.program, "-settings", filepath.Join(s.folder, ip+".json"))
	c.Stdout, c.Stderr = log, log
	must.NoError(s.t, c.Start())
	p := &process{command: c, ended: make(chan error, 1)}
	go func() { p.ended <- c.Wait() }()
	s.processes[ip] = p
}

// signal sends a signal to the process that the soak started at an address.
func (s *processSoak) signal(ip string, which syscall.Signal) {
	_ = s.processes[ip].command.Process.Signal(which)
}

// replace waits for the end of a process and starts the next one.
func (s *processSoak) replace(ip string) {
	<-s.processes[ip].ended
	s.launch(ip)
}

// end kills what the soak started.
func (s *processSoak) end() {
	for _, p := range s.processes {
		_ = p.command.Process.Kill()
		<-p.ended
	}
	for _, g := range s.stores {
		g.close()
	}
}

func (s *processSoak) awaitReady() {
	for until := time.Now().Add(processReady); time.Now().Before(until); time.Sleep(processPoll) {
		ready := 0
		for _, ip := range s.ips {
			if c := s.call(lastCaller, ip, "strict"); c != nil {
				if c.ask("FETCH start") == "" {
					ready++
				}
				_ = c.conn.Close()
			}
		}
		if ready == len(s.ips) {
			return
		}
	}
	s.t.Fatal("the instances do not serve")
}

func (s *processSoak) heal() {
	for _, g := range s.allGateways() {
		g.away.Store(false)
		g.delay.Store(0)
	}
}

// keepLogs keeps the logs of a failed seed.
func (s *processSoak) keepLogs() {
	if !s.t.Failed() || *processLogs == "" {
		return
	}
	kept := filepath.Join(*processLogs, strconv.FormatUint(s.seed, 10))
	if err := os.CopyFS(kept, os.DirFS(s.folder)); err != nil {
		s.t.Log("logs not kept: ", err)
		return
	}
	s.t.Log("logs kept in ", kept)
}

func (s *processSoak) allGateways() []*gateway {
	var all []*gateway
	for _, ip := range s.ips {
		all = append(all, s.stores[ip])
	}
	s.gateways.Range(func(_, g any) bool { all = append(all, g.(*gateway)); return true })
	return all
}

// anyGateway returns one of those to members and to the store.
func (s *processSoak) anyGateway() *gateway {
	all := s.allGateways()
	return all[s.random.IntN(len(all))]
}

// toSome does something to about half of the connections of a gateway.
func (s *processSoak) toSome(g *gateway, do func(p *passage)) func() {
	g.each(func(p *passage) {
		if s.random.IntN(2) == 0 {
			do(p)
		}
	})
	return func() {}
}

// processFaults are what happens to processes and to their connections.
func (s *processSoak) processFaults() []fault {
	return []fault{
		{"instance told to end", func(*soak) func() {
			ip := s.instance()
			s.signal(ip, syscall.SIGTERM)
			return func() { s.replace(ip) }
		}},
		{"instance killed", func(*soak) func() {
			ip := s.instance()
			s.signal(ip, syscall.SIGKILL)
			return func() { s.replace(ip) }
		}},
		{"instance told to end, then killed", func(*soak) func() {
			ip := s.instance()
			s.signal(ip, syscall.SIGTERM)
			return func() {
				s.signal(ip, syscall.SIGKILL)
				s.replace(ip)
			}
		}},
		{"instance paused", func(*soak) func() {
			ip := s.instance()
			s.signal(ip, syscall.SIGSTOP)
			return func() { s.signal(ip, syscall.SIGCONT) }
		}},
		{"instance told of new settings", func(*soak) func() {
			s.signal(s.instance(), syscall.SIGHUP)
			return func() {}
		}},
		{"connections reset", func(*soak) func() { return s.toSome(s.anyGateway(), (*passage).cut) }},
		{"connections silent", func(*soak) func() {
			return s.toSome(s.anyGateway(), func(p *passage) { p.silence(true, true) })
		}},
		{"connections cut one way", func(*soak) func() {
			there := s.random.IntN(2) == 0
			return s.toSome(s.anyGateway(), func(p *passage) { p.silence(there, !there) })
		}},
		{"connections slow", func(*soak) func() {
			g := s.anyGateway()
			g.delay.Store(int64(time.Duration(20+s.random.IntN(300)) * time.Millisecond))
			return func() { g.delay.Store(0) }
		}},
		{"instance without the store", func(*soak) func() {
			g := s.stores[s.instance()]
			g.away.Store(true)
			g.each((*passage).cut)
			return func() { g.away.Store(false) }
		}},
	}
}
