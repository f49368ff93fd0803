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

	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

var (
	processSeeds         = flag.Int("process-seeds", 1, "number of seeds of the process soak")
	processFirstSeed     = flag.Uint64("process-from", 1, "first seed of the process soak")
	processFaultDuration = flag.Duration("process-lasts", 8*time.Second, "duration of fault injection for each seed")
	processLogs          = flag.String("process-logs", "", "`directory` for the logs of failed seeds")
)

const (
	// processRecoveryTime bounds the recovery after the last fault: lease expiry, a promotion,
	// and the members' detection of dead connections.
	processRecoveryTime = 12 * time.Second
	processReadyTimeout = 15 * time.Second
	processPollInterval = 50 * time.Millisecond
)

type (
	// processSoak is a soak whose instances are separate processes. Their connections to
	// members and the store go through fault proxies.
	processSoak struct {
		*soak
		program, directory string
		processes          map[string]*process
		storeProxies       map[string]*faultProxy
		memberProxies      sync.Map // *faultProxy by member ID
	}

	// process is one run of an instance.
	process struct {
		command *exec.Cmd
		exited  chan error
	}
)

// loopback returns the nth loopback address reserved for this test process.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n)
}

// TestProcessSoak runs the checks of TestSoak against entry instances in separate processes, on
// real sockets and real time. It adds signals and network faults of single connections.
func TestProcessSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := filepath.Join(t.TempDir(), "oriolegw-edge")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/oriolegw-edge").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for i := range *processSeeds {
		seed := *processFirstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runProcessSoak(t, program, seed) })
	}
}

func runProcessSoak(t *testing.T, program string, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	n := netsimulator.New(seed)
	f := &fleet{t: t, net: n, ctx: ctx, store: storer.NewMemory(), group: &groupsimulator.Group{
		Name: "g", Net: n, ReplicationDelay: 2 * time.Millisecond, PromotionDelay: 600 * time.Millisecond, MaxConnections: 12, StatementTime: 5 * time.Millisecond,
	}}
	s := &processSoak{soak: newSoak(f, seed), program: program, directory: t.TempDir(), processes: map[string]*process{}, storeProxies: map[string]*faultProxy{}}
	f.memberAddress = s.proxiedAddress
	f.group.Start(ctx, "a", "b", "c")
	p := &platformer.Platform{Address: "10.6.0.1:7000", Network: n.Host("10.6.0.1", "a"), Store: f.store, Promote: func(_, id string) error { return f.group.Promote(id) }}
	f.running.Go(func() { _ = p.Run(ctx) })
	f.running.Go(func() { f.registerMembers(ctx) })
	f.configure()
	s.faults = slices.Concat(groupFaults, s.processFaults())
	s.dial = func(ctx context.Context, _ int, ip string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", ip+":5000")
	}
	defer func() {
		s.stop()
		cancel()
		s.memberProxies.Range(func(_, proxy any) bool { proxy.(*faultProxy).close(); return true })
		f.running.Wait()
		f.group.Wait()
		s.saveLogs()
	}()
	for i, zone := range []string{"a", "b", "c"} {
		s.addInstance(loopback(10+i), zone)
	}
	s.awaitReady()
	s.run(*processFaultDuration, processRecoveryTime, s.heal)
}

// proxiedAddress returns the address of the fault proxy of a member, which it starts if needed.
func (s *processSoak) proxiedAddress(m tracker.Member) string {
	if proxy, ok := s.memberProxies.Load(m.ID); ok {
		return proxy.(*faultProxy).listener.Addr().String()
	}
	host := s.net.Host("10.4.0.1", "a")
	proxy, err := newFaultProxy(s.ctx, loopback(1)+":0", func(ctx context.Context) (net.Conn, error) { return host.Dial(ctx, m.Address) })
	must.NoError(s.t, err)
	s.memberProxies.Store(m.ID, proxy)
	return proxy.listener.Addr().String()
}

// addInstance configures an instance and starts its first process.
func (s *processSoak) addInstance(ip, zone string) {
	host := s.net.Host("10.4.0.2", "a")
	proxy, err := newFaultProxy(s.ctx, ip+":0", func(ctx context.Context) (net.Conn, error) { return host.Dial(ctx, "10.6.0.1:7000") })
	must.NoError(s.t, err)
	s.storeProxies[ip] = proxy
	settings, err := json.Marshal(map[string]any{
		"name": "entry-" + ip, "availability-zone": zone, "regions": map[string]string{"a": "x", "b": "y", "c": "z"},
		"callers-address": ip + ":5000", "ready-address": ip + ":5001", "metrics-address": ip + ":5002",
		"store-address": proxy.listener.Addr().String(), "promotions-address": proxy.listener.Addr().String(),
	})
	must.NoError(s.t, err)
	must.NoError(s.t, os.WriteFile(filepath.Join(s.directory, ip+".json"), settings, 0o600))
	s.ips = append(s.ips, ip)
	s.startProcess(ip)
}

// startProcess starts a process of an instance and appends to the instance's log.
func (s *processSoak) startProcess(ip string) {
	log, err := os.OpenFile(filepath.Join(s.directory, ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(s.t, err)
	defer func() { _ = log.Close() }()
	c := exec.Command(s.program, "-settings", filepath.Join(s.directory, ip+".json"))
	c.Stdout, c.Stderr = log, log
	must.NoError(s.t, c.Start())
	p := &process{command: c, exited: make(chan error, 1)}
	go func() { p.exited <- c.Wait() }()
	s.processes[ip] = p
}

// signal sends a signal to the process of an instance.
func (s *processSoak) signal(ip string, which syscall.Signal) {
	_ = s.processes[ip].command.Process.Signal(which)
}

// restartProcess waits until the process of an instance exits and starts a new one.
func (s *processSoak) restartProcess(ip string) {
	<-s.processes[ip].exited
	s.startProcess(ip)
}

// stop kills all processes and closes the fault proxies of the store.
func (s *processSoak) stop() {
	for _, p := range s.processes {
		_ = p.command.Process.Kill()
		<-p.exited
	}
	for _, proxy := range s.storeProxies {
		proxy.close()
	}
}

func (s *processSoak) awaitReady() {
	for until := time.Now().Add(processReadyTimeout); time.Now().Before(until); time.Sleep(processPollInterval) {
		ready := 0
		for _, ip := range s.ips {
			if c := s.connect(verifyingClient, ip, "strict"); c != nil {
				if c.query("FETCH start") == "" {
					ready++
				}
				_ = c.conn.Close()
			}
		}
		if ready == len(s.ips) {
			return
		}
	}
	s.t.Fatal("the instances did not become ready")
}

func (s *processSoak) heal() {
	for _, proxy := range s.allProxies() {
		proxy.refusing.Store(false)
		proxy.delay.Store(0)
	}
}

// saveLogs copies the logs of a failed seed to the directory given by -process-logs.
func (s *processSoak) saveLogs() {
	if !s.t.Failed() || *processLogs == "" {
		return
	}
	saved := filepath.Join(*processLogs, strconv.FormatUint(s.seed, 10))
	if err := os.CopyFS(saved, os.DirFS(s.directory)); err != nil {
		s.t.Log("logs not saved: ", err)
		return
	}
	s.t.Log("logs saved in ", saved)
}

func (s *processSoak) allProxies() []*faultProxy {
	var all []*faultProxy
	for _, ip := range s.ips {
		all = append(all, s.storeProxies[ip])
	}
	s.memberProxies.Range(func(_, proxy any) bool { all = append(all, proxy.(*faultProxy)); return true })
	return all
}

// randomProxy returns a random fault proxy of a member or the store.
func (s *processSoak) randomProxy() *faultProxy {
	all := s.allProxies()
	return all[s.random.IntN(len(all))]
}

// applyToHalf calls do with about half of the connections of a fault proxy.
func (s *processSoak) applyToHalf(proxy *faultProxy, do func(p *proxiedConn)) func() {
	proxy.forEachConn(func(p *proxiedConn) {
		if s.random.IntN(2) == 0 {
			do(p)
		}
	})
	return func() {}
}

// processFaults returns the faults of processes and their connections.
func (s *processSoak) processFaults() []fault {
	return []fault{
		{"instance terminated", func(*soak) func() {
			ip := s.randomInstance()
			s.signal(ip, syscall.SIGTERM)
			return func() { s.restartProcess(ip) }
		}},
		{"instance killed", func(*soak) func() {
			ip := s.randomInstance()
			s.signal(ip, syscall.SIGKILL)
			return func() { s.restartProcess(ip) }
		}},
		{"instance terminated, then killed", func(*soak) func() {
			ip := s.randomInstance()
			s.signal(ip, syscall.SIGTERM)
			return func() {
				s.signal(ip, syscall.SIGKILL)
				s.restartProcess(ip)
			}
		}},
		{"instance paused", func(*soak) func() {
			ip := s.randomInstance()
			s.signal(ip, syscall.SIGSTOP)
			return func() { s.signal(ip, syscall.SIGCONT) }
		}},
		{"instance reloads settings", func(*soak) func() {
			s.signal(s.randomInstance(), syscall.SIGHUP)
			return func() {}
		}},
		{"connections reset", func(*soak) func() { return s.applyToHalf(s.randomProxy(), (*proxiedConn).reset) }},
		{"connections drop all data", func(*soak) func() {
			return s.applyToHalf(s.randomProxy(), func(p *proxiedConn) { p.drop(true, true) })
		}},
		{"connections drop data one way", func(*soak) func() {
			toUpstream := s.random.IntN(2) == 0
			return s.applyToHalf(s.randomProxy(), func(p *proxiedConn) { p.drop(toUpstream, !toUpstream) })
		}},
		{"connections slow", func(*soak) func() {
			proxy := s.randomProxy()
			proxy.delay.Store(int64(time.Duration(20+s.random.IntN(300)) * time.Millisecond))
			return func() { proxy.delay.Store(0) }
		}},
		{"instance cut from the store", func(*soak) func() {
			proxy := s.storeProxies[s.randomInstance()]
			proxy.refusing.Store(true)
			proxy.forEachConn((*proxiedConn).reset)
			return func() { proxy.refusing.Store(false) }
		}},
	}
}
