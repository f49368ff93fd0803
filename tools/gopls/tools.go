//go:build tools

// Package gopls pins the language server, which renames identifiers in every use. It has
// a module of its own because it builds only with an older golang.org/x/tools than the linter's.
package gopls

import _ "golang.org/x/tools/gopls"
