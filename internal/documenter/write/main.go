// Command write writes the generated pages of docs/. Run it from the root of the
// repository, as "make docs" does.
package main

import (
	"fmt"
	"os"

	"github.com/oriolegw/oriolegw/internal/documenter"
)

func main() {
	for _, p := range documenter.Pages() {
		if err := os.WriteFile(p.File, p.Text, 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
