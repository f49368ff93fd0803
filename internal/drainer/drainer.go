// Package drainer decides how targets and instances leave without cutting a
// request.
package drainer

type (
	// TargetLeaving says that a target has begun, or no longer means, to leave:
	// it gets no new work. If it is the primary, a planned change follows.
	TargetLeaving struct {
		Service string
		Member  string
		Leaving bool
		// Source names where the sign came from: list, target, peer, operator.
		Source string
	}

	// InstanceLeaving says that this instance is leaving.
	InstanceLeaving struct{}
)

// EventName implements controller.Event.
func (TargetLeaving) EventName() string { return "target-leaving" }

// EventName implements controller.Event.
func (InstanceLeaving) EventName() string { return "instance-leaving" }
