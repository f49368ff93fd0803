package refuser_test

import (
	"fmt"
	"regexp"
	"slices"
	"testing"

	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

func ExampleRefusal_Hint() {
	r := refuser.New(refuser.NoPrimary, "service lockers")
	fmt.Println(r.Hint())
	// Output: code=OR201 outcome=not-run retry-after-ms=500
}

// Every reason is complete, and codes and names are unique and not retired.
func TestReasons(t *testing.T) {
	seen := map[string]bool{}
	for _, r := range refuser.Reasons {
		t.Run(r.Code, func(t *testing.T) {
			must.RegexMatch(t, regexp.MustCompile(`^OR\d{3}$`), r.Code)
			must.RegexMatch(t, regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`), r.Name)
			must.False(t, seen[r.Code] || seen[r.Name])
			must.False(t, slices.Contains(refuser.RetiredCodes, r.Code))
			must.NotEq(t, "", r.Title)
			must.NotEq(t, "", r.Text)
			must.NotEq(t, "", r.Since)
			must.Eq(t, 5, len(r.SQLState))
			must.NotEq(t, "", string(r.Outcome))
			seen[r.Code], seen[r.Name] = true, true
		})
	}
}
