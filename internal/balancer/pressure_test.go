package balancer_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/balancer"
	"github.com/shoenig/test/must"
)

// Guards against refusals by a report that is old or from the future, or unknown, and against
// borrowers that ask no more once a queue was long.
func TestAsks(t *testing.T) {
	p := balancer.Pressure{Waits: []time.Duration{10 * time.Millisecond, time.Second}, At: time.Minute}
	asks := func(age time.Duration, class, inFlight int) bool {
		return p.Asks(time.Minute+age, class, 100*time.Millisecond, inFlight)
	}
	must.True(t, asks(0, 0, 1))
	must.False(t, asks(0, 1, 1))
	must.False(t, asks(500*time.Millisecond, 2, 1))
	must.True(t, asks(0, 1, 0))
	must.True(t, asks(501*time.Millisecond, 1, 1))
	must.True(t, asks(-1, 1, 1))
	p.Waits = nil
	must.True(t, asks(0, 1, 1))
}

// Guards against impossible reports of a holder.
func TestInvalidPressure(t *testing.T) {
	for _, waits := range [][]time.Duration{{-1}, {10*time.Second + 1}, {2, 1}, make([]time.Duration, 65)} {
		must.Error(t, balancer.Pressure{Waits: waits}.Check())
	}
	must.NoError(t, balancer.Pressure{Waits: []time.Duration{0, time.Second}}.Check())
}
