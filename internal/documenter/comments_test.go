package documenter_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// internalTerms are terms of internal benchmarks, which comments in shipped code must not
// use.
var internalTerms = []string{"calm day", "hearsay", "of the worth", "of their worth", "priced", "the bench", "this bench"}

// TestCommentTerms checks shipped code: no tests, stand-ins or generated files.
func TestCommentTerms(t *testing.T) {
	for _, root := range []string{"cmd", "internal", "pkg"} {
		err := filepath.WalkDir(filepath.Join("..", "..", root), func(path string, d fs.DirEntry, err error) error {
			must.NoError(t, err)
			if d.IsDir() && d.Name() == "standin" {
				return fs.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return nil
			}
			text, err := os.ReadFile(path)
			must.NoError(t, err)
			for _, term := range internalTerms {
				must.StrNotContains(t, string(text), term, must.Sprint(path))
			}
			return nil
		})
		must.NoError(t, err)
	}
}
