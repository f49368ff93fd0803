//go:build tools

// Package tools pins the formatter, the linter and the code generators. They
// live in a module of their own so that the product's go.mod stays its own.
package tools

import (
	_ "google.golang.org/protobuf/cmd/protoc-gen-go"
	_ "honnef.co/go/tools/cmd/staticcheck"
	_ "mvdan.cc/gofumpt"
	_ "storj.io/drpc/cmd/protoc-gen-go-drpc"
)
