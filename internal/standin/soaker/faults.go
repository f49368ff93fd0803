package soaker

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
)

type (
	// Fault is one kind of failure: how it is thrown, and how it is ended. Both
	// get the same place, a number from the seed.
	Fault struct {
		// Code is stable: "F" and two digits.
		Code  string
		Title string
		Throw func(s *Soak, place int)
		End   func(s *Soak, place int)
	}

	thrown struct {
		after time.Duration
		lasts time.Duration
		place int
		fault *Fault
	}
)

// faults are the kinds that a soak pairs. A code is never used for another kind.
var faults = []*Fault{
	{
		Code: "F01", Title: "primary crashes",
		Throw: func(s *Soak, _ int) {
			if p := s.primary(); p != nil {
				s.fleet.KillTarget(p)
			}
		},
		End: func(s *Soak, _ int) { s.restartTargets() },
	},
	{
		Code: "F02", Title: "primary freezes",
		Throw: func(s *Soak, _ int) {
			if p := s.primary(); p != nil {
				p.Faults.Freeze()
			}
		},
		End: func(s *Soak, _ int) { s.thaw() },
	},
	{
		Code: "F03", Title: "primary is cut from its replicas only",
		Throw: func(s *Soak, _ int) {
			p := s.primary()
			if p == nil {
				return
			}
			for _, t := range s.fleet.Members {
				if t != p {
					s.fleet.Net.Cut(p.IP, t.IP)
				}
			}
		},
		End: func(s *Soak, _ int) { s.fleet.Net.HealAll() },
	},
	{
		Code: "F04", Title: "an availability zone is cut off",
		Throw: func(s *Soak, n int) {
			z := s.fleet.Plan.Zones
			zone := z[n%len(z)]
			for _, o := range append([]string{"platform"}, z...) {
				if o != zone {
					s.fleet.Net.Cut(zone, o)
				}
			}
		},
		End: func(s *Soak, _ int) { s.fleet.Net.HealAll() },
	},
	{
		Code: "F05", Title: "the store is down",
		Throw: func(s *Soak, _ int) { s.fleet.Store.SetFaults(func(f *storer.Faults) { f.Down = true }) },
		End:   func(s *Soak, _ int) { s.fleet.Store.SetFaults(func(f *storer.Faults) { f.Down = false }) },
	},
	{
		Code: "F06", Title: "store answers are lost after their effect",
		Throw: func(s *Soak, n int) { s.fleet.Store.SetFaults(func(f *storer.Faults) { f.LoseResponses = 1 + n%3 }) },
		End:   func(s *Soak, _ int) { s.fleet.Store.SetFaults(func(f *storer.Faults) { f.LoseResponses = 0 }) },
	},
	{
		Code: "F07", Title: "an instance crashes and is replaced",
		Throw: func(s *Soak, n int) { s.fleet.KillInstance(s.entry(n)) },
		End:   func(s *Soak, n int) { s.startInstances() },
	},
	{
		Code: "F08", Title: "a replica lags",
		Throw: func(s *Soak, n int) { s.target(n).Faults.SetReplayLag(time.Duration(1+n%5) * time.Second) },
		End:   func(s *Soak, n int) { s.target(n).Faults.SetReplayLag(0) },
	},
	{
		Code: "F09", Title: "replicas receive late",
		Throw: func(s *Soak, n int) { s.target(n).Faults.SetStreamLag(time.Duration(1+n%9) * 50 * time.Millisecond) },
		End:   func(s *Soak, n int) { s.target(n).Faults.SetStreamLag(0) },
	},
	{
		Code: "F10", Title: "a target runs a write and its answer is lost",
		Throw: func(s *Soak, n int) { s.target(n).Faults.LoseNextAnswer() },
	},
	{
		Code: "F11", Title: "open connections of a target go silent",
		Throw: func(s *Soak, n int) { s.target(n).SilenceOpen() },
	},
	{
		Code: "F12", Title: "a target is slow",
		Throw: func(s *Soak, n int) { s.target(n).Faults.SetSlow(time.Duration(1+n%4) * 50 * time.Millisecond) },
		End:   func(s *Soak, n int) { s.target(n).Faults.SetSlow(0) },
	},
	{
		Code: "F13", Title: "an instance is cut from everything",
		Throw: func(s *Soak, n int) { s.isolate(s.entry(n)) },
		End:   func(s *Soak, _ int) { s.fleet.Net.HealAll() },
	},
}

func (s *Soak) entry(n int) *stager.Entry   { return s.fleet.Instances[n%len(s.fleet.Instances)] }
func (s *Soak) target(n int) *stager.Target { return s.fleet.Members[n%len(s.fleet.Members)] }

func (s *Soak) isolate(e *stager.Entry) {
	for _, t := range s.fleet.Members {
		s.fleet.Net.Cut(e.IP, t.IP)
	}
	for _, o := range s.fleet.Instances {
		if o != e {
			s.fleet.Net.Cut(e.IP, o.IP)
		}
	}
	s.fleet.Net.Cut(e.IP, "platform")
}

func (s *Soak) thaw() {
	for _, t := range s.fleet.Members {
		t.Faults.Thaw()
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

// Faults returns the kinds, in the order of their codes.
func Faults() []*Fault { return faults }

// schedule draws the faults: any two, or the same one twice.
func (s *Soak) schedule() []thrown {
	var out []thrown
	for range s.Faults {
		out = append(out, thrown{
			after: 500*time.Millisecond + time.Duration(s.random.Int64N(int64(s.Length/time.Duration(2*s.Faults)))),
			lasts: 500*time.Millisecond + time.Duration(s.random.Int64N(int64(s.Length/2))),
			place: s.random.IntN(60),
			fault: faults[s.random.IntN(len(faults))],
		})
	}
	return out
}

func (s *Soak) throw(ctx context.Context, t thrown) {
	s.report.Faults = append(s.report.Faults, fmt.Sprintf("%s %s at place %d for %v", t.fault.Code, t.fault.Title, t.place, t.lasts))
	t.fault.Throw(s, t.place)
	if t.fault.End == nil {
		return
	}
	s.ending.Add(1)
	go func() {
		defer s.ending.Done()
		select {
		case <-time.After(t.lasts):
			s.endings.Lock()
			defer s.endings.Unlock()
			t.fault.End(s, t.place)
		case <-ctx.Done():
		}
	}()
}

// heal ends every fault.
func (s *Soak) heal() {
	s.ending.Wait()
	s.fleet.Net.HealAll()
	s.fleet.Store.SetFaults(func(f *storer.Faults) { *f = storer.Faults{} })
	s.thaw()
	for _, t := range s.fleet.Members {
		t.Faults.SetReplayLag(0)
		t.Faults.SetStreamLag(0)
		t.Faults.SetSlow(0)
	}
	s.restartTargets()
	s.startInstances()
}
