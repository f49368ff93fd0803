#!/bin/sh
# Builds every stand-in that the scripts of the cases start, into target/. It needs no network:
# the module uses the standard library only.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
CGO_ENABLED=0 GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-standin .
