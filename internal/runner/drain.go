package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/greeter"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/relayer"
)

// drain carries out that this instance leaves.
type drain struct {
	instance *Instance
	leaver   relayer.Leaver
	leaving  atomic.Bool
	drained  atomic.Bool
	callers  *greeter.Greeter
	stop     context.CancelFunc
}

// open prepares the drain; the slice decides, the drain performs.
func (d *drain) open(i *Instance, callers *greeter.Greeter, stop context.CancelFunc) controller.Slice {
	d.instance, d.callers, d.stop = i, callers, stop
	limit := i.Settings.Limits.Drain
	if limit == 0 {
		limit = loader.DefaultDrain
	}
	return &drainer.Leaver{Limit: limit}
}

// Step implements controller.Slice: it shows what is decided.
func (d *drain) Step(_ time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case drainer.InstanceLeaving:
		if !d.leaving.Swap(true) {
			_ = d.instance.Log.Log("part", "drain", "msg", "Instance is leaving.")
		}
	case drainer.Stopping:
		d.instance.Metrics.Counter("drain.cut").Inc(int64(e.Cut))
		_ = d.instance.Log.Log("part", "drain", "msg", "Instance stops.", "cut", e.Cut)
	}
	return nil
}

// Perform implements controller.Performer.
func (d *drain) Perform(_ context.Context, a controller.Action) (controller.Event, bool) {
	switch a.(type) {
	case drainer.StopAccepting:
		d.callers.StopAccepting()
		d.leaver.Leave()
	case drainer.CountCallers:
		return drainer.CallersLeft{Callers: d.callers.Callers()}, true
	case drainer.Stop:
		d.drained.Store(true)
		d.stop()
	default:
		return nil, false
	}
	return nil, true
}
