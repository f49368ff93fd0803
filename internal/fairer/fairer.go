// Package fairer implements start-time fair queuing of flows that share a resource. It has no
// clock and no network.
//
// In FIFO order, a customer with a large backlog would delay all others. Here their work waits for
// what is running and for at most one item of each other flow.
package fairer

type (
	// Turns is the virtual time of the queue. The zero value is ready to use.
	Turns struct{ virtual float64 }

	// Flow is one party's position in the queue. The zero value has had no work. A flow that was
	// idle starts at the current virtual time and gets no credit for the past.
	Flow struct{ finish float64 }
)

// Next returns the virtual start of the flow's next item.
func (t *Turns) Next(f *Flow) float64 { return max(f.finish, t.virtual) }

// Start advances the virtual time to the start of the flow's next item.
func (t *Turns) Start(f *Flow) {
	f.finish = t.Next(f)
	t.virtual = f.finish
}

// Reach advances the virtual time to the virtual start of an item that has started.
func (t *Turns) Reach(start float64) { t.virtual = max(t.virtual, start) }

// Queue returns the virtual start of a new item with the given cost, for a flow with the given
// share.
func (t *Turns) Queue(f *Flow, cost, share float64) float64 {
	start := t.Next(f)
	f.finish = start + cost/share
	return start
}

// Charge adds a cost divided by the flow's share; a negative cost corrects an earlier charge.
func (f *Flow) Charge(cost, share float64) { f.finish += cost / share }

// Finish returns the virtual finish of the flow's last item.
func (f *Flow) Finish() float64 { return f.finish }
