package launcher_test

import (
	"bufio"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/shoenig/test/must"
)

// restartReplay is the outcome of a replay of a restart of all instances.
type restartReplay struct {
	served, refused int
	// waits are the times from connecting to the reply to the first statement, sorted.
	waits []time.Duration
}

// restartAll restarts all instances within 0.1 s, the first one only after late. In the 0.4 s after each one's start, callers
// connect to it at even intervals and send one statement.
func (f *fleet) restartAll(instances, callersEach int, late time.Duration) restartReplay {
	zones := []string{"a", "b", "c"}
	var all []*instance
	for n := range instances {
		all = append(all, f.start(fmt.Sprintf("10.5.0.%d", n+1), zones[n%3]))
	}
	time.Sleep(8 * time.Second)
	for n, i := range all {
		f.net.Kill(fmt.Sprintf("10.5.0.%d", n+1))
		i.kill()
	}
	time.Sleep(time.Second)
	var r restartReplay
	var mutex sync.Mutex
	var callers sync.WaitGroup
	for n := range all {
		callers.Go(func() {
			time.Sleep(time.Duration(n*100/instances) * time.Millisecond)
			if n == 0 {
				time.Sleep(late)
			}
			ip := fmt.Sprintf("10.5.0.%d", n+1)
			f.net.Revive(ip)
			f.start(ip, zones[n%3])
			for k := range callersEach {
				time.Sleep(400 * time.Millisecond / time.Duration(callersEach))
				callers.Go(func() {
					begin := time.Now()
					reply := f.firstStatement(ip, fmt.Sprintf("s%d-%d", n, k), customerKey((n+k)%16))
					mutex.Lock()
					defer mutex.Unlock()
					if reply == "I" {
						r.served++
						r.waits = append(r.waits, time.Since(begin))
						return
					}
					r.refused++
					f.t.Log(reply)
				})
			}
		})
	}
	callers.Wait()
	slices.Sort(r.waits)
	return r
}

// firstStatement opens a session, sends one statement and returns its reply.
func (f *fleet) firstStatement(ip, id, key string) string {
	conn, err := f.net.Host(fmt.Sprintf("10.7.1.%d", f.callers.Add(1)), "a").Dial(f.ctx, ip+":5000")
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	fmt.Fprintf(conn, "STARTUP strict %s\r\n", key)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return "start: " + line
	}
	fmt.Fprintf(conn, "QUERY %s PUT %s v\r\n", id, id)
	reply := ""
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return reply + err.Error()
		}
		if state, ok := strings.CutPrefix(line, "READY "); ok {
			return reply + strings.Fields(state)[0]
		}
		if strings.HasPrefix(line, "ERROR") {
			reply += line
		}
	}
}

// replayRestart restarts 24 instances of a fleet with 16 customers, with callersEach callers of each; the
// first one follows late.
func replayRestart(t *testing.T, callersEach int, late time.Duration) {
	runFleet(t, func(f *fleet) {
		for n := range 16 {
			f.customers = append(f.customers, platformer.Customer{Name: fmt.Sprint("c", n), Keys: []string{customerKey(n)}, PerSecond: 1000, Burst: 1000})
		}
		f.configure()
		r := f.restartAll(24, callersEach, late)
		f.t.Log("first statements:", r.served, "served,", r.refused, "refused, median", r.waits[len(r.waits)/2], "longest", r.waits[len(r.waits)-1])
		must.Eq(f.t, 0, r.refused)
	})
}

// Sessions that arrive in the first 0.4 s after a restart of all instances must be served although
// no instance knows the configuration yet.
func TestSessionsDuringRestartOfAll(t *testing.T) { replayRestart(t, 8, 0) }

// An instance that holds connections for others, or reads the store for them, starts later than they
// do: their callers must be served nevertheless.
func TestSessionsWhileOneInstanceStartsLate(t *testing.T) { replayRestart(t, 8, 300*time.Millisecond) }

// More requests wait at a holder than it serves within one attempt of their instances: none must lose
// its place to later ones until its time is over.
func TestBacklogDuringRestartOfAll(t *testing.T) { replayRestart(t, 16, 0) }
