package nominator_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/nominator"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

// Package limiter's failures_test.go replays partitions, deaths and pauses on a whole fleet.

const start = tracker.Timestamp(time.Hour)

// Guards against keeping an accountant that is no candidate any more, such as this instance while it
// is draining, and against choosing one that doesn't answer.
func TestLeavesFormerCandidate(t *testing.T) {
	var n nominator.Nominator
	ranked := []string{"i1", "i2"}
	must.Eq(t, "", n.Choose(start, append([]string{""}, ranked...)).Address)
	must.Eq(t, "", n.Choose(start, ranked).Address)
	must.Eq(t, ranked, n.Probes(start, ranked))
	n.RecordFailure(start, "i1", false)
	n.RecordAnswer(start, "i2")
	c := n.Choose(start+time.Millisecond, ranked)
	must.Eq(t, nominator.Choice{Address: "i2", Changed: true, Reason: nominator.ReasonNotCandidate, ReachableFor: 1}, c)
}

// Guards against taking the calls that failed while this process was paused for failures of others.
func TestPauseIsNoEvidence(t *testing.T) {
	var n nominator.Nominator
	ranked := []string{"i1", ""}
	n.Choose(start, ranked)
	n.RecordFailure(start+3*time.Second, "i1", false)
	n.RecordFailure(start+3*time.Second, "i1", false)
	must.Eq(t, "i1", n.Choose(start+3*time.Second, ranked).Address)
}
