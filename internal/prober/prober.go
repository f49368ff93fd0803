package prober

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/networker"
)

// probeTimeout bounds a probe, a new connection included.
const probeTimeout = time.Second

// Prober asks targets over fresh connections. Set the exported fields, then call
// Ask.
type Prober struct {
	Network     networker.Network
	Application string
}

// Ask asks the target about a session, over a connection opened for it that never
// becomes a session: silent connections come in numbers, and when all of the
// instance's share is silent there is no place left for one more.
func (p *Prober) Ask(ctx context.Context, address string, pid uint32) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	activity, err := commander.AskActivity(ctx, p.Network, address, p.Application, pid)
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
