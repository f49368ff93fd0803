#!/bin/sh
# Builds what the scripts of the second review start: the project's program, with the command of the
# deploy file, and the stand-ins. Everything goes to target/. It needs no network beyond what the build
# of the deploy file needs: the stand-ins use no further module.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/ ./cmd/oriolegw-edge
go build -tags second_review -o target/second-review-case ./review/standin2
