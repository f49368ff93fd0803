// Command write writes the generated pages of docs/. It must run in the root of the
// repository, as in "make docs".
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
