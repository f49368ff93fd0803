package launcher

import (
	"context"
	"strings"
	"time"

	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/sleeper"
)

// handleReloads logs which settings have changed at each reload signal. They apply only from
// the next start; see loader.CompareEdgeSettings.
func (i *Instance) handleReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-i.Reload:
			next, err := i.LoadSettings()
			if err != nil {
				i.stateLog.Log("event", "reload", "signal", s, "settings", "rejected, current settings stay in force", "cause", err)
				continue
			}
			changes := loader.CompareEdgeSettings(i.Settings, next)
			outcome := "unchanged"
			if len(changes) > 0 {
				outcome = "changed, in force from the next start"
			}
			i.stateLog.Log("event", "reload", "signal", s, "settings", outcome, "keys", strings.Join(loader.ChangedKeys(changes), ","), "callers", i.server.SessionCount())
		}
	}
}

// drain shuts the instance down gracefully. The load balancer stops sending clients first,
// then sessions outside a transaction are closed, then those with an open transaction.
func (i *Instance) drain(ctx context.Context) {
	i.draining.Store(true)
	started := time.Now()
	grace := i.Settings.ShutdownTimeout
	wait := func(limit time.Duration) {
		for time.Since(started) < limit && sleeper.Sleep(ctx, drainPollInterval) == nil {
			if time.Since(started) > balancerDetectionTime && i.server.SessionCount() == 0 && i.lentConnections() == 0 {
				return
			}
		}
	}
	idleDrainTime := min(balancerDetectionTime, time.Duration(transactionDrainFraction*float64(grace)))
	wait(idleDrainTime)
	i.server.CloseSessions(false)
	wait(time.Duration(transactionDrainFraction * float64(grace)))
	i.server.CloseSessions(true)
	wait(time.Duration(drainFraction * float64(grace)))
}

// notReadyReason returns why the instance is not ready, "" when it is ready.
func (i *Instance) notReadyReason() string {
	switch {
	case i.draining.Load():
		return "leaving"
	case i.configuration.Load() == nil:
		return "no configuration yet"
	}
	return ""
}
