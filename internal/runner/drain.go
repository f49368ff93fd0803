package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/acceptor"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/relayer"
)

// drain implements the graceful shutdown of the instance, as decided by drainer.InstanceDrainer.
type drain struct {
	instance       *Instance
	sessionDrainer relayer.Drainer
	leaving        atomic.Bool
	drained        atomic.Bool
	clients        *acceptor.Acceptor
	stop           context.CancelFunc
}

// initialize prepares the drain and returns the slice that decides its steps.
func (d *drain) initialize(i *Instance, clients *acceptor.Acceptor, stop context.CancelFunc) controller.Slice {
	d.instance, d.clients, d.stop = i, clients, stop
	limit := i.Settings.Limits.DrainTimeout
	if limit == 0 {
		limit = loader.DefaultDrainTimeout
	}
	return &drainer.InstanceDrainer{Limit: limit}
}

// Step implements controller.Slice. It logs and counts the decisions.
func (d *drain) Step(_ time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case drainer.InstanceLeaving:
		if !d.leaving.Swap(true) {
			_ = d.instance.Log.Log("part", "drain", "msg", "Instance is draining.")
		}
	case drainer.Stopping:
		d.instance.Metrics.Counter("drain.cut").Inc(int64(e.Disconnected))
		_ = d.instance.Log.Log("part", "drain", "msg", "Instance is stopping.", "cut", e.Disconnected)
	}
	return nil
}

// Perform implements controller.Performer.
func (d *drain) Perform(_ context.Context, a controller.Action) (controller.Event, bool) {
	switch a.(type) {
	case drainer.StopAccepting:
		d.clients.StopAccepting()
		d.sessionDrainer.Drain()
	case drainer.CountCallers:
		return drainer.CallersLeft{Callers: d.clients.Callers()}, true
	case drainer.Stop:
		d.drained.Store(true)
		d.stop()
	default:
		return nil, false
	}
	return nil, true
}
