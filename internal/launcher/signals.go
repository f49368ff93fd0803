package launcher

import (
	"context"
	"strings"
	"time"

	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/sleeper"
)

// This file does what the process is told by signals: to read its settings again, and to end.

// reload says what became of the settings when the process is told that they may have
// changed. None of them is taken over, so nothing is cut; loader.CompareEntry says why. A
// file that can't be read changes nothing either.
func (i *Instance) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-i.Reload:
			next, err := i.Reread()
			if err != nil {
				i.belief.Log("event", "reload", "signal", s, "settings", "rejected, those in force stay", "cause", err)
				continue
			}
			changes := loader.CompareEntry(i.Settings, next)
			outcome := "unchanged"
			if len(changes) > 0 {
				outcome = "changed, in force from the next start"
			}
			i.belief.Log("event", "reload", "signal", s, "settings", outcome, "keys", strings.Join(loader.Keys(changes), ","), "callers", i.server.Sessions())
		}
	}
}

// leave ends the instance without cutting a request: the balancer is told first,
// sessions outside a transaction end once it sends no more callers, and open
// transactions have half of the time.
func (i *Instance) leave(ctx context.Context) {
	i.leaving.Store(true)
	told := time.Now()
	grace := i.Settings.Shutdown
	wait := func(until time.Duration) {
		for time.Since(told) < until && sleeper.Sleep(ctx, endPoll) == nil {
			if time.Since(told) > rotationTime && i.server.Sessions() == 0 && i.lent() == 0 {
				return
			}
		}
	}
	first := min(rotationTime, time.Duration(transactionPart*float64(grace)))
	wait(first)
	i.server.End(false)
	wait(time.Duration(transactionPart * float64(grace)))
	i.server.End(true)
	wait(time.Duration(endPart * float64(grace)))
}

// lacking says why the instance is not ready, "" when it is.
func (i *Instance) lacking() string {
	switch {
	case i.leaving.Load():
		return "leaving"
	case i.configuration.Load() == nil:
		return "no configuration yet"
	}
	return ""
}
