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
		"a short silence":  {prober.Look{Silent: 200 * time.Millisecond}, prober.Wait},
		"a long one":       {prober.Look{Silent: time.Second}, prober.Probe},
		"a long statement": {prober.Look{Silent: 3 * time.Second, State: prober.Running, NextProbe: 4 * time.Second}, prober.Wait},
		"idle once: the answer may be on its way": {prober.Look{Silent: time.Second, State: prober.Idle, Idle: 1, NextProbe: 1200 * time.Millisecond}, prober.Wait},
		"idle twice":      {prober.Look{Silent: 1200 * time.Millisecond, State: prober.Idle, Idle: 2}, prober.GiveUp},
		"a newer primary": {prober.Look{Silent: 200 * time.Millisecond, Replaced: true}, prober.GiveUp},
		"a frozen target, and the request can move":   {prober.Look{Silent: time.Second, Failing: true, Repeatable: true}, prober.GiveUp},
		"a frozen target, and the request is a write": {prober.Look{Silent: time.Second, Failing: true, NextProbe: 2 * time.Second}, prober.Wait},
		"a frozen target for longer than any hold":    {prober.Look{Silent: 11 * time.Second, Failing: true, Unanswered: hold, NextProbe: 12 * time.Second}, prober.GiveUp},
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
