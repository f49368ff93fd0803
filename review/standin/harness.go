package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bench starts instances of the project's program and the stand-ins that they meet, all on
// loopback addresses and free ports.
type Bench struct {
	Edge, Dir, Root string
	Store           *Store
	Cloud           *Cloud
	Groups          []*Group
	Edges           []*Edge
	Zones           map[string]string // region by zone
	start           time.Time
	mu              sync.Mutex
	record          *bufio.Writer
}

// Edge is one instance.
type Edge struct {
	b               *Bench
	Name, Zone      string
	Callers, Ready  string
	metrics, peers  string
	store, cloud    string
	process         *exec.Cmd
	done            chan struct{}
	settings        string
	seedPeers       []string
	expected, Ended bool
}

// Log writes a line with the seconds since the start to the record.
func (b *Bench) Log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
	_ = b.record.Flush()
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "no free port:", err)
		os.Exit(2)
	}
	return l
}

// freeAddresses returns addresses that were free a moment ago.
func freeAddresses(n int) []string {
	var ls []net.Listener
	var out []string
	for range n {
		l := listen()
		ls, out = append(ls, l), append(out, l.Addr().String())
	}
	for _, l := range ls {
		_ = l.Close()
	}
	return out
}

// AddEdges prepares instances; they run once Start is called.
func (b *Bench) AddEdges(zones []string, storeAddress, cloudAddress string) {
	free := freeAddresses(4 * len(zones))
	for n, z := range zones {
		a := free[4*n : 4*n+4]
		b.Edges = append(b.Edges, &Edge{b: b, Name: fmt.Sprintf("edge-%s-%d", z, n+1), Zone: z, Callers: a[0], Ready: a[1], metrics: a[2], peers: a[3], store: storeAddress, cloud: cloudAddress})
	}
}

// Start starts the instance with settings as deploy/settings.template makes them.
func (e *Edge) Start(firstStart bool) {
	// No seeds: the role serves no control address (see deploy/system.toml), so that the platform
	// gives none; instances find one another through the store.
	settings := map[string]any{
		"name": e.Name, "availability-zone": e.Zone, "regions": e.b.Zones, "callers-address": e.Callers, "ready-address": e.Ready,
		"metrics-address": e.metrics, "peers-address": e.peers, "seeds": []string{}, "store-address": e.store, "promotions-address": e.cloud,
		"cores": 0.4, "in-force-ms": 3000, "shutdown-s": 6,
	}
	if firstStart {
		settings["first-start"] = true
	}
	text, _ := json.Marshal(settings)
	e.settings = filepath.Join(e.b.Dir, e.Name+".json")
	_ = os.WriteFile(e.settings, text, 0o600)
	logFile, err := os.OpenFile(filepath.Join(e.b.Dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c := exec.Command(e.b.Edge)
	c.Dir, c.Stdout, c.Stderr = e.b.Root, logFile, logFile
	c.Env = append(os.Environ(), "ORIOLEGW_SETTINGS="+e.settings)
	if err := c.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "start:", err)
		os.Exit(2)
	}
	_ = logFile.Close()
	done := make(chan struct{})
	e.b.mu.Lock()
	e.process, e.done, e.expected = c, done, false
	e.b.mu.Unlock()
	go func() {
		err := c.Wait()
		e.b.mu.Lock()
		unexpected := !e.expected && e.process == c
		e.Ended = e.Ended || unexpected
		e.b.mu.Unlock()
		if unexpected {
			e.b.Log("instance: %s ended by itself: %v", e.Name, err)
		}
		close(done)
	}()
}

// Kill kills the instance.
func (e *Edge) Kill() {
	e.b.mu.Lock()
	c, done := e.process, e.done
	e.expected = true
	e.b.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-done
}

// Signal sends a signal to the instance.
func (e *Edge) Signal(s syscall.Signal) {
	if s == syscall.SIGTERM {
		e.b.mu.Lock()
		e.expected = true
		e.b.mu.Unlock()
	}
	_ = e.process.Process.Signal(s)
}

// KillAll kills all instances.
func (b *Bench) KillAll() {
	var w sync.WaitGroup
	for _, e := range b.Edges {
		w.Go(e.Kill)
	}
	w.Wait()
}

// AwaitReady waits until all instances serve.
func (b *Bench) AwaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range b.Edges {
			if c, err := Dial(e.Callers, b.Groups[0].Name+"-db"); err == nil {
				if r := c.Do("FETCH 1"); r.Code == "" {
					ready++
				}
				c.Close()
			}
		}
		if ready == len(b.Edges) {
			return true
		}
	}
	return false
}

// Client is one session of a client.
type Client struct {
	net net.Conn
	in  *bufio.Reader
	n   int
	id  string
	// Sending, when set, is called just before a statement is sent.
	Sending func(id string)
}

// Result is the answer to a request: Code is "" on success and "CUT" without an answer.
type Result struct {
	ID, Code, Detail, Signature, State, Position string
	Rows                                         []string
}

// Dial opens a session.
func Dial(address, database string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	x := &Client{net: c, in: bufio.NewReader(c), id: fmt.Sprintf("%08x", rand.Uint32())}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "STARTUP %s\r\n", database)
	line, err := x.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("%s %v", strings.TrimSpace(line), err)
	}
	return x, nil
}

// Do sends a statement and reads its answer.
func (c *Client) Do(text string) Result {
	c.n++
	r := Result{ID: fmt.Sprintf("%s%08x", c.id, c.n)}
	if c.Sending != nil {
		c.Sending(r.ID)
	}
	_ = c.net.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := fmt.Fprintf(c.net, "QUERY %s %s\r\n", r.ID, text); err != nil {
		r.Code = "CUT"
		return r
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			r.Code, r.Detail = "CUT", err.Error()
			return r
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			r.Rows = append(r.Rows, rest)
		case "COMPLETE":
			r.Signature = rest
		case "ERROR":
			r.Code, r.Detail, _ = strings.Cut(rest, " ")
		case "READY":
			r.State, r.Position, _ = strings.Cut(rest, " ")
			return r
		}
	}
}

// Close ends the session.
func (c *Client) Close() { _ = c.net.Close() }

// Writers keeps sessions that write one statement after the other until stop is closed. Each
// success is passed to done.
func (b *Bench) Writers(n int, database string, pause time.Duration, stop chan struct{}, done func(id string), refused func(r Result)) *sync.WaitGroup {
	var w sync.WaitGroup
	for k := range n {
		w.Go(func() {
			r := rand.New(rand.NewSource(int64(k)))
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := Dial(b.Edges[r.Intn(len(b.Edges))].Callers, database)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for failed := false; !failed; {
					select {
					case <-stop:
						failed = true
						continue
					default:
					}
					x := c.Do(fmt.Sprintf("PUT %x v%d", r.Intn(2000), r.Intn(1000)))
					switch x.Code {
					case "":
						done(x.ID)
						time.Sleep(pause)
					case "CUT":
						failed = true
						refused(x)
					default:
						refused(x)
						time.Sleep(100 * time.Millisecond)
					}
				}
				c.Close()
			}
		})
	}
	return &w
}

// Config writes a configuration of the operator.
func (b *Bench) Config(version int) {
	routes, services := []any{}, []any{}
	for _, g := range b.Groups {
		for kind, suffix := range map[string]string{"primary": "-db", "read_your_writes": "-ryw", "bounded_staleness": "-bnd"} {
			routes = append(routes, map[string]any{"database": g.Name + suffix, "type": kind, "timeout_ms": 1000, "target_latency_ms": 400, "priority": 1, "service": g.Name, "max_staleness_ms": map[string]int{"primary": 0, "read_your_writes": 2500, "bounded_staleness": 1500}[kind]})
		}
		services = append(services, map[string]any{"name": g.Name, "max_conns": g.MaxConns, "sync_replicas": 1})
	}
	b.Store.Put("op/config", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 3000}})
}
