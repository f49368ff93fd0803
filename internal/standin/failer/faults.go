package failer

import (
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
)

// Crash ends the primary's process: connections are reset, new ones refused.
func Crash(f *stager.Fleet, p *stager.Target) { f.KillTarget(p) }

// Freeze stops the primary; its connections stay open and silent.
func Freeze(_ *stager.Fleet, p *stager.Target) { p.Faults.Freeze() }

// CutReplicas cuts the primary from the other members only.
func CutReplicas(f *stager.Fleet, p *stager.Target) {
	for _, m := range f.Members {
		if m != p {
			f.Net.Cut(p.IP, m.IP)
		}
	}
}

// Cut cuts the primary from the other members and from every instance.
func Cut(f *stager.Fleet, p *stager.Target) {
	CutReplicas(f, p)
	for _, e := range f.Instances {
		f.Net.Cut(p.IP, e.IP)
	}
}

// Leave tells every instance that the primary is leaving: a planned change.
func Leave(f *stager.Fleet, p *stager.Target) {
	for _, e := range f.Instances {
		e.Events <- drainer.TargetLeaving{Service: p.Service, Member: p.Name, Leaving: true, Source: "operator"}
	}
}
