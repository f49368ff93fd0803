//go:build second_review

// Command standin2 plays one case of the second review: it starts the stand-ins of members, platform
// and clients in this process, and the project's program as separate processes.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
	// caseTimeout ends a case that hangs.
	caseTimeout = 110 * time.Second
	program     = "target/oriolegw-edge"
)

var zones = []string{"hall-a", "hall-b", "hall-c"}

type (
	// world is what a case runs in.
	world struct {
		record    *record
		platform  *thePlatform
		trouble   bool
		directory string
		nodes     []*node
	}

	// node is one process of the system.
	node struct {
		name, ip, zone            string
		frontend, ready, settings string
		command                   *exec.Cmd
		exited                    chan error
	}
)

var theWorld *world

// fatal ends the case as one that couldn't run.
func fatal(v ...any) {
	fmt.Fprintln(os.Stderr, v...)
	finish(exitNotRun)
}

func finish(code int) {
	if w := theWorld; w != nil {
		for _, n := range w.nodes {
			if n.command != nil && n.command.Process != nil {
				_ = n.command.Process.Signal(syscall.SIGCONT)
				_ = n.command.Process.Kill()
				<-n.exited
			}
		}
		_ = os.RemoveAll(w.directory)
		w.record.line("end", "exit", code)
		w.record.flush()
	}
	os.Exit(code)
}

func ip(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n)
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "second-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &record{out: bufio.NewWriter(out), start: time.Now()}
	theWorld = &world{record: r, trouble: os.Getenv("TROUBLE") != "0", directory: dir}
	w := theWorld
	time.AfterFunc(caseTimeout, func() {
		r.line("timeout")
		fatal("the case took too long")
	})
	r.line("begin", "case", os.Args[1], "trouble", w.trouble)
	w.platform = newPlatform(ip(1), r)
	go w.platform.heartbeats(context.Background())
	broken, said := play(w)
	fmt.Println(said)
	r.line("verdict", "broken", broken, "said", said)
	if broken {
		finish(exitBroken)
	}
	finish(exitHeld)
}

// addGroup adds a group to the platform.
func (w *world) addGroup(name string, promote time.Duration) *group {
	g := newGroup(name, promote, w.record)
	w.platform.mutex.Lock()
	defer w.platform.mutex.Unlock()
	groups := map[string]*group{name: g}
	for n, x := range w.platform.groups {
		groups[n] = x
	}
	w.platform.groups = groups
	return g
}

// startNodes starts one process a zone, each with a settings file as the deploy file's template
// gives it, and waits until all are ready.
func (w *world) startNodes() {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region-" + z
	}
	for i, z := range zones {
		n := &node{name: "edge-" + z + "-1", zone: z, ip: ip(10 + i)}
		n.frontend, n.ready = freePort(n.ip), freePort(n.ip)
		n.settings = filepath.Join(w.directory, n.name+".settings")
		text, err := json.Marshal(map[string]any{
			"name": n.name, "availability-zone": z, "regions": regions, "callers-address": n.frontend, "ready-address": n.ready,
			"metrics-address": freePort(n.ip), "peers-address": freePort(n.ip), "seeds": []string{}, "store-address": w.platform.address,
			"promotions-address": w.platform.address, "cores": 0.4, "in-force-ms": 3000, "first-start": true, "shutdown-s": 6,
		})
		if err != nil {
			fatal(err)
		}
		if err := os.WriteFile(n.settings, text, 0o600); err != nil {
			fatal(err)
		}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			c := http.Client{Timeout: time.Second}
			if r, err := c.Get("http://" + n.ready + "/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.nodes) {
			break
		}
		if time.Now().After(until) {
			fatal("the nodes did not become ready")
		}
	}
	w.record.line("ready", "nodes", len(w.nodes))
}

// start starts a node's process with the command of the deploy file. Its output goes to a file in
// the temporary folder, or to the folder that KEEP_LOGS names.
func (w *world) start(n *node) {
	logs := w.directory
	if d := os.Getenv("KEEP_LOGS"); d != "" {
		logs = d
	}
	out, err := os.OpenFile(filepath.Join(logs, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	defer out.Close()
	n.command = exec.Command(program)
	for _, v := range os.Environ() {
		if strings.HasPrefix(v, "PATH=") || strings.HasPrefix(v, "HOME=") || strings.HasPrefix(v, "LANG=") {
			n.command.Env = append(n.command.Env, v)
		}
	}
	n.command.Env = append(n.command.Env, "ORIOLEGW_SETTINGS="+n.settings)
	n.command.Stdout, n.command.Stderr = out, out
	if err := n.command.Start(); err != nil {
		fatal(err)
	}
	n.exited = make(chan error, 1)
	go func(c *exec.Cmd, exited chan error) { exited <- c.Wait() }(n.command, n.exited)
	w.record.line("started", "node", n.name, "frontend", n.frontend)
}

// awaitServed waits until each node serves a database.
func (w *world) awaitServed(database, statement string) {
	for _, n := range w.nodes {
		for until := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if c, err := dial(w.record, n.frontend, database); err == nil {
				_, a, err := c.query(statement)
				c.close()
				if err == nil && a.code == "" {
					break
				}
			}
			if time.Now().After(until) {
				fatal(n.name + " does not serve " + database)
			}
		}
	}
}
