package prober_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/prober"
	"github.com/shoenig/test/must"
)

func TestDecide(t *testing.T) {
	const hold = 10 * time.Second
	for name, c := range map[string]struct {
		status prober.RequestStatus
		want   prober.Decision
	}{
		"short silence":                        {prober.RequestStatus{SilentFor: 200 * time.Millisecond}, prober.Wait},
		"long silence":                         {prober.RequestStatus{SilentFor: time.Second}, prober.Probe},
		"long statement":                       {prober.RequestStatus{SilentFor: 3 * time.Second, State: prober.Running, NextProbe: 4 * time.Second}, prober.Wait},
		"idle once, response may be in flight": {prober.RequestStatus{SilentFor: time.Second, State: prober.Idle, IdleReplies: 1, NextProbe: 1200 * time.Millisecond}, prober.Wait},
		"idle twice":                           {prober.RequestStatus{SilentFor: 1200 * time.Millisecond, State: prober.Idle, IdleReplies: 2}, prober.GiveUp},
		"newer primary":                        {prober.RequestStatus{SilentFor: 200 * time.Millisecond, Superseded: true}, prober.GiveUp},
		"hung target, retryable request":       {prober.RequestStatus{SilentFor: time.Second, TargetUnresponsive: true, Retryable: true}, prober.GiveUp},
		"hung target, write":                   {prober.RequestStatus{SilentFor: time.Second, TargetUnresponsive: true, NextProbe: 2 * time.Second}, prober.Wait},
		"hung target beyond the hold time":     {prober.RequestStatus{SilentFor: 11 * time.Second, TargetUnresponsive: true, ProbesFailingFor: hold, NextProbe: 12 * time.Second}, prober.GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			c.status.MaxWait = hold
			if c.status.NextProbe == 0 {
				c.status.NextProbe = prober.FirstProbeDelay
			}
			must.Eq(t, c.want, prober.Decide(c.status))
		})
	}
}
