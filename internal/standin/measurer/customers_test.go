package measurer_test

import (
	"context"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/measurer"
	"github.com/shoenig/test/must"
)

// largeClients is the number of the large customer's clients per instance. Their load is over
// 20 times the small customer's.
const largeClients = 12

// Compares a small customer's latencies with and without the load of a large customer.
func TestCustomerFairness(t *testing.T) {
	if !*measureAll {
		t.Skip("run by make measure only")
	}
	for _, d := range deployments {
		runInBubble(t, d.name, func(t *testing.T, ctx context.Context) {
			p := d.plan()
			p.Seed = 1
			alone, err := measurer.MeasureFairness(ctx, p, 0)
			must.NoError(t, err)
			shared, err := measurer.MeasureFairness(ctx, p, largeClients)
			must.NoError(t, err)
			time.Sleep(time.Minute) // lets drivers and peers close their connections
			printFigures(shared.Figures(d.name, alone))
			must.LessEq(t, shared.ConnectionBudget, shared.PeakConnections)
		})
	}
}
