package runner

import (
	"testing"

	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/promoter"
	"github.com/shoenig/test/must"
)

func promotionOwner(t *testing.T, seed uint64) string {
	i := &Instance{Settings: &loader.Settings{Name: "entry"}, Seed: seed}
	slices, _ := i.failoverSlices(nil)
	for _, s := range slices {
		if p, ok := s.(*promoter.Slice); ok {
			return p.Owner
		}
	}
	t.Fatal("no promoter.Slice found")
	return ""
}

// Two processes with the same instance name are different fencing owners; otherwise a delayed
// promotion of the old process could create a second primary in the same term.
func TestRestartedInstanceIsNewFencingOwner(t *testing.T) {
	must.NotEq(t, promotionOwner(t, 1), promotionOwner(t, 2))
	must.StrHasPrefix(t, "entry/", promotionOwner(t, 1))
}
