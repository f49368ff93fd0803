package concentrator_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/shoenig/test/must"
)

// A customer's read must not open a connection where another member has one that is faster, nor cross
// regions to save less than that costs.
func TestChooseRead(t *testing.T) {
	const ms = time.Millisecond
	near := concentrator.ReadPlace{SinceUse: -1, KeptLoan: 3 * ms, OpenedLoan: 18 * ms}
	far := concentrator.ReadPlace{SinceUse: time.Second, KeptLoan: 17 * ms, OpenedLoan: 34 * ms}
	sameRegion := concentrator.ReadPlace{SinceUse: time.Second, KeptLoan: 4 * ms, OpenedLoan: 20 * ms}
	busy, used, old, unknown := near, near, sameRegion, near
	busy.OpenedLoan, used.SinceUse, old.SinceUse, unknown.OpenedLoan = 60*ms, time.Second, time.Minute, 0
	cases := []struct {
		name   string
		places []concentrator.ReadPlace
		want   int
	}{
		{"opening costs less than the path", []concentrator.ReadPlace{near, far}, 0},
		{"opening costs more than the path", []concentrator.ReadPlace{busy, far}, 1},
		{"other member in the region", []concentrator.ReadPlace{near, far, sameRegion}, 2},
		{"connection is kept at the first", []concentrator.ReadPlace{used, sameRegion}, 0},
		{"connection elsewhere is too old", []concentrator.ReadPlace{near, old}, 0},
		{"cost of an opening is unknown", []concentrator.ReadPlace{unknown, sameRegion}, 0},
		{"one member", []concentrator.ReadPlace{near}, 0},
		{"none", nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, concentrator.ChooseRead(c.places)) })
	}
}
