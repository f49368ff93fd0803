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
	"github.com/oriolegw/oriolegw/internal/loadtester"
	"github.com/oriolegw/oriolegw/internal/starter"
)

const (
	benchRounds         = 5
	latencyPhase        = 2 * time.Second
	throughputPhase     = 2 * time.Second
	benchWorkers        = 16
	benchKeys           = 100
	clockTicksPerSecond = 100 // USER_HZ, the unit of CPU times in /proc
)

// bench compares requests through an instance with requests sent directly to the
// target. The runs alternate, so that other load on the machine affects both.
type bench struct {
	fleet   *starter.Fleet
	samples map[string][]float64
}

// endpoint is what a run measures: the instance or the target.
type endpoint struct {
	name    string
	address string
	pid     int // process whose CPU time is counted
}

func (b *bench) run(ctx context.Context) error {
	b.samples = map[string][]float64{}
	endpoints := []endpoint{
		{"direct", b.fleet.Members[0].Address, b.fleet.Members[0].PID},
		{"proxy", b.fleet.Instances[0].Address, b.fleet.Instances[0].PID},
	}
	for range benchRounds {
		for _, target := range endpoints {
			if err := b.round(ctx, target); err != nil {
				return errors.Wrap(err, target.name)
			}
		}
	}
	b.print()
	return nil
}

func (b *bench) round(ctx context.Context, target endpoint) error {
	for _, class := range []struct {
		name   string
		writes float64
	}{{"read", 0}, {"write", 1}} {
		r, err := b.runLoad(ctx, target, 1, latencyPhase, class.writes)
		if err != nil {
			return err
		}
		b.record(target, class.name+"-p50", float64(r.Classes[class.name].Latency.ValueAtQuantile(50)))
		b.record(target, class.name+"-p99", float64(r.Classes[class.name].Latency.ValueAtQuantile(99)))
	}
	before, err := cpuTime(target.pid)
	if err != nil {
		return err
	}
	r, err := b.runLoad(ctx, target, benchWorkers, throughputPhase, 0)
	if err != nil {
		return err
	}
	after, err := cpuTime(target.pid)
	if err != nil {
		return err
	}
	n := float64(r.Total("ok"))
	b.record(target, "throughput", n/r.Elapsed.Seconds())
	b.record(target, "throughput-per-core", n/(after-before).Seconds())
	return nil
}

func (b *bench) runLoad(ctx context.Context, target endpoint, workers int, d time.Duration, writes float64) (*loadtester.Report, error) {
	t := &loadtester.LoadTest{
		Addresses: []string{target.address}, Workers: workers, Duration: d, Writes: writes, Keys: benchKeys,
		Connect: func(ctx context.Context, address, _ string) (*pgx.Conn, error) {
			return pgx.Connect(ctx, "postgres://crew@"+address+"/"+starter.ServiceName+"?sslmode=disable")
		},
	}
	r, err := t.Run(ctx)
	if err != nil {
		return nil, err
	}
	if r.Total("ok") == 0 {
		return nil, errors.New("no request succeeded")
	}
	return r, nil
}

func (b *bench) record(target endpoint, name string, v float64) {
	b.samples[target.name+" "+name] = append(b.samples[target.name+" "+name], v)
}

// print writes the medians of the rounds, one per line: name, value through the proxy,
// unit, value of direct connections.
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

// cpuTime returns the CPU time that a process has used, from /proc.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the command name may contain spaces
	f := strings.Fields(rest)
	const user, system = 11, 12 // indexes, counted from the state field
	if len(f) <= system {
		return 0, errors.New("read CPU time: unexpected format")
	}
	u, _ := strconv.Atoi(f[user])
	s, _ := strconv.Atoi(f[system])
	return time.Duration(u+s) * time.Second / clockTicksPerSecond, nil
}
