package soaker

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
)

type (
	// Fault is a kind of fault. Inject and Revert of one injection are given the same
	// selector, a random number that selects the target, instance or parameter.
	// Revert may be nil.
	Fault struct {
		// Code is a stable identifier, "F" and two digits.
		Code   string
		Title  string
		Inject func(s *Soak, selector int)
		Revert func(s *Soak, selector int)
	}

	// scheduledFault is one injection of a fault, delay after the previous one.
	scheduledFault struct {
		delay    time.Duration
		duration time.Duration
		selector int
		fault    *Fault
	}
)

// faults are all kinds of faults. The code of a removed kind isn't reused.
var faults = []*Fault{
	{
		Code: "F01", Title: "primary crashes",
		Inject: func(s *Soak, _ int) {
			if p := s.primary(); p != nil {
				s.fleet.KillTarget(p)
			}
		},
		Revert: func(s *Soak, _ int) { s.restartTargets() },
	},
	{
		Code: "F02", Title: "primary freezes",
		Inject: func(s *Soak, _ int) {
			if p := s.primary(); p != nil {
				p.Faults.Freeze()
			}
		},
		Revert: func(s *Soak, _ int) { s.unfreezeTargets() },
	},
	{
		Code: "F03", Title: "primary is cut off from its replicas only",
		Inject: func(s *Soak, _ int) {
			p := s.primary()
			if p == nil {
				return
			}
			for _, t := range s.fleet.Members {
				if t != p {
					s.fleet.Network.Partition(p.IP, t.IP)
				}
			}
		},
		Revert: func(s *Soak, _ int) { s.fleet.Network.HealAll() },
	},
	{
		Code: "F04", Title: "an availability zone is cut off",
		Inject: func(s *Soak, n int) {
			zones := s.fleet.Plan.Zones
			zone := zones[n%len(zones)]
			for _, o := range append([]string{"platform"}, zones...) {
				if o != zone {
					s.fleet.Network.Partition(zone, o)
				}
			}
		},
		Revert: func(s *Soak, _ int) { s.fleet.Network.HealAll() },
	},
	{
		Code: "F05", Title: "the store is down",
		Inject: func(s *Soak, _ int) { s.fleet.Store.SetFaults(func(f *storer.Faults) { f.Down = true }) },
		Revert: func(s *Soak, _ int) { s.fleet.Store.SetFaults(func(f *storer.Faults) { f.Down = false }) },
	},
	{
		Code: "F06", Title: "store responses are lost after the operation took effect",
		Inject: func(s *Soak, n int) { s.fleet.Store.SetFaults(func(f *storer.Faults) { f.LoseResponses = 1 + n%3 }) },
		Revert: func(s *Soak, _ int) { s.fleet.Store.SetFaults(func(f *storer.Faults) { f.LoseResponses = 0 }) },
	},
	{
		Code: "F07", Title: "an instance crashes and is replaced",
		Inject: func(s *Soak, n int) { s.fleet.KillInstance(s.instance(n)) },
		Revert: func(s *Soak, n int) { s.startInstances() },
	},
	{
		Code: "F08", Title: "replay on a target is delayed",
		Inject: func(s *Soak, n int) { s.target(n).Faults.SetReplayLag(time.Duration(1+n%5) * time.Second) },
		Revert: func(s *Soak, n int) { s.target(n).Faults.SetReplayLag(0) },
	},
	{
		Code: "F09", Title: "replication to a target is delayed",
		Inject: func(s *Soak, n int) { s.target(n).Faults.SetStreamLag(time.Duration(1+n%9) * 50 * time.Millisecond) },
		Revert: func(s *Soak, n int) { s.target(n).Faults.SetStreamLag(0) },
	},
	{
		Code: "F10", Title: "a target runs a write and its response is lost",
		Inject: func(s *Soak, n int) { s.target(n).Faults.DropNextResponse() },
	},
	{
		Code: "F11", Title: "open connections of a target stop responding",
		Inject: func(s *Soak, n int) { s.target(n).BlackholeConnections() },
	},
	{
		Code: "F12", Title: "a target is slow",
		Inject: func(s *Soak, n int) {
			s.target(n).Faults.SetStatementDelay(time.Duration(1+n%4) * 50 * time.Millisecond)
		},
		Revert: func(s *Soak, n int) { s.target(n).Faults.SetStatementDelay(0) },
	},
	{
		Code: "F13", Title: "an instance is cut off from all other hosts",
		Inject: func(s *Soak, n int) { s.isolate(s.instance(n)) },
		Revert: func(s *Soak, _ int) { s.fleet.Network.HealAll() },
	},
}

func (s *Soak) instance(n int) *stager.Instance { return s.fleet.Instances[n%len(s.fleet.Instances)] }
func (s *Soak) target(n int) *stager.Target     { return s.fleet.Members[n%len(s.fleet.Members)] }

func (s *Soak) isolate(e *stager.Instance) {
	for _, t := range s.fleet.Members {
		s.fleet.Network.Partition(e.IP, t.IP)
	}
	for _, o := range s.fleet.Instances {
		if o != e {
			s.fleet.Network.Partition(e.IP, o.IP)
		}
	}
	s.fleet.Network.Partition(e.IP, "platform")
}

func (s *Soak) unfreezeTargets() {
	for _, t := range s.fleet.Members {
		t.Faults.Unfreeze()
	}
}

func (s *Soak) restartTargets() {
	for _, t := range s.fleet.Members {
		if !t.Running() {
			s.fleet.RestartTarget(t)
		}
	}
}

func (s *Soak) startInstances() {
	for _, e := range s.fleet.Instances {
		if !e.Running() {
			s.fleet.StartInstance(e)
		}
	}
}

// Faults returns all kinds of faults, ordered by code.
func Faults() []*Fault { return faults }

// scheduleFaults returns random faults with their times; a kind may occur repeatedly.
func (s *Soak) scheduleFaults() []scheduledFault {
	var schedule []scheduledFault
	for range s.FaultCount {
		schedule = append(schedule, scheduledFault{
			delay:    500*time.Millisecond + time.Duration(s.random.Int64N(int64(s.LoadDuration/time.Duration(2*s.FaultCount)))),
			duration: 500*time.Millisecond + time.Duration(s.random.Int64N(int64(s.LoadDuration/2))),
			selector: s.random.IntN(60),
			fault:    faults[s.random.IntN(len(faults))],
		})
	}
	return schedule
}

// inject injects a fault and reverts it after its duration, unless ctx is done before.
func (s *Soak) inject(ctx context.Context, t scheduledFault) {
	s.report.Faults = append(s.report.Faults, fmt.Sprintf("%s %s with selector %d for %v", t.fault.Code, t.fault.Title, t.selector, t.duration))
	t.fault.Inject(s, t.selector)
	if t.fault.Revert == nil {
		return
	}
	s.reverts.Add(1)
	go func() {
		defer s.reverts.Done()
		select {
		case <-time.After(t.duration):
			s.revertMutex.Lock()
			defer s.revertMutex.Unlock()
			t.fault.Revert(s, t.selector)
		case <-ctx.Done():
		}
	}()
}

// revertAll reverts every fault, after the pending reverts have finished.
func (s *Soak) revertAll() {
	s.reverts.Wait()
	s.fleet.Network.HealAll()
	s.fleet.Store.SetFaults(func(f *storer.Faults) { *f = storer.Faults{} })
	s.unfreezeTargets()
	for _, t := range s.fleet.Members {
		t.Faults.SetReplayLag(0)
		t.Faults.SetStreamLag(0)
		t.Faults.SetStatementDelay(0)
	}
	s.restartTargets()
	s.startInstances()
}
