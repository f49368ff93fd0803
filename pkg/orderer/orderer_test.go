package orderer_test

import (
	"fmt"
	"testing"

	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

func ExamplePosition_AtLeast() {
	floor := orderer.Position{Term: 3, Offset: 120}
	old := orderer.Position{Term: 3, Offset: 119}
	promoted := orderer.Position{Term: 4, Offset: 121}
	fmt.Println(old.AtLeast(floor), promoted.AtLeast(floor))
	// Output: false true
}

func TestParse(t *testing.T) {
	p, err := orderer.Parse("3/120")
	must.NoError(t, err)
	must.Eq(t, orderer.Position{Term: 3, Offset: 120}, p)
	for _, s := range []string{"", "3", "/", "a/1", "1/-1", "1/2/3"} {
		_, err := orderer.Parse(s)
		must.Error(t, err, must.Sprint(s))
	}
}
