package inspector_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/oriolegw/oriolegw/internal/inspector"
	"github.com/shoenig/test/must"
)

func Example() {
	text := "{\n  // how many at once\n  \"slots\": \"three\",\n  \"slot\": 3,\n}"
	fmt.Println(inspector.Read("a.json", []byte(text), func(n inspector.Node) {
		n.Object(
			inspector.Required("name", func(n inspector.Node) { n.Name() }),
			inspector.Optional("slots", func(n inspector.Node) { n.Int(1, 9) }),
		)
	}))
	// Output:
	// a.json:3:12: slots: found "three"; allowed: a whole number from 1 to 9
	// a.json:4:3: found unknown key "slot"; allowed: name, slots
	// a.json:1:1: found no key "name"; allowed: the key is required
}

// Invalid syntax and excessive size or nesting give exactly one problem each.
func TestInvalidText(t *testing.T) {
	for name, text := range map[string]string{
		"empty":                "",
		"truncated":            `{"a": [`,
		"nested":               strings.Repeat("[", inspector.MaxBytes),
		"nested among strings": strings.Repeat(`["]",`, inspector.MaxBytes/5),
		"too long":             strings.Repeat(" ", inspector.MaxBytes+1),
		"two values":           `{} {}`,
		"control character":    "{\"a\": \"\x00\"}",
		"invalid UTF-8":        "{\"a\": \"\xff\"}",
	} {
		t.Run(name, func(t *testing.T) {
			problems := inspector.Read("a.json", []byte(text), func(n inspector.Node) { n.Object() })
			must.Len(t, 1, problems)
			must.StrHasPrefix(t, "a.json:", problems.Error())
		})
	}
}
