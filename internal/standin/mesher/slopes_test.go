package mesher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/oriolegw/oriolegw/internal/promoter"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/internal/standin/mesher"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

var printSlopes = flag.Bool("slopes", false, "print the cost of the control plane at several sizes")

// size is the size of a deployment. The number of groups grows in proportion to the
// instances.
type size struct {
	zones, perZone, groups int
	// usedShare is the fraction of the groups that clients of one instance use.
	usedShare float64
}

func (s size) instances() int { return s.zones * s.perZone }

// documentFor returns a configuration with the size's number of groups.
func documentFor(s size) *configurer.Document { return newDocument(s.groups) }

func userSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Sec) + float64(u.Utime.Usec)/1e6
}

func liveBytes() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// TestSlopes checks the control plane's bandwidth budget and prints one line per figure:
// "name instances groups value unit". Without -slopes it runs only the smallest size.
func TestSlopes(t *testing.T) {
	const bytesPerSecond = 9000
	sizes := []size{{3, 3, 3, 1}}
	if *printSlopes {
		sizes = append(sizes, size{3, 3, 12, 1}, size{3, 12, 46, 1}, size{3, 48, 184, 1}, size{3, 48, 184, 0.25})
	}
	for _, s := range sizes {
		must.LessEq(t, bytesPerSecond, measureControl(s))
	}
	if !*printSlopes {
		return
	}
	measureStatusQuery(t)
	for _, groups := range []int{3, 184, 575, 2300} {
		measureDocument(groups)
		measureSlice("observer", &observer.Slice{Instance: "one", Zone: "a"}, groups)
		measureSlice("router", &router.Slice{Published: &atomic.Pointer[router.Table]{}}, groups)
		measureSlice("detector", &detector.Slice{Zone: "a"}, groups)
		measureSlice("promoter", &promoter.Slice{Name: "one", Owner: "one", Random: rand.New(rand.NewPCG(1, 1))}, groups)
		measureSlice("drainer", &drainer.Slice{}, groups)
	}
}

// countingNetwork counts the bytes sent and received on the connections it opens.
type countingNetwork struct {
	networker.Network
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	return countingConn{conn, c.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// measureStatusQuery prints the bytes in both directions of a status query on an open
// connection.
func measureStatusQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, ctx, cancel := netsimulator.New(1), context.Background(), context.CancelFunc(nil)
		ctx, cancel = context.WithCancel(ctx)
		m := &replicator.Member{
			Name: "service-1-1", Group: "service-1", Address: "10.2.0.1:5432", GroupSize: 3,
			Network: n.Host("10.2.0.1", "a"), Log: log.NewNopLogger(), Slots: 4,
		}
		m.Bootstrap(m.Address)
		ended := make(chan error, 1)
		go func() { ended <- m.Run(ctx) }()
		synctest.Wait()
		bytes := &atomic.Int64{}
		commands := &commander.Postgres{Network: countingNetwork{n.Host("10.1.0.1", "a"), bytes}, Application: "entry-a-1"}
		query := func() {
			_, err := commands.Status(ctx, m.Address)
			must.NoError(t, err)
		}
		query() // opens the connection
		const queries = 100
		before := bytes.Load()
		for range queries {
			query()
		}
		fmt.Printf("%-34s replicas=0 %12d B\n", "observer-bytes-per-question", (bytes.Load()-before)/queries)
		commands.Close()
		cancel()
		<-ended
	})
}

// measureSlice prints one slice's CPU time per event and its memory with all groups known.
func measureSlice(name string, s controller.Slice, groups int) {
	d := newDocument(groups)
	before := liveBytes()
	now := time.Unix(1_000_000, 0)
	s.Step(now, configurer.Activated{Version: 1, Document: d})
	observe := func() {
		for _, v := range d.Services {
			for k, m := range v.Members {
				p := orderer.Position{Term: 1, Offset: uint64(now.UnixMilli())}
				o := commander.Status{Role: commander.RoleReplica, Term: 1, Received: p, Replayed: p}
				if k == 0 {
					o.Role = commander.RolePrimary
				}
				s.Step(now, observer.Observed{Service: v.Name, Member: m.Name, Started: now, Status: o})
			}
		}
	}
	observe()
	const ticks = 100
	cpu := userSeconds()
	for range ticks {
		now = now.Add(time.Millisecond) // observations stay fresh
		s.Step(now, controller.Tick{})
	}
	tick := (userSeconds() - cpu) / ticks
	cpu = userSeconds()
	observe()
	observed := (userSeconds() - cpu) / float64(3*groups)
	fmt.Printf("%-34s groups=%-4d %12.3f us\n", name+"-cpu-per-tick", groups, 1e6*tick)
	fmt.Printf("%-34s groups=%-4d %12.3f us\n", name+"-cpu-per-observation", groups, 1e6*observed)
	fmt.Printf("%-34s groups=%-4d %12.3f KiB\n", name+"-memory", groups, (liveBytes()-before)/1024)
	runtime.KeepAlive(s)
}

// measureControl runs a mesh of the size and returns its bytes per second and instance.
func measureControl(s size) float64 {
	d := documentFor(s)
	before := liveBytes()
	m := mesher.New(mesher.Plan{
		Seed: 1, Zones: zones[:s.zones], PerZone: s.perZone, Document: d,
		UsedServices: func(*mesher.Node) []string {
			var out []string
			for _, v := range d.Services[:int(float64(s.groups)*s.usedShare)] {
				out = append(out, v.Name)
			}
			return out
		},
	})
	m.Run(30 * time.Second)
	const span = 30 * time.Second
	previous, cpu := m.Totals, userSeconds()
	m.Run(span)
	cpu = userSeconds() - cpu
	seconds, nodes := span.Seconds(), float64(s.instances())
	perInstance := func(n int) float64 { return float64(n) / seconds / nodes }
	printFigure := func(name string, value float64, unit string) {
		fmt.Printf("%-34s instances=%-4d groups=%-4d used=%-4.2f %12.3f %s\n", name, s.instances(), s.groups, s.usedShare, value, unit)
	}
	c := m.Totals
	printFigure("control-events", perInstance(c.Events-previous.Events), "1/s/instance")
	printFigure("control-cpu", 100*cpu/seconds/nodes, "%-of-a-core/instance")
	printFigure("control-cpu-per-event", 1e6*cpu/float64(c.Events-previous.Events), "us")
	printFigure("observer-questions", perInstance(c.StatusQueries-previous.StatusQueries), "1/s/instance")
	printFigure("peers-exchanges", perInstance(c.Exchanges-previous.Exchanges), "1/s/instance")
	printFigure("peers-announces", perInstance(c.Announcements-previous.Announcements), "1/s/instance")
	bytesPerInstance := 2 * float64(c.Bytes-previous.Bytes) / seconds / nodes
	printFigure("peers-bytes-both-ends", bytesPerInstance, "B/s/instance")
	if n := c.Exchanges - previous.Exchanges; n > 0 {
		printFigure("peers-bytes-per-exchange", float64(c.Bytes-previous.Bytes)/float64(n), "B")
	}
	printFigure("knowledge-age-mean", 1e3*meanAge(m, m.Plan.UsedServices(nil)).Seconds(), "ms")
	printFigure("store-reads", float64(c.StoreReads-previous.StoreReads)/seconds, "1/s/fleet")
	printFigure("store-watches", float64(c.StoreWatches-previous.StoreWatches)/seconds, "1/s/fleet")
	printFigure("list-calls", float64(c.ListCalls-previous.ListCalls)/seconds, "1/s/fleet")
	printFigure("control-memory", (liveBytes()-before)/nodes/1024, "KiB/instance")
	runtime.KeepAlive(m)
	m.Run(20 * time.Millisecond)
	measureChange(m, d, printFigure)
	return bytesPerInstance
}

// meanAge returns the mean age of the nodes' observations of the used groups' members.
func meanAge(m *mesher.Mesh, used []string) time.Duration {
	sum, n := time.Duration(0), 0
	for _, x := range m.RunningNodes() {
		for _, v := range used {
			for k := range zones {
				sum += m.Now.Sub(x.LastObserved[fmt.Sprintf("%s/%s-%d", v, v, k+1)])
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// measureChange publishes a configuration and a leaving mark, and prints the time until
// each reached all nodes and its cost.
func measureChange(m *mesher.Mesh, d *configurer.Document, printFigure func(string, float64, string)) {
	nodes := float64(len(m.Nodes))
	previous, start := m.Totals, m.Now
	changed := *d
	changed.Services = append([]configurer.Service(nil), d.Services...)
	changed.Services[len(d.Services)/2].Connections++
	v := m.Publish(&changed)
	for behind := true; behind && m.Now.Sub(start) < time.Minute; {
		m.Run(10 * time.Millisecond)
		behind = false
		for _, n := range m.RunningNodes() {
			behind = behind || n.ActiveVersion() < v
		}
	}
	printFigure("configuration-in-force-everywhere", 1e3*m.Now.Sub(start).Seconds(), "ms")
	m.Run(5 * time.Second)
	printFigure("configuration-fetches-per-change", float64(m.Totals.Fetches-previous.Fetches)/nodes, "1/instance")
	printFigure("configuration-bytes-per-change", float64(m.Totals.FetchBytes-previous.FetchBytes)/nodes, "B/instance")
	printFigure("configuration-announces-per-change", float64(m.Totals.Announcements-previous.Announcements)/nodes, "1/instance")
	start, previous = m.Now, m.Totals
	m.List = append(m.List, lister.Instance{Name: "service-1-2", Kind: lister.KindTarget, Zone: "b", State: lister.StateLeaving})
	for behind := true; behind && m.Now.Sub(start) < time.Minute; {
		m.Run(10 * time.Millisecond)
		behind = false
		for _, n := range m.RunningNodes() {
			behind = behind || len(n.LeavingTargets) == 0
		}
	}
	printFigure("drain-sign-everywhere", 1e3*m.Now.Sub(start).Seconds(), "ms")
	printFigure("drain-announces-per-sign", float64(m.Totals.Announcements-previous.Announcements)/nodes, "1/instance")
}

// encodeCompact encodes a configuration without indentation, one line per service, to
// fit the largest one within the store's value limit.
func encodeCompact(d *configurer.Document) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, configurer.Encode(d)); err != nil {
		panic(err)
	}
	return bytes.ReplaceAll(out.Bytes(), []byte(`{"name":"service-`), []byte("\n"+`{"name":"service-`))
}

// measureDocument prints the sizes of a configuration and its patch, and their CPU time.
func measureDocument(groups int) {
	text := encodeCompact(newDocument(groups))
	const rounds = 5
	cpu := userSeconds()
	for range rounds {
		if _, err := configurer.Decode(text); err != nil {
			panic(err)
		}
	}
	cpu = userSeconds() - cpu
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-document", groups, len(text))
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-document-indented", groups, len(configurer.Encode(newDocument(groups))))
	next := newDocument(groups)
	next.Services[groups/2].Connections++
	changed := encodeCompact(next)
	patchCPU := userSeconds()
	patch := configurer.MakePatch(text, changed)
	patchCPU = userSeconds() - patchCPU
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-difference", groups, patch.Size())
	fmt.Printf("%-34s groups=%-4d %12.3f ms\n", "configuration-difference-cpu", groups, 1e3*patchCPU)
	fmt.Printf("%-34s groups=%-4d %12.3f ms\n", "configuration-decode-cpu", groups, 1e3*cpu/rounds)
}
