package prober

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/networker"
)

// probeTimeout bounds a probe, connecting included.
const probeTimeout = time.Second

// Prober queries targets over new connections. Set the exported fields, then call SessionState.
type Prober struct {
	Network     networker.Network
	Application string
}

// SessionState returns the state of a session on a target. It uses a connection that never
// becomes a session, so it works when all connections of this instance's share are dead.
func (p *Prober) SessionState(ctx context.Context, address string, pid uint32) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	activity, err := commander.SessionActivity(ctx, p.Network, address, p.Application, pid)
	if err != nil {
		return Unknown, errors.Wrap(err, "probe")
	}
	switch activity {
	case commander.ActivityRunning:
		return Running, nil
	case commander.ActivityIdle:
		return Idle, nil
	}
	return Absent, nil
}
