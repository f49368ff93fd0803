package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/loadtester"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/internal/starter"
)

const (
	// faultTime is the duration of each fault, recoveryTime the pause after it.
	faultTime    = 1500 * time.Millisecond
	recoveryTime = 1500 * time.Millisecond
	// maxLoadTime bounds the load, which otherwise ends with the last fault.
	maxLoadTime = 10 * time.Minute
)

// runUnderFaults runs load through the fleet while it injects every recoverable fault
// into the platform, the primary and a replica, and then stops two instances. It prints
// the results and returns an error if a consistency check failed.
func (d *demonstration) runUnderFaults(ctx context.Context) error {
	load, stop := context.WithTimeout(ctx, maxLoadTime)
	defer stop()
	type result struct {
		report *loadtester.Report
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		r, err := d.loadTest().Run(load)
		ended <- result{r, err}
	}()
	faultErr := d.injectFaults(ctx)
	stop()
	r := <-ended
	if err := errors.Join(faultErr, r.err); err != nil {
		return err
	}
	r.report.Write(os.Stdout)
	if err := r.report.Err(); err != nil {
		return err
	}
	return d.showPrimary(ctx)
}

func (d *demonstration) loadTest() *loadtester.LoadTest {
	t := &loadtester.LoadTest{
		Workers: 6, Duration: maxLoadTime, Writes: 0.1, OwnKeyReads: 0.5, Keys: 1000, RoamProbability: 0.01, CarryToken: true, Seed: 1,
		Connect: func(ctx context.Context, address, token string) (*pgx.Conn, error) {
			c, err := pgx.ParseConfig("postgres://crew@" + address + "/" + starter.ServiceName + "?sslmode=disable")
			if err != nil {
				return nil, errors.Wrap(err, "parse connection string")
			}
			if token != "" {
				c.RuntimeParams[relayer.ParameterToken] = token
			}
			return pgx.ConnectConfig(ctx, c)
		},
	}
	for _, p := range d.fleet.Instances {
		t.Addresses = append(t.Addresses, p.Address)
	}
	return t
}

func (d *demonstration) injectFaults(ctx context.Context) error {
	for _, x := range starter.Faults {
		if !x.Recoverable() {
			continue
		}
		targets, err := d.faultTargets(ctx, x)
		if err != nil {
			return err
		}
		for _, p := range targets {
			fmt.Printf("%s: %s\n", p.Name, x.Name)
			if err := x.Inject(ctx, p); err != nil {
				return err
			}
			time.Sleep(faultTime)
			if err := x.Recover(ctx, p); err != nil {
				return err
			}
			time.Sleep(recoveryTime)
		}
	}
	return d.stopInstances()
}

// stopInstances shuts down one instance gracefully and kills another. Sessions
// continue on the remaining one.
func (d *demonstration) stopInstances() error {
	leaving, crashing := &d.fleet.Instances[2], &d.fleet.Instances[1]
	fmt.Printf("%s: graceful shutdown\n", leaving.Name)
	if err := d.fleet.Terminate(leaving); err != nil {
		return err
	}
	time.Sleep(recoveryTime)
	fmt.Printf("%s: crash\n", crashing.Name)
	if err := d.fleet.Kill(crashing); err != nil {
		return err
	}
	time.Sleep(recoveryTime)
	return nil
}

// faultTargets returns the processes to inject the fault into: the platform, or a
// replica and the current primary.
func (d *demonstration) faultTargets(ctx context.Context, x starter.Fault) ([]*starter.Process, error) {
	if x.AppliesTo == starter.PlatformProcess {
		return []*starter.Process{&d.fleet.Platform}, nil
	}
	s, err := d.fetchState(ctx)
	if err != nil {
		return nil, err
	}
	var primary, replica *starter.Process
	for i := range d.fleet.Members {
		m := &d.fleet.Members[i]
		if len(s.Groups) > 0 && m.Name == s.Groups[0].Primary {
			primary = m
		} else {
			replica = m
		}
	}
	if primary == nil {
		return nil, errors.New("the fleet has no primary")
	}
	return []*starter.Process{replica, primary}, nil
}
