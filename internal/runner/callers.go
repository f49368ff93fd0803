package runner

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/reporter"
)

// pages makes the HTTP pages of the instance.
func (i *Instance) pages(ctx context.Context, control *controller.Controller) *reporter.Pages {
	return &reporter.Pages{
		Address: i.Settings.Status, Network: i.Network, State: i.state, Register: i.Register,
		Drain: func() { control.Post(ctx, drainer.InstanceLeaving{}) },
	}
}

// state is what the instance shows of itself.
func (i *Instance) state() reporter.State {
	s := reporter.State{Instance: i.Settings.Name, Zone: i.Settings.Zone}
	if t := i.table.Load(); t != nil {
		s.Version, s.Groups = t.Version, reporter.Describe(t, time.Now())
	}
	return s
}
