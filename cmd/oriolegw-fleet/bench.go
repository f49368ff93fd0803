package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/experimenter"
	"github.com/oriolegw/oriolegw/internal/starter"
)

const (
	benchRounds   = 5
	latencyPhase  = 2 * time.Second
	throughputPhase     = 2 * time.Second
	benchWorkers  = 16
	benchKeys     = 100
	clockTicksPerSecond = 100 // of the kernel's process times, on Linux
)

// bench compares requests through an instance with requests that go to the
// target directly, in turns, so that whatever else the machine does meets both.
type bench struct {
	fleet *starter.Fleet
	samples  map[string][]float64
}

// endpoint is one of the two.
type endpoint struct {
	name    string
	address string
	pid     int // the process whose processor time is charged
}

func (b *bench) run(ctx context.Context) error {
	b.samples = map[string][]float64{}
	ways := []endpoint{
		{"direct", b.fleet.Members[0].Address, b.fleet.Members[0].PID},
		{"proxy", b.fleet.Entries[0].Address, b.fleet.Entries[0].PID},
	}
	for range benchRounds {
		for _, w := range ways {
			if err := b.round(ctx, w); err != nil {
				return errors.Wrap(err, w.name)
			}
		}
	}
	b.print()
	return nil
}

func (b *bench) round(ctx context.Context, w endpoint) error {
	for _, class := range []struct {
		name   string
		writes float64
	}{{"read", 0}, {"write", 1}} {
		r, err := b.runLoad(ctx, w, 1, latencyPhase, class.writes)
		if err != nil {
			return err
		}
		b.record(w, class.name+"-p50", float64(r.Classes[class.name].Times.ValueAtQuantile(50)))
		b.record(w, class.name+"-p99", float64(r.Classes[class.name].Times.ValueAtQuantile(99)))
	}
	before, err := cpuTime(w.pid)
	if err != nil {
		return err
	}
	r, err := b.runLoad(ctx, w, benchWorkers, throughputPhase, 0)
	if err != nil {
		return err
	}
	after, err := cpuTime(w.pid)
	if err != nil {
		return err
	}
	n := float64(r.Total("ok"))
	b.record(w, "throughput", n/r.Elapsed.Seconds())
	b.record(w, "throughput-per-core", n/(after-before).Seconds())
	return nil
}

func (b *bench) runLoad(ctx context.Context, w endpoint, workers int, d time.Duration, writes float64) (*experimenter.Report, error) {
	e := &experimenter.Experiment{
		Addresses: []string{w.address}, Workers: workers, Duration: d, Writes: writes, Keys: benchKeys,
		Connect: func(ctx context.Context, address, _ string) (*pgx.Conn, error) {
			return pgx.Connect(ctx, "postgres://crew@"+address+"/"+starter.ServiceName+"?sslmode=disable")
		},
	}
	r, err := e.Run(ctx)
	if err != nil {
		return nil, err
	}
	if r.Total("ok") == 0 {
		return nil, errors.New("no request went well")
	}
	return r, nil
}

func (b *bench) record(w endpoint, name string, v float64) {
	b.samples[w.name+" "+name] = append(b.samples[w.name+" "+name], v)
}

// print writes the medians of the rounds: name, value through the proxy, unit,
// value of the direct connection.
func (b *bench) print() {
	for _, f := range []struct{ name, unit string }{
		{"read-p50", "µs"},
		{"read-p99", "µs"},
		{"write-p50", "µs"},
		{"write-p99", "µs"},
		{"throughput", "reads/s"},
		{"throughput-per-core", "reads/s/core-of-the-process"},
	} {
		fmt.Printf("%s %.0f %s %.0f\n", f.name, median(b.samples["proxy "+f.name]), f.unit, median(b.samples["direct "+f.name]))
	}
	fmt.Printf("added-latency-p50 %.0f µs -\n", median(b.samples["proxy read-p50"])-median(b.samples["direct read-p50"]))
}

func median(all []float64) float64 {
	s := slices.Clone(all)
	slices.Sort(s)
	return s[len(s)/2]
}

// cpuTime reads what a process has used, from the kernel.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may hold anything
	f := strings.Fields(rest)
	const user, system = 11, 12 // from the state on
	if len(f) <= system {
		return 0, errors.New("processor time: unexpected form")
	}
	u, _ := strconv.Atoi(f[user])
	s, _ := strconv.Atoi(f[system])
	return time.Duration(u+s) * time.Second / clockTicksPerSecond, nil
}
