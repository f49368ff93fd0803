package documenter_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/oriolegw/oriolegw/internal/documenter"
	"github.com/shoenig/test/must"
)

func TestPagesAreUpToDate(t *testing.T) {
	for _, p := range documenter.Pages() {
		t.Run(p.File, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", p.File))
			must.NoError(t, err)
			must.Eq(t, string(p.Text), string(text), must.Sprint("out of date: run make docs and commit the page"))
		})
	}
}
