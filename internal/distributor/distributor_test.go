package distributor_test

import (
	"fmt"
	"testing"

	"github.com/oriolegw/oriolegw/internal/distributor"
	"github.com/shoenig/test/must"
)

func ExampleParents() {
	fmt.Println(distributor.Parents(1), distributor.Parents(33), distributor.Parents(34))
	// Output: [] [0 1] [2 3]
}

// The work of the busiest instance must not grow with the fleet, nor the number of hops by more
// than one at twice the size.
func TestTreeGrowth(t *testing.T) {
	for _, instances := range []int{9, 83, 295, 330, 610, 1828, 3656} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			children := make([]int, instances)
			for n := range instances {
				for _, p := range distributor.Parents(n) {
					must.Less(t, n, p)
					children[p]++
				}
			}
			for _, n := range children {
				must.LessEq(t, distributor.ChildrenPerPair, n)
			}
			must.LessEq(t, distributor.MaxDepth-2, distributor.Depth(instances-1))
			must.LessEq(t, distributor.Depth(instances-1)+1, distributor.Depth(2*instances-1))
		})
	}
}

// The two parents of an instance must differ, so that one remains when the other fails.
func TestParentsDiffer(t *testing.T) {
	for n := range 2000 {
		if p := distributor.Parents(n); len(p) > 0 {
			must.NotEq(t, p[0], p[1])
		}
	}
}
