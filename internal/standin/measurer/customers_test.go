package measurer_test

import (
	"context"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/measurer"
	"github.com/shoenig/test/must"
)

// largeCallers is how many callers of the large customer ask on each instance
// without pause: beside one small caller every 50 ms that is far over 20 times the
// small customer's load.
const largeCallers = 12

// A small customer alone and beside a large one. It runs with make measure only.
func TestCustomers(t *testing.T) {
	if !*measure {
		t.Skip("a measure: make measure")
	}
	for _, d := range deployments {
		bubble(t, d.name, func(t *testing.T, ctx context.Context) {
			p := d.plan()
			p.Seed = 1
			alone, err := measurer.MeasureCustomers(ctx, p, 0)
			must.NoError(t, err)
			both, err := measurer.MeasureCustomers(ctx, p, largeCallers)
			must.NoError(t, err)
			time.Sleep(time.Minute) // what drivers and peers still close
			show(both.Figures(d.name, alone))
			must.LessEq(t, both.Budget, both.Peak)
		})
	}
}
