package runner

import (
	"testing"

	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/promoter"
	"github.com/shoenig/test/must"
)

func ownerOf(t *testing.T, seed uint64) string {
	i := &Instance{Settings: &loader.Settings{Name: "entry"}, Seed: seed}
	slices, _ := i.terms(nil)
	for _, s := range slices {
		if p, ok := s.(*promoter.Slice); ok {
			return p.Owner
		}
	}
	t.Fatal("no promoter among the slices")
	return ""
}

// An instance is replaced by a new process of its name while an order of the old
// one to promote a member is still under way. The new process fences the same term
// and chooses another member. Were both one owner, the late order would be obeyed
// as well, and the term had two primaries.
func TestProcessesOfOneNameAreTwoOwners(t *testing.T) {
	must.NotEq(t, ownerOf(t, 1), ownerOf(t, 2))
	must.StrHasPrefix(t, "entry/", ownerOf(t, 1))
}
