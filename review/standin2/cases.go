//go:build second_review

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// cases play a case; the result is whether the rule was broken, and what was seen.
var cases = map[string]func(w *world) (broken bool, said string){
	"late-order":     lateOrder,
	"route-and-back": routeAndBack,
	"unseen-member":  unseenMember,
	"bare-line-feed": bareLineFeed,
	"large-answers":  largeAnswers,
}

func route(database, group string, rule tracker.Rule, staleness time.Duration) tracker.Route {
	return tracker.Route{Database: database, Group: group, Rule: rule, Staleness: staleness, Timeout: time.Second, LatencyObjective: 800 * time.Millisecond, Priority: 1}
}

func configuration(version int64, groups []string, routes ...tracker.Route) tracker.Configuration {
	c := tracker.Configuration{Version: version, Routes: map[string]tracker.Route{}, Groups: map[string]tracker.GroupSettings{}, TransactionIdleTimeout: 3 * time.Second}
	for _, r := range routes {
		c.Routes[r.Database] = r
	}
	for _, g := range groups {
		c.Groups[g] = tracker.GroupSettings{Connections: memberConnections, SyncReplicas: 1}
	}
	return c
}

// between returns the one-way times of a small deployment: 0.1 ms in a zone, 8 ms between regions.
func between(zone string) func(string) time.Duration {
	return func(from string) time.Duration {
		if from == zone {
			return 100 * time.Microsecond
		}
		return 8 * time.Millisecond
	}
}

// lateOrder: the primary of a service is released eight times, four seconds apart. With trouble, the
// first call to the platform of every other change gets no answer (one call of three), and is carried
// out in the next change, when the member that it names has stepped down. It ends at the first
// acknowledged commit that is lost.
func lateOrder(w *world) (bool, string) {
	const (
		changes = 8
		// minLate and maxLate are when an unanswered call may be carried out.
		minLate, maxLate = 2 * time.Second, 12 * time.Second
		// drain is how long a member serves after it has reported that it drains.
		drain = 8 * time.Second
	)
	g := w.addGroup("ledger", 600*time.Millisecond)
	for k, z := range zones {
		g.join("m-"+z, z, ip(21+k), k == 0, time.Duration(12+5*k)*time.Millisecond, between(z))
	}
	var loseNext atomic.Bool
	w.platform.unanswered = func(_ int, _, id string) <-chan struct{} {
		if !loseNext.CompareAndSwap(true, false) {
			return nil
		}
		came, late := time.Now(), make(chan struct{})
		go func() {
			defer close(late)
			await(maxLate-time.Second, func() bool { return g.leaderID() == id })
			for time.Since(came) < maxLate-time.Second && g.leaderID() == id {
				time.Sleep(200 * time.Microsecond)
			}
			time.Sleep(time.Until(came.Add(minLate)))
		}()
		return late
	}
	w.platform.configure(configuration(7, []string{"ledger"}, route("locker", "ledger", tracker.RulePrimary, 0)))
	w.startNodes()
	w.awaitServed("locker", "PUT warm x")
	time.Sleep(4 * time.Second)
	stop, wrote := w.writers(g, "locker", 4)
	lost := func() int {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		return len(g.lost)
	}
	done := 0
	for ; done < changes && lost() == 0; done++ {
		// The new member starts first, and the old one drains.
		old := g.leaderID()
		zone := ""
		g.update(old, func(m *member) { zone = m.zone })
		g.join(fmt.Sprintf("%s-%d", "m-"+zone, done+2), zone, ip(31+done), false, 22*time.Millisecond, between(zone))
		time.Sleep(1200 * time.Millisecond)
		loseNext.Store(w.trouble && done%2 == 0)
		g.update(old, func(m *member) { m.leaving = true })
		w.record.line("plan", "draining", old)
		time.AfterFunc(drain, func() { g.end(old) })
		if !await(6*time.Second, func() bool { l := g.leaderID(); return l != "" && l != old }) {
			break
		}
		time.Sleep(2500 * time.Millisecond)
	}
	stop()
	return lost() > 0, fmt.Sprintf("%d changes of the primary, %d writes acknowledged, %d of them not in the log of the member that was promoted", done, wrote(), lost())
}

// unseenMember: the members of two services are released, so that two new members register 0.12 s
// apart. With trouble, the store is down for 4.5 s from then on, and the primary whose zone the second
// new member is in crashes.
func unseenMember(w *world) (bool, string) {
	g, other := w.addGroup("ledger", 600*time.Millisecond), w.addGroup("other", 600*time.Millisecond)
	for k, z := range zones {
		g.join("m-"+z, z, ip(21+k), k == 0, time.Duration(12+5*k)*time.Millisecond, between(z))
		other.join("o-"+z, z, ip(41+k), k == 0, 20*time.Millisecond, between(z))
	}
	w.platform.configure(configuration(7, []string{"ledger", "other"}, route("locker", "ledger", tracker.RulePrimary, 0), route("second", "other", tracker.RulePrimary, 0)))
	w.startNodes()
	w.awaitServed("locker", "PUT warm x")
	time.Sleep(5 * time.Second)
	stop, wrote := w.writers(g, "locker", 4)
	time.Sleep(2 * time.Second)
	other.join("o-hall-a-2", zones[0], ip(51), false, 20*time.Millisecond, between(zones[0]))
	time.Sleep(120 * time.Millisecond)
	g.join("m-hall-a-2", zones[0], ip(31), false, 20*time.Millisecond, between(zones[0]))
	if !await(time.Second, func() bool {
		p, err := w.platform.store.Get(context.Background(), "servers/m-hall-a-2")
		return err == nil && p.Revision != 0
	}) {
		fatal("the new member is not registered")
	}
	w.record.line("registered", "member", "m-hall-a-2")
	time.Sleep(30 * time.Millisecond)
	if w.trouble {
		w.platform.store.SetFaults(func(f *storer.Faults) { f.Down = true })
		w.record.line("plan", "store", "down")
		time.AfterFunc(4500*time.Millisecond, func() {
			w.platform.store.SetFaults(func(f *storer.Faults) { f.Down = false })
			w.record.line("plan", "store", "up")
		})
		time.Sleep(100 * time.Millisecond)
		w.record.line("plan", "crash", "m-hall-a")
		g.end("m-hall-a")
	} else {
		g.update("m-hall-a", func(m *member) { m.leaving = true })
	}
	await(10*time.Second, func() bool { l := g.leaderID(); return l != "" && l != "m-hall-a" })
	led := g.leaderID()
	time.Sleep(5 * time.Second)
	stop()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.lost) > 0, fmt.Sprintf("%s was promoted; %d writes acknowledged, %d of them not in its log", led, wrote(), len(g.lost))
}

func await(limit time.Duration, done func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// writers write at each node until stop is called.
func (w *world) writers(g *group, database string, perNode int) (stop func(), wrote func() int64) {
	var ended atomic.Bool
	var count atomic.Int64
	var all sync.WaitGroup
	for _, n := range w.nodes {
		for range perNode {
			all.Go(func() {
				var c *client
				for k := 0; !ended.Load(); k++ {
					if c == nil {
						var err error
						if c, err = dial(w.record, n.frontend, database); err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
					}
					id, a, err := c.query(fmt.Sprintf("PUT i%d d%d", k%50, k))
					switch {
					case err != nil:
						_ = c.conn.Close()
						c = nil
					case a.code == "" && a.signature != "" && a.signature != "-":
						g.acked(id)
						count.Add(1)
					default:
						time.Sleep(20 * time.Millisecond)
					}
					time.Sleep(8 * time.Millisecond)
				}
				if c != nil {
					c.close()
				}
			})
		}
	}
	return func() { ended.Store(true); all.Wait() }, count.Load
}

// routeAndBack: the operator moves a route to another service and back, while a session writes on it.
// With trouble, the replicas of the first service are behind meanwhile.
func routeAndBack(w *world) (bool, string) {
	const (
		usualLag  = 20 * time.Millisecond
		staleness = 2500 * time.Millisecond
		// configurationGap is the pause between two configurations.
		configurationGap = 350 * time.Millisecond
		lagLength        = 6 * time.Second
	)
	var services [2]*group
	for i, name := range []string{"ledger-1", "ledger-2"} {
		g := w.addGroup(name, 600*time.Millisecond)
		for k, z := range zones {
			g.join(fmt.Sprintf("%s-%s", name, z), z, ip(30+10*i+k), k == 0, usualLag, between(z))
		}
		services[i] = g
	}
	services[0].prefill(1000)
	services[1].prefill(10)
	setLag := func(lag time.Duration) {
		for _, z := range zones {
			services[0].update("ledger-1-"+z, func(m *member) { m.applyLag = lag })
		}
		w.record.line("plan", "replicas-behind-ms", lag.Milliseconds())
	}
	names := []string{"ledger-1", "ledger-2"}
	version := int64(7)
	var configuredAt time.Time
	configure := func(service string) {
		time.Sleep(time.Until(configuredAt.Add(configurationGap)))
		version += 3
		w.platform.configure(configuration(version, names, route("booking", service, tracker.RuleReadYourWrites, staleness)))
		configuredAt = time.Now()
	}
	configure("ledger-1")
	w.startNodes()
	w.awaitServed("booking", "FETCH old")
	time.Sleep(4 * time.Second)
	stale, reads := 0, 0
	for round := range 5 {
		if w.trouble {
			setLag(100 * usualLag)
		}
		lagEnds := time.Now().Add(lagLength)
		c, err := dial(w.record, w.nodes[round%len(w.nodes)].frontend, "booking")
		if err != nil {
			fatal(err)
		}
		item := "slot-" + c.session
		// own holds the data that the session wrote on the first service, up to the last acknowledged.
		own := ""
		write := func() string {
			data := newID()
			_, a, err := c.query("PUT " + item + " " + data)
			if err != nil || a.code != "" {
				return ""
			}
			if strings.HasPrefix(a.signature, "ledger-1-") {
				own = data
			}
			return a.signature
		}
		write()
		configure("ledger-2")
		moved := await(3*time.Second, func() bool { time.Sleep(30 * time.Millisecond); return strings.HasPrefix(write(), "ledger-2-") })
		configure("ledger-1")
		for until := time.Now().Add(2 * time.Second); moved && time.Now().Before(until); time.Sleep(30 * time.Millisecond) {
			id, a, err := c.query("FETCH " + item)
			if err != nil {
				break
			}
			if a.code != "" || !strings.HasPrefix(a.signature, "ledger-1-") {
				continue
			}
			reads++
			if len(a.rows) != 1 || a.rows[0] != own {
				stale++
				w.record.line("stale", "session", c.session, "statement", id, "row", a.rows, "own-acknowledged", own, "signature", a.signature)
			}
		}
		c.close()
		time.Sleep(time.Until(lagEnds))
		setLag(usualLag)
		time.Sleep(2 * time.Second)
	}
	return stale > 0, fmt.Sprintf("%d reads on the first service after the route came back; %d ran on a log without the session's own acknowledged commit", reads, stale)
}

// bareLineFeed: clients write data that contains a line feed. A message ends with CR LF only.
func bareLineFeed(w *world) (bool, string) {
	g := w.addGroup("ledger", 600*time.Millisecond)
	for k, z := range zones {
		g.join("m-"+z, z, ip(21+k), k == 0, 20*time.Millisecond, between(z))
	}
	w.platform.configure(configuration(7, []string{"ledger"}, route("locker", "ledger", tracker.RulePrimary, 0)))
	w.startNodes()
	w.awaitServed("locker", "PUT warm x")
	sent := map[string]string{}
	for k, n := range w.nodes {
		c, err := dial(w.record, n.frontend, "locker")
		if err != nil {
			fatal(err)
		}
		id, inner := newID(), newID()
		text := fmt.Sprintf("PUT note-%d first line / QUERY %s PUT key-%d released", k, inner, k)
		if w.trouble {
			text = fmt.Sprintf("PUT note-%d first line\nQUERY %s PUT key-%d released", k, inner, k)
		}
		sent[id] = text
		_, _ = c.send(id, "QUERY "+id+" "+text+"\r\n", text)
		time.Sleep(500 * time.Millisecond)
		_ = c.conn.Close()
	}
	time.Sleep(500 * time.Millisecond)
	unasked, changed := 0, 0
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, e := range g.leader().log {
		if strings.HasPrefix(e.Item, "note-") {
			if want := sent[e.StatementID]; want != "PUT "+e.Item+" "+e.Data {
				changed++
				w.record.line("changed", "statement", e.StatementID, "sent", want, "ran", "PUT "+e.Item+" "+e.Data)
			}
		}
		if strings.HasPrefix(e.Item, "key-") {
			if _, ok := sent[e.StatementID]; !ok {
				unasked++
				w.record.line("unasked", "statement", e.StatementID, "ran", "PUT "+e.Item+" "+e.Data)
			}
		}
	}
	return unasked+changed > 0, fmt.Sprintf("%d messages sent; %d writes ran whose ID no client sent, %d with changed text", len(sent), unasked, changed)
}

// largeAnswers: at each node, sessions that stand open read an answer of many rows, one after the other
// and one at a time. A process that exceeds the memory of its machine is killed and started again, as
// the pages say.
func largeAnswers(w *world) (bool, string) {
	const (
		memoryLimit     = 284 << 20
		sessionsPerNode = 32
		rowBytes        = 1000
		ends            = 3
	)
	rows := 3
	if w.trouble {
		rows = 10000
	}
	answer := make([]string, rows)
	for i := range answer {
		answer[i] = strings.Repeat("x", rowBytes)
	}
	g := w.addGroup("ledger", 600*time.Millisecond)
	for k, z := range zones {
		m := g.join("m-"+z, z, ip(21+k), k == 0, 20*time.Millisecond, between(z))
		m.rows = func(item string) []string {
			if item == "report" {
				return answer
			}
			return answer[:1]
		}
	}
	r := route("report", "ledger", tracker.RuleBounded, 1500*time.Millisecond)
	r.Timeout = 2 * time.Second
	w.platform.configure(configuration(7, []string{"ledger"}, r))
	w.startNodes()
	w.awaitServed("report", "FETCH small")
	time.Sleep(3 * time.Second)
	var stop atomic.Bool
	var all sync.WaitGroup
	var served atomic.Int64
	killed := make([]int, len(w.nodes))
	peak := make([]int64, len(w.nodes))
	for i, n := range w.nodes {
		all.Go(func() { killed[i], peak[i] = w.limitMemory(n, memoryLimit, ends, &stop) })
		all.Go(func() {
			sessions := make([]*client, sessionsPerNode)
			for k := 0; !stop.Load(); k = (k + 1) % sessionsPerNode {
				if sessions[k] == nil {
					c, err := dial(w.record, n.frontend, "report")
					if err != nil {
						time.Sleep(200 * time.Millisecond)
						continue
					}
					sessions[k] = c
				}
				_, a, err := sessions[k].query("FETCH report")
				switch {
				case err != nil:
					_ = sessions[k].conn.Close()
					sessions[k] = nil
				case a.code == "":
					served.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
			for _, c := range sessions {
				if c != nil {
					c.close()
				}
			}
		})
	}
	time.Sleep(40 * time.Second)
	stop.Store(true)
	all.Wait()
	machines := 0
	for i, n := range w.nodes {
		w.record.line("node", "name", n.name, "ended", killed[i], "peak-mb", peak[i]>>20)
		if killed[i] >= ends {
			machines++
		}
	}
	return machines >= 2, fmt.Sprintf("%d reads of %d rows served; processes ended over their memory, by machine: %v; peaks in MB: %d, %d, %d", served.Load(), rows, killed, peak[0]>>20, peak[1]>>20, peak[2]>>20)
}

// limitMemory kills a node's process when it exceeds its memory, and starts it again after a short
// delay, up to a number of times. It returns how often, and the peak.
func (w *world) limitMemory(n *node, limit int64, most int, stop *atomic.Bool) (ended int, peak int64) {
	for ; !stop.Load(); time.Sleep(2 * time.Millisecond) {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
		if err != nil {
			continue
		}
		var size, resident int64
		if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
			continue
		}
		resident *= int64(os.Getpagesize())
		peak = max(peak, resident)
		if resident <= limit || ended == most {
			continue
		}
		w.record.line("over-memory", "node", n.name, "resident-mb", resident>>20)
		_ = n.command.Process.Kill()
		<-n.exited
		ended++
		time.Sleep(500 * time.Millisecond)
		w.start(n)
	}
	return ended, peak
}
