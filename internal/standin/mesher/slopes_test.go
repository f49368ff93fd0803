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
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

var printSlopes = flag.Bool("slopes", false, "print the costs of control at several sizes")

// size is a deployment: groups that grow with the instances, so that the ratio of
// the developers' page, 2,300 groups to 1,800 instances, is met at each.
type size struct {
	zones, perZone, groups int
	// usedShare is how many of the groups callers of one instance use.
	usedShare float64
}

func (s size) instances() int { return s.zones * s.perZone }

// wide has a region of three zones; each group has a member in each.
func wide(s size) *configurer.Document { return document(s.groups) }

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

// TestSlopes prints one line for each figure, "name instances groups value
// unit", and holds control to its budget of bytes at each size. make slopes runs
// all sizes, for docs/CAPACITY.md; make test the smallest.
func TestSlopes(t *testing.T) {
	const bytesPerSecond = 9000
	sizes := []size{{3, 3, 3, 1}}
	if *printSlopes {
		sizes = append(sizes, size{3, 3, 12, 1}, size{3, 12, 46, 1}, size{3, 48, 184, 1}, size{3, 48, 184, 0.25})
	}
	for _, s := range sizes {
		must.LessEq(t, bytesPerSecond, measure(s))
	}
	if !*printSlopes {
		return
	}
	measureQuestion(t)
	for _, groups := range []int{3, 184, 575, 2300} {
		measureDocument(groups)
		measureSlice("observer", &observer.Slice{Instance: "one", Zone: "a"}, groups)
		measureSlice("router", &router.Slice{Published: &atomic.Pointer[router.Table]{}}, groups)
		measureSlice("detector", &detector.Slice{Zone: "a"}, groups)
		measureSlice("promoter", &promoter.Slice{Name: "one", Owner: "one", Random: rand.New(rand.NewPCG(1, 1))}, groups)
		measureSlice("drainer", &drainer.Slice{}, groups)
	}
}

// counting counts the bytes of the connections that it opens, both ways.
type counting struct {
	networker.Network
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counting) Dial(ctx context.Context, address string) (net.Conn, error) {
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

// measureQuestion tells what a question to a target carries, on the connection
// that is kept to it, both ways.
func measureQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, ctx, cancel := wirer.New(1), context.Background(), context.CancelFunc(nil)
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
		orders := &commander.Postgres{Network: counting{n.Host("10.1.0.1", "a"), bytes}, Application: "entry-a-1"}
		ask := func() {
			_, err := orders.Status(ctx, m.Address)
			must.NoError(t, err)
		}
		ask() // opens the connection
		const questions = 100
		before := bytes.Load()
		for range questions {
			ask()
		}
		fmt.Printf("%-34s replicas=0 %12d B\n", "observer-bytes-per-question", (bytes.Load()-before)/questions)
		orders.Close()
		cancel()
		<-ended
	})
}

// measureSlice tells what one slice alone takes for an event, and what it keeps,
// with all groups known.
func measureSlice(name string, s controller.Slice, groups int) {
	d := document(groups)
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
		now = now.Add(time.Millisecond) // what was observed stays fresh
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

// measure runs a mesh of the size and returns its bytes per second and instance.
func measure(s size) float64 {
	d := wide(s)
	before := liveBytes()
	m := mesher.New(mesher.Plan{
		Seed: 1, Zones: zones[:s.zones], PerZone: s.perZone, Document: d,
		Used: func(*mesher.Node) []string {
			var out []string
			for _, v := range d.Services[:int(float64(s.groups)*s.usedShare)] {
				out = append(out, v.Name)
			}
			return out
		},
	})
	m.Run(30 * time.Second)
	const span = 30 * time.Second
	was, cpu := m.Counts, userSeconds()
	m.Run(span)
	cpu = userSeconds() - cpu
	seconds, nodes := span.Seconds(), float64(s.instances())
	each := func(n int) float64 { return float64(n) / seconds / nodes }
	show := func(name string, value float64, unit string) {
		fmt.Printf("%-34s instances=%-4d groups=%-4d used=%-4.2f %12.3f %s\n", name, s.instances(), s.groups, s.usedShare, value, unit)
	}
	c := m.Counts
	show("control-events", each(c.Events-was.Events), "1/s/instance")
	show("control-cpu", 100*cpu/seconds/nodes, "%-of-a-core/instance")
	show("control-cpu-per-event", 1e6*cpu/float64(c.Events-was.Events), "us")
	show("observer-questions", each(c.Questions-was.Questions), "1/s/instance")
	show("peers-exchanges", each(c.Exchanges-was.Exchanges), "1/s/instance")
	show("peers-announces", each(c.Announces-was.Announces), "1/s/instance")
	bytesEach := 2 * float64(c.Bytes-was.Bytes) / seconds / nodes
	show("peers-bytes-both-ends", bytesEach, "B/s/instance")
	if n := c.Exchanges - was.Exchanges; n > 0 {
		show("peers-bytes-per-exchange", float64(c.Bytes-was.Bytes)/float64(n), "B")
	}
	show("knowledge-age-mean", 1e3*meanAge(m, m.Plan.Used(nil)).Seconds(), "ms")
	show("store-reads", float64(c.StoreReads-was.StoreReads)/seconds, "1/s/fleet")
	show("store-watches", float64(c.StoreWatches-was.StoreWatches)/seconds, "1/s/fleet")
	show("list-calls", float64(c.ListCalls-was.ListCalls)/seconds, "1/s/fleet")
	show("control-memory", (liveBytes()-before)/nodes/1024, "KiB/instance")
	runtime.KeepAlive(m)
	m.Run(20 * time.Millisecond)
	measureChange(m, d, show)
	return bytesEach
}

// meanAge is that of what instances know of the members of groups in use.
func meanAge(m *mesher.Mesh, used []string) time.Duration {
	sum, n := time.Duration(0), 0
	for _, x := range m.Live() {
		for _, v := range used {
			for k := range zones {
				sum += m.Now.Sub(x.Seen[fmt.Sprintf("%s/%s-%d", v, v, k+1)])
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// measureChange publishes a document and a leaving sign, and tells how long
// each took to reach everyone and what it cost.
func measureChange(m *mesher.Mesh, d *configurer.Document, show func(string, float64, string)) {
	nodes := float64(len(m.Nodes))
	was, start := m.Counts, m.Now
	changed := *d
	changed.Services = append([]configurer.Service(nil), d.Services...)
	changed.Services[len(d.Services)/2].Connections++
	v := m.Publish(&changed)
	for behind := true; behind && m.Now.Sub(start) < time.Minute; {
		m.Run(10 * time.Millisecond)
		behind = false
		for _, n := range m.Live() {
			behind = behind || n.InForce() < v
		}
	}
	show("configuration-in-force-everywhere", 1e3*m.Now.Sub(start).Seconds(), "ms")
	m.Run(5 * time.Second)
	show("configuration-fetches-per-change", float64(m.Counts.Fetches-was.Fetches)/nodes, "1/instance")
	show("configuration-bytes-per-change", float64(m.Counts.FetchBytes-was.FetchBytes)/nodes, "B/instance")
	show("configuration-announces-per-change", float64(m.Counts.Announces-was.Announces)/nodes, "1/instance")
	start, was = m.Now, m.Counts
	m.List = append(m.List, lister.Instance{Name: "service-1-2", Kind: lister.KindTarget, Zone: "b", State: lister.StateLeaving})
	for behind := true; behind && m.Now.Sub(start) < time.Minute; {
		m.Run(10 * time.Millisecond)
		behind = false
		for _, n := range m.Live() {
			behind = behind || len(n.Leaving) == 0
		}
	}
	show("drain-sign-everywhere", 1e3*m.Now.Sub(start).Seconds(), "ms")
	show("drain-announces-per-sign", float64(m.Counts.Announces-was.Announces)/nodes, "1/instance")
}

// encode writes a document without the spaces of its canonical form, with a
// line for each service: 2,300 groups fit the store's megabyte only so.
func encode(d *configurer.Document) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, configurer.Encode(d)); err != nil {
		panic(err)
	}
	return bytes.ReplaceAll(out.Bytes(), []byte(`{"name":"service-`), []byte("\n"+`{"name":"service-`))
}

// measureDocument tells what a document weighs.
func measureDocument(groups int) {
	text := encode(document(groups))
	const rounds = 5
	cpu := userSeconds()
	for range rounds {
		if _, err := configurer.Decode(text); err != nil {
			panic(err)
		}
	}
	cpu = userSeconds() - cpu
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-document", groups, len(text))
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-document-indented", groups, len(configurer.Encode(document(groups))))
	next := document(groups)
	next.Services[groups/2].Connections++
	changed := encode(next)
	cpuDifference := userSeconds()
	difference := configurer.MakePatch(text, changed)
	cpuDifference = userSeconds() - cpuDifference
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-difference", groups, difference.Size())
	fmt.Printf("%-34s groups=%-4d %12.3f ms\n", "configuration-difference-cpu", groups, 1e3*cpuDifference)
	fmt.Printf("%-34s groups=%-4d %12.3f ms\n", "configuration-decode-cpu", groups, 1e3*cpu/rounds)
}
