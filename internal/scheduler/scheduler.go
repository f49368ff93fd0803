// Package scheduler implements start-time fair queuing of flows that share a resource. It has no
// clock and no network.
//
// In FIFO order, a customer with a large backlog would delay all others. Here their work waits for
// what is running and for at most one item of each other flow.
package scheduler

type (
	// VirtualClock is the virtual time of the queue. The zero value is ready to use.
	VirtualClock struct{ virtual float64 }

	// Flow is one customer's position in the queue. The zero value is a flow without past work.
	// A flow that was idle starts at the current virtual time and gets no credit for the past.
	Flow struct{ finish float64 }
)

// NextStart returns the virtual start of the flow's next item.
func (c *VirtualClock) NextStart(f *Flow) float64 { return max(f.finish, c.virtual) }

// StartNext advances the virtual time to the start of the flow's next item.
func (c *VirtualClock) StartNext(f *Flow) {
	f.finish = c.NextStart(f)
	c.virtual = f.finish
}

// AdvanceTo advances the virtual time to the virtual start of an item that has started.
func (c *VirtualClock) AdvanceTo(start float64) { c.virtual = max(c.virtual, start) }

// Enqueue returns the virtual start of a new item with the given cost, for a flow with the given
// share.
func (c *VirtualClock) Enqueue(f *Flow, cost, share float64) float64 {
	start := c.NextStart(f)
	f.finish = start + cost/share
	return start
}

// Charge adds a cost divided by the flow's share; a negative cost corrects an earlier charge.
func (f *Flow) Charge(cost, share float64) { f.finish += cost / share }

// Finish returns the virtual finish of the flow's last item.
func (f *Flow) Finish() float64 { return f.finish }
