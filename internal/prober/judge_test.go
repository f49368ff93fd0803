package prober_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/prober"
	"github.com/shoenig/test/must"
)

func TestJudge(t *testing.T) {
	const hold = 10 * time.Second
	for name, c := range map[string]struct {
		look prober.Look
		want prober.Advice
	}{
		"short silence":                        {prober.Look{Silent: 200 * time.Millisecond}, prober.Wait},
		"long silence":                         {prober.Look{Silent: time.Second}, prober.Probe},
		"long statement":                       {prober.Look{Silent: 3 * time.Second, State: prober.Running, NextProbe: 4 * time.Second}, prober.Wait},
		"idle once, response may be in flight": {prober.Look{Silent: time.Second, State: prober.Idle, Idle: 1, NextProbe: 1200 * time.Millisecond}, prober.Wait},
		"idle twice":                           {prober.Look{Silent: 1200 * time.Millisecond, State: prober.Idle, Idle: 2}, prober.GiveUp},
		"newer primary":                        {prober.Look{Silent: 200 * time.Millisecond, Replaced: true}, prober.GiveUp},
		"hung target, retryable request":       {prober.Look{Silent: time.Second, Failing: true, Repeatable: true}, prober.GiveUp},
		"hung target, write":                   {prober.Look{Silent: time.Second, Failing: true, NextProbe: 2 * time.Second}, prober.Wait},
		"hung target beyond the hold time":     {prober.Look{Silent: 11 * time.Second, Failing: true, Unanswered: hold, NextProbe: 12 * time.Second}, prober.GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			c.look.Hold = hold
			if c.look.NextProbe == 0 {
				c.look.NextProbe = prober.FirstProbe
			}
			must.Eq(t, c.want, prober.Judge(c.look))
		})
	}
}
