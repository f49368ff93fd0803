package failer

import (
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
)

// Crash kills the primary: its connections are reset and new ones refused.
func Crash(f *stager.Fleet, p *stager.Target) { f.KillTarget(p) }

// Freeze suspends the primary: its connections stay open without responses.
func Freeze(_ *stager.Fleet, p *stager.Target) { p.Faults.Freeze() }

// PartitionFromReplicas partitions the primary from the other members only.
func PartitionFromReplicas(f *stager.Fleet, p *stager.Target) {
	for _, m := range f.Members {
		if m != p {
			f.Network.Partition(p.IP, m.IP)
		}
	}
}

// PartitionFromAll partitions the primary from the other members and all instances.
func PartitionFromAll(f *stager.Fleet, p *stager.Target) {
	PartitionFromReplicas(f, p)
	for _, e := range f.Instances {
		f.Network.Partition(p.IP, e.IP)
	}
}

// AnnounceLeaving announces to every instance that the primary is leaving, which starts
// a planned switchover.
func AnnounceLeaving(f *stager.Fleet, p *stager.Target) {
	for _, e := range f.Instances {
		e.Events <- drainer.TargetLeaving{Service: p.Service, Member: p.Name, Leaving: true, Source: "operator"}
	}
}
