package documenter_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// foreignWords are those of test benches and scores. A constant's reason is the product's
// and its callers'; an engineer who knows neither must understand the comment.
var foreignWords = []string{"calm day", "hearsay", "of the worth", "of their worth", "priced", "the bench", "this bench"}

// TestComments reads the code that is ours to ship: no test, stand-in or generated file.
func TestComments(t *testing.T) {
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
			for _, w := range foreignWords {
				must.StrNotContains(t, string(text), w, must.Sprint(path))
			}
			return nil
		})
		must.NoError(t, err)
	}
}
