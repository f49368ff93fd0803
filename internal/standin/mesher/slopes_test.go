package mesher_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/standin/mesher"
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
// unit". make slopes runs it; docs/CAPACITY.md works on what it prints.
func TestSlopes(t *testing.T) {
	if !*printSlopes {
		t.Skip("run by make slopes")
	}
	for _, s := range []size{
		{3, 3, 3, 1}, {3, 3, 12, 1}, {3, 12, 46, 1}, {3, 48, 184, 1}, {3, 48, 184, 0.25},
	} {
		measure(s)
	}
	for _, groups := range []int{3, 184, 575, 2300} {
		measureDocument(groups)
	}
}

func measure(s size) {
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
	show("peers-bytes-both-ends", 2*float64(c.Bytes-was.Bytes)/seconds/nodes, "B/s/instance")
	if n := c.Exchanges - was.Exchanges; n > 0 {
		show("peers-bytes-per-exchange", float64(c.Bytes-was.Bytes)/float64(n), "B")
	}
	show("knowledge-age-mean", 1e3*meanAge(m).Seconds(), "ms")
	show("store-reads", float64(c.StoreReads-was.StoreReads)/seconds, "1/s/fleet")
	show("store-watches", float64(c.StoreWatches-was.StoreWatches)/seconds, "1/s/fleet")
	show("list-calls", float64(c.ListCalls-was.ListCalls)/seconds, "1/s/fleet")
	show("control-memory", (liveBytes()-before)/nodes/1024, "KiB/instance")
	runtime.KeepAlive(m)
	m.Run(20 * time.Millisecond)
	measureChange(m, d, show)
}

func meanAge(m *mesher.Mesh) time.Duration {
	sum, n := time.Duration(0), 0
	for _, x := range m.Live() {
		for _, at := range x.Seen {
			sum += m.Now.Sub(at)
			n++
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

// measureDocument tells what a document weighs.
func measureDocument(groups int) {
	text := configurer.Encode(document(groups))
	const rounds = 5
	cpu := userSeconds()
	for range rounds {
		if _, err := configurer.Decode(text); err != nil {
			panic(err)
		}
	}
	cpu = userSeconds() - cpu
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-document", groups, len(text))
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		panic(err)
	}
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-document-compact", groups, compact.Len())
	next := document(groups)
	next.Services[groups/2].Connections++
	changed := configurer.Encode(next)
	cpuDifference := userSeconds()
	difference := configurer.Compare(text, changed)
	cpuDifference = userSeconds() - cpuDifference
	fmt.Printf("%-34s groups=%-4d %12d B\n", "configuration-difference", groups, difference.Size())
	fmt.Printf("%-34s groups=%-4d %12.3f ms\n", "configuration-difference-cpu", groups, 1e3*cpuDifference)
	fmt.Printf("%-34s groups=%-4d %12.3f ms\n", "configuration-decode-cpu", groups, 1e3*cpu/rounds)
}
